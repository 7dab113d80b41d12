//! Per-group guards that allow one run of an operation at a time for each group.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millwind_core::ids::GroupName;

/// The groups for which an operation is in progress.
#[derive(Debug, Default)]
pub struct InProgressGroups(Mutex<HashSet<GroupName>>);

/// Guard that marks one group as in progress until it is dropped.
#[derive(Debug)]
pub struct GroupGuard {
    in_progress: Arc<InProgressGroups>,
    group: GroupName,
}

impl InProgressGroups {
    fn groups(&self) -> MutexGuard<'_, HashSet<GroupName>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks a group as in progress; returns `None` if it already is.
    pub fn enter(self: &Arc<Self>, group: &GroupName) -> Option<GroupGuard> {
        let is_new = self.groups().insert(group.clone());
        is_new.then(|| GroupGuard {
            in_progress: self.clone(),
            group: group.clone(),
        })
    }

    /// Returns whether a group is marked as in progress.
    pub fn contains(&self, group: &GroupName) -> bool {
        self.groups().contains(group)
    }
}

impl GroupGuard {
    /// Returns the marked group.
    pub fn group(&self) -> &GroupName {
        &self.group
    }
}

impl Drop for GroupGuard {
    fn drop(&mut self) {
        self.in_progress.groups().remove(&self.group);
    }
}
