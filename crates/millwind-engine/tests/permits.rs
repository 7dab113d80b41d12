//! When a node holds a permit to accept answers of a leader, in groups whose promotions
//! do not fence the old leader.

use std::net::SocketAddr;
use std::sync::Arc;

use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::{Position, Term};
use millwind_engine::clock;
use millwind_engine::directory::Directory;
use millwind_engine::registry::{Departure, NodeRecord, Registry};
use millwind_engine::store_watch::Follower;
use millwind_store::{Entry, Listing, StoreRevision};

const OWN_NODE: &str = "n1";

fn record(departure: Option<Departure>) -> NodeRecord {
    NodeRecord {
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        zone: "z1".to_owned(),
        link_mbps: 0,
        departure,
    }
}

fn entry(departure: Option<Departure>, revision: u64) -> Entry {
    Entry {
        key: format!("nodes/{OWN_NODE}"),
        value: Some(serde_json::to_vec(&record(departure)).unwrap()),
        revision: StoreRevision::new(0, revision),
    }
}

fn node() -> (Arc<Directory>, Registry) {
    let directory = Arc::new(Directory::new("z1", 0, false));
    let registry = Registry::new("nodes/".to_owned(), OWN_NODE.to_owned(), directory.clone());
    (directory, registry)
}

fn accepts_leader(directory: &Directory, term: u64) -> bool {
    let group = GroupName::from("ledger");
    let instance = InstanceName::from("i-a");
    directory.record_leader_proof(&group, &instance, clock::now(), Position::new(term, 1))
}

fn listing(entries: Vec<Entry>) -> Listing {
    Listing {
        revision: StoreRevision::new(0, 9),
        entries,
    }
}

#[test]
fn a_node_without_confirmed_terms_accepts_no_leader() {
    let (directory, _registry) = node();
    assert!(!accepts_leader(&directory, 1));
}

#[test]
fn terms_confirmed_before_registration_give_no_permit() {
    let (directory, registry) = node();
    let asked_before = clock::now();
    std::thread::sleep(std::time::Duration::from_millis(2));
    registry.record_written(OWN_NODE, record(None), StoreRevision::new(0, 5));
    directory.confirm_closed_terms(asked_before);
    assert!(!accepts_leader(&directory, 1));
    directory.confirm_closed_terms(clock::now());
    assert!(accepts_leader(&directory, 1));
}

#[test]
fn a_node_record_of_an_earlier_process_counts_as_registration() {
    let (directory, registry) = node();
    let asked = clock::now();
    registry.listed(listing(vec![entry(None, 5)]));
    directory.confirm_closed_terms(asked);
    assert!(accepts_leader(&directory, 1));
}

#[test]
fn terms_confirmed_before_a_restart_give_no_permit() {
    let asked_before = clock::now();
    std::thread::sleep(std::time::Duration::from_millis(2));
    let (directory, registry) = node();
    registry.listed(listing(vec![entry(None, 5)]));
    directory.confirm_closed_terms(asked_before);
    assert!(!accepts_leader(&directory, 1));
}

#[test]
fn a_node_marked_unreachable_gets_no_permit_until_it_registers_again() {
    let (directory, registry) = node();
    registry.listed(listing(vec![entry(Some(Departure::Unreachable), 5)]));
    directory.confirm_closed_terms(clock::now());
    assert!(!accepts_leader(&directory, 1));
    registry.record_written(OWN_NODE, record(None), StoreRevision::new(0, 6));
    directory.confirm_closed_terms(clock::now());
    assert!(accepts_leader(&directory, 1));
}

#[test]
fn a_leader_of_a_closed_term_is_rejected_and_one_of_a_later_term_accepted() {
    let (directory, registry) = node();
    registry.listed(listing(vec![entry(None, 5)]));
    directory.confirm_closed_terms(clock::now());
    let group = GroupName::from("ledger");
    let leader = InstanceName::from("i-a");
    assert!(accepts_leader(&directory, 1));
    directory.close_term(&group, Term(1), Some(&leader));
    assert_eq!(directory.leader(&group), None);
    assert!(!directory.may_lead(&group, &leader, true));
    directory.release_permits(&group, Term(1));
    assert!(!accepts_leader(&directory, 1));
    assert!(accepts_leader(&directory, 2));
    assert!(directory.may_lead(&group, &leader, true));
}

#[test]
fn a_node_marked_unreachable_is_a_permit_holder_until_its_permits_expire() {
    let (_, registry) = node();
    let other_node_entry = |departure: Option<Departure>| Entry {
        key: "nodes/n2".to_owned(),
        ..entry(departure, 6)
    };
    registry.listed(listing(vec![other_node_entry(None)]));
    assert_eq!(registry.possible_permit_holders().len(), 1);
    registry.listed(listing(vec![other_node_entry(Some(Departure::Unreachable))]));
    assert_eq!(
        registry.possible_permit_holders().len(),
        1,
        "marked unreachable more recently than a permit lasts"
    );
    registry.listed(listing(vec![other_node_entry(Some(Departure::Stopped))]));
    assert!(registry.possible_permit_holders().is_empty());
}

#[test]
fn a_stopping_node_obtains_no_permits() {
    let (directory, registry) = node();
    registry.listed(listing(vec![entry(None, 5)]));
    directory.confirm_closed_terms(clock::now());
    assert!(accepts_leader(&directory, 1));
    directory.drop_permits();
    registry.apply(vec![entry(None, 6)]);
    directory.confirm_closed_terms(clock::now());
    assert!(!accepts_leader(&directory, 1));
}
