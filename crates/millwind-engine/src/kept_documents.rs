//! Documents of the store as they are kept for other nodes.

use std::collections::BTreeMap;

use log::warn;
use millwind_wire::compressed::Compressed;
use millwind_wire::exchange::{DocumentList, StoredDocument, pack_documents};

/// Fewer documents travel as they are: compressing gains little.
const LEAST_PACKED: usize = 64;
/// All documents are packed anew once this part of them, in percent, changed since they
/// were packed: the rest of an answer is small then, and packing is rare.
const REPACK_PERCENT: usize = 10;

/// All documents as they were at one time, compressed once for all nodes that know none.
#[derive(Debug)]
struct Packed {
    /// Store revision of the newest of them.
    newest: u64,
    documents: Compressed,
}

/// Documents by key, with the revision of their last change that matters; removed ones
/// too, so that other nodes hear of the removal.
#[derive(Debug, Default)]
pub struct KeptDocuments {
    by_key: BTreeMap<String, StoredDocument>,
    /// Store revision of the newest document.
    newest: u64,
    packed: Option<Packed>,
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

    /// Keeps a document in place of what was kept under its key.
    pub fn insert(&mut self, document: StoredDocument) {
        self.newest = self.newest.max(document.revision);
        self.by_key.insert(document.key.clone(), document);
    }

    /// What changed after `revision`, for another node. In calm times nothing did, which
    /// is seen without a look at the documents: a relay answers some 45 such questions a
    /// second (36 nodes every 0.8 s) about some 5,000 documents.
    pub fn after(&mut self, revision: u64) -> DocumentList {
        if revision >= self.newest {
            return DocumentList::default();
        }
        match revision {
            0 => self.all(),
            _ => DocumentList::new(None, self.plain_after(revision)),
        }
    }

    fn plain_after(&self, revision: u64) -> Vec<StoredDocument> {
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
            return DocumentList::new(None, self.plain_after(0));
        }
        let changed = match &self.packed {
            Some(packed) => self.plain_after(packed.newest),
            None => self.plain_after(0),
        };
        if let Some(packed) = &self.packed
            && changed.len() * 100 < count * REPACK_PERCENT
        {
            return DocumentList::new(Some(packed.documents.clone()), changed);
        }
        match pack_documents(self.plain_after(0)) {
            Ok(documents) => {
                self.packed = Some(Packed {
                    newest: self.newest,
                    documents: documents.clone(),
                });
                DocumentList::new(Some(documents), Vec::new())
            }
            Err(error) => {
                warn!(
                    "event=documents_not_packed documents={count} error={:?}",
                    error.to_string()
                );
                DocumentList::new(None, self.plain_after(0))
            }
        }
    }
}
