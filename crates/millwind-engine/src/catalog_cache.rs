//! The catalog's documents as they were read, for peers that cannot read them
//! from the store.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use log::warn;
use millwind_core::Instant;
use millwind_store::StoreRevision;
use millwind_wire::compressed::Compressed;
use millwind_wire::exchange::{ConfigDocument, ExchangeReply, StoredDocument};

use crate::clock;
use crate::kept_documents::KeptDocuments;
use crate::node::Engine;

/// The configuration's document.
#[derive(Debug)]
struct KeptConfig {
    version: u64,
    document: KeptDocument,
    /// When some node first read it from the store.
    known_since: Instant,
}

/// A document that is compressed once, when a peer first lacks it.
#[derive(Debug)]
enum KeptDocument {
    Whole(Vec<u8>),
    Compressed(Compressed),
}

impl KeptConfig {
    /// The document as it travels; none if it cannot be compressed.
    fn travelling(&mut self) -> Option<ConfigDocument> {
        if let KeptDocument::Whole(whole) = &self.document {
            match Compressed::pack(whole) {
                Ok(compressed) => self.document = KeptDocument::Compressed(compressed),
                Err(error) => {
                    let version = self.version;
                    warn!(
                        "event=config_not_compressed version={version} error={:?}",
                        error.to_string()
                    );
                }
            }
        }
        let KeptDocument::Compressed(document) = &self.document else {
            return None;
        };
        let age_ms = clock::now().millis_since(self.known_since);
        Some(ConfigDocument {
            version: self.version,
            age_ms: write_age(Some(age_ms)),
            document: document.clone(),
        })
    }
}

#[derive(Debug, Default)]
struct State {
    config: Option<KeptConfig>,
    instances: KeptDocuments,
    /// By instance, the newest revision of its record that was taken in; a
    /// heartbeat alone changes nothing else.
    seen: BTreeMap<String, StoreRevision>,
    /// Store revision up to which all instances are known; none where they are not.
    instances_revision: StoreRevision,
}

/// An age as it travels; the greatest value for never.
pub fn write_age(age_ms: Option<u64>) -> u32 {
    age_ms.and_then(|age| u32::try_from(age).ok()).unwrap_or(u32::MAX)
}

/// Documents with the revision of their last change that matters: an
/// instance's heartbeat alone is none.
#[derive(Debug, Default)]
pub struct CatalogCache {
    state: Mutex<State>,
}

impl CatalogCache {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps the configuration of `version`, which some node first read from the
    /// store at `known_since`.
    pub fn keep_config(&self, version: u64, value: &[u8], known_since: Instant) {
        self.state().config = Some(KeptConfig {
            version,
            document: KeptDocument::Whole(value.to_vec()),
            known_since,
        });
    }

    /// Keeps an instance's document, or that it was removed, unless a newer one is kept.
    pub fn keep_instance(&self, key: &str, value: Option<&[u8]>, revision: StoreRevision) {
        let mut state = self.state();
        let kept = state.instances.get(key);
        if kept.is_some_and(|kept| kept.revision > revision) {
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

    /// Notes that an instance's record of `revision` is taken in; false if a
    /// newer one was.
    pub fn see_instance(&self, key: &str, revision: StoreRevision) -> bool {
        let mut state = self.state();
        match state.seen.get_mut(key) {
            Some(seen) if *seen > revision => false,
            Some(seen) => {
                *seen = revision;
                true
            }
            None => {
                state.seen.insert(key.to_owned(), revision);
                true
            }
        }
    }

    /// Keys of the instances of which something newer than `revision` was taken in.
    pub fn seen_after(&self, revision: StoreRevision) -> Vec<String> {
        let state = self.state();
        let newer = state.seen.iter().filter(|(_, seen)| **seen > revision);
        newer.map(|(key, _)| key.clone()).collect()
    }

    /// All instances are known up to this store revision. Comparing by the
    /// newest document instead would send a record again and again whose
    /// heartbeat another node has seen later.
    pub fn instances_known_to(&self, revision: StoreRevision) {
        let mut state = self.state();
        state.instances_revision = state.instances_revision.max(revision);
    }

    /// Store revision up to which all instances are known; none where they are not.
    pub fn instances_revision(&self) -> StoreRevision {
        self.state().instances_revision
    }

    /// What a peer with these versions lacks.
    pub fn newer_than(
        &self,
        config_version: u64,
        instances_revision: StoreRevision,
        own_revision: StoreRevision,
        evacuations_revision: StoreRevision,
        engine: &Engine,
    ) -> ExchangeReply {
        // Before anything is read: what changes meanwhile is not covered by it.
        let store_age_ms = write_age(engine.relays.store_age_ms());
        let mut state = self.state();
        let newer_config = state.config.as_mut().filter(|kept| kept.version > config_version);
        let config = newer_config.and_then(KeptConfig::travelling);
        let instances = state.instances.after(instances_revision);
        ExchangeReply::Catalog {
            config: config.into_iter().collect(),
            evacuations: engine.evacuations_after(evacuations_revision),
            instances,
            instances_revision: state.instances_revision,
            own: engine.own_keys.documents_after(own_revision),
            own_revision: engine.own_keys.known_revision(),
            complete: u8::from(engine.directory.is_complete()),
            store_age_ms,
            own_age_ms: write_age(engine.directory.terms_age_ms()),
        }
    }
}
