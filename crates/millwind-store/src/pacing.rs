//! Pacing of calls to the store: a backoff that grows with jitter, so that the
//! store's return after an outage is not met by all nodes at once.

use std::time::Duration;

use rand::RngExt;

const FIRST_DELAY: Duration = Duration::from_millis(100);
const LONGEST_DELAY: Duration = Duration::from_secs(5);

/// A delay that doubles with each failure, spread by jitter.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The delay before the next try; grows until [`Backoff::reset`].
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = FIRST_DELAY
            .saturating_mul(1 << self.failures.min(6))
            .min(LONGEST_DELAY);
        self.failures = self.failures.saturating_add(1);
        let share: f64 = rand::rng().random_range(0.5..1.0);
        ceiling.mul_f64(share)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
