//! Access to the platform's key-value service.
//!
//! [`Store`] is what the node needs of it; [`etcd::EtcdStore`] speaks the
//! published etcd v3 gRPC interface. Another service is one more module.

pub mod etcd;
pub mod messages;
pub mod pacing;
pub mod service;

use std::time::Duration;

pub use millwind_wire::store_revision::StoreRevision;
use thiserror::Error;

/// One key with its value and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; none when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// Store revision of its last change; none when it never existed.
    pub revision: StoreRevision,
}

/// All keys under a prefix at one store revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Revision at which the listing was read.
    pub revision: StoreRevision,
    /// The keys.
    pub entries: Vec<Entry>,
}

/// What a watch reports: changes, or only that it is up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchReport {
    /// Every change up to this revision has been reported.
    pub revision: StoreRevision,
    /// Changed keys, in order; empty for a sign of life.
    pub changes: Vec<Entry>,
    /// When the store was asked for this sign of life; none for changes, which
    /// may have been under way for any time.
    pub asked: Option<std::time::Instant>,
}

/// A condition on a key's revision; none means that the key must not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// A new value for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// Its new value.
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
    /// A condition failed and nothing was written; the keys as they are now.
    Conflict {
        /// Current state of the conditions' keys.
        current: Vec<Entry>,
    },
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Refused before it could take effect, for example by the rate limit.
    #[error("store refused the call: {0}")]
    Refused(String),
    /// No answer in time, or the link broke: it may have taken effect.
    #[error("store gave no answer: {0}")]
    NoAnswer(String),
    /// A condition or a watch rests on what the store held before it was restored from an
    /// older copy: nothing was done; list again.
    #[error("the store was restored: era {known} is over, it is in {present}")]
    Restored {
        /// Era of what was known.
        known: u32,
        /// The store's era.
        present: u32,
    },
    /// The watch was ended by the store; list again.
    #[error("watch ended: {0}")]
    WatchEnded(String),
}

/// A running watch.
pub trait Watch: Send {
    /// The next report; asks for a sign of life when the watch is silent.
    fn next(&mut self) -> impl Future<Output = Result<WatchReport, StoreError>> + Send;
}

/// Silence after which a listing is given up where nothing else is known of the
/// store: a few answers of a slow one (0.4 s each, a hundred times the usual 4 ms).
pub const USUAL_SILENCE: Duration = Duration::from_millis(2_000);

/// What the node needs of the platform's store.
pub trait Store: Send + Sync {
    /// Type of a running watch.
    type Watch: Watch;

    /// Lists all keys under `prefix`, with everything that the store has
    /// acknowledged. Given up once the store has said nothing for `silence`; a long
    /// answer may take longer than that while it arrives.
    fn list(
        &self,
        prefix: &str,
        silence: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Lists all keys under `prefix` as some replica of the store held them a
    /// moment ago (a serializable read): it loads the store less than
    /// [`Store::list`]. Later changes are missing, and the revision of the
    /// listing is one up to which nothing is missing.
    fn list_serializable(
        &self,
        prefix: &str,
        silence: Duration,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send {
        self.list(prefix, silence)
    }

    /// Watches `prefix` for changes after `revision`.
    fn watch(
        &self,
        prefix: &str,
        revision: StoreRevision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;

    /// Writes all of `writes` if all `conditions` hold, else nothing.
    fn swap(
        &self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> impl Future<Output = Result<Swap, StoreError>> + Send;
}
