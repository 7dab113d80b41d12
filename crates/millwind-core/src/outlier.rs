//! Detects unresponsive instances and instances with a high error rate from the outcomes of
//! statements.
//!
//! An instance can accept connections and pass health checks while statements hang or fail.
//! Two signals are tracked: the time without any response while statements are in flight,
//! and the ratio of recent statements that failed.

use crate::Instant;

/// Half-life of the weight of an outcome, in microseconds.
const HALF_LIFE_MICROS: f64 = 2_000_000.0;
/// Minimum weighted number of outcomes before the failure ratio is evaluated.
const MIN_OUTCOMES: f64 = 8.0;
/// Failure ratio at or above which an instance is an outlier.
const OUTLIER_FAILURE_RATIO: f64 = 0.2;
/// Time without a response, as a multiple of the mean statement latency, after which an
/// instance is unresponsive.
const SILENCE_LATENCY_MULTIPLE: u64 = 8;
/// Bounds of the time without a response after which an instance is unresponsive, in
/// milliseconds.
const MIN_SILENCE_MS: u64 = 300;
const MAX_SILENCE_MS: u64 = 800;

/// Recent outcomes of the statements sent to one instance.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct StatementHealth {
    succeeded: f64,
    failed: f64,
    updated: Instant,
    in_flight: u32,
    /// Statements sent since the last response.
    unanswered: u32,
    /// Statements abandoned without a response since the last response.
    abandoned: u32,
    /// Start of the current period in which statements are in flight and no response has
    /// arrived.
    silent_since: Option<Instant>,
}

impl StatementHealth {
    /// Records that a statement was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.in_flight += 1;
        self.unanswered += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records a response from the instance, successful or not.
    pub fn record_response(&mut self, now: Instant) {
        self.unanswered = 0;
        self.abandoned = 0;
        if self.silent_since.is_some() {
            self.silent_since = Some(now);
        }
    }

    /// Records that a statement is no longer in flight; `was_answered` is false if it was
    /// abandoned without a response.
    pub fn record_end(&mut self, was_answered: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !was_answered {
            self.abandoned += 1;
        }
        if self.in_flight == 0 {
            self.silent_since = None;
        }
    }

    /// Records a successful statement.
    pub fn record_success(&mut self, now: Instant) {
        self.decay(now);
        self.succeeded += 1.0;
    }

    /// Records a statement that failed because of the instance or its connection.
    pub fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.failed += 1.0;
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.0.saturating_sub(self.updated.0) as f64;
        let weight = 0.5_f64.powf(elapsed / HALF_LIFE_MICROS);
        self.succeeded *= weight;
        self.failed *= weight;
        self.updated = now;
    }

    /// Returns the number of statements in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether another statement may be sent. While the instance is unresponsive,
    /// at most one statement is in flight, as a probe for recovery.
    pub fn admits_statement(&self, now: Instant, mean_us: u64) -> bool {
        let is_unresponsive = self.abandoned > 0 || self.unresponsive_since(now, mean_us).is_some();
        self.in_flight == 0 || !is_unresponsive
    }

    /// Returns whether more than one statement was sent since the last response. A single
    /// lost response does not indicate that the next statement will fail.
    pub fn has_repeated_silence(&self) -> bool {
        self.unanswered > 1
    }

    /// Returns since when the instance is unresponsive: statements are in flight, and no
    /// response has arrived for a multiple of `mean_us`, the mean statement latency.
    /// Returns `None` while the instance responds or is idle.
    pub fn unresponsive_since(&self, now: Instant, mean_us: u64) -> Option<Instant> {
        let since = self.silent_since?;
        let limit_ms = (mean_us * SILENCE_LATENCY_MULTIPLE / 1_000).clamp(MIN_SILENCE_MS, MAX_SILENCE_MS);
        (now.millis_since(since) >= limit_ms).then_some(since)
    }

    /// Returns whether the recent failure ratio is so high that other instances should be
    /// preferred.
    pub fn is_outlier(&self, now: Instant) -> bool {
        let mut current = *self;
        current.decay(now);
        let outcomes = current.succeeded + current.failed;
        outcomes >= MIN_OUTCOMES && current.failed >= outcomes * OUTLIER_FAILURE_RATIO
    }
}
