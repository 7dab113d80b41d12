//! A cache of store documents for other nodes, with compressed answers.

use std::collections::BTreeMap;

use log::warn;
use millwind_store::StoreRevision;
use millwind_wire::exchange::{DocumentList, StoredDocument, pack_documents};

/// Minimum number of documents that are compressed; smaller sets are sent as they are.
const MIN_COMPRESSED: usize = 32;
/// Share of documents, in percent, that must change before the complete set is compressed
/// again. Until then, answers consist of the last compressed set and the later changes.
const RECOMPRESS_PERCENT: usize = 10;

/// A compressed set of all documents at one revision, for nodes that have none.
#[derive(Debug)]
struct CompressedSet {
    /// Revision of the newest document in the set.
    newest: StoreRevision,
    documents: DocumentList,
}

/// The cached documents by key, each with the revision of its last relevant change. Removed
/// documents stay as markers, so that other nodes learn of the removal.
#[derive(Debug, Default)]
pub struct DocumentCache {
    by_key: BTreeMap<String, StoredDocument>,
    /// Revision of the newest document.
    newest: StoreRevision,
    complete_set: Option<CompressedSet>,
    /// The last compressed difference between two revisions.
    difference: Option<Difference>,
}

/// The compressed changes from one revision to another. Nodes usually request the same
/// difference, because they are up to date with the same earlier revision.
#[derive(Debug)]
struct Difference {
    after: StoreRevision,
    newest: StoreRevision,
    documents: DocumentList,
}

impl DocumentCache {
    /// Returns the document under `key`.
    pub fn get(&self, key: &str) -> Option<&StoredDocument> {
        self.by_key.get(key)
    }

    /// Iterates over all documents.
    pub fn iter(&self) -> impl Iterator<Item = &StoredDocument> {
        self.by_key.values()
    }

    /// Inserts or replaces the document under its key. Discards a compressed set whose
    /// newest revision is not older than the document, since the set lacks the document and
    /// later changes would not include it either.
    pub fn insert(&mut self, document: StoredDocument) {
        let revision = document.revision;
        self.complete_set.take_if(|set| revision <= set.newest);
        self.difference
            .take_if(|difference| revision <= difference.newest);
        self.newest = self.newest.max(document.revision);
        self.by_key.insert(document.key.clone(), document);
    }

    /// Returns the documents that changed after `revision`, for another node. Returns early
    /// in the common case that nothing changed.
    pub fn after(&mut self, revision: StoreRevision) -> DocumentList {
        if revision >= self.newest {
            return DocumentList::default();
        }
        // An older era precedes a restore of the store, so that node needs all documents.
        match revision.is_none() || revision.era < self.newest.era {
            true => self.all(),
            false => self.difference(revision),
        }
    }

    fn difference(&mut self, after: StoreRevision) -> DocumentList {
        let newest = self.newest;
        if let Some(cached) = &self.difference
            && (cached.after, cached.newest) == (after, newest)
        {
            return cached.documents.clone();
        }
        let changed = self.changed_after(after);
        if changed.len() < MIN_COMPRESSED {
            return DocumentList::new(None, changed);
        }
        let documents = compressed_list(changed);
        self.difference = Some(Difference {
            after,
            newest,
            documents: documents.clone(),
        });
        documents
    }

    fn changed_after(&self, revision: StoreRevision) -> Vec<StoredDocument> {
        let newer = self
            .by_key
            .values()
            .filter(|document| document.revision > revision);
        newer.cloned().collect()
    }

    /// Returns all documents. The compressed set is shared between requests, since all
    /// nodes need it when they start together.
    fn all(&mut self) -> DocumentList {
        let count = self.by_key.len();
        if count < MIN_COMPRESSED {
            return DocumentList::new(None, self.changed_after(StoreRevision::NONE));
        }
        let changed = match &self.complete_set {
            Some(set) => self.changed_after(set.newest),
            None => self.changed_after(StoreRevision::NONE),
        };
        if let Some(set) = &self.complete_set
            && changed.len() * 100 < count * RECOMPRESS_PERCENT
        {
            return set.documents.clone().append_plain(changed);
        }
        let documents = compressed_list(self.changed_after(StoreRevision::NONE));
        self.complete_set = Some(CompressedSet {
            newest: self.newest,
            documents: documents.clone(),
        });
        documents
    }
}

/// Returns the documents as a compressed list, or uncompressed if compression fails.
fn compressed_list(documents: Vec<StoredDocument>) -> DocumentList {
    let count = documents.len();
    match pack_documents(documents.clone()) {
        Ok(compressed) => DocumentList::new(Some(compressed), Vec::new()),
        Err(error) => {
            warn!(
                "event=documents_not_packed documents={count} error={:?}",
                error.to_string()
            );
            DocumentList::new(None, documents)
        }
    }
}
