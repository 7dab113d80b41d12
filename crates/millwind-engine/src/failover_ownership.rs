//! Failover ownership: which node may replace a group's leader, as one record per
//! group in the store.
//!
//! A node becomes the holder by a compare-and-swap of the record against its last
//! revision. The revision of that write is the fencing token, so the token increases
//! with each new holder and each promotion. The record also names the replica chosen
//! for promotion, so that no other node promotes a different one at the same time. A
//! holder keeps its token during a store outage; a delayed promotion by an earlier
//! holder is rejected because its token is lower.
//!
//! The token belongs to the process that wrote the record, which names it beside the
//! node. The next process of the node takes a token of its own, since orders of the former
//! one may still be carried out under the former token.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::{info, warn};
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::Term;
use millwind_core::registration::ProcessId;
use millwind_store::{
    Condition, DEFAULT_IDLE_TIMEOUT, Entry, Listing, Store, StoreError, StoreRevision, Swap, Write,
};
use millwind_wire::exchange::StoredDocument;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::directory::Directory;
use crate::resent_writes;
use crate::store_watch::Follower;

/// Time for which a node does not interfere with another node's promotion, in
/// milliseconds.
pub const PROMOTION_GRACE_MS: u64 = 2_500;

/// The stored failover ownership of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverRecord {
    /// Node that may replace the leader.
    pub holder: String,
    /// Process of the holder that wrote the record; `None` in records of older versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process: Option<ProcessId>,
    /// Replica that the holder chose last; `None` if it has only taken ownership.
    #[serde(default)]
    pub chosen: Option<InstanceName>,
    /// Highest closed term: answers from leaders of this term and earlier ones are no
    /// longer accepted. Zero where a promotion itself fences the old leader.
    #[serde(default)]
    pub closed_term: Term,
    /// The leader of the closed term, if known.
    #[serde(default)]
    pub retired: Option<InstanceName>,
    /// Whether a promotion of `chosen` may have been sent since `closed_term` was closed.
    #[serde(default)]
    pub is_ordered: bool,
    /// Whether a new process of the holder wrote the record, and only took a new token.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_resumed: bool,
}

/// Returns whether the field is left out of the serialized record.
fn is_false(value: &bool) -> bool {
    !value
}

impl FailoverRecord {
    /// Returns whether this record includes the closed terms of `other` and the promotion
    /// that `other` may have caused.
    fn covers(&self, other: &FailoverRecord) -> bool {
        let covers_promotion = self.is_ordered || !other.is_ordered;
        self.closed_term > other.closed_term || (self.closed_term == other.closed_term && covers_promotion)
    }
}

/// What a node writes when it takes failover ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// Ownership without a chosen replica.
    Hold,
    /// The record of an earlier process of this node, under a new token.
    Resume,
    /// The record that the store lost when it was restored from a backup.
    Restore,
    /// The replica to promote under the new token.
    Promote(InstanceName),
    /// The replica to promote after the old leader's term is closed; the promotion
    /// uses a later token.
    CloseTerm {
        /// The replica to promote.
        chosen: InstanceName,
        /// The term to close.
        term: Term,
        /// The leader of that term, if known.
        retired: Option<InstanceName>,
    },
}

impl Claim {
    /// Returns the record that `process` of `holder` writes after `known`, the latest known
    /// record. Closed terms stay closed.
    fn record(self, holder: &str, process: &ProcessId, known: Option<FailoverRecord>) -> FailoverRecord {
        if let (Claim::Restore | Claim::Resume, Some(known)) = (&self, &known) {
            return FailoverRecord {
                holder: holder.to_owned(),
                process: Some(process.clone()),
                is_resumed: self == Claim::Resume,
                ..known.clone()
            };
        }
        let (closed_term, retired) =
            known.map_or_else(Default::default, |known| (known.closed_term, known.retired));
        let record = FailoverRecord {
            holder: holder.to_owned(),
            process: Some(process.clone()),
            chosen: None,
            closed_term,
            retired,
            is_ordered: false,
            is_resumed: false,
        };
        match self {
            Claim::Hold | Claim::Resume | Claim::Restore => record,
            Claim::Promote(chosen) => FailoverRecord {
                chosen: Some(chosen),
                is_ordered: true,
                ..record
            },
            Claim::CloseTerm {
                chosen,
                term,
                retired,
            } => FailoverRecord {
                chosen: Some(chosen),
                closed_term: term.max(closed_term),
                retired,
                ..record
            },
        }
    }
}

/// A failover ownership record as this node last observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedOwnership {
    /// The record.
    pub record: FailoverRecord,
    /// The store revision of the record, from which the fencing token is derived.
    pub revision: StoreRevision,
    /// When this process first observed this revision. The first revision that a process
    /// observes may be of any age.
    pub observed_at: Instant,
}

/// Why failover ownership was not taken.
#[derive(Debug)]
pub enum FailoverOwnershipError {
    /// Another node changed the record first.
    Taken,
    /// The store refused the write or did not answer.
    Store(StoreError),
}

/// The failover ownership records of all groups, as stored and as lost by the store.
pub struct FailoverOwnership<S> {
    store: Arc<S>,
    prefix: String,
    node: String,
    process: ProcessId,
    directory: Arc<Directory>,
    observed: Mutex<HashMap<GroupName, ObservedOwnership>>,
    /// Records that the store lost when it was restored from a backup, or that another writer
    /// replaced, with the time at which this node detected the loss. They are written again
    /// before any node may rely on their absence.
    lost: Mutex<HashMap<GroupName, (FailoverRecord, Instant)>>,
    /// Revisions of records that cannot be read.
    unreadable: Mutex<HashMap<GroupName, StoreRevision>>,
    is_listed: AtomicBool,
}

impl<S> std::fmt::Debug for FailoverOwnership<S> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "FailoverOwnership({})", self.prefix)
    }
}

impl<S: Store + 'static> FailoverOwnership<S> {
    /// Creates a view of the records under `prefix`. Ownership is taken in the name of
    /// `node` by its process `process`, and closed terms are reported to `directory`.
    pub fn new(
        store: Arc<S>,
        prefix: String,
        node: String,
        process: ProcessId,
        directory: Arc<Directory>,
    ) -> Self {
        FailoverOwnership {
            store,
            prefix,
            node,
            process,
            directory,
            observed: Mutex::new(HashMap::new()),
            lost: Mutex::new(HashMap::new()),
            unreadable: Mutex::new(HashMap::new()),
            is_listed: AtomicBool::new(false),
        }
    }

    fn observed(&self) -> MutexGuard<'_, HashMap<GroupName, ObservedOwnership>> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lost(&self) -> MutexGuard<'_, HashMap<GroupName, (FailoverRecord, Instant)>> {
        self.lost.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unreadable(&self) -> MutexGuard<'_, HashMap<GroupName, StoreRevision>> {
        self.unreadable.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the groups whose records were lost, each with the time at which this node detected
    /// the loss.
    pub fn lost_records(&self) -> Vec<(GroupName, Instant)> {
        let lost = self.lost();
        lost.iter()
            .map(|(group, (_, since))| (group.clone(), *since))
            .collect()
    }

    /// Records that the store lost `record`, unless a known lost record covers it.
    fn record_loss(&self, group: &GroupName, record: &FailoverRecord) {
        let mut lost = self.lost();
        let is_known = lost.get(group).is_some_and(|(known, _)| known.covers(record));
        if !is_known {
            info!(
                "event=duty_lost group={group} closed_term={} ordered={} holder={}",
                record.closed_term, record.is_ordered, record.holder
            );
            lost.insert(group.clone(), (record.clone(), clock::now()));
        }
    }

    /// Records that the record of `revision` cannot be read, because another writer replaced it.
    /// The last readable one then counts as lost.
    fn record_unreadable(&self, group: GroupName, revision: StoreRevision) {
        match self.get(&group) {
            Some(held) if held.revision >= revision => return,
            Some(held) => self.record_loss(&group, &held.record),
            None => {}
        }
        self.unreadable().insert(group, revision);
    }

    /// Returns the revision of the record in the store, which this process may replace; `None` if
    /// the record cannot be read and may have closed a term that this node does not know.
    fn replaceable_revision(&self, group: &GroupName) -> Option<StoreRevision> {
        let held = self.get(group).map(|ownership| ownership.revision);
        let unreadable = self.unreadable().get(group).copied();
        if unreadable.is_some() && held.is_none() && !self.directory.is_fenced() {
            return None;
        }
        Some(held.max(unreadable).unwrap_or(StoreRevision::NONE))
    }

    /// Returns the latest known record of a group: the last observed record or, unless it
    /// covers the record that the store lost, the lost one.
    fn known_record(&self, group: &GroupName) -> Option<FailoverRecord> {
        let held = self.get(group).map(|ownership| ownership.record);
        let lost = self.lost().get(group).map(|(record, _)| record.clone());
        match (held, lost) {
            (Some(held), Some(lost)) if held.covers(&lost) => Some(held),
            (held, lost) => lost.or(held),
        }
    }

    /// Lists the current keys under `prefix` in the store; logs a failure.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let listing = self.store.list(prefix, DEFAULT_IDLE_TIMEOUT).await;
        listing.inspect_err(|error| {
            warn!(
                "event=store_not_listed prefix={prefix} error={:?}",
                error.to_string()
            );
        })
    }

    /// Returns whether this process should take a token of `group` in advance: no node is
    /// known to be the holder, or this node is by an earlier process.
    pub fn needs_claim(&self, group: &GroupName) -> bool {
        self.claim_for_token(group).is_some()
    }

    fn claim_for_token(&self, group: &GroupName) -> Option<Claim> {
        match self.get(group) {
            None => Some(Claim::Hold),
            Some(held) if held.record.holder != self.node || self.is_own(&held.record) => None,
            Some(_) => Some(Claim::Resume),
        }
    }

    /// Takes a token of `group` if [`Self::needs_claim`] says so, so that one is available
    /// during a store outage.
    pub async fn claim_in_advance(&self, group: &GroupName) {
        if let Some(claim) = self.claim_for_token(group) {
            // A conflict means that another node has become the holder.
            let _ = self.take(group, claim).await;
        }
    }

    /// Rewrites the lost record of a group, unless another node already has.
    pub async fn restore(&self, group: &GroupName) {
        if !self.lost().contains_key(group) {
            return;
        }
        if let Ok(token) = self.take(group, Claim::Restore).await {
            info!("event=duty_restored group={group} token={token}");
        }
    }

    /// Returns the last observed record of `group`.
    pub fn get(&self, group: &GroupName) -> Option<ObservedOwnership> {
        self.observed().get(group).cloned()
    }

    /// Returns the last observed record of `group` as a document for other nodes.
    pub fn document(&self, group: &GroupName) -> Option<StoredDocument> {
        let ownership = self.get(group)?;
        Some(StoredDocument {
            key: self.key(group),
            revision: ownership.revision,
            removed: 0,
            value: encode(&ownership.record),
        })
    }

    /// Returns whether all records have been read from the store at least once.
    pub fn is_listed(&self) -> bool {
        self.is_listed.load(Ordering::Relaxed)
    }

    /// Returns whether another node has recently chosen a replica, whose promotion should
    /// be given time to take effect.
    pub fn has_recent_promotion_by_other(&self, group: &GroupName) -> bool {
        self.get(group).is_some_and(|ownership| {
            ownership.record.holder != self.node
                && ownership.record.chosen.is_some()
                && !ownership.record.is_resumed
                && clock::now().millis_since(ownership.observed_at) < PROMOTION_GRACE_MS
        })
    }

    /// Returns the fencing token that this process may use without a store access, or `None`
    /// if it did not write the last observed record.
    pub fn held_token(&self, group: &GroupName) -> Option<u64> {
        let ownership = self.get(group)?;
        self.is_own(&ownership.record)
            .then_some(ownership.revision.fencing_token())
    }

    fn is_own(&self, record: &FailoverRecord) -> bool {
        record.process.as_ref() == Some(&self.process)
    }

    /// Returns whether the last observed holder is this node, by any of its processes.
    pub fn is_holder(&self, group: &GroupName) -> bool {
        self.get(group)
            .is_some_and(|ownership| ownership.record.holder == self.node)
    }

    /// Returns the store key of a group's record.
    pub fn key(&self, group: &GroupName) -> String {
        format!("{}{}", self.prefix, group)
    }

    /// Writes `claim` to the record of `group` and returns the new fencing token. Fails if
    /// another node changed the record first or the store did not confirm the write.
    pub async fn take(&self, group: &GroupName, claim: Claim) -> Result<u64, FailoverOwnershipError> {
        let key = self.key(group);
        let expected = self
            .replaceable_revision(group)
            .ok_or(FailoverOwnershipError::Taken)?;
        let record = claim.record(&self.node, &self.process, self.known_record(group));
        let write = Write {
            key: key.clone(),
            value: encode(&record),
        };
        let condition = Condition {
            key,
            revision: expected,
        };
        let swapped = resent_writes::swap(&*self.store, &[condition], &[write]).await;
        let revision = match swapped {
            Ok(Swap::Done { revision }) => revision,
            Ok(Swap::Conflict { current }) => {
                let Some(revision) = revision_of(&record, &current) else {
                    info!("event=duty_conflict group={group} expected={expected}");
                    self.apply_entries(current);
                    return Err(FailoverOwnershipError::Taken);
                };
                revision
            }
            Err(error) => {
                warn!("event=duty_unknown group={group} error={:?}", error.to_string());
                return Err(FailoverOwnershipError::Store(error));
            }
        };
        let token = revision.fencing_token();
        info!("event=duty_taken group={group} token={token} revision={revision} previous={expected}");
        self.observe(group.clone(), record, revision);
        Ok(token)
    }

    fn observe(&self, group: GroupName, record: FailoverRecord, revision: StoreRevision) {
        if record.closed_term > Term::default() {
            self.directory
                .close_term(&group, record.closed_term, record.retired.as_ref());
        }
        self.lost()
            .retain(|lost, (known, _)| *lost != group || !record.covers(known));
        let mut observed = self.observed();
        if let Some(held) = observed.get(&group) {
            if held.revision >= revision {
                return;
            }
            if held.revision.era < revision.era && !record.covers(&held.record) {
                self.record_loss(&group, &held.record);
            }
        }
        let ownership = ObservedOwnership {
            record,
            revision,
            observed_at: clock::now(),
        };
        observed.insert(group, ownership);
    }

    /// Moves records that the store no longer holds to the lost records. No node deletes
    /// records, so a missing record was lost when the store was restored; the next claim
    /// must then be conditional on the absence of the key.
    fn detect_lost_records(&self, listing: &Listing) {
        let keys = listing.entries.iter().map(|entry| entry.key.as_str());
        let present: HashSet<GroupName> = keys
            .filter_map(|key| key.strip_prefix(&self.prefix))
            .map(GroupName::from)
            .collect();
        self.unreadable().retain(|group, _| present.contains(group));
        let is_gone = |group: &GroupName, ownership: &ObservedOwnership| {
            ownership.revision.era < listing.revision.era && !present.contains(group)
        };
        let gone: Vec<_> = {
            let mut observed = self.observed();
            observed
                .extract_if(|group, ownership| is_gone(group, ownership))
                .collect()
        };
        for (group, ownership) in gone {
            self.record_loss(&group, &ownership.record);
        }
    }

    fn apply_entries(&self, entries: Vec<Entry>) {
        for entry in entries {
            let Some(group) = entry.key.strip_prefix(&self.prefix) else {
                continue;
            };
            let Some(value) = entry.value else { continue };
            match serde_json::from_slice(&value) {
                Ok(record) => self.observe(GroupName::from(group), record, entry.revision),
                Err(error) => {
                    warn!(
                        "event=duty_unreadable group={group} error={:?}",
                        error.to_string()
                    );
                    self.record_unreadable(GroupName::from(group), entry.revision);
                }
            }
        }
    }
}

/// Returns the revision of `record` if the store holds it, because an attempt to write it had
/// an effect without an answer.
fn revision_of(record: &FailoverRecord, current: &[Entry]) -> Option<StoreRevision> {
    let holds_record = |entry: &&Entry| {
        let value = entry.value.as_deref();
        let held = value.and_then(|value| serde_json::from_slice::<FailoverRecord>(value).ok());
        held.as_ref() == Some(record)
    };
    current.iter().find(holds_record).map(|entry| entry.revision)
}

/// Encodes a record for the store.
fn encode(record: &FailoverRecord) -> Vec<u8> {
    // Serialization cannot fail: the record has only strings, numbers and booleans.
    serde_json::to_vec(record).unwrap_or_default()
}

impl<S: Store + 'static> Follower for FailoverOwnership<S> {
    fn name(&self) -> &'static str {
        "duties"
    }

    fn listed(&self, listing: Listing) {
        self.detect_lost_records(&listing);
        self.apply_entries(listing.entries);
        self.is_listed.store(true, Ordering::Relaxed);
    }

    fn changed(&self, entries: Vec<Entry>) {
        self.apply_entries(entries);
    }

    fn complete(&self, asked: Instant) {
        self.directory.confirm_closed_terms(asked);
    }
}
