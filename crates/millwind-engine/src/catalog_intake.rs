//! Takes the catalog in, from the store or from other nodes.

use std::fmt;

use log::warn;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;

use crate::catalog::{ConfigSnapshot, InstanceRecord};
use crate::clock;
use crate::connection_shares::AMPLE_SHARE;
use crate::node::Engine;
use crate::ports::CatalogCodec;

/// Connections opened ahead of need to a new instance.
const WARM_CONNECTIONS: usize = 1;

/// Who told this node of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// The store.
    Store,
    /// Another node.
    Peer,
}

impl fmt::Display for ConfigSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ConfigSource::Store => "store",
            ConfigSource::Peer => "peer",
        })
    }
}

/// Where a configuration came from, for the line that tells of it.
#[derive(Debug, Clone, Copy)]
pub struct ConfigOrigin {
    /// Who told of it.
    pub source: ConfigSource,
    /// When some node first read it from the store, as far as is known.
    pub known_since: Instant,
    /// Size of its document.
    pub bytes: usize,
}

impl Engine {
    /// The store told this node of its instances.
    pub fn store_heard(&self) {
        self.directory.store_heard();
        self.relays.instances_heard();
    }

    /// A peer knows what the store held at `heard`. After an outage that this
    /// node did not notice itself, its own watches may have been lost.
    pub fn store_heard_by_peer(&self, heard: Instant) {
        let is_regained = self.relays.told(heard);
        if is_regained && !self.relays.is_reading_store() {
            self.store_contact.note_regained();
        }
    }

    /// Puts a configuration in force unless a newer one is.
    fn apply_config(&self, config: ConfigSnapshot, origin: &ConfigOrigin) {
        if self.directory.apply_config(config, origin) {
            let age_ms = clock::now().millis_since(origin.known_since);
            self.metrics.config_age.observe(age_ms as f64 / 1_000.0);
            self.tell_of_regions();
            self.pools.set_shares(|record| self.share_of(record));
            for known in self.directory.instances() {
                self.warm_up(&known.record);
            }
            self.wake_monitor();
        }
    }

    /// Opens connections to an instance of a configured group ahead of need.
    fn warm_up(&self, record: &InstanceRecord) {
        let is_configured = self.directory.group_limits(&record.group).is_some();
        let share = self.share_of(record);
        let is_of_use = !self.tells_tenants_apart() && share >= AMPLE_SHARE;
        if is_configured && !record.is_leaving && is_of_use && self.registry.is_listed() {
            self.pools.warm_up(self.pool(record), WARM_CONNECTIONS);
        }
    }

    /// Takes in a configuration's document, which some node first read from the
    /// store at `known_since`.
    pub fn take_config(
        &self,
        codec: &dyn CatalogCodec,
        value: &[u8],
        source: ConfigSource,
        known_since: Instant,
    ) {
        let origin = ConfigOrigin {
            source,
            known_since,
            bytes: value.len(),
        };
        match codec.read_config(value) {
            Ok(config) => {
                let version = config.version;
                if version > self.config_version() {
                    self.catalog_cache.keep_config(version, value, known_since);
                    self.apply_config(config, &origin);
                }
            }
            Err(error) => warn!(
                "event=config_refused source={source} error={:?}",
                error.to_string()
            ),
        }
    }

    /// Takes in an instance's document of `revision`, or that it was removed,
    /// unless a newer one is known.
    pub fn take_instance(&self, codec: &dyn CatalogCodec, key: &str, value: Option<&[u8]>, revision: u64) {
        if !self.catalog_cache.see_instance(key, revision) {
            return;
        }
        let Some(value) = value else {
            let name = key.strip_prefix(codec.instances_prefix()).unwrap_or(key);
            if self.directory.remove_record(&InstanceName::from(name)) {
                self.catalog_cache.keep_instance(key, None, revision);
            }
            return;
        };
        match codec.read_instance(key, value) {
            Ok(record) => {
                if self.apply_record(record) {
                    self.catalog_cache.keep_instance(key, Some(value), revision);
                }
            }
            Err(error) => warn!("event=instance_refused key={key} error={:?}", error.to_string()),
        }
    }

    /// Takes in an instance's record; true if more than its heartbeat changed.
    fn apply_record(&self, record: InstanceRecord) -> bool {
        let is_new = self
            .directory
            .instance(&record.name)
            .is_none_or(|known| known.is_gone);
        let has_changed = self.directory.apply_record(record.clone());
        if is_new {
            self.warm_up(&record);
        }
        has_changed
    }
}
