//! How many statements a node runs at one instance at the same time.
//!
//! An instance runs as many statements at a time as it has slots. What it is
//! given beyond that waits there in the order of its arrival, and is turned away
//! when that queue is full: a node that holds the rest back itself can serve the
//! most urgent first, knows how long the others would wait, and causes no storm
//! of refusals. The limit starts at the instance's slots, since other nodes send
//! there too and one of them may have to use all; it grows slowly while it is
//! what holds statements back, and shrinks at once when the instance turns one
//! away (additive increase, multiplicative decrease).

use crate::Instant;

/// Statements per slot at most: beyond that they only wait elsewhere.
const MOST_PER_SLOT: f64 = 2.0;
/// What is left of the limit after a refusal.
const DECREASE: f64 = 0.7;
/// Refusals within this time of a decrease belong to what was under way before,
/// in milliseconds: a few times a statement's usual time.
const DECREASE_PAUSE_MS: u64 = 50;

/// How a statement's turn at an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnEnd {
    /// The instance ran it, whatever came of it.
    Ran,
    /// The instance was busy and turned it away.
    TurnedAway,
    /// Nothing is known.
    Unknown,
}

/// The limit for one instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    most: f64,
    limit: f64,
    decreased: Option<Instant>,
}

impl ConcurrencyLimit {
    /// A limit for an instance that runs `slots` statements at a time.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        ConcurrencyLimit {
            most: slots * MOST_PER_SLOT,
            limit: slots,
            decreased: None,
        }
    }

    /// Statements that may run at the same time; at least one.
    pub fn allowed(&self) -> usize {
        (self.limit as usize).max(1)
    }

    /// Takes in how a turn ended; `was_full` if no further statement could have
    /// had a turn beside it.
    pub fn ended(&mut self, now: Instant, end: TurnEnd, was_full: bool) {
        match end {
            TurnEnd::Ran if was_full => self.limit = (self.limit + 1.0 / self.limit).min(self.most),
            TurnEnd::TurnedAway => self.decrease(now),
            TurnEnd::Ran | TurnEnd::Unknown => {}
        }
    }

    fn decrease(&mut self, now: Instant) {
        let is_recent = self
            .decreased
            .is_some_and(|decreased| now.millis_since(decreased) < DECREASE_PAUSE_MS);
        if !is_recent {
            self.limit = (self.limit * DECREASE).max(1.0);
            self.decreased = Some(now);
        }
    }
}
