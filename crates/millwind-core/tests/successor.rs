//! Tests of successor selection.

use millwind_core::ids::InstanceName;
use millwind_core::position::{Position, Term};
use millwind_core::successor::{
    NoSuccessor, Successor, SuccessorRequirements, choose_successor, confirms_pause,
};
use proptest::prelude::*;

fn requirements(
    receivers: usize,
    sync_replicas: usize,
    must_hold: Option<Position>,
) -> SuccessorRequirements {
    SuccessorRequirements {
        sync_replicas,
        receivers,
        must_hold,
        ..SuccessorRequirements::default()
    }
}

fn replica(name: &str, number: u64) -> Successor {
    Successor {
        instance: InstanceName::from(name),
        received: Position::new(1, number),
        is_leaving: false,
        is_evacuated: false,
        servable_share: 0,
        is_cold: false,
        is_named_in_order: false,
        is_in_own_zone: false,
        is_rejected: false,
    }
}

#[test]
fn most_advanced_replica_is_preferred_unless_leaving() {
    let mut answered = vec![replica("a", 10), replica("b", 12)];
    assert_eq!(
        choose_successor(&answered, &requirements(2, 0, None))
            .unwrap()
            .instance
            .as_str(),
        "b"
    );
    answered[1].is_leaving = true;
    assert_eq!(
        choose_successor(&answered, &requirements(2, 0, None))
            .unwrap()
            .instance
            .as_str(),
        "a"
    );
    // With synchronous replication the log position takes precedence over leaving.
    assert_eq!(
        choose_successor(&answered, &requirements(2, 1, None))
            .unwrap()
            .instance
            .as_str(),
        "b"
    );
}

#[test]
fn synchronous_replication_requires_enough_answers() {
    let answered = vec![replica("a", 10)];
    assert!(choose_successor(&answered, &requirements(2, 0, None)).is_ok());
    assert!(choose_successor(&answered, &requirements(2, 1, None)).is_err());
    assert!(choose_successor(&answered, &requirements(2, 2, None)).is_ok());
    assert!(choose_successor(&[], &requirements(2, 0, None)).is_err());
}

#[test]
fn live_leader_is_replaced_only_by_replica_with_its_commits() {
    let mut answered = vec![replica("a", 10), replica("b", 12)];
    let must_hold = Some(Position::new(1, 12));
    let chosen = choose_successor(&answered, &requirements(2, 0, must_hold)).unwrap();
    assert_eq!(chosen.instance.as_str(), "b");
    answered[1].is_leaving = true;
    let chosen = choose_successor(&answered, &requirements(2, 0, must_hold)).unwrap();
    assert_eq!(chosen.instance.as_str(), "b");
    let beyond_all_replicas = Some(Position::new(1, 13));
    assert!(choose_successor(&answered, &requirements(2, 0, beyond_all_replicas)).is_err());
}

// Guards against the loss of commits that only a receiver without an answer holds.
#[test]
fn a_receiver_without_an_answer_prevents_a_promotion() {
    let answered = vec![replica("a", 10), replica("b", 12)];
    let result = choose_successor(&answered, &requirements(3, 1, None));
    assert_eq!(result, Err(NoSuccessor::MissingAnswers));
    assert!(choose_successor(&answered, &requirements(3, 2, None)).is_ok());
}

// Guards against the loss of commits that a receiver let the leader acknowledge before it ended.
#[test]
fn a_former_receiver_counts_until_a_later_position_is_held() {
    let answered = vec![replica("a", 10), replica("b", 12)];
    let with_former = |reported: Option<Position>| SuccessorRequirements {
        former_receivers: vec![reported],
        ..requirements(2, 1, None)
    };
    let result = choose_successor(&answered, &with_former(None));
    assert_eq!(result, Err(NoSuccessor::MissingAnswers));
    let result = choose_successor(&answered, &with_former(Some(Position::new(1, 13))));
    assert_eq!(result, Err(NoSuccessor::MissingAnswers));
    let chosen = choose_successor(&answered, &with_former(Some(Position::new(1, 12)))).unwrap();
    assert_eq!(chosen.instance.as_str(), "b");
    let asynchronous = SuccessorRequirements {
        sync_replicas: 0,
        ..with_former(None)
    };
    assert!(choose_successor(&answered, &asynchronous).is_ok());
}

// Guards against an earlier order that is carried out between the comparison and the next one.
#[test]
fn only_the_replica_of_an_open_order_is_chosen() {
    let answered = vec![replica("a", 12), replica("b", 12), replica("c", 10)];
    let with_order = |named: &str| SuccessorRequirements {
        open_order: Some(InstanceName::from(named)),
        ..requirements(3, 1, None)
    };
    for named in ["a", "b"] {
        let chosen = choose_successor(&answered, &with_order(named)).unwrap();
        assert_eq!(chosen.instance.as_str(), named);
    }
    for named in ["c", "gone"] {
        let result = choose_successor(&answered, &with_order(named));
        assert_eq!(result, Err(NoSuccessor::OpenOrder));
    }
}

// Guards against the loss of commits of a replica that cannot be promoted.
#[test]
fn the_position_of_a_rejected_replica_still_counts() {
    let mut answered = vec![replica("a", 10), replica("b", 12)];
    answered[1].is_rejected = true;
    let result = choose_successor(&answered, &requirements(2, 1, None));
    assert_eq!(result, Err(NoSuccessor::Rejected));
    let chosen = choose_successor(&answered, &requirements(2, 0, None)).unwrap();
    assert_eq!(chosen.instance.as_str(), "a");
    answered[0].received = answered[1].received;
    let chosen = choose_successor(&answered, &requirements(2, 1, None)).unwrap();
    assert_eq!(chosen.instance.as_str(), "a");
}

#[test]
fn a_pause_is_confirmed_only_for_a_term_above_the_replicas() {
    assert!(confirms_pause(Term(1), Term(2)));
    assert!(!confirms_pause(Term(2), Term(2)));
    assert!(!confirms_pause(Term(3), Term(2)));
}

/// A group at the moment of a comparison: how far each receiver has received the log, and which
/// of them answers.
fn arbitrary_receivers() -> impl Strategy<Value = Vec<(u64, bool)>> {
    prop::collection::vec((0_u64..6, any::<bool>()), 1..6)
}

proptest! {
    // Guards against any choice that lacks a commit which `sync_replicas` receivers hold.
    #[test]
    fn a_successor_holds_every_acknowledged_commit(receivers in arbitrary_receivers(), sync_replicas in 1_usize..4) {
        let answered: Vec<_> = receivers
            .iter()
            .enumerate()
            .filter(|(_, (_, has_answered))| *has_answered)
            .map(|(index, (received, _))| replica(&index.to_string(), *received))
            .collect();
        let held_by = |number: u64| receivers.iter().filter(|(received, _)| *received >= number).count();
        let acknowledged = (1..6).rev().find(|number| held_by(*number) >= sync_replicas).unwrap_or(0);
        if let Ok(chosen) = choose_successor(&answered, &requirements(receivers.len(), sync_replicas, None)) {
            prop_assert!(chosen.received >= Position::new(1, acknowledged));
            // Receivers that have not answered go on receiving, without further acknowledgements.
            prop_assert!(receivers.len() - answered.len() < sync_replicas);
        }
    }
}
