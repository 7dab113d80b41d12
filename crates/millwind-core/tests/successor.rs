//! Tests of successor selection.

use millwind_core::ids::InstanceName;
use millwind_core::position::Position;
use millwind_core::successor::{Successor, SuccessorRequirements, choose_successor};

const fn requirements(
    receivers: usize,
    sync_replicas: usize,
    must_hold: Option<Position>,
) -> SuccessorRequirements {
    SuccessorRequirements {
        sync_replicas,
        receivers,
        must_hold,
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
