//! Example of the session and commit logic: reads of a session on lagging replicas, a
//! failover that discards part of the log, and the confirmation of a commit.
//!
//! Run with `cargo run -p millwind-core --example session`.

use millwind_core::confirmation::{ConfirmationRule, ConfirmationTracker};
use millwind_core::ids::InstanceName;
use millwind_core::position::{LogPosition, Position, Term, TermStart, coverage};
use millwind_core::token::SessionToken;

fn main() {
    // A client wrote at position 100 of term 1 and takes this token to another proxy.
    let written = Position::new(1, 100);
    let token = SessionToken {
        group: "climate-core-1".into(),
        position: written,
    };
    println!("session token: {token}");

    // A replica that has not replayed up to the position must not serve the read.
    println!(
        "replica at 1:90: {:?}",
        coverage(Position::new(1, 90), &[], written)
    );
    println!(
        "replica at 1:100: {:?}",
        coverage(Position::new(1, 100), &[], written)
    );

    // Term 2 branched off at position 80, so the client's write was discarded.
    let branched = [TermStart {
        term: Term(2),
        start: LogPosition(80),
    }];
    println!(
        "replica at 2:150: {:?}",
        coverage(Position::new(2, 150), &branched, written)
    );

    // A commit is confirmed once a majority has received it in its term.
    let mut tracker = ConfirmationTracker::new(3, ConfirmationRule::Replicated);
    let primary = InstanceName::from("a");
    let replica = InstanceName::from("b");
    println!("commit registered: {:?}", tracker.register(1, written));
    let sequence = tracker.next_sequence();
    println!(
        "a has received the commit: {:?}",
        tracker.record_status(&primary, sequence, Term(1), LogPosition(100))
    );
    println!(
        "b has not received the commit: {:?}",
        tracker.record_status(&replica, sequence, Term(1), LogPosition(60))
    );
    let sequence = tracker.next_sequence();
    println!(
        "b has received the commit: {:?}",
        tracker.record_status(&replica, sequence, Term(1), LogPosition(100))
    );
}
