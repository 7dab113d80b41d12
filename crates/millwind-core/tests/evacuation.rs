//! Tests of the known zone evacuations after listings, watch events and peer reports in
//! any order.

use std::collections::BTreeSet;

use millwind_core::Instant;
use millwind_core::evacuation::{EvacuationEvent, EvacuationRequest, Evacuations};
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
fn listing_without_zone_withdraws_its_evacuation() {
    let mut known = Evacuations::default();
    assert!(!known.is_known());
    known.apply(&[zone("a"), zone("b")], revision_of(5), at(100));
    assert!(known.is_known());
    let change = known.apply(&[zone("b")], revision_of(6), at(200));
    assert_eq!(change.withdrawn, [zone("a")]);
    assert_eq!(known.withdrawn_at(&zone("a")), Some(at(200)));
    assert_eq!(known.since(&zone("b")), Some(at(100)));
    let change = known.apply(&[zone("a"), zone("b")], revision_of(7), at(300));
    assert_eq!(change.started, [zone("a")]);
    assert_eq!(known.withdrawn_at(&zone("a")), None);
}

#[test]
fn older_listing_is_ignored() {
    let mut known = Evacuations::default();
    known.apply(&[zone("a")], revision_of(5), at(100));
    assert!(known.apply(&[], revision_of(4), at(200)).is_empty());
    assert!(known.includes(&zone("a")));
    assert_eq!(known.revision(), revision_of(5));
}

/// A store restored from a backup may lack active requests until they are written again.
#[test]
fn request_missing_after_restore_stays_until_next_listing() {
    let mut known = Evacuations::default();
    known.apply(&[zone("a")], StoreRevision::new(1, 50), at(100));
    let change = known.apply(&[zone("b")], StoreRevision::new(2, 40), at(200));
    assert_eq!((change.started, change.withdrawn), (vec![zone("b")], vec![]));
    assert!(known.includes(&zone("a")));
    // A listing from before the restore is older regardless of its revision number.
    assert!(known.apply(&[], StoreRevision::new(1, 60), at(250)).is_empty());
    let change = known.apply(&[zone("b")], StoreRevision::new(2, 41), at(300));
    assert_eq!(change.withdrawn, [zone("a")]);
}

#[test]
fn event_affects_one_zone_and_requires_a_listing() {
    let mut known = Evacuations::default();
    assert!(
        known
            .apply_events(&[event("a", true, 3)], at(50), at(50))
            .is_empty()
    );
    assert!(!known.is_known());
    known.apply(&[zone("a")], revision_of(5), at(100));
    // The listing already includes this change.
    assert!(
        known
            .apply_events(&[event("a", false, 4)], at(150), at(150))
            .is_empty()
    );
    let change = known.apply_events(&[event("b", true, 6), event("c", true, 6)], at(200), at(200));
    assert_eq!(change.started, [zone("b"), zone("c")]);
    assert_eq!(known.since(&zone("a")), Some(at(100)));
    let change = known.apply_events(&[event("b", false, 7)], at(300), at(300));
    assert_eq!(change.withdrawn, [zone("b")]);
    assert_eq!(known.withdrawn_at(&zone("b")), Some(at(300)));
}

/// Guards against an evacuation whose bound runs from the time at which a node hears of it.
#[test]
fn event_is_dated_by_the_last_time_at_which_the_store_was_known() {
    let mut known = Evacuations::default();
    known.apply(&[], revision_of(5), at(100));
    known.apply_events(&[event("a", true, 6)], at(150), at(900));
    assert_eq!(known.since(&zone("a")), Some(at(150)));
    known.apply_events(&[event("a", false, 7)], at(900), at(1_000));
    assert_eq!(known.withdrawn_at(&zone("a")), Some(at(1_000)));
}

#[test]
fn earliest_request_time_is_kept() {
    let mut known = Evacuations::default();
    known.apply(&[zone("a")], revision_of(5), at(900));
    let earlier = EvacuationRequest {
        zone: zone("a"),
        since: at(400),
    };
    assert!(
        known
            .apply_requests(&[earlier], revision_of(5), at(1_000))
            .is_empty()
    );
    assert_eq!(known.since(&zone("a")), Some(at(400)));
    known.apply(&[zone("a")], revision_of(8), at(1_200));
    assert_eq!(known.since(&zone("a")), Some(at(400)));
}

/// Returns the requests in the store after each change; index 0 is the empty store.
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
    /// Watch events after a listing, interleaved with peers' listings of any revision, yield
    /// the store's content and never an older revision than that of the last event.
    #[test]
    fn watch_with_peer_listings_follows_the_store(
        history in prop::collection::vec((0u8..4, any::<bool>()), 1..30),
        listed in any::<prop::sample::Index>(),
        peer_listings in prop::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..10),
    ) {
        let states = states(&history);
        let zones = |revision: usize| states[revision].iter().cloned().collect::<Vec<_>>();
        let first = listed.index(history.len()) + 1;
        let mut known = Evacuations::default();
        known.apply(&zones(first), revision_of(first as u64), at(1));
        for (index, (number, is_requested)) in history.iter().enumerate().skip(first) {
            let revision = index + 1;
            for (when, reported) in &peer_listings {
                if when.index(history.len()) == index {
                    let reported = reported.index(history.len()) + 1;
                    known.apply(&zones(reported), revision_of(reported as u64), at(2));
                }
            }
            known.apply_events(&[event(&number.to_string(), *is_requested, revision as u64)], at(3), at(3));
            prop_assert!(known.revision() >= revision_of(revision as u64));
            let evacuated: BTreeSet<_> = known.zones().map(|(zone, _)| zone.clone()).collect();
            prop_assert_eq!(&evacuated, &states[known.revision().number as usize]);
        }
    }
}
