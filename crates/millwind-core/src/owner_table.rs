//! Looks up the owner of an instance in one node's view of the membership.

use std::collections::BTreeSet;

use crate::ids::{InstanceName, NodeName, RegionName, ZoneName};
use crate::placement;

/// A node that may own instances, with its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnerCandidate {
    pub(crate) node: NodeName,
    pub(crate) zone: ZoneName,
    pub(crate) region: RegionName,
}

/// The nodes that may own instances, according to one node's view of the membership.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnerTable {
    pub(crate) candidates: Vec<OwnerCandidate>,
}

impl OwnerTable {
    /// Returns the owner of an instance in `zone` of `region`, or `None` if there are no
    /// candidates.
    pub fn owner(&self, instance: &InstanceName, zone: &ZoneName, region: &RegionName) -> Option<&NodeName> {
        self.owner_excluding(instance, zone, region, &BTreeSet::new())
    }

    /// Returns the owner like [`OwnerTable::owner`], but skips the nodes in `excluded`.
    /// Used for nodes that were just found unreachable, before the membership reflects the
    /// failure.
    pub fn owner_excluding(
        &self,
        instance: &InstanceName,
        zone: &ZoneName,
        region: &RegionName,
        excluded: &BTreeSet<NodeName>,
    ) -> Option<&NodeName> {
        let candidates = self
            .candidates
            .iter()
            .filter(|candidate| !excluded.contains(&candidate.node))
            .map(|candidate| placement::Candidate {
                node: &candidate.node,
                zone: &candidate.zone,
                region: &candidate.region,
            });
        placement::owner(instance, zone, region, candidates)
    }
}
