//! Removal of instances whose records disappeared from the store.

use std::collections::HashSet;

use log::info;
use millwind_core::ids::InstanceName;

use super::{Directory, State};
use crate::clock;

impl Directory {
    /// Marks an instance whose record was removed from the store. Returns false if the
    /// instance is unknown or was marked before.
    pub fn mark_removed(&self, instance: &InstanceName) -> bool {
        let mut state = self.state();
        let as_of = state.instances_as_of.unwrap_or_default();
        let Some(known) = state.instances.get_mut(instance) else {
            return false;
        };
        if known.is_removed {
            return false;
        }
        known.is_removed = true;
        if known.leaving_since.is_none() {
            known.leaving_since = Some(clock::now());
            known.leaving_not_before = as_of;
        }
        let group = known.record.group.clone();
        info!("event=instance_gone instance={instance} group={group}");
        state.mark_group_changed(&group);
        true
    }

    /// Marks an instance whose record can no longer be decoded. The instance counts as
    /// removed, without the grace period for missed heartbeats. Returns false if the instance
    /// is unknown or its record was already absent.
    pub fn mark_undecodable(&self, instance: &InstanceName) -> bool {
        let is_newly_removed = self.mark_removed(instance);
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.is_undecodable = true;
        }
        is_newly_removed
    }

    /// Applies a complete listing of instances: marks all that are not in `present` as removed
    /// and returns them.
    pub fn apply_listing(&self, present: &HashSet<InstanceName>) -> Vec<InstanceName> {
        let missing: Vec<InstanceName> = {
            let mut state = self.state();
            state.has_instance_listing = true;
            state
                .instances
                .values()
                .filter(|known| !known.is_removed && !present.contains(&known.record.name))
                .map(|known| known.record.name.clone())
                .collect()
        };
        for instance in &missing {
            self.mark_removed(instance);
        }
        self.completed.notify_waiters();
        missing
    }

    /// Drops instances that have been leaving or removed for more than `bound_ms` and whose
    /// record is absent, except receivers of synchronous groups. Returns their names.
    pub fn drop_removed(&self, bound_ms: u64) -> Vec<InstanceName> {
        let now = clock::now();
        let mut state = self.state();
        let dropped: Vec<_> = state
            .instances
            .values()
            .filter(|known| known.is_removed && !state.is_receiver(known))
            .filter(|known| {
                known
                    .leaving_since
                    .is_some_and(|since| now.millis_since(since) > bound_ms)
            })
            .map(|known| known.record.name.clone())
            .collect();
        for name in &dropped {
            state.forget_instance(name);
        }
        dropped
    }
}

impl State {
    /// Removes an instance and its leadership state.
    pub(super) fn forget_instance(&mut self, name: &InstanceName) {
        let group = self.instances.get(name).map(|known| known.record.group.clone());
        if let Some(group) = group {
            self.mark_group_changed(&group);
        }
        // Without the record, an instance that returns under this name is not recognized
        // as restarted, so its leadership state is discarded here.
        for group in self.groups.values_mut() {
            group.discard_lead_state(name);
        }
        self.remove(name);
    }
}
