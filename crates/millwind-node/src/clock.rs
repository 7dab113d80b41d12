//! The node's monotonic clock, in the core's units.

use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use millwind_core::Instant;

static START: LazyLock<std::time::Instant> = LazyLock::new(std::time::Instant::now);
/// Times start well above zero, so that ages reach back before the start.
const ORIGIN: Duration = Duration::from_secs(1_000_000);

/// The present.
pub fn now() -> Instant {
    let elapsed = START.elapsed() + ORIGIN;
    Instant(elapsed.as_micros() as u64)
}

/// A time read from the standard clock.
pub fn at(time: std::time::Instant) -> Instant {
    Instant(now().0.saturating_sub(time.elapsed().as_micros() as u64))
}

/// Milliseconds since 1970, for incarnations and change identifiers.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Time left until `deadline`; zero when it has passed.
pub fn until(deadline: Instant) -> Duration {
    Duration::from_micros(deadline.0.saturating_sub(now().0))
}
