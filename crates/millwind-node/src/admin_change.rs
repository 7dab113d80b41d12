//! Stores configuration changes. Each change is validated against the documents in
//! the store and written by compare-and-swap. Its change id makes retries after a
//! lost answer idempotent.

use std::time::Duration;

use millwind_core::config_state::{ConfigState, DocumentError};
use millwind_store::pacing::Backoff;
use millwind_store::{Condition, DEFAULT_IDLE_TIMEOUT, Store, StoreError, StoreRevision, Swap, Write};
use millwind_wire::control::WireDocument;
use thiserror::Error;

use crate::config_watch::{KeySpace, StoredDocument};

/// Time after which failed store calls are no longer retried.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);

/// A requested change of one document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the document.
    pub key: String,
    /// Identifies the change; repeated requests with one id are applied once.
    pub change_id: String,
    /// Revision that the change is based on; none for the revision stored now.
    pub expected_revision: Option<u64>,
    /// New content as TOML; none to delete the document.
    pub body: Option<String>,
}

/// The reason why a change was not stored.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The document is invalid or conflicts with other documents.
    #[error("{0}")]
    Invalid(#[from] DocumentError),
    /// The document to delete does not exist.
    #[error("{0}: there is no such document")]
    NotFound(String),
    /// The document has changed since the expected revision.
    #[error("document is at revision {current_revision}, not the one you saw")]
    Conflict {
        /// Current revision of the document.
        current_revision: u64,
        /// Current content of the document.
        current: String,
        /// Rejected content.
        wanted: String,
    },
    /// The store is unavailable; the change was not stored.
    #[error("platform unavailable, nothing was changed: {0}")]
    Unavailable(String),
    /// The store did not answer; the change may have been stored. A retry with the
    /// same change id is safe.
    #[error(
        "platform did not answer, the change may have been stored; retry with change id {change_id}: {detail}"
    )]
    Unknown {
        /// Id of the change.
        change_id: String,
        /// Error of the store.
        detail: String,
    },
}

/// Stores a change and returns the revision that it created. Failed store
/// calls are retried until `CHANGE_LIMIT` has passed; a lost compare-and-swap
/// race is retried at once.
pub async fn store_change<S: Store>(store: &S, keys: &KeySpace, change: &Change) -> Result<u64, ChangeError> {
    let deadline = tokio::time::Instant::now() + CHANGE_LIMIT;
    let mut backoff = Backoff::default();
    let mut expected = change.expected_revision;
    let mut may_have_run = false;
    loop {
        let error = match attempt_change(store, keys, change, &mut expected).await {
            Ok(Attempt::Stored(revision)) => return Ok(revision),
            Ok(Attempt::Retry) => continue,
            Err(AttemptError::Final(error)) => return Err(error),
            Err(AttemptError::Store(error, swap_may_have_run)) => {
                may_have_run |= swap_may_have_run;
                error
            }
        };
        let delay = backoff.next_delay();
        if tokio::time::Instant::now() + delay > deadline {
            let detail = error.to_string();
            return Err(if may_have_run {
                ChangeError::Unknown {
                    change_id: change.change_id.clone(),
                    detail,
                }
            } else {
                ChangeError::Unavailable(detail)
            });
        }
        tokio::time::sleep(delay).await;
    }
}

/// The result of an attempt to store a change.
enum Attempt {
    Stored(u64),
    /// Another write changed the store since it was read.
    Retry,
}

/// The reason why an attempt failed.
enum AttemptError {
    /// The change is rejected.
    Final(ChangeError),
    /// The store failed; the flag tells whether the write may have taken effect.
    Store(StoreError, bool),
}

async fn attempt_change<S: Store>(
    store: &S,
    keys: &KeySpace,
    change: &Change,
    expected: &mut Option<u64>,
) -> Result<Attempt, AttemptError> {
    let listing = store
        .list(keys.prefix(), DEFAULT_IDLE_TIMEOUT)
        .await
        .map_err(|error| AttemptError::Store(error, false))?;
    let documents: Vec<WireDocument> = listing
        .entries
        .iter()
        .filter_map(|entry| keys.parse(entry))
        .collect();
    let current = documents.iter().find(|document| document.key == change.key);
    // An earlier attempt was stored and its answer was lost.
    if let Some(stored) = current.filter(|stored| stored.change_id == change.change_id) {
        return Ok(Attempt::Stored(stored.revision));
    }
    let current_revision = current.map_or(0, |document| document.revision);
    let seen = *expected.get_or_insert(current_revision);
    if seen != current_revision {
        return Err(AttemptError::Final(ChangeError::Conflict {
            current_revision,
            current: current.map(|document| document.body.clone()).unwrap_or_default(),
            wanted: change.body.clone().unwrap_or_default(),
        }));
    }
    let exists = current.is_some_and(|document| document.deleted == 0);
    if change.body.is_none() && !exists {
        return Err(AttemptError::Final(ChangeError::NotFound(change.key.clone())));
    }
    validate(&documents, listing.revision.number, change)
        .map_err(|error| AttemptError::Final(error.into()))?;
    let head = listing
        .entries
        .iter()
        .find(|entry| entry.key == keys.change_guard());
    let conditions = [
        Condition {
            key: keys.document(&change.key),
            revision: etcd_revision(seen),
        },
        Condition {
            key: keys.change_guard(),
            revision: head.map_or(StoreRevision::NONE, |entry| entry.revision),
        },
    ];
    let swapped = store.swap(&conditions, &writes(keys, change)).await;
    match swapped {
        Ok(Swap::Done { revision }) => Ok(Attempt::Stored(revision.number)),
        Ok(Swap::Conflict { .. }) => Ok(Attempt::Retry),
        Err(error) => {
            let may_have_run = matches!(error, StoreError::NoAnswer(_));
            Err(AttemptError::Store(error, may_have_run))
        }
    }
}

/// Converts an etcd revision. etcd does not report restores, so their number is
/// zero.
fn etcd_revision(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// Validates the change together with all documents in the store.
fn validate(documents: &[WireDocument], revision: u64, change: &Change) -> Result<(), DocumentError> {
    let mut state = ConfigState::default();
    state.apply_snapshot(revision, documents);
    state.check_change(&WireDocument {
        key: change.key.clone(),
        revision: 0,
        deleted: u8::from(change.body.is_none()),
        change_id: change.change_id.clone(),
        body: change.body.clone().unwrap_or_default(),
    })
}

fn writes(keys: &KeySpace, change: &Change) -> [Write; 2] {
    let stored = StoredDocument {
        change_id: change.change_id.clone(),
        deleted: change.body.is_none(),
        body: change.body.clone().unwrap_or_default(),
    };
    [
        Write {
            key: keys.document(&change.key),
            // Serializing a struct of strings and booleans cannot fail.
            value: serde_json::to_vec(&stored).unwrap_or_default(),
        },
        Write {
            key: keys.change_guard(),
            value: change.change_id.clone().into_bytes(),
        },
    ]
}
