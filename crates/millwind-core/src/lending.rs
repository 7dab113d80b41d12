//! Lending of what all nodes together may use: one node lends, ahead of need or on
//! demand, and the others borrow. A loan that is not used in time is void, and the
//! lender lends no more than its supply brings, so that the sum over any window is
//! bounded however many nodes there are.

use std::collections::VecDeque;

use crate::Instant;

/// Longest time after which a caller is told to come back, in milliseconds.
const MOST_RETRY_AFTER_MS: u64 = 5_000;
/// Refusals are counted over windows of this length, in milliseconds.
const REFUSALS_MS: u64 = 1_000;

/// What a lender may lend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Supply {
    /// Operations a second.
    pub rate_per_s: f64,
    /// Operations that are saved up at most.
    pub most_saved: f64,
    /// Operations that a budget begins with where another may have lent a moment ago.
    pub first_loan: f64,
}

/// How a node borrows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowingTerms {
    /// A loan must be spent within this time from when it was asked for, in
    /// milliseconds.
    pub loan_ms: u64,
    /// Use is counted over windows of this length, in milliseconds.
    pub use_window_ms: u64,
    /// Part of what was used in one window that is asked for ahead of need, in percent;
    /// zero where loans are short, since what is not used is lost.
    pub ahead_percent: u32,
    /// A node that got nothing asks again after this time, in milliseconds.
    pub denied_pause_ms: u64,
}

/// What a lender lends.
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

/// What is left to lend, at the node that lends.
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
    pub fn new(supply: Supply, beginning: Beginning, now: Instant) -> Self {
        Budget {
            available: match beginning {
                Beginning::Empty => 0.0,
                Beginning::FirstLoan => supply.first_loan,
                Beginning::Unspent => supply.most_saved,
            },
            refilled: now,
            refused: 0,
            refused_before: 0,
            refusals_began: now,
        }
    }

    /// Lends up to `wanted` operations of `supply`, which may have changed.
    pub fn lend(&mut self, supply: Supply, wanted: u32, now: Instant) -> Loan {
        self.refill(supply, now);
        let operations = wanted.min(self.available as u32);
        self.available -= f64::from(operations);
        self.note_refusals(u64::from(wanted - operations), now);
        Loan {
            operations,
            retry_after_ms: self.retry_after_ms(supply),
        }
    }

    fn refill(&mut self, supply: Supply, now: Instant) {
        let elapsed_us = now.0.saturating_sub(self.refilled.0);
        self.refilled = self.refilled.max(now);
        let added = supply.rate_per_s * elapsed_us as f64 / 1_000_000.0;
        self.available = (self.available + added).min(supply.most_saved);
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
    fn retry_after_ms(&self, supply: Supply) -> u32 {
        let waiting = self.refused.max(self.refused_before) as f64 + 1.0;
        let wait_ms = waiting * 1_000.0 / supply.rate_per_s.max(0.001);
        wait_ms.min(MOST_RETRY_AFTER_MS as f64) as u32
    }
}

/// What becomes of an operation that a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// Nothing is left for it; its caller may come back after this time.
    Refused {
        /// In milliseconds.
        retry_after_ms: u32,
    },
    /// The lender must be asked first.
    AskFirst,
}

/// A node's loans of one lender.
#[derive(Debug)]
pub struct Allowance {
    terms: BorrowingTerms,
    /// Operations left of each loan, with the time until which they may be used.
    loans: VecDeque<(u32, Instant)>,
    /// Nothing was lent: refused until the first time, told the second.
    denied: Option<(Instant, u32)>,
    used: u32,
    used_before: u32,
    use_began: Instant,
}

impl Allowance {
    /// Nothing is lent yet.
    pub fn new(terms: BorrowingTerms) -> Self {
        Allowance {
            terms,
            loans: VecDeque::new(),
            denied: None,
            used: 0,
            used_before: 0,
            use_began: Instant::default(),
        }
    }

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
    /// and a part of what was used in the last window.
    pub fn wanted(&mut self, waiting: u32, now: Instant) -> u32 {
        self.turn_window(now);
        let ahead = self.ahead();
        (waiting + ahead).max(1)
    }

    /// Whether a loan should be asked for before the present ones are spent: no more
    /// than half of what is asked for ahead is left.
    pub fn is_low(&mut self, now: Instant) -> bool {
        self.turn_window(now);
        let valid = self.loans.iter().filter(|(_, until)| *until > now);
        let left: u32 = valid.map(|(left, _)| *left).sum();
        let ahead = self.ahead() / 2;
        ahead > 0 && left < ahead && self.denied.is_none_or(|(until, _)| until <= now)
    }

    /// Takes in the answer to a question sent at `asked`.
    pub fn lent(&mut self, loan: Loan, asked: Instant, now: Instant) {
        if loan.operations > 0 {
            self.loans
                .push_back((loan.operations, asked.plus_millis(self.terms.loan_ms)));
            self.denied = None;
        } else {
            self.denied = Some((now.plus_millis(self.terms.denied_pause_ms), loan.retry_after_ms));
        }
    }

    fn ahead(&self) -> u32 {
        let used = u64::from(self.used.max(self.used_before));
        (used * u64::from(self.terms.ahead_percent) / 100) as u32
    }

    fn turn_window(&mut self, now: Instant) {
        let age_ms = now.millis_since(self.use_began);
        if age_ms < self.terms.use_window_ms {
            return;
        }
        self.used_before = if age_ms < 2 * self.terms.use_window_ms {
            self.used
        } else {
            0
        };
        self.used = 0;
        self.use_began = now;
    }
}
