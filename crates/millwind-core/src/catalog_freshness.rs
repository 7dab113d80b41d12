//! As of when a node knows the catalog to be the newest.
//!
//! Instances and configuration are read by calls of their own. What one read
//! delivered says nothing of the other document, so the catalog as a whole is as old
//! as the older of the two, and that age alone is passed on to other nodes.

use crate::Instant;

/// How new a node's knowledge of the catalog is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CatalogFreshness {
    /// The instances held are those that the store held at this time.
    instances: Option<Instant>,
    /// The same of the configuration, while nobody watches it here.
    configuration: Option<Instant>,
    /// This node has read the configuration and watches it: it would hear of a
    /// newer one as soon as of an instance.
    is_configuration_watched: bool,
}

impl CatalogFreshness {
    /// The store told this node of its instances at `heard`.
    pub fn instances_heard(&mut self, heard: Instant) {
        self.instances = self.instances.max(Some(heard));
    }

    /// This node has read the configuration with a call sent at `asked`, and
    /// watches it from now on.
    pub fn configuration_read(&mut self, asked: Instant) {
        self.configuration = self.configuration.max(Some(asked));
        self.is_configuration_watched = true;
    }

    /// This node no longer watches the configuration: from now on it grows old.
    pub fn configuration_unwatched(&mut self) {
        if self.is_configuration_watched {
            self.configuration = self.configuration.max(self.as_of());
            self.is_configuration_watched = false;
        }
    }

    /// Another node, which has told all that it knows, knew the catalog as of
    /// `heard`.
    pub fn told(&mut self, heard: Instant) {
        self.instances = self.instances.max(Some(heard));
        self.configuration = self.configuration.max(Some(heard));
    }

    /// The catalog held is the one that the store held at this time; none if that
    /// is not known.
    pub fn as_of(&self) -> Option<Instant> {
        let instances = self.instances?;
        if self.is_configuration_watched {
            return Some(instances);
        }
        Some(instances.min(self.configuration?))
    }
}
