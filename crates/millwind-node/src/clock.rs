//! Monotonic clock of the node, as `millwind_core::Instant`.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use millwind_core::Instant;

static START: LazyLock<std::time::Instant> = LazyLock::new(std::time::Instant::now);
/// Offset of the start time from zero, so that times before the start can be
/// represented.
const START_OFFSET: Duration = Duration::from_secs(1_000_000);

/// Returns the current time.
pub fn now() -> Instant {
    let elapsed = START.elapsed() + START_OFFSET;
    Instant(elapsed.as_micros() as u64)
}

/// Converts a past `std::time::Instant`.
pub fn from_std(time: std::time::Instant) -> Instant {
    Instant(now().0.saturating_sub(time.elapsed().as_micros() as u64))
}

/// Returns milliseconds since the Unix epoch, for incarnations and change
/// identifiers.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Returns the time until `deadline`, or zero if it has passed.
pub fn time_until(deadline: Instant) -> Duration {
    Duration::from_micros(deadline.0.saturating_sub(now().0))
}
