//! Store followers that apply the operators' configuration and the instance records to the
//! directory.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_store::{Entry, Listing};
use tokio::sync::watch;

use crate::catalog_intake::ConfigSource;
use crate::clock;
use crate::node::Engine;
use crate::ports::CatalogCodec;
use crate::store_watch::{CatalogSource, Follower, MAX_RETRY_DELAY, MAX_RETRY_DELAY_BEHIND_RELAYS};

/// Longest wait of one watch call on the instances. They change often, so a short wait detects an
/// outage of the store early.
const INSTANCES_WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// The same wait on relays, which pause between two calls and vouch for the time at which the
/// last answered one was sent.
const RELAY_INSTANCES_WATCH_WAIT: Duration = Duration::from_millis(250);

/// Returns the maximum delay of this node between two retries while the store is
/// unavailable.
fn retry_delay_limit(engine: &Engine) -> Duration {
    match engine.relays.is_relay(&engine.registry) {
        true => MAX_RETRY_DELAY,
        false => MAX_RETRY_DELAY_BEHIND_RELAYS,
    }
}

/// Follows the operators' keys: the configuration and the evacuation requests. Both share
/// one watch, so that evacuation requests need no store calls of their own.
pub struct ConfigFollower {
    engine: Arc<Engine>,
    codec: Arc<dyn CatalogCodec>,
}

impl ConfigFollower {
    /// Creates a follower that decodes documents with `codec` and applies them to `engine`.
    pub fn new(engine: Arc<Engine>, codec: Arc<dyn CatalogCodec>) -> Self {
        ConfigFollower { engine, codec }
    }

    fn apply(&self, entries: Vec<Entry>) {
        for entry in entries {
            let Some(value) = entry.value else { continue };
            if entry.key != self.codec.config_key() {
                continue;
            }
            self.engine
                .handle_config_document(&*self.codec, &value, ConfigSource::Store, clock::now());
        }
    }
}

impl Follower for ConfigFollower {
    fn name(&self) -> &'static str {
        "config"
    }

    fn listed(&self, listing: Listing) {
        // Evacuations come first, since the node may start to serve with a configuration.
        self.engine.handle_evacuation_listing(&*self.codec, &listing);
        self.apply(listing.entries);
    }

    fn changed(&self, entries: Vec<Entry>) {
        self.engine.handle_evacuation_events(&*self.codec, &entries);
        self.apply(entries);
    }

    fn complete(&self, asked: Instant) {
        self.engine.relays.configuration_read(asked);
    }

    fn outdated(&self) -> BoxFuture<'_, ()> {
        let relays = &self.engine.relays;
        Box::pin(relays.configuration_outdated(&self.engine.registry))
    }

    fn catalog_source(&self) -> Option<watch::Receiver<CatalogSource>> {
        Some(self.engine.relays.reading())
    }

    fn max_retry_delay(&self) -> Duration {
        retry_delay_limit(&self.engine)
    }
}

/// Follows the instance records.
pub struct InstanceFollower {
    engine: Arc<Engine>,
    codec: Arc<dyn CatalogCodec>,
}

impl InstanceFollower {
    /// Creates a follower that decodes records with `codec` and applies them to `engine`.
    pub fn new(engine: Arc<Engine>, codec: Arc<dyn CatalogCodec>) -> Self {
        InstanceFollower { engine, codec }
    }

    /// Applies the entry of one key; returns the instance that it describes, if any.
    fn apply(&self, entry: &Entry) -> Option<InstanceName> {
        let value = entry.value.as_deref();
        let is_instance =
            self.engine
                .handle_instance_document(&*self.codec, &entry.key, value, entry.revision);
        is_instance
            .then(|| self.codec.instance_name(&entry.key))
            .flatten()
    }
}

impl Follower for InstanceFollower {
    fn name(&self) -> &'static str {
        "instances"
    }

    fn listed(&self, listing: Listing) {
        let revision = listing.revision;
        let listed = listing.entries.iter().filter_map(|entry| self.apply(entry));
        let mut present: HashSet<_> = listed.collect();
        // Peers may have reported instances that are newer than this listing.
        let newer = self.engine.catalog_cache.applied_after(revision);
        present.extend(newer.iter().filter_map(|key| self.codec.instance_name(key)));
        self.engine
            .drop_missing_instances(&*self.codec, &present, revision);
        let keys: HashSet<&str> = listing.entries.iter().map(|entry| entry.key.as_str()).collect();
        self.engine
            .unreadable_documents
            .retain_listed(self.codec.instances_prefix(), |key| keys.contains(key));
        self.engine.catalog_cache.advance_instances_revision(revision);
        self.engine.directory.record_store_contact();
    }

    fn store_answers(&self) {
        self.engine.relays.wait_for_relays(&self.engine);
    }

    fn changed(&self, entries: Vec<Entry>) {
        for entry in &entries {
            self.apply(entry);
        }
        let newest = entries.iter().map(|entry| entry.revision).max();
        let cache = &self.engine.catalog_cache;
        cache.advance_instances_revision(newest.unwrap_or_default());
        self.engine.directory.record_store_contact();
    }

    fn watch_answered(&self) {
        self.engine.directory.record_store_contact();
    }

    fn complete(&self, asked: Instant) {
        self.engine.relays.instances_read(asked);
        self.engine.directory.record_instances_as_of(asked);
    }

    fn max_watch_wait(&self) -> Duration {
        match self.engine.relays.are_used(&self.engine.registry) {
            true => RELAY_INSTANCES_WATCH_WAIT,
            false => INSTANCES_WATCH_WAIT,
        }
    }

    fn catalog_source(&self) -> Option<watch::Receiver<CatalogSource>> {
        Some(self.engine.relays.reading())
    }

    fn max_retry_delay(&self) -> Duration {
        retry_delay_limit(&self.engine)
    }

    fn is_sentinel(&self) -> bool {
        true
    }

    fn await_next_batch(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.engine.wait_for_instance_batch())
    }
}
