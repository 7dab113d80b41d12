//! The connection pools of all instances in use.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use millwind_core::ids::InstanceName;

use super::pool::{Pool, prewarm};
use crate::catalog::InstanceRecord;
use crate::ports::BackEndCodec;

/// Pause after each connection that is opened in advance.
const PREWARM_PAUSE: Duration = Duration::from_millis(20);

/// Connection pools by instance.
pub struct Pools {
    codec: Arc<dyn BackEndCodec>,
    pools: Mutex<HashMap<InstanceName, PoolEntry>>,
}

/// A pool with the version of the node registry from which its share was computed.
#[derive(Debug)]
struct PoolEntry {
    pool: Arc<Pool>,
    version: u64,
}

impl std::fmt::Debug for Pools {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Pools")
    }
}

impl Pools {
    /// Creates an empty set of pools.
    pub fn new(codec: Arc<dyn BackEndCodec>) -> Self {
        Pools {
            codec,
            pools: Mutex::new(HashMap::new()),
        }
    }

    /// The codec of the back-end protocol.
    pub fn codec(&self) -> &Arc<dyn BackEndCodec> {
        &self.codec
    }

    /// Returns the pool of `record`, creating it if there is none for its address. The pool's
    /// share of the instance's connections is recomputed whenever `version`, the version of
    /// the node registry, has changed.
    pub fn pool(&self, record: &InstanceRecord, version: u64, share: impl FnOnce() -> usize) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let present = pools.get_mut(&record.name);
        if let Some(entry) = present.filter(|entry| entry.pool.record().address == record.address) {
            if entry.version != version {
                entry.version = version;
                entry.pool.set_share(share());
            }
            return entry.pool.clone();
        }
        let pool = Pool::new(record.clone(), self.codec.clone(), share());
        let entry = PoolEntry {
            pool: pool.clone(),
            version,
        };
        if let Some(replaced) = pools.insert(record.name.clone(), entry) {
            replaced.pool.retire();
        }
        pool
    }

    /// Replaces the pool of a restarted instance, if there is one, by an empty pool without
    /// load statistics. Lookups with the previous record return the new pool if the address
    /// is the same.
    pub fn replace_restarted(&self, record: &InstanceRecord, version: u64, share: usize) {
        let previous = {
            let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(entry) = pools.get_mut(&record.name) else {
                return;
            };
            entry.version = version;
            let pool = Pool::new(record.clone(), self.codec.clone(), share);
            std::mem::replace(&mut entry.pool, pool)
        };
        previous.retire();
    }

    /// All pools.
    pub fn all(&self) -> Vec<Arc<Pool>> {
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.values().map(|entry| entry.pool.clone()).collect()
    }

    /// Closes surplus idle connections in all pools; `spare_of` returns how many are kept
    /// beyond the recent peak demand.
    pub fn trim(&self, spare_of: impl Fn(&InstanceRecord) -> usize) {
        for pool in self.all() {
            pool.trim(spare_of(pool.record()));
        }
    }

    /// Sets the share of every pool to the result of `share_of`.
    pub fn set_shares(&self, share_of: impl Fn(&InstanceRecord) -> usize) {
        for pool in self.all() {
            pool.set_share(share_of(pool.record()));
        }
    }

    /// Removes and retires the pool of an instance that is no longer used.
    pub fn retire(&self, instance: &InstanceName) {
        let removed = self
            .pools
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(instance);
        if let Some(entry) = removed {
            entry.pool.retire();
        }
    }

    /// Opens up to `count` connections of a pool in the background, unless as many are open.
    pub fn prewarm(&self, pool: Arc<Pool>, count: usize) {
        if pool.open_connections() < count {
            tokio::spawn(prewarm(pool, count, PREWARM_PAUSE));
        }
    }
}
