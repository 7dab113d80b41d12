//! Selection of the nodes that read the catalog from the store.
//!
//! Reads cost money and load the store, so in a large deployment only a few nodes per zone
//! read the store as relays and the other nodes synchronize with them. Nodes need not agree
//! on the set of relays: a node that is contacted as a relay acts as one for a while, and a
//! node that receives no fresh catalog reads the store itself.

use crate::Instant;
use crate::catalog_freshness::CatalogFreshness;

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
/// Smallest interval at which the monitor checks the configuration, as a percentage of the time
/// within which a configuration must be in force.
const MIN_MONITOR_INTERVAL_PERCENT: u64 = 20;
/// Time in which other nodes learn from the monitor how old their configuration is, one
/// comparison with it and one with a relay later, in milliseconds.
const MONITOR_SPREAD_MS: u64 = 1_800;
/// Time for which a node acts as the monitor after another node contacted it as that, in
/// milliseconds.
const MONITOR_ROLE_MS: u64 = 3_000;
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
    /// Age of the configuration at which the monitor checks it in the store, in milliseconds.
    pub monitor_interval_ms: u64,
    /// Age of the configuration at which any node that watches it checks it in the store, in
    /// milliseconds. Other nodes then no longer count it as fresh.
    pub max_configuration_age_ms: u64,
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
            monitor_interval_ms: monitor_interval_ms(config_bound_ms),
            max_configuration_age_ms: max_fresh_ms,
            max_fresh_age_ms: (read_interval_ms + FRESHNESS_ALLOWANCE_MS).min(max_fresh_ms),
            allow_relays: config_bound_ms >= MIN_CONFIG_BOUND_MS,
        }
    }

    /// Returns the timing with which other keys that are read with the configuration take effect
    /// within `bound_ms` as well.
    pub fn with_operators_bound(self, bound_ms: u64) -> Self {
        let monitor_interval_ms = monitor_interval_ms(bound_ms);
        let max_configuration_age_ms = bound_ms * MAX_FRESH_PERCENT / 100;
        RelayTimes {
            monitor_interval_ms: self.monitor_interval_ms.min(monitor_interval_ms),
            max_configuration_age_ms: self.max_configuration_age_ms.min(max_configuration_age_ms),
            ..self
        }
    }
}

/// Returns the interval at which the monitor checks keys that must take effect within `bound_ms`:
/// as long as the other nodes need not check them.
fn monitor_interval_ms(bound_ms: u64) -> u64 {
    let max_age_ms = bound_ms * MAX_FRESH_PERCENT / 100;
    let shortest_ms = bound_ms * MIN_MONITOR_INTERVAL_PERCENT / 100;
    max_age_ms.saturating_sub(MONITOR_SPREAD_MS).max(shortest_ms)
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
    /// Times at which the node's catalog was last known to match the store.
    pub freshness: CatalogFreshness,
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

    /// Whether both parts of the catalog recently matched the store.
    fn is_fresh(&self, now: Instant, times: &RelayTimes) -> bool {
        let is_recent = |as_of: Option<Instant>, max_age_ms: u64| {
            as_of.is_some_and(|as_of| now.millis_since(as_of) < max_age_ms)
        };
        is_recent(self.freshness.instances_as_of(), times.max_fresh_age_ms)
            && is_recent(
                self.freshness.configuration_as_of(),
                times.max_configuration_age_ms,
            )
    }
}

/// The state from which a node that watches the configuration decides when to check it.
///
/// A watch may wait on a connection that went silent, on all nodes at the same time. One node,
/// the monitor, therefore checks the configuration often, and the others learn from it how old
/// theirs is. A node that learns nothing in time checks the configuration itself, so that the
/// bound holds without a monitor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MonitorState {
    /// Whether the node ranks first among all nodes.
    pub is_first: bool,
    /// Time at which another node last contacted this node as the monitor.
    pub contacted_as_monitor_at: Option<Instant>,
}

impl MonitorState {
    /// Whether the node acts as the monitor at `now`.
    pub fn is_monitor(&self, now: Instant) -> bool {
        let is_recent = |contacted_at: Instant| now.millis_since(contacted_at) < MONITOR_ROLE_MS;
        self.is_first || self.contacted_as_monitor_at.is_some_and(is_recent)
    }

    /// Age of the configuration at which the node checks it in the store, in milliseconds.
    pub fn check_age_ms(&self, now: Instant, times: &RelayTimes) -> u64 {
        match self.is_monitor(now) {
            true => times.monitor_interval_ms,
            false => times.max_configuration_age_ms,
        }
    }
}
