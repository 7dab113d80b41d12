//! Retry budget: retries stay a fixed share of the traffic, so that a failing
//! back end is never met by a storm of them.

/// Tokens are counted in thousandths of a retry.
const MILLI: u64 = 1_000;

/// A budget that each first attempt pays into and each retry draws from.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    balance_milli: u64,
    ceiling_milli: u64,
}

impl RetryBudget {
    /// A budget of `percent` retries per hundred first attempts, saved up to at
    /// most `ceiling` retries; it starts full.
    pub fn new(percent: u32, ceiling: u32) -> Self {
        let ceiling_milli = u64::from(ceiling) * MILLI;
        RetryBudget {
            percent: u64::from(percent),
            balance_milli: ceiling_milli,
            ceiling_milli,
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        let gained = self.percent * MILLI / 100;
        self.balance_milli = (self.balance_milli + gained).min(self.ceiling_milli);
    }

    /// Takes one retry if the budget holds one.
    pub fn withdraw(&mut self) -> bool {
        if self.balance_milli < MILLI {
            return false;
        }
        self.balance_milli -= MILLI;
        true
    }
}
