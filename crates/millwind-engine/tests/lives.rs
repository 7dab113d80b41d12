//! What is believed of an instance is believed of one life.

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

/// A record of `i-a` in the life that began at `born`.
fn record(born: u64, claims_lead: bool) -> InstanceRecord {
    record_of("i-a", born, claims_lead)
}

fn record_of(name: &str, born: u64, claims_lead: bool) -> InstanceRecord {
    InstanceRecord {
        name: InstanceName::from(name),
        group: group(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "z1".into(),
        is_leaving: false,
        claims_lead,
        slots: 3,
        warm_up_left_ms: 0,
        incarnation: Some(Incarnation(born)),
        heartbeat: Some(1),
    }
}

/// A node that has seen `i-a` lead term 3 up to position 9.
fn led(is_fenced: bool) -> Arc<Directory> {
    let directory = Directory::new("z1", 0, is_fenced);
    directory.set_registered_since(Some(clock::now()));
    directory.confirm_closed_terms(clock::now());
    directory.apply_record(record(1_000, true));
    assert!(directory.record_leader_proof(&group(), &leader(), clock::now(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(3)));
    Arc::new(directory)
}

/// A time after everything that has happened.
fn later() -> Instant {
    std::thread::sleep(Duration::from_millis(1));
    clock::now()
}

#[test]
fn a_life_begun_anew_starts_with_no_word_on_how_it_answers() {
    let directory = led(true);
    let fresh = directory.instance(&leader()).unwrap().contact;
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
    assert_eq!(directory.instance(&leader()).unwrap().contact, fresh);
    assert_eq!(directory.testimony(&leader(), 10_000), None);
}

#[test]
fn a_heartbeat_of_the_same_life_keeps_all_beliefs() {
    let directory = led(true);
    directory.record_failure(&leader(), clock::now().plus_millis(1), false);
    let change = directory.apply_record(record(1_000, true));
    assert!(!change.has_restarted);
    assert!(directory.is_failing(&leader()));
    assert!(directory.leader(&group()).is_some());
}

#[test]
fn a_leader_that_began_anew_leads_only_once_it_has_proved_it() {
    let directory = led(true);
    let before = clock::now();
    directory.apply_record(record(2_000, true));
    assert_eq!(directory.leader(&group()), None, "whatever its record says");
    // An answer of the former life that arrives late, or that a peer reports.
    directory.record_leader_proof(&group(), &leader(), before, Position::new(3, 9));
    assert_eq!(directory.leader(&group()), None);
    assert!(directory.record_leader_proof(&group(), &leader(), later(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().instance, leader());
}

#[test]
fn a_leader_that_began_anew_without_its_log_leads_nothing() {
    let directory = led(true);
    directory.apply_record(record_of("i-b", 1_000, false));
    directory.apply_record(record(2_000, true));
    assert!(!directory.record_leader_proof(&group(), &leader(), later(), Position::new(3, 4)));
    assert_eq!(directory.leader(&group()), None);
    assert_eq!(
        directory.newest_observation(&group()).unwrap().position,
        Position::new(3, 9)
    );
    // Another that was promoted with the log leads.
    let other = InstanceName::from("i-b");
    assert!(directory.record_leader_proof(&group(), &other, clock::now(), Position::new(4, 10)));
    assert_eq!(directory.leader(&group()).unwrap().instance, other);
}

#[test]
fn a_replica_that_begins_anew_as_well_does_not_give_the_shorter_log_the_lead() {
    let directory = led(true);
    for replica in ["i-b", "i-c"] {
        directory.apply_record(record_of(replica, 1_000, false));
    }
    directory.apply_record(record(2_000, true));
    directory.apply_record(record_of("i-b", 2_000, false));
    assert!(!directory.record_leader_proof(&group(), &leader(), later(), Position::new(3, 4)));
    assert_eq!(directory.leader(&group()), None);
    assert!(directory.record_leader_proof(&group(), &leader(), later(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().instance, leader());
}

#[test]
fn the_only_instance_of_a_group_leads_with_what_it_holds() {
    let directory = led(true);
    directory.apply_record(record_of("i-b", 1_000, false));
    directory.mark_removed(&InstanceName::from("i-b"));
    directory.apply_record(record(2_000, true));
    assert!(directory.record_leader_proof(&group(), &leader(), later(), Position::new(3, 4)));
    assert_eq!(directory.leader(&group()).unwrap().instance, leader());
}

#[test]
fn a_promotion_in_its_new_life_makes_an_instance_without_its_former_log_the_leader() {
    let directory = led(true);
    directory.apply_record(record(2_000, false));
    assert!(directory.record_leader_proof(&group(), &leader(), later(), Position::new(4, 1)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(4)));
}

#[test]
fn the_word_of_a_leader_that_it_stepped_down_holds_for_one_life() {
    let directory = led(false);
    directory.record_step_down(&group(), &leader(), Term(3));
    assert_eq!(directory.stepped_down_term(&group()), Term(3));
    directory.apply_record(record(2_000, true));
    assert_eq!(
        directory.stepped_down_term(&group()),
        Term(0),
        "it has forgotten it"
    );
}

#[test]
fn the_word_of_a_leader_that_it_stepped_down_does_not_outlast_its_process() {
    let directory = led(false);
    directory.record_step_down(&group(), &leader(), Term(3));
    directory.record_failure(&leader(), clock::now().plus_millis(1), true);
    assert_eq!(directory.stepped_down_term(&group()), Term(0));
}

#[test]
fn the_word_of_another_instance_is_not_touched() {
    let directory = led(false);
    directory.record_step_down(&group(), &InstanceName::from("i-b"), Term(4));
    directory.apply_record(record(2_000, true));
    assert_eq!(directory.stepped_down_term(&group()), Term(4));
}

#[test]
fn a_term_that_the_former_life_told_is_not_the_new_ones() {
    let directory = led(false);
    directory.record_announced_term(&group(), &leader(), Term(7));
    directory.apply_record(record(2_000, true));
    assert!(directory.record_leader_proof(&group(), &leader(), later(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(3)));
}

#[test]
fn a_retired_leader_that_came_back_as_a_replica_may_lead_again() {
    let directory = led(false);
    directory.close_term(&group(), Term(3), Some(&leader()));
    assert!(directory.is_retired(&group(), &leader()));
    directory.apply_record(record(2_000, true));
    assert!(
        directory.is_retired(&group(), &leader()),
        "it may lead its old term"
    );
    directory.apply_record(record(3_000, false));
    assert!(!directory.is_retired(&group(), &leader()));
    directory.record_announced_term(&group(), &leader(), Term(4));
    assert!(directory.record_leader_proof(&group(), &leader(), later(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(4)));
}

#[test]
fn an_instance_that_was_forgotten_comes_back_with_no_beliefs() {
    let directory = led(false);
    directory.record_announced_term(&group(), &leader(), Term(7));
    directory.mark_removed(&leader());
    std::thread::sleep(Duration::from_millis(3));
    assert_eq!(directory.drop_removed(0), [leader()]);
    assert_eq!(directory.leader(&group()), None);
    directory.apply_record(record(2_000, false));
    assert!(directory.record_leader_proof(&group(), &leader(), later(), Position::new(3, 9)));
    assert_eq!(directory.leader(&group()).unwrap().term, Some(Term(3)));
}
