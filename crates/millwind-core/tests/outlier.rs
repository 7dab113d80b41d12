//! Tests of the detection of unresponsive instances and outliers.

use millwind_core::Instant;
use millwind_core::outlier::StatementHealth;
use proptest::prelude::*;

const MEAN_US: u64 = 10_000;

fn at(millis: u64) -> Instant {
    Instant::from_millis(10_000 + millis)
}

#[test]
fn an_instance_is_unresponsive_only_while_statements_are_in_flight() {
    let mut health = StatementHealth::default();
    assert_eq!(health.unresponsive_since(at(60_000), MEAN_US), None);
    health.record_sent(at(0));
    assert_eq!(health.unresponsive_since(at(299), MEAN_US), None);
    assert_eq!(health.unresponsive_since(at(300), MEAN_US), Some(at(0)));
    health.record_end(false);
    assert_eq!(health.unresponsive_since(at(60_000), MEAN_US), None);
}

#[test]
fn a_response_restarts_the_silence_period() {
    let mut health = StatementHealth::default();
    health.record_sent(at(0));
    health.record_sent(at(10));
    health.record_response(at(280));
    health.record_end(true);
    assert_eq!(health.unresponsive_since(at(570), MEAN_US), None);
    assert_eq!(health.unresponsive_since(at(590), MEAN_US), Some(at(280)));
}

#[test]
fn the_silence_limit_grows_with_the_mean_latency() {
    let mut health = StatementHealth::default();
    health.record_sent(at(0));
    assert_eq!(health.unresponsive_since(at(500), 80_000), None);
    assert_eq!(health.unresponsive_since(at(640), 80_000), Some(at(0)));
    assert_eq!(health.unresponsive_since(at(800), 10_000_000), Some(at(0)));
}

#[test]
fn an_outlier_requires_a_minimum_number_of_outcomes() {
    let mut health = StatementHealth::default();
    for _ in 0..7 {
        health.record_failure(at(0));
    }
    assert!(!health.is_outlier(at(0)));
    health.record_failure(at(0));
    assert!(health.is_outlier(at(0)));
}

#[test]
fn an_outlier_recovers_as_failures_decay() {
    let mut health = StatementHealth::default();
    for _ in 0..10 {
        health.record_failure(at(0));
    }
    assert!(health.is_outlier(at(500)));
    assert!(!health.is_outlier(at(4_000)));
}

#[test]
fn an_unresponsive_instance_admits_one_statement_at_a_time() {
    let mut health = StatementHealth::default();
    health.record_sent(at(0));
    assert!(health.admits_statement(at(100), MEAN_US));
    assert!(!health.admits_statement(at(300), MEAN_US));
    health.record_end(false);
    assert!(health.admits_statement(at(800), MEAN_US));
    health.record_sent(at(800));
    assert!(!health.admits_statement(at(801), MEAN_US));
    health.record_response(at(810));
    health.record_end(true);
    health.record_sent(at(811));
    assert!(health.admits_statement(at(812), MEAN_US));
}

proptest! {
    #[test]
    fn a_low_failure_ratio_is_not_an_outlier(start in 0_usize..10) {
        let mut health = StatementHealth::default();
        for step in 0..200_usize {
            if (step + start) % 10 == 0 {
                health.record_failure(at(step as u64 * 10));
            } else {
                health.record_success(at(step as u64 * 10));
            }
            prop_assert!(!health.is_outlier(at(step as u64 * 10)));
        }
    }

    #[test]
    fn the_in_flight_count_never_underflows(steps in proptest::collection::vec(any::<bool>(), 0..100)) {
        let mut health = StatementHealth::default();
        let mut expected = 0_u32;
        for is_sent in steps {
            if is_sent {
                health.record_sent(at(0));
                expected += 1;
            } else {
                health.record_end(false);
                expected = expected.saturating_sub(1);
            }
            prop_assert_eq!(health.in_flight(), expected);
            prop_assert_eq!(health.unresponsive_since(at(5_000), MEAN_US).is_some(), expected > 0);
        }
    }
}
