//! Adaptive limit on the statements that a node runs concurrently on one instance.
//!
//! An instance runs as many statements as it has slots, queues further ones in order of
//! arrival and rejects statements when its queue is full. A node that queues the excess
//! itself can serve urgent statements first, can estimate waiting times and avoids bursts
//! of rejections.
//!
//! The limit starts at the number of slots, since one node may have to use all of them. It
//! increases additively while it is the bottleneck and decreases multiplicatively when the
//! instance rejects a statement (AIMD).

use crate::Instant;

/// Upper bound of the limit per slot; further statements would only wait at the instance.
const MAX_PER_SLOT: f64 = 2.0;
/// Factor by which a rejection multiplies the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// Time after a decrease during which further rejections are ignored, in milliseconds,
/// since they concern statements sent before the decrease.
const DECREASE_COOLDOWN_MS: u64 = 50;

/// How the execution of a statement on an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// The instance ran the statement, with any result.
    Ran,
    /// The instance was busy and rejected the statement.
    Rejected,
    /// It is unknown whether the instance ran the statement.
    Unknown,
}

/// The concurrency limit for one instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    maximum: f64,
    limit: f64,
    last_decrease: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates the limit for an instance with `slots` slots.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        ConcurrencyLimit {
            maximum: slots * MAX_PER_SLOT,
            limit: slots,
            last_decrease: None,
        }
    }

    /// Returns the number of statements that may run concurrently; at least one.
    pub fn allowed(&self) -> usize {
        (self.limit as usize).max(1)
    }

    /// Adjusts the limit after a statement has ended. `was_at_limit` tells whether the limit
    /// was reached while the statement ran.
    pub fn record_end(&mut self, now: Instant, end: ExecutionEnd, was_at_limit: bool) {
        match end {
            ExecutionEnd::Ran if was_at_limit => {
                self.limit = (self.limit + 1.0 / self.limit).min(self.maximum)
            }
            ExecutionEnd::Rejected => self.decrease(now),
            ExecutionEnd::Ran | ExecutionEnd::Unknown => {}
        }
    }

    fn decrease(&mut self, now: Instant) {
        let is_recent = self
            .last_decrease
            .is_some_and(|last_decrease| now.millis_since(last_decrease) < DECREASE_COOLDOWN_MS);
        if !is_recent {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
            self.last_decrease = Some(now);
        }
    }
}
