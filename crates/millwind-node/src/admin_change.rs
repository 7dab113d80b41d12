//! Changes of the configuration: checked against the store's own content, then
//! written by compare-and-swap, with an id that recognises a lost answer.

use std::time::Duration;

use millwind_core::config_state::{ConfigState, DocumentError};
use millwind_store::pacing::Backoff;
use millwind_store::{Condition, DEFAULT_IDLE_TIMEOUT, Store, StoreError, StoreRevision, Swap, Write};
use millwind_wire::control::WireDocument;
use thiserror::Error;

use crate::config_watch::{KeySpace, StoredDocument};

/// A change is tried for this long before its outcome is called unknown.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);

/// A change an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the document.
    pub key: String,
    /// Names the change; asking again with the same id changes nothing twice.
    pub change_id: String,
    /// Revision the operator saw; none to change whatever is there now.
    pub expected_revision: Option<u64>,
    /// New TOML text; none to delete.
    pub body: Option<String>,
}

/// Why a change was not stored.
#[derive(Debug, Error)]
pub enum ChangeError {
    /// The document is not valid.
    #[error("{0}")]
    Invalid(#[from] DocumentError),
    /// There is nothing of this name to delete.
    #[error("{0}: there is no such document")]
    NotFound(String),
    /// Somebody else changed the document first.
    #[error("document is at revision {current_revision}, not the one you saw")]
    Conflict {
        /// Revision stored now.
        current_revision: u64,
        /// Text stored now.
        current: String,
        /// Text asked for.
        wanted: String,
    },
    /// The store cannot be reached; nothing was changed.
    #[error("platform unavailable, nothing was changed: {0}")]
    Unavailable(String),
    /// The store gave no answer; ask again with the same change id.
    #[error("platform gave no answer; ask again with change id {change_id}: {detail}")]
    Unknown {
        /// Id of the change.
        change_id: String,
        /// Why.
        detail: String,
    },
}

/// Stores a change; returns the revision that must come into force.
pub async fn change<S: Store>(store: &S, keys: &KeySpace, change: &Change) -> Result<u64, ChangeError> {
    let give_up = tokio::time::Instant::now() + CHANGE_LIMIT;
    let mut backoff = Backoff::default();
    let mut expected = change.expected_revision;
    let mut may_have_run = false;
    loop {
        let error = match try_change(store, keys, change, &mut expected).await {
            Ok(Step::Stored(revision)) => return Ok(revision),
            Ok(Step::Retry) => continue,
            Err(TryError::Final(error)) => return Err(error),
            Err(TryError::Store(error, ran)) => {
                may_have_run |= ran;
                error
            }
        };
        let delay = backoff.next_delay();
        if tokio::time::Instant::now() + delay > give_up {
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

enum Step {
    Stored(u64),
    Retry,
}

enum TryError {
    Final(ChangeError),
    /// True when the failed call may have taken effect.
    Store(StoreError, bool),
}

async fn try_change<S: Store>(
    store: &S,
    keys: &KeySpace,
    change: &Change,
    expected: &mut Option<u64>,
) -> Result<Step, TryError> {
    let listing = store
        .list(keys.prefix(), DEFAULT_IDLE_TIMEOUT)
        .await
        .map_err(|error| TryError::Store(error, false))?;
    let documents: Vec<WireDocument> = listing
        .entries
        .iter()
        .filter_map(|entry| keys.parse(entry))
        .collect();
    let current = documents.iter().find(|document| document.key == change.key);
    // An earlier try took effect and its answer was lost.
    if let Some(stored) = current.filter(|stored| stored.change_id == change.change_id) {
        return Ok(Step::Stored(stored.revision));
    }
    let current_revision = current.map_or(0, |document| document.revision);
    let seen = *expected.get_or_insert(current_revision);
    if seen != current_revision {
        return Err(TryError::Final(ChangeError::Conflict {
            current_revision,
            current: current.map(|document| document.body.clone()).unwrap_or_default(),
            wanted: change.body.clone().unwrap_or_default(),
        }));
    }
    let exists = current.is_some_and(|document| document.deleted == 0);
    if change.body.is_none() && !exists {
        return Err(TryError::Final(ChangeError::NotFound(change.key.clone())));
    }
    check(&documents, listing.revision.number, change).map_err(|error| TryError::Final(error.into()))?;
    let head = listing
        .entries
        .iter()
        .find(|entry| entry.key == keys.change_guard());
    let conditions = [
        Condition {
            key: keys.document(&change.key),
            revision: of_etcd(seen),
        },
        Condition {
            key: keys.change_guard(),
            revision: head.map_or(StoreRevision::NONE, |entry| entry.revision),
        },
    ];
    let swapped = store.swap(&conditions, &writes(keys, change)).await;
    match swapped {
        Ok(Swap::Done { revision }) => Ok(Step::Stored(revision.number)),
        Ok(Swap::Conflict { .. }) => Ok(Step::Retry),
        Err(error) => {
            let may_have_run = matches!(error, StoreError::NoAnswer(_));
            Err(TryError::Store(error, may_have_run))
        }
    }
}

/// A revision of etcd, which does not tell of restores.
fn of_etcd(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

fn check(documents: &[WireDocument], revision: u64, change: &Change) -> Result<(), DocumentError> {
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
            // A plain struct of texts always serializes.
            value: serde_json::to_vec(&stored).unwrap_or_default(),
        },
        Write {
            key: keys.change_guard(),
            value: change.change_id.clone().into_bytes(),
        },
    ]
}
