//! Access to a key-value store that holds configuration and cluster state.
//!
//! [`Store`] is the interface that a node uses. [`etcd::EtcdStore`] implements it with
//! the etcd v3 gRPC API.

pub mod etcd;
pub mod messages;
pub mod pacing;
pub mod service;

use std::time::Duration;

pub use millwind_wire::store_revision::StoreRevision;
use thiserror::Error;

/// A key with its value and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; none when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Store revision of the last change; [`StoreRevision::NONE`] if the key never existed.
    pub revision: StoreRevision,
}

/// The keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Every change up to this revision is included in the listing.
    pub revision: StoreRevision,
    /// The keys with their values.
    pub entries: Vec<Entry>,
}

/// A report of a watch: changes, or confirmation that there are none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchReport {
    /// Every change up to this revision has been reported.
    pub revision: StoreRevision,
    /// Changed keys, in order; empty for a progress report.
    pub changes: Vec<Entry>,
    /// When this progress report was requested; none for changes, which may have been
    /// delayed for any time.
    pub asked: Option<std::time::Instant>,
}

/// A condition on a key's revision. [`StoreRevision::NONE`] requires that the key does not
/// exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Required revision of the key's last change.
    pub revision: StoreRevision,
}

/// A new value for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Vec<u8>,
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// All conditions held and all writes took effect, at this revision.
    Done {
        /// Store revision of the writes.
        revision: StoreRevision,
    },
    /// A condition failed and nothing was written.
    Conflict {
        /// Current entries of the keys in the conditions.
        current: Vec<Entry>,
    },
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The call was rejected and had no effect, for example by the rate limit.
    #[error("store refused the call: {0}")]
    Refused(String),
    /// The call timed out or the connection failed; the call may have taken effect.
    #[error("store gave no answer: {0}")]
    NoAnswer(String),
    /// The store was restored from a backup, so revisions in a condition, a listing or a
    /// watch are no longer valid. The call had no effect; the caller must list again.
    #[error("the store was restored from a backup: expected era {known}, found {present}")]
    Restored {
        /// Era of the revisions that the caller used.
        known: u32,
        /// Current era of the store.
        present: u32,
    },
    /// The watch ended; the caller must list again.
    #[error("watch ended: {0}")]
    WatchEnded(String),
}

/// A running watch.
pub trait Watch: Send {
    /// Waits for the next report. Requests a progress report when there are no changes.
    fn next(&mut self) -> impl Future<Output = Result<WatchReport, StoreError>> + Send;

    /// Limits how long the following calls of [`Watch::next`] wait for a change before they
    /// request a progress report. This bounds the time for which the loss of the watch can
    /// go unnoticed, since a connection may go silent without an error.
    fn limit_wait(&mut self, wait: Duration);
}

/// Default idle timeout of a listing.
/// A few answers of a slow store arrive within it (0.4 s each, a hundred times the usual 4 ms).
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A key-value store with revisions, watches and conditional writes.
pub trait Store: Send + Sync {
    /// Type of a running watch.
    type Watch: Watch;

    /// Lists all keys under `prefix`, including every write that the store has
    /// acknowledged. Fails once nothing has arrived from the store for `idle_timeout`; a large
    /// response may take longer in total.
    fn list(
        &self,
        prefix: &str,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Lists all keys under `prefix` from any replica of the store (a serializable read).
    /// This costs less than [`Store::list`], but recent changes may be missing. Every
    /// change up to the revision of the listing is included.
    fn list_serializable(
        &self,
        prefix: &str,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send {
        self.list(prefix, idle_timeout)
    }

    /// Starts a watch for changes under `prefix` after `revision`.
    fn watch(
        &self,
        prefix: &str,
        revision: StoreRevision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;

    /// Atomically applies all `writes` if all `conditions` hold, else none of them.
    fn swap(
        &self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> impl Future<Output = Result<Swap, StoreError>> + Send;
}
