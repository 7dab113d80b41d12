//! Decides whether this node reads the catalog from the store or receives it from relays,
//! and which relays it asks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::info;
use millwind_core::Instant;
use millwind_core::catalog_freshness::CatalogFreshness;
use millwind_core::catalog_relay::{CatalogState, RelayTimes, relay_count};
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
    /// Time up to which the catalog is known, directly or through other nodes.
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

    /// Records that the store delivered instance records.
    pub fn instances_heard(&self) {
        self.state().freshness.record_instances(clock::now());
    }

    /// Records that the configuration was read by a call sent at `asked`, and is being
    /// watched.
    pub fn configuration_read(&self, asked: Instant) {
        self.state().freshness.record_configuration_read(asked);
    }

    /// Records that the configuration is no longer watched.
    pub fn configuration_watch_ended(&self) {
        self.state().freshness.configuration_watch_ended();
    }

    /// Records that a peer knew the catalog as of `current_as_of`. Returns whether this
    /// ends a gap so long that the store must have been down.
    pub fn record_peer_freshness(&self, current_as_of: Instant) -> bool {
        let mut state = self.state();
        let silence_ms = state
            .freshness
            .current_as_of()
            .map(|last| current_as_of.millis_since(last));
        state.freshness.record_peer_catalog(current_as_of);
        silence_ms.is_some_and(|silence| silence >= self.times.max_fresh_age_ms)
    }

    /// Returns the age of the known catalog in milliseconds, or `None` if the
    /// configuration or the instances were never received.
    pub fn store_age_ms(&self) -> Option<u64> {
        let current_as_of = self.state().freshness.current_as_of()?;
        Some(clock::now().millis_since(current_as_of))
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

    /// Records the answer of a relay whose catalog was current `store_age_ms` ago.
    ///
    /// A relay with old data is avoided if this node has fresh data. If neither has fresh
    /// data, the store is down, and asking other nodes as relays would only add load when
    /// it recovers.
    pub fn record_relay_answer(&self, relay: SocketAddr, store_age_ms: Option<u64>) {
        self.state().relay_answered_at = Some(clock::now());
        let is_old = |age: Option<u64>| age.is_none_or(|age| age >= self.times.max_fresh_age_ms);
        if !is_old(store_age_ms) || is_old(self.store_age_ms()) {
            return;
        }
        let age = store_age_ms.map_or("none".to_owned(), |age| age.to_string());
        info!("event=relay_behind relay={relay} store_age_ms={age}");
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
        let (known_since, asked, current_as_of, relay_answered) = {
            let mut state = self.state();
            let known_since = *state.relays_known_since.get_or_insert_with(clock::now);
            let current_as_of = state.freshness.current_as_of();
            (
                known_since,
                state.asked_at,
                current_as_of,
                state.relay_answered_at,
            )
        };
        let catalog = CatalogState {
            is_relay,
            contacted_as_relay_at: asked,
            is_complete: engine.directory.is_complete(),
            members_known_since: known_since,
            matched_store_at: current_as_of,
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
            let age = self
                .store_age_ms()
                .map_or("none".to_owned(), |age| age.to_string());
            info!("event=catalog_source reads_store={must_read} relay={is_relay} store_age_ms={age}");
        }
    }
}

/// Decides whether this node reads the store as soon as the nodes of its zone are known.
pub async fn decide_source_at_start(engine: Arc<Engine>) {
    engine.registry.await_zone_known().await;
    engine.relays.reconsider_source(&engine);
}
