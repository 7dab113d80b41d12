//! Documents in the store that cannot be read, so that each is told of once.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Documents that are remembered at most: who writes more of them gets no line for
/// each, and takes no more memory (some 300 bytes each).
const MOST_DOCUMENTS: usize = 256;
/// Characters of a key or reason that are told at most: both may quote what others
/// wrote.
const LONGEST_TEXT: usize = 120;

/// The documents that are passed over now, by key, with the reason.
#[derive(Debug, Default)]
pub struct PassedOver(Mutex<BTreeMap<String, String>>);

impl PassedOver {
    fn documents(&self) -> MutexGuard<'_, BTreeMap<String, String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The document under `key` cannot be read; true if that is news: its writer writes
    /// it again with each heartbeat.
    pub fn note(&self, key: &str, reason: &str) -> bool {
        let mut documents = self.documents();
        let reason = shortened(reason);
        let is_full = documents.len() >= MOST_DOCUMENTS;
        match documents.get_mut(key) {
            Some(known) if *known == reason => false,
            Some(known) => {
                *known = reason;
                true
            }
            None if is_full => false,
            None => {
                documents.insert(key.to_owned(), reason);
                true
            }
        }
    }

    /// The document under `key` can be read, or is gone.
    pub fn forget(&self, key: &str) {
        self.documents().remove(key);
    }

    /// Documents under `prefix` that are not in `present` are gone.
    pub fn keep_listed(&self, prefix: &str, present: impl Fn(&str) -> bool) {
        self.documents()
            .retain(|key, _| !key.starts_with(prefix) || present(key));
    }

    /// How many documents are passed over now, of those that are remembered.
    pub fn count(&self) -> usize {
        self.documents().len()
    }
}

/// As much of a text as one line of a log takes.
pub fn shortened(text: &str) -> String {
    text.chars().take(LONGEST_TEXT).collect()
}
