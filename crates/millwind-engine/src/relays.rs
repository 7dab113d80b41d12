//! Decides whether this node reads the catalog from the store or receives it from relays,
//! and which relays it asks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::info;
use millwind_core::Instant;
use millwind_core::catalog_freshness::CatalogFreshness;
use millwind_core::catalog_relay::{CatalogState, MonitorState, RelayTimes, relay_count};
use rand::RngExt;
use tokio::sync::watch;

use crate::clock;
use crate::directory::Directory;
use crate::node::Engine;
use crate::registry::Registry;
use crate::store_watch::CatalogSource;

/// Maximum time for which instance records are polled at the urgent interval while a
/// group's leader is missing, in milliseconds. It covers the time in which instances
/// rewrite their records after a store outage and a lost leader is replaced.
const MISSING_LEADER_URGENT_MS: u64 = 4_000;
/// Minimum interval between two waits for relays after store outages, in milliseconds.
/// The relays may not reach a store that this node reaches.
const RELAY_WAIT_INTERVAL_MS: u64 = 10_000;
/// Time for which a relay without an answer or fresh data is not asked, in milliseconds.
const AVOID_MS: u64 = 8_000;
/// A node asks the monitor this many times before its configuration is so old that the node
/// checks it itself.
const MONITOR_QUESTIONS: u64 = 3;
/// Smallest part of the age of the configuration at which it is checked, in percent.
const MIN_CHECK_AGE_PERCENT: u64 = 90;
/// Time for which a node that cannot serve yet does not ask a relay that did not answer,
/// in milliseconds. It is short because the relay may be starting too, and each skipped
/// relay makes another node read the store.
const STARTUP_AVOID_MS: u64 = 400;

#[derive(Debug, Default)]
struct State {
    /// Time since which this node can rely on relays: the nodes of its zone are known and
    /// the store is presumed reachable.
    relays_known_since: Option<Instant>,
    /// Time at which another node last asked this one as a relay.
    asked_at: Option<Instant>,
    /// Time at which another node last asked this one as the monitor.
    asked_as_monitor_at: Option<Instant>,
    /// Times up to which the catalog is known, directly or through other nodes.
    freshness: CatalogFreshness,
    /// Time at which this node last waited for relays after a store outage.
    relay_wait_began: Option<Instant>,
    /// Time since which the instance records lack a group's leader.
    leader_missing_since: Option<Instant>,
    /// Time at which a relay last answered.
    relay_answered_at: Option<Instant>,
    /// Relays that are not asked, with the time at which they may be asked again.
    avoided_until: HashMap<SocketAddr, Instant>,
}

/// This node's view of the relays of its zone.
#[derive(Debug)]
pub struct Relays {
    zone: String,
    /// Number of zones in the deployment.
    zones: usize,
    times: RelayTimes,
    state: Mutex<State>,
    source: watch::Sender<CatalogSource>,
}

impl Relays {
    /// Creates the state for a node in `zone`, one of `zones`, of a deployment in which a
    /// configuration must be in force within `config_bound_ms`.
    pub fn new(zone: &str, zones: usize, config_bound_ms: u64) -> Self {
        Relays {
            zone: zone.to_owned(),
            zones: zones.max(1),
            times: RelayTimes::for_config_bound(config_bound_ms),
            state: Mutex::new(State::default()),
            source: watch::Sender::new(CatalogSource::Undecided),
        }
    }

    /// Makes requests to evacuate a zone, which are read with the configuration, take effect
    /// within `bound_ms`.
    pub fn with_evacuation_bound(self, bound_ms: u64) -> Self {
        Relays {
            times: self.times.with_operators_bound(bound_ms),
            ..self
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time limits for reads through relays.
    pub fn times(&self) -> &RelayTimes {
        &self.times
    }

    /// Returns a receiver of where this node reads the catalog from.
    pub fn reading(&self) -> watch::Receiver<CatalogSource> {
        self.source.subscribe()
    }

    /// Returns whether this node reads the store now.
    pub fn is_reading_store(&self) -> bool {
        *self.source.borrow() != CatalogSource::Relays
    }

    /// Records that another node asked this one as a relay.
    pub fn record_relay_request(&self) {
        self.state().asked_at = Some(clock::now());
    }

    /// Records that another node asked this one as the monitor.
    pub fn record_monitor_request(&self) {
        self.state().asked_as_monitor_at = Some(clock::now());
    }

    /// Records that the store answered a call about the instances that was sent at `asked`.
    pub fn instances_read(&self, asked: Instant) {
        self.state().freshness.record_instances(asked);
    }

    /// Records that the store answered a call about the configuration that was sent at `asked`.
    pub fn configuration_read(&self, asked: Instant) {
        self.state().freshness.record_configuration(asked);
    }

    /// Returns whether the nodes of this deployment use relays.
    pub fn are_used(&self, registry: &Registry) -> bool {
        self.relay_count(registry).is_some()
    }

    /// Records that a peer transferred its instances, which matched the store at `as_of`.
    /// Returns whether this ends a gap so long that the store must have been down.
    pub fn record_peer_instances(&self, as_of: Instant) -> bool {
        let mut state = self.state();
        let last = state.freshness.instances_as_of();
        state.freshness.record_instances(as_of);
        let silence_ms = last.map(|last| as_of.millis_since(last));
        silence_ms.is_some_and(|silence| silence >= self.times.max_fresh_age_ms)
    }

    /// Returns when the known instances last matched the store; `None` if they were never
    /// received.
    pub fn instances_as_of(&self) -> Option<Instant> {
        self.state().freshness.instances_as_of()
    }

    /// Returns when the known configuration last matched the store; `None` if it was never
    /// received.
    pub fn configuration_as_of(&self) -> Option<Instant> {
        self.state().freshness.configuration_as_of()
    }

    /// Returns the age of the known instances in milliseconds.
    pub fn instances_age_ms(&self) -> Option<u64> {
        Some(clock::now().millis_since(self.instances_as_of()?))
    }

    /// Returns the age of the known configuration in milliseconds.
    pub fn configuration_age_ms(&self) -> Option<u64> {
        Some(clock::now().millis_since(self.configuration_as_of()?))
    }

    fn monitor_state(&self, registry: &Registry) -> MonitorState {
        MonitorState {
            is_first: registry.is_listed() && registry.is_first(),
            contacted_as_monitor_at: self.state().asked_as_monitor_at,
        }
    }

    /// Returns whether this node checks the configuration on behalf of the others.
    pub fn is_monitor(&self, registry: &Registry) -> bool {
        self.monitor_state(registry).is_monitor(clock::now())
    }

    /// Returns the monitor, if this node should ask it how old its own configuration is.
    pub fn monitor_to_ask(&self, registry: &Registry) -> Option<SocketAddr> {
        let is_due = |age_ms: u64| age_ms >= self.times.max_configuration_age_ms / MONITOR_QUESTIONS;
        if self.is_monitor(registry) || !self.configuration_age_ms().is_some_and(is_due) {
            return None;
        }
        let now = clock::now();
        let state = self.state();
        let is_usable =
            |address: &SocketAddr| state.avoided_until.get(address).is_none_or(|until| *until <= now);
        registry.highest_ranked_peer(is_usable)
    }

    /// Records the answer of the monitor, whose configuration matched the store
    /// `config_age_ms` ago. It is avoided if it cannot vouch for its configuration.
    pub fn record_monitor_answer(&self, monitor: SocketAddr, config_age_ms: Option<u64>) {
        let max_age_ms = self.times.max_configuration_age_ms;
        if config_age_ms.is_none_or(|age| age >= max_age_ms) {
            self.avoid(monitor);
        }
    }

    /// Waits until the configuration is so old that its watch may have been lost.
    pub async fn configuration_outdated(&self, registry: &Registry) {
        // Spreads the checks of nodes whose configurations are equally old.
        let part = rand::rng().random_range(MIN_CHECK_AGE_PERCENT..=100);
        let max_pause = Duration::from_millis(self.times.monitor_interval_ms);
        let started = clock::now();
        loop {
            let now = clock::now();
            let age_ms = now.millis_since(self.configuration_as_of().unwrap_or(started));
            let check_age_ms = self.monitor_state(registry).check_age_ms(now, &self.times) * part / 100;
            if age_ms >= check_age_ms {
                return;
            }
            // The node may become the monitor meanwhile.
            let left = Duration::from_millis(check_age_ms - age_ms);
            tokio::time::sleep(left.min(max_pause)).await;
        }
    }

    /// Stops asking a relay for a while because it gave no answer or no fresh data.
    pub fn avoid(&self, relay: SocketAddr) {
        self.avoid_for(relay, AVOID_MS);
    }

    /// Stops asking a relay briefly, because it may be starting too. Used by nodes that
    /// do not know enough to serve.
    pub fn avoid_briefly(&self, relay: SocketAddr) {
        self.avoid_for(relay, STARTUP_AVOID_MS);
    }

    fn avoid_for(&self, relay: SocketAddr, duration_ms: u64) {
        let now = clock::now();
        let mut state = self.state();
        state.avoided_until.retain(|_, until| *until > now);
        state.avoided_until.insert(relay, now.plus_millis(duration_ms));
    }

    /// Records the answer of a relay whose instances matched the store `instances_age_ms` ago.
    ///
    /// A relay with old data is avoided if this node has fresh data. If neither has fresh
    /// data, the store is down, and asking other nodes as relays would only add load when
    /// it recovers.
    pub fn record_relay_answer(&self, relay: SocketAddr, instances_age_ms: Option<u64>) {
        self.state().relay_answered_at = Some(clock::now());
        let is_old = |age: Option<u64>| age.is_none_or(|age| age >= self.times.max_fresh_age_ms);
        if !is_old(instances_age_ms) || is_old(self.instances_age_ms()) {
            return;
        }
        let age = format_age(instances_age_ms);
        info!("event=relay_behind relay={relay} instances_age_ms={age}");
        self.avoid(relay);
    }

    /// Returns whether this node considers itself a relay. True for every node while the
    /// zone's nodes are unknown, or if the deployment has no relays.
    pub fn is_relay(&self, registry: &Registry) -> bool {
        if !registry.is_zone_known() {
            return true;
        }
        self.relay_count(registry)
            .is_none_or(|relays| registry.zone_rank(&self.zone) < relays)
    }

    /// Returns the number of relays in this node's zone, or `None` if every node reads
    /// the store.
    fn relay_count(&self, registry: &Registry) -> Option<usize> {
        if !self.times.allow_relays {
            return None;
        }
        let zone_nodes = registry.zone_count(&self.zone);
        // Until all nodes are known, the other zones are assumed to have the same size.
        let all_nodes = match registry.is_listed() {
            true => registry.count(),
            false => zone_nodes * self.zones,
        };
        relay_count(zone_nodes, all_nodes)
    }

    /// Returns the relays to ask: the highest-ranked nodes of the zone that are not
    /// avoided. Empty if the deployment has no relays.
    pub fn relays_to_ask(&self, registry: &Registry) -> Vec<SocketAddr> {
        let Some(count) = self.relay_count(registry) else {
            return Vec::new();
        };
        let now = clock::now();
        let state = self.state();
        let is_usable =
            |address: &SocketAddr| state.avoided_until.get(address).is_none_or(|until| *until <= now);
        let ranked = registry.zone_peers(&self.zone).into_iter();
        ranked.filter(is_usable).take(count).collect()
    }

    /// Returns whether instance records are needed urgently: a leader has been missing
    /// from them for a short time.
    pub fn is_polling_urgent(&self, directory: &Directory) -> bool {
        let is_missing = !directory.has_claimed_leader_for_every_group();
        let mut state = self.state();
        if !is_missing {
            state.leader_missing_since = None;
            return false;
        }
        let now = clock::now();
        let since = *state.leader_missing_since.get_or_insert(now);
        now.millis_since(since) < MISSING_LEADER_URGENT_MS
    }

    /// Waits for relays again after a store outage, as at startup, since they recover at
    /// the same time as this node.
    pub fn wait_for_relays(&self, engine: &Engine) {
        let now = clock::now();
        {
            let mut state = self.state();
            let is_recent = state
                .relay_wait_began
                .is_some_and(|began| now.millis_since(began) < RELAY_WAIT_INTERVAL_MS);
            if is_recent || state.relays_known_since.is_none() {
                return;
            }
            state.relay_wait_began = Some(now);
            state.relays_known_since = Some(now);
        }
        self.reconsider_source(engine);
    }

    /// Decides again whether this node must read the store. Does nothing until the zone's
    /// nodes are known.
    pub fn reconsider_source(&self, engine: &Engine) {
        if !engine.registry.is_zone_known() {
            return;
        }
        let is_relay = self.is_relay(&engine.registry);
        let (known_since, asked, freshness, relay_answered) = {
            let mut state = self.state();
            let known_since = *state.relays_known_since.get_or_insert_with(clock::now);
            (
                known_since,
                state.asked_at,
                state.freshness,
                state.relay_answered_at,
            )
        };
        let catalog = CatalogState {
            is_relay,
            contacted_as_relay_at: asked,
            is_complete: engine.directory.is_complete(),
            members_known_since: known_since,
            freshness,
            relay_answered,
        };
        let must_read = catalog.must_read_store(clock::now(), &self.times);
        let source = match must_read {
            true => CatalogSource::Store,
            false => CatalogSource::Relays,
        };
        let before = *self.source.borrow();
        if before == CatalogSource::Relays && must_read {
            // Lets a single call probe the store while the other followers wait.
            engine.store_contact.mark_lost();
        }
        if before != source {
            self.source.send_replace(source);
            info!(
                "event=catalog_source reads_store={must_read} relay={is_relay} instances_age_ms={} config_age_ms={}",
                format_age(self.instances_age_ms()),
                format_age(self.configuration_age_ms())
            );
        }
    }
}

/// Formats an age for the log.
fn format_age(age_ms: Option<u64>) -> String {
    age_ms.map_or("none".to_owned(), |age| age.to_string())
}

/// Decides whether this node reads the store as soon as the nodes of its zone are known.
pub async fn decide_source_at_start(engine: Arc<Engine>) {
    engine.registry.await_zone_known().await;
    engine.relays.reconsider_source(&engine);
}
