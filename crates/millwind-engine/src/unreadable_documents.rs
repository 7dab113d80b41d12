//! Tracks documents in the store that cannot be read, so that each failure is reported
//! only once.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum number of remembered documents, which bounds memory and log lines.
/// A document takes some 300 bytes.
const MAX_DOCUMENTS: usize = 256;
/// Maximum length of a reported key or reason, in characters. Both may quote text written
/// by others.
const MAX_TEXT_CHARS: usize = 120;

/// Documents that currently cannot be read.
#[derive(Debug, Default)]
pub struct UnreadableDocuments {
    /// Reasons by key of the record.
    documents: Mutex<BTreeMap<String, String>>,
    /// Reason for the configuration, kept apart so that many unreadable records cannot
    /// hide it.
    config: Mutex<Option<String>>,
}

impl UnreadableDocuments {
    fn documents(&self) -> MutexGuard<'_, BTreeMap<String, String>> {
        self.documents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn config(&self) -> MutexGuard<'_, Option<String>> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the configuration cannot be read. Returns whether the reason is new.
    pub fn record_unreadable_config(&self, reason: &str) -> bool {
        let reason = truncate_for_log(reason);
        let mut config = self.config();
        let is_new = config.as_ref() != Some(&reason);
        *config = Some(reason);
        is_new
    }

    /// Records that the configuration can be read.
    pub fn clear_unreadable_config(&self) {
        *self.config() = None;
    }

    /// Records that the document under `key` cannot be read. Returns whether the reason
    /// is new; writers repeat an invalid document with each heartbeat.
    pub fn note(&self, key: &str, reason: &str) -> bool {
        let mut documents = self.documents();
        let reason = truncate_for_log(reason);
        let is_full = documents.len() >= MAX_DOCUMENTS;
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

    /// Records that the document under `key` can be read or was removed.
    pub fn forget(&self, key: &str) {
        self.documents().remove(key);
    }

    /// Forgets the documents under `prefix` for which `is_listed` returns false.
    pub fn retain_listed(&self, prefix: &str, is_listed: impl Fn(&str) -> bool) {
        self.documents()
            .retain(|key, _| !key.starts_with(prefix) || is_listed(key));
    }

    /// Returns the number of remembered unreadable documents.
    pub fn count(&self) -> usize {
        self.documents().len() + usize::from(self.config().is_some())
    }
}

/// Truncates a text to the maximum length for a log line.
pub fn truncate_for_log(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
