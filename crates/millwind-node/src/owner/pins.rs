//! Back-end connections pinned to open transactions.
//!
//! A pinned connection serves only the link that opened its transaction, and
//! returns to the pool only after the transaction has ended and its answer was
//! read completely. Otherwise statements could run in another session's
//! transaction.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use millwind_core::ids::InstanceName;

use crate::pg::backend::BackendConnection;

/// A back-end connection with an open transaction.
#[derive(Debug)]
pub struct PinnedConnection {
    /// Back-end connection.
    pub connection: BackendConnection,
    /// Instance that the connection belongs to.
    pub instance: InstanceName,
    /// Id of the link that opened the transaction.
    pub link: u64,
}

#[derive(Debug)]
enum Entry {
    /// The connection waits for the transaction's next batch.
    Idle(Box<PinnedConnection>),
    /// A batch has taken the connection, or the transaction is being opened.
    Busy { instance: InstanceName, link: u64 },
}

/// The pinned connections of a node by pin id.
#[derive(Debug)]
pub struct PinTable {
    entries: Mutex<HashMap<u64, Entry>>,
    next_id: AtomicU64,
}

impl Default for PinTable {
    /// An empty table. Pin ids start at a random number, so that ids issued before
    /// a restart do not match new transactions.
    fn default() -> Self {
        PinTable {
            entries: Mutex::default(),
            next_id: AtomicU64::new(rand::random::<u64>() >> 1),
        }
    }
}

impl PinTable {
    /// Number of pins that an instance has.
    pub fn count(&self, instance: &InstanceName) -> usize {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries
            .values()
            .filter(|entry| match entry {
                Entry::Idle(pinned) => pinned.instance == *instance,
                Entry::Busy { instance: busy, .. } => busy == instance,
            })
            .count()
    }

    /// Number of pins on all instances.
    pub fn len(&self) -> usize {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Reserves a pin for a transaction that is about to begin. Returns none if the
    /// instance already has `limit` pins.
    pub fn reserve(&self, instance: &InstanceName, link: u64, limit: usize) -> Option<u64> {
        if self.count(instance) >= limit {
            return None;
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) + 1;
        let busy = Entry::Busy {
            instance: instance.clone(),
            link,
        };
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id, busy);
        Some(id)
    }

    /// Takes the pinned connection for one batch. Returns none if the pin does not
    /// exist, is in use or belongs to another link.
    pub fn take(&self, id: u64, link: u64) -> Option<PinnedConnection> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        match entries.remove(&id)? {
            Entry::Idle(pinned) if pinned.link == link => {
                let busy = Entry::Busy {
                    instance: pinned.instance.clone(),
                    link,
                };
                entries.insert(id, busy);
                Some(*pinned)
            }
            other => {
                entries.insert(id, other);
                None
            }
        }
    }

    /// Puts the connection back after a batch. If the pin was released meanwhile,
    /// the connection is closed and its transaction rolls back.
    pub fn put_back(&self, id: u64, pinned: PinnedConnection) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.contains_key(&id) {
            entries.insert(id, Entry::Idle(Box::new(pinned)));
        }
    }

    /// Releases a pin and closes its connection unless a batch is using it.
    pub fn release(&self, id: u64) {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&id);
    }

    /// Releases a pin if it belongs to `link`.
    pub fn release_owned(&self, id: u64, link: u64) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let owned = entries.get(&id).is_some_and(|entry| entry_link(entry) == link);
        if owned {
            entries.remove(&id);
        }
    }

    /// Releases all pins of a closed link.
    pub fn release_link(&self, link: u64) {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|_, entry| entry_link(entry) != link);
    }
}

fn entry_link(entry: &Entry) -> u64 {
    match entry {
        Entry::Idle(pinned) => pinned.link,
        Entry::Busy { link, .. } => *link,
    }
}
