//! Freshness of a node's copy of the catalog.
//!
//! The instances and the configuration are read by separate calls. Reading one does not
//! refresh the other, so each has an age of its own, which is also reported to other nodes.

use crate::Instant;

/// Times at which a node's copy of the catalog last matched the store, as far as is known
/// directly or through other nodes.
///
/// An answer of the store vouches for the time at which the call was sent, not for the time
/// at which it arrived. A call without an answer vouches for nothing: its connection may have
/// gone silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CatalogFreshness {
    /// Time at which the instances were last known to match the store.
    instances: Option<Instant>,
    /// Time at which the configuration was last known to match the store.
    configuration: Option<Instant>,
}

impl CatalogFreshness {
    /// Records that the store answered a call about its instances that was sent at `asked`.
    pub fn record_instances(&mut self, asked: Instant) {
        self.instances = self.instances.max(Some(asked));
    }

    /// Records that the store answered a call about its configuration that was sent at `asked`.
    pub fn record_configuration(&mut self, asked: Instant) {
        self.configuration = self.configuration.max(Some(asked));
    }

    /// Returns the time at which the instances were last known to match the store; `None` if
    /// they are unknown.
    pub fn instances_as_of(&self) -> Option<Instant> {
        self.instances
    }

    /// Returns the time at which the configuration was last known to match the store; `None` if
    /// it is unknown.
    pub fn configuration_as_of(&self) -> Option<Instant> {
        self.configuration
    }
}
