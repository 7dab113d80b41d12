//! When a leader is replaced, and by which replica.

use millwind_core::Instant;
use millwind_core::failover::{
    FailoverTimes, LeaderEvidence, LeaderVerdict, ReplaceReason, Successor, choose_successor, judge_leader,
};
use millwind_core::ids::InstanceName;
use millwind_core::position::Position;

const TIMES: FailoverTimes = FailoverTimes {
    suspect_ms: 400,
    alone_ms: 1_200,
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
fn a_leader_that_answers_stays() {
    let evidence = LeaderEvidence {
        replicas_reached: 2,
        ..LeaderEvidence::default()
    };
    let now = Instant::from_millis(1);
    assert_eq!(judge_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
}

#[test]
fn one_node_alone_waits_longer_than_two_that_agree() {
    let (now, mut evidence) = failing_for(500);
    assert_eq!(judge_leader(now, &evidence, &TIMES), LeaderVerdict::Suspected);
    evidence.peers_failing = 1;
    let verdict = judge_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::ConfirmedByPeers));
    let (now, evidence) = failing_for(1_300);
    let verdict = judge_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::Unconfirmed));
}

#[test]
fn peers_that_reach_the_leader_outweigh_a_broken_link() {
    let (now, mut evidence) = failing_for(60_000);
    evidence.is_refusing = true;
    evidence.peers_reaching = 2;
    evidence.peers_failing = 1;
    assert_eq!(judge_leader(now, &evidence, &TIMES), LeaderVerdict::Suspected);
}

#[test]
fn a_node_that_reaches_no_replica_replaces_nobody() {
    let (now, mut evidence) = failing_for(60_000);
    evidence.replicas_reached = 0;
    evidence.is_leaving = true;
    assert_eq!(judge_leader(now, &evidence, &TIMES), LeaderVerdict::Suspected);
}

#[test]
fn a_missed_heartbeat_confirms_a_suspicion_but_raises_none() {
    let (now, mut evidence) = failing_for(500);
    evidence.heartbeat_age_ms = Some(2_500);
    let verdict = judge_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::HeartbeatStale));
    evidence.failing_since = None;
    assert_eq!(judge_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
}

fn replica(name: &str, number: u64) -> Successor {
    Successor {
        instance: InstanceName::from(name),
        received: Position::new(1, number),
        is_leaving: false,
        is_evacuated: false,
        allowed_worth: 0,
        is_cold: false,
        is_named: false,
        is_near: false,
    }
}

#[test]
fn the_furthest_replica_is_chosen_and_one_that_leaves_comes_last() {
    let mut answered = vec![replica("a", 10), replica("b", 12)];
    assert_eq!(
        choose_successor(&answered, 2, 0, None).unwrap().instance.as_str(),
        "b"
    );
    answered[1].is_leaving = true;
    assert_eq!(
        choose_successor(&answered, 2, 0, None).unwrap().instance.as_str(),
        "a"
    );
    // Where commits must survive, being furthest counts more than staying.
    assert_eq!(
        choose_successor(&answered, 2, 1, None).unwrap().instance.as_str(),
        "b"
    );
}

#[test]
fn with_synchronous_replicas_enough_must_have_answered() {
    let answered = vec![replica("a", 10)];
    assert!(choose_successor(&answered, 2, 0, None).is_some());
    assert!(choose_successor(&answered, 2, 1, None).is_none());
    assert!(choose_successor(&answered, 2, 2, None).is_some());
    assert!(choose_successor(&[], 2, 0, None).is_none());
}

#[test]
fn a_live_leader_gives_way_only_to_a_replica_that_holds_its_commits() {
    let mut answered = vec![replica("a", 10), replica("b", 12)];
    let least = Some(Position::new(1, 12));
    let chosen = choose_successor(&answered, 2, 0, least).unwrap();
    assert_eq!(chosen.instance.as_str(), "b");
    answered[1].is_leaving = true;
    let chosen = choose_successor(&answered, 2, 0, least).unwrap();
    assert_eq!(chosen.instance.as_str(), "b");
    let more = Some(Position::new(1, 13));
    assert!(choose_successor(&answered, 2, 0, more).is_none());
    assert!(ReplaceReason::Unresponsive.is_of_live_leader());
    assert!(ReplaceReason::Leaving.is_of_live_leader());
    assert!(!ReplaceReason::ConnectionRefused.is_of_live_leader());
}

#[test]
fn a_leader_whose_statements_hang_is_replaced_only_by_a_healthy_replica() {
    let now = Instant::from_millis(100_000);
    let mut evidence = LeaderEvidence {
        replicas_reached: 2,
        healthy_replicas: 1,
        unresponsive_since: Some(Instant::from_millis(99_000)),
        ..LeaderEvidence::default()
    };
    assert_eq!(judge_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
    evidence.unresponsive_since = Some(Instant::from_millis(98_800));
    let verdict = judge_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::Unresponsive));
    evidence.healthy_replicas = 0;
    assert_eq!(judge_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
}

#[test]
fn a_leader_whose_statements_fail_often_is_replaced() {
    let now = Instant::from_millis(100_000);
    let evidence = LeaderEvidence {
        replicas_reached: 2,
        healthy_replicas: 2,
        is_outlier: true,
        ..LeaderEvidence::default()
    };
    let verdict = judge_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::Outlier));
}

#[test]
fn a_leader_that_must_leave_its_zone_hands_over_while_it_serves() {
    let now = Instant::from_millis(100_000);
    let mut evidence = LeaderEvidence {
        replicas_reached: 2,
        healthy_replicas: 2,
        must_leave_zone: true,
        ..LeaderEvidence::default()
    };
    let verdict = judge_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::Evacuated));
    assert!(ReplaceReason::Evacuated.is_of_live_leader());
    // A leader that is lost is replaced as one, so that nobody waits for its commits.
    evidence.failing_since = Some(Instant::from_millis(98_000));
    evidence.peers_failing = 2;
    let verdict = judge_leader(now, &evidence, &TIMES);
    assert_eq!(verdict, LeaderVerdict::Replace(ReplaceReason::ConfirmedByPeers));
    evidence = LeaderEvidence {
        must_leave_zone: true,
        ..LeaderEvidence::default()
    };
    assert_eq!(judge_leader(now, &evidence, &TIMES), LeaderVerdict::Healthy);
}
