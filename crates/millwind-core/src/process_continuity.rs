//! Whether a node's connections show that the process of an instance is still the same.
//!
//! An instance may restart under its name and address, and its new process accepts connections
//! before its record is read. A new connection leads to the known process if an older one is
//! alive at that time, or was a moment before. Otherwise the instance may have restarted.

use crate::Instant;

/// Shortest time in which a process ends and another one accepts connections at its address, in
/// milliseconds.
const MIN_RESTART_MS: u64 = 250;

/// What the connections of a node have shown about the process of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProcessContinuity {
    /// Whether a connection has been open before.
    was_connected: bool,
    /// When a connection was last known to be alive.
    alive_at: Instant,
    /// Whether the instance may have restarted; cleared when read.
    may_have_restarted: bool,
}

impl ProcessContinuity {
    /// Records that an established connection is alive: it has answered, or is idle and not
    /// closed.
    pub fn record_alive(&mut self, now: Instant) {
        self.alive_at = now;
    }

    /// Records that a connection was opened. `is_any_idle` tells whether another one is idle and
    /// not closed. Connections that wait for an answer show nothing: the process may have ended.
    pub fn record_opened(&mut self, is_any_idle: bool, now: Instant) {
        let was_alive = is_any_idle || now.millis_since(self.alive_at) < MIN_RESTART_MS;
        self.may_have_restarted |= self.was_connected && !was_alive;
        self.was_connected = true;
        self.alive_at = now;
    }

    /// Records that the instance has closed all idle connections, as a terminating process does.
    pub fn record_all_closed(&mut self) {
        self.may_have_restarted = true;
    }

    /// Returns whether the instance may have restarted since the last call.
    pub fn take_possible_restart(&mut self) -> bool {
        std::mem::take(&mut self.may_have_restarted)
    }
}
