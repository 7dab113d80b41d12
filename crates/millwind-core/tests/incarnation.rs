//! Tests of restart detection from the records of an instance.

use std::net::SocketAddr;

use millwind_core::incarnation::{Incarnation, RestartEvidence, RestartSigns, restart_evidence};
use proptest::prelude::*;

fn signs(started_ms: Option<u64>, heartbeat: Option<u64>) -> RestartSigns {
    RestartSigns {
        incarnation: started_ms.map(Incarnation),
        heartbeat,
        address: SocketAddr::from(([127, 0, 0, 1], 5_001)),
        is_leaving: false,
    }
}

#[test]
fn a_different_incarnation_is_a_restart_even_if_the_clock_went_back() {
    let previous = signs(Some(2_000), Some(9));
    for current in [signs(Some(3_000), Some(1)), signs(Some(1_000), Some(10))] {
        assert_eq!(
            restart_evidence(&previous, &current),
            Some(RestartEvidence::Incarnation)
        );
    }
}

#[test]
fn the_same_incarnation_is_no_restart_even_if_heartbeat_or_address_changes() {
    let previous = signs(Some(2_000), Some(9));
    let mut current = signs(Some(2_000), Some(1));
    assert_eq!(restart_evidence(&previous, &current), None);
    current.address = SocketAddr::from(([127, 0, 0, 1], 5_002));
    assert_eq!(restart_evidence(&previous, &current), None);
}

#[test]
fn gaining_or_losing_the_incarnation_is_a_restart() {
    let unnamed = signs(None, Some(9));
    let named = signs(Some(2_000), Some(10));
    assert_eq!(
        restart_evidence(&unnamed, &named),
        Some(RestartEvidence::Incarnation)
    );
    assert_eq!(
        restart_evidence(&named, &unnamed),
        Some(RestartEvidence::Incarnation)
    );
}

#[test]
fn without_an_incarnation_a_lower_heartbeat_is_a_restart() {
    let previous = signs(None, Some(9));
    assert_eq!(restart_evidence(&previous, &signs(None, Some(9))), None);
    assert_eq!(restart_evidence(&previous, &signs(None, Some(10))), None);
    assert_eq!(restart_evidence(&previous, &signs(None, None)), None);
    assert_eq!(
        restart_evidence(&previous, &signs(None, Some(1))),
        Some(RestartEvidence::Heartbeat)
    );
}

#[test]
fn without_an_incarnation_a_new_address_or_a_withdrawn_shutdown_is_a_restart() {
    let mut previous = signs(None, None);
    let mut current = previous;
    current.address = SocketAddr::from(([127, 0, 0, 1], 5_002));
    assert_eq!(
        restart_evidence(&previous, &current),
        Some(RestartEvidence::Address)
    );
    previous.is_leaving = true;
    assert_eq!(
        restart_evidence(&previous, &signs(None, None)),
        Some(RestartEvidence::ShutdownWithdrawn)
    );
}

proptest! {
    #[test]
    fn named_incarnations_alone_decide_whether_an_instance_restarted(
        previous in 0_u64..5,
        current in 0_u64..5,
        heartbeats in prop::array::uniform2(prop::option::of(0_u64..5)),
    ) {
        let evidence = restart_evidence(
            &signs(Some(previous), heartbeats[0]),
            &signs(Some(current), heartbeats[1]),
        );
        prop_assert_eq!(evidence.is_some(), previous != current);
    }
}
