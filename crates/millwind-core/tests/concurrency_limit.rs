//! Tests of the adaptive concurrency limit.

use millwind_core::Instant;
use millwind_core::concurrency_limit::{ConcurrencyLimit, ExecutionEnd};
use proptest::prelude::*;

const NOW: Instant = Instant::from_millis(10_000);

#[test]
fn limit_starts_at_number_of_slots() {
    assert_eq!(ConcurrencyLimit::new(5).allowed(), 5);
    assert_eq!(ConcurrencyLimit::new(0).allowed(), 1);
}

#[test]
fn limit_grows_only_while_reached() {
    let mut limit = ConcurrencyLimit::new(5);
    for _ in 0..100 {
        limit.record_end(NOW, ExecutionEnd::Ran, false);
    }
    assert_eq!(limit.allowed(), 5);
    for _ in 0..6 {
        limit.record_end(NOW, ExecutionEnd::Ran, true);
    }
    assert_eq!(limit.allowed(), 6);
}

#[test]
fn burst_of_rejections_decreases_limit_once() {
    let mut limit = ConcurrencyLimit::new(10);
    for _ in 0..20 {
        limit.record_end(NOW, ExecutionEnd::Rejected, true);
    }
    assert_eq!(limit.allowed(), 7);
    limit.record_end(NOW.plus_millis(60), ExecutionEnd::Rejected, true);
    assert_eq!(limit.allowed(), 4);
}

proptest! {
    /// The limit always allows at least one statement and at most twice the slots.
    #[test]
    fn limit_stays_within_bounds(
        slots in 0_u32..200,
        ends in proptest::collection::vec((0_u64..200, 0_u8..3, any::<bool>()), 0..300),
    ) {
        let mut limit = ConcurrencyLimit::new(slots);
        let mut now = NOW;
        for (pause_ms, end, was_at_limit) in ends {
            now = now.plus_millis(pause_ms);
            let end = match end {
                0 => ExecutionEnd::Ran,
                1 => ExecutionEnd::Rejected,
                _ => ExecutionEnd::Unknown,
            };
            limit.record_end(now, end, was_at_limit);
            prop_assert!(limit.allowed() >= 1);
            prop_assert!(limit.allowed() <= 2 * slots.max(1) as usize);
        }
    }
}
