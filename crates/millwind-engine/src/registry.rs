//! The nodes of the deployment, each under a key of its own in the store.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::data_residency::{AllowedRegions, Topology};
use millwind_core::ids::{InstanceName, ZoneName};
use millwind_core::lead_permit::PERMIT_MS;
use millwind_core::owner_ranking::{Nearness, OwnerCandidate, OwnersSought, rank_owners};
use millwind_store::{Entry, Listing};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::directory::Directory;
use crate::store_watch::Follower;

/// Key under which the nodes of a zone are ranked as its relays.
const RELAY_KEY: &str = "relay";

/// What a node tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// Zone it runs in.
    pub zone: String,
    /// How it went, if it did: it holds no permits to count on leaders, or none
    /// that do not run out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departure: Option<Departure>,
}

/// How a node went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Departure {
    /// It stopped as planned, and said so itself.
    Stopped,
    /// Other nodes have not reached it for a while.
    Unreachable,
}

/// A node that owns connections, or stands in for one that does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// It is this node.
    pub is_self: bool,
}

/// What an instance's owners are sought by.
#[derive(Debug, Clone, Copy)]
pub struct OwnedPlace<'a> {
    /// The instance.
    pub instance: &'a InstanceName,
    /// Its zone.
    pub zone: &'a ZoneName,
    /// Regions of the zones.
    pub topology: &'a Topology,
    /// Regions that the statement's customer allows.
    pub regions: &'a AllowedRegions,
}

/// Nodes through which an instance is reached, first ones first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnersOf {
    /// Those that own connections.
    pub owners: Vec<Owner>,
    /// Those that stand in for them.
    pub stand_ins: Vec<Owner>,
}

/// All nodes that have registered.
#[derive(Debug)]
pub struct Registry {
    prefix: String,
    node: String,
    directory: Arc<Directory>,
    own_changed: Notify,
    /// When this life of the node began.
    started: Instant,
    nodes: Mutex<BTreeMap<String, RegisteredNode>>,
    /// This node's rank by key, with the version that it follows from.
    ranks: Mutex<HashMap<String, (u64, usize)>>,
    version: AtomicU64,
    /// When that was, in microseconds.
    changed_at_us: AtomicU64,
    is_listed: watch::Sender<bool>,
}

/// A registered node.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RegisteredNode {
    record: NodeRecord,
    /// Store revision of its record.
    revision: u64,
    /// Hash of its name.
    hash: u64,
    /// When this record was first seen here; what counts is that of a node that
    /// went.
    left_since: Instant,
}

impl RegisteredNode {
    fn new(name: &str, record: NodeRecord, revision: u64) -> Self {
        RegisteredNode {
            record,
            revision,
            hash: hash_of(name),
            left_since: clock::now(),
        }
    }
}

/// A node with its weight for some key.
type Weighted<'a> = (u64, &'a String, &'a RegisteredNode);

fn hash_of(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Weight of a node for a key in rendezvous hashing, from the hashes of both:
/// every instance is ranked over every node whenever the nodes change.
fn weight(key: u64, node: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&node.to_le_bytes());
    xxh3_64(&bytes)
}

/// All nodes with their weights for `key`.
fn weigh<'a>(
    nodes: &'a BTreeMap<String, RegisteredNode>,
    key: &str,
) -> impl Iterator<Item = Weighted<'a>> + use<'a> {
    let key = hash_of(key);
    nodes
        .iter()
        .map(move |(name, node)| (weight(key, node.hash), name, node))
}

/// The `count` heaviest, heaviest first.
fn heaviest(mut nodes: Vec<Weighted<'_>>, count: usize) -> Vec<Weighted<'_>> {
    let order =
        |left: &Weighted<'_>, right: &Weighted<'_>| right.0.cmp(&left.0).then_with(|| left.1.cmp(right.1));
    if nodes.len() > count {
        nodes.select_nth_unstable_by(count, order);
        nodes.truncate(count);
    }
    nodes.sort_unstable_by(order);
    nodes
}

impl Registry {
    /// Records under `prefix`, seen by `node`; whether it is registered is told
    /// to `directory`.
    pub fn new(prefix: String, node: String, directory: Arc<Directory>) -> Self {
        Registry {
            prefix,
            node,
            directory,
            own_changed: Notify::new(),
            started: clock::now(),
            nodes: Mutex::new(BTreeMap::new()),
            ranks: Mutex::new(HashMap::new()),
            version: AtomicU64::new(0),
            changed_at_us: AtomicU64::new(clock::now().0),
            is_listed: watch::Sender::new(false),
        }
    }

    /// Rises with each change of what is known.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Whether the store or a peer has told of the other nodes.
    pub fn is_listed(&self) -> bool {
        *self.is_listed.borrow()
    }

    /// Waits until the store or a peer has told of the other nodes.
    pub async fn await_listed(&self) {
        // The sender lives as long as the registry.
        let _ = self.is_listed.subscribe().wait_for(|is_listed| *is_listed).await;
    }

    /// Time since what is known last changed, in milliseconds.
    pub fn unchanged_ms(&self) -> u64 {
        let changed = Instant(self.changed_at_us.load(Ordering::Relaxed));
        clock::now().millis_since(changed)
    }

    fn changed(&self) {
        self.changed_at_us.store(clock::now().0, Ordering::Relaxed);
        self.version.fetch_add(1, Ordering::Relaxed);
    }

    /// The nodes that own connections to an instance, and those that stand in for
    /// them, by rendezvous hashing among those that stand nearest.
    pub fn owners(&self, place: &OwnedPlace<'_>, sought: OwnersSought) -> OwnersOf {
        let nodes = self.nodes();
        let weighed: Vec<_> = weigh(&nodes, place.instance.as_str()).collect();
        let owners: Vec<_> = weighed.iter().map(|weighed| self.owner(weighed)).collect();
        let candidate = |(owner, (weight, ..)): (&Owner, &Weighted<'_>)| OwnerCandidate {
            weight: *weight,
            nearness: Nearness::between(place.topology, place.zone, &owner.zone),
            is_allowed: owner.is_self
                || OwnerCandidate::is_carrier(place.regions, place.topology, &owner.zone),
        };
        let candidates: Vec<_> = owners.iter().zip(&weighed).map(candidate).collect();
        let ranked = rank_owners(&candidates, sought);
        let pick = |indices: Vec<usize>| indices.into_iter().map(|index| owners[index].clone()).collect();
        OwnersOf {
            owners: pick(ranked.owners),
            stand_ins: pick(ranked.stand_ins),
        }
    }

    fn owner(&self, (_, name, node): &Weighted<'_>) -> Owner {
        Owner {
            address: node.record.peer_address,
            zone: ZoneName::from(node.record.zone.as_str()),
            is_self: **name == self.node,
        }
    }

    /// The first `count` nodes for `key` by rendezvous hashing, wherever they
    /// run.
    pub fn first_for(&self, key: &str, count: usize) -> Vec<Owner> {
        let nodes = self.nodes();
        let chosen = heaviest(weigh(&nodes, key).collect(), count);
        chosen.iter().map(|weighed| self.owner(weighed)).collect()
    }

    /// The other nodes that this one compares its catalog with: up to `near` of
    /// its own zone and up to `far` of others, by rendezvous hashing, so that
    /// the number of links does not grow with the number of nodes.
    pub fn neighbours(&self, zone: &str, near: usize, far: usize) -> Vec<SocketAddr> {
        let nodes = self.nodes();
        let others = weigh(&nodes, &self.node).filter(|(_, name, _)| **name != self.node);
        let (inside, outside): (Vec<_>, Vec<_>) = others.partition(|(_, _, node)| node.record.zone == zone);
        let inside = heaviest(inside, near);
        let outside = heaviest(outside, far);
        let chosen = inside.iter().chain(&outside);
        chosen.map(|(_, _, node)| node.record.peer_address).collect()
    }

    /// Nodes of a zone, this one included if it runs there and is registered.
    pub fn zone_count(&self, zone: &str) -> usize {
        let nodes = self.nodes();
        nodes.values().filter(|node| node.record.zone == zone).count()
    }

    /// How many nodes of a zone come before this one as its relays.
    pub fn zone_rank(&self, zone: &str) -> usize {
        self.count_ahead(RELAY_KEY, |record| record.zone == zone)
    }

    /// How many of the other nodes that `is_candidate` takes come before this
    /// one for `key`.
    fn count_ahead(&self, key: &str, is_candidate: impl Fn(&NodeRecord) -> bool) -> usize {
        let key = hash_of(key);
        let own = weight(key, hash_of(&self.node));
        self.nodes()
            .iter()
            .filter(|(name, node)| **name != self.node && is_candidate(&node.record))
            .filter(|(_, node)| weight(key, node.hash) > own)
            .count()
    }

    /// The other nodes of a zone in the order in which they are its relays.
    pub fn zone_peers(&self, zone: &str) -> Vec<SocketAddr> {
        let nodes = self.nodes();
        let in_zone: Vec<_> = weigh(&nodes, RELAY_KEY)
            .filter(|(_, name, node)| **name != self.node && node.record.zone == zone)
            .collect();
        let count = in_zone.len();
        let ranked = heaviest(in_zone, count);
        ranked
            .iter()
            .map(|(_, _, node)| node.record.peer_address)
            .collect()
    }

    fn nodes(&self) -> MutexGuard<'_, BTreeMap<String, RegisteredNode>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The other nodes.
    pub fn peers(&self) -> Vec<(String, NodeRecord)> {
        self.nodes()
            .iter()
            .filter(|(name, _)| **name != self.node)
            .map(|(name, node)| (name.clone(), node.record.clone()))
            .collect()
    }

    /// Nodes known, this one included.
    pub fn count(&self) -> usize {
        let nodes = self.nodes();
        nodes.len() + usize::from(!nodes.contains_key(&self.node))
    }

    /// How many nodes come before this one for `key`, by rendezvous hashing:
    /// spread evenly and agreed without a message.
    pub fn rank(&self, key: &str) -> usize {
        let version = self.version();
        let mut ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((held, rank)) = ranks.get(key)
            && *held == version
        {
            return *rank;
        }
        let rank = self.count_ahead(key, |_| true);
        ranks.insert(key.to_owned(), (version, rank));
        rank
    }

    /// This node's record as it is known, with its revision; revision zero where
    /// there is none.
    pub fn own_record(&self) -> (Option<NodeRecord>, u64) {
        let nodes = self.nodes();
        let own = nodes.get(&self.node);
        let revision = own.map_or(0, |own| own.revision);
        (own.map(|own| own.record.clone()), revision)
    }

    /// The key of a node's record.
    pub fn key(&self, node: &str) -> String {
        format!("{}{node}", self.prefix)
    }

    /// Name of this node.
    pub fn own_name(&self) -> &str {
        &self.node
    }

    /// The prefix of all records.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// The store has taken `record` of a node under `revision`.
    pub fn written(&self, name: &str, record: NodeRecord, revision: u64) {
        self.keep(&mut self.nodes(), name, record, revision);
        self.changed();
        if name == self.node {
            self.tell_registration(Some(clock::now()));
        }
    }

    /// Addresses of the other nodes that may hold permits to count on leaders:
    /// all that are registered, but for those that stopped as planned, and those
    /// that were marked so long ago that theirs have run out.
    pub fn permit_holders(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let nodes = self.nodes();
        let others = nodes.iter().filter(|(name, _)| **name != self.node);
        others
            .filter(|(_, node)| match node.record.departure {
                None => true,
                Some(Departure::Stopped) => false,
                Some(Departure::Unreachable) => now.millis_since(node.left_since) < PERMIT_MS,
            })
            .map(|(_, node)| node.record.peer_address)
            .collect()
    }

    /// Where a node is reached; none for one that is not known.
    pub fn address_of(&self, node: &str) -> Option<SocketAddr> {
        self.nodes().get(node).map(|node| node.record.peer_address)
    }

    /// A node with its record's revision, by its address; none for one that is
    /// known to have gone.
    pub fn present_at(&self, address: SocketAddr) -> Option<(String, NodeRecord, u64)> {
        let nodes = self.nodes();
        let mut present = nodes.iter().filter(|(_, node)| node.record.departure.is_none());
        let (name, node) = present.find(|(_, node)| node.record.peer_address == address)?;
        Some((name.clone(), node.record.clone(), node.revision))
    }

    fn keep(
        &self,
        nodes: &mut BTreeMap<String, RegisteredNode>,
        name: &str,
        record: NodeRecord,
        revision: u64,
    ) {
        let mut node = RegisteredNode::new(name, record, revision);
        if let Some(held) = nodes.get(name) {
            if held.revision > revision {
                return;
            }
            if held.record == node.record {
                node.left_since = held.left_since;
            }
        }
        nodes.insert(name.to_owned(), node);
    }

    /// Tells the directory since when this node is registered, which is what its
    /// permits rest on, and those who wait for a change of its record.
    fn tell_registration(&self, since: Option<Instant>) {
        self.directory.registered(since);
        self.own_changed.notify_one();
    }

    /// Waits until this node's record may have changed.
    pub async fn own_changed(&self) {
        self.own_changed.notified().await;
    }

    /// Takes in what is now known of this node's own record.
    fn judge_registration(&self) {
        let is_present = self.own_record().0.is_some_and(|own| own.departure.is_none());
        match (is_present, self.directory.registered_since()) {
            // Written by an earlier life of this node, before this one began.
            (true, None) => self.tell_registration(Some(self.started)),
            (false, Some(_)) => self.tell_registration(None),
            _ => {}
        }
    }

    /// Takes in records as the store holds them.
    pub fn apply(&self, entries: Vec<Entry>) {
        self.apply_to(&mut self.nodes(), entries);
        self.judge_registration();
    }

    fn apply_to(&self, nodes: &mut BTreeMap<String, RegisteredNode>, entries: Vec<Entry>) {
        for entry in entries {
            let Some(name) = entry.key.strip_prefix(&self.prefix) else {
                continue;
            };
            let record = entry
                .value
                .and_then(|value| serde_json::from_slice::<NodeRecord>(&value).ok());
            match record {
                Some(record) => self.keep(nodes, name, record, entry.revision),
                None => {
                    nodes.remove(name);
                }
            }
            self.changed();
        }
    }
}

impl Follower for Registry {
    fn name(&self) -> &'static str {
        "nodes"
    }

    fn listed(&self, listing: Listing) {
        {
            let mut nodes = self.nodes();
            let names: BTreeSet<&str> = listing
                .entries
                .iter()
                .filter_map(|entry| entry.key.strip_prefix(&self.prefix))
                .collect();
            nodes.retain(|name, _| names.contains(name.as_str()));
        }
        self.apply(listing.entries);
        self.changed();
        self.is_listed.send_replace(true);
    }

    fn changed(&self, entries: Vec<Entry>) {
        self.apply(entries);
    }
}
