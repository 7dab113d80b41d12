//! A document is never taken for newer than the read that delivered it.

use millwind_core::Instant;
use millwind_core::catalog_freshness::CatalogFreshness;
use proptest::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn fresh_instances_say_nothing_of_a_configuration_that_was_not_read() {
    let mut freshness = CatalogFreshness::default();
    freshness.told(at(1_000));
    freshness.instances_heard(at(5_000));
    assert_eq!(freshness.as_of(), Some(at(1_000)));
    freshness.configuration_read(at(4_900));
    assert_eq!(freshness.as_of(), Some(at(5_000)));
}

#[test]
fn a_configuration_grows_old_once_it_is_not_watched() {
    let mut freshness = CatalogFreshness::default();
    freshness.instances_heard(at(1_000));
    freshness.configuration_read(at(1_000));
    freshness.instances_heard(at(3_000));
    freshness.configuration_unwatched();
    freshness.instances_heard(at(9_000));
    assert_eq!(freshness.as_of(), Some(at(3_000)));
}

#[test]
fn nothing_is_known_before_both_documents_are() {
    let mut freshness = CatalogFreshness::default();
    assert_eq!(freshness.as_of(), None);
    freshness.instances_heard(at(1_000));
    assert_eq!(freshness.as_of(), None);
}

#[derive(Debug, Clone)]
enum Event {
    Instances,
    Read,
    Unwatched,
    Told(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Instances),
        Just(Event::Read),
        Just(Event::Unwatched),
        (0_u64..5_000).prop_map(Event::Told),
    ]
}

proptest! {
    /// While the configuration is not watched, the catalog is never taken for newer
    /// than the last evidence of the configuration: its last watched moment, or what
    /// another node told.
    #[test]
    fn the_configuration_is_never_newer_than_its_evidence(
        events in prop::collection::vec((event(), 1_u64..2_000), 1..60),
    ) {
        let mut freshness = CatalogFreshness::default();
        let (mut now, mut evidence, mut is_watched) = (10_000, 0, false);
        for (event, pause) in events {
            now += pause;
            match event {
                Event::Instances => freshness.instances_heard(at(now)),
                Event::Read => {
                    freshness.configuration_read(at(now));
                    is_watched = true;
                    evidence = now;
                }
                Event::Unwatched => {
                    freshness.configuration_unwatched();
                    is_watched = false;
                }
                Event::Told(age) => {
                    freshness.told(at(now - age));
                    evidence = evidence.max(now - age);
                }
            }
            if is_watched {
                evidence = now;
            }
            if let Some(as_of) = freshness.as_of() {
                prop_assert!(as_of <= at(evidence), "{as_of:?} after {evidence}");
            }
        }
    }
}
