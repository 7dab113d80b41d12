//! The region restrictions that apply to the leader of each group.

use std::collections::{BTreeSet, HashMap};

use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::{GroupName, RegionName};

use crate::catalog::ConfigSnapshot;

/// Region restrictions of the databases and tenants of each group, indexed by group for
/// one version of the configuration.
#[derive(Debug)]
pub struct LeaderRegionRules<'a> {
    /// Version of the configuration that the restrictions come from.
    pub config_version: u64,
    /// Restrictions of the tenants. They apply to all groups, since any tenant may use any
    /// database.
    tenant_regions: BTreeSet<&'a AllowedRegions>,
    group_regions: HashMap<&'a GroupName, BTreeSet<&'a AllowedRegions>>,
}

impl<'a> LeaderRegionRules<'a> {
    /// Collects the region restrictions in `config`.
    pub fn of_config(config: &'a ConfigSnapshot) -> Self {
        let mut group_regions: HashMap<_, BTreeSet<_>> = HashMap::new();
        for database in config.databases.values() {
            let entry = group_regions.entry(&database.settings.group).or_default();
            entry.insert(&database.allowed_regions);
        }
        let tenants = config.tenants.iter();
        LeaderRegionRules {
            config_version: config.version,
            tenant_regions: tenants
                .flat_map(|tenants| tenants.allowed_regions.values())
                .collect(),
            group_regions,
        }
    }

    /// Returns the region restrictions that apply to `group`.
    pub fn of(&self, group: &GroupName) -> impl Iterator<Item = &'a AllowedRegions> {
        let group_regions = self.group_regions.get(group).into_iter().flatten();
        group_regions.chain(&self.tenant_regions).copied()
    }

    /// Returns whether any restriction excludes a leader of `group` in `region`.
    pub fn exclude_leader_in(&self, group: &GroupName, region: Option<&RegionName>) -> bool {
        self.of(group).any(|regions| !regions.allows(region))
    }
}
