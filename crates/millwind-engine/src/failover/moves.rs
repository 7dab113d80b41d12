//! Moves leadership away from a healthy leader: the required position, and when a move ends.

use log::info;
use millwind_core::failover::ReplaceReason;
use millwind_core::lead_relocation::LeaderDemand;
use millwind_core::position::Position;
use millwind_core::successor::Successor;
use millwind_store::Store;

use super::replacement::Replacement;
use super::{FailoverMonitor, health};
use crate::clock;
use crate::directory::Leader;
use crate::statement::Command;
use crate::term_closing;

/// Maximum age of the leader position that a move uses, in milliseconds; slightly above the
/// longest response time of a leader. With an older position, a replica that lacks acknowledged
/// commits would look complete.
const POSITION_MAX_AGE_MS: u64 = 500;

impl<S: Store + 'static> FailoverMonitor<S> {
    /// Returns whether a move is complete or must be abandoned. A leader that fails or
    /// disappears during a move is replaced because of the failure, without the requirements of
    /// a move.
    pub(super) fn is_move_over(&self, replacement: &Replacement, leader: Option<&Leader>) -> bool {
        let directory = &self.engine.directory;
        let old_leader = replacement.old_leader.as_ref();
        let Some(known) = old_leader.and_then(|old_leader| directory.instance(old_leader)) else {
            return true;
        };
        if known.health.failing_since.is_some() {
            return true;
        }
        let Some(leader) = leader else {
            // The leader may be unknown because this move told it to step down.
            return directory.last_closed_leader(&replacement.group).as_ref() != old_leader;
        };
        let must_still_move = replacement.reason != ReplaceReason::Evacuated || self.must_leave_zone(&known);
        !replacement.is_old_leader(&leader.instance) || !must_still_move
    }

    /// Returns the position up to which the old leader has acknowledged commits, or `None` if
    /// it does not report one. Without the position no replica is known to hold all commits.
    pub(super) async fn acknowledged_position(&self, replacement: &Replacement) -> Option<Position> {
        let position = self.query_old_leader_position(replacement).await;
        if position.is_none() {
            info!(
                "event=move_without_position group={} leader={} reason={}",
                replacement.group,
                replacement.old_leader_name(),
                replacement.reason.name()
            );
        }
        position
    }

    async fn query_old_leader_position(&self, replacement: &Replacement) -> Option<Position> {
        let engine = &self.engine;
        let directory = &engine.directory;
        let known = directory.instance(replacement.old_leader.as_ref()?)?;
        if directory.last_closed_leader(&replacement.group) == replacement.old_leader {
            // The old leader was told to step down, and still holds all commits.
            let status = term_closing::ask_status(engine, &known.record, Command::Status).await?;
            let newest = directory.newest_observation(&replacement.group)?;
            return Some(newest.position.max(status.received));
        }
        health::probe_instance(engine, &known.record).await;
        let current_leader = directory.leader(&replacement.group);
        if current_leader.is_none_or(|leader| !replacement.is_old_leader(&leader.instance)) {
            return None;
        }
        let newest = directory.newest_observation(&replacement.group)?;
        let is_fresh = clock::now().millis_since(newest.asked) <= POSITION_MAX_AGE_MS;
        (is_fresh && !directory.is_failing(&known.record.name)).then_some(newest.position)
    }

    /// Returns whether the placement of `chosen` permits its promotion. A relocation requires
    /// that its region serves more demand than the region of the old leader, and that the
    /// replica is neither leaving nor in an evacuated zone. Other replacements have no such
    /// requirement.
    pub(super) fn improves_placement(
        &self,
        replacement: &Replacement,
        chosen: &Successor,
        demand: &LeaderDemand,
    ) -> bool {
        if replacement.reason != ReplaceReason::Relocating {
            return true;
        }
        let leader = replacement.old_leader.as_ref();
        let leader = leader.and_then(|leader| self.engine.directory.instance(leader));
        let served_before = leader.map_or(0, |leader| demand.served_in(self.engine.region_of(&leader)));
        chosen.servable_share > served_before && !chosen.is_leaving && !chosen.is_evacuated
    }
}
