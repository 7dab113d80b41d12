//! Whether an instance answers its statements as it should, whatever its
//! health checks say.
//!
//! An instance can accept connections and answer checks while statements hang
//! or break. Two signs are kept: how long it has been silent while statements
//! were under way, and the share of statements that failed lately.

use crate::Instant;

/// Outcomes lose half of their weight in this time, in microseconds.
const HALF_LIFE_MICROS: f64 = 2_000_000.0;
/// Outcomes, as weighted, before a share is judged.
const LEAST_OUTCOMES: f64 = 8.0;
/// Share of failures from which on an instance is an outlier.
const OUTLIER_SHARE: f64 = 0.2;
/// Silence is judged against so many times the mean time of a statement.
const SILENCE_FACTOR: u64 = 8;
/// Least and most silence that marks an instance as unresponsive, in
/// milliseconds.
const LEAST_SILENCE_MS: u64 = 300;
const MOST_SILENCE_MS: u64 = 800;

/// How the statements of one instance have ended lately.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct StatementHealth {
    succeeded: f64,
    failed: f64,
    updated: Instant,
    under_way: u32,
    /// Statements sent since the last answer.
    unanswered: u32,
    /// Statements given up since the last answer.
    given_up: u32,
    /// Since when statements are under way and none has been answered.
    silent_since: Option<Instant>,
}

impl StatementHealth {
    /// A statement was sent.
    pub fn sent(&mut self, now: Instant) {
        self.under_way += 1;
        self.unanswered += 1;
        self.silent_since.get_or_insert(now);
    }

    /// The instance answered a statement, with a success or not.
    pub fn answered(&mut self, now: Instant) {
        self.unanswered = 0;
        self.given_up = 0;
        if self.silent_since.is_some() {
            self.silent_since = Some(now);
        }
    }

    /// A statement is no longer under way; `was_answered` unless it was given
    /// up.
    pub fn ended(&mut self, was_answered: bool) {
        self.under_way = self.under_way.saturating_sub(1);
        if !was_answered {
            self.given_up += 1;
        }
        if self.under_way == 0 {
            self.silent_since = None;
        }
    }

    /// A statement succeeded.
    pub fn succeeded(&mut self, now: Instant) {
        self.decay(now);
        self.succeeded += 1.0;
    }

    /// A statement got no answer, or failed where it should not.
    pub fn failed(&mut self, now: Instant) {
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

    /// Statements under way.
    pub fn under_way(&self) -> u32 {
        self.under_way
    }

    /// Whether one more statement may be sent: while the instance is silent only
    /// one at a time, which shows when it is well again.
    pub fn admits(&self, now: Instant, mean_us: u64) -> bool {
        let is_silent = self.given_up > 0 || self.unresponsive_since(now, mean_us).is_some();
        self.under_way == 0 || !is_silent
    }

    /// Whether several statements in a row were not answered: one lost answer
    /// says nothing of the next statement.
    pub fn is_repeatedly_silent(&self) -> bool {
        self.unanswered > 1
    }

    /// Since when the instance is unresponsive: statements are under way, and
    /// none was answered for much longer than `mean_us`, their mean time.
    pub fn unresponsive_since(&self, now: Instant, mean_us: u64) -> Option<Instant> {
        let since = self.silent_since?;
        let limit_ms = (mean_us * SILENCE_FACTOR / 1_000).clamp(LEAST_SILENCE_MS, MOST_SILENCE_MS);
        (now.millis_since(since) >= limit_ms).then_some(since)
    }

    /// Whether so many statements failed lately that others should serve.
    pub fn is_outlier(&self, now: Instant) -> bool {
        let mut current = *self;
        current.decay(now);
        let outcomes = current.succeeded + current.failed;
        outcomes >= LEAST_OUTCOMES && current.failed >= outcomes * OUTLIER_SHARE
    }
}
