//! Freshness of a node's copy of the catalog.
//!
//! The instances and the configuration are read by separate calls. Reading one does not
//! refresh the other, so the catalog is only as fresh as the older of the two. Only this
//! combined age is reported to other nodes.

use crate::Instant;

/// Times at which a node's copy of the catalog last matched the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CatalogFreshness {
    /// Time at which the instances were last known to match the store.
    instances: Option<Instant>,
    /// Time at which the configuration was last known to match the store; not updated while
    /// the node watches the configuration.
    configuration: Option<Instant>,
    /// Whether this node has read the configuration and watches it. Configuration changes
    /// then arrive as soon as changes to instances.
    is_configuration_watched: bool,
}

impl CatalogFreshness {
    /// Records that the store reported its instances to this node at `reported_at`.
    pub fn record_instances(&mut self, reported_at: Instant) {
        self.instances = self.instances.max(Some(reported_at));
    }

    /// Records that this node has read the configuration with a call sent at `asked` and
    /// watches it from now on.
    pub fn record_configuration_read(&mut self, asked: Instant) {
        self.configuration = self.configuration.max(Some(asked));
        self.is_configuration_watched = true;
    }

    /// Records that this node no longer watches the configuration, which ages from now on.
    pub fn configuration_watch_ended(&mut self) {
        if self.is_configuration_watched {
            self.configuration = self.configuration.max(self.current_as_of());
            self.is_configuration_watched = false;
        }
    }

    /// Records that another node has transferred its whole catalog, which matched the store
    /// at `matched_at`.
    pub fn record_peer_catalog(&mut self, matched_at: Instant) {
        self.instances = self.instances.max(Some(matched_at));
        self.configuration = self.configuration.max(Some(matched_at));
    }

    /// Returns the time at which the catalog was last known to match the store; `None` if
    /// the instances or the configuration are unknown.
    pub fn current_as_of(&self) -> Option<Instant> {
        let instances = self.instances?;
        if self.is_configuration_watched {
            return Some(instances);
        }
        Some(instances.min(self.configuration?))
    }
}
