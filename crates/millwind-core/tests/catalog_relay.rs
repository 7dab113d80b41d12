//! Tests of the choice of nodes that read the catalog from the store.

use millwind_core::Instant;
use millwind_core::catalog_freshness::CatalogFreshness;
use millwind_core::catalog_relay::{CatalogState, MonitorState, RelayTimes, relay_count};
use proptest::prelude::*;

const NOW: Instant = Instant::from_millis(100_000);

/// A catalog that matched the store as of one time.
fn matched_at(as_of: Option<Instant>) -> CatalogFreshness {
    let mut freshness = CatalogFreshness::default();
    if let Some(as_of) = as_of {
        freshness.record_instances(as_of);
        freshness.record_configuration(as_of);
    }
    freshness
}

fn state() -> CatalogState {
    CatalogState {
        is_relay: false,
        contacted_as_relay_at: None,
        is_complete: true,
        members_known_since: Instant::from_millis(1_000),
        freshness: matched_at(Some(NOW)),
        relay_answered: None,
    }
}

fn times() -> RelayTimes {
    RelayTimes::for_config_bound(5_000)
}

#[test]
fn small_deployment_has_no_relays() {
    assert_eq!(relay_count(3, 7), None);
    assert_eq!(relay_count(23, 23), None);
}

#[test]
fn number_of_relays_grows_with_zone_size() {
    assert_eq!(relay_count(12, 73), Some(2));
    assert_eq!(relay_count(100, 300), Some(3));
    assert_eq!(relay_count(182, 910), Some(6));
    assert_eq!(relay_count(1, 73), Some(2));
}

#[test]
fn node_with_fresh_catalog_does_not_read_store() {
    assert!(!state().must_read_store(NOW, &times()));
}

#[test]
fn relay_and_node_contacted_as_relay_read_store() {
    let relay = CatalogState {
        is_relay: true,
        ..state()
    };
    assert!(relay.must_read_store(NOW, &times()));
    let contacted = CatalogState {
        contacted_as_relay_at: Some(Instant::from_millis(95_000)),
        ..state()
    };
    assert!(contacted.must_read_store(NOW, &times()));
    let contacted_long_ago = CatalogState {
        contacted_as_relay_at: Some(Instant::from_millis(90_000)),
        ..state()
    };
    assert!(!contacted_long_ago.must_read_store(NOW, &times()));
}

#[test]
fn node_with_stale_catalog_reads_store() {
    for as_of in [None, Some(Instant::from_millis(97_000))] {
        let stale = CatalogState {
            freshness: matched_at(as_of),
            ..state()
        };
        assert!(stale.must_read_store(NOW, &times()), "{as_of:?}");
    }
}

/// Guards against a node that relies on relays whose instances are fresh while their
/// configuration is not.
#[test]
fn node_with_stale_configuration_reads_store() {
    let mut freshness = matched_at(Some(NOW));
    assert!(!CatalogState { freshness, ..state() }.must_read_store(NOW, &times()));
    let later = NOW.plus_millis(times().max_configuration_age_ms);
    freshness.record_instances(later);
    let stale = CatalogState { freshness, ..state() };
    assert!(stale.must_read_store(later, &times()));
}

#[test]
fn the_monitor_checks_the_configuration_more_often_than_others() {
    let other = MonitorState {
        is_first: false,
        contacted_as_monitor_at: None,
    };
    let first = MonitorState {
        is_first: true,
        ..other
    };
    let contacted = MonitorState {
        contacted_as_monitor_at: Some(NOW),
        ..other
    };
    let (times, later) = (times(), NOW.plus_millis(10_000));
    assert_eq!(first.check_age_ms(NOW, &times), times.monitor_interval_ms);
    assert_eq!(contacted.check_age_ms(NOW, &times), times.monitor_interval_ms);
    assert_eq!(other.check_age_ms(NOW, &times), times.max_configuration_age_ms);
    assert_eq!(
        contacted.check_age_ms(later, &times),
        times.max_configuration_age_ms
    );
}

#[test]
fn node_with_incomplete_catalog_waits_briefly_for_relays() {
    let starting = CatalogState {
        is_complete: false,
        freshness: matched_at(None),
        members_known_since: Instant::from_millis(99_600),
        ..state()
    };
    assert!(!starting.must_read_store(NOW, &times()));
    assert!(starting.must_read_store(NOW.plus_millis(150), &times()));
    // A fresh catalog contains everything in the store, even if it is incomplete.
    let with_fresh_catalog = CatalogState {
        freshness: matched_at(Some(NOW)),
        ..starting
    };
    assert!(!with_fresh_catalog.must_read_store(NOW.plus_millis(150), &times()));
}

/// A starting node must not read the store while relays answer, since they may still be
/// reading it, but must not wait forever, since the relays may be unable to.
#[test]
fn node_with_incomplete_catalog_waits_longer_for_answering_relays() {
    let starting = CatalogState {
        is_complete: false,
        freshness: matched_at(None),
        members_known_since: Instant::from_millis(98_000),
        relay_answered: Some(Instant::from_millis(99_900)),
        ..state()
    };
    assert!(!starting.must_read_store(NOW, &times()));
    assert!(starting.must_read_store(NOW.plus_millis(400), &times()));
    let still_answered = CatalogState {
        relay_answered: Some(NOW.plus_millis(1_000)),
        ..starting
    };
    assert!(!still_answered.must_read_store(NOW.plus_millis(999), &times()));
    assert!(still_answered.must_read_store(NOW.plus_millis(1_000), &times()));
}

#[test]
fn starting_node_waits_for_first_relay_answer() {
    let starting = CatalogState {
        freshness: matched_at(None),
        members_known_since: Instant::from_millis(99_500),
        ..state()
    };
    assert!(!starting.must_read_store(NOW, &times()));
    assert!(starting.must_read_store(NOW.plus_millis(600), &times()));
}

#[test]
fn short_config_bound_disables_relays() {
    assert!(!RelayTimes::for_config_bound(1_500).allow_relays);
    assert!(RelayTimes::for_config_bound(2_000).allow_relays);
}

proptest! {
    /// A node without a relay reads the store itself before a missed configuration must be
    /// in force, even after one comparison with another node.
    #[test]
    fn missed_configuration_is_read_within_the_bound(config_bound_ms in 500_u64..60_000) {
        let times = RelayTimes::for_config_bound(config_bound_ms);
        prop_assume!(times.allow_relays);
        let comparison_ms = 800;
        prop_assert!(times.max_fresh_age_ms + comparison_ms <= config_bound_ms);
        prop_assert!(times.max_configuration_age_ms + comparison_ms <= config_bound_ms);
        prop_assert!(times.read_interval_ms < times.max_fresh_age_ms);
        prop_assert!(times.monitor_interval_ms < times.max_configuration_age_ms);
    }
}

/// Guards against nodes that check the configuration themselves although the monitor could spare
/// them the call, and against a monitor that keeps only one of two bounds.
#[test]
fn the_monitor_checks_in_time_for_the_shortest_bound() {
    for (config_bound_ms, operators_bound_ms) in [(10_000, 5_000), (5_000, 10_000), (3_000, 3_000)] {
        let times = RelayTimes::for_config_bound(config_bound_ms).with_operators_bound(operators_bound_ms);
        let shortest_ms = config_bound_ms.min(operators_bound_ms);
        assert_eq!(times.max_configuration_age_ms, shortest_ms * 60 / 100);
        assert!(
            times.monitor_interval_ms < times.max_configuration_age_ms,
            "{times:?}"
        );
        assert!(times.monitor_interval_ms >= shortest_ms / 5, "{times:?}");
    }
    let without = RelayTimes::for_config_bound(10_000);
    assert!(without.monitor_interval_ms > 10_000 / 5 * 2, "{without:?}");
}
