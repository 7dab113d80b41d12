//! The pools of all instances that are in use.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use millwind_core::ids::InstanceName;

use super::pool::{Pool, open_ahead};
use crate::catalog::InstanceRecord;
use crate::ports::BackEndCodec;

/// Between two connections that are opened ahead of need.
const OPEN_PACE: Duration = Duration::from_millis(20);

/// Pools by instance.
pub struct Pools {
    codec: Arc<dyn BackEndCodec>,
    pools: Mutex<HashMap<InstanceName, Shared>>,
}

/// A pool with the version of the nodes that its share follows from.
#[derive(Debug)]
struct Shared {
    pool: Arc<Pool>,
    version: u64,
}

impl std::fmt::Debug for Pools {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Pools")
    }
}

impl Pools {
    /// No pools yet.
    pub fn new(codec: Arc<dyn BackEndCodec>) -> Self {
        Pools {
            codec,
            pools: Mutex::new(HashMap::new()),
        }
    }

    /// The protocol spoken with back ends.
    pub fn codec(&self) -> &Arc<dyn BackEndCodec> {
        &self.codec
    }

    /// The pool of `record`; its share of the instance's connections is worked out
    /// anew whenever `version`, that of the known nodes, has changed: a node that
    /// has just heard of others holds too many otherwise.
    pub fn pool(&self, record: &InstanceRecord, version: u64, share: impl FnOnce() -> usize) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let present = pools.get_mut(&record.name);
        if let Some(shared) = present.filter(|shared| shared.pool.record().address == record.address) {
            if shared.version != version {
                shared.version = version;
                shared.pool.set_share(share());
            }
            return shared.pool.clone();
        }
        let pool = Pool::new(record.clone(), self.codec.clone(), share());
        let shared = Shared {
            pool: pool.clone(),
            version,
        };
        if let Some(replaced) = pools.insert(record.name.clone(), shared) {
            replaced.pool.retire();
        }
        pool
    }

    /// The instance of `record` began anew: its pool, if there is one, starts without
    /// connections and with nothing learnt of its load. Whoever still holds the former
    /// record gets the new pool as well.
    pub fn begin_life(&self, record: &InstanceRecord, version: u64, share: usize) {
        let former = {
            let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(shared) = pools.get_mut(&record.name) else {
                return;
            };
            shared.version = version;
            let pool = Pool::new(record.clone(), self.codec.clone(), share);
            std::mem::replace(&mut shared.pool, pool)
        };
        former.retire();
    }

    /// All pools.
    pub fn all(&self) -> Vec<Arc<Pool>> {
        let pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.values().map(|shared| shared.pool.clone()).collect()
    }

    /// Closes connections that nobody needs; `spare_of` tells how many are kept
    /// beyond those that were needed lately.
    pub fn trim(&self, spare_of: impl Fn(&InstanceRecord) -> usize) {
        for pool in self.all() {
            pool.trim(spare_of(pool.record()));
        }
    }

    /// Gives all pools their share of the instances' connections.
    pub fn set_shares(&self, share_of: impl Fn(&InstanceRecord) -> usize) {
        for pool in self.all() {
            pool.set_share(share_of(pool.record()));
        }
    }

    /// Closes the pool of an instance that is gone.
    pub fn retire(&self, instance: &InstanceName) {
        let removed = self
            .pools
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(instance);
        if let Some(shared) = removed {
            shared.pool.retire();
        }
    }

    /// Opens connections of a pool ahead of need, in the background.
    pub fn open_ahead(&self, pool: Arc<Pool>, count: usize) {
        if pool.open_connections() < count {
            tokio::spawn(open_ahead(pool, count, OPEN_PACE));
        }
    }
}
