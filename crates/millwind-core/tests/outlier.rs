//! When an instance counts as unresponsive or as an outlier.

use millwind_core::Instant;
use millwind_core::outlier::StatementHealth;
use proptest::prelude::*;

const MEAN_US: u64 = 10_000;

fn at(millis: u64) -> Instant {
    Instant::from_millis(10_000 + millis)
}

#[test]
fn silence_counts_only_while_statements_are_under_way() {
    let mut health = StatementHealth::default();
    assert_eq!(health.unresponsive_since(at(60_000), MEAN_US), None);
    health.sent(at(0));
    assert_eq!(health.unresponsive_since(at(299), MEAN_US), None);
    assert_eq!(health.unresponsive_since(at(300), MEAN_US), Some(at(0)));
    health.ended(false);
    assert_eq!(health.unresponsive_since(at(60_000), MEAN_US), None);
}

#[test]
fn one_answer_shows_that_the_instance_responds() {
    let mut health = StatementHealth::default();
    health.sent(at(0));
    health.sent(at(10));
    health.answered(at(280));
    health.ended(true);
    assert_eq!(health.unresponsive_since(at(570), MEAN_US), None);
    assert_eq!(health.unresponsive_since(at(590), MEAN_US), Some(at(280)));
}

#[test]
fn slow_statements_are_given_more_time() {
    let mut health = StatementHealth::default();
    health.sent(at(0));
    assert_eq!(health.unresponsive_since(at(500), 80_000), None);
    assert_eq!(health.unresponsive_since(at(640), 80_000), Some(at(0)));
    assert_eq!(health.unresponsive_since(at(800), 10_000_000), Some(at(0)));
}

#[test]
fn few_failures_say_nothing_and_many_do() {
    let mut health = StatementHealth::default();
    for _ in 0..7 {
        health.failed(at(0));
    }
    assert!(!health.is_outlier(at(0)));
    health.failed(at(0));
    assert!(health.is_outlier(at(0)));
}

#[test]
fn an_outlier_is_tried_again_after_a_while() {
    let mut health = StatementHealth::default();
    for _ in 0..10 {
        health.failed(at(0));
    }
    assert!(health.is_outlier(at(500)));
    assert!(!health.is_outlier(at(4_000)));
}

#[test]
fn a_silent_instance_gets_one_statement_at_a_time_until_it_answers() {
    let mut health = StatementHealth::default();
    health.sent(at(0));
    assert!(health.admits(at(100), MEAN_US));
    assert!(!health.admits(at(300), MEAN_US));
    health.ended(false);
    assert!(health.admits(at(800), MEAN_US));
    health.sent(at(800));
    assert!(!health.admits(at(801), MEAN_US));
    health.answered(at(810));
    health.ended(true);
    health.sent(at(811));
    assert!(health.admits(at(812), MEAN_US));
}

proptest! {
    #[test]
    fn rare_failures_make_no_outlier(start in 0_usize..10) {
        let mut health = StatementHealth::default();
        for step in 0..200_usize {
            if (step + start) % 10 == 0 {
                health.failed(at(step as u64 * 10));
            } else {
                health.succeeded(at(step as u64 * 10));
            }
            prop_assert!(!health.is_outlier(at(step as u64 * 10)));
        }
    }

    #[test]
    fn counts_never_fall_below_zero(steps in proptest::collection::vec(any::<bool>(), 0..100)) {
        let mut health = StatementHealth::default();
        let mut expected = 0_u32;
        for is_sent in steps {
            if is_sent {
                health.sent(at(0));
                expected += 1;
            } else {
                health.ended(false);
                expected = expected.saturating_sub(1);
            }
            prop_assert_eq!(health.under_way(), expected);
            prop_assert_eq!(health.unresponsive_since(at(5_000), MEAN_US).is_some(), expected > 0);
        }
    }
}
