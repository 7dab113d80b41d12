//! A retry budget that limits retries to a fixed share of the traffic, which prevents retry
//! storms against a failing back end.

/// The balance is counted in thousandths of a retry.
const MILLIS_PER_RETRY: u64 = 1_000;

/// A budget that grows with each first attempt and shrinks with each retry.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    balance_milli: u64,
    ceiling_milli: u64,
}

impl RetryBudget {
    /// Creates a full budget that allows `percent` retries per hundred first attempts and
    /// accumulates at most `ceiling` retries.
    pub fn new(percent: u32, ceiling: u32) -> Self {
        let ceiling_milli = u64::from(ceiling) * MILLIS_PER_RETRY;
        RetryBudget {
            percent: u64::from(percent),
            balance_milli: ceiling_milli,
            ceiling_milli,
        }
    }

    /// Credits the budget for a first attempt.
    pub fn deposit(&mut self) {
        let credit = self.percent * MILLIS_PER_RETRY / 100;
        self.balance_milli = (self.balance_milli + credit).min(self.ceiling_milli);
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        if self.balance_milli < MILLIS_PER_RETRY {
            return false;
        }
        self.balance_milli -= MILLIS_PER_RETRY;
        true
    }
}
