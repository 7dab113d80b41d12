//! Tenant quotas, enforced across all nodes.
//!
//! One node is the primary lender of a tenant's budget, and another is the backup lender.
//! The nodes that serve the tenant's clients borrow operations from a lender, ahead of
//! demand and in proportion to their recent use. Over any window, the operations that run
//! stay within rate times window plus burst, with a tolerance of a tenth. Three rules ensure
//! this: loans expire, a new budget starts almost empty, and a part of the burst is reserved
//! for operations that run later than they were admitted.

use crate::lending::{BorrowingSettings, Supply};

pub use crate::lending::{Admission, Allowance, Budget, InitialBudget, Loan};

/// A tenant's limits, summed over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Operations per second.
    pub rate_per_s: u64,
    /// Operations that may exceed the rate at one time.
    pub burst: u64,
}

/// Part of the burst that is lent, in percent. The rest covers operations that run after
/// later ones were admitted: operations queued at an instance, and operations of loans that
/// are spent late.
const LENDABLE_BURST_PERCENT: u64 = 80;
/// Initial content of a new budget, in percent of one second's rate. The content is small
/// because a previous lender may just have lent the full burst.
const INITIAL_OPERATIONS_PERCENT: u64 = 20;
/// Minimum initial content of a new budget in operations, so that the first operations of a
/// small tenant are admitted.
const MIN_INITIAL_OPERATIONS: f64 = 2.0;
/// Percentage of the quota that the backup lender lends while it reaches the primary
/// lender. Both may lend at the same time; the tolerance of a tenth covers the excess.
pub const BACKUP_LENDER_PERCENT: u32 = 25;
/// Percentage of the quota that the nodes that reach no lender may use together; each node
/// gets an equal part.
pub const UNREACHED_LENDER_PERCENT: u32 = 50;
/// Lifetime of a loan from the time of the request, in milliseconds.
const LOAN_LIFETIME_MS: u64 = 1_000;
/// Length of the window over which use is counted, in milliseconds.
const USE_WINDOW_MS: u64 = 500;
/// Part of the use in one window that a node requests ahead of demand, in percent.
const PREFETCH_PERCENT: u32 = 50;
/// Delay before a node whose request was denied asks again, in milliseconds. The delay
/// bounds the request rate at the lender of a tenant that has reached its limit.
const DENIED_RETRY_DELAY_MS: u64 = 150;

/// Settings under which nodes borrow operations from a tenant's budget.
const BORROWING_SETTINGS: BorrowingSettings = BorrowingSettings {
    loan_ms: LOAN_LIFETIME_MS,
    use_window_ms: USE_WINDOW_MS,
    prefetch_percent: PREFETCH_PERCENT,
    denied_backoff_ms: DENIED_RETRY_DELAY_MS,
};

impl Default for Allowance {
    /// Creates an allowance without loans, with the settings for tenants' quotas.
    fn default() -> Self {
        Allowance::new(BORROWING_SETTINGS)
    }
}

/// The state of a tenant's other lender, as seen by one of its two lenders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerLender {
    /// The other lender responds.
    Reachable,
    /// The other lender's process has terminated, so that it lends nothing.
    Terminated,
    /// The other lender does not respond. It may be partitioned and lend to the nodes on
    /// its side.
    Unresponsive,
}

/// The connectivity of a lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LenderReach {
    /// Percentage of all nodes that the lender reaches, including itself.
    pub percent: u32,
    /// State of the other lender.
    pub other: PeerLender,
}

/// Returns the percentage of a quota that a lender may lend. `is_primary` is true for the
/// primary lender and false for the backup lender.
///
/// Nodes that reach neither lender use [`UNREACHED_LENDER_PERCENT`] of the quota together, so the
/// lender deducts the parts of the nodes that it does not reach. While the other lender may
/// be active on the other side of a network partition, each lender lends in proportion to
/// the nodes that it reaches. Otherwise the two sides together would exceed the quota.
pub fn lendable_percent(is_primary: bool, reach: LenderReach) -> u32 {
    let reached = reach.percent.min(100);
    match (is_primary, reach.other) {
        (false, PeerLender::Reachable) => BACKUP_LENDER_PERCENT,
        (_, PeerLender::Unresponsive) => reached,
        (true, PeerLender::Reachable) | (_, PeerLender::Terminated) => {
            100 - (100 - reached) * UNREACHED_LENDER_PERCENT / 100
        }
    }
}

impl Quota {
    /// Returns the supply for `percent` of the rate and the burst.
    pub fn share(self, percent: f64) -> Supply {
        let rate_per_s = self.rate_per_s as f64 * percent / 100.0;
        let burst = self.burst as f64 * percent / 100.0;
        let max_saved = (burst * LENDABLE_BURST_PERCENT as f64 / 100.0).max(1.0);
        let initial_operations = rate_per_s * INITIAL_OPERATIONS_PERCENT as f64 / 100.0;
        Supply {
            rate_per_s,
            max_saved,
            initial_operations: initial_operations.max(MIN_INITIAL_OPERATIONS).min(max_saved),
        }
    }

    /// Returns the supply for the full quota.
    pub fn full(self) -> Supply {
        self.share(100.0)
    }
}
