//! Regions that customers allow: what lists mean, how the terms of a database and a
//! tenant bind together, and which instances and nodes they leave.

use std::collections::BTreeSet;

use millwind_core::data_residency::{AllowedRegions, Topology};
use millwind_core::eligibility::{Ineligible, InstanceFacts, judge_carrier, judge_instance};
use millwind_core::ids::{RegionName, ZoneName};
use proptest::prelude::*;

const REGIONS: [&str; 4] = ["north", "south", "east", "west"];

fn region(name: &str) -> RegionName {
    RegionName::from(name)
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(names.iter().map(|name| region(name)).collect())
}

/// Lists of any length, the empty one among them.
fn any_list() -> impl Strategy<Value = Vec<RegionName>> {
    proptest::collection::vec(proptest::sample::select(&REGIONS[..]).prop_map(region), 0..5)
}

/// The region of an instance or node; none where its zone is not in the settings.
fn any_region() -> impl Strategy<Value = Option<RegionName>> {
    proptest::option::of(proptest::sample::select(&REGIONS[..]).prop_map(region))
}

#[test]
fn an_empty_list_restricts_nothing() {
    let allowed = AllowedRegions::from_list([]);
    assert!(allowed.is_any());
    assert!(allowed.allows(None));
    assert!(allowed.allows(Some(&region("north"))));
}

#[test]
fn terms_without_overlap_allow_nothing_at_all() {
    let none = only(&["north"]).both(&only(&["south"]));
    assert!(!none.is_any());
    assert!(REGIONS.iter().all(|name| !none.allows(Some(&region(name)))));
    assert!(!none.allows(None));
    assert_eq!(none.to_string(), "none");
}

#[test]
fn a_zone_that_is_not_in_the_settings_serves_only_those_that_allow_all() {
    let topology = Topology::new([(ZoneName::from("north-1"), region("north"))]);
    let unknown = topology.region_of(&ZoneName::from("north-2"));
    assert_eq!(unknown, None);
    assert!(AllowedRegions::Any.allows(unknown));
    assert!(!only(&["north"]).allows(unknown));
    assert!(topology.has_region(&region("north")));
    assert!(!topology.has_region(&region("south")));
}

proptest! {
    /// What both allow is what each of them allows, in either order, and the terms of
    /// one alone change nothing when they bind twice.
    #[test]
    fn both_terms_bind(left in any_list(), right in any_list(), place in any_region()) {
        let (left, right) = (AllowedRegions::from_list(left), AllowedRegions::from_list(right));
        let place = place.as_ref();
        let both = left.both(&right);
        prop_assert_eq!(both.allows(place), left.allows(place) && right.allows(place));
        prop_assert_eq!(&both, &right.both(&left));
        prop_assert_eq!(&both.both(&left), &both);
        prop_assert_eq!(&left.both(&AllowedRegions::Any), &left);
    }

    /// An instance outside of the allowed regions is never used, whatever else holds;
    /// one inside is used just where it neither ends nor is being evacuated.
    #[test]
    fn an_instance_outside_is_never_used(
        list in any_list(),
        place in any_region(),
        is_evacuated: bool,
        is_leaving: bool,
    ) {
        let listed: BTreeSet<_> = list.iter().cloned().collect();
        let is_inside = listed.is_empty() || place.as_ref().is_some_and(|place| listed.contains(place));
        let allowed = AllowedRegions::from_list(list);
        let facts = InstanceFacts { region: place.as_ref(), is_evacuated, is_leaving };
        let judged = judge_instance(&allowed, &facts);
        prop_assert_eq!(judged == Err(Ineligible::RegionNotAllowed), !is_inside);
        prop_assert_eq!(judged.is_ok(), is_inside && !is_evacuated && !is_leaving);
        prop_assert_eq!(judge_carrier(&allowed, place.as_ref()).is_ok(), is_inside);
    }
}
