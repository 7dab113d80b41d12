//! What a tenant may ask for, however many nodes its callers use.
//!
//! One node counts for a tenant: it lends operations of the tenant's budget to the
//! nodes that its callers use, ahead of need and sized by what each used lately.
//! Over every window the operations that run stay within rate times window plus
//! burst, with a tenth to spare: loans run out, a budget that begins anew begins
//! almost empty, and a part of the burst is kept back for operations that run later
//! than they were admitted.

use std::collections::VecDeque;

use crate::Instant;

/// What a tenant may ask for, summed over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Operations a second.
    pub rate_per_s: u64,
    /// Operations beyond that at one moment.
    pub burst: u64,
}

/// Part of the burst that is lent, in percent. The rest covers operations that run
/// after others of a later window were admitted: those that wait at an instance,
/// and those of loans that are spent late (up to 0.25 s of use).
const LENT_BURST_PERCENT: u64 = 80;
/// A budget that begins anew holds so much of a second's rate, in percent: an
/// earlier count may have lent all of it a moment ago.
const FIRST_LOAN_PERCENT: u64 = 20;
/// Operations that it holds at least, so that a small tenant's first are served.
const LEAST_FIRST_LOAN: f64 = 2.0;
/// Rate of a node that stands in for one that counts and is reached by itself, in
/// percent: both may lend at the same time, and a tenth of the window's
/// operations is there to cover it.
pub const STAND_IN_PERCENT: u32 = 25;
/// Rate of all nodes together that reach nobody who counts, in percent; each has an
/// even part of it.
pub const UNCOUNTED_PERCENT: u32 = 50;
/// A loan must be spent within this time from when it was asked for, in
/// milliseconds.
const LOAN_MS: u64 = 1_000;
/// Use is counted over windows of this length, in milliseconds; a node asks ahead
/// for half of what it used in one.
const USE_WINDOW_MS: u64 = 500;
/// A node that got nothing asks again after this time, in milliseconds: at 59 nodes
/// some 400 questions a second reach the node that counts for a tenant at its
/// limit.
const DENIED_PAUSE_MS: u64 = 150;
/// Longest time after which a caller is told to come back, in milliseconds.
const MOST_RETRY_AFTER_MS: u64 = 5_000;
/// Refusals are counted over windows of this length, in milliseconds.
const REFUSALS_MS: u64 = 1_000;

/// What one of the two nodes that may count for a tenant sees of the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherCounter {
    /// It answers.
    Heard,
    /// Its process is gone, so that it counts for nobody.
    Gone,
    /// It says nothing: it may be cut off, and lend on its side.
    Silent,
}

/// What a node that counts sees of the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reach {
    /// Nodes that it reaches, itself among them, in percent of all.
    pub percent: u32,
    /// The other node that may count.
    pub other: OtherCounter,
}

/// How much of a quota a node lends that counts first for it (`is_first`) or stands in
/// for the one that does, in percent.
///
/// Nodes that reach neither use an even part each, [`UNCOUNTED_PERCENT`] of all together:
/// that is taken off for those that this node does not reach. Where the other one that
/// counts may lend on another side of a cut, each side lends what its nodes are of all.
/// Without this, two fifths of the nodes cut off let a tenant at its limit run up to
/// 1.05 times what the users allow in five seconds.
pub fn lent_percent(is_first: bool, reach: Reach) -> u32 {
    let reached = reach.percent.min(100);
    match (is_first, reach.other) {
        (false, OtherCounter::Heard) => STAND_IN_PERCENT,
        (_, OtherCounter::Silent) => reached,
        (true, OtherCounter::Heard) | (_, OtherCounter::Gone) => {
            100 - (100 - reached) * UNCOUNTED_PERCENT / 100
        }
    }
}

impl Quota {
    /// This part of it, in percent of the rate and the burst.
    pub fn part(self, percent: f64) -> PartialQuota {
        PartialQuota {
            rate_per_s: self.rate_per_s as f64 * percent / 100.0,
            burst: self.burst as f64 * percent / 100.0,
        }
    }

    /// All of it.
    pub fn whole(self) -> PartialQuota {
        self.part(100.0)
    }
}

/// A part of a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartialQuota {
    /// Operations a second.
    rate_per_s: f64,
    /// Operations beyond that at one moment.
    burst: f64,
}

impl PartialQuota {
    fn most_lent(&self) -> f64 {
        (self.burst * LENT_BURST_PERCENT as f64 / 100.0).max(1.0)
    }
}

/// What a node that counts lends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// Operations that may be admitted.
    pub operations: u32,
    /// When callers that are refused may come back, in milliseconds.
    pub retry_after_ms: u32,
}

/// What a budget holds when it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Beginning {
    /// Nothing: many nodes may begin one at the same moment.
    Empty,
    /// A little: another node may have lent all of it a moment ago.
    FirstLoan,
    /// All: nobody has lent any of it lately.
    Unspent,
}

/// A tenant's budget at the node that counts for it.
#[derive(Debug)]
pub struct Budget {
    available: f64,
    refilled: Instant,
    /// Operations that were asked for and not lent, in this window of refusals and
    /// in the one before.
    refused: u64,
    refused_before: u64,
    refusals_began: Instant,
}

impl Budget {
    /// A budget that begins at `now`.
    pub fn new(quota: PartialQuota, beginning: Beginning, now: Instant) -> Self {
        let first = quota.rate_per_s * FIRST_LOAN_PERCENT as f64 / 100.0;
        Budget {
            available: match beginning {
                Beginning::Empty => 0.0,
                Beginning::FirstLoan => first.max(LEAST_FIRST_LOAN).min(quota.most_lent()),
                Beginning::Unspent => quota.most_lent(),
            },
            refilled: now,
            refused: 0,
            refused_before: 0,
            refusals_began: now,
        }
    }

    /// Lends up to `wanted` operations under `quota`, which may have changed.
    pub fn lend(&mut self, quota: PartialQuota, wanted: u32, now: Instant) -> Loan {
        self.refill(quota, now);
        let operations = wanted.min(self.available as u32);
        self.available -= f64::from(operations);
        self.note_refusals(u64::from(wanted - operations), now);
        Loan {
            operations,
            retry_after_ms: self.retry_after_ms(quota),
        }
    }

    fn refill(&mut self, quota: PartialQuota, now: Instant) {
        let elapsed_us = now.0.saturating_sub(self.refilled.0);
        self.refilled = now;
        let added = quota.rate_per_s * elapsed_us as f64 / 1_000_000.0;
        self.available = (self.available + added).min(quota.most_lent());
    }

    fn note_refusals(&mut self, refused: u64, now: Instant) {
        let age_ms = now.millis_since(self.refusals_began);
        if age_ms >= REFUSALS_MS {
            self.refused_before = if age_ms < 2 * REFUSALS_MS { self.refused } else { 0 };
            self.refused = 0;
            self.refusals_began = now;
        }
        self.refused += refused;
    }

    /// Time in which the rate would serve all that were refused lately: those that
    /// come back then find operations, and they don't come back at one moment.
    fn retry_after_ms(&self, quota: PartialQuota) -> u32 {
        let waiting = self.refused.max(self.refused_before) as f64 + 1.0;
        let wait_ms = waiting * 1_000.0 / quota.rate_per_s.max(0.001);
        wait_ms.min(MOST_RETRY_AFTER_MS as f64) as u32
    }
}

/// What becomes of an operation that a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// It is over the quota; its caller may come back after this time.
    Refused {
        /// In milliseconds.
        retry_after_ms: u32,
    },
    /// The node that counts must be asked first.
    AskFirst,
}

/// A node's loans for one tenant.
#[derive(Debug, Default)]
pub struct Allowance {
    /// Operations left of each loan, with the time until which they may be used.
    loans: VecDeque<(u32, Instant)>,
    /// Nothing was lent: refused until the first time, told the second.
    denied: Option<(Instant, u32)>,
    used: u32,
    used_before: u32,
    use_began: Instant,
}

impl Allowance {
    /// Takes in that a caller asks for an operation.
    pub fn arrived(&mut self, now: Instant) {
        self.turn_window(now);
        self.used += 1;
    }

    /// Admits one operation if there is a loan for it.
    pub fn admit(&mut self, now: Instant) -> Admission {
        while let Some((left, until)) = self.loans.front_mut() {
            if *until <= now || *left == 0 {
                self.loans.pop_front();
                continue;
            }
            *left -= 1;
            return Admission::Admitted;
        }
        match self.denied {
            Some((until, retry_after_ms)) if now < until => Admission::Refused { retry_after_ms },
            _ => Admission::AskFirst,
        }
    }

    /// Operations to ask for while `waiting` callers wait for the answer: theirs,
    /// and half of what was used in the last window.
    pub fn wanted(&mut self, waiting: u32, now: Instant) -> u32 {
        self.turn_window(now);
        let ahead = self.used.max(self.used_before) / 2;
        (waiting + ahead).max(1)
    }

    /// Whether a loan should be asked for before the present ones are spent: no more
    /// than a quarter of what was used in the last window is left.
    pub fn is_low(&mut self, now: Instant) -> bool {
        self.turn_window(now);
        let valid = self.loans.iter().filter(|(_, until)| *until > now);
        let left: u32 = valid.map(|(left, _)| *left).sum();
        let ahead = self.used.max(self.used_before) / 4;
        ahead > 0 && left < ahead && self.denied.is_none_or(|(until, _)| until <= now)
    }

    /// Takes in the answer to a question sent at `asked`.
    pub fn lent(&mut self, loan: Loan, asked: Instant, now: Instant) {
        if loan.operations > 0 {
            self.loans
                .push_back((loan.operations, asked.plus_millis(LOAN_MS)));
            self.denied = None;
        } else {
            self.denied = Some((now.plus_millis(DENIED_PAUSE_MS), loan.retry_after_ms));
        }
    }

    fn turn_window(&mut self, now: Instant) {
        let age_ms = now.millis_since(self.use_began);
        if age_ms < USE_WINDOW_MS {
            return;
        }
        self.used_before = if age_ms < 2 * USE_WINDOW_MS { self.used } else { 0 };
        self.used = 0;
        self.use_began = now;
    }
}
