//! Replicas that lack what reads need.

use millwind_core::Instant;
use millwind_core::lag_pause::LagPause;

/// The load pattern: one read each 20 ms of a group whose replica is behind for this
/// time, in milliseconds.
const BEHIND_MS: u64 = 20_000;

#[test]
fn a_replica_that_stays_behind_is_asked_less_and_less() {
    let mut pause = LagPause::default();
    let mut asked = 0;
    for now_ms in (0..BEHIND_MS).step_by(20) {
        let now = Instant::from_millis(now_ms);
        if !pause.is_paused(now) {
            asked += 1;
            pause.behind(now);
        }
    }
    // With a pause of 100 ms each time it would be 200.
    assert!(asked <= 12, "{asked} questions");
}

#[test]
fn answers_of_the_same_time_count_once() {
    let mut pause = LagPause::default();
    let now = Instant::from_millis(1_000);
    (0..10).for_each(|_| pause.behind(now));
    assert!(!pause.is_paused(now.plus_millis(100)));
}

#[test]
fn a_replica_that_serves_again_is_used_at_once() {
    let mut pause = LagPause::default();
    for now_ms in [0, 500, 1_500] {
        pause.behind(Instant::from_millis(now_ms));
    }
    pause.served();
    assert!(!pause.is_paused(Instant::from_millis(1_600)));
    pause.behind(Instant::from_millis(1_600));
    assert!(!pause.is_paused(Instant::from_millis(1_700)));
}
