//! Tests of data residency: lists of allowed regions, their intersection, and the instances
//! and nodes that remain eligible.

use std::collections::BTreeSet;

use millwind_core::data_residency::{AllowedRegions, Topology};
use millwind_core::eligibility::{IneligibleReason, InstanceFacts, check_forwarding, check_instance};
use millwind_core::ids::{RegionName, ZoneName};
use proptest::prelude::*;

const REGIONS: [&str; 4] = ["north", "south", "east", "west"];

fn region(name: &str) -> RegionName {
    RegionName::from(name)
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(names.iter().map(|name| region(name)).collect())
}

/// Generates lists of regions, including the empty list.
fn any_list() -> impl Strategy<Value = Vec<RegionName>> {
    proptest::collection::vec(proptest::sample::select(&REGIONS[..]).prop_map(region), 0..5)
}

/// Generates the region of an instance or node; `None` if its zone is not in the settings.
fn any_region() -> impl Strategy<Value = Option<RegionName>> {
    proptest::option::of(proptest::sample::select(&REGIONS[..]).prop_map(region))
}

#[test]
fn empty_list_allows_every_region() {
    let allowed = AllowedRegions::from_list([]);
    assert!(allowed.is_any());
    assert!(allowed.allows(None));
    assert!(allowed.allows(Some(&region("north"))));
}

#[test]
fn disjoint_lists_allow_no_region() {
    let none = only(&["north"]).intersection(&only(&["south"]));
    assert!(!none.is_any());
    assert!(REGIONS.iter().all(|name| !none.allows(Some(&region(name)))));
    assert!(!none.allows(None));
    assert_eq!(none.to_string(), "none");
}

#[test]
fn unknown_zone_is_allowed_only_without_restriction() {
    let topology = Topology::new([(ZoneName::from("north-1"), region("north"))]);
    let unknown = topology.region_of(&ZoneName::from("north-2"));
    assert_eq!(unknown, None);
    assert!(AllowedRegions::Any.allows(unknown));
    assert!(!only(&["north"]).allows(unknown));
    assert!(topology.has_region(&region("north")));
    assert!(!topology.has_region(&region("south")));
}

proptest! {
    /// The intersection allows a region if and only if both lists allow it; the operation is
    /// commutative and idempotent.
    #[test]
    fn intersection_allows_what_both_allow(left in any_list(), right in any_list(), region_name in any_region()) {
        let (left, right) = (AllowedRegions::from_list(left), AllowedRegions::from_list(right));
        let region_name = region_name.as_ref();
        let both = left.intersection(&right);
        prop_assert_eq!(both.allows(region_name), left.allows(region_name) && right.allows(region_name));
        prop_assert_eq!(&both, &right.intersection(&left));
        prop_assert_eq!(&both.intersection(&left), &both);
        prop_assert_eq!(&left.intersection(&AllowedRegions::Any), &left);
    }

    /// An instance outside the allowed regions is never eligible; one inside is eligible
    /// unless it is leaving or its zone is being evacuated.
    #[test]
    fn instance_outside_allowed_regions_is_ineligible(
        list in any_list(),
        region_name in any_region(),
        is_evacuated: bool,
        is_leaving: bool,
    ) {
        let listed: BTreeSet<_> = list.iter().cloned().collect();
        let is_allowed = listed.is_empty() || region_name.as_ref().is_some_and(|region_name| listed.contains(region_name));
        let allowed = AllowedRegions::from_list(list);
        let facts = InstanceFacts { region: region_name.as_ref(), is_evacuated, is_leaving };
        let eligibility_result = check_instance(&allowed, &facts);
        prop_assert_eq!(eligibility_result == Err(IneligibleReason::RegionNotAllowed), !is_allowed);
        prop_assert_eq!(eligibility_result.is_ok(), is_allowed && !is_evacuated && !is_leaving);
        prop_assert_eq!(check_forwarding(&allowed, region_name.as_ref()).is_ok(), is_allowed);
    }
}
