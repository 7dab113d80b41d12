//! Tests of catalog freshness: each part of the catalog is dated by answers about itself alone.

use millwind_core::Instant;
use millwind_core::catalog_freshness::CatalogFreshness;
use proptest::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Guards against a configuration that counts as fresh while its watch waits on a silent
/// connection and the instances are still read.
#[test]
fn fresh_instances_do_not_refresh_the_configuration() {
    let mut freshness = CatalogFreshness::default();
    freshness.record_instances(at(1_000));
    freshness.record_configuration(at(1_000));
    freshness.record_instances(at(5_000));
    assert_eq!(freshness.instances_as_of(), Some(at(5_000)));
    assert_eq!(freshness.configuration_as_of(), Some(at(1_000)));
    freshness.record_configuration(at(4_900));
    assert_eq!(freshness.configuration_as_of(), Some(at(4_900)));
}

#[test]
fn an_unknown_part_has_no_date() {
    let mut freshness = CatalogFreshness::default();
    assert_eq!(freshness.instances_as_of(), None);
    freshness.record_instances(at(1_000));
    assert_eq!(freshness.configuration_as_of(), None);
}

#[derive(Debug, Clone)]
enum Event {
    Instances(u64),
    Configuration(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0_u64..5_000).prop_map(Event::Instances),
        (0_u64..5_000).prop_map(Event::Configuration),
    ]
}

proptest! {
    /// Each part is dated by the newest answer about it, in whatever order answers of different
    /// ages arrive from the store and from other nodes.
    #[test]
    fn each_part_is_dated_by_its_own_newest_answer(
        events in prop::collection::vec((event(), 1_u64..2_000), 1..60),
    ) {
        let mut freshness = CatalogFreshness::default();
        let (mut now, mut instances, mut configuration) = (10_000, None, None);
        for (event, elapsed) in events {
            now += elapsed;
            match event {
                Event::Instances(age) => {
                    freshness.record_instances(at(now - age));
                    instances = instances.max(Some(at(now - age)));
                }
                Event::Configuration(age) => {
                    freshness.record_configuration(at(now - age));
                    configuration = configuration.max(Some(at(now - age)));
                }
            }
            prop_assert_eq!(freshness.instances_as_of(), instances);
            prop_assert_eq!(freshness.configuration_as_of(), configuration);
        }
    }
}
