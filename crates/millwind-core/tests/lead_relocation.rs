//! When the lead of a group moves to another region.

use std::collections::BTreeSet;

use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::RegionName;
use millwind_core::lead_relocation::{
    LEAD_PAUSE_MS, LeadFacts, LeaderDemand, RETRY_PAUSE_MS, Relocation, judge_relocation, worth_of,
};
use proptest::prelude::*;

const REGIONS: [&str; 3] = ["north", "south", "east"];

fn region(name: &str) -> RegionName {
    RegionName::from(name)
}

fn regions(names: &[&str]) -> BTreeSet<RegionName> {
    names.iter().map(|name| region(name)).collect()
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(regions(names))
}

fn demand(parts: &[(&[&str], u64)]) -> LeaderDemand {
    let mut demand = LeaderDemand::default();
    for (names, worth) in parts {
        demand.add(&only(names), *worth);
    }
    demand
}

/// The judgement where the lead has rested in the north for long.
fn judge(demand: &LeaderDemand, change: impl FnOnce(&mut LeadFacts<'_>)) -> Option<Relocation> {
    let (north, candidates, left) = (region("north"), regions(&["south", "east"]), regions(&[]));
    let mut facts = LeadFacts {
        region: Some(&north),
        unchanged_ms: LEAD_PAUSE_MS,
        tried_ms: None,
        candidates: &candidates,
        left: &left,
    };
    change(&mut facts);
    judge_relocation(demand, &facts)
}

#[test]
fn a_leader_that_nobody_may_use_moves_where_it_serves_most() {
    let demand = demand(&[(&["south"], 40), (&["east"], 10), (&["south", "east"], 5)]);
    let moved = judge(&demand, |_| ()).unwrap();
    assert_eq!(moved.region, region("south"));
    assert_eq!((moved.worth_before, moved.worth_after), (0, 45));
}

#[test]
fn a_leader_that_serves_as_much_stays() {
    let demand = demand(&[(&["north"], 40), (&["south"], 50)]);
    assert_eq!(judge(&demand, |_| ()), None);
    assert_eq!(judge(&LeaderDemand::default(), |_| ()), None);
}

#[test]
fn who_allows_all_regions_moves_nothing() {
    let mut demand = LeaderDemand::default();
    demand.add(&AllowedRegions::Any, 1_000);
    assert_eq!(judge(&demand, |_| ()), None);
}

#[test]
fn a_few_statements_are_no_reason() {
    assert_eq!(judge(&demand(&[(&["south"], 4)]), |_| ()), None);
    assert!(judge(&demand(&[(&["south"], 5)]), |_| ()).is_some());
}

#[test]
fn the_lead_rests_after_each_change_and_each_try() {
    let demand = demand(&[(&["south"], 40)]);
    let early = judge(&demand, |facts| facts.unchanged_ms = LEAD_PAUSE_MS - 1);
    assert_eq!(early, None);
    let tried = judge(&demand, |facts| facts.tried_ms = Some(RETRY_PAUSE_MS - 1));
    assert_eq!(tried, None);
    assert!(judge(&demand, |facts| facts.tried_ms = Some(RETRY_PAUSE_MS)).is_some());
}

#[test]
fn a_region_without_a_replica_is_no_choice() {
    let demand = demand(&[(&["west"], 40), (&["east"], 6)]);
    assert_eq!(judge(&demand, |_| ()).unwrap().region, region("east"));
}

#[test]
fn worth_falls_with_the_priority_and_never_to_nothing() {
    let worths: Vec<_> = (0..6).map(worth_of).collect();
    assert_eq!(worths, [4, 3, 2, 1, 1, 1]);
}

#[test]
fn two_databases_with_disjoint_regions_move_the_lead_once() {
    let mut left = BTreeSet::new();
    let mut lead = "north";
    let mut moves = 0;
    // The demand sways far to each side in turn.
    for (north, south) in [(0, 50), (50, 0), (0, 50), (50, 0)] {
        let demand = demand(&[(&["north"], north), (&["south"], south)]);
        let (present, candidates) = (region(lead), regions(&["north", "south"]));
        let facts = LeadFacts {
            region: Some(&present),
            unchanged_ms: LEAD_PAUSE_MS,
            tried_ms: None,
            candidates: &candidates,
            left: &left,
        };
        if let Some(moved) = judge_relocation(&demand, &facts) {
            left.insert(present);
            lead = REGIONS.iter().find(|name| moved.region == region(name)).unwrap();
            moves += 1;
        }
    }
    assert_eq!((moves, lead), (1, "south"));
}

proptest! {
    /// Whatever the demand, a move serves more than before, in a region of a replica,
    /// and no such region would serve more.
    #[test]
    fn a_move_serves_more(
        parts in proptest::collection::vec((proptest::sample::subsequence(&REGIONS[..], 0..4), 0_u64..100), 0..6),
    ) {
        let mut demand = LeaderDemand::default();
        for (names, worth) in &parts {
            demand.add(&only(names), *worth);
        }
        if let Some(moved) = judge(&demand, |_| ()) {
            prop_assert!(moved.worth_after > moved.worth_before);
            prop_assert_eq!(moved.worth_after, demand.served_in(Some(&moved.region)));
            prop_assert!(moved.worth_after >= demand.served_in(Some(&region("south"))));
            prop_assert!(moved.worth_after >= demand.served_in(Some(&region("east"))));
            prop_assert_eq!(moved.worth_before, demand.served_in(Some(&region("north"))));
        }
    }
}
