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
use millwind_store::{Entry, Listing, StoreRevision};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::clock;
use crate::directory::Directory;
use crate::registered_nodes::{
    Nodes, RegisteredNode, Weighted, hash_of, heaviest, relay_place, weigh, weight,
};
use crate::store_watch::Follower;

/// What a node tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// Zone it runs in.
    pub zone: String,
    /// What its link carries, in Mbit/s; zero where it does not tell. Nodes with wide
    /// links are relays before others.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub link_mbps: u32,
    /// How it went, if it did: it holds no permits to count on leaders, or none
    /// that do not run out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departure: Option<Departure>,
}

/// Whether a figure is left out of a record.
fn is_zero(figure: &u32) -> bool {
    *figure == 0
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
    /// Zone of this node.
    zone: String,
    directory: Arc<Directory>,
    own_changed: Notify,
    /// When this life of the node began.
    started: Instant,
    nodes: Mutex<Nodes>,
    /// This node's rank by key, with the version that it follows from.
    ranks: Mutex<HashMap<String, (u64, usize)>>,
    version: AtomicU64,
    /// When it last rose, in microseconds.
    changed_at_us: AtomicU64,
    /// Nodes that were weighed for some key so far.
    weighed: AtomicU64,
    is_listed: watch::Sender<bool>,
    /// The nodes of the own zone are known, if not all others.
    is_zone_known: watch::Sender<bool>,
}

fn candidate_of((weight, name, node): &Weighted<'_>, place: &OwnedPlace<'_>, own: &str) -> OwnerCandidate {
    OwnerCandidate {
        weight: *weight,
        nearness: Nearness::between(place.topology, place.zone, &node.zone),
        is_allowed: name.as_str() == own
            || OwnerCandidate::is_carrier(place.regions, place.topology, &node.zone),
    }
}

/// The nodes among which those sought for `place` are: the heaviest of each nearness.
/// Ranking 985 nodes takes 54 us of processor time (mean of 300 instances), so that only
/// instances to which statements go are ranked.
fn contenders<'a>(
    nodes: &'a Nodes,
    place: &OwnedPlace<'_>,
    own: &str,
    sought: OwnersSought,
) -> Vec<Weighted<'a>> {
    let count = sought.owners + sought.stand_ins;
    let mut classes: BTreeMap<(Nearness, bool), Vec<Weighted<'a>>> = BTreeMap::new();
    for weighed in weigh(nodes, place.instance.as_str()) {
        let candidate = candidate_of(&weighed, place, own);
        let class = (candidate.nearness, candidate.is_allowed);
        classes.entry(class).or_default().push(weighed);
    }
    let chosen = classes.into_values().flat_map(|class| heaviest(class, count));
    chosen.collect()
}

impl Registry {
    /// Records under `prefix`, seen by `node`, which runs in the zone of `directory`;
    /// whether it is registered is told to that.
    pub fn new(prefix: String, node: String, directory: Arc<Directory>) -> Self {
        Registry {
            prefix,
            node,
            zone: directory.zone().to_owned(),
            directory,
            own_changed: Notify::new(),
            started: clock::now(),
            nodes: Mutex::default(),
            ranks: Mutex::new(HashMap::new()),
            version: AtomicU64::new(0),
            weighed: AtomicU64::new(0),
            changed_at_us: AtomicU64::new(clock::now().0),
            is_listed: watch::Sender::new(false),
            is_zone_known: watch::Sender::new(false),
        }
    }

    /// Rises with each change of which nodes there are, or where they run: of all that
    /// owners and orders of nodes follow from. How a node went changes neither.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Whether the store or a peer has told of the other nodes.
    pub fn is_listed(&self) -> bool {
        *self.is_listed.borrow()
    }

    /// Whether the nodes of the own zone are known.
    pub fn is_zone_known(&self) -> bool {
        *self.is_zone_known.borrow()
    }

    /// Waits until the nodes of the own zone are known.
    pub async fn await_zone_known(&self) {
        // The sender lives as long as the registry.
        let _ = self
            .is_zone_known
            .subscribe()
            .wait_for(|is_known| *is_known)
            .await;
    }

    /// Prefix of the records of the own zone's nodes.
    pub fn zone_prefix(&self) -> String {
        format!("{}{}/", self.prefix, self.zone)
    }

    /// The nodes of the own zone were read, as they were a moment ago; of the others
    /// nothing is known by that.
    pub fn zone_learned(&self, listing: Listing) {
        self.apply(listing.entries);
        self.is_zone_known.send_replace(true);
    }

    /// Waits until the store or a peer has told of the other nodes.
    pub async fn await_listed(&self) {
        // The sender lives as long as the registry.
        let _ = self.is_listed.subscribe().wait_for(|is_listed| *is_listed).await;
    }

    /// Time since which nodes there are last changed, in milliseconds.
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
        self.weighed
            .fetch_add(nodes.hashes().len() as u64, Ordering::Relaxed);
        let weighed = contenders(&nodes, place, &self.node, sought);
        let candidate = |weighed: &Weighted<'_>| candidate_of(weighed, place, &self.node);
        let candidates: Vec<_> = weighed.iter().map(candidate).collect();
        let ranked = rank_owners(&candidates, sought);
        let pick = |indices: Vec<usize>| {
            let chosen = indices.into_iter().map(|index| &weighed[index]);
            chosen.map(|weighed| self.owner(weighed)).collect()
        };
        OwnersOf {
            owners: pick(ranked.owners),
            stand_ins: pick(ranked.stand_ins),
        }
    }

    /// Whether this node is one of the `count` that own connections to an instance in
    /// `zone`, where that follows from the nodes of the zone alone; none where the zone
    /// has fewer nodes.
    pub fn is_owner_within(&self, instance: &InstanceName, zone: &ZoneName, count: usize) -> Option<bool> {
        let nodes = self.nodes();
        let of_zone = nodes.in_zone(zone.as_str());
        if of_zone.len() < count {
            return None;
        }
        let is_here = nodes.get(&self.node).is_some_and(|own| own.zone == *zone);
        Some(is_here && self.is_ahead_of_all_but(count, instance.as_str(), of_zone))
    }

    /// Whether this node is one of the first `count` of all nodes for `key`.
    pub fn is_among_first(&self, key: &str, count: usize) -> bool {
        self.is_ahead_of_all_but(count, key, self.nodes().hashes())
    }

    /// Whether fewer than `count` of the nodes with these hashes come before this one for
    /// `key`. It looks no further than that: 20 of 985 nodes on average, so that this can
    /// be asked of every group.
    fn is_ahead_of_all_but(&self, count: usize, key: &str, hashes: &[u64]) -> bool {
        let key = hash_of(key);
        let own = weight(key, hash_of(&self.node));
        let mut ahead = 0;
        let last = hashes.iter().position(|node| {
            ahead += usize::from(weight(key, *node) > own);
            ahead == count
        });
        let weighed = last.map_or(hashes.len(), |last| last + 1);
        self.weighed.fetch_add(weighed as u64, Ordering::Relaxed);
        last.is_none()
    }

    /// How many nodes this one has weighed to tell who comes first: what decisions on
    /// owners and watchers cost.
    pub fn nodes_weighed(&self) -> u64 {
        self.weighed.load(Ordering::Relaxed)
    }

    fn owner(&self, (_, name, node): &Weighted<'_>) -> Owner {
        Owner {
            address: node.record.peer_address,
            zone: node.zone.clone(),
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
        self.nodes().in_zone(zone).len()
    }

    /// How many nodes of a zone come before this one as its relays.
    pub fn zone_rank(&self, zone: &str) -> usize {
        let nodes = self.nodes();
        let own = relay_place(&self.node, nodes.get(&self.node));
        let of_zone = nodes.by_name.iter().filter(|(_, node)| node.record.zone == zone);
        of_zone
            .filter(|(name, node)| relay_place(name, Some(node)) > own)
            .count()
    }

    /// How many of the nodes with these hashes come before this one for `key`.
    fn count_ahead(&self, key: &str, hashes: &[u64]) -> usize {
        let key = hash_of(key);
        let own = weight(key, hash_of(&self.node));
        hashes.iter().filter(|node| weight(key, **node) > own).count()
    }

    /// The other nodes of a zone in the order in which they are its relays.
    pub fn zone_peers(&self, zone: &str) -> Vec<SocketAddr> {
        let nodes = self.nodes();
        let others = nodes.by_name.iter().filter(|(name, _)| **name != self.node);
        let in_zone = others.filter(|(_, node)| node.record.zone == zone);
        let mut placed: Vec<_> = in_zone
            .map(|(name, node)| (relay_place(name, Some(node)), node.record.peer_address))
            .collect();
        placed.sort_unstable_by(|left, right| right.cmp(left));
        placed.into_iter().map(|(_, address)| address).collect()
    }

    fn nodes(&self) -> MutexGuard<'_, Nodes> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The other nodes.
    pub fn peers(&self) -> Vec<(String, NodeRecord)> {
        let nodes = self.nodes();
        let others = nodes.by_name.iter().filter(|(name, _)| **name != self.node);
        others
            .map(|(name, node)| (name.clone(), node.record.clone()))
            .collect()
    }

    /// Nodes known, this one included.
    pub fn count(&self) -> usize {
        let nodes = self.nodes();
        nodes.by_name.len() + usize::from(nodes.get(&self.node).is_none())
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
        let rank = self.count_ahead(key, self.nodes().hashes());
        ranks.insert(key.to_owned(), (version, rank));
        rank
    }

    /// This node's record as it is known, with its revision, which is none where
    /// there is none.
    pub fn own_record(&self) -> (Option<NodeRecord>, StoreRevision) {
        let nodes = self.nodes();
        let own = nodes.get(&self.node);
        let revision = own.map_or(StoreRevision::NONE, |own| own.revision);
        (own.map(|own| own.record.clone()), revision)
    }

    /// The key of the record of a node in `zone`.
    pub fn key(&self, zone: &str, node: &str) -> String {
        format!("{}{zone}/{node}", self.prefix)
    }

    /// The name of the node whose record lies under `key`.
    fn name_in<'a>(&self, key: &'a str) -> Option<&'a str> {
        let place = key.strip_prefix(&self.prefix)?;
        // Nodes of older versions leave the zone out.
        Some(place.rsplit_once('/').map_or(place, |(_, name)| name))
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
    pub fn written(&self, name: &str, record: NodeRecord, revision: StoreRevision) {
        if self.keep(&mut self.nodes(), name, record, revision) {
            self.changed();
        }
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
        let others = nodes.by_name.iter().filter(|(name, _)| **name != self.node);
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
    pub fn present_at(&self, address: SocketAddr) -> Option<(String, NodeRecord, StoreRevision)> {
        let nodes = self.nodes();
        let nodes = &nodes.by_name;
        let mut present = nodes.iter().filter(|(_, node)| node.record.departure.is_none());
        let (name, node) = present.find(|(_, node)| node.record.peer_address == address)?;
        Some((name.clone(), node.record.clone(), node.revision))
    }

    /// Takes in a node's record unless a newer one is known; true if that changes which
    /// nodes there are or where.
    fn keep(&self, nodes: &mut Nodes, name: &str, record: NodeRecord, revision: StoreRevision) -> bool {
        let mut node = RegisteredNode::new(name, record, revision);
        if let Some(held) = nodes.get(name) {
            if held.revision > revision {
                return false;
            }
            if held.record == node.record {
                node.left_since = held.left_since;
            }
        }
        nodes.insert(name, node)
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

    fn apply_to(&self, nodes: &mut Nodes, entries: Vec<Entry>) {
        let mut has_changed = false;
        for entry in entries {
            let Some(name) = self.name_in(&entry.key) else {
                continue;
            };
            let record = entry
                .value
                .and_then(|value| serde_json::from_slice::<NodeRecord>(&value).ok());
            has_changed |= match record {
                Some(record) => self.keep(nodes, name, record, entry.revision),
                None => nodes.remove(name),
            };
        }
        if has_changed {
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
                .filter_map(|entry| self.name_in(&entry.key))
                .collect();
            let known = nodes.by_name.keys();
            let gone: Vec<String> = known
                .filter(|name| !names.contains(name.as_str()))
                .cloned()
                .collect();
            for name in &gone {
                nodes.remove(name);
            }
            if !gone.is_empty() {
                self.changed();
            }
        }
        self.apply(listing.entries);
        self.is_zone_known.send_replace(true);
        if !self.is_listed.send_replace(true) {
            self.changed();
        }
    }

    fn changed(&self, entries: Vec<Entry>) {
        self.apply(entries);
    }
}
