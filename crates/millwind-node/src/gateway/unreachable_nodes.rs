//! Tracks nodes that recently could not be reached, so that the gateway tries the
//! next owner before membership marks the node dead.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use millwind_core::Instant;
use millwind_core::ids::NodeName;

use crate::clock;

/// How long a node is skipped after a failed connection.
const SKIP_MS: u64 = 1_000;

/// Nodes to skip, each with the time at which it is tried again.
#[derive(Debug, Default)]
pub struct UnreachableNodes {
    until: Mutex<BTreeMap<NodeName, Instant>>,
}

impl UnreachableNodes {
    /// Skips `node` for [`SKIP_MS`].
    pub fn mark(&self, node: &NodeName) {
        let until = clock::now().plus_millis(SKIP_MS);
        self.until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(node.clone(), until);
    }

    /// Returns the nodes to skip now and drops expired entries.
    pub fn current(&self) -> BTreeSet<NodeName> {
        let mut until = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        if until.is_empty() {
            return BTreeSet::new();
        }
        let now = clock::now();
        until.retain(|_, end| *end > now);
        until.keys().cloned().collect()
    }
}
