//! Observations of an instance apply to one incarnation and end with its restart.

use std::sync::Arc;
use std::time::Duration;

use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::incarnation::Incarnation;
use millwind_core::position::{Position, Term};
use millwind_engine::catalog::InstanceRecord;
use millwind_engine::clock;
use millwind_engine::directory::Directory;
use millwind_engine::peers::PeerReachability;

fn group() -> GroupName {
    GroupName::from("ledger")
}

fn leader() -> InstanceName {
    InstanceName::from("i-a")
}

/// Returns a record of `i-a` in the incarnation `started`.
fn record(started: u64, claims_lead: bool) -> InstanceRecord {
    record_of("i-a", started, claims_lead)
}

fn record_of(name: &str, started: u64, claims_lead: bool) -> InstanceRecord {
    InstanceRecord {
        name: InstanceName::from(name),
        group: group(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "z1".into(),
        is_leaving: false,
        claims_lead,
        slots: 3,
        warm_up_left_ms: 0,
        incarnation: Some(Incarnation(started)),
        heartbeat: Some(1),
    }
}

/// Returns a node's directory in which `i-a` leads term 3 at position 9.
fn directory_with_leader(is_fenced: bool) -> Arc<Directory> {
    let directory = Directory::new("z1", 0, is_fenced);
    directory.set_registered_since(Some(clock::now()));
    directory.confirm_closed_terms(clock::now());
    directory.apply_record(record(1_000, true));
    assert!(directory.record_leader_proof(&group(), &leader(), clock::now(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(3)));
    Arc::new(directory)
}

/// Returns a time later than all preceding events.
fn after_all_events() -> Instant {
    std::thread::sleep(Duration::from_millis(1));
    clock::now()
}

#[test]
fn a_restarted_instance_starts_without_contact_history() {
    let directory = directory_with_leader(true);
    let initial_contact = directory.instance(&leader()).unwrap().health;
    directory.record_response(&leader(), Some(700_000));
    directory.record_failure(&leader(), clock::now().plus_millis(1), false);
    directory.record_outcome(&leader(), false);
    directory.record_peer_reachability(
        &leader(),
        PeerReachability {
            reaching: 0,
            failing: 3,
        },
    );
    let change = directory.apply_record(record(500, true));
    assert!(change.has_restarted);
    assert_eq!(directory.instance(&leader()).unwrap().health, initial_contact);
    assert_eq!(directory.peer_report(&leader(), 10_000), None);
}

#[test]
fn a_heartbeat_of_the_same_incarnation_keeps_all_observations() {
    let directory = directory_with_leader(true);
    directory.record_failure(&leader(), clock::now().plus_millis(1), false);
    let change = directory.apply_record(record(1_000, true));
    assert!(!change.has_restarted);
    assert!(directory.is_failing(&leader()));
    assert!(directory.leader(&group()).is_some());
}

#[test]
fn a_restarted_leader_leads_only_after_new_proof() {
    let directory = directory_with_leader(true);
    let before = clock::now();
    directory.apply_record(record(2_000, true));
    assert_eq!(
        directory.leader(&group()),
        None,
        "the claim in the record is no proof"
    );
    // Proof from the former incarnation may arrive late or through a peer.
    directory.record_leader_proof(&group(), &leader(), before, Position::new(3, 9));
    assert_eq!(directory.leader(&group()), None);
    assert!(directory.record_leader_proof(&group(), &leader(), after_all_events(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().instance, leader());
}

#[test]
fn a_leader_restarted_without_its_log_does_not_lead() {
    let directory = directory_with_leader(true);
    directory.apply_record(record_of("i-b", 1_000, false));
    directory.apply_record(record(2_000, true));
    assert!(!directory.record_leader_proof(&group(), &leader(), after_all_events(), Position::new(3, 4)));
    assert_eq!(directory.leader(&group()), None);
    assert_eq!(
        directory.newest_observation(&group()).unwrap().position,
        Position::new(3, 9)
    );
    // Another instance that was promoted with the complete log leads.
    let other = InstanceName::from("i-b");
    assert!(directory.record_leader_proof(&group(), &other, clock::now(), Position::new(4, 10)));
    assert_eq!(directory.leader(&group()).unwrap().instance, other);
}

#[test]
fn a_leader_with_a_shorter_log_does_not_lead_when_a_replica_restarts_as_well() {
    let directory = directory_with_leader(true);
    for replica in ["i-b", "i-c"] {
        directory.apply_record(record_of(replica, 1_000, false));
    }
    directory.apply_record(record(2_000, true));
    directory.apply_record(record_of("i-b", 2_000, false));
    assert!(!directory.record_leader_proof(&group(), &leader(), after_all_events(), Position::new(3, 4)));
    assert_eq!(directory.leader(&group()), None);
    assert!(directory.record_leader_proof(&group(), &leader(), after_all_events(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().instance, leader());
}

#[test]
fn the_only_instance_of_a_group_leads_with_a_shorter_log() {
    let directory = directory_with_leader(true);
    directory.apply_record(record_of("i-b", 1_000, false));
    directory.mark_removed(&InstanceName::from("i-b"));
    directory.apply_record(record(2_000, true));
    assert!(directory.record_leader_proof(&group(), &leader(), after_all_events(), Position::new(3, 4)));
    assert_eq!(directory.leader(&group()).unwrap().instance, leader());
}

#[test]
fn an_instance_promoted_after_a_restart_leads_without_its_former_log() {
    let directory = directory_with_leader(true);
    directory.apply_record(record(2_000, false));
    assert!(directory.record_leader_proof(&group(), &leader(), after_all_events(), Position::new(4, 1)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(4)));
}

#[test]
fn a_step_down_holds_for_one_incarnation() {
    let directory = directory_with_leader(false);
    directory.record_step_down(&group(), &leader(), Term(3));
    assert_eq!(directory.stepped_down_term(&group()), Term(3));
    directory.apply_record(record(2_000, true));
    assert_eq!(
        directory.stepped_down_term(&group()),
        Term(0),
        "the restarted instance no longer knows that it stepped down"
    );
}

#[test]
fn a_step_down_does_not_outlast_the_process() {
    let directory = directory_with_leader(false);
    directory.record_step_down(&group(), &leader(), Term(3));
    directory.record_failure(&leader(), clock::now().plus_millis(1), true);
    assert_eq!(directory.stepped_down_term(&group()), Term(0));
}

#[test]
fn a_restart_keeps_the_step_down_of_another_instance() {
    let directory = directory_with_leader(false);
    directory.record_step_down(&group(), &InstanceName::from("i-b"), Term(4));
    directory.apply_record(record(2_000, true));
    assert_eq!(directory.stepped_down_term(&group()), Term(4));
}

#[test]
fn a_term_of_the_former_incarnation_is_discarded_on_restart() {
    let directory = directory_with_leader(false);
    directory.record_announced_term(&group(), &leader(), Term(7));
    directory.apply_record(record(2_000, true));
    assert!(directory.record_leader_proof(&group(), &leader(), after_all_events(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(3)));
}

#[test]
fn a_retired_leader_that_returns_as_a_replica_may_lead_again() {
    let directory = directory_with_leader(false);
    directory.close_term(&group(), Term(3), Some(&leader()));
    assert!(directory.is_retired(&group(), &leader()));
    directory.apply_record(record(2_000, true));
    assert!(
        directory.is_retired(&group(), &leader()),
        "the instance may still lead its old term"
    );
    directory.apply_record(record(3_000, false));
    assert!(!directory.is_retired(&group(), &leader()));
    directory.record_announced_term(&group(), &leader(), Term(4));
    assert!(directory.record_leader_proof(&group(), &leader(), after_all_events(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(4)));
}

#[test]
fn a_forgotten_instance_returns_without_observations() {
    let directory = directory_with_leader(false);
    directory.record_announced_term(&group(), &leader(), Term(7));
    directory.mark_removed(&leader());
    std::thread::sleep(Duration::from_millis(3));
    assert_eq!(directory.drop_removed(0), [leader()]);
    assert_eq!(directory.leader(&group()), None);
    directory.apply_record(record(2_000, false));
    assert!(directory.record_leader_proof(&group(), &leader(), after_all_events(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(3)));
}
