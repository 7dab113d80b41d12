//! The steady clock of the process, as `millwind_core::Instant`.

use std::sync::OnceLock;
use std::time::Duration;

use millwind_core::Instant;

/// The start of the process' clock lies this far in the past, so that ages
/// can be subtracted from the first reading.
const OFFSET_MICROS: u64 = 3_600_000_000;

static START: OnceLock<tokio::time::Instant> = OnceLock::new();

fn start() -> tokio::time::Instant {
    *START.get_or_init(tokio::time::Instant::now)
}

/// The time now.
pub fn now() -> Instant {
    let elapsed = tokio::time::Instant::now().saturating_duration_since(start());
    Instant(OFFSET_MICROS + elapsed.as_micros() as u64)
}

/// Time left until `deadline`, zero if it has passed.
pub fn until(deadline: Instant) -> Duration {
    Duration::from_micros(deadline.0.saturating_sub(now().0))
}

/// This time moved earlier by `millis` milliseconds.
pub fn minus_millis(time: Instant, millis: u64) -> Instant {
    Instant(time.0.saturating_sub(millis * 1_000))
}

/// The time as `tokio` knows it.
pub fn deadline(time: Instant) -> tokio::time::Instant {
    tokio::time::Instant::now() + until(time)
}
