//! Admits operations of tenants within their quotas: lends on behalf of the tenants
//! that this node counts for, and borrows for the callers that it serves.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::info;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::TenantName;
use millwind_core::lending::Supply;
use millwind_core::quota::{
    Admission, Allowance, Beginning, Budget, Loan, Quota, UNCOUNTED_PERCENT, lent_percent,
};
use millwind_wire::forward::ForwardedSubject;

use crate::answer::Refusal;
use crate::backend::ConnectionUser;
use crate::clock;
use crate::forward::OwnerLink;
use crate::lending::Borrower;
use crate::node::Engine;

/// A node that counts answers within this time: a few round trips between regions
/// (20 ms one way on the users' sites), on a busy machine.
const LOAN_LIMIT: Duration = Duration::from_millis(200);
/// Nodes that may count for a tenant: the first by rendezvous hashing, and the one
/// that stands in for it.
const COUNTERS: usize = 2;

/// A budget that begins while the nodes have not changed for this time is unspent, in
/// milliseconds: longer than the window over which the users count (5 s), and than
/// nodes differ in what they know of each other.
const UNSPENT_MS: u64 = 8_000;

/// Quotas at this node.
#[derive(Debug, Default)]
pub struct Quotas {
    borrowers: Mutex<HashMap<TenantName, Arc<Borrower>>>,
    /// Budgets of tenants that this node counts for, or has stood in for.
    budgets: Mutex<HashMap<TenantName, Budget>>,
    /// Budgets of tenants whose counting nodes were not reached.
    uncounted: Mutex<HashMap<TenantName, Budget>>,
}

impl Quotas {
    fn borrower(&self, tenant: &TenantName) -> Arc<Borrower> {
        let mut borrowers = self.borrowers.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || Arc::new(Borrower::new(Allowance::default()));
        borrowers.entry(tenant.clone()).or_insert_with(new).clone()
    }

    /// A node that counts was reached: what this one had saved up meanwhile is gone,
    /// since all nodes would spend theirs at the same moment.
    fn counted(&self, tenant: &TenantName) {
        let mut uncounted = self.uncounted.lock().unwrap_or_else(PoisonError::into_inner);
        uncounted.remove(tenant);
    }
}

fn lend(
    budgets: &Mutex<HashMap<TenantName, Budget>>,
    tenant: &TenantName,
    quota: Supply,
    beginning: Beginning,
    wanted: u32,
) -> Loan {
    let now = clock::now();
    let mut budgets = budgets.lock().unwrap_or_else(PoisonError::into_inner);
    let budget = budgets
        .entry(tenant.clone())
        .or_insert_with(|| Budget::new(quota, beginning, now));
    budget.lend(quota, wanted, now)
}

/// Who lent what a node asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lender {
    Own,
    Other,
    Nobody,
}

impl Lender {
    const fn name(self) -> &'static str {
        match self {
            Lender::Own => "own",
            Lender::Other => "other",
            Lender::Nobody => "nobody",
        }
    }
}

impl Engine {
    fn quota_of(&self, tenant: &TenantName) -> Option<Quota> {
        let config = self.directory.config()?;
        config.tenants.as_ref()?.quotas.get(tenant).copied()
    }

    /// Admits one operation of `user`, or refuses it at once where its tenant is over
    /// its quota. It waits only for the answer of the node that counts.
    pub async fn admit(self: &Arc<Self>, user: &ConnectionUser) -> Result<(), Refusal> {
        let Some(tenant) = user.tenant() else {
            return Ok(());
        };
        let Some(quota) = self.quota_of(tenant) else {
            return Ok(());
        };
        let borrower = self.quotas.borrower(tenant);
        borrower.arrived(clock::now());
        loop {
            let answered = borrower.answered.notified();
            match self.try_admit(tenant, quota, &borrower) {
                Admission::Admitted => return Ok(()),
                Admission::Refused { retry_after_ms } => {
                    self.metrics.quota_refusals.inc();
                    let detail = format!("quota of {} a second is used up", quota.rate_per_s);
                    return Err(Refusal::new(ErrorKind::QuotaExceeded, detail).after_ms(retry_after_ms));
                }
                Admission::AskFirst => {}
            }
            let _waiting = borrower.wait();
            answered.await;
        }
    }

    fn try_admit(self: &Arc<Self>, tenant: &TenantName, quota: Quota, borrower: &Arc<Borrower>) -> Admission {
        let (admission, must_ask) = borrower.try_admit(clock::now());
        if must_ask {
            let asking = self.clone().borrow(tenant.clone(), quota, borrower.clone());
            tokio::spawn(asking);
        }
        admission
    }

    /// Asks for a loan and takes in the answer.
    async fn borrow(self: Arc<Self>, tenant: TenantName, quota: Quota, borrower: Arc<Borrower>) {
        // Callers that have arrived meanwhile ask for theirs.
        tokio::task::yield_now().await;
        let asked = clock::now();
        let wanted = borrower.wanted(asked);
        let (loan, lender) = self.ask_for_loan(&tenant, quota, wanted).await;
        if lender != Lender::Nobody {
            self.quotas.counted(&tenant);
        }
        self.metrics.quota_loans.inc();
        if loan.operations == 0 || lender == Lender::Nobody {
            self.log_denial(&tenant, wanted, loan, lender);
        }
        borrower.lent(loan, asked, clock::now());
    }

    fn log_denial(&self, tenant: &TenantName, wanted: u32, loan: Loan, lender: Lender) {
        if self.request_log.admit() {
            info!(
                "event=quota_loan tenant={tenant} wanted={wanted} lent={} lender={} retry_after_ms={}",
                loan.operations,
                lender.name(),
                loan.retry_after_ms
            );
        }
    }

    async fn ask_for_loan(&self, tenant: &TenantName, quota: Quota, wanted: u32) -> (Loan, Lender) {
        for counter in self.registry.first_for(tenant.as_str(), COUNTERS) {
            if counter.is_self {
                if let Some(loan) = self.lend(tenant, wanted) {
                    return (loan, Lender::Own);
                }
                continue;
            }
            let asking = async {
                let link = self.owners.link_to(counter.address).await?;
                link.borrow(tenant, wanted).await
            };
            if let Ok(Some(loan)) = tokio::time::timeout(LOAN_LIMIT, asking).await {
                return (loan, Lender::Other);
            }
        }
        let percent = f64::from(UNCOUNTED_PERCENT) / self.registry.count().max(1) as f64;
        let part = quota.part(percent);
        (
            lend(&self.quotas.uncounted, tenant, part, Beginning::Empty, wanted),
            Lender::Nobody,
        )
    }

    /// Lends operations of a tenant's budget, if this node counts for it: as much of it
    /// as nodes on this node's side of a cut may use.
    pub(crate) fn lend(&self, tenant: &TenantName, wanted: u32) -> Option<Loan> {
        let quota = self.quota_of(tenant)?;
        let counters = self.registry.first_for(tenant.as_str(), COUNTERS);
        let rank = counters.iter().position(|counter| counter.is_self)?;
        let other = counters.iter().find(|counter| !counter.is_self);
        let reach = self.peer_reach.known(other.map(|other| other.address));
        let part = quota.part(f64::from(lent_percent(rank == 0, reach)));
        // No other node has counted for the tenant since the nodes last changed.
        let beginning = match rank == 0 && self.registry.unchanged_ms() >= UNSPENT_MS {
            true => Beginning::Unspent,
            false => Beginning::FirstLoan,
        };
        Some(lend(&self.quotas.budgets, tenant, part, beginning, wanted))
    }
}

impl OwnerLink {
    /// Asks the node at the other end for operations of a tenant; none if it does
    /// not count for it, or the link is lost.
    async fn borrow(&self, tenant: &TenantName, wanted: u32) -> Option<Loan> {
        let subject = ForwardedSubject::Tenant {
            name: tenant.0.clone(),
        };
        let answer = self.ask_loan(subject, wanted).await?;
        (answer.counts == 1).then_some(Loan {
            operations: answer.operations,
            retry_after_ms: answer.retry_after_ms,
        })
    }
}
