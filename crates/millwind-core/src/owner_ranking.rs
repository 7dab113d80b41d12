//! Which nodes own the connections to an instance, and which stand in for them.
//!
//! Every node ranks all nodes alike, from their rendezvous weights and their places, so
//! that nobody is told who owns what. Owners stand near the instance: an owner
//! elsewhere adds the way between regions to every statement. Those that stand in stand
//! outside of the instance's zone, since the zone may be what fails; most of them in its
//! region, where a customer that allows the instance allows them too, and some beyond,
//! for when all of the region's nodes are cut off.

use std::cmp::Reverse;

use crate::data_residency::{AllowedRegions, Topology};
use crate::eligibility::judge_carrier;
use crate::ids::ZoneName;

/// Those of the nodes that stand in for owners which are taken from the instance's
/// region before others: most of them, so that a restricted statement finds some that
/// hold a stand-in's share of connections.
const STAND_INS_OF_REGION: usize = 3;

/// How near a node stands to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Nearness {
    /// In its zone.
    Zone,
    /// In its region.
    Region,
    /// Anywhere else, or in a zone without a region.
    Elsewhere,
}

impl Nearness {
    /// How near a node in one zone stands to an instance in another.
    pub fn between(topology: &Topology, instance: &ZoneName, node: &ZoneName) -> Nearness {
        if instance == node {
            return Nearness::Zone;
        }
        match (topology.region_of(instance), topology.region_of(node)) {
            (Some(own), Some(other)) if own == other => Nearness::Region,
            _ => Nearness::Elsewhere,
        }
    }
}

/// A node that may own connections to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Its rendezvous weight for the instance; the heaviest goes first.
    pub weight: u64,
    /// How near it stands.
    pub nearness: Nearness,
    /// Whether a statement may pass it: it stands in an allowed region, or it is the
    /// node that the caller is connected to.
    pub is_allowed: bool,
}

impl OwnerCandidate {
    /// Whether a statement that allows `regions` may pass a node of `zone`.
    pub fn is_carrier(regions: &AllowedRegions, topology: &Topology, zone: &ZoneName) -> bool {
        judge_carrier(regions, topology.region_of(zone)).is_ok()
    }
}

/// How many nodes are sought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnersSought {
    /// Nodes that own connections.
    pub owners: usize,
    /// Nodes that stand in while no owner is reached.
    pub stand_ins: usize,
}

/// The chosen nodes, as indices among the candidates, first ones first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RankedOwners {
    /// Those that own connections.
    pub owners: Vec<usize>,
    /// Those that stand in for them.
    pub stand_ins: Vec<usize>,
}

/// Chooses among all nodes.
///
/// The owners of an instance are the same for every statement; one that may not pass
/// some of them has fewer. In the place of stand-ins that it may not pass it gets
/// others, nearest first, so that it finds a way as long as any allowed node is up.
pub fn rank_owners(candidates: &[OwnerCandidate], sought: OwnersSought) -> RankedOwners {
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_unstable_by_key(|index| {
        let candidate = &candidates[*index];
        (candidate.nearness, Reverse(candidate.weight))
    });
    let rest = ranked.split_off(ranked.len().min(sought.owners));
    let is_allowed = |index: &usize| candidates[*index].is_allowed;
    let owners: Vec<usize> = ranked.into_iter().filter(is_allowed).collect();
    let allowed: Vec<usize> = rest.into_iter().filter(is_allowed).collect();
    let stand_ins = rank_stand_ins(candidates, &allowed, sought.stand_ins);
    RankedOwners { owners, stand_ins }
}

/// Those that stand in, of `rest` in the order of nearness and weight.
fn rank_stand_ins(candidates: &[OwnerCandidate], rest: &[usize], count: usize) -> Vec<usize> {
    let of = |nearness: Nearness| {
        let matches = move |index: &&usize| candidates[**index].nearness == nearness;
        rest.iter().filter(matches).copied()
    };
    let first_of_region = of(Nearness::Region).take(STAND_INS_OF_REGION);
    let other_of_region = of(Nearness::Region).skip(STAND_INS_OF_REGION);
    first_of_region
        .chain(of(Nearness::Elsewhere))
        .chain(other_of_region)
        .chain(of(Nearness::Zone))
        .take(count)
        .collect()
}
