//! Index of the registered nodes, and rendezvous weights for ranking them.

use std::collections::{BTreeMap, HashMap};

use millwind_core::Instant;
use millwind_core::ids::ZoneName;
use millwind_store::StoreRevision;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::registry::NodeRecord;

/// Key for which a zone's nodes are ranked as relays.
const RELAY_KEY: &str = "relay";

/// A registered node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RegisteredNode {
    pub(crate) record: NodeRecord,
    /// Store revision of the record.
    pub(crate) revision: StoreRevision,
    /// Hash of the node's name.
    pub(crate) hash: u64,
    /// Zone of the node.
    pub(crate) zone: ZoneName,
    /// Time at which this revision of the record was first seen. For a node that left, this is
    /// the time since which its departure is known.
    pub(crate) record_seen_at: Instant,
}

impl RegisteredNode {
    /// Creates a node whose record is seen now.
    pub(crate) fn new(name: &str, record: NodeRecord, revision: StoreRevision) -> Self {
        RegisteredNode {
            revision,
            hash: hash_of(name),
            zone: ZoneName::from(record.zone.as_str()),
            record_seen_at: clock::now(),
            record,
        }
    }

    /// Returns whether the node has the zone and address of `other`.
    fn has_same_location(&self, other: &NodeRecord) -> bool {
        self.record.zone == other.zone && self.record.peer_address == other.peer_address
    }
}

/// The registered nodes, with their name hashes in contiguous vectors for fast ranking.
#[derive(Debug, Default)]
pub(crate) struct Nodes {
    pub(crate) by_name: BTreeMap<String, RegisteredNode>,
    /// Revision of a record of this node that cannot be read, because another writer replaced it.
    pub(crate) own_unreadable: StoreRevision,
    hashes: Vec<u64>,
    by_zone: HashMap<String, Vec<u64>>,
}

impl Nodes {
    /// Returns the node with this name.
    pub(crate) fn get(&self, name: &str) -> Option<&RegisteredNode> {
        self.by_name.get(name)
    }

    /// Returns the name hashes of all nodes.
    pub(crate) fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// Returns the name hashes of a zone's nodes.
    pub(crate) fn in_zone(&self, zone: &str) -> &[u64] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Inserts or replaces a node. Returns whether the node is new or its zone or address
    /// changed.
    pub(crate) fn insert(&mut self, name: &str, node: RegisteredNode) -> bool {
        if let Some(known) = self.by_name.get_mut(name) {
            if known.has_same_location(&node.record) {
                *known = node;
                return false;
            }
            self.remove(name);
        }
        self.hashes.push(node.hash);
        let zone_hashes = self.by_zone.entry(node.record.zone.clone()).or_default();
        zone_hashes.push(node.hash);
        self.by_name.insert(name.to_owned(), node);
        true
    }

    /// Removes a node. Returns whether it was known.
    pub(crate) fn remove(&mut self, name: &str) -> bool {
        let Some(node) = self.by_name.remove(name) else {
            return false;
        };
        self.hashes.retain(|hash| *hash != node.hash);
        if let Some(zone_hashes) = self.by_zone.get_mut(&node.record.zone) {
            zone_hashes.retain(|hash| *hash != node.hash);
        }
        true
    }
}

/// Rendezvous weight of a node for a key, with the node's name and entry.
pub(crate) type WeightedNode<'a> = (u64, &'a String, &'a RegisteredNode);

/// Hashes a node's name or a key for which nodes are ranked.
pub(crate) fn hash_of(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Returns the rendezvous weight of a node for a key, from the hashes of both.
pub(crate) fn rendezvous_weight(key: u64, node: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&node.to_le_bytes());
    xxh3_64(&bytes)
}

/// Returns all nodes with their weights for `key`.
pub(crate) fn weighted_nodes<'a>(
    nodes: &'a Nodes,
    key: &str,
) -> impl Iterator<Item = WeightedNode<'a>> + use<'a> {
    let key = hash_of(key);
    nodes
        .by_name
        .iter()
        .map(move |(name, node)| (rendezvous_weight(key, node.hash), name, node))
}

/// Returns the sort key of a node in the order of its zone's relays, greatest first: the
/// link bandwidth, then the weight for [`RELAY_KEY`]. Bandwidth comes first because a
/// relay sends the whole catalog to each of its nodes when they start together.
/// A relay sends the whole catalog, some 0.5 MB, to each of 36 nodes that start together: 7 s
/// of a link of 20 Mbit/s, and 0.7 s of one of 200.
pub(crate) fn relay_rank(name: &str, node: Option<&RegisteredNode>) -> (u32, u64) {
    let link_mbps = node.map_or(0, |node| node.record.link_mbps);
    (link_mbps, rendezvous_weight(hash_of(RELAY_KEY), hash_of(name)))
}

/// Returns the `count` heaviest nodes, heaviest first.
pub(crate) fn heaviest(mut nodes: Vec<WeightedNode<'_>>, count: usize) -> Vec<WeightedNode<'_>> {
    let order = |left: &WeightedNode<'_>, right: &WeightedNode<'_>| {
        right.0.cmp(&left.0).then_with(|| left.1.cmp(right.1))
    };
    if nodes.len() > count {
        nodes.select_nth_unstable_by(count, order);
        nodes.truncate(count);
    }
    nodes.sort_unstable_by(order);
    nodes
}
