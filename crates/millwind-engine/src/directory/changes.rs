//! Which groups changed, and whether each has an instance that says that it leads.

use std::collections::HashSet;

use millwind_core::Instant;
use millwind_core::ids::GroupName;

use super::{Directory, State};

impl State {
    /// The believed leader of a group, or the record of one of its instances, changed.
    pub(super) fn group_changed(&mut self, group: &GroupName) {
        self.changed_groups.insert(group.clone());
        self.claims_checked_for = None;
    }

    /// Comparisons of catalogs ask for it again and again: all groups are looked at only
    /// after a change, and not even then while the group that lacked a leader still does.
    fn knows_claimed_leaders(&mut self) -> bool {
        let Some(config) = self.config.clone() else {
            return false;
        };
        if self.claims_checked_for == Some(config.version) {
            return true;
        }
        if let Some(group) = &self.unclaimed
            && config.groups.contains_key(group)
            && !self.is_claimed(group)
        {
            return false;
        }
        let mut groups = config.groups.keys();
        self.unclaimed = groups.find(|group| !self.is_claimed(group)).cloned();
        let are_claimed = self.unclaimed.is_none();
        self.claims_checked_for = are_claimed.then_some(config.version);
        are_claimed
    }

    /// Whether an instance of a group says that it leads.
    fn is_claimed(&self, group: &GroupName) -> bool {
        let members = self.members.get(group).into_iter().flatten();
        let mut known = members.filter_map(|name| self.instances.get(name));
        known.any(|known| known.record.claims_lead && !known.is_gone)
    }
}

impl Directory {
    /// Groups of which, since this was last asked, the believed leader or the record of an
    /// instance changed, but for heartbeats.
    pub fn take_changed_groups(&self) -> HashSet<GroupName> {
        std::mem::take(&mut self.state().changed_groups)
    }

    /// Whether some instance of every configured group is known that says that it
    /// leads.
    pub fn knows_claimed_leaders(&self) -> bool {
        self.state().knows_claimed_leaders()
    }

    /// Groups that were used after `since`, over this node's own connections or others'.
    pub fn groups_used_after(&self, since: Instant) -> Vec<GroupName> {
        let is_after = |used: Option<Instant>| used.is_some_and(|used| used > since);
        let state = self.state();
        let used = state
            .groups
            .iter()
            .filter(|(_, group)| is_after(group.last_use) || is_after(group.last_direct_use));
        used.map(|(name, _)| name.clone()).collect()
    }
}
