//! Tests of the decision to move a group's leader to another region.

use std::collections::BTreeSet;

use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::RegionName;
use millwind_core::lead_relocation::{
    LeaderDemand, LeadershipState, RELOCATION_COOLDOWN_MS, RETRY_COOLDOWN_MS, Relocation, decide_relocation,
    statement_weight,
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
    for (names, weight) in parts {
        demand.add(&only(names), *weight);
    }
    demand
}

/// Decides for a leader in the north whose cooldown has passed.
fn decide(demand: &LeaderDemand, change: impl FnOnce(&mut LeadershipState<'_>)) -> Option<Relocation> {
    let (north, candidates, left) = (region("north"), regions(&["south", "east"]), regions(&[]));
    let mut state = LeadershipState {
        region: Some(&north),
        unchanged_ms: RELOCATION_COOLDOWN_MS,
        since_attempt_ms: None,
        candidates: &candidates,
        left_regions: &left,
    };
    change(&mut state);
    decide_relocation(demand, &state)
}

#[test]
fn a_leader_that_serves_no_demand_moves_to_the_region_with_the_most() {
    let demand = demand(&[(&["south"], 40), (&["east"], 10), (&["south", "east"], 5)]);
    let moved = decide(&demand, |_| ()).unwrap();
    assert_eq!(moved.region, region("south"));
    assert_eq!((moved.weight_before, moved.weight_after), (0, 45));
}

#[test]
fn a_leader_stays_without_a_sufficient_gain() {
    let demand = demand(&[(&["north"], 40), (&["south"], 50)]);
    assert_eq!(decide(&demand, |_| ()), None);
    assert_eq!(decide(&LeaderDemand::default(), |_| ()), None);
}

#[test]
fn demand_allowed_in_every_region_does_not_move_the_leader() {
    let mut demand = LeaderDemand::default();
    demand.add(&AllowedRegions::Any, 1_000);
    assert_eq!(decide(&demand, |_| ()), None);
}

#[test]
fn a_few_statements_do_not_move_the_leader() {
    assert_eq!(decide(&demand(&[(&["south"], 4)]), |_| ()), None);
    assert!(decide(&demand(&[(&["south"], 5)]), |_| ()).is_some());
}

#[test]
fn the_leader_stays_during_the_cooldown_after_a_change_or_an_attempt() {
    let demand = demand(&[(&["south"], 40)]);
    let early = decide(&demand, |state| state.unchanged_ms = RELOCATION_COOLDOWN_MS - 1);
    assert_eq!(early, None);
    let tried = decide(&demand, |state| {
        state.since_attempt_ms = Some(RETRY_COOLDOWN_MS - 1)
    });
    assert_eq!(tried, None);
    assert!(decide(&demand, |state| state.since_attempt_ms = Some(RETRY_COOLDOWN_MS)).is_some());
}

#[test]
fn a_region_without_a_replica_is_not_chosen() {
    let demand = demand(&[(&["west"], 40), (&["east"], 6)]);
    assert_eq!(decide(&demand, |_| ()).unwrap().region, region("east"));
}

#[test]
fn weight_falls_with_the_priority_but_stays_positive() {
    let weights: Vec<_> = (0..6).map(statement_weight).collect();
    assert_eq!(weights, [4, 3, 2, 1, 1, 1]);
}

#[test]
fn two_databases_with_disjoint_regions_move_the_leader_once() {
    let mut left = BTreeSet::new();
    let mut leader_region = "north";
    let mut moves = 0;
    // The demand shifts entirely from one region to the other.
    for (north, south) in [(0, 50), (50, 0), (0, 50), (50, 0)] {
        let demand = demand(&[(&["north"], north), (&["south"], south)]);
        let (current, candidates) = (region(leader_region), regions(&["north", "south"]));
        let state = LeadershipState {
            region: Some(&current),
            unchanged_ms: RELOCATION_COOLDOWN_MS,
            since_attempt_ms: None,
            candidates: &candidates,
            left_regions: &left,
        };
        if let Some(moved) = decide_relocation(&demand, &state) {
            left.insert(current);
            leader_region = REGIONS.iter().find(|name| moved.region == region(name)).unwrap();
            moves += 1;
        }
    }
    assert_eq!((moves, leader_region), (1, "south"));
}

proptest! {
    /// Every move serves more than before, and at least as much as each candidate region would.
    #[test]
    fn a_move_serves_more_than_before(
        parts in proptest::collection::vec((proptest::sample::subsequence(&REGIONS[..], 0..4), 0_u64..100), 0..6),
    ) {
        let mut demand = LeaderDemand::default();
        for (names, weight) in &parts {
            demand.add(&only(names), *weight);
        }
        if let Some(moved) = decide(&demand, |_| ()) {
            prop_assert!(moved.weight_after > moved.weight_before);
            prop_assert_eq!(moved.weight_after, demand.served_in(Some(&moved.region)));
            prop_assert!(moved.weight_after >= demand.served_in(Some(&region("south"))));
            prop_assert!(moved.weight_after >= demand.served_in(Some(&region("east"))));
            prop_assert_eq!(moved.weight_before, demand.served_in(Some(&region("north"))));
        }
    }
}
