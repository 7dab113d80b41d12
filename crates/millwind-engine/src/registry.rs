//! The nodes of the deployment, each under a key of its own in the store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::{info, warn};
use millwind_store::{Condition, Entry, Listing, Store, Swap, Write};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::store_watch::Follower;

const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Key under which the nodes of a zone are ranked as its relays.
const RELAY_KEY: &str = "relay";

/// What a node tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// Zone it runs in.
    pub zone: String,
}

/// A node that owns connections, or stands in for one that does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Where it is reached.
    pub address: SocketAddr,
    /// It is this node.
    pub is_self: bool,
}

/// All nodes that have registered.
#[derive(Debug)]
pub struct Registry {
    prefix: String,
    node: String,
    nodes: Mutex<BTreeMap<String, RegisteredNode>>,
    /// This node's rank by key, with the version that it follows from.
    ranks: Mutex<HashMap<String, (u64, usize)>>,
    version: AtomicU64,
    is_listed: AtomicBool,
}

/// A registered node.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RegisteredNode {
    record: NodeRecord,
    /// Store revision of its record.
    revision: u64,
    /// Hash of its name.
    hash: u64,
}

impl RegisteredNode {
    fn new(name: &str, record: NodeRecord, revision: u64) -> Self {
        RegisteredNode {
            record,
            revision,
            hash: hash_of(name),
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
    /// Records under `prefix`, seen by `node`.
    pub fn new(prefix: String, node: String) -> Self {
        Registry {
            prefix,
            node,
            nodes: Mutex::new(BTreeMap::new()),
            ranks: Mutex::new(HashMap::new()),
            version: AtomicU64::new(0),
            is_listed: AtomicBool::new(false),
        }
    }

    /// Rises with each change of what is known.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Whether the store or a peer has told of the other nodes.
    pub fn is_listed(&self) -> bool {
        self.is_listed.load(Ordering::Relaxed)
    }

    fn changed(&self) {
        self.version.fetch_add(1, Ordering::Relaxed);
    }

    /// The first `count` nodes for `key` by rendezvous hashing; up to `near` of
    /// them from `zone` come first.
    pub fn owners(&self, key: &str, zone: &str, near: usize, count: usize) -> Vec<Owner> {
        let nodes = self.nodes();
        let (inside, outside): (Vec<_>, Vec<_>) =
            weigh(&nodes, key).partition(|(_, _, node)| node.record.zone == zone);
        let inside = heaviest(inside, near + count);
        let outside = heaviest(outside, count);
        let (first, rest) = inside.split_at(inside.len().min(near));
        let owner = |(_, name, node): &Weighted<'_>| Owner {
            address: node.record.peer_address,
            is_self: **name == self.node,
        };
        let chosen = first.iter().chain(&outside).chain(rest);
        chosen.take(count).map(owner).collect()
    }

    /// The first `count` nodes for `key` by rendezvous hashing, wherever they
    /// run.
    pub fn first_for(&self, key: &str, count: usize) -> Vec<Owner> {
        self.owners(key, "", 0, count)
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

    /// Writes this node's record, trying until the store has taken it.
    pub async fn register<S: Store>(&self, store: &S, record: NodeRecord) {
        let key = format!("{}{}", self.prefix, self.node);
        loop {
            let held = self.nodes().get(&self.node).cloned();
            let revision = match held {
                Some(same) if same.record == record => return,
                Some(other) => other.revision,
                None => 0,
            };
            let write = Write {
                key: key.clone(),
                value: serde_json::to_vec(&record).unwrap_or_default(),
            };
            let condition = Condition {
                key: key.clone(),
                revision,
            };
            match store.swap(&[condition], &[write]).await {
                Ok(Swap::Done { revision }) => {
                    info!("event=node_registered revision={revision}");
                    let node = RegisteredNode::new(&self.node, record, revision);
                    self.nodes().insert(self.node.clone(), node);
                    self.changed();
                    return;
                }
                Ok(Swap::Conflict { current }) => self.apply(current),
                Err(error) => {
                    warn!("event=node_not_registered error={:?}", error.to_string());
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn apply(&self, entries: Vec<Entry>) {
        let mut nodes = self.nodes();
        for entry in entries {
            let Some(name) = entry.key.strip_prefix(&self.prefix) else {
                continue;
            };
            let record = entry
                .value
                .and_then(|value| serde_json::from_slice::<NodeRecord>(&value).ok());
            match record {
                Some(record) => {
                    let node = RegisteredNode::new(name, record, entry.revision);
                    nodes.insert(name.to_owned(), node);
                }
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
        self.nodes().clear();
        self.apply(listing.entries);
        self.changed();
        self.is_listed.store(true, Ordering::Relaxed);
    }

    fn changed(&self, entries: Vec<Entry>) {
        self.apply(entries);
    }
}
