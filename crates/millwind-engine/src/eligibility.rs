//! Checks whether a statement may use an instance, based on this node's current knowledge.

use millwind_core::data_residency::AllowedRegions;
use millwind_core::eligibility::{IneligibleReason, InstanceFacts, check_instance};
use millwind_core::ids::GroupName;

use crate::backend::ExchangeError;
use crate::catalog::InstanceRecord;
use crate::directory::KnownInstance;
use crate::execution::AttemptError;
use crate::node::Engine;

/// The role in which a statement uses an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceUse {
    /// Any instance that is sufficiently up to date for a read.
    Replica,
    /// The group's leader. A leader that is shutting down or whose zone is being evacuated
    /// still serves for a limited time, until another instance takes over.
    Leader,
}

impl InstanceUse {
    /// Returns the use of work that only reads, or that needs the leader.
    pub const fn of(is_read_only: bool) -> Self {
        match is_read_only {
            true => InstanceUse::Replica,
            false => InstanceUse::Leader,
        }
    }
}

impl Engine {
    /// Checks whether statements restricted to `regions` may use an instance now; returns
    /// the reason if not.
    pub fn check_eligibility(
        &self,
        known: &KnownInstance,
        usage: InstanceUse,
        regions: &AllowedRegions,
    ) -> Result<(), IneligibleReason> {
        let facts = InstanceFacts {
            region: self.settings.topology.region_of(&known.record.zone),
            is_evacuated: self.is_evacuated_for(known, usage),
            is_leaving: self.is_leaving_for(known, usage),
        };
        check_instance(regions, &facts)
    }

    /// Checks, right before new work is sent, that the instance still gets any: the work may
    /// have waited in a queue since the instance was chosen.
    pub fn check_drain(&self, record: &InstanceRecord, usage: InstanceUse) -> Result<(), AttemptError> {
        let known = self.directory.instance(&record.name);
        match known.is_some_and(|known| self.is_leaving_for(&known, usage)) {
            true => Err(AttemptError::Link(ExchangeError::PoolRetired)),
            false => Ok(()),
        }
    }

    /// Returns whether the instance's end forbids new work of this use.
    fn is_leaving_for(&self, known: &KnownInstance, usage: InstanceUse) -> bool {
        let is_left_at_once = usage == InstanceUse::Replica && known.is_leaving;
        is_left_at_once || !self.takes_new_work(known)
    }

    /// Returns whether retries are pointless after an attempt failed with `error`, because
    /// no instance may run the statement. If only the zone of the tried instance is being
    /// evacuated, another instance may serve the statement or become leader soon.
    pub fn is_permanently_ineligible(
        &self,
        error: &AttemptError,
        group: &GroupName,
        regions: &AllowedRegions,
    ) -> bool {
        match error.ineligible() {
            None => false,
            Some(IneligibleReason::ZoneEvacuated) => !self.has_eligible_instance(group, regions),
            Some(_) => true,
        }
    }

    /// Returns whether the evacuation of the instance's zone forbids this use.
    fn is_evacuated_for(&self, known: &KnownInstance, usage: InstanceUse) -> bool {
        let Some(since) = self.directory.evacuated_since(&known.record.zone) else {
            return false;
        };
        match usage {
            InstanceUse::Replica => true,
            InstanceUse::Leader => self.is_evacuation_due(since),
        }
    }
}
