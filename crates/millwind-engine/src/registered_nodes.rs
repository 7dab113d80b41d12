//! The registered nodes as one node keeps them, and their weights for a key.

use std::collections::{BTreeMap, HashMap};

use millwind_core::Instant;
use millwind_core::ids::ZoneName;
use millwind_store::StoreRevision;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::registry::NodeRecord;

/// Key under which the nodes of a zone are ranked as its relays.
const RELAY_KEY: &str = "relay";

/// A registered node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RegisteredNode {
    pub(crate) record: NodeRecord,
    /// Store revision of its record.
    pub(crate) revision: StoreRevision,
    /// Hash of its name.
    pub(crate) hash: u64,
    /// Zone of the record.
    pub(crate) zone: ZoneName,
    /// When this record was first seen here; what counts is that of a node that
    /// went.
    pub(crate) left_since: Instant,
}

impl RegisteredNode {
    /// A node as its record tells of it now.
    pub(crate) fn new(name: &str, record: NodeRecord, revision: StoreRevision) -> Self {
        RegisteredNode {
            revision,
            hash: hash_of(name),
            zone: ZoneName::from(record.zone.as_str()),
            left_since: clock::now(),
            record,
        }
    }

    /// Whether a node with this record stands in the place of this one.
    fn is_placed_as(&self, other: &NodeRecord) -> bool {
        self.record.zone == other.zone && self.record.peer_address == other.peer_address
    }
}

/// The registered nodes, with the hashes that orders of nodes follow from side by side.
#[derive(Debug, Default)]
pub(crate) struct Nodes {
    pub(crate) by_name: BTreeMap<String, RegisteredNode>,
    hashes: Vec<u64>,
    by_zone: HashMap<String, Vec<u64>>,
}

impl Nodes {
    /// The node of this name.
    pub(crate) fn get(&self, name: &str) -> Option<&RegisteredNode> {
        self.by_name.get(name)
    }

    /// Hashes of all nodes' names.
    pub(crate) fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// Hashes of the names of a zone's nodes.
    pub(crate) fn in_zone(&self, zone: &str) -> &[u64] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Takes a node in; true if that changes which nodes there are or where.
    pub(crate) fn insert(&mut self, name: &str, node: RegisteredNode) -> bool {
        if let Some(held) = self.by_name.get_mut(name) {
            if held.is_placed_as(&node.record) {
                *held = node;
                return false;
            }
            self.remove(name);
        }
        self.hashes.push(node.hash);
        let of_zone = self.by_zone.entry(node.record.zone.clone()).or_default();
        of_zone.push(node.hash);
        self.by_name.insert(name.to_owned(), node);
        true
    }

    /// Forgets a node; true if it was known.
    pub(crate) fn remove(&mut self, name: &str) -> bool {
        let Some(node) = self.by_name.remove(name) else {
            return false;
        };
        self.hashes.retain(|hash| *hash != node.hash);
        if let Some(of_zone) = self.by_zone.get_mut(&node.record.zone) {
            of_zone.retain(|hash| *hash != node.hash);
        }
        true
    }
}

/// A node with its weight for some key.
pub(crate) type Weighted<'a> = (u64, &'a String, &'a RegisteredNode);

/// Hash of a node's name, or of a key that nodes are ranked for.
pub(crate) fn hash_of(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Weight of a node for a key in rendezvous hashing, from the hashes of both.
pub(crate) fn weight(key: u64, node: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&node.to_le_bytes());
    xxh3_64(&bytes)
}

/// All nodes with their weights for `key`.
pub(crate) fn weigh<'a>(nodes: &'a Nodes, key: &str) -> impl Iterator<Item = Weighted<'a>> + use<'a> {
    let key = hash_of(key);
    nodes
        .by_name
        .iter()
        .map(move |(name, node)| (weight(key, node.hash), name, node))
}

/// A node's place in the order of its zone's relays, the greatest first: by its link,
/// then by its weight for [`RELAY_KEY`]. A relay sends the whole catalog, some 0.5 MB, to
/// each of 36 nodes that start at the same moment: 7 s of a link of 20 Mbit/s, and 0.7 s of
/// one of 200 (worked out for 3,000 instances).
pub(crate) fn relay_place(name: &str, node: Option<&RegisteredNode>) -> (u32, u64) {
    let link_mbps = node.map_or(0, |node| node.record.link_mbps);
    (link_mbps, weight(hash_of(RELAY_KEY), hash_of(name)))
}

/// The `count` heaviest, heaviest first.
pub(crate) fn heaviest(mut nodes: Vec<Weighted<'_>>, count: usize) -> Vec<Weighted<'_>> {
    let order =
        |left: &Weighted<'_>, right: &Weighted<'_>| right.0.cmp(&left.0).then_with(|| left.1.cmp(right.1));
    if nodes.len() > count {
        nodes.select_nth_unstable_by(count, order);
        nodes.truncate(count);
    }
    nodes.sort_unstable_by(order);
    nodes
}
