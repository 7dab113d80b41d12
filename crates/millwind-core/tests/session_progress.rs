//! The positions of a session whose tenant moves between groups.

use millwind_core::ids::GroupName;
use millwind_core::position::{LogPosition, Position, Term};
use millwind_core::session_progress::SessionProgress;

fn position(term: u64, number: u64) -> Position {
    Position {
        term: Term(term),
        log_position: LogPosition(number),
    }
}

fn groups() -> (GroupName, GroupName) {
    (GroupName::from("first"), GroupName::from("second"))
}

/// Guards against a last write that keeps the position of another group: reads after a failover
/// that discarded what the session had only read would fail for good.
#[test]
fn a_write_after_a_move_counts_in_its_own_group() {
    let (first, second) = groups();
    let mut progress = SessionProgress::default();
    progress.record_write(&first, position(7, 100));
    progress.advance(&first, position(7, 100));
    progress.record_write(&second, position(1, 5));
    progress.advance(&second, position(1, 5));
    progress.advance(&second, position(1, 9));
    assert_eq!(progress.return_to_last_write(&second), Some(position(1, 5)));
    assert_eq!(progress.position_in(&second), Some(position(1, 5)));
    assert_eq!(progress.return_to_last_write(&second), None);
}

/// Guards against a position of the group that the session left.
#[test]
fn a_session_that_returns_to_a_group_starts_at_the_primary() {
    let (first, second) = groups();
    let mut progress = SessionProgress::default();
    progress.advance(&first, position(1, 3));
    progress.advance(&second, position(1, 1));
    assert_eq!(progress.position_in(&first), None);
    progress.start_in(&first, position(1, 4));
    assert_eq!(progress.position_in(&first), Some(position(1, 4)));
    assert_eq!(progress.return_to_last_write(&first), None);
}

/// Guards against a client that keeps the token of the group that its tenant left, because both
/// positions are equal.
#[test]
fn a_token_of_another_group_is_reported() {
    let (first, second) = groups();
    let mut progress = SessionProgress::default();
    for group in [first, second] {
        progress.advance(&group, position(1, 3));
        let reported = progress.take_unreported().expect("a new token");
        assert_eq!(reported.group, group);
        assert_eq!(progress.take_unreported(), None);
    }
}
