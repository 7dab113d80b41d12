//! How far a configuration change has come into force.

use std::collections::BTreeMap;

use millwind_wire::control::{Liveness, MemberRecord, NodeRevision};

use super::ControlPlane;
use crate::Instant;
use crate::freshness::{FRESHNESS_BOUND_MS, FRESHNESS_MARGIN_MS};

/// Standing of one node with respect to a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Has the revision in force.
    InForce,
    /// Has stopped serving, by its own rule.
    Stopped,
    /// Neither is known.
    Pending,
}

impl ControlPlane {
    /// Where each known node stands with respect to `revision`, given what the
    /// relays said.
    ///
    /// Must hold because a change is said to be in force on it: a node without
    /// the revision has no contact with the platform younger than the change.
    /// Once the freshness bound has passed since this node had the change, such
    /// a node has stopped by its own rule, unless it can plead an outage that
    /// its whole scope shares.
    pub fn standings(
        &self,
        now: Instant,
        revision: u64,
        reports: &BTreeMap<String, NodeRevision>,
    ) -> BTreeMap<String, Standing> {
        let bound = FRESHNESS_BOUND_MS + FRESHNESS_MARGIN_MS;
        let reached = self.reached.iter().find(|(reached, _)| *reached >= revision);
        let lapsed = reached.is_some_and(|(_, at)| now.millis_since(*at) > bound);
        self.membership
            .records()
            .map(|record| {
                let confirmed = reports
                    .get(&record.node)
                    .is_some_and(|report| report.revision >= revision);
                let departed = record.liveness == Liveness::Dead && record.leaving == 1;
                let standing = if confirmed {
                    Standing::InForce
                } else if departed || lapsed && self.scope_is_reachable(now, record) {
                    Standing::Stopped
                } else {
                    Standing::Pending
                };
                (record.node.clone(), standing)
            })
            .collect()
    }

    /// True when most zones of the record's scope, its own left out, are heard
    /// and in contact: then a silent node there has no shared outage to plead.
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
            let heard = u64::from(report.age_ms) <= FRESHNESS_BOUND_MS;
            let contact = u64::from(report.platform_age_ms) <= FRESHNESS_BOUND_MS;
            reachable += usize::from(heard && contact);
        }
        reachable * 2 >= scope
    }
}
