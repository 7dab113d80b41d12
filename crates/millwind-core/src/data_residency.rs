//! Data residency: the regions in which a customer's statements may run and through which
//! they may be forwarded.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::ids::{RegionName, ZoneName};

/// The region of each zone in the deployment's settings.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Topology {
    regions: BTreeMap<ZoneName, RegionName>,
}

impl Topology {
    /// Creates a topology from pairs of a zone and its region.
    pub fn new(regions: impl IntoIterator<Item = (ZoneName, RegionName)>) -> Self {
        Topology {
            regions: regions.into_iter().collect(),
        }
    }

    /// Returns the region of `zone`; `None` if the zone is not in the settings.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Whether any zone belongs to `region`.
    pub fn has_region(&self, region: &RegionName) -> bool {
        self.regions.values().any(|known| known == region)
    }

    /// Returns the number of zones in the settings.
    pub fn zone_count(&self) -> usize {
        self.regions.len()
    }

    /// Returns all zones with their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, &RegionName)> {
        self.regions.iter()
    }
}

/// The regions in which a statement may run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum AllowedRegions {
    /// Every region is allowed.
    #[default]
    Any,
    /// Only these regions are allowed. The set is empty if the restrictions of the database
    /// and the tenant do not overlap.
    Only(BTreeSet<RegionName>),
}

impl AllowedRegions {
    /// Converts a configured list of regions; an empty list means that every region is
    /// allowed.
    pub fn from_list(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<_> = regions.into_iter().collect();
        match regions.is_empty() {
            true => AllowedRegions::Any,
            false => AllowedRegions::Only(regions),
        }
    }

    /// Returns the regions that both `self` and `other` allow, for example a database and a
    /// tenant.
    pub fn intersection(&self, other: &AllowedRegions) -> AllowedRegions {
        match (self, other) {
            (AllowedRegions::Any, other) => other.clone(),
            (own, AllowedRegions::Any) => own.clone(),
            (AllowedRegions::Only(own), AllowedRegions::Only(other)) => {
                AllowedRegions::Only(own.intersection(other).cloned().collect())
            }
        }
    }

    /// Whether every region is allowed.
    pub fn is_any(&self) -> bool {
        *self == AllowedRegions::Any
    }

    /// Whether `region` is allowed. An unknown region (`None`) is allowed only if every region
    /// is.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match self {
            AllowedRegions::Any => true,
            AllowedRegions::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AllowedRegions::Any => formatter.write_str("any"),
            AllowedRegions::Only(regions) if regions.is_empty() => formatter.write_str("none"),
            AllowedRegions::Only(regions) => {
                let names: Vec<_> = regions.iter().map(RegionName::as_str).collect();
                formatter.write_str(&names.join(","))
            }
        }
    }
}
