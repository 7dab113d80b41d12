//! Whether a statement may use an instance now, from what this node believes.

use millwind_core::data_residency::AllowedRegions;
use millwind_core::eligibility::{Ineligible, InstanceFacts, judge_instance};
use millwind_core::ids::GroupName;

use crate::directory::Known;
use crate::execution::AttemptError;
use crate::node::Engine;

/// What a statement uses an instance as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceUse {
    /// Any instance that holds what the read needs.
    Replica,
    /// The group's leader. One that will end, or whose zone is being evacuated, still
    /// serves for a while, until another takes over.
    Leader,
}

impl Engine {
    /// Whether statements of a customer that allows `regions` may use an instance now.
    pub fn judge_instance(
        &self,
        known: &Known,
        usage: InstanceUse,
        regions: &AllowedRegions,
    ) -> Result<(), Ineligible> {
        let facts = InstanceFacts {
            region: self.settings.topology.region_of(&known.record.zone),
            is_evacuated: self.is_evacuated_for(known, usage),
            is_leaving: match usage {
                InstanceUse::Replica => known.is_leaving,
                InstanceUse::Leader => !self.takes_new_work(known),
            },
        };
        judge_instance(regions, &facts)
    }

    /// Whether a statement whose try failed so can run nowhere, so that trying on is in
    /// vain. Where only the zone of the instance that was tried is being evacuated,
    /// another instance may serve, or lead soon.
    pub fn is_in_vain(&self, error: &AttemptError, group: &GroupName, regions: &AllowedRegions) -> bool {
        match error.ineligible() {
            None => false,
            Some(Ineligible::ZoneEvacuated) => !self.has_instance_elsewhere(group, regions),
            Some(_) => true,
        }
    }

    /// Whether the evacuation of an instance's zone forbids this use of it.
    fn is_evacuated_for(&self, known: &Known, usage: InstanceUse) -> bool {
        let Some(since) = self.directory.evacuated_since(&known.record.zone) else {
            return false;
        };
        match usage {
            InstanceUse::Replica => true,
            InstanceUse::Leader => self.is_evacuation_due(since),
        }
    }
}
