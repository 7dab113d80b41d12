//! When an instance is cold.

use millwind_core::Instant;
use millwind_core::warm_up::{Sight, WarmUpTerms, WarmUpTolerance, Warmth, most_arrivals};

const TERMS: WarmUpTerms = WarmUpTerms {
    duration_ms: 8_000,
    statements_per_s: 12.0,
};

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

fn is_cold(sight: &Sight, seconds: u64) -> bool {
    sight.warmth(Some(TERMS), at(seconds)).is_cold(at(seconds))
}

#[test]
fn an_instance_is_cold_for_as_long_as_its_record_tells() {
    let sight = Sight::first(5_000, at(10));
    assert_eq!(sight.warmth(Some(TERMS), at(10)), Warmth::ColdUntil(at(15)));
    assert!(is_cold(&sight, 14));
    assert!(!is_cold(&sight, 15));
}

#[test]
fn one_that_tells_of_no_warm_up_at_first_sight_is_warm() {
    assert!(!is_cold(&Sight::first(0, at(10)), 10));
}

#[test]
fn without_terms_all_instances_are_warm() {
    let sight = Sight::new_life(5_000, at(10));
    assert_eq!(sight.warmth(None, at(10)), Warmth::Warm);
}

#[test]
fn an_old_record_that_is_read_again_makes_nothing_cold_for_longer() {
    let sight = Sight::first(5_000, at(10)).read_again(5_000, at(14));
    assert!(!is_cold(&sight, 15));
    let warm = Sight::first(0, at(10)).read_again(0, at(12));
    assert!(!is_cold(&warm, 12));
}

#[test]
fn a_later_record_that_tells_less_makes_it_warm_earlier() {
    let sight = Sight::first(8_000, at(10)).read_again(1_000, at(12));
    assert!(is_cold(&sight, 12));
    assert!(!is_cold(&sight, 13));
}

#[test]
fn a_new_life_is_cold_though_the_former_one_was_warm() {
    assert!(is_cold(&Sight::new_life(6_000, at(30)), 35));
    // It does not tell for how long: it has just begun.
    let silent = Sight::new_life(0, at(30));
    assert!(is_cold(&silent, 37));
    assert!(!is_cold(&silent, 38));
    // A later record of the same life does not tell either.
    assert!(is_cold(&silent.read_again(0, at(33)), 37));
}

#[test]
fn one_that_is_slow_for_longer_than_it_told_before_has_begun_again() {
    let sight = Sight::first(0, at(10)).read_again(8_000, at(60));
    assert!(is_cold(&sight, 67));
}

#[test]
fn one_that_nobody_used_for_a_while_is_taken_as_cold() {
    let sight = Sight::first(0, at(10)).unused_until(at(40));
    assert!(is_cold(&sight, 47));
    assert!(!is_cold(&sight, 48));
}

#[test]
fn the_arrivals_let_pass_follow_from_terms_and_tolerance() {
    let tolerance = WarmUpTolerance {
        overage_percent: 150,
        slack: 5,
    };
    assert_eq!(most_arrivals(TERMS, tolerance), 23);
    let slow = WarmUpTerms {
        duration_ms: 20_000,
        statements_per_s: 3.0,
    };
    assert_eq!(most_arrivals(slow, tolerance), 9);
}

/// The load pattern: an instance restarts in place, and takes connections for seconds
/// before its new record is read.
#[test]
fn one_whose_process_seemed_to_end_is_taken_as_cold() {
    let sight = Sight::first(0, at(10)).doubted(Some(7), at(40));
    assert!(is_cold(&sight, 47));
    assert!(!is_cold(&sight, 48));
    assert!(
        is_cold(&sight.doubted(Some(7), at(45)), 52),
        "the last sign counts"
    );
}

#[test]
fn two_later_heartbeats_show_that_the_process_lives_on() {
    let doubted = Sight::first(0, at(10)).doubted(Some(7), at(40));
    let read_again = doubted.read_again(0, at(41)).heard(Some(7)).heard(Some(7));
    assert!(is_cold(&read_again, 41), "a record of before tells nothing");
    let on_its_way = read_again.heard(Some(8)).heard(Some(8));
    assert!(is_cold(&on_its_way, 41), "it may have been written before");
    assert!(!is_cold(&on_its_way.heard(Some(9)), 42));
}
