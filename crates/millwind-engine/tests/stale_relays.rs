//! A relay that answers but has no contact with the store is replaced by the next relay,
//! unless the store is unavailable to all nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use millwind_engine::clock;
use millwind_engine::directory::Directory;
use millwind_engine::registry::{NodeRecord, ProcessId, Registration, Registry};
use millwind_engine::relays::Relays;
use millwind_engine::store_watch::Follower;
use millwind_store::{Entry, Listing, StoreRevision};

/// Number of nodes, all in one zone: enough for a deployment to use relays.
const NODE_COUNT: usize = 30;
const ZONE: &str = "zone";
/// Time within which a configuration must be in force, in milliseconds.
const CONFIG_BOUND_MS: u64 = 5_000;
/// An age of the catalog that is stale under this bound, in milliseconds.
const STALE_AGE_MS: u64 = 4_000;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index as u8 + 1], 7_000))
}

fn registry() -> Registry {
    let directory = Arc::new(Directory::new(ZONE, 0, true));
    let registry = Registry::new(
        "nodes/".to_owned(),
        "node-0".to_owned(),
        ProcessId::random(),
        directory,
    );
    let entry = |index: usize| {
        let record = NodeRecord {
            peer_address: address(index),
            zone: ZONE.to_owned(),
            link_mbps: 0,
            registration: Registration::default(),
        };
        Entry {
            key: format!("nodes/node-{index}"),
            revision: StoreRevision::new(0, index as u64 + 1),
            value: Some(serde_json::to_vec(&record).unwrap()),
        }
    };
    registry.listed(Listing {
        revision: StoreRevision::new(0, NODE_COUNT as u64),
        entries: (0..NODE_COUNT).map(entry).collect(),
    });
    registry
}

#[test]
fn a_stale_relay_is_avoided_by_a_node_with_fresh_data() {
    let registry = registry();
    let relays = Relays::new(ZONE, 1, CONFIG_BOUND_MS);
    let first = relays.relays_to_ask(&registry);
    relays.record_peer_instances(clock::now());
    relays.record_relay_answer(first[0], Some(STALE_AGE_MS));
    let after = relays.relays_to_ask(&registry);
    assert!(!after.contains(&first[0]), "{after:?}");
    assert_eq!(after.len(), first.len());
}

#[test]
fn a_stale_relay_is_kept_while_no_fresh_data_is_known() {
    let registry = registry();
    let relays = Relays::new(ZONE, 1, CONFIG_BOUND_MS);
    let first = relays.relays_to_ask(&registry);
    relays.record_relay_answer(first[0], Some(STALE_AGE_MS));
    assert_eq!(relays.relays_to_ask(&registry), first);
}

#[test]
fn a_relay_with_fresh_data_is_kept() {
    let registry = registry();
    let relays = Relays::new(ZONE, 1, CONFIG_BOUND_MS);
    let first = relays.relays_to_ask(&registry);
    relays.record_peer_instances(clock::now());
    relays.record_relay_answer(first[0], Some(100));
    assert_eq!(relays.relays_to_ask(&registry), first);
}
