//! How many connections of a pool were needed at the same time lately.

use millwind_core::Instant;

/// Time for which a peak counts in full, in milliseconds; it is forgotten after
/// twice that time.
const WINDOW_MS: u64 = 1_000;

/// The highest demand of the present window and of the one before.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeakDemand {
    window_start: Instant,
    present: usize,
    before: usize,
}

impl PeakDemand {
    /// `needed` connections are needed now.
    pub fn note(&mut self, now: Instant, needed: usize) {
        self.turn(now);
        self.present = self.present.max(needed);
    }

    /// The most that were needed at the same time lately.
    pub fn lately(&mut self, now: Instant) -> usize {
        self.turn(now);
        self.present.max(self.before)
    }

    fn turn(&mut self, now: Instant) {
        let age = now.millis_since(self.window_start);
        if age < WINDOW_MS {
            return;
        }
        self.before = match age < 2 * WINDOW_MS {
            true => self.present,
            false => 0,
        };
        self.present = 0;
        self.window_start = now;
    }
}
