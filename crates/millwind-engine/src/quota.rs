//! Enforces tenants' quotas. Lenders lend operations from a tenant's budget; every node
//! borrows operations for the callers that it serves.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::info;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::TenantName;
use millwind_core::lending::Supply;
use millwind_core::quota::{
    Admission, Allowance, Budget, InitialBudget, Loan, Quota, UNREACHED_LENDER_PERCENT, lendable_percent,
};
use millwind_wire::forward::LoanSubject;

use crate::answer::Refusal;
use crate::backend::ConnectionUser;
use crate::clock;
use crate::forward::OwnerLink;
use crate::lending::Borrower;
use crate::node::Engine;

/// Timeout of a loan request to another node: a few round trips between regions
/// (20 ms one way on the users' sites), on a busy machine.
const LOAN_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of lenders of a tenant: the primary lender, which is the first node by rendezvous
/// hashing, and the backup lender.
const LENDER_COUNT: usize = 2;

/// A new budget starts unspent if the set of nodes has not changed for this time, in
/// milliseconds. It exceeds both the window in which quotas are enforced and the time in
/// which nodes may disagree about the set of nodes.
const UNSPENT_AFTER_MS: u64 = 8_000;

/// Quota state of this node.
#[derive(Debug, Default)]
pub struct Quotas {
    borrowers: Mutex<HashMap<TenantName, Arc<Borrower>>>,
    /// Budgets of the tenants for which this node is or was a lender.
    budgets: Mutex<HashMap<TenantName, Budget>>,
    /// Local budgets of the tenants whose lenders are unreachable.
    local_budgets: Mutex<HashMap<TenantName, Budget>>,
}

impl Quotas {
    fn borrower(&self, tenant: &TenantName) -> Arc<Borrower> {
        let mut borrowers = self.borrowers.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || Arc::new(Borrower::new(Allowance::default()));
        borrowers.entry(tenant.clone()).or_insert_with(new).clone()
    }

    /// Drops the local budget of a tenant whose lender was reached. Otherwise all
    /// nodes would spend their saved operations at once in the next network partition.
    fn drop_local_budget(&self, tenant: &TenantName) {
        let mut local_budgets = self.local_budgets.lock().unwrap_or_else(PoisonError::into_inner);
        local_budgets.remove(tenant);
    }
}

fn lend(
    budgets: &Mutex<HashMap<TenantName, Budget>>,
    tenant: &TenantName,
    supply: Supply,
    initial: InitialBudget,
    wanted: u32,
) -> Loan {
    let now = clock::now();
    let mut budgets = budgets.lock().unwrap_or_else(PoisonError::into_inner);
    let budget = budgets
        .entry(tenant.clone())
        .or_insert_with(|| Budget::new(supply, initial, now));
    budget.lend(supply, wanted, now)
}

/// Node that answered a loan request.
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
    fn tenant_quota(&self, tenant: &TenantName) -> Option<Quota> {
        let config = self.directory.config()?;
        config.tenants.as_ref()?.quotas.get(tenant).copied()
    }

    /// Admits one operation of `user`, or refuses it if the tenant has used up its quota.
    /// Waits only for the answer of a lender.
    pub async fn admit(self: &Arc<Self>, user: &ConnectionUser) -> Result<(), Refusal> {
        let Some(tenant) = user.tenant() else {
            return Ok(());
        };
        let Some(quota) = self.tenant_quota(tenant) else {
            return Ok(());
        };
        let borrower = self.quotas.borrower(tenant);
        borrower.count_request(clock::now());
        loop {
            let loan_answered = borrower.answered.notified();
            match self.try_admit(tenant, quota, &borrower) {
                Admission::Admitted => return Ok(()),
                Admission::Refused { retry_after_ms } => {
                    self.metrics.quota_refusals.inc();
                    let detail = format!("quota of {} a second is used up", quota.rate_per_s);
                    return Err(
                        Refusal::new(ErrorKind::QuotaExceeded, detail).with_retry_after_ms(retry_after_ms)
                    );
                }
                Admission::LoanRequired => {}
            }
            let _waiting = borrower.wait();
            loan_answered.await;
        }
    }

    fn try_admit(self: &Arc<Self>, tenant: &TenantName, quota: Quota, borrower: &Arc<Borrower>) -> Admission {
        let (admission, must_borrow) = borrower.try_admit(clock::now());
        if must_borrow {
            let request = self.clone().borrow(tenant.clone(), quota, borrower.clone());
            tokio::spawn(request);
        }
        admission
    }

    /// Requests a loan and applies the answer.
    async fn borrow(self: Arc<Self>, tenant: TenantName, quota: Quota, borrower: Arc<Borrower>) {
        // Lets callers that arrived in the meantime add to the request.
        tokio::task::yield_now().await;
        let asked = clock::now();
        let wanted = borrower.wanted(asked);
        let (loan, lender) = self.request_loan(&tenant, quota, wanted).await;
        if lender != Lender::Nobody {
            self.quotas.drop_local_budget(&tenant);
        }
        self.metrics.quota_loans.inc();
        if loan.operations == 0 || lender == Lender::Nobody {
            self.log_denial(&tenant, wanted, loan, lender);
        }
        borrower.record_answer(loan, asked, clock::now());
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

    async fn request_loan(&self, tenant: &TenantName, quota: Quota, wanted: u32) -> (Loan, Lender) {
        for node in self.registry.top_nodes_for(tenant.as_str(), LENDER_COUNT) {
            if node.is_self {
                if let Some(loan) = self.lend(tenant, wanted) {
                    return (loan, Lender::Own);
                }
                continue;
            }
            let request = async {
                let link = self.owners.link_to(node.address).await?;
                link.borrow(tenant, wanted).await
            };
            if let Ok(Some(loan)) = tokio::time::timeout(LOAN_TIMEOUT, request).await {
                return (loan, Lender::Other);
            }
        }
        let percent = f64::from(UNREACHED_LENDER_PERCENT) / self.registry.count().max(1) as f64;
        let supply = quota.share(percent);
        (
            lend(
                &self.quotas.local_budgets,
                tenant,
                supply,
                InitialBudget::Empty,
                wanted,
            ),
            Lender::Nobody,
        )
    }

    /// Lends operations from a tenant's budget, or returns `None` if this node is not
    /// a lender of the tenant or the tenant has no quota. During a network partition the
    /// loan covers only the share of the nodes on this side.
    pub(crate) fn lend(&self, tenant: &TenantName, wanted: u32) -> Option<Loan> {
        let quota = self.tenant_quota(tenant)?;
        let lenders = self.registry.top_nodes_for(tenant.as_str(), LENDER_COUNT);
        let rank = lenders.iter().position(|node| node.is_self)?;
        let other = lenders.iter().find(|node| !node.is_self);
        let reach = self.peer_reach.reach(other.map(|other| other.address));
        let supply = quota.share(f64::from(lendable_percent(rank == 0, reach)));
        // If the set of nodes is stable, no other node has lent for the tenant recently.
        let initial = match rank == 0 && self.registry.unchanged_ms() >= UNSPENT_AFTER_MS {
            true => InitialBudget::Full,
            false => InitialBudget::Reduced,
        };
        Some(lend(&self.quotas.budgets, tenant, supply, initial, wanted))
    }
}

impl OwnerLink {
    /// Requests operations of a tenant from the node at the other end. Returns `None` if
    /// that node is not a lender of the tenant or the link is lost.
    async fn borrow(&self, tenant: &TenantName, wanted: u32) -> Option<Loan> {
        let subject = LoanSubject::Tenant {
            name: tenant.0.clone(),
        };
        let answer = self.request_loan(subject, wanted).await?;
        (answer.is_granted == 1).then_some(Loan {
            operations: answer.operations,
            retry_after_ms: answer.retry_after_ms,
        })
    }
}
