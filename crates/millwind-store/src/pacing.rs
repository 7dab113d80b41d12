//! Exponential backoff with jitter for calls to the store, so that the nodes do not all
//! retry at once after an outage.

use std::time::Duration;

use rand::RngExt;

const INITIAL_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(5);

/// A retry delay that doubles with each failure up to a maximum, with random jitter.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the delay before the next attempt and counts a failure. Delays grow until
    /// [`Backoff::reset`].
    pub fn next_delay(&mut self) -> Duration {
        let upper_bound = INITIAL_DELAY
            .saturating_mul(1 << self.failures.min(6))
            .min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        let jitter: f64 = rand::rng().random_range(0.5..1.0);
        upper_bound.mul_f64(jitter)
    }

    /// Resets the delay after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
