//! Moves of a lead whose leader serves well: what they rest on, and when they end.

use log::info;
use millwind_core::failover::{ReplaceReason, Successor};
use millwind_core::lead_relocation::LeaderDemand;
use millwind_core::position::Position;
use millwind_store::Store;

use super::replacement::LostLeader;
use super::{Monitor, health};
use crate::clock;
use crate::directory::Leader;
use crate::statement::Command;
use crate::term_closing;

/// A move rests on what its leader told at most so long ago, in milliseconds: a little
/// more than the longest that an answer of a leader takes. With an older one a replica
/// that lacks acknowledged commits would pass for one that holds them all.
const TOLD_MS: u64 = 500;

impl<S: Store + 'static> Monitor<S> {
    /// Whether a move ends without (more) orders. A leader that fails meanwhile, or that
    /// is no longer known, is replaced for that, by its own evidence and without what a
    /// move asks of a successor.
    pub(super) fn is_move_over(&self, lost: &LostLeader, leader: Option<&Leader>) -> bool {
        let directory = &self.engine.directory;
        let moved = lost.instance.as_ref();
        let Some(known) = moved.and_then(|moved| directory.instance(moved)) else {
            return true;
        };
        if known.contact.failing_since.is_some() {
            return true;
        }
        let Some(leader) = leader else {
            // This move itself may have told it to step down.
            return directory.retired(&lost.group).as_ref() != moved;
        };
        let is_to_leave = lost.reason != ReplaceReason::Evacuated || self.must_leave_zone(&known);
        !lost.is(&leader.instance) || !is_to_leave
    }

    /// All that the leader of a move has acknowledged, as it tells now; none where it
    /// doesn't tell: then nobody is known to hold it.
    pub(super) async fn told_by_leader(&self, lost: &LostLeader) -> Option<Position> {
        let told = self.ask_moved_leader(lost).await;
        if told.is_none() {
            info!(
                "event=move_without_position group={} leader={} reason={}",
                lost.group,
                lost.name(),
                lost.reason.name()
            );
        }
        told
    }

    async fn ask_moved_leader(&self, lost: &LostLeader) -> Option<Position> {
        let engine = &self.engine;
        let directory = &engine.directory;
        let known = directory.instance(lost.instance.as_ref()?)?;
        if directory.retired(&lost.group) == lost.instance {
            // It was told to step down, and is still the one that holds all.
            let status = term_closing::ask_status(engine, &known.record, Command::Status).await?;
            let newest = directory.newest_observation(&lost.group)?;
            return Some(newest.position.max(status.received));
        }
        health::ask(engine, &known.record).await;
        let leads = directory.leader(&lost.group);
        if leads.is_none_or(|leader| !lost.is(&leader.instance)) {
            return None;
        }
        let newest = directory.newest_observation(&lost.group)?;
        let is_new = clock::now().millis_since(newest.asked) <= TOLD_MS;
        (is_new && !directory.is_failing(&known.record.name)).then_some(newest.position)
    }

    /// Whether a leader that serves well is replaced by `chosen`: where its region is
    /// the cause, only by one whose region serves more, and that will stay.
    pub(super) fn is_worth_the_move(
        &self,
        lost: &LostLeader,
        chosen: &Successor,
        demand: &LeaderDemand,
    ) -> bool {
        if lost.reason != ReplaceReason::Relocating {
            return true;
        }
        let leader = lost.instance.as_ref();
        let leader = leader.and_then(|leader| self.engine.directory.instance(leader));
        let worth_before = leader.map_or(0, |leader| demand.served_in(self.engine.region_of(&leader)));
        chosen.servable_share > worth_before && !chosen.is_leaving && !chosen.is_evacuated
    }
}
