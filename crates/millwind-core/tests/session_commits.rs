//! Which of its own commits a session's read must see.

use millwind_core::Instant;
use millwind_core::ids::GroupName;
use millwind_core::position::{LogPosition, Position, Term};
use millwind_core::session_commits::{MAX_GROUPS, OwnCommits, SessionCommit, SessionCommits};
use proptest::prelude::*;

fn position(number: u64) -> Position {
    Position {
        term: Term(1),
        log_position: LogPosition(number),
    }
}

fn group(number: usize) -> GroupName {
    GroupName::from(format!("group-{number}").as_str())
}

/// Guards against commits in one group that replace those in another.
#[test]
fn commits_of_different_groups_are_kept() {
    let mut commits = SessionCommits::default();
    for number in 0..MAX_GROUPS {
        commits.record(
            &group(number),
            Some(position(number as u64)),
            Instant(number as u64),
        );
    }
    for number in 0..MAX_GROUPS {
        let expected = SessionCommit {
            position: position(number as u64),
            acknowledged: Instant(number as u64),
        };
        assert_eq!(commits.in_group(&group(number)), OwnCommits::Last(expected));
    }
    assert_eq!(commits.in_group(&group(MAX_GROUPS)), OwnCommits::None);
}

/// Guards against a commit without a position that leaves an earlier one in force.
#[test]
fn a_commit_without_a_position_counts_by_its_time() {
    let mut commits = SessionCommits::default();
    commits.record(&group(0), Some(position(1)), Instant(1));
    commits.record(&group(0), None, Instant(2));
    assert_eq!(commits.in_group(&group(0)), OwnCommits::Until(Instant(2)));
}

proptest! {
    /// Whatever a session writes and wherever, each commit is demanded by its position, by that of
    /// a later one in its group, or by its time.
    #[test]
    fn every_commit_is_demanded(
        writes in proptest::collection::vec((0..MAX_GROUPS * 3, proptest::bool::weighted(0.9)), 1..80)
    ) {
        let mut commits = SessionCommits::default();
        for (index, (number, has_position)) in writes.iter().enumerate() {
            let time = index as u64 + 1;
            commits.record(&group(*number), has_position.then(|| position(time)), Instant(time));
            let mut last = std::collections::BTreeMap::new();
            for (earlier, (number, _)) in writes[..=index].iter().enumerate() {
                last.insert(*number, earlier as u64 + 1);
            }
            for (number, time) in last {
                let is_demanded = match commits.in_group(&group(number)) {
                    OwnCommits::None => false,
                    OwnCommits::Last(commit) => commit.position == position(time),
                    OwnCommits::Until(until) => until >= Instant(time),
                };
                prop_assert!(is_demanded, "group {number}, commit {time}: {commits:?}");
            }
        }
    }
}
