//! Rate limiting across nodes by loans: one node, the lender, holds the budget, and the
//! other nodes borrow operations from it on demand or ahead of demand. Unused loans expire,
//! and the lender lends no more than its supply allows, so the total over any window is
//! bounded whatever the number of nodes.

use std::collections::VecDeque;

use crate::Instant;

/// Longest retry delay that a refused caller is given, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 5_000;
/// Length of the windows over which refusals are counted, in milliseconds.
const REFUSAL_WINDOW_MS: u64 = 1_000;

/// Limits on what a lender may lend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Supply {
    /// Refill rate, in operations per second.
    pub rate_per_s: f64,
    /// Maximum number of operations that accumulate while they are not lent.
    pub max_saved: f64,
    /// Operations in a new budget if another node may have lent a moment ago.
    pub initial_operations: f64,
}

/// Parameters of a borrowing node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowingSettings {
    /// How long a loan may be used, counted from its request, in milliseconds.
    pub loan_ms: u64,
    /// Length of the windows over which usage is counted, in milliseconds.
    pub use_window_ms: u64,
    /// Share of one window's usage that is borrowed ahead of demand, in percent. Zero for
    /// short-lived loans, because unused operations are lost.
    pub prefetch_percent: u32,
    /// How long a node waits after a denied loan before it asks again, in milliseconds.
    pub denied_backoff_ms: u64,
}

/// A lender's answer to a request for operations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// Number of operations that the borrower may admit.
    pub operations: u32,
    /// Retry delay for callers that are refused, in milliseconds.
    pub retry_after_ms: u32,
}

/// Initial content of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InitialBudget {
    /// Nothing, because many nodes may create such a budget at the same moment.
    Empty,
    /// [`Supply::initial_operations`], because another node may have lent the full supply
    /// a moment ago.
    Reduced,
    /// [`Supply::max_saved`], because no node has lent from this supply recently.
    Full,
}

/// The operations that a lender has left to lend.
#[derive(Debug)]
pub struct Budget {
    available: f64,
    last_refill: Instant,
    /// Operations requested and not lent in the current window of refusals.
    refused: u64,
    /// Operations requested and not lent in the window before.
    refused_in_previous_window: u64,
    refusal_window_start: Instant,
}

impl Budget {
    /// Creates a budget at `now`.
    pub fn new(supply: Supply, initial: InitialBudget, now: Instant) -> Self {
        Budget {
            available: match initial {
                InitialBudget::Empty => 0.0,
                InitialBudget::Reduced => supply.initial_operations,
                InitialBudget::Full => supply.max_saved,
            },
            last_refill: now,
            refused: 0,
            refused_in_previous_window: 0,
            refusal_window_start: now,
        }
    }

    /// Lends up to `wanted` operations. `supply` may differ from the previous call's.
    pub fn lend(&mut self, supply: Supply, wanted: u32, now: Instant) -> Loan {
        self.refill(supply, now);
        let operations = wanted.min(self.available as u32);
        self.available -= f64::from(operations);
        self.count_refusals(u64::from(wanted - operations), now);
        Loan {
            operations,
            retry_after_ms: self.retry_after_ms(supply),
        }
    }

    fn refill(&mut self, supply: Supply, now: Instant) {
        let elapsed_us = now.0.saturating_sub(self.last_refill.0);
        self.last_refill = self.last_refill.max(now);
        let added = supply.rate_per_s * elapsed_us as f64 / 1_000_000.0;
        self.available = (self.available + added).min(supply.max_saved);
    }

    fn count_refusals(&mut self, refused: u64, now: Instant) {
        let age_ms = now.millis_since(self.refusal_window_start);
        if age_ms >= REFUSAL_WINDOW_MS {
            self.refused_in_previous_window = if age_ms < 2 * REFUSAL_WINDOW_MS {
                self.refused
            } else {
                0
            };
            self.refused = 0;
            self.refusal_window_start = now;
        }
        self.refused += refused;
    }

    /// Returns the time in which the refill rate serves all recent refusals, so that callers that
    /// retry find operations available and do not all retry at the same moment.
    fn retry_after_ms(&self, supply: Supply) -> u32 {
        let waiting = self.refused.max(self.refused_in_previous_window) as f64 + 1.0;
        let wait_ms = waiting * 1_000.0 / supply.rate_per_s.max(0.001);
        wait_ms.min(MAX_RETRY_AFTER_MS as f64) as u32
    }
}

/// Decision on an operation that a caller requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The operation may run.
    Admitted,
    /// No operation is available; the caller may retry later.
    Refused {
        /// Retry delay, in milliseconds.
        retry_after_ms: u32,
    },
    /// The lender must be asked for a loan first.
    LoanRequired,
}

/// One node's loans from one lender.
#[derive(Debug)]
pub struct Allowance {
    settings: BorrowingSettings,
    /// Operations left in each loan, and when the loan expires.
    loans: VecDeque<(u32, Instant)>,
    /// After a denied loan: until when callers are refused, and their retry delay in milliseconds.
    denied: Option<(Instant, u32)>,
    used: u32,
    used_in_previous_window: u32,
    usage_window_start: Instant,
}

impl Allowance {
    /// Creates an allowance without loans.
    pub fn new(settings: BorrowingSettings) -> Self {
        Allowance {
            settings,
            loans: VecDeque::new(),
            denied: None,
            used: 0,
            used_in_previous_window: 0,
            usage_window_start: Instant::default(),
        }
    }

    /// Counts an operation that a caller requests.
    pub fn count_request(&mut self, now: Instant) {
        self.advance_usage_window(now);
        self.used += 1;
    }

    /// Admits one operation if a loan covers it.
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
            _ => Admission::LoanRequired,
        }
    }

    /// Returns the number of operations to request from the lender: one for each of the
    /// `waiting` callers, and a share of recent usage ahead of demand.
    pub fn operations_to_request(&mut self, waiting: u32, now: Instant) -> u32 {
        self.advance_usage_window(now);
        let ahead = self.ahead_of_demand();
        (waiting + ahead).max(1)
    }

    /// Returns whether to borrow ahead of demand before the present loans are used up: less than
    /// half of the share requested ahead of demand is left, and no denial is in force.
    pub fn should_borrow_ahead(&mut self, now: Instant) -> bool {
        self.advance_usage_window(now);
        let valid = self.loans.iter().filter(|(_, until)| *until > now);
        let left: u32 = valid.map(|(left, _)| *left).sum();
        let threshold = self.ahead_of_demand() / 2;
        threshold > 0 && left < threshold && self.denied.is_none_or(|(until, _)| until <= now)
    }

    /// Records the lender's answer to a request sent at `asked`.
    pub fn record_loan(&mut self, loan: Loan, asked: Instant, now: Instant) {
        if loan.operations > 0 {
            self.loans
                .push_back((loan.operations, asked.plus_millis(self.settings.loan_ms)));
            self.denied = None;
        } else {
            self.denied = Some((
                now.plus_millis(self.settings.denied_backoff_ms),
                loan.retry_after_ms,
            ));
        }
    }

    fn ahead_of_demand(&self) -> u32 {
        let used = u64::from(self.used.max(self.used_in_previous_window));
        (used * u64::from(self.settings.prefetch_percent) / 100) as u32
    }

    fn advance_usage_window(&mut self, now: Instant) {
        let age_ms = now.millis_since(self.usage_window_start);
        if age_ms < self.settings.use_window_ms {
            return;
        }
        self.used_in_previous_window = if age_ms < 2 * self.settings.use_window_ms {
            self.used
        } else {
            0
        };
        self.used = 0;
        self.usage_window_start = now;
    }
}
