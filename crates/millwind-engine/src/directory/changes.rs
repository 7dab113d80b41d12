//! Tracks which groups changed and whether each has an instance that claims leadership.

use std::collections::HashSet;

use millwind_core::Instant;
use millwind_core::ids::GroupName;

use super::{Directory, State};

impl State {
    /// Records that the presumed leader of a group or the record of one of its instances
    /// changed.
    pub(super) fn mark_group_changed(&mut self, group: &GroupName) {
        self.changed_groups.insert(group.clone());
        self.fully_claimed_version = None;
    }

    /// Whether every configured group has an instance that claims leadership. The result is
    /// cached because catalog comparisons ask often: all groups are scanned only after a
    /// change, and only once the group that last lacked such an instance has one.
    fn knows_claimed_leaders(&mut self) -> bool {
        let Some(config) = self.config.clone() else {
            return false;
        };
        if self.fully_claimed_version == Some(config.version) {
            return true;
        }
        if let Some(group) = &self.unclaimed_group
            && config.groups.contains_key(group)
            && !self.has_lead_claim(group)
        {
            return false;
        }
        let mut groups = config.groups.keys();
        self.unclaimed_group = groups.find(|group| !self.has_lead_claim(group)).cloned();
        let are_claimed = self.unclaimed_group.is_none();
        self.fully_claimed_version = are_claimed.then_some(config.version);
        are_claimed
    }

    /// Whether an instance of a group claims leadership.
    fn has_lead_claim(&self, group: &GroupName) -> bool {
        let members = self.members.get(group).into_iter().flatten();
        let mut known = members.filter_map(|name| self.instances.get(name));
        known.any(|known| known.record.claims_lead && !known.is_removed)
    }
}

impl Directory {
    /// Returns and clears the groups whose presumed leader or instance records changed since
    /// the last call. Heartbeats don't count as changes.
    pub fn take_changed_groups(&self) -> HashSet<GroupName> {
        std::mem::take(&mut self.state().changed_groups)
    }

    /// Whether every configured group has a known instance that claims leadership.
    pub fn has_claimed_leader_for_every_group(&self) -> bool {
        self.state().knows_claimed_leaders()
    }

    /// Groups that were used after `since`, through connections of this node or of another.
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
