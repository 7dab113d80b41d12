//! Instances that have started a moment ago are cold: slower, and to be given
//! only so many statements a second by all nodes together.

use crate::Instant;

/// How instances of a group warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpTerms {
    /// An instance is cold for so long after its start, in milliseconds.
    pub duration_ms: u64,
    /// Statements a second that all nodes together may send to a cold one.
    pub statements_per_s: f64,
}

/// What is let pass beyond a group's terms, as the deployment's settings tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpTolerance {
    /// Of the statements a second, in percent: a hundred for nothing beyond them.
    pub overage_percent: u64,
    /// Statements beyond that in any second.
    pub slack: u64,
}

impl Default for WarmUpTolerance {
    /// Nothing beyond the terms.
    fn default() -> Self {
        WarmUpTolerance {
            overage_percent: 100,
            slack: 0,
        }
    }
}

/// Whether an instance is warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Warmth {
    /// It may be loaded like any other.
    Warm,
    /// It is cold until then.
    ColdUntil(Instant),
}

impl Warmth {
    /// Whether it is cold at `now`.
    pub fn is_cold(self, now: Instant) -> bool {
        matches!(self, Warmth::ColdUntil(until) if now < until)
    }
}
