//! Which news give a node permits to count on leaders, where promotions don't
//! fence.

use std::net::SocketAddr;
use std::sync::Arc;

use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::{Position, Term};
use millwind_engine::clock;
use millwind_engine::directory::Directory;
use millwind_engine::registry::{Departure, NodeRecord, Registry};
use millwind_engine::store_watch::Follower;
use millwind_store::{Entry, Listing, StoreRevision};

const OWN: &str = "n1";

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
        key: format!("nodes/{OWN}"),
        value: Some(serde_json::to_vec(&record(departure)).unwrap()),
        revision: StoreRevision::new(0, revision),
    }
}

fn node() -> (Arc<Directory>, Registry) {
    let directory = Arc::new(Directory::new("z1", 0, false));
    let registry = Registry::new("nodes/".to_owned(), OWN.to_owned(), directory.clone());
    (directory, registry)
}

fn counts_leader(directory: &Directory, term: u64) -> bool {
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
fn a_node_without_news_counts_on_nobody() {
    let (directory, _registry) = node();
    assert!(!counts_leader(&directory, 1));
}

#[test]
fn news_before_the_registration_give_no_permit() {
    let (directory, registry) = node();
    let before = clock::now();
    std::thread::sleep(std::time::Duration::from_millis(2));
    registry.record_written(OWN, record(None), StoreRevision::new(0, 5));
    directory.confirm_closed_terms(before);
    assert!(!counts_leader(&directory, 1));
    directory.confirm_closed_terms(clock::now());
    assert!(counts_leader(&directory, 1));
}

#[test]
fn a_record_of_an_earlier_life_serves_from_the_start() {
    let (directory, registry) = node();
    let asked = clock::now();
    registry.listed(listing(vec![entry(None, 5)]));
    directory.confirm_closed_terms(asked);
    assert!(counts_leader(&directory, 1));
}

#[test]
fn news_of_before_the_start_give_no_permit_to_a_restarted_node() {
    let before = clock::now();
    std::thread::sleep(std::time::Duration::from_millis(2));
    let (directory, registry) = node();
    registry.listed(listing(vec![entry(None, 5)]));
    directory.confirm_closed_terms(before);
    assert!(!counts_leader(&directory, 1));
}

#[test]
fn a_marked_node_gets_no_permit_until_it_has_registered_anew() {
    let (directory, registry) = node();
    registry.listed(listing(vec![entry(Some(Departure::Unreachable), 5)]));
    directory.confirm_closed_terms(clock::now());
    assert!(!counts_leader(&directory, 1));
    registry.record_written(OWN, record(None), StoreRevision::new(0, 6));
    directory.confirm_closed_terms(clock::now());
    assert!(counts_leader(&directory, 1));
}

#[test]
fn a_closed_term_is_no_longer_counted_and_a_later_one_is() {
    let (directory, registry) = node();
    registry.listed(listing(vec![entry(None, 5)]));
    directory.confirm_closed_terms(clock::now());
    let group = GroupName::from("ledger");
    let leader = InstanceName::from("i-a");
    assert!(counts_leader(&directory, 1));
    directory.close_term(&group, Term(1), Some(&leader));
    assert_eq!(directory.leader(&group), None);
    assert!(!directory.may_lead(&group, &leader, true));
    directory.release_permits(&group, Term(1));
    assert!(!counts_leader(&directory, 1));
    assert!(counts_leader(&directory, 2));
    assert!(directory.may_lead(&group, &leader, true));
}

#[test]
fn a_marked_node_is_asked_for_its_permits_until_they_have_run_out() {
    let (_, registry) = node();
    let other = |departure: Option<Departure>| Entry {
        key: "nodes/n2".to_owned(),
        ..entry(departure, 6)
    };
    registry.listed(listing(vec![other(None)]));
    assert_eq!(registry.possible_permit_holders().len(), 1);
    registry.listed(listing(vec![other(Some(Departure::Unreachable))]));
    assert_eq!(
        registry.possible_permit_holders().len(),
        1,
        "marked less than a permit's time ago"
    );
    registry.listed(listing(vec![other(Some(Departure::Stopped))]));
    assert!(registry.possible_permit_holders().is_empty());
}

#[test]
fn a_node_that_ends_takes_no_permits_any_more() {
    let (directory, registry) = node();
    registry.listed(listing(vec![entry(None, 5)]));
    directory.confirm_closed_terms(clock::now());
    assert!(counts_leader(&directory, 1));
    directory.drop_permits();
    registry.apply(vec![entry(None, 6)]);
    directory.confirm_closed_terms(clock::now());
    assert!(!counts_leader(&directory, 1));
}
