//! Usage of groups, and the log positions that reads require.

use millwind_core::Instant;
use millwind_core::ids::GroupName;
use millwind_core::position::Position;
use millwind_core::session_commits::SessionCommit;

use super::{Directory, Group};
use crate::clock;

impl Directory {
    /// The least log position that an instance must have reached to serve a read which arrived
    /// at `arrived`, allows a staleness of `staleness_ms` and must see the session's own
    /// commit `written`. None if no observation of the leader is recent enough.
    pub fn floor(
        &self,
        group: &GroupName,
        arrived: Instant,
        staleness_ms: u64,
        written: Option<SessionCommit>,
    ) -> Option<Position> {
        let not_before = clock::minus_millis(arrived, staleness_ms);
        let state = self.state();
        let observations = &state.groups.get(group)?.observations;
        let floor = observations.floor(not_before)?;
        let own =
            written.map(|written| observations.covering_position(written.position, written.acknowledged));
        Some(own.map_or(floor, |own| own.max(floor)))
    }

    /// Like [`Directory::floor`], but waits until `deadline` for an observation that is recent
    /// enough.
    pub async fn await_floor(
        &self,
        group: &GroupName,
        arrived: Instant,
        staleness_ms: u64,
        written: Option<SessionCommit>,
        deadline: Instant,
    ) -> Option<Position> {
        loop {
            let observed = self.observed.notified();
            if let Some(floor) = self.floor(group, arrived, staleness_ms, written) {
                return Some(floor);
            }
            tokio::time::timeout_at(clock::deadline(deadline), observed)
                .await
                .ok()?;
        }
    }

    /// Records the use of a group by a database with the allowed staleness `staleness_ms`.
    pub fn record_use(&self, group: &GroupName, staleness_ms: Option<u64>) {
        let mut state = self.state();
        if !state.groups.contains_key(group) {
            state.groups.insert(group.clone(), Group::default());
        }
        if let Some(entry) = state.groups.get_mut(group) {
            entry.last_use = Some(clock::now());
            if let Some(staleness) = staleness_ms {
                let least = entry.staleness_ms.map_or(staleness, |held| held.min(staleness));
                entry.staleness_ms = Some(least);
            }
        }
    }

    /// Records the use of a group through this node's own connections.
    pub fn record_direct_use(&self, group: &GroupName) {
        let mut state = self.state();
        if let Some(entry) = state.groups.get_mut(group) {
            entry.last_direct_use = Some(clock::now());
        }
    }

    /// When a group was last used through this node's own connections.
    pub fn last_direct_use(&self, group: &GroupName) -> Option<Instant> {
        self.state().groups.get(group)?.last_direct_use
    }

    /// When a group was last used, and the least staleness that a database on the group allows.
    pub fn usage(&self, group: &GroupName) -> (Option<Instant>, Option<u64>) {
        let state = self.state();
        state
            .groups
            .get(group)
            .map_or((None, None), |entry| (entry.last_use, entry.staleness_ms))
    }
}
