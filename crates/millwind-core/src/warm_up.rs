//! Instances that have started a moment ago are cold: slower, and to be given
//! only so many statements a second by all nodes together.

use crate::Instant;
use crate::lending::{BorrowingTerms, Supply};

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

/// What a node has seen of one life of an instance that tells whether it is warm.
///
/// An instance tells for how long it stays slow. Its record may have travelled through
/// other nodes and may be old, so what it tells counts from when this node read it; of
/// several such times each is an upper bound, and the earliest holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sight {
    /// It is cold until then by its own word.
    told_until: Instant,
    /// What its record told when it was last read, in milliseconds.
    told_ms: u64,
    /// It is taken to have begun then, whatever it tells.
    begun: Option<Instant>,
    /// Its process seemed to end.
    doubt: Option<Doubt>,
}

/// The process of an instance seemed to end, and no record of a new one was read yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Doubt {
    /// Its last sign.
    since: Instant,
    /// The newest heartbeat that is known of the instance.
    heartbeat: Option<u64>,
    /// Later heartbeats of the same life that were read since.
    later: u8,
}

/// So many later heartbeats show that a process did not end: the first may have been
/// written before the sign of its end, and been on its way.
const SETTLING_HEARTBEATS: u8 = 2;

impl Sight {
    /// An instance that this node sees for the first time at `now`, whose record tells
    /// that it stays slow for `told_ms`. One that tells nothing may have run for long.
    pub fn first(told_ms: u64, now: Instant) -> Self {
        Sight {
            told_until: now.plus_millis(told_ms),
            told_ms,
            begun: None,
            doubt: None,
        }
    }

    /// A new life of an instance is seen at `now`. One that does not tell for how long
    /// it stays slow is taken to have begun just now.
    pub fn new_life(told_ms: u64, now: Instant) -> Self {
        Sight {
            begun: (told_ms == 0).then_some(now),
            ..Sight::first(told_ms, now)
        }
    }

    /// The record of the same life is read again. One that tells that it stays slow for
    /// longer than it told before has begun again, though it does not tell its life.
    pub fn read_again(self, told_ms: u64, now: Instant) -> Self {
        if told_ms > self.told_ms {
            return Sight::new_life(told_ms, now);
        }
        Sight {
            told_until: self.told_until.min(now.plus_millis(told_ms)),
            told_ms,
            ..self
        }
    }

    /// The instance may be used again after nobody has used it for a while: it is taken
    /// as cold from `now` on.
    pub fn unused_until(self, now: Instant) -> Self {
        Sight {
            begun: Some(now),
            ..self
        }
    }

    /// The process of the instance seems to have ended at `now`: connections to it were
    /// refused or lost. One that began anew in its place takes connections before its
    /// record is read, so the instance counts as cold for as long as a new one would,
    /// unless later records show that the former process lives on.
    pub fn doubted(self, heartbeat: Option<u64>, now: Instant) -> Self {
        let doubt = Doubt {
            since: now,
            heartbeat,
            later: 0,
        };
        Sight {
            doubt: Some(doubt),
            ..self
        }
    }

    /// Whether its process seemed to end, and that is not settled.
    pub fn is_doubted(&self) -> bool {
        self.doubt.is_some()
    }

    /// A record of the same life was read, with this heartbeat.
    pub fn heard(self, heartbeat: Option<u64>) -> Self {
        let Some(doubt) = self.doubt else {
            return self;
        };
        if heartbeat <= doubt.heartbeat {
            return self;
        }
        let later = doubt.later + 1;
        let renewed = Doubt {
            heartbeat,
            later,
            ..doubt
        };
        Sight {
            doubt: (later < SETTLING_HEARTBEATS).then_some(renewed),
            ..self
        }
    }

    /// Whether an instance of a group with these terms is warm. Without terms all are.
    pub fn warmth(&self, terms: Option<WarmUpTerms>, now: Instant) -> Warmth {
        let Some(terms) = terms else {
            return Warmth::Warm;
        };
        let taken_to_begin = self.begun.max(self.doubt.map(|doubt| doubt.since));
        let begun_until = taken_to_begin.map(|begun| begun.plus_millis(terms.duration_ms));
        let until = begun_until.map_or(self.told_until, |begun| begun.max(self.told_until));
        match now < until {
            true => Warmth::ColdUntil(until),
            false => Warmth::Warm,
        }
    }
}

/// A place at a cold instance must be used within this time from when it was asked for,
/// in milliseconds: a few round trips between regions (20 ms one way on the users'
/// sites). The longer it is, the less can be lent, since places of an earlier second
/// may still be used in the next.
pub const PLACE_MS: u64 = 150;
/// The window over which arrivals are summed, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// A node that got no place asks again after this time, in milliseconds: with the terms
/// on the users' sites (12 a second) the lender has some two places by then.
const DENIED_PAUSE_MS: u64 = 100;
/// Part of the places of a window that may be lent at one moment, in percent.
const SAVED_PERCENT: f64 = 10.0;
/// Part of the rate that is lent: keeps sums of fractions below the next whole place.
const ROUNDING: f64 = 0.98;

/// How nodes borrow places to arrive. Nothing is asked for ahead of need: there are few
/// places, and those that a node does not use are lost for all.
pub const BORROWING: BorrowingTerms = BorrowingTerms {
    loan_ms: PLACE_MS,
    use_window_ms: WINDOW_MS,
    ahead_percent: 0,
    denied_pause_ms: DENIED_PAUSE_MS,
};

/// Statements that all nodes together may send to a cold instance within any second.
pub fn most_arrivals(terms: WarmUpTerms, tolerance: WarmUpTolerance) -> u64 {
    let nominal = terms.statements_per_s * tolerance.overage_percent as f64 / 100.0;
    (nominal + tolerance.slack as f64) as u64
}

/// What one lender may lend of the places at a cold instance.
///
/// Places that are used within one second were lent within that second or within
/// [`PLACE_MS`] before it; a budget lends no more in that time than what it had saved
/// and what the rate brings, which is below one more than [`most_arrivals`]. It begins
/// empty, so that the sum holds also where one lender follows another.
pub fn supply(terms: WarmUpTerms, tolerance: WarmUpTolerance) -> Supply {
    let most = most_arrivals(terms, tolerance) as f64;
    let most_saved = (most * SAVED_PERCENT / 100.0).max(1.0);
    let lending_s = (WINDOW_MS + PLACE_MS) as f64 / 1_000.0;
    let rate_per_s = match most < 1.0 {
        true => 0.0,
        false => (most + 1.0 - most_saved) / lending_s * ROUNDING,
    };
    Supply {
        rate_per_s,
        most_saved,
        first_loan: 0.0,
    }
}
