//! Who owns an instance, as one node sees it.

use std::collections::BTreeSet;

use crate::ids::{InstanceName, NodeName, RegionName, ZoneName};
use crate::placement;

/// A node that may own instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnerCandidate {
    pub(crate) node: NodeName,
    pub(crate) zone: ZoneName,
    pub(crate) region: RegionName,
}

/// The nodes that may own instances, as one node sees them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnerTable {
    pub(crate) candidates: Vec<OwnerCandidate>,
}

impl OwnerTable {
    /// Owner of an instance in `zone` of `region`.
    pub fn owner(&self, instance: &InstanceName, zone: &ZoneName, region: &RegionName) -> Option<&NodeName> {
        self.owner_except(instance, zone, region, &BTreeSet::new())
    }

    /// The same, leaving out nodes that could not be reached just now: the
    /// next in order takes over before the others know.
    pub fn owner_except(
        &self,
        instance: &InstanceName,
        zone: &ZoneName,
        region: &RegionName,
        avoided: &BTreeSet<NodeName>,
    ) -> Option<&NodeName> {
        let candidates = self
            .candidates
            .iter()
            .filter(|candidate| !avoided.contains(&candidate.node))
            .map(|candidate| placement::Candidate {
                node: &candidate.node,
                zone: &candidate.zone,
                region: &candidate.region,
            });
        placement::owner(instance, zone, region, candidates)
    }
}
