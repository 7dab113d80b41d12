//! Selection of the nodes that read the catalog from the store.
//!
//! Reads cost money and load the store, so in a large deployment only a few nodes per zone
//! read the store as relays and the other nodes synchronize with them. Nodes need not agree
//! on the set of relays: a node that is contacted as a relay acts as one for a while, and a
//! node that receives no fresh catalog reads the store itself.

use crate::Instant;

/// Minimum number of nodes at which a deployment uses relays.
const MIN_NODES_FOR_RELAYS: usize = 24;
/// Minimum number of relays per zone.
const MIN_RELAYS_PER_ZONE: usize = 2;
/// Maximum number of nodes of a zone per relay.
const NODES_PER_RELAY: usize = 36;
/// Time for which a node acts as a relay after another node contacted it as one, in
/// milliseconds.
const RELAY_ROLE_MS: u64 = 6_000;
/// Time without an answer from a relay after which a node that cannot serve yet reads the
/// store, in milliseconds. Allows relays that start at the same time to read it first.
const START_WAIT_MS: u64 = 500;
/// Time after which such a node reads the store even if relays answer, in milliseconds,
/// since the relays may be unable to read the store.
/// A relay of a fleet that starts as a whole has read 3.4 MB by then, over a link of 1 Gbit/s
/// for 33 of them.
const MAX_START_WAIT_MS: u64 = 3_000;
/// Time for which a starting node that can already serve waits for a relay, which may be
/// starting as well, in milliseconds.
const FIRST_ANSWER_WAIT_MS: u64 = 1_000;
/// Upper limit of the interval at which a relay reads the store, in milliseconds.
const MAX_READ_INTERVAL_MS: u64 = 2_000;
/// Interval at which a relay reads the store, as a percentage of the time within which a
/// configuration must be in force.
const READ_INTERVAL_PERCENT: u64 = 25;
/// Upper limit of the time for which a catalog counts as fresh, as a percentage of the time
/// within which a configuration must be in force.
const MAX_FRESH_PERCENT: u64 = 60;
/// Every node reads the store itself if a configuration must be in force within less than
/// this time, in milliseconds.
const MIN_CONFIG_BOUND_MS: u64 = 2_000;
/// Time beyond the read interval for which a catalog counts as fresh, in milliseconds.
const FRESHNESS_ALLOWANCE_MS: u64 = 1_400;

/// Returns the number of relays for a zone of `zone_nodes` nodes in a deployment of
/// `all_nodes` nodes; `None` if every node reads the store itself.
pub fn relay_count(zone_nodes: usize, all_nodes: usize) -> Option<usize> {
    let is_large = all_nodes >= MIN_NODES_FOR_RELAYS;
    is_large.then(|| zone_nodes.div_ceil(NODES_PER_RELAY).max(MIN_RELAYS_PER_ZONE))
}

/// Timing of catalog relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayTimes {
    /// Interval at which a relay reads the store, in milliseconds.
    pub read_interval_ms: u64,
    /// Age from which a catalog no longer counts as fresh, in milliseconds.
    pub max_fresh_age_ms: u64,
    /// Whether relays are fast enough for the time limit on configuration changes.
    pub allow_relays: bool,
}

impl RelayTimes {
    /// Returns the timing with which a configuration is in force on every node within
    /// `config_bound_ms`.
    pub fn for_config_bound(config_bound_ms: u64) -> Self {
        let read_interval_ms = (config_bound_ms * READ_INTERVAL_PERCENT / 100).min(MAX_READ_INTERVAL_MS);
        let max_fresh_ms = config_bound_ms * MAX_FRESH_PERCENT / 100;
        RelayTimes {
            read_interval_ms,
            max_fresh_age_ms: (read_interval_ms + FRESHNESS_ALLOWANCE_MS).min(max_fresh_ms),
            allow_relays: config_bound_ms >= MIN_CONFIG_BOUND_MS,
        }
    }
}

/// The state from which a node decides whether to read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CatalogState {
    /// Whether the node considers itself a relay, or the deployment has no relays.
    pub is_relay: bool,
    /// Time at which another node last contacted this node as a relay.
    pub contacted_as_relay_at: Option<Instant>,
    /// Whether the node's catalog is complete enough to serve.
    pub is_complete: bool,
    /// Time since which the node knows the other nodes and therefore the relays.
    pub members_known_since: Instant,
    /// Time at which the node's catalog, read directly or through other nodes, was last
    /// known to match the store.
    pub matched_store_at: Option<Instant>,
    /// Time of the last answer from a relay.
    pub relay_answered: Option<Instant>,
}

impl CatalogState {
    /// Whether the node must read the store itself at `now`.
    pub fn must_read_store(&self, now: Instant, times: &RelayTimes) -> bool {
        if self.is_relay {
            return true;
        }
        let was_contacted = self
            .contacted_as_relay_at
            .is_some_and(|contacted_at| now.millis_since(contacted_at) < RELAY_ROLE_MS);
        if was_contacted {
            return true;
        }
        // A fresh catalog contains everything in the store, even if it is incomplete.
        if self.is_fresh(now, times) {
            return false;
        }
        let waited = now.millis_since(self.members_known_since);
        if self.is_complete {
            return waited >= FIRST_ANSWER_WAIT_MS.min(times.max_fresh_age_ms);
        }
        // A relay that answers is alive and reads the store.
        let silence = now.millis_since(
            self.members_known_since
                .max(self.relay_answered.unwrap_or_default()),
        );
        silence >= START_WAIT_MS || waited >= MAX_START_WAIT_MS
    }

    /// Whether the catalog recently matched the store.
    fn is_fresh(&self, now: Instant, times: &RelayTimes) -> bool {
        self.matched_store_at
            .is_some_and(|matched_at| now.millis_since(matched_at) < times.max_fresh_age_ms)
    }
}
