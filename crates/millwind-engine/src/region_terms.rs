//! Tells operators of configured regions under which nothing, or less than meant, runs.

use std::collections::BTreeSet;

use log::warn;
use millwind_core::data_residency::{AllowedRegions, Topology};
use millwind_core::ids::RegionName;

use crate::catalog::ConfigSnapshot;
use crate::node::Engine;

impl Engine {
    /// One line for each fault of the configuration in force: regions that no zone has,
    /// and databases that some tenant can't use since their regions don't overlap.
    pub(crate) fn tell_of_regions(&self) {
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

/// Regions that terms name and that no zone lies in: statements that allow only these
/// are refused.
fn unknown_regions(config: &ConfigSnapshot, topology: &Topology) -> BTreeSet<RegionName> {
    let named = config.allowed_regions().filter_map(|regions| match regions {
        AllowedRegions::Any => None,
        AllowedRegions::Only(names) => Some(names),
    });
    let names = named.flatten().filter(|region| !topology.has_region(region));
    names.cloned().collect()
}

/// How many pairs of a database and a tenant allow no region in common, with the names
/// of the first.
fn pairs_without_overlap(config: &ConfigSnapshot) -> (usize, Option<(String, String)>) {
    let mut pairs = 0;
    let mut example = None;
    let tenants = config.tenants.iter().flat_map(|tenants| &tenants.allowed_regions);
    for (tenant, of_tenant) in tenants {
        for (name, database) in &config.databases {
            if database.allowed_regions.both(of_tenant) != AllowedRegions::Only(BTreeSet::new()) {
                continue;
            }
            pairs += 1;
            let names = (name.to_string(), tenant.to_string());
            example = Some(example.map_or(names.clone(), |held: (String, String)| held.min(names)));
        }
    }
    (pairs, example)
}
