//! Which instances a statement may use, and which nodes may pass it on: one
//! decision for reads, writes, forwarding, failover and second tries.
//!
//! What only makes an instance slower or scarce (load, warm-up, doubts) is no
//! matter of eligibility: that orders the instances that may be used.

use crate::data_residency::AllowedRegions;
use crate::ids::RegionName;

/// What decides whether an instance may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceFacts<'a> {
    /// Region it runs in; none where its zone is not in the settings.
    pub region: Option<&'a RegionName>,
    /// Its zone is being evacuated.
    pub is_evacuated: bool,
    /// It announced its end, or its record has been gone for long.
    pub is_leaving: bool,
}

/// Why an instance, or a node on the way, is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ineligible {
    /// It runs in a region that the customer does not allow.
    RegionNotAllowed,
    /// Its zone is being evacuated.
    ZoneEvacuated,
    /// It will end.
    Leaving,
}

impl Ineligible {
    /// The name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Ineligible::RegionNotAllowed => "region_not_allowed",
            Ineligible::ZoneEvacuated => "zone_evacuated",
            Ineligible::Leaving => "leaving",
        }
    }
}

/// Whether a statement whose customer allows `regions` may run on an instance.
pub fn judge_instance(regions: &AllowedRegions, instance: &InstanceFacts<'_>) -> Result<(), Ineligible> {
    if !regions.allows(instance.region) {
        return Err(Ineligible::RegionNotAllowed);
    }
    if instance.is_evacuated {
        return Err(Ineligible::ZoneEvacuated);
    }
    if instance.is_leaving {
        return Err(Ineligible::Leaving);
    }
    Ok(())
}

/// Whether the text of such a statement may travel to another node, which runs in
/// `region`. The node that the caller is connected to may stand in any region; where
/// the caller itself is, that node can't tell, so only allowed regions are taken.
pub fn judge_carrier(regions: &AllowedRegions, region: Option<&RegionName>) -> Result<(), Ineligible> {
    match regions.allows(region) {
        true => Ok(()),
        false => Err(Ineligible::RegionNotAllowed),
    }
}
