//! Nodes that could not be reached a moment ago: the gateway goes to the next
//! owner in order, before the member table says that a node is dead.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use millwind_core::Instant;
use millwind_core::ids::NodeName;

use crate::clock;

/// A node that could not be reached is left alone this long.
const AVOIDED_MS: u64 = 1_000;

/// Nodes to leave alone for a while.
#[derive(Debug, Default)]
pub struct Avoidance {
    until: Mutex<BTreeMap<NodeName, Instant>>,
}

impl Avoidance {
    /// Leaves a node alone for a while.
    pub fn avoid(&self, node: &NodeName) {
        let until = clock::now().plus_millis(AVOIDED_MS);
        self.until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(node.clone(), until);
    }

    /// The nodes left alone now.
    pub fn avoided(&self) -> BTreeSet<NodeName> {
        let mut until = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        if until.is_empty() {
            return BTreeSet::new();
        }
        let now = clock::now();
        until.retain(|_, end| *end > now);
        until.keys().cloned().collect()
    }
}
