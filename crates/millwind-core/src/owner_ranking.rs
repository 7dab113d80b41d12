//! Selects the nodes that own the connections to an instance, and the backup owners that
//! are used while no owner is reachable.
//!
//! Every node computes the same ranking from rendezvous weights and node locations, so
//! ownership needs no coordination. Owners are the nodes nearest to the instance, because a
//! remote owner adds inter-region latency to every statement. Backup owners are preferably
//! located outside the instance's zone, because the whole zone may fail. Most of them are
//! in the instance's region, which a customer that allows the instance also allows; some
//! are in other regions, in case all nodes of the region are unreachable.

use std::cmp::Reverse;

use crate::data_residency::{AllowedRegions, Topology};
use crate::eligibility::check_forwarding;
use crate::ids::ZoneName;

/// Number of backup owners that are taken from the instance's region before any from other
/// regions. They are the majority, so that statements restricted to the region can use
/// nodes that hold a backup owner's share of connections.
const REGIONAL_BACKUP_OWNERS: usize = 3;

/// Location of a node relative to an instance, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// The node is in the instance's zone.
    Zone,
    /// The node is in another zone of the instance's region.
    Region,
    /// The node is in another region, or one of the two zones has no known region.
    Elsewhere,
}

impl Proximity {
    /// Returns the location of a node in zone `node` relative to an instance in zone
    /// `instance`.
    pub fn between(topology: &Topology, instance: &ZoneName, node: &ZoneName) -> Proximity {
        if instance == node {
            return Proximity::Zone;
        }
        match (topology.region_of(instance), topology.region_of(node)) {
            (Some(own), Some(other)) if own == other => Proximity::Region,
            _ => Proximity::Elsewhere,
        }
    }
}

/// A node that may own connections to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// The node's rendezvous weight for the instance; higher weights are preferred.
    pub weight: u64,
    /// The node's location relative to the instance.
    pub proximity: Proximity,
    /// Whether the statement may be forwarded through this node: the node is in an allowed
    /// region, or is the node that the client is connected to.
    pub is_allowed: bool,
}

impl OwnerCandidate {
    /// Returns whether a statement restricted to `regions` may be forwarded through a node
    /// in `zone`.
    pub fn may_forward(regions: &AllowedRegions, topology: &Topology, zone: &ZoneName) -> bool {
        check_forwarding(regions, topology.region_of(zone)).is_ok()
    }
}

/// The number of nodes to select.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerCounts {
    /// Number of owners.
    pub owners: usize,
    /// Number of backup owners.
    pub backup_owners: usize,
}

/// The selected nodes, as indices into the candidates, in order of preference.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RankedOwners {
    /// Owners of connections.
    pub owners: Vec<usize>,
    /// Backup owners, used while no owner is reachable.
    pub backup_owners: Vec<usize>,
}

/// Selects the owners and backup owners of an instance from all nodes.
///
/// The owners are the same for every statement; a statement that may not be forwarded
/// through some of them has fewer. Backup owners that are not allowed are replaced by the
/// next allowed node in order of preference, so that a route exists as long as any allowed
/// node is up.
pub fn rank_owners(candidates: &[OwnerCandidate], counts: OwnerCounts) -> RankedOwners {
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_unstable_by_key(|index| {
        let candidate = &candidates[*index];
        (candidate.proximity, Reverse(candidate.weight))
    });
    let remaining = ranked.split_off(ranked.len().min(counts.owners));
    let is_allowed = |index: &usize| candidates[*index].is_allowed;
    let owners: Vec<usize> = ranked.into_iter().filter(is_allowed).collect();
    let allowed: Vec<usize> = remaining.into_iter().filter(is_allowed).collect();
    let backup_owners = rank_backup_owners(candidates, &allowed, counts.backup_owners);
    RankedOwners {
        owners,
        backup_owners,
    }
}

/// Selects up to `count` backup owners from `remaining`, which is sorted by proximity and
/// weight.
fn rank_backup_owners(candidates: &[OwnerCandidate], remaining: &[usize], count: usize) -> Vec<usize> {
    let with_proximity = |proximity: Proximity| {
        let matches = move |index: &&usize| candidates[**index].proximity == proximity;
        remaining.iter().filter(matches).copied()
    };
    let preferred_regional = with_proximity(Proximity::Region).take(REGIONAL_BACKUP_OWNERS);
    let other_regional = with_proximity(Proximity::Region).skip(REGIONAL_BACKUP_OWNERS);
    preferred_regional
        .chain(with_proximity(Proximity::Elsewhere))
        .chain(other_regional)
        .chain(with_proximity(Proximity::Zone))
        .take(count)
        .collect()
}
