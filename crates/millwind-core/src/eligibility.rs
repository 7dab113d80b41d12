//! Eligibility of instances to run a statement and of nodes to forward it. Reads, writes,
//! forwarding, failover and retries share these rules.
//!
//! Conditions that only affect preference, such as load, warm-up or a suspected failure,
//! are not part of eligibility: they rank the eligible instances.

use crate::data_residency::AllowedRegions;
use crate::ids::RegionName;

/// The properties of an instance that determine its eligibility.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceFacts<'a> {
    /// Region of the instance; `None` if its zone is not in the settings.
    pub region: Option<&'a RegionName>,
    /// The instance's zone is being evacuated.
    pub is_evacuated: bool,
    /// The instance announced its shutdown, or its record has been missing for long.
    pub is_leaving: bool,
}

/// Why an instance or a forwarding node is not eligible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum IneligibleReason {
    /// The customer does not allow the region.
    RegionNotAllowed,
    /// The instance's zone is being evacuated.
    ZoneEvacuated,
    /// The instance is shutting down.
    Leaving,
}

impl IneligibleReason {
    /// Name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            IneligibleReason::RegionNotAllowed => "region_not_allowed",
            IneligibleReason::ZoneEvacuated => "zone_evacuated",
            IneligibleReason::Leaving => "leaving",
        }
    }
}

/// Checks whether a statement restricted to `regions` may run on `instance`; fails with
/// the first reason that excludes the instance.
pub fn check_instance(
    regions: &AllowedRegions,
    instance: &InstanceFacts<'_>,
) -> Result<(), IneligibleReason> {
    if !regions.allows(instance.region) {
        return Err(IneligibleReason::RegionNotAllowed);
    }
    if instance.is_evacuated {
        return Err(IneligibleReason::ZoneEvacuated);
    }
    if instance.is_leaving {
        return Err(IneligibleReason::Leaving);
    }
    Ok(())
}

/// Checks whether a statement restricted to `regions` may be forwarded to a node in
/// `region`.
///
/// The node that accepts a client connection may run in any region and cannot tell where
/// the client is, so it forwards statements only to nodes in allowed regions.
pub fn check_forwarding(
    regions: &AllowedRegions,
    region: Option<&RegionName>,
) -> Result<(), IneligibleReason> {
    match regions.allows(region) {
        true => Ok(()),
        false => Err(IneligibleReason::RegionNotAllowed),
    }
}
