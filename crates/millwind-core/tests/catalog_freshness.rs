//! Tests of catalog freshness: the catalog never counts as newer than its instances or its
//! configuration.

use millwind_core::Instant;
use millwind_core::catalog_freshness::CatalogFreshness;
use proptest::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn fresh_instances_do_not_refresh_the_configuration() {
    let mut freshness = CatalogFreshness::default();
    freshness.record_peer_catalog(at(1_000));
    freshness.record_instances(at(5_000));
    assert_eq!(freshness.current_as_of(), Some(at(1_000)));
    freshness.record_configuration_read(at(4_900));
    assert_eq!(freshness.current_as_of(), Some(at(5_000)));
}

#[test]
fn unwatched_configuration_ages() {
    let mut freshness = CatalogFreshness::default();
    freshness.record_instances(at(1_000));
    freshness.record_configuration_read(at(1_000));
    freshness.record_instances(at(3_000));
    freshness.configuration_watch_ended();
    freshness.record_instances(at(9_000));
    assert_eq!(freshness.current_as_of(), Some(at(3_000)));
}

#[test]
fn freshness_requires_instances_and_configuration() {
    let mut freshness = CatalogFreshness::default();
    assert_eq!(freshness.current_as_of(), None);
    freshness.record_instances(at(1_000));
    assert_eq!(freshness.current_as_of(), None);
}

#[derive(Debug, Clone)]
enum Event {
    Instances,
    Read,
    Unwatched,
    FromPeer(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Instances),
        Just(Event::Read),
        Just(Event::Unwatched),
        (0_u64..5_000).prop_map(Event::FromPeer),
    ]
}

proptest! {
    /// While the configuration is not watched, the catalog never counts as newer than the
    /// end of the last watch or the last catalog received from another node.
    #[test]
    fn catalog_is_never_newer_than_last_known_configuration(
        events in prop::collection::vec((event(), 1_u64..2_000), 1..60),
    ) {
        let mut freshness = CatalogFreshness::default();
        let (mut now, mut last_known, mut is_watched) = (10_000, 0, false);
        for (event, elapsed) in events {
            now += elapsed;
            match event {
                Event::Instances => freshness.record_instances(at(now)),
                Event::Read => {
                    freshness.record_configuration_read(at(now));
                    is_watched = true;
                    last_known = now;
                }
                Event::Unwatched => {
                    freshness.configuration_watch_ended();
                    is_watched = false;
                }
                Event::FromPeer(age) => {
                    freshness.record_peer_catalog(at(now - age));
                    last_known = last_known.max(now - age);
                }
            }
            if is_watched {
                last_known = now;
            }
            if let Some(as_of) = freshness.current_as_of() {
                prop_assert!(as_of <= at(last_known), "{as_of:?} after {last_known}");
            }
        }
    }
}
