//! Applies catalog documents received from the store or from other nodes.

use std::collections::HashSet;
use std::fmt;

use log::warn;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_store::StoreRevision;

use crate::catalog::{ConfigSnapshot, InstanceRecord};
use crate::clock;
use crate::connection_shares::AMPLE_CONNECTION_SHARE;
use crate::node::Engine;
use crate::ports::{CatalogCodec, CatalogError};
use crate::unreadable_documents::truncate_for_log;

/// Number of connections opened in advance to a new instance.
const ADVANCE_CONNECTIONS: usize = 1;

/// Document sent to peers in place of an unreadable record. Every valid document is
/// non-empty.
const UNREADABLE: &[u8] = &[];

/// Where this node received a configuration from.
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

/// The origin of a configuration, for the log.
#[derive(Debug, Clone, Copy)]
pub struct ConfigOrigin {
    /// Where this node received the configuration from.
    pub source: ConfigSource,
    /// When any node first read the configuration from the store, as far as known.
    pub known_since: Instant,
    /// Size of the document in bytes.
    pub bytes: usize,
}

impl Engine {
    /// Records that a peer transferred its instances, which matched the store at `as_of`. If that
    /// ends an outage, all followers read again, since this node's watches may have been lost.
    pub fn record_peer_instances(&self, as_of: Instant) {
        self.directory.record_instances_as_of(as_of);
        let ends_outage = self.relays.record_peer_instances(as_of);
        if ends_outage && !self.relays.is_reading_store() {
            self.store_contact.request_reread();
        }
    }

    /// Activates a configuration unless a newer one is active.
    fn apply_config(&self, config: ConfigSnapshot, origin: &ConfigOrigin) {
        if self.directory.apply_config(config, origin) {
            let age_ms = clock::now().millis_since(origin.known_since);
            self.metrics.config_age.observe(age_ms as f64 / 1_000.0);
            let config = self.directory.config();
            let has_restrictions =
                config.is_some_and(|config| config.allowed_regions().any(|regions| !regions.is_any()));
            self.leader_demands.set_counted(has_restrictions);
            self.warn_about_regions();
            self.pools.set_shares(|record| self.connection_share(record));
            for known in self.directory.instances() {
                self.open_ahead(&known.record);
            }
            self.wake_monitor();
        }
    }

    /// Opens connections in advance to an instance of a configured group if this node runs
    /// statements on it. Backup owners connect on demand, which limits the number of
    /// connections and the cost of ranking nodes at each configuration change.
    /// Opening them ahead would mean five more for each of 3,000 instances, 12 ms of a slot each.
    fn open_ahead(&self, record: &InstanceRecord) {
        let is_configured = self.directory.group_limits(&record.group).is_some();
        if !is_configured || record.is_leaving || !self.registry.is_listed() {
            return;
        }
        let is_evacuated = self.directory.evacuated_since(&record.zone).is_some();
        if is_evacuated || self.has_tenant_connections() || !self.runs_statements_on(record) {
            return;
        }
        if self.connection_share(record) >= AMPLE_CONNECTION_SHARE {
            self.pools.prewarm(self.pool(record), ADVANCE_CONNECTIONS);
        }
    }

    /// Decodes and applies a configuration document. `known_since` is the time at which the
    /// first node read it from the store. An unreadable document is logged and ignored.
    pub fn handle_config_document(
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
                self.unreadable_documents.clear_unreadable_config();
                let version = config.version;
                if version > self.config_version() {
                    self.catalog_cache.store_config(version, value, known_since);
                    self.apply_config(config, &origin);
                }
            }
            Err(error) => {
                let reason = truncate_for_log(&error.to_string());
                if self.unreadable_documents.record_unreadable_config(&reason) {
                    warn!("event=config_refused source={source} error={reason:?}");
                }
            }
        }
    }

    /// Applies an instance's document of `revision`, or its removal if `value` is `None`,
    /// unless a newer revision is known. Returns true if the document describes an instance
    /// or is older than the known revision.
    ///
    /// An unreadable document has the effect of a removal: an instance known under its key
    /// is dropped. Other instances are not affected.
    pub fn handle_instance_document(
        &self,
        codec: &dyn CatalogCodec,
        key: &str,
        value: Option<&[u8]>,
        revision: StoreRevision,
    ) -> bool {
        if self.is_outdated(codec, key, revision) {
            return true;
        }
        let record = match value.map(|value| codec.read_instance(key, value)) {
            Some(Ok(record)) => record,
            Some(Err(error)) => {
                self.report_unreadable(key, revision, &error);
                // Peers receive a marker instead of the unreadable document.
                self.drop_record(codec, key, Some(UNREADABLE), revision);
                return false;
            }
            None => {
                self.unreadable_documents.forget(key);
                self.drop_record(codec, key, None, revision);
                return false;
            }
        };
        self.unreadable_documents.forget(key);
        if self.apply_record(record) {
            self.catalog_cache.store_instance(key, value, revision);
        }
        true
    }

    /// Drops the instances that a complete listing of `revision` does not include.
    pub fn drop_missing_instances(
        &self,
        codec: &dyn CatalogCodec,
        present: &HashSet<InstanceName>,
        revision: StoreRevision,
    ) {
        for missing in self.directory.apply_listing(present) {
            let key = format!("{}{missing}", codec.instances_prefix());
            // Rejects older records of the instance that a peer may still send.
            self.catalog_cache.mark_applied(&key, revision);
            self.catalog_cache.store_instance(&key, None, revision);
        }
    }

    /// Returns whether a newer revision than `revision` is known for the instance under
    /// `key`, and otherwise marks `revision` as applied. Revisions are tracked only for
    /// keys that name an instance.
    fn is_outdated(&self, codec: &dyn CatalogCodec, key: &str, revision: StoreRevision) -> bool {
        codec.instance_name(key).is_some() && !self.catalog_cache.mark_applied(key, revision)
    }

    /// Counts and logs a document that cannot be read.
    fn report_unreadable(&self, key: &str, revision: StoreRevision, error: &CatalogError) {
        let reason = truncate_for_log(&error.to_string());
        if self.unreadable_documents.note(key, &reason) {
            self.metrics.unreadable_records.inc();
            let key = truncate_for_log(key);
            warn!("event=record_passed_over key={key:?} revision={revision} reason={reason:?}");
        }
    }

    /// Drops the instance under `key` as of `revision`, because its record was removed or
    /// has become unreadable. Peers receive `document`, or a removal if it is `None`.
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
        let has_changed_state = match document {
            Some(_) => self.directory.mark_undecodable(&name),
            None => self.directory.mark_removed(&name),
        };
        if has_changed_state {
            self.catalog_cache.store_instance(key, document, revision);
        }
    }

    /// Applies an instance's record; returns whether anything except the heartbeat changed.
    fn apply_record(&self, record: InstanceRecord) -> bool {
        let change = self.directory.apply_record(record.clone());
        if change.has_restarted {
            self.handle_restart(&record);
        }
        if change.is_new || change.has_restarted {
            self.open_ahead(&record);
        }
        change.has_changed || change.has_restarted
    }

    /// Handles a restart of an instance: discards the connections to the old process, with
    /// their session state and prepared statements, and triggers the search for the group's
    /// leader.
    fn handle_restart(&self, record: &InstanceRecord) {
        self.metrics.instance_restarts.inc();
        self.pools
            .replace_restarted(record, self.registry.version(), self.connection_share(record));
        self.expedite_instance_batch();
        self.wake_monitor();
    }
}
