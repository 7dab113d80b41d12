//! How many statements run at an instance at the same time.

use millwind_core::Instant;
use millwind_core::concurrency_limit::{ConcurrencyLimit, TurnEnd};
use proptest::prelude::*;

const NOW: Instant = Instant::from_millis(10_000);

#[test]
fn it_starts_at_the_slots() {
    assert_eq!(ConcurrencyLimit::new(5).allowed(), 5);
    assert_eq!(ConcurrencyLimit::new(0).allowed(), 1);
}

#[test]
fn it_grows_only_while_it_holds_statements_back() {
    let mut limit = ConcurrencyLimit::new(5);
    for _ in 0..100 {
        limit.ended(NOW, TurnEnd::Ran, false);
    }
    assert_eq!(limit.allowed(), 5);
    for _ in 0..6 {
        limit.ended(NOW, TurnEnd::Ran, true);
    }
    assert_eq!(limit.allowed(), 6);
}

#[test]
fn refusals_of_one_burst_shrink_it_once() {
    let mut limit = ConcurrencyLimit::new(10);
    for _ in 0..20 {
        limit.ended(NOW, TurnEnd::TurnedAway, true);
    }
    assert_eq!(limit.allowed(), 7);
    limit.ended(NOW.plus_millis(60), TurnEnd::TurnedAway, true);
    assert_eq!(limit.allowed(), 4);
}

proptest! {
    /// Whatever happens, one statement may run, and never more than twice the
    /// slots.
    #[test]
    fn it_stays_within_its_bounds(
        slots in 0_u32..200,
        ends in proptest::collection::vec((0_u64..200, 0_u8..3, any::<bool>()), 0..300),
    ) {
        let mut limit = ConcurrencyLimit::new(slots);
        let mut now = NOW;
        for (pause_ms, end, was_full) in ends {
            now = now.plus_millis(pause_ms);
            let end = match end {
                0 => TurnEnd::Ran,
                1 => TurnEnd::TurnedAway,
                _ => TurnEnd::Unknown,
            };
            limit.ended(now, end, was_full);
            prop_assert!(limit.allowed() >= 1);
            prop_assert!(limit.allowed() <= 2 * slots.max(1) as usize);
        }
    }
}
