//! The monotonic clock of the process, as [`millwind_core::Instant`].

use std::sync::OnceLock;
use std::time::Duration;

use millwind_core::Instant;

/// Value of the clock at its first reading, so that earlier times can be represented.
const OFFSET_MICROS: u64 = 3_600_000_000;

static START: OnceLock<tokio::time::Instant> = OnceLock::new();

fn start() -> tokio::time::Instant {
    *START.get_or_init(tokio::time::Instant::now)
}

/// Returns the current time.
pub fn now() -> Instant {
    let elapsed = tokio::time::Instant::now().saturating_duration_since(start());
    Instant(OFFSET_MICROS + elapsed.as_micros() as u64)
}

/// Returns the time left until `deadline`; zero if it has passed.
pub fn until(deadline: Instant) -> Duration {
    Duration::from_micros(deadline.0.saturating_sub(now().0))
}

/// Returns the time `millis` milliseconds before `time`.
pub fn minus_millis(time: Instant, millis: u64) -> Instant {
    Instant(time.0.saturating_sub(millis * 1_000))
}

/// Converts `time` to a `tokio` instant; a past time becomes the current time.
pub fn deadline(time: Instant) -> tokio::time::Instant {
    tokio::time::Instant::now() + until(time)
}
