//! Requests to evacuate zones: what a node knows of them after listings, changes and
//! other nodes' words in any order.

use std::collections::BTreeSet;

use millwind_core::Instant;
use millwind_core::evacuation::{DatedEvacuation, EvacuationEvent, Evacuations};
use millwind_core::ids::ZoneName;
use millwind_wire::store_revision::StoreRevision;
use proptest::prelude::*;

/// A revision of a store that was never restored.
fn revision_of(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

fn zone(name: &str) -> ZoneName {
    ZoneName::from(name)
}

fn event(name: &str, is_requested: bool, revision: u64) -> EvacuationEvent {
    EvacuationEvent {
        zone: zone(name),
        is_requested,
        revision: revision_of(revision),
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn a_listing_that_lacks_a_zone_takes_its_request_back() {
    let mut known = Evacuations::default();
    assert!(!known.is_known());
    known.apply(&[zone("a"), zone("b")], revision_of(5), at(100));
    assert!(known.is_known());
    let change = known.apply(&[zone("b")], revision_of(6), at(200));
    assert_eq!(change.taken_back, [zone("a")]);
    assert_eq!(known.returned_at(&zone("a")), Some(at(200)));
    assert_eq!(known.since(&zone("b")), Some(at(100)));
    let change = known.apply(&[zone("a"), zone("b")], revision_of(7), at(300));
    assert_eq!(change.begun, [zone("a")]);
    assert_eq!(known.returned_at(&zone("a")), None);
}

#[test]
fn an_older_listing_changes_nothing() {
    let mut known = Evacuations::default();
    known.apply(&[zone("a")], revision_of(5), at(100));
    assert!(known.apply(&[], revision_of(4), at(200)).is_empty());
    assert!(known.includes(&zone("a")));
    assert_eq!(known.revision(), revision_of(5));
}

/// The copy may lack a request that is still asked for, until it is written again.
#[test]
fn a_request_that_a_restored_store_lacks_holds_until_the_store_tells_otherwise() {
    let mut known = Evacuations::default();
    known.apply(&[zone("a")], StoreRevision::new(1, 50), at(100));
    let change = known.apply(&[zone("b")], StoreRevision::new(2, 40), at(200));
    assert_eq!((change.begun, change.taken_back), (vec![zone("b")], vec![]));
    assert!(known.includes(&zone("a")));
    // What was known before the restore is older, whatever its number.
    assert!(known.apply(&[], StoreRevision::new(1, 60), at(250)).is_empty());
    let change = known.apply(&[zone("b")], StoreRevision::new(2, 41), at(300));
    assert_eq!(change.taken_back, [zone("a")]);
}

#[test]
fn a_change_concerns_one_zone_and_counts_only_after_a_listing() {
    let mut known = Evacuations::default();
    assert!(known.apply_events(&[event("a", true, 3)], at(50)).is_empty());
    assert!(!known.is_known());
    known.apply(&[zone("a")], revision_of(5), at(100));
    // Part of the listing.
    assert!(known.apply_events(&[event("a", false, 4)], at(150)).is_empty());
    let change = known.apply_events(&[event("b", true, 6), event("c", true, 6)], at(200));
    assert_eq!(change.begun, [zone("b"), zone("c")]);
    assert_eq!(known.since(&zone("a")), Some(at(100)));
    let change = known.apply_events(&[event("b", false, 7)], at(300));
    assert_eq!(change.taken_back, [zone("b")]);
}

#[test]
fn who_heard_of_a_request_earlier_dates_it() {
    let mut known = Evacuations::default();
    known.apply(&[zone("a")], revision_of(5), at(900));
    let earlier = DatedEvacuation {
        zone: zone("a"),
        since: at(400),
    };
    assert!(
        known
            .apply_dated(&[earlier], revision_of(5), at(1_000))
            .is_empty()
    );
    assert_eq!(known.since(&zone("a")), Some(at(400)));
    known.apply(&[zone("a")], revision_of(8), at(1_200));
    assert_eq!(known.since(&zone("a")), Some(at(400)));
}

/// What a store held after each change of its history; revisions begin at one.
fn states(history: &[(u8, bool)]) -> Vec<BTreeSet<ZoneName>> {
    let mut state = BTreeSet::new();
    let mut states = vec![state.clone()];
    for (number, is_requested) in history {
        let zone = zone(&number.to_string());
        match is_requested {
            true => state.insert(zone),
            false => state.remove(&zone),
        };
        states.push(state.clone());
    }
    states
}

proptest! {
    /// A watch that follows a listing, disturbed by other nodes' listings of any
    /// revision, ends with what the store holds, and is never older than its watch.
    #[test]
    fn a_watch_with_listings_of_others_follows_the_store(
        history in prop::collection::vec((0u8..4, any::<bool>()), 1..30),
        listed in any::<prop::sample::Index>(),
        others in prop::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..10),
    ) {
        let states = states(&history);
        let zones = |revision: usize| states[revision].iter().cloned().collect::<Vec<_>>();
        let first = listed.index(history.len()) + 1;
        let mut known = Evacuations::default();
        known.apply(&zones(first), revision_of(first as u64), at(1));
        for (index, (number, is_requested)) in history.iter().enumerate().skip(first) {
            let revision = index + 1;
            for (when, told) in &others {
                if when.index(history.len()) == index {
                    let told = told.index(history.len()) + 1;
                    known.apply(&zones(told), revision_of(told as u64), at(2));
                }
            }
            known.apply_events(&[event(&number.to_string(), *is_requested, revision as u64)], at(3));
            prop_assert!(known.revision() >= revision_of(revision as u64));
            let held: BTreeSet<_> = known.zones().map(|(zone, _)| zone.clone()).collect();
            prop_assert_eq!(&held, &states[known.revision().number as usize]);
        }
    }
}
