//! Who reads the catalog from the store.

use millwind_core::Instant;
use millwind_core::catalog_relay::{CatalogState, RelayTimes, relays_of_zone};
use proptest::prelude::*;

const NOW: Instant = Instant::from_millis(100_000);

fn state() -> CatalogState {
    CatalogState {
        is_relay: false,
        asked: None,
        is_complete: true,
        known_since: Instant::from_millis(1_000),
        heard: Some(NOW),
        relay_answered: None,
    }
}

fn times() -> RelayTimes {
    RelayTimes::within(5_000)
}

#[test]
fn a_small_deployment_has_no_relays() {
    assert_eq!(relays_of_zone(3, 7), None);
    assert_eq!(relays_of_zone(23, 23), None);
}

#[test]
fn relays_grow_slowly_with_a_zone() {
    assert_eq!(relays_of_zone(12, 73), Some(2));
    assert_eq!(relays_of_zone(100, 300), Some(3));
    assert_eq!(relays_of_zone(182, 910), Some(6));
    assert_eq!(relays_of_zone(1, 73), Some(2));
}

#[test]
fn a_node_that_hears_fresh_news_leaves_the_store_alone() {
    assert!(!state().must_read(NOW, &times()));
}

#[test]
fn a_relay_and_a_node_that_was_asked_as_one_read_the_store() {
    let relay = CatalogState {
        is_relay: true,
        ..state()
    };
    assert!(relay.must_read(NOW, &times()));
    let asked = CatalogState {
        asked: Some(Instant::from_millis(95_000)),
        ..state()
    };
    assert!(asked.must_read(NOW, &times()));
    let asked_long_ago = CatalogState {
        asked: Some(Instant::from_millis(90_000)),
        ..state()
    };
    assert!(!asked_long_ago.must_read(NOW, &times()));
}

#[test]
fn a_node_that_hears_nothing_fresh_reads_the_store() {
    for heard in [None, Some(Instant::from_millis(97_000))] {
        let stale = CatalogState { heard, ..state() };
        assert!(stale.must_read(NOW, &times()), "{heard:?}");
    }
}

#[test]
fn a_node_that_cannot_serve_yet_waits_only_a_moment_for_others() {
    let starting = CatalogState {
        is_complete: false,
        heard: None,
        known_since: Instant::from_millis(99_600),
        ..state()
    };
    assert!(!starting.must_read(NOW, &times()));
    assert!(starting.must_read(NOW.plus_millis(150), &times()));
    // Those who hear the store know no more either: there is no more yet.
    let with_others = CatalogState {
        heard: Some(NOW),
        ..starting
    };
    assert!(!with_others.must_read(NOW.plus_millis(150), &times()));
}

/// Relays that start with it have a whole fleet's catalog to read: as long as they answer
/// a node leaves the store to them, but not for good, since the store may refuse them alone.
#[test]
fn a_node_that_cannot_serve_yet_waits_longer_for_relays_that_answer() {
    let starting = CatalogState {
        is_complete: false,
        heard: None,
        known_since: Instant::from_millis(98_000),
        relay_answered: Some(Instant::from_millis(99_900)),
        ..state()
    };
    assert!(!starting.must_read(NOW, &times()));
    assert!(starting.must_read(NOW.plus_millis(400), &times()));
    let still_answered = CatalogState {
        relay_answered: Some(NOW.plus_millis(1_000)),
        ..starting
    };
    assert!(!still_answered.must_read(NOW.plus_millis(999), &times()));
    assert!(still_answered.must_read(NOW.plus_millis(1_000), &times()));
}

#[test]
fn a_starting_node_waits_for_the_first_word_of_a_relay_that_may_start_too() {
    let starting = CatalogState {
        heard: None,
        known_since: Instant::from_millis(99_500),
        ..state()
    };
    assert!(!starting.must_read(NOW, &times()));
    assert!(starting.must_read(NOW.plus_millis(600), &times()));
}

#[test]
fn a_bound_that_relays_cannot_keep_has_every_node_read_the_store() {
    assert!(!RelayTimes::within(1_500).allow_relays);
    assert!(RelayTimes::within(2_000).allow_relays);
}

proptest! {
    /// A node without a relay reads the store itself before a configuration
    /// that it misses must be in force: within the pace, the time for which
    /// news count as fresh, and one comparison with another node.
    #[test]
    fn news_are_missed_for_less_than_the_bound(config_bound_ms in 500_u64..60_000) {
        let times = RelayTimes::within(config_bound_ms);
        prop_assume!(times.allow_relays);
        let comparison_ms = 800;
        prop_assert!(times.fresh_ms + comparison_ms <= config_bound_ms);
        prop_assert!(times.pace_ms < times.fresh_ms);
    }
}
