//! Takes the catalog in, from the store or from other nodes.

use std::collections::HashSet;
use std::fmt;

use log::warn;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_store::StoreRevision;

use crate::catalog::{ConfigSnapshot, InstanceRecord};
use crate::clock;
use crate::connection_shares::AMPLE_SHARE;
use crate::node::Engine;
use crate::passed_over::shortened;
use crate::ports::{CatalogCodec, CatalogError};

/// Connections opened ahead of need to a new instance.
const AHEAD_CONNECTIONS: usize = 1;

/// What peers are told in place of a record that cannot be read: no document of any
/// form is empty.
const UNREADABLE: &[u8] = &[];

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
            let config = self.directory.config();
            let has_terms =
                config.is_some_and(|config| config.allowed_regions().any(|regions| !regions.is_any()));
            self.leader_demands.count(has_terms);
            self.tell_of_regions();
            self.pools.set_shares(|record| self.share_of(record));
            for known in self.directory.instances() {
                self.open_ahead(&known.record);
            }
            self.wake_monitor();
        }
    }

    /// Opens connections to an instance of a configured group ahead of need, where this
    /// node runs statements on it. Those that stand in for owners open theirs when they
    /// are needed: ahead of need it would be five more for each of 3,000 instances, 12 ms
    /// of a slot each, and each node would rank the nodes for all instances (54 us of
    /// processor time each) at every configuration.
    fn open_ahead(&self, record: &InstanceRecord) {
        let is_configured = self.directory.group_limits(&record.group).is_some();
        if !is_configured || record.is_leaving || !self.registry.is_listed() {
            return;
        }
        let is_evacuated = self.directory.evacuated_since(&record.zone).is_some();
        if is_evacuated || self.tells_tenants_apart() || !self.runs_statements_on(record) {
            return;
        }
        if self.share_of(record) >= AMPLE_SHARE {
            self.pools.open_ahead(self.pool(record), AHEAD_CONNECTIONS);
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
                self.passed_over.forget_config();
                let version = config.version;
                if version > self.config_version() {
                    self.catalog_cache.keep_config(version, value, known_since);
                    self.apply_config(config, &origin);
                }
            }
            Err(error) => {
                let reason = shortened(&error.to_string());
                if self.passed_over.note_config(&reason) {
                    warn!("event=config_refused source={source} error={reason:?}");
                }
            }
        }
    }

    /// Takes in an instance's document of `revision`, or that it was removed,
    /// unless a newer one is known; true if the document names an instance, or is older
    /// than what is known of one.
    ///
    /// A document that cannot be read names none: an instance that was known under its
    /// key is gone, as if the record had been removed, since nobody can tell what the
    /// writer meant by it; all others hold.
    pub fn take_instance(
        &self,
        codec: &dyn CatalogCodec,
        key: &str,
        value: Option<&[u8]>,
        revision: StoreRevision,
    ) -> bool {
        if self.is_older(codec, key, revision) {
            return true;
        }
        let record = match value.map(|value| codec.read_instance(key, value)) {
            Some(Ok(record)) => record,
            Some(Err(error)) => {
                self.pass_over(key, revision, &error);
                // Peers need not read it to know that it cannot be read.
                self.drop_record(codec, key, Some(UNREADABLE), revision);
                return false;
            }
            None => {
                self.passed_over.forget(key);
                self.drop_record(codec, key, None, revision);
                return false;
            }
        };
        self.passed_over.forget(key);
        if self.apply_record(record) {
            self.catalog_cache.keep_instance(key, value, revision);
        }
        true
    }

    /// All instances at `revision` are `present`: the others are gone.
    pub fn drop_unlisted(
        &self,
        codec: &dyn CatalogCodec,
        present: &HashSet<InstanceName>,
        revision: StoreRevision,
    ) {
        for missing in self.directory.listing_applied(present) {
            let key = format!("{}{missing}", codec.instances_prefix());
            // A record of before this listing that a peer still sends is old.
            self.catalog_cache.see_instance(&key, revision);
            self.catalog_cache.keep_instance(&key, None, revision);
        }
    }

    /// Whether something newer than `revision` is known of the instance under `key`. Only
    /// names are remembered: no record can ever be read under another key.
    fn is_older(&self, codec: &dyn CatalogCodec, key: &str, revision: StoreRevision) -> bool {
        codec.instance_name(key).is_some() && !self.catalog_cache.see_instance(key, revision)
    }

    /// Tells of a document that cannot be read.
    fn pass_over(&self, key: &str, revision: StoreRevision, error: &CatalogError) {
        let reason = shortened(&error.to_string());
        if self.passed_over.note(key, &reason) {
            self.metrics.records_passed_over.inc();
            let key = shortened(key);
            warn!("event=record_passed_over key={key:?} revision={revision} reason={reason:?}");
        }
    }

    /// The record under `key` names no instance since `revision`: it was removed, or
    /// something lies there that cannot be read, for which peers are told `document`.
    fn drop_record(
        &self,
        codec: &dyn CatalogCodec,
        key: &str,
        document: Option<&[u8]>,
        revision: StoreRevision,
    ) {
        let Some(name) = codec.instance_name(key) else {
            return;
        };
        let is_news = match document {
            Some(_) => self.directory.disown(&name),
            None => self.directory.remove_record(&name),
        };
        if is_news {
            self.catalog_cache.keep_instance(key, document, revision);
        }
    }

    /// Takes in an instance's record; true if more than its heartbeat changed.
    fn apply_record(&self, record: InstanceRecord) -> bool {
        let change = self.directory.apply_record(record.clone());
        if change.has_begun_anew {
            self.begin_life(&record);
        }
        if change.is_new || change.has_begun_anew {
            self.open_ahead(&record);
        }
        change.has_changed || change.has_begun_anew
    }

    /// An instance began anew: connections to its former life are closed, with what was
    /// set and prepared on them, and its group's leader is looked for at once.
    fn begin_life(&self, record: &InstanceRecord) {
        self.metrics.lives_begun.inc();
        self.pools
            .begin_life(record, self.registry.version(), self.share_of(record));
        self.doubt_leader();
        self.wake_monitor();
    }
}
