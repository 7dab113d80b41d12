//! Detects cold instances, and limits the rate of statements that all nodes together send
//! to a cold instance. An instance is cold, and therefore slower, for a while after its start.

use crate::Instant;
use crate::lending::{BorrowingSettings, Supply};

/// The warm-up limits of a group's instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpLimits {
    /// Time for which an instance is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Statements per second that all nodes together may send to a cold instance.
    pub statements_per_s: f64,
}

/// The excess over a group's warm-up limits that the deployment's settings tolerate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpTolerance {
    /// Tolerated rate, in percent of the configured rate; 100 tolerates no excess.
    pub overage_percent: u64,
    /// Additional statements tolerated within any second.
    pub slack: u64,
}

impl Default for WarmUpTolerance {
    /// Returns a tolerance without any excess.
    fn default() -> Self {
        WarmUpTolerance {
            overage_percent: 100,
            slack: 0,
        }
    }
}

/// Whether an instance is warm or cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmUpStatus {
    /// The instance accepts the normal load.
    Warm,
    /// The instance is cold until this time.
    ColdUntil(Instant),
}

impl WarmUpStatus {
    /// Returns whether the instance is cold at `now`.
    pub fn is_cold(self, now: Instant) -> bool {
        matches!(self, WarmUpStatus::ColdUntil(until) if now < until)
    }
}

/// What a node has observed about the warm-up of one process of an instance.
///
/// An instance reports its remaining warm-up time in its record. The record may have passed
/// through other nodes and may be old, so the reported time counts from when this node read
/// the record. Each read yields an upper bound for the end of the warm-up; the earliest
/// bound applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpObservation {
    /// End of the warm-up according to the records of the instance.
    reported_until: Instant,
    /// Remaining warm-up time in the last record read, in milliseconds.
    reported_ms: u64,
    /// Assumed start of the process, which applies regardless of the reported time.
    assumed_start: Option<Instant>,
    /// Set while the process is suspected to have terminated.
    suspicion: Option<SuspectedTermination>,
}

/// A suspicion that the process of an instance has terminated. Lasts until a record of a
/// new process is read or the old process is confirmed to be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SuspectedTermination {
    /// Time of the last indication.
    since: Instant,
    /// Newest known heartbeat of the instance.
    heartbeat: Option<u64>,
    /// Number of later heartbeats of the same process that were read since.
    later_heartbeats: u8,
}

/// Number of later heartbeats that confirm that a process is still running. One is not
/// enough, because it may have been written before the suspected termination and delivered
/// after it.
const CONFIRMING_HEARTBEATS: u8 = 2;

impl WarmUpObservation {
    /// Creates the state of an instance that this node first observes at `now`, with a
    /// reported remaining warm-up time of `reported_ms`. An instance that reports zero is
    /// taken as warm, because it may have been running for a long time.
    pub fn first_observed(reported_ms: u64, now: Instant) -> Self {
        WarmUpObservation {
            reported_until: now.plus_millis(reported_ms),
            reported_ms,
            assumed_start: None,
            suspicion: None,
        }
    }

    /// Creates the state of an instance whose process was observed to restart at `now`. If
    /// the instance reports no remaining warm-up time, the start is assumed to be `now`.
    pub fn restarted(reported_ms: u64, now: Instant) -> Self {
        WarmUpObservation {
            assumed_start: (reported_ms == 0).then_some(now),
            ..WarmUpObservation::first_observed(reported_ms, now)
        }
    }

    /// Returns the state after another record of the same process was read. A reported time
    /// longer than before means that the process has restarted, even if the record does not
    /// identify a new process.
    pub fn record_reread(self, reported_ms: u64, now: Instant) -> Self {
        if reported_ms > self.reported_ms {
            return WarmUpObservation::restarted(reported_ms, now);
        }
        WarmUpObservation {
            reported_until: self.reported_until.min(now.plus_millis(reported_ms)),
            reported_ms,
            ..self
        }
    }

    /// Returns the state of an instance that is used again at `now` after a period without
    /// use: the instance is treated as cold from `now` on.
    pub fn resumed_at(self, now: Instant) -> Self {
        WarmUpObservation {
            assumed_start: Some(now),
            ..self
        }
    }

    /// Returns the state after connections to the instance were refused or lost at `now`,
    /// which suggests that its process terminated. A replacement process accepts
    /// connections before its record is read, so the instance is treated as cold for the
    /// full warm-up time, unless later heartbeats show that the old process is still
    /// running.
    pub fn suspect_termination(self, heartbeat: Option<u64>, now: Instant) -> Self {
        let suspicion = SuspectedTermination {
            since: now,
            heartbeat,
            later_heartbeats: 0,
        };
        WarmUpObservation {
            suspicion: Some(suspicion),
            ..self
        }
    }

    /// Returns whether the process is suspected to have terminated.
    pub fn is_termination_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Returns the state after a record of the same process with this heartbeat was read.
    pub fn heartbeat_received(self, heartbeat: Option<u64>) -> Self {
        let Some(suspicion) = self.suspicion else {
            return self;
        };
        if heartbeat <= suspicion.heartbeat {
            return self;
        }
        let later_heartbeats = suspicion.later_heartbeats + 1;
        let updated = SuspectedTermination {
            heartbeat,
            later_heartbeats,
            ..suspicion
        };
        WarmUpObservation {
            suspicion: (later_heartbeats < CONFIRMING_HEARTBEATS).then_some(updated),
            ..self
        }
    }

    /// Returns whether the instance is warm under the warm-up limits of its group. Without
    /// limits, every instance is warm.
    pub fn status(&self, limits: Option<WarmUpLimits>, now: Instant) -> WarmUpStatus {
        let Some(limits) = limits else {
            return WarmUpStatus::Warm;
        };
        let latest_start = self
            .assumed_start
            .max(self.suspicion.map(|suspicion| suspicion.since));
        let assumed_until = latest_start.map(|start| start.plus_millis(limits.duration_ms));
        let until = assumed_until.map_or(self.reported_until, |assumed| assumed.max(self.reported_until));
        match now < until {
            true => WarmUpStatus::ColdUntil(until),
            false => WarmUpStatus::Warm,
        }
    }
}

/// Lifetime of a credit to send a statement to a cold instance, from the time of the
/// request, in milliseconds. The lifetime covers a few round trips between regions. A
/// longer lifetime reduces the lendable rate, because credits of one second may still be
/// used in the next.
pub const CREDIT_LIFETIME_MS: u64 = 150;
/// Length of the window over which statements are counted, in milliseconds.
const COUNTING_WINDOW_MS: u64 = 1_000;
/// Delay before a node whose request was denied asks again, in milliseconds.
/// With the limits on the users' sites (12 a second) the lender has some two credits by then.
const DENIED_RETRY_DELAY_MS: u64 = 100;
/// Credits that may be saved up, in percent of a window's credits.
const SAVED_CREDITS_PERCENT: f64 = 10.0;
/// Factor applied to the lending rate so that rounding errors never add up to an extra
/// credit.
const ROUNDING_MARGIN: f64 = 0.98;

/// Settings under which nodes borrow credits. Nothing is requested ahead of demand, because
/// credits are scarce and a credit that its borrower does not use is lost.
pub const BORROWING_SETTINGS: BorrowingSettings = BorrowingSettings {
    loan_ms: CREDIT_LIFETIME_MS,
    use_window_ms: COUNTING_WINDOW_MS,
    prefetch_percent: 0,
    denied_backoff_ms: DENIED_RETRY_DELAY_MS,
};

/// Returns the maximum number of statements that all nodes together may send to a cold
/// instance within any second.
pub fn max_statements_per_s(limits: WarmUpLimits, tolerance: WarmUpTolerance) -> u64 {
    let tolerated = limits.statements_per_s * tolerance.overage_percent as f64 / 100.0;
    (tolerated + tolerance.slack as f64) as u64
}

/// Returns the supply of credits that one lender may lend for a cold instance.
///
/// Credits used within a given second were lent within that second or within
/// [`CREDIT_LIFETIME_MS`] before it. In that period, a budget lends at most its saved credits
/// plus those that its rate adds, which is less than [`max_statements_per_s`] plus one. A
/// budget starts empty, so that the bound also holds when the lender changes.
pub fn credit_supply(limits: WarmUpLimits, tolerance: WarmUpTolerance) -> Supply {
    let max_statements = max_statements_per_s(limits, tolerance) as f64;
    let max_saved = (max_statements * SAVED_CREDITS_PERCENT / 100.0).max(1.0);
    let lending_window_s = (COUNTING_WINDOW_MS + CREDIT_LIFETIME_MS) as f64 / 1_000.0;
    let rate_per_s = match max_statements < 1.0 {
        true => 0.0,
        false => (max_statements + 1.0 - max_saved) / lending_window_s * ROUNDING_MARGIN,
    };
    Supply {
        rate_per_s,
        max_saved,
        initial_operations: 0.0,
    }
}
