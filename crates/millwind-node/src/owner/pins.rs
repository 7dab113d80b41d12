//! Connections pinned to open transactions.
//!
//! Must hold because transactions never mix: a pinned connection serves only
//! the link and pin that opened it, and goes back to the pool only when its
//! transaction has ended and its answer is wholly read.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use millwind_core::ids::InstanceName;

use crate::pg::backend::BackendConnection;

/// A connection with an open transaction.
#[derive(Debug)]
pub struct Pinned {
    /// The connection.
    pub connection: BackendConnection,
    /// Instance it leads to.
    pub instance: InstanceName,
    /// Link that opened it.
    pub link: u64,
}

#[derive(Debug)]
enum Entry {
    Resting(Box<Pinned>),
    /// A batch is running on it.
    Busy {
        instance: InstanceName,
        link: u64,
    },
}

/// All pinned connections of a node.
#[derive(Debug)]
pub struct PinTable {
    entries: Mutex<HashMap<u64, Entry>>,
    next: AtomicU64,
}

impl Default for PinTable {
    /// An empty table whose pins start at a random number, so that a pin of an
    /// earlier process never names a transaction of this one.
    fn default() -> Self {
        PinTable {
            entries: Mutex::default(),
            next: AtomicU64::new(rand::random::<u64>() >> 1),
        }
    }
}

impl PinTable {
    /// Number of pins on an instance.
    pub fn count(&self, instance: &InstanceName) -> usize {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries
            .values()
            .filter(|entry| match entry {
                Entry::Resting(pinned) => pinned.instance == *instance,
                Entry::Busy { instance: busy, .. } => busy == instance,
            })
            .count()
    }

    /// Number of pins in all.
    pub fn len(&self) -> usize {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Reserves a pin for a transaction that is about to begin; none when the
    /// instance already has `limit` of them.
    pub fn reserve(&self, instance: &InstanceName, link: u64, limit: usize) -> Option<u64> {
        if self.count(instance) >= limit {
            return None;
        }
        let id = self.next.fetch_add(1, Ordering::Relaxed) + 1;
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

    /// Takes the pinned connection out for one batch; only its own link may.
    pub fn take(&self, id: u64, link: u64) -> Option<Pinned> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        match entries.remove(&id)? {
            Entry::Resting(pinned) if pinned.link == link => {
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

    /// Puts the connection back after a batch; dropped when the pin was freed
    /// meanwhile, which closes it and so rolls the transaction back.
    pub fn put(&self, id: u64, pinned: Pinned) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.contains_key(&id) {
            entries.insert(id, Entry::Resting(Box::new(pinned)));
        }
    }

    /// Frees a pin; a resting connection is closed.
    pub fn free(&self, id: u64) {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&id);
    }

    /// Frees a pin if it belongs to `link`.
    pub fn free_owned(&self, id: u64, link: u64) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let owned = entries.get(&id).is_some_and(|entry| entry_link(entry) == link);
        if owned {
            entries.remove(&id);
        }
    }

    /// Frees every pin of a link that is gone.
    pub fn free_link(&self, link: u64) {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|_, entry| entry_link(entry) != link);
    }
}

fn entry_link(entry: &Entry) -> u64 {
    match entry {
        Entry::Resting(pinned) => pinned.link,
        Entry::Busy { link, .. } => *link,
    }
}
