//! The duty to replace a group's leader: one record per group in the store.
//!
//! Whoever writes the record under the condition of its last revision holds
//! the duty, and the revision of that write is the fencing token: it rises
//! with each holder and with each order. The record also tells everyone which
//! replica was chosen, so that nobody else orders another one meanwhile. A
//! holder keeps its token while the store is out; an order of an earlier
//! holder that is carried out late is turned away by its token.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::{info, warn};
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::Term;
use millwind_store::{
    Condition, Entry, Listing, Store, StoreError, StoreRevision, Swap, USUAL_SILENCE, Write,
};
use millwind_wire::exchange::StoredDocument;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::directory::Directory;
use crate::store_watch::Follower;

/// Other nodes' orders are left alone for this long, in milliseconds.
pub const ORDER_GRACE_MS: u64 = 2_500;

/// The record of a group's duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Node that holds the duty.
    pub holder: String,
    /// Replica it chose last; none when it only took the duty.
    #[serde(default)]
    pub chosen: Option<InstanceName>,
    /// Terms up to this one are closed: nobody counts on their leaders. Zero
    /// where promotions fence.
    #[serde(default)]
    pub closed_term: Term,
    /// The leader of the closed term, where it was known.
    #[serde(default)]
    pub retired: Option<InstanceName>,
    /// An order for `chosen` may have been sent in the closed term.
    #[serde(default)]
    pub is_ordered: bool,
}

impl DutyRecord {
    /// Whether this record holds all that may follow from `other`: closed terms, and an
    /// order that may have been sent.
    fn covers(&self, other: &DutyRecord) -> bool {
        let has_order = self.is_ordered || !other.is_ordered;
        self.closed_term > other.closed_term || (self.closed_term == other.closed_term && has_order)
    }
}

/// What a node writes when it takes a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// Only the duty.
    Hold,
    /// What the store lost when it was restored.
    Restore,
    /// The replica that will be ordered to take over, under the new token.
    Order(InstanceName),
    /// The same, where the old leader's term must be closed first; the order
    /// follows under a later token.
    Close {
        /// The replica that will be ordered to take over.
        chosen: InstanceName,
        /// The term to close.
        term: Term,
        /// Its leader, where it is known.
        retired: Option<InstanceName>,
    },
}

impl Claim {
    /// The record that `holder` writes in place of `held`: closed terms stay
    /// closed.
    fn record(self, holder: &str, held: Option<DutyRecord>) -> DutyRecord {
        if let (Claim::Restore, Some(held)) = (&self, &held) {
            return DutyRecord {
                holder: holder.to_owned(),
                ..held.clone()
            };
        }
        let (closed_term, retired) =
            held.map_or_else(Default::default, |held| (held.closed_term, held.retired));
        let record = DutyRecord {
            holder: holder.to_owned(),
            chosen: None,
            closed_term,
            retired,
            is_ordered: false,
        };
        match self {
            Claim::Hold | Claim::Restore => record,
            Claim::Order(chosen) => DutyRecord {
                chosen: Some(chosen),
                is_ordered: true,
                ..record
            },
            Claim::Close {
                chosen,
                term,
                retired,
            } => DutyRecord {
                chosen: Some(chosen),
                closed_term: term.max(closed_term),
                retired,
                ..record
            },
        }
    }
}

/// A duty record as this node last saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenDuty {
    /// The record.
    pub record: DutyRecord,
    /// Its revision, which the fencing token follows from.
    pub revision: StoreRevision,
    /// When this node first saw it.
    pub seen: Instant,
}

/// Why the duty was not taken.
#[derive(Debug)]
pub enum DutyError {
    /// Another node wrote the record meanwhile.
    Taken,
    /// The store refused or gave no answer.
    Store(StoreError),
}

/// The duty records of all groups.
pub struct Duties<S> {
    store: Arc<S>,
    prefix: String,
    node: String,
    directory: Arc<Directory>,
    seen: Mutex<HashMap<GroupName, SeenDuty>>,
    /// Records that the store lost when it was restored, with the time at which that was
    /// seen: they are written again before anybody may rest on their absence.
    lost: Mutex<HashMap<GroupName, (DutyRecord, Instant)>>,
    is_listed: AtomicBool,
}

impl<S> std::fmt::Debug for Duties<S> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Duties({})", self.prefix)
    }
}

impl<S: Store + 'static> Duties<S> {
    /// Duties kept under `prefix`, taken in the name of `node`; closed terms are
    /// told to `directory`.
    pub fn new(store: Arc<S>, prefix: String, node: String, directory: Arc<Directory>) -> Self {
        Duties {
            store,
            prefix,
            node,
            directory,
            seen: Mutex::new(HashMap::new()),
            lost: Mutex::new(HashMap::new()),
            is_listed: AtomicBool::new(false),
        }
    }

    fn seen(&self) -> MutexGuard<'_, HashMap<GroupName, SeenDuty>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lost(&self) -> MutexGuard<'_, HashMap<GroupName, (DutyRecord, Instant)>> {
        self.lost.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Groups whose records the store lost when it was restored, and since when that is
    /// known.
    pub fn lost_records(&self) -> Vec<(GroupName, Instant)> {
        let lost = self.lost();
        lost.iter()
            .map(|(group, (_, since))| (group.clone(), *since))
            .collect()
    }

    /// Takes in that the store no longer holds `record`, whatever it holds instead.
    fn note_lost(&self, group: &GroupName, record: &DutyRecord) {
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

    /// What is known of a group's duty, in the store or lost with it.
    fn known_record(&self, group: &GroupName) -> Option<DutyRecord> {
        let held = self.get(group).map(|duty| duty.record);
        let lost = self.lost().get(group).map(|(record, _)| record.clone());
        match (held, lost) {
            (Some(held), Some(lost)) if held.covers(&lost) => Some(held),
            (held, lost) => lost.or(held),
        }
    }

    /// Lists the keys under `prefix` in the store, as of now.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let listing = self.store.list(prefix, USUAL_SILENCE).await;
        listing.inspect_err(|error| {
            warn!(
                "event=store_not_listed prefix={prefix} error={:?}",
                error.to_string()
            );
        })
    }

    /// Takes the duty for `group` unless somebody holds it, so that there is a
    /// token to act with while the store is out.
    pub async fn hold_ahead(&self, group: &GroupName) {
        if self.get(group).is_none() {
            // Whoever writes first holds it; the others see the record.
            let _ = self.take(group, Claim::Hold).await;
        }
    }

    /// Writes again what the store lost of a group's duty, unless somebody has.
    pub async fn restore(&self, group: &GroupName) {
        if !self.lost().contains_key(group) {
            return;
        }
        if let Ok(token) = self.take(group, Claim::Restore).await {
            info!("event=duty_restored group={group} token={token}");
        }
    }

    /// The record of `group` as last seen.
    pub fn get(&self, group: &GroupName) -> Option<SeenDuty> {
        self.seen().get(group).cloned()
    }

    /// The record of `group` as the store holds it, for other nodes.
    pub fn document(&self, group: &GroupName) -> Option<StoredDocument> {
        let duty = self.get(group)?;
        Some(StoredDocument {
            key: self.key(group),
            revision: duty.revision,
            removed: 0,
            value: encode(&duty.record),
        })
    }

    /// Whether the store has told of all records once.
    pub fn is_listed(&self) -> bool {
        self.is_listed.load(Ordering::Relaxed)
    }

    /// Whether another node's recent order should be left to take effect.
    pub fn is_ordered_by_other(&self, group: &GroupName) -> bool {
        self.get(group).is_some_and(|duty| {
            duty.record.holder != self.node
                && duty.record.chosen.is_some()
                && clock::now().millis_since(duty.seen) < ORDER_GRACE_MS
        })
    }

    /// The token this node may use without asking the store, if it holds the
    /// duty as far as it knows.
    pub fn held_token(&self, group: &GroupName) -> Option<u64> {
        let duty = self.get(group)?;
        (duty.record.holder == self.node).then_some(duty.revision.fencing_token())
    }

    /// The key of a group's record.
    pub fn key(&self, group: &GroupName) -> String {
        format!("{}{}", self.prefix, group)
    }

    /// Writes the record with a claim; returns the new fencing token.
    pub async fn take(&self, group: &GroupName, claim: Claim) -> Result<u64, DutyError> {
        let key = self.key(group);
        let held = self.get(group);
        let known = held.as_ref().map_or(StoreRevision::NONE, |duty| duty.revision);
        let record = claim.record(&self.node, self.known_record(group));
        let write = Write {
            key: key.clone(),
            value: encode(&record),
        };
        let condition = Condition { key, revision: known };
        match self.store.swap(&[condition], &[write]).await {
            Ok(Swap::Done { revision }) => {
                let token = revision.fencing_token();
                info!("event=duty_taken group={group} token={token} revision={revision} previous={known}");
                self.note(group.clone(), record, revision);
                Ok(token)
            }
            Ok(Swap::Conflict { current }) => {
                info!("event=duty_conflict group={group} expected={known}");
                self.apply(current);
                Err(DutyError::Taken)
            }
            Err(error) => {
                warn!("event=duty_unknown group={group} error={:?}", error.to_string());
                Err(DutyError::Store(error))
            }
        }
    }

    fn note(&self, group: GroupName, record: DutyRecord, revision: StoreRevision) {
        if record.closed_term > Term::default() {
            self.directory
                .close_term(&group, record.closed_term, record.retired.as_ref());
        }
        self.lost()
            .retain(|lost, (known, _)| *lost != group || !record.covers(known));
        let mut seen = self.seen();
        if let Some(held) = seen.get(&group) {
            if held.revision >= revision {
                return;
            }
            if held.revision.era < revision.era && !record.covers(&held.record) {
                self.note_lost(&group, &held.record);
            }
        }
        let duty = SeenDuty {
            record,
            revision,
            seen: clock::now(),
        };
        seen.insert(group, duty);
    }

    /// Forgets records that the store no longer holds. Nobody removes any: they are lost
    /// with what it held before it was restored, and a claim in their place must expect
    /// that there is none.
    fn forget_unlisted(&self, listing: &Listing) {
        let keys = listing.entries.iter().map(|entry| entry.key.as_str());
        let present: HashSet<GroupName> = keys
            .filter_map(|key| key.strip_prefix(&self.prefix))
            .map(GroupName::from)
            .collect();
        let is_gone = |group: &GroupName, duty: &SeenDuty| {
            duty.revision.era < listing.revision.era && !present.contains(group)
        };
        let gone: Vec<_> = {
            let mut seen = self.seen();
            seen.extract_if(|group, duty| is_gone(group, duty)).collect()
        };
        for (group, duty) in gone {
            self.note_lost(&group, &duty.record);
        }
    }

    fn apply(&self, entries: Vec<Entry>) {
        for entry in entries {
            let Some(group) = entry.key.strip_prefix(&self.prefix) else {
                continue;
            };
            let Some(value) = entry.value else { continue };
            match serde_json::from_slice(&value) {
                Ok(record) => self.note(GroupName::from(group), record, entry.revision),
                Err(error) => {
                    warn!(
                        "event=duty_unreadable group={group} error={:?}",
                        error.to_string()
                    );
                }
            }
        }
    }
}

/// The bytes of a record in the store.
fn encode(record: &DutyRecord) -> Vec<u8> {
    // A record of texts and numbers always has a form.
    serde_json::to_vec(record).unwrap_or_default()
}

impl<S: Store + 'static> Follower for Duties<S> {
    fn name(&self) -> &'static str {
        "duties"
    }

    fn listed(&self, listing: Listing) {
        self.forget_unlisted(&listing);
        self.apply(listing.entries);
        self.is_listed.store(true, Ordering::Relaxed);
    }

    fn changed(&self, entries: Vec<Entry>) {
        self.apply(entries);
    }

    fn complete(&self, asked: Instant) {
        self.directory.confirm_terms(asked);
    }
}
