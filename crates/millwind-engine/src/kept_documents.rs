//! Documents of the store as they are kept for other nodes.

use std::collections::BTreeMap;

use log::warn;
use millwind_store::StoreRevision;
use millwind_wire::exchange::{DocumentList, StoredDocument, pack_documents};

/// Fewer documents travel as they are: compressing gains little.
const LEAST_PACKED: usize = 32;
/// All documents are packed anew once this part of them, in percent, changed since they
/// were packed: the rest of an answer is small then, and packing is rare.
const REPACK_PERCENT: usize = 10;

/// All documents as they were at one time, compressed once for all nodes that know none.
#[derive(Debug)]
struct Packed {
    /// Store revision of the newest of them.
    newest: StoreRevision,
    documents: DocumentList,
}

/// Documents by key, with the revision of their last change that matters; removed ones
/// too, so that other nodes hear of the removal.
#[derive(Debug, Default)]
pub struct KeptDocuments {
    by_key: BTreeMap<String, StoredDocument>,
    /// Store revision of the newest document.
    newest: StoreRevision,
    packed: Option<Packed>,
    /// What changed between two revisions, packed for those that know the first.
    difference: Option<Difference>,
}

/// What changed after one revision up to another, compressed once: nodes that heard the
/// same news before ask for the same ones next.
#[derive(Debug)]
struct Difference {
    after: StoreRevision,
    newest: StoreRevision,
    documents: DocumentList,
}

impl KeptDocuments {
    /// The document under `key`.
    pub fn get(&self, key: &str) -> Option<&StoredDocument> {
        self.by_key.get(key)
    }

    /// All documents.
    pub fn iter(&self) -> impl Iterator<Item = &StoredDocument> {
        self.by_key.values()
    }

    /// Keeps a document in place of what was kept under its key. One that is no newer than
    /// what was packed is not found among what changed since: it was heard late, or removed
    /// as of the newest revision.
    pub fn insert(&mut self, document: StoredDocument) {
        let revision = document.revision;
        self.packed.take_if(|packed| revision <= packed.newest);
        self.difference
            .take_if(|difference| revision <= difference.newest);
        self.newest = self.newest.max(document.revision);
        self.by_key.insert(document.key.clone(), document);
    }

    /// What changed after `revision`, for another node. In calm times nothing did, which
    /// is seen without a look at the documents: a relay answers some 45 such questions a
    /// second (36 nodes every 0.8 s) about some 5,000 documents.
    pub fn after(&mut self, revision: StoreRevision) -> DocumentList {
        if revision >= self.newest {
            return DocumentList::default();
        }
        // A node that knows nothing of this era lacks all: the store was restored.
        match revision.is_none() || revision.era < self.newest.era {
            true => self.all(),
            false => self.difference(revision),
        }
    }

    fn difference(&mut self, after: StoreRevision) -> DocumentList {
        let newest = self.newest;
        if let Some(held) = &self.difference
            && (held.after, held.newest) == (after, newest)
        {
            return held.documents.clone();
        }
        let changed = self.plain_after(after);
        if changed.len() < LEAST_PACKED {
            return DocumentList::new(None, changed);
        }
        let documents = packed_list(changed);
        self.difference = Some(Difference {
            after,
            newest,
            documents: documents.clone(),
        });
        documents
    }

    fn plain_after(&self, revision: StoreRevision) -> Vec<StoredDocument> {
        let newer = self
            .by_key
            .values()
            .filter(|document| document.revision > revision);
        newer.cloned().collect()
    }

    /// All documents. After a common start every node asks for them: 3,000 instances'
    /// records are compressed once, from 900 kB to some 150 kB.
    fn all(&mut self) -> DocumentList {
        let count = self.by_key.len();
        if count < LEAST_PACKED {
            return DocumentList::new(None, self.plain_after(StoreRevision::NONE));
        }
        let changed = match &self.packed {
            Some(packed) => self.plain_after(packed.newest),
            None => self.plain_after(StoreRevision::NONE),
        };
        if let Some(packed) = &self.packed
            && changed.len() * 100 < count * REPACK_PERCENT
        {
            return packed.documents.clone().followed_by(changed);
        }
        let documents = packed_list(self.plain_after(StoreRevision::NONE));
        self.packed = Some(Packed {
            newest: self.newest,
            documents: documents.clone(),
        });
        documents
    }
}

/// Documents compressed, or as they are where that fails.
fn packed_list(documents: Vec<StoredDocument>) -> DocumentList {
    let count = documents.len();
    match pack_documents(documents.clone()) {
        Ok(packed) => DocumentList::new(Some(packed), Vec::new()),
        Err(error) => {
            warn!(
                "event=documents_not_packed documents={count} error={:?}",
                error.to_string()
            );
            DocumentList::new(None, documents)
        }
    }
}
