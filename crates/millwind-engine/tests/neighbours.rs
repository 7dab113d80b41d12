//! The nodes that a node compares its catalog with: a bounded number, most
//! useful in its own zone, and together a graph that reaches everybody.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use millwind_engine::directory::Directory;
use millwind_engine::registry::{NodeRecord, Registry};
use millwind_engine::store_watch::Follower;
use millwind_store::{Entry, Listing, StoreRevision};

const NEAR: usize = 4;
const FAR: usize = 4;

struct TestNode {
    name: String,
    zone: String,
    address: SocketAddr,
}

fn nodes(count: usize, zones: usize) -> Vec<TestNode> {
    let node = |index: usize| TestNode {
        name: format!("node-{index}"),
        zone: format!("zone-{}", index % zones),
        address: SocketAddr::from(([127, 0, (index / 250) as u8, (index % 250) as u8], 7_000)),
    };
    (0..count).map(node).collect()
}

/// A registry of the node `own` that knows all of `nodes`.
fn registry_of(own: &TestNode, nodes: &[TestNode]) -> Registry {
    let directory = Arc::new(Directory::new(&own.zone, 0, true));
    let registry = Registry::new("nodes/".to_owned(), own.name.clone(), directory);
    let entry = |(index, node): (usize, &TestNode)| {
        let record = NodeRecord {
            peer_address: node.address,
            zone: node.zone.clone(),
            link_mbps: 0,
            departure: None,
        };
        Entry {
            key: format!("nodes/{}", node.name),
            revision: StoreRevision::new(0, index as u64 + 1),
            value: Some(serde_json::to_vec(&record).unwrap()),
        }
    };
    registry.listed(Listing {
        revision: StoreRevision::new(0, nodes.len() as u64),
        entries: nodes.iter().enumerate().map(entry).collect(),
    });
    registry
}

#[test]
fn their_number_does_not_grow_with_the_nodes() {
    for count in [30, 300, 910] {
        let nodes = nodes(count, 3);
        let own = &nodes[7];
        let neighbours = registry_of(own, &nodes).neighbours(&own.zone, NEAR, FAR);
        assert_eq!(neighbours.len(), NEAR + FAR, "{count} nodes");
        assert!(!neighbours.contains(&own.address));
        let zone_of =
            |address: &SocketAddr| &nodes.iter().find(|node| node.address == *address).unwrap().zone;
        let near = neighbours
            .iter()
            .filter(|address| *zone_of(address) == own.zone)
            .count();
        assert_eq!(near, NEAR, "{count} nodes");
    }
}

#[test]
fn a_few_nodes_are_all_neighbours() {
    let nodes = nodes(4, 2);
    let neighbours = registry_of(&nodes[0], &nodes).neighbours(&nodes[0].zone, NEAR, FAR);
    assert_eq!(neighbours.len(), 3);
}

#[test]
fn news_from_any_node_reaches_all_others() {
    let nodes = nodes(300, 3);
    // Whom each node asks; news travel against that direction.
    let mut askers: BTreeMap<SocketAddr, Vec<SocketAddr>> = BTreeMap::new();
    for node in &nodes {
        for neighbour in registry_of(node, &nodes).neighbours(&node.zone, NEAR, FAR) {
            askers.entry(neighbour).or_default().push(node.address);
        }
    }
    let longest = nodes
        .iter()
        .map(|node| rounds_from(node.address, &askers, nodes.len()))
        .max();
    assert!(longest.is_some_and(|rounds| rounds <= 8), "{longest:?}");
}

/// Rounds in which news from `first` reach `count` nodes if each asks all its
/// neighbours once a round.
fn rounds_from(first: SocketAddr, askers: &BTreeMap<SocketAddr, Vec<SocketAddr>>, count: usize) -> usize {
    let mut told = BTreeSet::from([first]);
    let mut last = vec![first];
    let mut rounds = 0;
    while told.len() < count {
        rounds += 1;
        let next = last.iter().filter_map(|node| askers.get(node)).flatten();
        let fresh: Vec<_> = next.copied().filter(|node| told.insert(*node)).collect();
        assert!(!fresh.is_empty(), "{} of {count} nodes are told", told.len());
        last = fresh;
    }
    rounds
}
