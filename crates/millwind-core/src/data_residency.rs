//! Data residency: the regions in which a customer's statements may run, and
//! through which nodes their text may travel.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::ids::{RegionName, ZoneName};

/// Which region each zone lies in, as the deployment's settings tell.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Topology {
    regions: BTreeMap<ZoneName, RegionName>,
}

impl Topology {
    /// The regions of these zones.
    pub fn new(regions: impl IntoIterator<Item = (ZoneName, RegionName)>) -> Self {
        Topology {
            regions: regions.into_iter().collect(),
        }
    }

    /// The region of a zone; none for a zone that the settings don't name.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Whether some zone lies in `region`.
    pub fn has_region(&self, region: &RegionName) -> bool {
        self.regions.values().any(|known| known == region)
    }

    /// How many zones the settings name.
    pub fn zone_count(&self) -> usize {
        self.regions.len()
    }

    /// All zones with their regions.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, &RegionName)> {
        self.regions.iter()
    }
}

/// The regions in which a statement may run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum AllowedRegions {
    /// Every region.
    #[default]
    Any,
    /// These alone; none at all where the terms of database and tenant don't
    /// overlap.
    Only(BTreeSet<RegionName>),
}

impl AllowedRegions {
    /// The regions of a configured list; an empty list, as one that is missing,
    /// restricts nothing.
    pub fn from_list(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<_> = regions.into_iter().collect();
        match regions.is_empty() {
            true => AllowedRegions::Any,
            false => AllowedRegions::Only(regions),
        }
    }

    /// What both allow: the terms of a database and those of a tenant bind
    /// together.
    pub fn both(&self, other: &AllowedRegions) -> AllowedRegions {
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

    /// Whether `region` is allowed; one that is not known is allowed only where
    /// all are.
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
