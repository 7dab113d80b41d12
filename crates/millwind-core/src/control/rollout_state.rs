//! Rollout state of a configuration change across the known nodes.

use std::collections::BTreeMap;

use millwind_wire::control::{Liveness, MemberRecord, NodeRevision};

use super::ControlPlane;
use crate::Instant;
use crate::freshness::{FRESHNESS_BOUND_MS, FRESHNESS_MARGIN_MS};

/// Rollout state of one revision on one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutState {
    /// The node has this revision or a later one in force.
    InForce,
    /// The node has stopped serving and cannot use an older revision.
    Stopped,
    /// The node may still serve with an older revision.
    Pending,
}

impl ControlPlane {
    /// Returns the rollout state of `revision` on each known node, based on the relays'
    /// `reports`.
    ///
    /// Operators rely on this result to treat a change as in force. A node without the
    /// revision has had no contact with the platform since the change. Once the freshness
    /// bound has passed since the change came into force on this node, such a node no
    /// longer serves, unless an outage affects most zones of its scope.
    pub fn rollout_states(
        &self,
        now: Instant,
        revision: u64,
        reports: &BTreeMap<String, NodeRevision>,
    ) -> BTreeMap<String, RolloutState> {
        let bound = FRESHNESS_BOUND_MS + FRESHNESS_MARGIN_MS;
        let applied = self
            .applied_revisions
            .iter()
            .find(|(applied, _)| *applied >= revision);
        let is_past_bound = applied.is_some_and(|(_, at)| now.millis_since(*at) > bound);
        self.membership
            .records()
            .map(|record| {
                let confirmed = reports
                    .get(&record.node)
                    .is_some_and(|report| report.revision >= revision);
                let has_left = record.liveness == Liveness::Dead && record.leaving == 1;
                let state = if confirmed {
                    RolloutState::InForce
                } else if has_left || is_past_bound && self.scope_is_reachable(now, record) {
                    RolloutState::Stopped
                } else {
                    RolloutState::Pending
                };
                (record.node.clone(), state)
            })
            .collect()
    }

    /// Whether at least half of the zones in the scope of `record` recently reported
    /// contact with the platform; the node's own zone counts as unreachable. If so, a node
    /// there cannot keep serving on the grounds of a shared outage.
    fn scope_is_reachable(&self, now: Instant, record: &MemberRecord) -> bool {
        let reports = self.gate.reports(now);
        let same_region = reports
            .iter()
            .filter(|report| report.region == record.region && report.zone != record.zone)
            .count();
        let mut scope = 1;
        let mut reachable = 0;
        for report in reports.iter().filter(|report| report.zone != record.zone) {
            if same_region > 0 && report.region != record.region {
                continue;
            }
            scope += 1;
            let is_recent = u64::from(report.age_ms) <= FRESHNESS_BOUND_MS;
            let has_contact = u64::from(report.platform_age_ms) <= FRESHNESS_BOUND_MS;
            reachable += usize::from(is_recent && has_contact);
        }
        reachable * 2 >= scope
    }
}
