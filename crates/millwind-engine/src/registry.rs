//! Registry of the deployment's nodes, each stored under its own key.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::{info, warn};
use millwind_core::Instant;
use millwind_core::data_residency::{AllowedRegions, Topology};
use millwind_core::ids::{InstanceName, ZoneName};
use millwind_core::owner_ranking::{OwnerCandidate, OwnerCounts, Proximity, rank_owners};
pub use millwind_core::registration::{Departure, ProcessId, Registration};
use millwind_store::{Entry, Listing, StoreRevision};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::clock;
use crate::directory::Directory;
use crate::registered_nodes::{
    Nodes, RegisteredNode, WeightedNode, hash_of, heaviest, relay_rank, rendezvous_weight, weighted_nodes,
};
use crate::store_watch::Follower;

/// Record that a node publishes in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Address of the node's listener for other nodes.
    pub peer_address: SocketAddr,
    /// Zone the node runs in.
    pub zone: String,
    /// Link bandwidth in Mbit/s, or zero if unknown. Nodes with more bandwidth rank
    /// higher as relays.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub link_mbps: u32,
    /// The process that the record speaks for, and whether it is present.
    #[serde(flatten)]
    pub registration: Registration,
}

/// Returns whether the field is left out of the serialized record.
fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// Node that owns connections to an instance, or is a backup owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Address of the node's listener for other nodes.
    pub address: SocketAddr,
    /// Zone the node runs in.
    pub zone: ZoneName,
    /// Whether this is the local node.
    pub is_self: bool,
}

/// Inputs for choosing the owners of an instance.
#[derive(Debug, Clone, Copy)]
pub struct OwnerQuery<'a> {
    /// Instance whose owners are chosen.
    pub instance: &'a InstanceName,
    /// Zone of the instance.
    pub zone: &'a ZoneName,
    /// Mapping of zones to regions.
    pub topology: &'a Topology,
    /// Regions in which the statement's customer allows processing.
    pub regions: &'a AllowedRegions,
}

/// Nodes through which an instance is reached, in order of preference.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InstanceOwners {
    /// Nodes that own connections to the instance.
    pub owners: Vec<Owner>,
    /// Nodes that take over when no owner is reachable.
    pub backup_owners: Vec<Owner>,
}

/// The nodes that may hold lead permits.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PermitHolders {
    /// Addresses of the processes that may hold permits.
    pub addresses: Vec<SocketAddr>,
    /// Number of nodes that have left and whose processes hold no permits.
    pub departed: usize,
}

/// The local view of all registered nodes.
#[derive(Debug)]
pub struct Registry {
    prefix: String,
    node: String,
    /// This process, as its record names it; `None` where promotions fence.
    process: Option<ProcessId>,
    /// Zone of this node.
    zone: String,
    directory: Arc<Directory>,
    own_record_changed: Notify,
    /// Revision of this node's record, and whether it registers this process.
    own_state: Mutex<(StoreRevision, bool)>,
    nodes: Mutex<Nodes>,
    /// Rank of this node by key, with the registry version it was computed from.
    rank_cache: Mutex<HashMap<String, (u64, usize)>>,
    version: AtomicU64,
    /// Time of the last version change, in microseconds.
    version_changed_at_us: AtomicU64,
    /// Number of rendezvous weights computed so far.
    weights_computed: AtomicU64,
    is_listed: watch::Sender<bool>,
    /// Whether the nodes of this node's zone are known; other zones may still be unknown.
    is_zone_known: watch::Sender<bool>,
}

fn owner_candidate(
    (weight, name, node): &WeightedNode<'_>,
    query: &OwnerQuery<'_>,
    own_name: &str,
) -> OwnerCandidate {
    OwnerCandidate {
        weight: *weight,
        proximity: Proximity::between(query.topology, query.zone, &node.zone),
        is_allowed: name.as_str() == own_name
            || OwnerCandidate::may_forward(query.regions, query.topology, &node.zone),
    }
}

/// Returns the nodes that can be among the `counts` owners of `query`'s instance: the
/// heaviest of each combination of proximity and permission.
///
/// Ranking takes time proportional to the number of nodes, so callers rank only instances
/// that receive statements.
fn owner_shortlist<'a>(
    nodes: &'a Nodes,
    query: &OwnerQuery<'_>,
    own_name: &str,
    counts: OwnerCounts,
) -> Vec<WeightedNode<'a>> {
    let count = counts.owners + counts.backup_owners;
    let mut classes: BTreeMap<(Proximity, bool), Vec<WeightedNode<'a>>> = BTreeMap::new();
    for weighted in weighted_nodes(nodes, query.instance.as_str()) {
        let candidate = owner_candidate(&weighted, query, own_name);
        let class = (candidate.proximity, candidate.is_allowed);
        classes.entry(class).or_default().push(weighted);
    }
    let chosen = classes.into_values().flat_map(|class| heaviest(class, count));
    chosen.collect()
}

impl Registry {
    /// Creates an empty registry for the process `process` of `node`, with records under
    /// `prefix`. The zone is that of `directory`, which is also informed when this process is
    /// registered.
    pub fn new(prefix: String, node: String, process: ProcessId, directory: Arc<Directory>) -> Self {
        Registry {
            prefix,
            node,
            process: (!directory.is_fenced()).then_some(process),
            zone: directory.zone().to_owned(),
            directory,
            own_record_changed: Notify::new(),
            own_state: Mutex::default(),
            nodes: Mutex::default(),
            rank_cache: Mutex::new(HashMap::new()),
            version: AtomicU64::new(0),
            weights_computed: AtomicU64::new(0),
            version_changed_at_us: AtomicU64::new(clock::now().0),
            is_listed: watch::Sender::new(false),
            is_zone_known: watch::Sender::new(false),
        }
    }

    /// Returns a counter that increases when a node is added, removed, or changes its
    /// zone or address. A change of a node's departure or bandwidth does not increase the
    /// counter.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Returns whether the list of all nodes was received from the store or a peer.
    pub fn is_listed(&self) -> bool {
        *self.is_listed.borrow()
    }

    /// Returns whether the nodes of this node's zone are known.
    pub fn is_zone_known(&self) -> bool {
        *self.is_zone_known.borrow()
    }

    /// Waits until the nodes of this node's zone are known.
    pub async fn await_zone_known(&self) {
        // The sender lives as long as the registry, so the wait cannot fail.
        let _ = self
            .is_zone_known
            .subscribe()
            .wait_for(|is_known| *is_known)
            .await;
    }

    /// Returns the key prefix of the records of this node's zone.
    pub fn zone_prefix(&self) -> String {
        format!("{}{}/", self.prefix, self.zone)
    }

    /// Applies a listing of this node's zone, which may be slightly out of date and does
    /// not cover other zones.
    pub fn apply_zone_listing(&self, listing: Listing) {
        self.apply(listing.entries);
        self.is_zone_known.send_replace(true);
    }

    /// Waits until the list of all nodes was received from the store or a peer.
    pub async fn await_listed(&self) {
        // The sender lives as long as the registry, so the wait cannot fail.
        let _ = self.is_listed.subscribe().wait_for(|is_listed| *is_listed).await;
    }

    /// Returns the time since the last change of [`Registry::version`], in milliseconds.
    pub fn unchanged_ms(&self) -> u64 {
        let changed = Instant(self.version_changed_at_us.load(Ordering::Relaxed));
        clock::now().millis_since(changed)
    }

    fn changed(&self) {
        self.version_changed_at_us
            .store(clock::now().0, Ordering::Relaxed);
        self.version.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the owners and backup owners of an instance, chosen by rendezvous
    /// hashing among the nearest nodes.
    pub fn owners(&self, query: &OwnerQuery<'_>, counts: OwnerCounts) -> InstanceOwners {
        let nodes = self.nodes();
        self.weights_computed
            .fetch_add(nodes.hashes().len() as u64, Ordering::Relaxed);
        let weighted = owner_shortlist(&nodes, query, &self.node, counts);
        let candidate = |weighted: &WeightedNode<'_>| owner_candidate(weighted, query, &self.node);
        let candidates: Vec<_> = weighted.iter().map(candidate).collect();
        let ranked = rank_owners(&candidates, counts);
        let pick = |indices: Vec<usize>| {
            let chosen = indices.into_iter().map(|index| &weighted[index]);
            chosen.map(|weighted| self.owner(weighted)).collect()
        };
        InstanceOwners {
            owners: pick(ranked.owners),
            backup_owners: pick(ranked.backup_owners),
        }
    }

    /// Returns whether this node is one of the `count` owners of an instance in `zone`,
    /// or `None` if the zone has fewer than `count` nodes and owners in other zones must
    /// be considered.
    pub fn is_owner_within(&self, instance: &InstanceName, zone: &ZoneName, count: usize) -> Option<bool> {
        let nodes = self.nodes();
        let in_zone = nodes.in_zone(zone.as_str());
        if in_zone.len() < count {
            return None;
        }
        let is_here = nodes.get(&self.node).is_some_and(|own| own.zone == *zone);
        Some(is_here && self.ranks_within(count, instance.as_str(), in_zone))
    }

    /// Returns whether this node is among the first `count` nodes for `key`.
    pub fn is_among_first(&self, key: &str, count: usize) -> bool {
        self.ranks_within(count, key, self.nodes().hashes())
    }

    /// Returns whether fewer than `count` of the hashed nodes rank before this node for
    /// `key`. The scan stops at the `count`th such node, which keeps the check cheap
    /// enough to run for every group.
    fn ranks_within(&self, count: usize, key: &str, hashes: &[u64]) -> bool {
        let key = hash_of(key);
        let own_weight = rendezvous_weight(key, hash_of(&self.node));
        let mut ahead = 0;
        let cutoff = hashes.iter().position(|node| {
            ahead += usize::from(rendezvous_weight(key, *node) > own_weight);
            ahead == count
        });
        let computed = cutoff.map_or(hashes.len(), |cutoff| cutoff + 1);
        self.weights_computed
            .fetch_add(computed as u64, Ordering::Relaxed);
        cutoff.is_none()
    }

    /// Returns the number of rendezvous weights computed so far, a measure of the cost of
    /// choosing owners and watchers.
    pub fn weights_computed(&self) -> u64 {
        self.weights_computed.load(Ordering::Relaxed)
    }

    fn owner(&self, (_, name, node): &WeightedNode<'_>) -> Owner {
        Owner {
            address: node.record.peer_address,
            zone: node.zone.clone(),
            is_self: **name == self.node,
        }
    }

    /// Returns the first `count` nodes for `key` by rendezvous hashing, regardless of
    /// zone.
    pub fn top_nodes_for(&self, key: &str, count: usize) -> Vec<Owner> {
        let nodes = self.nodes();
        let chosen = heaviest(weighted_nodes(&nodes, key).collect(), count);
        chosen.iter().map(|weighted| self.owner(weighted)).collect()
    }

    /// Returns the addresses of the peers with which this node compares its catalog: up
    /// to `near` in `zone` and up to `far` in other zones, chosen by rendezvous hashing.
    /// The limits keep the number of links independent of the number of nodes.
    pub fn neighbours(&self, zone: &str, near: usize, far: usize) -> Vec<SocketAddr> {
        let nodes = self.nodes();
        let others = weighted_nodes(&nodes, &self.node).filter(|(_, name, _)| **name != self.node);
        let (inside, outside): (Vec<_>, Vec<_>) = others.partition(|(_, _, node)| node.record.zone == zone);
        let inside = heaviest(inside, near);
        let outside = heaviest(outside, far);
        let chosen = inside.iter().chain(&outside);
        chosen.map(|(_, _, node)| node.record.peer_address).collect()
    }

    /// Returns the number of registered nodes in `zone`.
    pub fn zone_count(&self, zone: &str) -> usize {
        self.nodes().in_zone(zone).len()
    }

    /// Returns how many nodes of `zone` rank before this node as relays.
    pub fn zone_rank(&self, zone: &str) -> usize {
        let nodes = self.nodes();
        let own_rank = relay_rank(&self.node, nodes.get(&self.node));
        let in_zone = nodes.by_name.iter().filter(|(_, node)| node.record.zone == zone);
        in_zone
            .filter(|(name, node)| relay_rank(name, Some(node)) > own_rank)
            .count()
    }

    /// Returns how many of the hashed nodes rank before this node for `key`.
    fn count_ranked_ahead(&self, key: &str, hashes: &[u64]) -> usize {
        let key = hash_of(key);
        let own_weight = rendezvous_weight(key, hash_of(&self.node));
        hashes
            .iter()
            .filter(|node| rendezvous_weight(key, **node) > own_weight)
            .count()
    }

    /// Returns the addresses of the other nodes of `zone`, in their order as relays.
    pub fn zone_peers(&self, zone: &str) -> Vec<SocketAddr> {
        let nodes = self.nodes();
        let others = nodes.by_name.iter().filter(|(name, _)| **name != self.node);
        let in_zone = others.filter(|(_, node)| node.record.zone == zone);
        let mut ranked: Vec<_> = in_zone
            .map(|(name, node)| (relay_rank(name, Some(node)), node.record.peer_address))
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns whether no other node ranks before this one in the order of relays.
    pub fn is_first(&self) -> bool {
        let nodes = self.nodes();
        let own_rank = relay_rank(&self.node, nodes.get(&self.node));
        let mut others = nodes.by_name.iter().filter(|(name, _)| **name != self.node);
        others.all(|(name, node)| relay_rank(name, Some(node)) < own_rank)
    }

    /// Returns the address of the other node that ranks first in the order of relays among
    /// those that are usable.
    pub fn highest_ranked_peer(&self, is_usable: impl Fn(&SocketAddr) -> bool) -> Option<SocketAddr> {
        let nodes = self.nodes();
        let others = nodes.by_name.iter().filter(|(name, _)| **name != self.node);
        let usable = others.filter(|(_, node)| is_usable(&node.record.peer_address));
        let first = usable.max_by_key(|(name, node)| relay_rank(name, Some(node)));
        first.map(|(_, node)| node.record.peer_address)
    }

    fn nodes(&self) -> MutexGuard<'_, Nodes> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the names and records of the other nodes.
    pub fn peers(&self) -> Vec<(String, NodeRecord)> {
        let nodes = self.nodes();
        let others = nodes.by_name.iter().filter(|(name, _)| **name != self.node);
        others
            .map(|(name, node)| (name.clone(), node.record.clone()))
            .collect()
    }

    /// Returns the number of known nodes, including this one.
    pub fn count(&self) -> usize {
        let nodes = self.nodes();
        nodes.by_name.len() + usize::from(nodes.get(&self.node).is_none())
    }

    /// Returns how many nodes rank before this one for `key` by rendezvous hashing. All
    /// nodes with the same view compute the same order without coordination.
    pub fn rank(&self, key: &str) -> usize {
        let version = self.version();
        let mut rank_cache = self.rank_cache.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((cached_version, rank)) = rank_cache.get(key)
            && *cached_version == version
        {
            return *rank;
        }
        let rank = self.count_ranked_ahead(key, self.nodes().hashes());
        rank_cache.insert(key.to_owned(), (version, rank));
        rank
    }

    /// Returns this node's record as last read, and the revision under its key, which is
    /// [`StoreRevision::NONE`] if there is no record.
    pub fn own_record(&self) -> (Option<NodeRecord>, StoreRevision) {
        let nodes = self.nodes();
        let own = nodes.get(&self.node);
        let revision = own.map_or(StoreRevision::NONE, |own| own.revision);
        (
            own.map(|own| own.record.clone()),
            revision.max(nodes.own_unreadable),
        )
    }

    /// Returns whether the record under this node's key can be read.
    pub fn is_own_record_readable(&self) -> bool {
        let nodes = self.nodes();
        let own = nodes.get(&self.node).map(|own| own.revision);
        own.unwrap_or(StoreRevision::NONE) >= nodes.own_unreadable
    }

    /// Returns the key of the record of `node` in `zone`.
    pub fn key(&self, zone: &str, node: &str) -> String {
        format!("{}{zone}/{node}", self.prefix)
    }

    /// Returns the name of the node whose record is stored under `key`.
    fn node_name<'a>(&self, key: &'a str) -> Option<&'a str> {
        let suffix = key.strip_prefix(&self.prefix)?;
        // Older versions use keys without a zone.
        Some(suffix.rsplit_once('/').map_or(suffix, |(_, name)| name))
    }

    /// Returns this process as its record names it; `None` where promotions fence.
    pub fn process(&self) -> Option<&ProcessId> {
        self.process.as_ref()
    }

    /// Returns whether the known record of this node registers this process.
    pub fn is_registered(&self) -> bool {
        self.own_state.lock().unwrap_or_else(PoisonError::into_inner).1
    }

    /// Returns the name of this node.
    pub fn own_name(&self) -> &str {
        &self.node
    }

    /// Returns the key prefix of all node records.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Applies a record that was written to the store at `revision`.
    pub fn record_written(&self, name: &str, record: NodeRecord, revision: StoreRevision) {
        if self.insert_if_newer(&mut self.nodes(), name, record, revision) {
            self.changed();
        }
        self.update_registration();
    }

    /// Returns the nodes that may hold lead permits, except for this process.
    pub fn permit_holders(&self) -> PermitHolders {
        let now = clock::now();
        let mut holders = PermitHolders::default();
        for (name, node) in &self.nodes().by_name {
            let seen_ms = now.millis_since(node.record_seen_at);
            let registration = &node.record.registration;
            let predecessors = registration.predecessors_with_permits(seen_ms);
            holders.addresses.extend(predecessors);
            if *name == self.node {
                continue;
            }
            if registration.may_hold_permits(seen_ms) {
                holders.addresses.push(node.record.peer_address);
            } else {
                holders.departed += 1;
            }
        }
        holders
    }

    /// Returns the address of `node`, or `None` if the node is unknown.
    pub fn address_of(&self, node: &str) -> Option<SocketAddr> {
        self.nodes().get(node).map(|node| node.record.peer_address)
    }

    /// Returns the present node at `address` with its name, or `None` if there is none.
    pub(crate) fn present_at(&self, address: SocketAddr) -> Option<(String, RegisteredNode)> {
        let nodes = self.nodes();
        let mut present = nodes
            .by_name
            .iter()
            .filter(|(_, node)| node.record.registration.departure.is_none());
        let (name, node) = present.find(|(_, node)| node.record.peer_address == address)?;
        Some((name.clone(), node.clone()))
    }

    /// Inserts a node's record unless a newer one is known. Returns whether a node was
    /// added or changed its zone or address.
    fn insert_if_newer(
        &self,
        nodes: &mut Nodes,
        name: &str,
        record: NodeRecord,
        revision: StoreRevision,
    ) -> bool {
        let mut node = RegisteredNode::new(name, record, revision);
        if let Some(known) = nodes.get(name) {
            if known.revision > revision {
                return false;
            }
            if known.revision == revision {
                node.record_seen_at = known.record_seen_at;
            }
        }
        nodes.insert(name, node)
    }

    /// Waits until this node's record has another revision than `revision`.
    pub async fn own_record_replaced(&self, revision: StoreRevision) {
        while self.own_record().1 == revision {
            self.own_record_changed.notified().await;
        }
    }

    /// Tells the directory whether the record of this node registers this process, and wakes
    /// the task that maintains the record. The registration counts from now, since a write
    /// without an answer may have been carried out just before.
    fn update_registration(&self) {
        let (record, revision) = self.own_record();
        let is_registered = self.is_own_record_readable()
            && record.is_some_and(|record| record.registration.registers(self.process.as_ref()));
        let mut own_state = self.own_state.lock().unwrap_or_else(PoisonError::into_inner);
        if *own_state == (revision, is_registered) {
            return;
        }
        *own_state = (revision, is_registered);
        self.directory
            .set_registered_since(is_registered.then(clock::now));
        info!(
            "event=registration_changed registered={is_registered} process={} revision={revision}",
            self.process.as_ref().map_or("none", ProcessId::as_str)
        );
        self.own_record_changed.notify_one();
    }

    /// Applies changed records from the store.
    pub fn apply(&self, entries: Vec<Entry>) {
        self.apply_entries(&mut self.nodes(), entries);
        self.update_registration();
    }

    fn apply_entries(&self, nodes: &mut Nodes, entries: Vec<Entry>) {
        let mut has_changed = false;
        for entry in entries {
            let Some(name) = self.node_name(&entry.key) else {
                continue;
            };
            let is_own = entry.key == self.key(&self.zone, &self.node);
            let Some(value) = &entry.value else {
                has_changed |= nodes.remove(name);
                if is_own {
                    nodes.own_unreadable = StoreRevision::NONE;
                }
                continue;
            };
            match serde_json::from_slice::<NodeRecord>(value) {
                Ok(record) => has_changed |= self.insert_if_newer(nodes, name, record, entry.revision),
                // The node may still run, and hold permits.
                Err(error) => {
                    warn!("event=node_unreadable name={name} error={:?}", error.to_string());
                    if is_own {
                        nodes.own_unreadable = nodes.own_unreadable.max(entry.revision);
                    }
                }
            }
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
                .filter_map(|entry| self.node_name(&entry.key))
                .collect();
            let known = nodes.by_name.keys();
            let removed: Vec<String> = known
                .filter(|name| !names.contains(name.as_str()))
                .cloned()
                .collect();
            for name in &removed {
                nodes.remove(name);
            }
            if !names.contains(self.node.as_str()) {
                nodes.own_unreadable = StoreRevision::NONE;
            }
            if !removed.is_empty() {
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
