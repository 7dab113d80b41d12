//! Groups that something is being done for, so that it is done once at a time.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millwind_core::ids::GroupName;

/// Marked groups.
#[derive(Debug, Default)]
pub struct GroupMarks(Mutex<HashSet<GroupName>>);

/// The mark of one group; gone when dropped.
#[derive(Debug)]
pub struct GroupMark {
    marks: Arc<GroupMarks>,
    group: GroupName,
}

impl GroupMarks {
    fn groups(&self) -> MutexGuard<'_, HashSet<GroupName>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks a group; none if it is marked already.
    pub fn enter(self: &Arc<Self>, group: &GroupName) -> Option<GroupMark> {
        let is_new = self.groups().insert(group.clone());
        is_new.then(|| GroupMark {
            marks: self.clone(),
            group: group.clone(),
        })
    }
}

impl GroupMark {
    /// The marked group.
    pub fn group(&self) -> &GroupName {
        &self.group
    }
}

impl Drop for GroupMark {
    fn drop(&mut self) {
        self.marks.groups().remove(&self.group);
    }
}
