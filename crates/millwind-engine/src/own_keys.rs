//! Replica of the system's own keys in the store. Relays read the keys, peers exchange
//! them, and every change is passed to the followers of the data kept there.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use log::warn;
use millwind_core::Instant;
use millwind_store::{Entry, Listing, StoreRevision};
use millwind_wire::exchange::{DocumentList, StoredDocument};
use tokio::sync::watch;

use crate::document_cache::DocumentCache;
use crate::registry::Registry;
use crate::store_watch::{CatalogSource, Follower};

/// Interval between two watch responses for the system's own keys, which batches the
/// registrations of nodes that start together.
const BATCH_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval between the first [`STARTING_BATCHES`] watch responses if nodes need permits, which
/// require data that was read after their registration.
const STARTING_BATCH_INTERVAL: Duration = Duration::from_millis(400);
const STARTING_BATCHES: usize = 4;

#[derive(Debug, Default)]
struct State {
    /// Documents by key. Removed ones are kept so that peers learn of the removal.
    documents: DocumentCache,
    /// Store revision up to which all documents are known.
    known_revision: StoreRevision,
}

/// Follows the system's own keys and passes them to other followers.
pub struct SystemKeys {
    followers: Vec<Arc<dyn Follower>>,
    /// Registry to fill first with the nodes of the own zone, if enabled.
    registry: Option<Arc<Registry>>,
    catalog_source: watch::Receiver<CatalogSource>,
    /// Number of further watch responses that follow each other quickly.
    starting_batches: AtomicUsize,
    /// Longest wait of one watch call of a node that ranks first in the registry.
    max_watch_wait_of_first: Duration,
    state: Mutex<State>,
}

impl std::fmt::Debug for SystemKeys {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "SystemKeys({})", self.known_revision())
    }
}

impl SystemKeys {
    /// Creates a replica that passes all documents to `followers`. `catalog_source`
    /// tells where the node reads them from.
    pub fn new(followers: Vec<Arc<dyn Follower>>, catalog_source: watch::Receiver<CatalogSource>) -> Self {
        SystemKeys {
            followers,
            registry: None,
            catalog_source,
            starting_batches: AtomicUsize::new(0),
            max_watch_wait_of_first: Duration::MAX,
            state: Mutex::default(),
        }
    }

    /// Makes a starting node read the nodes of its own zone first. They include its
    /// relays, which deliver the rest.
    pub fn with_zone_first(self, registry: Arc<Registry>) -> Self {
        SystemKeys {
            registry: Some(registry),
            ..self
        }
    }

    /// Limits the wait of one watch call of the node that ranks first in the registry, and with
    /// it the time for which silent connections hide changes: the others compare with that node.
    pub fn with_max_watch_wait_of_first(self, max_watch_wait_of_first: Duration) -> Self {
        SystemKeys {
            max_watch_wait_of_first,
            ..self
        }
    }

    /// Makes the first watch responses follow each other quickly, for nodes that start together
    /// and need permits.
    pub fn with_quick_start(self) -> Self {
        SystemKeys {
            starting_batches: AtomicUsize::new(STARTING_BATCHES),
            ..self
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the store revision up to which all documents are known, or
    /// [`StoreRevision::NONE`] if nothing is known.
    pub fn known_revision(&self) -> StoreRevision {
        self.state().known_revision
    }

    /// Returns the documents that changed after `revision`, to send to a peer.
    pub fn documents_after(&self, revision: StoreRevision) -> DocumentList {
        self.state().documents.after(revision)
    }

    /// Applies documents from a peer that knows all documents up to `revision`.
    pub fn apply_documents(&self, documents: Vec<StoredDocument>, revision: StoreRevision) {
        if revision.is_none() {
            return;
        }
        let entries: Vec<Entry> = documents.into_iter().map(to_entry).collect();
        let (fresh, is_full_copy) = {
            let mut state = self.state();
            let is_new_era = revision.era > state.known_revision.era;
            let is_full_copy = state.known_revision.is_none() || is_new_era;
            if is_new_era {
                // The store was restored from a backup and the peer sent its whole
                // content, so documents that the peer did not send are gone.
                state.remove_missing(&entries, revision);
            }
            let is_newer = |entry: &Entry| state.insert_if_newer(entry);
            let fresh: Vec<Entry> = entries.into_iter().filter(is_newer).collect();
            state.advance_revision(revision);
            (fresh, is_full_copy)
        };
        if is_full_copy {
            let known = self.state().as_listing();
            self.notify_listed(&known);
        } else if !fresh.is_empty() {
            self.notify_changed(&fresh);
        }
    }

    /// Applies a single document that a peer sent directly. Earlier changes of other
    /// documents may still be unknown.
    pub fn apply_document(&self, document: StoredDocument) {
        let entry = to_entry(document);
        self.state().insert_if_newer(&entry);
        // Followers are notified even if a restored store no longer holds the document,
        // so that a closed term stays closed.
        self.notify_changed(&[entry]);
    }

    fn notify_listed(&self, listing: &Listing) {
        for follower in &self.followers {
            follower.listed(listing.clone());
        }
    }

    fn notify_changed(&self, entries: &[Entry]) {
        for follower in &self.followers {
            follower.changed(entries.to_vec());
        }
    }
}

impl State {
    /// Inserts an entry. Returns false if the same or a newer revision is known.
    fn insert_if_newer(&mut self, entry: &Entry) -> bool {
        let known = self.documents.get(&entry.key);
        if known.is_some_and(|known| known.revision >= entry.revision) {
            return false;
        }
        self.documents.insert(to_document(entry));
        true
    }

    /// Returns all documents that are not removed.
    fn as_listing(&self) -> Listing {
        let present = self.documents.iter().filter(|document| document.removed == 0);
        Listing {
            revision: self.known_revision,
            entries: present.cloned().map(to_entry).collect(),
        }
    }

    /// Records that all documents are known up to `revision`.
    fn advance_revision(&mut self, revision: StoreRevision) {
        let known = self.known_revision;
        if revision.era > known.era && !known.is_none() {
            warn!(
                "event=store_restored era={} previous={} revision={} known={}",
                revision.era, known.era, revision.number, known.number
            );
        }
        self.known_revision = known.max(revision);
    }

    /// Marks all documents as removed that are missing from a listing at `revision`.
    fn remove_missing(&mut self, entries: &[Entry], revision: StoreRevision) {
        let present: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let is_gone = |document: &&StoredDocument| {
            document.removed == 0 && document.revision <= revision && !present.contains(document.key.as_str())
        };
        let removed_documents: Vec<_> = self.documents.iter().filter(is_gone).cloned().collect();
        for document in removed_documents {
            self.documents.insert(StoredDocument {
                removed: 1,
                revision,
                value: Vec::new(),
                ..document
            });
        }
    }
}

fn to_document(entry: &Entry) -> StoredDocument {
    StoredDocument {
        key: entry.key.clone(),
        revision: entry.revision,
        removed: u8::from(entry.value.is_none()),
        value: entry.value.clone().unwrap_or_default(),
    }
}

fn to_entry(document: StoredDocument) -> Entry {
    Entry {
        key: document.key,
        value: (document.removed == 0).then_some(document.value),
        revision: document.revision,
    }
}

impl Follower for SystemKeys {
    fn name(&self) -> &'static str {
        "own_keys"
    }

    fn initial_prefix(&self) -> Option<String> {
        self.registry.as_ref().map(|registry| registry.zone_prefix())
    }

    fn initial_prefix_listed(&self, listing: Listing) {
        if let Some(registry) = &self.registry {
            registry.apply_zone_listing(listing);
        }
    }

    fn catalog_source(&self) -> Option<watch::Receiver<CatalogSource>> {
        Some(self.catalog_source.clone())
    }

    fn max_watch_wait(&self) -> Duration {
        let is_first = self.registry.as_ref().is_some_and(|registry| registry.is_first());
        match is_first {
            true => self.max_watch_wait_of_first,
            false => Duration::MAX,
        }
    }

    fn await_next_batch(&self) -> BoxFuture<'_, ()> {
        let left = self.starting_batches.load(Ordering::Relaxed);
        self.starting_batches
            .store(left.saturating_sub(1), Ordering::Relaxed);
        Box::pin(tokio::time::sleep(match left {
            0 => BATCH_INTERVAL,
            _ => STARTING_BATCH_INTERVAL,
        }))
    }

    fn listed(&self, listing: Listing) {
        let known = {
            let mut state = self.state();
            state.remove_missing(&listing.entries, listing.revision);
            for entry in &listing.entries {
                state.insert_if_newer(entry);
            }
            state.advance_revision(listing.revision);
            state.as_listing()
        };
        self.notify_listed(&known);
    }

    fn complete(&self, asked: Instant) {
        for follower in &self.followers {
            follower.complete(asked);
        }
    }

    fn changed(&self, entries: Vec<Entry>) {
        let fresh: Vec<Entry> = {
            let mut state = self.state();
            let newest = entries.iter().map(|entry| entry.revision).max();
            state.advance_revision(newest.unwrap_or_default());
            let is_newer = |entry: &Entry| state.insert_if_newer(entry);
            entries.into_iter().filter(is_newer).collect()
        };
        if !fresh.is_empty() {
            self.notify_changed(&fresh);
        }
    }
}
