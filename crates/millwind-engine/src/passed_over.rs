//! Documents in the store that cannot be read, so that each is told of once.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Documents that are remembered at most: who writes more of them gets no line for
/// each, and takes no more memory (some 300 bytes each).
const MOST_DOCUMENTS: usize = 256;
/// Characters of a key or reason that are told at most: both may quote what others
/// wrote.
const LONGEST_TEXT: usize = 120;

/// The documents that are passed over now.
#[derive(Debug, Default)]
pub struct PassedOver {
    /// Records by key, with the reason.
    documents: Mutex<BTreeMap<String, String>>,
    /// Why the configuration is: apart, so that no number of records hides it.
    config: Mutex<Option<String>>,
}

impl PassedOver {
    fn documents(&self) -> MutexGuard<'_, BTreeMap<String, String>> {
        self.documents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn config(&self) -> MutexGuard<'_, Option<String>> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration cannot be read; true if that is news.
    pub fn note_config(&self, reason: &str) -> bool {
        let reason = shortened(reason);
        let mut config = self.config();
        let is_news = config.as_ref() != Some(&reason);
        *config = Some(reason);
        is_news
    }

    /// The configuration can be read.
    pub fn forget_config(&self) {
        *self.config() = None;
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
        self.documents().len() + usize::from(self.config().is_some())
    }
}

/// As much of a text as one line of a log takes.
pub fn shortened(text: &str) -> String {
    text.chars().take(LONGEST_TEXT).collect()
}
