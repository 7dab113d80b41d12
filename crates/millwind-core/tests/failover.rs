//! Tests of leader failure detection.

use millwind_core::Instant;
use millwind_core::failover::{FailoverTimes, LeaderEvidence, LeaderVerdict, ReplaceReason, evaluate_leader};

const TIMES: FailoverTimes = FailoverTimes {
    suspect_ms: 400,
    unconfirmed_ms: 1_200,
    heartbeat_ms: 2_400,
};

fn failing_for(millis: u64) -> (Instant, LeaderEvidence) {
    let now = Instant::from_millis(100_000);
    let evidence = LeaderEvidence {
        failing_since: Some(Instant::from_millis(100_000 - millis)),
        replicas_reached: 2,
        ..LeaderEvidence::default()
    };
    (now, evidence)
}

#[test]
fn healthy_leader_is_kept() {
    let evidence = LeaderEvidence {
        replicas_reached: 2,
        ..LeaderEvidence::default()
    };
    let now = Instant::from_millis(1);
    assert_eq!(evaluate_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
}

#[test]
fn unconfirmed_failure_takes_longer_than_confirmed_failure() {
    let (now, mut evidence) = failing_for(500);
    assert_eq!(evaluate_leader(now, &evidence, &TIMES), LeaderVerdict::Suspected);
    evidence.peers_failing = 1;
    let verdict = evaluate_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::ConfirmedByPeers));
    let (now, evidence) = failing_for(1_300);
    let verdict = evaluate_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::Unconfirmed));
}

#[test]
fn leader_is_kept_while_most_peers_reach_it() {
    let (now, mut evidence) = failing_for(60_000);
    evidence.refuses_connections = true;
    evidence.peers_reaching = 2;
    evidence.peers_failing = 1;
    assert_eq!(evaluate_leader(now, &evidence, &TIMES), LeaderVerdict::Suspected);
}

#[test]
fn node_without_reachable_replica_replaces_no_leader() {
    let (now, mut evidence) = failing_for(60_000);
    evidence.replicas_reached = 0;
    evidence.is_leaving = true;
    assert_eq!(evaluate_leader(now, &evidence, &TIMES), LeaderVerdict::Suspected);
}

#[test]
fn stale_heartbeat_confirms_but_does_not_raise_suspicion() {
    let (now, mut evidence) = failing_for(500);
    evidence.heartbeat_age_ms = Some(2_500);
    let verdict = evaluate_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::HeartbeatStale));
    evidence.failing_since = None;
    assert_eq!(evaluate_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
}

#[test]
fn unresponsive_leader_is_replaced_only_by_healthy_replica() {
    let now = Instant::from_millis(100_000);
    let mut evidence = LeaderEvidence {
        replicas_reached: 2,
        healthy_replicas: 1,
        unresponsive_since: Some(Instant::from_millis(99_000)),
        ..LeaderEvidence::default()
    };
    assert_eq!(evaluate_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
    evidence.unresponsive_since = Some(Instant::from_millis(98_800));
    let verdict = evaluate_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::Unresponsive));
    evidence.healthy_replicas = 0;
    assert_eq!(evaluate_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
}

#[test]
fn outlier_leader_is_replaced() {
    let now = Instant::from_millis(100_000);
    let evidence = LeaderEvidence {
        replicas_reached: 2,
        healthy_replicas: 2,
        is_outlier: true,
        ..LeaderEvidence::default()
    };
    let verdict = evaluate_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::Outlier));
}

#[test]
fn leader_in_evacuated_zone_is_replaced_while_healthy() {
    let now = Instant::from_millis(100_000);
    let mut evidence = LeaderEvidence {
        replicas_reached: 2,
        healthy_replicas: 2,
        is_zone_evacuated: true,
        ..LeaderEvidence::default()
    };
    let verdict = evaluate_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::Evacuated));
    assert!(ReplaceReason::Evacuated.is_leader_alive());
    // An unreachable leader is not treated as alive, so the handover does not wait for it.
    evidence.failing_since = Some(Instant::from_millis(98_000));
    evidence.peers_failing = 2;
    let verdict = evaluate_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::ConfirmedByPeers));
    evidence = LeaderEvidence {
        is_zone_evacuated: true,
        ..LeaderEvidence::default()
    };
    assert_eq!(evaluate_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
}

#[test]
fn leader_is_alive_for_reasons_other_than_unreachability() {
    assert!(ReplaceReason::Unresponsive.is_leader_alive());
    assert!(ReplaceReason::Leaving.is_leader_alive());
    assert!(!ReplaceReason::ConnectionRefused.is_leader_alive());
}
