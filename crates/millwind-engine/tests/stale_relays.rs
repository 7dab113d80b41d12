//! A relay that answers but does not hear the store is left for the next one, unless
//! nobody hears it.

use std::net::SocketAddr;
use std::sync::Arc;

use millwind_engine::clock;
use millwind_engine::directory::Directory;
use millwind_engine::registry::{NodeRecord, Registry};
use millwind_engine::relays::Relays;
use millwind_engine::store_watch::Follower;
use millwind_store::{Entry, Listing, StoreRevision};

/// Enough for a deployment to have relays; all in one zone.
const NODES: usize = 30;
const ZONE: &str = "zone";
/// Bound on a configuration, in milliseconds.
const CONFIG_BOUND_MS: u64 = 5_000;
/// News of this age are not fresh under that bound, in milliseconds.
const OLD_MS: u64 = 4_000;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index as u8 + 1], 7_000))
}

fn registry() -> Registry {
    let directory = Arc::new(Directory::new(ZONE, 0, true));
    let registry = Registry::new("nodes/".to_owned(), "node-0".to_owned(), directory);
    let entry = |index: usize| {
        let record = NodeRecord {
            peer_address: address(index),
            zone: ZONE.to_owned(),
            link_mbps: 0,
            departure: None,
        };
        Entry {
            key: format!("nodes/node-{index}"),
            revision: StoreRevision::new(0, index as u64 + 1),
            value: Some(serde_json::to_vec(&record).unwrap()),
        }
    };
    registry.listed(Listing {
        revision: StoreRevision::new(0, NODES as u64),
        entries: (0..NODES).map(entry).collect(),
    });
    registry
}

#[test]
fn a_relay_without_fresh_news_is_left_by_a_node_that_has_them() {
    let registry = registry();
    let relays = Relays::new(ZONE, 1, CONFIG_BOUND_MS);
    let first = relays.relays_to_ask(&registry);
    relays.record_peer_freshness(clock::now());
    relays.record_relay_answer(first[0], Some(OLD_MS));
    let then = relays.relays_to_ask(&registry);
    assert!(!then.contains(&first[0]), "{then:?}");
    assert_eq!(then.len(), first.len());
}

#[test]
fn a_relay_without_fresh_news_is_kept_while_nobody_has_any() {
    let registry = registry();
    let relays = Relays::new(ZONE, 1, CONFIG_BOUND_MS);
    let first = relays.relays_to_ask(&registry);
    relays.record_relay_answer(first[0], Some(OLD_MS));
    assert_eq!(relays.relays_to_ask(&registry), first);
}

#[test]
fn a_relay_with_fresh_news_is_kept() {
    let registry = registry();
    let relays = Relays::new(ZONE, 1, CONFIG_BOUND_MS);
    let first = relays.relays_to_ask(&registry);
    relays.record_peer_freshness(clock::now());
    relays.record_relay_answer(first[0], Some(100));
    assert_eq!(relays.relays_to_ask(&registry), first);
}
