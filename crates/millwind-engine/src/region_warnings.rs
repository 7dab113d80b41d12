//! Warns operators about configured regions that have no zone, and about databases and
//! tenants whose allowed regions do not overlap.

use std::collections::BTreeSet;

use log::warn;
use millwind_core::data_residency::{AllowedRegions, Topology};
use millwind_core::ids::RegionName;

use crate::catalog::ConfigSnapshot;
use crate::node::Engine;

impl Engine {
    /// Logs a warning for each region in the active configuration that has no zone, and
    /// a single warning for all pairs of a database and a tenant whose allowed regions do
    /// not overlap.
    pub(crate) fn warn_about_regions(&self) {
        let Some(config) = self.directory.config() else {
            return;
        };
        for region in unknown_regions(&config, &self.settings.topology) {
            warn!(
                "event=region_unknown region={region} config_version={}",
                config.version
            );
        }
        let (pairs, example) = pairs_without_overlap(&config);
        if let Some((database, tenant)) = example {
            warn!(
                "event=regions_without_overlap pairs={pairs} database={database} tenant={tenant} config_version={}",
                config.version
            );
        }
    }
}

/// Returns the configured regions that have no zone. Statements that allow only such
/// regions are refused.
fn unknown_regions(config: &ConfigSnapshot, topology: &Topology) -> BTreeSet<RegionName> {
    let named = config.allowed_regions().filter_map(|regions| match regions {
        AllowedRegions::Any => None,
        AllowedRegions::Only(names) => Some(names),
    });
    let names = named.flatten().filter(|region| !topology.has_region(region));
    names.cloned().collect()
}

/// Returns the number of database and tenant pairs whose allowed regions do not overlap,
/// and the names of the alphabetically first such pair.
fn pairs_without_overlap(config: &ConfigSnapshot) -> (usize, Option<(String, String)>) {
    let mut pairs = 0;
    let mut example = None;
    let tenants = config.tenants.iter().flat_map(|tenants| &tenants.allowed_regions);
    for (tenant, tenant_regions) in tenants {
        for (name, database) in &config.databases {
            if database.allowed_regions.intersection(tenant_regions) != AllowedRegions::Only(BTreeSet::new())
            {
                continue;
            }
            pairs += 1;
            let names = (name.to_string(), tenant.to_string());
            example = Some(example.map_or(names.clone(), |first: (String, String)| first.min(names)));
        }
    }
    (pairs, example)
}
