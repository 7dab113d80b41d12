//! Decides whether to move a group's leader to another region because statements that need
//! the leader may not run in its current region.
//!
//! A planned handover interrupts writes to all of the group's databases. The leader
//! therefore moves only if it can serve clearly more demand afterwards, and does not move
//! back for a while. Otherwise two databases with disjoint allowed regions could move the
//! leader back and forth forever, and each move would refuse statements of both.

use std::collections::{BTreeMap, BTreeSet};

use crate::data_residency::AllowedRegions;
use crate::ids::RegionName;

/// Minimum time between any change of the leader and a relocation, in milliseconds. A
/// handover takes about a second, so relocations cost at most a few percent of the time.
pub const RELOCATION_COOLDOWN_MS: u64 = 30_000;
/// Minimum time between two attempts to relocate the leader, in milliseconds. Lagging
/// replicas have usually caught up by then.
pub const RETRY_COOLDOWN_MS: u64 = 10_000;
/// How long the leader is not moved back to a region that it was moved out of, in
/// milliseconds. The restriction ends early if the allowed regions change.
pub const RETURN_COOLDOWN_MS: u64 = 600_000;
/// Minimum weight served after a move, in percent of the weight served before, so that
/// demand that fluctuates around an even split does not move the leader.
const MIN_WEIGHT_AFTER_PERCENT: u64 = 150;
/// Minimum weight that a move must gain within the window over which demand is counted, so
/// that a few isolated statements do not move the leader.
const MIN_WEIGHT_GAIN: u64 = 5;
/// Weight of a statement of priority 0. Each following priority weighs one less, but at
/// least 1.
const MAX_WEIGHT: u64 = 4;

/// Returns the weight of one statement of this priority.
pub fn statement_weight(priority: u8) -> u64 {
    MAX_WEIGHT.saturating_sub(u64::from(priority)).max(1)
}

/// Total weight of the statements that need a group's leader, by allowed regions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaderDemand {
    by_regions: BTreeMap<AllowedRegions, u64>,
}

impl LeaderDemand {
    /// Adds `weight` for statements that may run in `regions`.
    pub fn add(&mut self, regions: &AllowedRegions, weight: u64) {
        match self.by_regions.get_mut(regions) {
            Some(total) => *total = total.saturating_add(weight),
            None => {
                self.by_regions.insert(regions.clone(), weight);
            }
        }
    }

    /// Adds all demand of `other`.
    pub fn merge(&mut self, other: &LeaderDemand) {
        for (regions, weight) in other.weights_by_regions() {
            self.add(regions, weight);
        }
    }

    /// Returns whether no statement needs the leader.
    pub fn is_empty(&self) -> bool {
        self.by_regions.is_empty()
    }

    /// Iterates over the sets of allowed regions and their total weights.
    pub fn weights_by_regions(&self) -> impl Iterator<Item = (&AllowedRegions, u64)> {
        self.by_regions.iter().map(|(regions, weight)| (regions, *weight))
    }

    /// Returns the total weight that a leader in `region` serves.
    pub fn served_in(&self, region: Option<&RegionName>) -> u64 {
        let served = self
            .weights_by_regions()
            .filter(|(regions, _)| regions.allows(region));
        served.fold(0, |sum, (_, weight)| sum.saturating_add(weight))
    }
}

/// State of a group's leadership on which the relocation decision is based.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadershipState<'a> {
    /// The leader's region, or `None` if its zone is not configured.
    pub region: Option<&'a RegionName>,
    /// Time since the leader was last seen to change, in milliseconds.
    pub unchanged_ms: u64,
    /// Time since the last attempt to relocate the leader, in milliseconds.
    pub since_attempt_ms: Option<u64>,
    /// Regions of the replicas that may take over.
    pub candidates: &'a BTreeSet<RegionName>,
    /// Regions that the leader was recently moved out of, under the current allowed regions.
    pub left_regions: &'a BTreeSet<RegionName>,
}

/// A decision to move the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relocation {
    /// The target region.
    pub region: RegionName,
    /// Weight that the leader serves in its current region.
    pub weight_before: u64,
    /// Weight that the leader would serve in the target region.
    pub weight_after: u64,
}

/// Returns where to move the leader, or `None` if the leader stays.
pub fn decide_relocation(demand: &LeaderDemand, state: &LeadershipState<'_>) -> Option<Relocation> {
    let is_in_cooldown = state.unchanged_ms < RELOCATION_COOLDOWN_MS
        || state
            .since_attempt_ms
            .is_some_and(|attempt_ms| attempt_ms < RETRY_COOLDOWN_MS);
    if is_in_cooldown {
        return None;
    }
    let weight_before = demand.served_in(state.region);
    let targets = state
        .candidates
        .iter()
        .filter(|region| !state.left_regions.contains(*region));
    let weights = targets.map(|region| (demand.served_in(Some(region)), region));
    let (weight_after, region) = weights.max()?;
    justifies_move(weight_before, weight_after).then(|| Relocation {
        region: region.clone(),
        weight_before,
        weight_after,
    })
}

fn justifies_move(before: u64, after: u64) -> bool {
    let gain = after.saturating_sub(before);
    let min_after = before.saturating_mul(MIN_WEIGHT_AFTER_PERCENT) / 100;
    gain >= MIN_WEIGHT_GAIN && after >= min_after
}
