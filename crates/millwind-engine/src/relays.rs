//! Whether this node reads the catalog from the store itself, and which nodes
//! it hears it from otherwise.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::info;
use millwind_core::Instant;
use millwind_core::catalog_freshness::CatalogFreshness;
use millwind_core::catalog_relay::{CatalogState, RelayTimes, relays_of_zone};
use tokio::sync::watch;

use crate::clock;
use crate::directory::Directory;
use crate::node::Engine;
use crate::registry::Registry;
use crate::store_watch::StoreReading;

/// News of instances are urgent for this time while a group's leader is missing
/// among them, in milliseconds: twice the time in which instances write their
/// records again after the store was out (some 2 s on the users' platform), and in
/// which a lost leader is replaced.
const MISSING_LEADER_MS: u64 = 4_000;
/// After an outage of the store relays are waited for once in this time, in
/// milliseconds: they may not hear the store that this node hears.
const REGAINED_PAUSE_MS: u64 = 10_000;
/// A relay that gave no answer, or no fresh news, is left alone for this time, in
/// milliseconds.
const AVOID_MS: u64 = 8_000;
/// The same for a relay that gave no answer to a node which does not know enough to
/// serve: after a common start nodes are up within some 0.3 s of each other, and each
/// relay that is passed over makes another node read the store.
const AVOID_AT_START_MS: u64 = 400;

#[derive(Debug, Default)]
struct State {
    /// Since when this node may hear relays: it knows the other nodes, from which
    /// they follow, and the store is not out as far as is known.
    known_since: Option<Instant>,
    /// When another node last asked this one as a relay.
    asked: Option<Instant>,
    /// As of when the catalog is known, here or through others.
    freshness: CatalogFreshness,
    /// When this node last heard the store again and left it to relays.
    regained: Option<Instant>,
    /// Since when the records of instances lack a group's leader.
    leader_missing_since: Option<Instant>,
    /// When a relay last answered.
    relay_answered: Option<Instant>,
    /// Relays that gave no answer, and until when they are left alone.
    avoided: HashMap<SocketAddr, Instant>,
}

/// What this node knows of the relays.
#[derive(Debug)]
pub struct Relays {
    zone: String,
    /// Zones of the deployment.
    zones: usize,
    times: RelayTimes,
    state: Mutex<State>,
    reading: watch::Sender<StoreReading>,
}

impl Relays {
    /// Relays as a node of `zone`, one of `zones`, sees them, where a configuration must
    /// be in force within `config_bound_ms`.
    pub fn new(zone: &str, zones: usize, config_bound_ms: u64) -> Self {
        Relays {
            zone: zone.to_owned(),
            zones: zones.max(1),
            times: RelayTimes::within(config_bound_ms),
            state: Mutex::new(State::default()),
            reading: watch::Sender::new(StoreReading::Undecided),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Times of the relays.
    pub fn times(&self) -> &RelayTimes {
        &self.times
    }

    /// Whether this node reads the store, as it changes.
    pub fn reading(&self) -> watch::Receiver<StoreReading> {
        self.reading.subscribe()
    }

    /// Whether this node reads the store now.
    pub fn is_reading_store(&self) -> bool {
        *self.reading.borrow() != StoreReading::LeftToRelays
    }

    /// Another node asks this one as a relay.
    pub fn asked_as_relay(&self) {
        self.state().asked = Some(clock::now());
    }

    /// The store told this node of its instances.
    pub fn instances_heard(&self) {
        self.state().freshness.instances_heard(clock::now());
    }

    /// This node has read the configuration with a call sent at `asked`, and
    /// watches it.
    pub fn configuration_read(&self, asked: Instant) {
        self.state().freshness.configuration_read(asked);
    }

    /// This node no longer watches the configuration.
    pub fn configuration_unwatched(&self) {
        self.state().freshness.configuration_unwatched();
    }

    /// A node that this one asked knew the catalog as of `heard`; true if that ends
    /// a silence so long that the store must have been out.
    pub fn told(&self, heard: Instant) -> bool {
        let mut state = self.state();
        let silence_ms = state.freshness.as_of().map(|last| heard.millis_since(last));
        state.freshness.told(heard);
        silence_ms.is_some_and(|silence| silence >= self.times.fresh_ms)
    }

    /// Age of the catalog as it is known, in milliseconds: time since the store was
    /// heard of both documents, here or through others; none if it never was.
    pub fn store_age_ms(&self) -> Option<u64> {
        let heard = self.state().freshness.as_of()?;
        Some(clock::now().millis_since(heard))
    }

    /// A relay gave no answer, or no fresh news.
    pub fn avoid(&self, relay: SocketAddr) {
        self.avoid_for(relay, AVOID_MS);
    }

    /// A relay gave a node that does not know enough to serve no answer: it may be
    /// starting as well.
    pub fn avoid_at_start(&self, relay: SocketAddr) {
        self.avoid_for(relay, AVOID_AT_START_MS);
    }

    fn avoid_for(&self, relay: SocketAddr, time_ms: u64) {
        let now = clock::now();
        let mut state = self.state();
        state.avoided.retain(|_, until| *until > now);
        state.avoided.insert(relay, now.plus_millis(time_ms));
    }

    /// A relay answered, and heard the store `store_age_ms` ago. One whose news are
    /// old while this node has fresh ones is refused by the store, or hears nothing:
    /// it is left alone. While nobody has fresh news the store is out, and other
    /// nodes asked as relays would only load it more when it is back.
    pub fn told_by_relay(&self, relay: SocketAddr, store_age_ms: Option<u64>) {
        self.state().relay_answered = Some(clock::now());
        let is_old = |age: Option<u64>| age.is_none_or(|age| age >= self.times.fresh_ms);
        if !is_old(store_age_ms) || is_old(self.store_age_ms()) {
            return;
        }
        let age = store_age_ms.map_or("none".to_owned(), |age| age.to_string());
        info!("event=relay_behind relay={relay} store_age_ms={age}");
        self.avoid(relay);
    }

    /// Whether the deployment has no relays, or this node is one by its own
    /// view.
    pub fn is_relay(&self, registry: &Registry) -> bool {
        if !registry.is_zone_known() {
            return true;
        }
        self.relay_count(registry)
            .is_none_or(|relays| registry.zone_rank(&self.zone) < relays)
    }

    /// Relays of this node's zone; none where every node reads the store.
    fn relay_count(&self, registry: &Registry) -> Option<usize> {
        if !self.times.allow_relays {
            return None;
        }
        let zone_nodes = registry.zone_count(&self.zone);
        // Until all are known, other zones are taken to have as many.
        let all_nodes = match registry.is_listed() {
            true => registry.count(),
            false => zone_nodes * self.zones,
        };
        relays_of_zone(zone_nodes, all_nodes)
    }

    /// The relays that this node asks: those of its zone that come first and
    /// have answered; empty where there are none.
    pub fn to_ask(&self, registry: &Registry) -> Vec<SocketAddr> {
        let Some(count) = self.relay_count(registry) else {
            return Vec::new();
        };
        let now = clock::now();
        let state = self.state();
        let is_usable = |address: &SocketAddr| state.avoided.get(address).is_none_or(|until| *until <= now);
        let ranked = registry.zone_peers(&self.zone).into_iter();
        ranked.filter(is_usable).take(count).collect()
    }

    /// Whether news of instances are urgent: a leader is missing among them, and
    /// not for long.
    pub fn are_news_urgent(&self, directory: &Directory) -> bool {
        let is_missing = !directory.knows_claimed_leaders();
        let mut state = self.state();
        if !is_missing {
            state.leader_missing_since = None;
            return false;
        }
        let now = clock::now();
        let since = *state.leader_missing_since.get_or_insert(now);
        now.millis_since(since) < MISSING_LEADER_MS
    }

    /// The store answers this node again after an outage. Relays hear it at the same
    /// time, so this node waits for their word as at its start.
    pub fn store_answers(&self, engine: &Engine) {
        let now = clock::now();
        {
            let mut state = self.state();
            let is_recent = state
                .regained
                .is_some_and(|regained| now.millis_since(regained) < REGAINED_PAUSE_MS);
            if is_recent || state.known_since.is_none() {
                return;
            }
            state.regained = Some(now);
            state.known_since = Some(now);
        }
        self.judge(engine);
    }

    /// Judges anew whether this node must read the store, once the other nodes
    /// are known.
    pub fn judge(&self, engine: &Engine) {
        if !engine.registry.is_zone_known() {
            return;
        }
        let is_relay = self.is_relay(&engine.registry);
        let (known_since, asked, heard, relay_answered) = {
            let mut state = self.state();
            let known_since = *state.known_since.get_or_insert_with(clock::now);
            let heard = state.freshness.as_of();
            (known_since, state.asked, heard, state.relay_answered)
        };
        let catalog = CatalogState {
            is_relay,
            asked,
            is_complete: engine.directory.is_complete(),
            known_since,
            heard,
            relay_answered,
        };
        let must_read = catalog.must_read(clock::now(), &self.times);
        let reading = match must_read {
            true => StoreReading::Reading,
            false => StoreReading::LeftToRelays,
        };
        let before = *self.reading.borrow();
        if before == StoreReading::LeftToRelays && must_read {
            // One call shows whether the store answers; the others wait for it.
            engine.store_contact.note_lost();
        }
        if before != reading {
            self.reading.send_replace(reading);
            let age = self
                .store_age_ms()
                .map_or("none".to_owned(), |age| age.to_string());
            info!("event=catalog_source reads_store={must_read} relay={is_relay} store_age_ms={age}");
        }
    }
}

/// Decides whether this node reads the store as soon as it knows the other
/// nodes.
pub async fn judge_at_start(engine: Arc<Engine>) {
    engine.registry.await_zone_known().await;
    engine.relays.judge(&engine);
}
