//! What a tenant may ask for, however many nodes its callers use.
//!
//! One node counts for a tenant: it lends operations of the tenant's budget to the
//! nodes that its callers use, ahead of need and sized by what each used lately.
//! Over every window the operations that run stay within rate times window plus
//! burst, with a tenth to spare: loans run out, a budget that begins anew begins
//! almost empty, and a part of the burst is kept back for operations that run later
//! than they were admitted.

use crate::lending::{BorrowingTerms, Supply};

pub use crate::lending::{Admission, Allowance, Beginning, Budget, Loan};

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
/// Use is counted over windows of this length, in milliseconds.
const USE_WINDOW_MS: u64 = 500;
/// A node asks ahead for this part of what it used in one, in percent.
const AHEAD_PERCENT: u32 = 50;
/// A node that got nothing asks again after this time, in milliseconds: at 59 nodes
/// some 400 questions a second reach the node that counts for a tenant at its
/// limit.
const DENIED_PAUSE_MS: u64 = 150;

/// How nodes borrow operations of a tenant.
const BORROWING: BorrowingTerms = BorrowingTerms {
    loan_ms: LOAN_MS,
    use_window_ms: USE_WINDOW_MS,
    ahead_percent: AHEAD_PERCENT,
    denied_pause_ms: DENIED_PAUSE_MS,
};

impl Default for Allowance {
    /// Nothing is lent yet of a tenant's quota.
    fn default() -> Self {
        Allowance::new(BORROWING)
    }
}

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
    /// What may be lent of this part of it, in percent of the rate and the burst.
    pub fn part(self, percent: f64) -> Supply {
        let rate_per_s = self.rate_per_s as f64 * percent / 100.0;
        let burst = self.burst as f64 * percent / 100.0;
        let most_saved = (burst * LENT_BURST_PERCENT as f64 / 100.0).max(1.0);
        let first_loan = rate_per_s * FIRST_LOAN_PERCENT as f64 / 100.0;
        Supply {
            rate_per_s,
            most_saved,
            first_loan: first_loan.max(LEAST_FIRST_LOAN).min(most_saved),
        }
    }

    /// What may be lent of all of it.
    pub fn whole(self) -> Supply {
        self.part(100.0)
    }
}
