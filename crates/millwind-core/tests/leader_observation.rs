//! Tests of the observed leader positions, checked against a simulated commit history.

use millwind_core::Instant;
use millwind_core::leader_observation::LeaderObservations;
use millwind_core::position::Position;
use proptest::prelude::*;

const fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn the_floor_is_the_oldest_observation_that_is_recent_enough() {
    let mut observations = LeaderObservations::default();
    for (millis, number) in [(1_000, 10), (1_100, 11), (1_200, 12)] {
        observations.record(at(millis), Position::new(1, number));
    }
    assert_eq!(observations.floor(at(1_050)), Some(Position::new(1, 11)));
    assert_eq!(observations.floor(at(1_100)), Some(Position::new(1, 11)));
    assert_eq!(observations.floor(at(1_201)), None);
}

#[test]
fn a_later_term_replaces_earlier_observations() {
    let mut observations = LeaderObservations::default();
    observations.record(at(1_000), Position::new(1, 90));
    observations.record(at(1_100), Position::new(2, 80));
    observations.record(at(1_200), Position::new(1, 95));
    assert_eq!(observations.floor(at(0)), Some(Position::new(2, 80)));
    let written = Position::new(1, 88);
    assert_eq!(
        observations.covering_position(written, at(900)),
        Position::new(2, 80)
    );
}

#[test]
fn positions_that_a_later_leader_lacks_are_dropped() {
    let mut observations = LeaderObservations::default();
    observations.record(at(1_000), Position::new(1, 90));
    // The new leader's log still ends in the old term.
    observations.record(at(2_000), Position::new(1, 73));
    assert_eq!(observations.floor(at(0)), Some(Position::new(1, 73)));
}

#[test]
fn a_rolled_back_commit_no_longer_raises_the_floor() {
    let mut observations = LeaderObservations::default();
    let written = Position::new(1, 90);
    observations.record(at(1_000), Position::new(1, 80));
    // A request sent before the acknowledgement proves nothing about the commit.
    assert_eq!(observations.covering_position(written, at(1_500)), written);
    observations.record(at(2_000), Position::new(1, 85));
    assert_eq!(
        observations.covering_position(written, at(1_500)),
        Position::new(1, 85)
    );
}

/// One step in a group's history.
#[derive(Debug, Clone)]
enum Step {
    /// The leader commits.
    Commit,
    /// The leader is asked for its position and answers `delay` milliseconds later.
    Observe { delay: u64 },
    /// A replica that lacks the last `lacking` commits is promoted.
    Promote { lacking: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Commit),
        4 => (0_u64..80).prop_map(|delay| Step::Observe { delay }),
        1 => (0_u64..6).prop_map(|lacking| Step::Promote { lacking }),
    ];
    proptest::collection::vec(step, 1..120)
}

/// A commit and the time of its acknowledgement.
#[derive(Debug, Clone, Copy)]
struct Acknowledged {
    position: Position,
    time: u64,
}

proptest! {
    /// A log that holds the floor holds every commit that was acknowledged early enough and
    /// not rolled back.
    #[test]
    fn the_floor_covers_acknowledged_commits(steps in steps(), staleness in 0_u64..3_000) {
        let mut observations = LeaderObservations::default();
        let mut log: Vec<Acknowledged> = Vec::new();
        let mut term = 1;
        let mut now = 10_000;
        let mut in_flight: Vec<(u64, u64, Position)> = Vec::new();
        for step in steps {
            now += 17;
            match step {
                Step::Commit => {
                    let number = log.last().map_or(0, |last| last.position.log_position.0) + 1;
                    log.push(Acknowledged { position: Position::new(term, number), time: now });
                }
                Step::Observe { delay } => {
                    let position = log.last().map_or(Position::new(1, 0), |last| last.position);
                    in_flight.push((now + delay, now, position));
                }
                Step::Promote { lacking } => {
                    log.truncate(log.len().saturating_sub(lacking as usize));
                    term += 1;
                }
            }
            let (arrived, rest): (Vec<_>, Vec<_>) =
                in_flight.into_iter().partition(|(arrival, _, _)| *arrival <= now);
            in_flight = rest;
            for (_, asked, position) in arrived {
                observations.record(at(asked), position);
            }
            let Some(floor) = observations.floor(at(now - staleness)) else { continue };
            // Commits that a log of the current history may lack if it ends at the floor.
            let Some(index) = log.iter().position(|commit| commit.position == floor) else { continue };
            let missing = log[index + 1..].iter().find(|commit| commit.time < now - staleness);
            prop_assert!(missing.is_none(), "floor {floor} misses {missing:?} at {now}");
        }
    }
}
