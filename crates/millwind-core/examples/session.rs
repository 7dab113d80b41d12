//! Embedding the coordination parts: a session that roams, replicas that lag, a
//! failover that discards a tail, and a commit that must be confirmed.
//!
//! Run with `cargo run -p millwind-core --example session`.

use millwind_core::confirmation::{ConfirmationRule, ConfirmationTracker};
use millwind_core::ids::InstanceName;
use millwind_core::position::{LogPosition, Position, Term, TermStart, coverage};
use millwind_core::token::SessionToken;

fn main() {
    // A caller wrote at position 100 of term 1, and carries this elsewhere.
    let written = Position::new(1, 100);
    let token = SessionToken {
        group: "climate-core-1".into(),
        position: written,
    };
    println!("the caller carries {token}");

    // A replica that has replayed less must not answer yet.
    println!(
        "replica at 1:90: {:?}",
        coverage(Position::new(1, 90), &[], written)
    );
    println!(
        "replica at 1:100: {:?}",
        coverage(Position::new(1, 100), &[], written)
    );

    // Term 2 branched off at 80: what the caller wrote is gone, and it is told.
    let branched = [TermStart {
        term: Term(2),
        start: LogPosition(80),
    }];
    println!(
        "replica at 2:150: {:?}",
        coverage(Position::new(2, 150), &branched, written)
    );

    // A commit is acknowledged once a majority has received it in its term.
    let mut tracker = ConfirmationTracker::new(3, ConfirmationRule::Replicated);
    let primary = InstanceName::from("a");
    let replica = InstanceName::from("b");
    println!("commit registered: {:?}", tracker.register(1, written));
    let asked = tracker.draw();
    println!(
        "a shows it: {:?}",
        tracker.observe(&primary, asked, Term(1), LogPosition(100))
    );
    println!(
        "b shows less: {:?}",
        tracker.observe(&replica, asked, Term(1), LogPosition(60))
    );
    let asked = tracker.draw();
    println!(
        "b shows it: {:?}",
        tracker.observe(&replica, asked, Term(1), LogPosition(100))
    );
}
