//! Instances whose records are gone.

use std::collections::HashSet;

use log::info;
use millwind_core::ids::InstanceName;

use super::Directory;
use crate::clock;

impl Directory {
    /// An instance's record is gone from the store.
    pub fn remove_record(&self, instance: &InstanceName) -> bool {
        let mut state = self.state();
        let Some(known) = state.instances.get_mut(instance) else {
            return false;
        };
        if known.is_gone {
            return false;
        }
        known.is_gone = true;
        known.leaving_since.get_or_insert(clock::now());
        let group = known.record.group.clone();
        info!("event=instance_gone instance={instance} group={group}");
        state.group_changed(&group);
        true
    }

    /// The record of an instance cannot be read any more: it is gone, and gets no grace
    /// as one whose heartbeats the store merely missed.
    pub fn disown(&self, instance: &InstanceName) -> bool {
        let is_news = self.remove_record(instance);
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.is_disowned = true;
        }
        is_news
    }

    /// The whole list of instances was read; returns those that are gone now.
    pub fn listing_applied(&self, present: &HashSet<InstanceName>) -> Vec<InstanceName> {
        let missing: Vec<InstanceName> = {
            let mut state = self.state();
            state.has_listing = true;
            state
                .instances
                .values()
                .filter(|known| !known.is_gone && !present.contains(&known.record.name))
                .map(|known| known.record.name.clone())
                .collect()
        };
        for instance in &missing {
            self.remove_record(instance);
        }
        self.completed.notify_waiters();
        missing
    }

    /// Forgets instances that have been gone for `bound_ms`.
    pub fn forget_gone(&self, bound_ms: u64) -> Vec<InstanceName> {
        let now = clock::now();
        let mut state = self.state();
        let forgotten: Vec<_> = state
            .instances
            .values()
            .filter(|known| known.is_gone)
            .filter(|known| {
                known
                    .leaving_since
                    .is_some_and(|since| now.millis_since(since) > bound_ms)
            })
            .map(|known| known.record.name.clone())
            .collect();
        for name in &forgotten {
            let group = state.instances.get(name).map(|known| known.record.group.clone());
            if let Some(group) = group {
                state.group_changed(&group);
            }
            // It may come back under this name, and is not compared with this life then.
            for group in state.groups.values_mut() {
                group.end_life(name);
            }
            state.remove(name);
        }
        forgotten
    }
}
