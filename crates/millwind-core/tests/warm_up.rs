//! Tests of the detection of cold instances and of the limits on statements to them.

use millwind_core::Instant;
use millwind_core::warm_up::{
    WarmUpLimits, WarmUpObservation, WarmUpStatus, WarmUpTolerance, max_statements_per_s,
};

const LIMITS: WarmUpLimits = WarmUpLimits {
    duration_ms: 8_000,
    statements_per_s: 12.0,
};

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

fn is_cold(state: &WarmUpObservation, seconds: u64) -> bool {
    state.status(Some(LIMITS), at(seconds)).is_cold(at(seconds))
}

#[test]
fn an_instance_is_cold_for_the_reported_time() {
    let state = WarmUpObservation::first_observed(5_000, at(10));
    assert_eq!(
        state.status(Some(LIMITS), at(10)),
        WarmUpStatus::ColdUntil(at(15))
    );
    assert!(is_cold(&state, 14));
    assert!(!is_cold(&state, 15));
}

#[test]
fn a_new_instance_without_a_reported_time_is_warm() {
    assert!(!is_cold(&WarmUpObservation::first_observed(0, at(10)), 10));
}

#[test]
fn without_limits_all_instances_are_warm() {
    let state = WarmUpObservation::restarted(5_000, at(10));
    assert_eq!(state.status(None, at(10)), WarmUpStatus::Warm);
}

#[test]
fn rereading_an_old_record_does_not_extend_the_warm_up() {
    let state = WarmUpObservation::first_observed(5_000, at(10)).record_reread(5_000, at(14));
    assert!(!is_cold(&state, 15));
    let warm = WarmUpObservation::first_observed(0, at(10)).record_reread(0, at(12));
    assert!(!is_cold(&warm, 12));
}

#[test]
fn a_later_record_can_shorten_the_warm_up() {
    let state = WarmUpObservation::first_observed(8_000, at(10)).record_reread(1_000, at(12));
    assert!(is_cold(&state, 12));
    assert!(!is_cold(&state, 13));
}

#[test]
fn a_restarted_instance_is_cold_even_if_it_was_warm() {
    assert!(is_cold(&WarmUpObservation::restarted(6_000, at(30)), 35));
    // No remaining time is reported, so the full warm-up time applies.
    let unreported = WarmUpObservation::restarted(0, at(30));
    assert!(is_cold(&unreported, 37));
    assert!(!is_cold(&unreported, 38));
    // A later record of the same process does not report a time either.
    assert!(is_cold(&unreported.record_reread(0, at(33)), 37));
}

#[test]
fn an_increased_reported_time_indicates_a_restart() {
    let state = WarmUpObservation::first_observed(0, at(10)).record_reread(8_000, at(60));
    assert!(is_cold(&state, 67));
}

#[test]
fn an_unused_instance_is_cold_when_used_again() {
    let state = WarmUpObservation::first_observed(0, at(10)).resumed_at(at(40));
    assert!(is_cold(&state, 47));
    assert!(!is_cold(&state, 48));
}

#[test]
fn the_statement_limit_follows_from_limits_and_tolerance() {
    let tolerance = WarmUpTolerance {
        overage_percent: 150,
        slack: 5,
    };
    assert_eq!(max_statements_per_s(LIMITS, tolerance), 23);
    let slow = WarmUpLimits {
        duration_ms: 20_000,
        statements_per_s: 3.0,
    };
    assert_eq!(max_statements_per_s(slow, tolerance), 9);
}

/// An instance that restarts in place accepts connections for seconds before its new record
/// is read. It must be treated as cold from the first failed connection.
#[test]
fn an_instance_with_a_suspected_termination_is_cold() {
    let state = WarmUpObservation::first_observed(0, at(10)).suspect_termination(Some(7), at(40));
    assert!(is_cold(&state, 47));
    assert!(!is_cold(&state, 48));
    assert!(
        is_cold(&state.suspect_termination(Some(7), at(45)), 52),
        "the last indication counts"
    );
}

#[test]
fn two_later_heartbeats_clear_the_suspicion() {
    let suspected = WarmUpObservation::first_observed(0, at(10)).suspect_termination(Some(7), at(40));
    let read_again = suspected
        .record_reread(0, at(41))
        .heartbeat_received(Some(7))
        .heartbeat_received(Some(7));
    assert!(
        is_cold(&read_again, 41),
        "a heartbeat from before the suspicion proves nothing"
    );
    let one_later_heartbeat = read_again.heartbeat_received(Some(8)).heartbeat_received(Some(8));
    assert!(
        is_cold(&one_later_heartbeat, 41),
        "one later heartbeat may have been written before the termination"
    );
    assert!(!is_cold(&one_later_heartbeat.heartbeat_received(Some(9)), 42));
}
