//! Recent peak demand for the connections of a pool.

use millwind_core::Instant;

/// Length of a window in milliseconds. A peak is remembered for one to two windows.
const WINDOW_MS: u64 = 1_000;

/// The highest demand in the current window and in the previous one.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeakDemand {
    window_start: Instant,
    current: usize,
    previous: usize,
}

impl PeakDemand {
    /// Records that `needed` connections are needed at `now`.
    pub fn record(&mut self, now: Instant, needed: usize) {
        self.advance_window(now);
        self.current = self.current.max(needed);
    }

    /// The highest recent number of connections needed at the same time.
    pub fn recent_peak(&mut self, now: Instant) -> usize {
        self.advance_window(now);
        self.current.max(self.previous)
    }

    /// Starts a new window if the current one is over.
    fn advance_window(&mut self, now: Instant) {
        let age = now.millis_since(self.window_start);
        if age < WINDOW_MS {
            return;
        }
        self.previous = match age < 2 * WINDOW_MS {
            true => self.current,
            false => 0,
        };
        self.current = 0;
        self.window_start = now;
    }
}
