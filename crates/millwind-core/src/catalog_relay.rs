//! Which nodes read the catalog from the store, and which hear it from them.
//!
//! Each read of the store is paid for and loads it, so in a large deployment
//! a few nodes of each zone read it as relays, and the others compare their
//! catalog with them. Nothing depends on agreement about who they are: a node
//! that is asked as a relay becomes one for a while, and a node that hears
//! nothing fresh reads the store itself.

use crate::Instant;

/// Deployments of fewer nodes than this have no relays.
const LEAST_NODES: usize = 24;
/// Relays of a zone at least.
const LEAST_RELAYS: usize = 2;
/// Nodes of a zone for which one relay more is taken.
const NODES_PER_RELAY: usize = 36;
/// A node that was asked as a relay remains one for this time, in milliseconds.
const ASKED_MS: u64 = 6_000;
/// A node that knows too little to serve reads the store when no relay has told
/// it more for this time, in milliseconds: within it relays that start with it
/// have read the store.
const START_MS: u64 = 500;
/// However long relays answer, such a node reads the store after this time, in
/// milliseconds: relays that the store refuses answer as well. Relays of a fleet that
/// starts as a whole have read 3.4 MB each by then, over a link of 1 Gbit/s for 33 of
/// them.
const MOST_START_MS: u64 = 3_000;
/// A starting node that knows enough to serve waits so long for the first word
/// of a relay, which may be starting too, in milliseconds; it has just listed
/// the configuration itself.
const FIRST_WORD_MS: u64 = 1_000;
/// Longest pause between two readings of a relay, in milliseconds.
const MOST_PACE_MS: u64 = 2_000;
/// The pace as a part of the time in which a configuration must be in force,
/// in percent.
const PACE_PERCENT: u64 = 25;
/// News never count as fresh for longer than this part of that time, in
/// percent.
const MOST_FRESH_PERCENT: u64 = 60;
/// Where a configuration must be in force sooner than this, in milliseconds,
/// every node reads the store itself.
const LEAST_BOUND_MS: u64 = 2_000;
/// Beyond a relay's pace its word counts as fresh for this time, in
/// milliseconds.
const FRESH_MS: u64 = 1_400;

/// How many relays a zone of `zone_nodes` nodes has in a deployment of
/// `all_nodes`; none where every node reads the store itself.
pub fn relays_of_zone(zone_nodes: usize, all_nodes: usize) -> Option<usize> {
    let is_large = all_nodes >= LEAST_NODES;
    is_large.then(|| zone_nodes.div_ceil(NODES_PER_RELAY).max(LEAST_RELAYS))
}

/// Times of the relays, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayTimes {
    /// Pause between two readings of a relay.
    pub pace_ms: u64,
    /// A word of the store older than this is not fresh.
    pub fresh_ms: u64,
    /// Relays are quick enough for the bound on configurations.
    pub allow_relays: bool,
}

impl RelayTimes {
    /// Times under which a configuration is in force everywhere within
    /// `config_bound_ms`.
    pub fn within(config_bound_ms: u64) -> Self {
        let pace_ms = (config_bound_ms * PACE_PERCENT / 100).min(MOST_PACE_MS);
        let most_fresh_ms = config_bound_ms * MOST_FRESH_PERCENT / 100;
        RelayTimes {
            pace_ms,
            fresh_ms: (pace_ms + FRESH_MS).min(most_fresh_ms),
            allow_relays: config_bound_ms >= LEAST_BOUND_MS,
        }
    }
}

/// What a node knows when it decides whether to read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CatalogState {
    /// It is a relay by its own view, or the deployment has none.
    pub is_relay: bool,
    /// When another node last asked it as a relay.
    pub asked: Option<Instant>,
    /// It knows enough to serve.
    pub is_complete: bool,
    /// Since when it knows the other nodes, and so the relays.
    pub known_since: Instant,
    /// The newest time at which the store had told it or a node it asked.
    pub heard: Option<Instant>,
    /// When a relay last answered it.
    pub relay_answered: Option<Instant>,
}

impl CatalogState {
    /// Whether the node must read the store itself now.
    pub fn must_read(&self, now: Instant, times: &RelayTimes) -> bool {
        if self.is_relay {
            return true;
        }
        let is_asked = self.asked.is_some_and(|asked| now.millis_since(asked) < ASKED_MS);
        if is_asked {
            return true;
        }
        // Where others hear the store and know no more, there is no more.
        if self.is_fresh(now, times) {
            return false;
        }
        let waited = now.millis_since(self.known_since);
        if self.is_complete {
            return waited >= FIRST_WORD_MS.min(times.fresh_ms);
        }
        // A relay that answers lives, and reads the store.
        let silence = now.millis_since(self.known_since.max(self.relay_answered.unwrap_or_default()));
        silence >= START_MS || waited >= MOST_START_MS
    }

    /// Whether the store was heard lately, here or through others.
    fn is_fresh(&self, now: Instant, times: &RelayTimes) -> bool {
        self.heard
            .is_some_and(|heard| now.millis_since(heard) < times.fresh_ms)
    }
}
