//! Whether the lead of a group is moved to another region, since statements that need
//! the leader may not run where it stands.
//!
//! A planned hand-over costs a moment without writes, for all of the group's databases.
//! So the lead moves only where it serves clearly more afterwards, once for each cause,
//! and not back: two databases that allow disjoint regions would else take it from each
//! other for ever, and each move would refuse the statements of both.

use std::collections::{BTreeMap, BTreeSet};

use crate::data_residency::AllowedRegions;
use crate::ids::RegionName;

/// The lead stays for so long after it changed, for whatever reason, in milliseconds:
/// many times what a hand-over takes (about a second), so that what it costs stays a
/// few percent of what it brings.
pub const LEAD_PAUSE_MS: u64 = 30_000;
/// A hand-over that did not come about is tried again after this time, in
/// milliseconds: replicas that lag have usually caught up by then.
pub const RETRY_PAUSE_MS: u64 = 10_000;
/// A region that the lead was moved out of is not moved back to for this time, in
/// milliseconds, unless other terms are in force.
pub const RETURN_PAUSE_MS: u64 = 600_000;
/// What is served afterwards, in percent of what is served before, at least: demand that
/// sways around an even split must not move the lead.
const LEAST_GAIN_PERCENT: u64 = 150;
/// What a move brings at least, as worth in the window that the demand was counted over:
/// a few statements that were tried once are no reason.
const LEAST_GAIN: u64 = 5;
/// Worth of one statement of the first priority; each later one is worth one less, but
/// never nothing.
const MOST_WORTH: u64 = 4;

/// Worth of one statement.
pub fn worth_of(priority: u8) -> u64 {
    MOST_WORTH.saturating_sub(u64::from(priority)).max(1)
}

/// What needs a group's leader, as worth by the regions that it may run in.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaderDemand {
    by_terms: BTreeMap<AllowedRegions, u64>,
}

impl LeaderDemand {
    /// Adds what statements under `regions` are worth.
    pub fn add(&mut self, regions: &AllowedRegions, worth: u64) {
        match self.by_terms.get_mut(regions) {
            Some(held) => *held = held.saturating_add(worth),
            None => {
                self.by_terms.insert(regions.clone(), worth);
            }
        }
    }

    /// Adds all of `other`.
    pub fn merge(&mut self, other: &LeaderDemand) {
        for (regions, worth) in other.terms() {
            self.add(regions, worth);
        }
    }

    /// Whether nothing needs the leader.
    pub fn is_empty(&self) -> bool {
        self.by_terms.is_empty()
    }

    /// The terms with what they are worth.
    pub fn terms(&self) -> impl Iterator<Item = (&AllowedRegions, u64)> {
        self.by_terms.iter().map(|(regions, worth)| (regions, *worth))
    }

    /// What a leader in `region` serves of it.
    pub fn served_in(&self, region: Option<&RegionName>) -> u64 {
        let served = self.terms().filter(|(regions, _)| regions.allows(region));
        served.fold(0, |sum, (_, worth)| sum.saturating_add(worth))
    }
}

/// What is known of a group's lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadFacts<'a> {
    /// Region of the leader; none where its zone is not in the settings.
    pub region: Option<&'a RegionName>,
    /// Time since the lead was last seen to change, in milliseconds.
    pub unchanged_ms: u64,
    /// Time since a hand-over was last tried for its regions, in milliseconds.
    pub tried_ms: Option<u64>,
    /// Regions of the replicas that may take over.
    pub candidates: &'a BTreeSet<RegionName>,
    /// Regions that the lead was moved out of lately under the present terms.
    pub left: &'a BTreeSet<RegionName>,
}

/// Where the lead should go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relocation {
    /// The region.
    pub region: RegionName,
    /// Worth that the leader serves where it stands.
    pub worth_before: u64,
    /// Worth that it would serve there.
    pub worth_after: u64,
}

/// Judges whether the lead moves, and where to.
pub fn judge_relocation(demand: &LeaderDemand, lead: &LeadFacts<'_>) -> Option<Relocation> {
    let is_resting =
        lead.unchanged_ms < LEAD_PAUSE_MS || lead.tried_ms.is_some_and(|tried_ms| tried_ms < RETRY_PAUSE_MS);
    if is_resting {
        return None;
    }
    let worth_before = demand.served_in(lead.region);
    let others = lead
        .candidates
        .iter()
        .filter(|region| !lead.left.contains(*region));
    let worths = others.map(|region| (demand.served_in(Some(region)), region));
    let (worth_after, region) = worths.max()?;
    is_worth_it(worth_before, worth_after).then(|| Relocation {
        region: region.clone(),
        worth_before,
        worth_after,
    })
}

fn is_worth_it(before: u64, after: u64) -> bool {
    let gain = after.saturating_sub(before);
    let least_after = before.saturating_mul(LEAST_GAIN_PERCENT) / 100;
    gain >= LEAST_GAIN && after >= least_after
}
