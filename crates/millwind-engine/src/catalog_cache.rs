//! A cache of the catalog's documents in their stored form, for nodes that receive the
//! catalog from other nodes instead of the store.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use log::warn;
use millwind_core::Instant;
use millwind_store::StoreRevision;
use millwind_wire::compressed::Compressed;
use millwind_wire::exchange::{ConfigDocument, ExchangeReply, StoredDocument};

use crate::clock;
use crate::document_cache::DocumentCache;
use crate::node::Engine;

/// The cached document of the configuration.
#[derive(Debug)]
struct CachedConfig {
    version: u64,
    document: CachedDocument,
    /// When any node first read the document from the store.
    known_since: Instant,
}

/// A document that is compressed when a peer first requests it.
#[derive(Debug)]
enum CachedDocument {
    Plain(Vec<u8>),
    Compressed(Compressed),
}

impl CachedConfig {
    /// Returns the document for a peer, compressing it on first use, or `None` if
    /// compression fails.
    fn wire_document(&mut self) -> Option<ConfigDocument> {
        if let CachedDocument::Plain(plain) = &self.document {
            match Compressed::compress(plain) {
                Ok(compressed) => self.document = CachedDocument::Compressed(compressed),
                Err(error) => {
                    let version = self.version;
                    warn!(
                        "event=config_not_compressed version={version} error={:?}",
                        error.to_string()
                    );
                }
            }
        }
        let CachedDocument::Compressed(document) = &self.document else {
            return None;
        };
        let age_ms = clock::now().millis_since(self.known_since);
        Some(ConfigDocument {
            version: self.version,
            age_ms: encode_age_ms(Some(age_ms)),
            document: document.clone(),
        })
    }
}

#[derive(Debug, Default)]
struct State {
    config: Option<CachedConfig>,
    instances: DocumentCache,
    /// Newest applied revision of each instance's record, including revisions that changed
    /// only the heartbeat.
    applied: BTreeMap<String, StoreRevision>,
    /// Store revision up to which all instances are known; `NONE` before the first listing.
    instances_revision: StoreRevision,
}

/// Encodes an age for the wire; an unknown or too large age becomes `u32::MAX`.
pub fn encode_age_ms(age_ms: Option<u64>) -> u32 {
    age_ms.and_then(|age| u32::try_from(age).ok()).unwrap_or(u32::MAX)
}

/// The catalog's documents, each with the revision of its last change. A change of only
/// the heartbeat in an instance's record does not count.
#[derive(Debug, Default)]
pub struct CatalogCache {
    state: Mutex<State>,
}

impl CatalogCache {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores the configuration of `version`. `known_since` is the time at which the first
    /// node read it from the store.
    pub fn store_config(&self, version: u64, value: &[u8], known_since: Instant) {
        self.state().config = Some(CachedConfig {
            version,
            document: CachedDocument::Plain(value.to_vec()),
            known_since,
        });
    }

    /// Stores an instance's document, or its removal if `value` is `None`, unless a newer
    /// revision is cached.
    pub fn store_instance(&self, key: &str, value: Option<&[u8]>, revision: StoreRevision) {
        let mut state = self.state();
        let cached = state.instances.get(key);
        if cached.is_some_and(|cached| cached.revision > revision) {
            return;
        }
        let document = StoredDocument {
            key: key.to_owned(),
            revision,
            removed: u8::from(value.is_none()),
            value: value.unwrap_or_default().to_vec(),
        };
        state.instances.insert(document);
    }

    /// Records that `revision` of an instance's record is applied. Returns false if a newer
    /// revision already was.
    pub fn mark_applied(&self, key: &str, revision: StoreRevision) -> bool {
        let mut state = self.state();
        match state.applied.get_mut(key) {
            Some(applied) if *applied > revision => false,
            Some(applied) => {
                *applied = revision;
                true
            }
            None => {
                state.applied.insert(key.to_owned(), revision);
                true
            }
        }
    }

    /// Returns the keys of the instances with an applied revision newer than `revision`.
    pub fn applied_after(&self, revision: StoreRevision) -> Vec<String> {
        let state = self.state();
        let newer = state.applied.iter().filter(|(_, applied)| **applied > revision);
        newer.map(|(key, _)| key.clone()).collect()
    }

    /// Records that all instances are known up to `revision`. Nodes compare this revision
    /// rather than that of the newest document, which would cause a record to be resent
    /// whenever only its heartbeat differs.
    pub fn advance_instances_revision(&self, revision: StoreRevision) {
        let mut state = self.state();
        state.instances_revision = state.instances_revision.max(revision);
    }

    /// Returns the store revision up to which all instances are known, or `NONE` before the
    /// first listing.
    pub fn instances_revision(&self) -> StoreRevision {
        self.state().instances_revision
    }

    /// Returns the catalog documents that a peer with the given versions lacks.
    pub fn changes_for_peer(
        &self,
        config_version: u64,
        instances_revision: StoreRevision,
        own_revision: StoreRevision,
        evacuations_revision: StoreRevision,
        engine: &Engine,
    ) -> ExchangeReply {
        // Taken before the documents are read, since it does not cover later changes.
        let instances_age_ms = encode_age_ms(engine.relays.instances_age_ms());
        let config_age_ms = encode_age_ms(engine.relays.configuration_age_ms());
        let mut state = self.state();
        let missing_config = state
            .config
            .as_mut()
            .filter(|cached| cached.version > config_version);
        let config = missing_config.and_then(CachedConfig::wire_document);
        let instances = state.instances.after(instances_revision);
        ExchangeReply::Catalog {
            config: config.into_iter().collect(),
            evacuations: engine.evacuations_after(evacuations_revision),
            instances,
            instances_revision: state.instances_revision,
            own: engine.own_keys.documents_after(own_revision),
            own_revision: engine.own_keys.known_revision(),
            complete: u8::from(engine.directory.is_complete()),
            instances_age_ms,
            config_age_ms,
            own_age_ms: encode_age_ms(engine.directory.closed_terms_age_ms()),
        }
    }
}
