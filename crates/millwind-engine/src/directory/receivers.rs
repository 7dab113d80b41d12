//! Replicas whose receipt may have let a leader acknowledge commits, although their records
//! were removed from the store. Applies to groups with synchronous replication.
//!
//! An instance that is partitioned from the store loses its record, but may go on receiving
//! the leader's commits. It stays a receiver until it has ended, and a former receiver until
//! another instance leads.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::incarnation::Incarnation;
use millwind_core::position::Position;

use super::{Directory, Group, KnownInstance, State};
use crate::catalog::InstanceRecord;
use crate::clock;

/// A receiver that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FormerReceiver {
    /// A time by which the instance had ended.
    ended_by: Instant,
    /// The first position that the leader reported in response to a later request.
    reported_after: Option<Position>,
    /// The incarnation that ended, if its record told it.
    incarnation: Option<Incarnation>,
}

impl Group {
    /// Records the leader's answer to a request sent at `asked` for the former receivers.
    pub(super) fn supersede_former_receivers(&mut self, asked: Instant, position: Position) {
        for former in self.former_receivers.values_mut() {
            if asked > former.ended_by {
                former.reported_after.get_or_insert(position);
            }
        }
    }

    /// Forgets the former receivers that had ended when another instance was asked at `asked`
    /// and proved that it leads. They let it acknowledge nothing.
    pub(super) fn forget_former_receivers(&mut self, asked: Instant) {
        self.former_receivers.retain(|_, former| asked <= former.ended_by);
    }
}

impl State {
    /// Makes a former receiver whose record has returned a receiver again. A later incarnation
    /// may have lost the log and does not count for the former one.
    pub(super) fn restore_receiver(&mut self, record: &InstanceRecord) {
        if let Some(entry) = self.groups.get_mut(&record.group)
            && let Some(former) = entry.former_receivers.get(&record.name)
            && former.incarnation == record.incarnation
        {
            entry.former_receivers.remove(&record.name);
        }
    }

    /// Whether the instance must be known to have ended before it is dropped.
    pub(super) fn is_receiver(&self, known: &KnownInstance) -> bool {
        let groups = self.config.as_ref().map(|config| &config.groups);
        let limits = groups.and_then(|groups| groups.get(&known.record.group));
        limits.is_some_and(|limits| limits.sync_replicas > 0)
    }
}

impl Directory {
    /// Instances without a record that may still receive commits.
    pub fn removed_receivers(&self) -> Vec<KnownInstance> {
        let state = self.state();
        let removed = state.instances.values().filter(|known| known.is_removed);
        removed
            .filter(|known| state.is_receiver(known))
            .map(|known| self.evaluated_now(&state, known))
            .collect()
    }

    /// Drops an instance without a record that has ended, and keeps it as a former receiver.
    /// Returns false if the instance is unknown or has a record again.
    pub fn record_receiver_end(&self, instance: &InstanceName) -> bool {
        let mut state = self.state();
        let known = state.instances.get(instance).filter(|known| known.is_removed);
        let Some(record) = known.map(|known| known.record.clone()) else {
            return false;
        };
        let (group, incarnation) = (record.group.clone(), record.incarnation);
        info!("event=receiver_ended instance={instance} group={group}");
        let former = FormerReceiver {
            ended_by: clock::now(),
            reported_after: None,
            incarnation,
        };
        state.forget_instance(instance);
        let entry = state.groups.entry(group).or_default();
        entry.former_receivers.insert(instance.clone(), former);
        true
    }

    /// Whether an instance is a former receiver of its group.
    pub fn is_former_receiver(&self, instance: &InstanceName) -> bool {
        let state = self.state();
        let mut groups = state.groups.values();
        groups.any(|entry| entry.former_receivers.contains_key(instance))
    }

    /// For each former receiver of a group, a position that the leader reported after the
    /// receiver had ended; `None` if it has not reported any.
    pub fn former_receivers(&self, group: &GroupName) -> Vec<Option<Position>> {
        let state = self.state();
        let formers = state.groups.get(group).map(|entry| &entry.former_receivers);
        let formers = formers.into_iter().flat_map(|formers| formers.values());
        formers.map(|former| former.reported_after).collect()
    }
}
