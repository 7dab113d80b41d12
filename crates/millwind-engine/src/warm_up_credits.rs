//! Warm-up credits: admission control for instances that have just started ("cold").
//!
//! Each statement sent to a cold instance consumes one credit. One of the instance's
//! owners, the lender, lends credits to the other nodes. An owner becomes the lender with
//! the votes of a majority of owners, so that at most one lends at a time and the total
//! rate of all nodes stays within the group's warm-up limits despite partitions and
//! restarts. A node that cannot reach a lender sends nothing to the instance.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_core::lender_lease::{LeaseState, LenderLease, LenderVote, VOTE_MS, is_majority, may_vote};
use millwind_core::lending::{Admission, Allowance, Budget, InitialBudget, Loan};
use millwind_core::warm_up::{BORROWING_SETTINGS, WarmUpLimits, credit_supply};
use millwind_wire::forward::LoanSubject;
use rand::RngExt;
use tokio::time::timeout_at;

use crate::backend::Urgency;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::forward::OWNER_COUNT;
use crate::lending::Borrower;
use crate::node::Engine;
use crate::registry::Owner;

/// Timeout of a request to an owner for credits or a vote: a few round trips between
/// regions (20 ms one way on the users' sites).
const OWNER_TIMEOUT: Duration = Duration::from_millis(120);
/// Range of the random pause between two attempts to acquire a credit, in milliseconds;
/// the jitter spreads the requests of waiting statements.
/// With the limits on the users' sites two credits become free within it.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 60..140;
/// Upper bound of the retry delay reported to callers, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// How long a statement may wait for a credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditWaitPolicy {
    /// The statement does not wait, because another instance can serve it.
    NoWait,
    /// The statement can run only on this instance and waits until its target time.
    UntilTargetTime,
    /// The statement belongs to an open transaction and waits until its deadline.
    UntilDeadline,
}

/// No credit is available for a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CreditRefused {
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u32,
}

/// The attempts of one statement to acquire a credit; counts the statement among the
/// waiting ones until dropped.
pub struct CreditWait<'a> {
    engine: &'a Engine,
    record: &'a InstanceRecord,
    policy: CreditWaitPolicy,
    /// Order among waiting statements, lowest first: zero for an open transaction, the
    /// priority plus one for others, and the maximum for a statement that is already late.
    rank: u16,
    is_waiting: bool,
}

impl<'a> CreditWait<'a> {
    /// Creates the state of a statement that has made no attempt yet.
    pub fn new(
        engine: &'a Engine,
        record: &'a InstanceRecord,
        policy: CreditWaitPolicy,
        urgency: Urgency,
    ) -> Self {
        let rank = match urgency {
            Urgency::InTransaction => 0,
            Urgency::Priority(priority) => u16::from(priority) + 1,
            Urgency::Late => u16::MAX,
        };
        CreditWait {
            engine,
            record,
            policy,
            rank,
            is_waiting: false,
        }
    }

    /// Waits before the next attempt. Returns false at once if the statement may not wait,
    /// the pause would end after `until`, or the statements already waiting will use all
    /// credits until then.
    pub async fn pause(&mut self, until: Instant) -> bool {
        if self.policy == CreditWaitPolicy::NoWait {
            return false;
        }
        let pause_ms = rand::rng().random_range(RETRY_PAUSE_MS);
        if clock::now().plus_millis(pause_ms) >= until || !self.join(until) {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        true
    }

    /// Counts the statement among the waiting ones. Returns false if no credit is expected
    /// for it before `until`. An open transaction always joins, because it holds a
    /// connection and its work would be lost otherwise.
    fn join(&mut self, until: Instant) -> bool {
        if self.is_waiting {
            return true;
        }
        let Some(limits) = self.engine.directory.warm_up_limits(&self.record.name) else {
            return true;
        };
        let rate_per_s = credit_supply(limits, self.engine.settings.warm_up_tolerance).rate_per_s;
        let credits = rate_per_s * clock::until(until).as_secs_f64() / OWNER_COUNT as f64;
        let mut waiting = self.engine.warm_up_credits.waiting();
        let ranks = waiting.entry(self.record.name.clone()).or_default();
        let ahead: usize = ranks.range(..=self.rank).map(|(_, count)| *count).sum();
        if self.policy != CreditWaitPolicy::UntilDeadline && ahead as f64 >= credits {
            return false;
        }
        *ranks.entry(self.rank).or_default() += 1;
        self.is_waiting = true;
        true
    }

    /// Returns the number of more urgent statements that wait at this node.
    fn ahead(&self) -> usize {
        let waiting = self.engine.warm_up_credits.waiting();
        let ranks = waiting.get(&self.record.name);
        ranks.map_or(0, |ranks| ranks.range(..self.rank).map(|(_, count)| *count).sum())
    }
}

impl Drop for CreditWait<'_> {
    fn drop(&mut self) {
        if !self.is_waiting {
            return;
        }
        let mut waiting = self.engine.warm_up_credits.waiting();
        let Some(ranks) = waiting.get_mut(&self.record.name) else {
            return;
        };
        if let Some(count) = ranks.get_mut(&self.rank) {
            *count -= 1;
        }
        ranks.retain(|_, count| *count > 0);
        if ranks.is_empty() {
            waiting.remove(&self.record.name);
        }
    }
}

/// This node's state as a possible lender of credits for one instance.
#[derive(Debug, Default)]
struct LenderState {
    /// The vote that this node has cast.
    vote: LenderVote,
    lease: LenderLease,
    budget: Option<Budget>,
    /// The owners of the instance as this node knows them.
    owners: Vec<SocketAddr>,
    /// Time since which `owners` is unchanged.
    owners_since: Option<Instant>,
    /// Held during a round of vote requests, so that only one runs at a time.
    vote_round: Arc<tokio::sync::Mutex<()>>,
    /// Whether this node is requesting votes.
    is_candidate: bool,
}

/// Guard that marks this node as a candidate for lender until it is dropped.
struct Candidacy<'a> {
    credits: &'a WarmUpCredits,
    instance: &'a InstanceName,
}

impl<'a> Candidacy<'a> {
    fn begin(credits: &'a WarmUpCredits, instance: &'a InstanceName) -> Self {
        let mut lenders = locked(&credits.lenders);
        lenders.entry(instance.clone()).or_default().is_candidate = true;
        Candidacy { credits, instance }
    }
}

impl Drop for Candidacy<'_> {
    fn drop(&mut self) {
        if let Some(lender) = locked(&self.credits.lenders).get_mut(self.instance) {
            lender.is_candidate = false;
        }
    }
}

/// Numbers of statements that wait for a credit, by instance and rank.
type WaiterCounts = HashMap<InstanceName, BTreeMap<u16, usize>>;

/// The warm-up credits that this node lends and borrows.
#[derive(Debug, Default)]
pub struct WarmUpCredits {
    borrowers: Mutex<HashMap<InstanceName, Arc<Borrower>>>,
    /// The last known lender of each instance, which is asked first.
    last_lenders: Mutex<HashMap<InstanceName, SocketAddr>>,
    lenders: Mutex<HashMap<InstanceName, LenderState>>,
    waiting: Mutex<WaiterCounts>,
    /// Instances that were cold at the last update.
    cold: Mutex<Vec<InstanceName>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WarmUpCredits {
    fn borrower(&self, instance: &InstanceName) -> Arc<Borrower> {
        let mut borrowers = locked(&self.borrowers);
        let new = || Arc::new(Borrower::new(Allowance::new(BORROWING_SETTINGS)));
        borrowers.entry(instance.clone()).or_insert_with(new).clone()
    }

    /// Removes the state of instances that are not in `known`.
    fn retain_known(&self, known: &HashSet<&InstanceName>) {
        locked(&self.borrowers).retain(|instance, _| known.contains(instance));
        locked(&self.last_lenders).retain(|instance, _| known.contains(instance));
        locked(&self.lenders).retain(|instance, _| known.contains(instance));
    }

    fn waiting(&self) -> MutexGuard<'_, WaiterCounts> {
        locked(&self.waiting)
    }
}

impl Engine {
    /// Acquires a credit for a statement that is about to be sent to `record`; succeeds at
    /// once if the instance is warm. Waits only for the lender's answer and at most until
    /// `deadline`. Fails if no credit is available, or if more urgent statements wait for
    /// one.
    pub async fn acquire_credit(
        self: &Arc<Self>,
        record: &InstanceRecord,
        wait: &CreditWait<'_>,
        deadline: Instant,
    ) -> Result<(), CreditRefused> {
        let Some(limits) = self.directory.warm_up_limits(&record.name) else {
            return Ok(());
        };
        let ahead = wait.ahead();
        if ahead > 0 {
            return Err(self.refuse_behind_urgent(ahead, limits));
        }
        let borrower = self.warm_up_credits.borrower(&record.name);
        borrower.count_request(clock::now());
        loop {
            let answered = borrower.answered.notified();
            let (admission, must_ask) = borrower.try_admit(clock::now());
            if must_ask {
                tokio::spawn(self.clone().borrow_credits(record.clone(), borrower.clone()));
            }
            match admission {
                Admission::Admitted => {
                    self.metrics.cold_arrivals.count(&record.name);
                    return Ok(());
                }
                Admission::Refused { retry_after_ms } => return Err(CreditRefused { retry_after_ms }),
                Admission::LoanRequired => {}
            }
            let _waiting = borrower.wait();
            if timeout_at(clock::deadline(deadline), answered).await.is_err() {
                return Err(CreditRefused {
                    retry_after_ms: VOTE_MS as u32,
                });
            }
        }
    }

    /// Returns the refusal for a statement that yields to `ahead` more urgent ones. The
    /// retry delay is the expected time until those have their credits.
    fn refuse_behind_urgent(&self, ahead: usize, limits: WarmUpLimits) -> CreditRefused {
        let rate_per_s = credit_supply(limits, self.settings.warm_up_tolerance).rate_per_s;
        let wait_ms = (ahead + 1) as f64 * OWNER_COUNT as f64 * 1_000.0 / rate_per_s.max(0.001);
        CreditRefused {
            retry_after_ms: wait_ms.min(MAX_RETRY_AFTER_MS) as u32,
        }
    }

    /// Counts and logs a refused credit, and steers reads away from the instance.
    pub fn record_credit_refusal(&self, record: &InstanceRecord, refused: CreditRefused) {
        self.metrics.cold_refusals.count(&record.name);
        self.directory.avoid_while_full(&record.name);
        if self.request_log.admit() {
            info!(
                "event=cold_place_refused instance={} group={} retry_after_ms={}",
                record.name, record.group, refused.retry_after_ms
            );
        }
    }

    /// Requests a loan of credits and hands the answer to `borrower`.
    async fn borrow_credits(self: Arc<Self>, record: InstanceRecord, borrower: Arc<Borrower>) {
        // Lets concurrent statements register first, so that one loan covers them all.
        tokio::task::yield_now().await;
        let wanted = borrower.wanted(clock::now());
        let (loan, asked) = self.request_credits(&record, wanted).await;
        borrower.record_answer(loan, asked, clock::now());
    }

    /// Requests `wanted` credits from the owners in turn. Returns the first loan, or an
    /// empty one if no owner lends, with the time at which it was requested.
    async fn request_credits(self: &Arc<Self>, record: &InstanceRecord, wanted: u32) -> (Loan, Instant) {
        let mut owners = self.eligible_lenders(record);
        let last = locked(&self.warm_up_credits.last_lenders)
            .get(&record.name)
            .copied();
        owners.sort_by_key(|owner| Some(owner.address) != last);
        for owner in owners {
            let asked = clock::now();
            let loan = match owner.is_self {
                true => self.lend_credits(&record.name, wanted).await,
                false => {
                    let name = record.name.0.clone();
                    self.query_owner(owner.address, LoanSubject::Instance { name }, wanted)
                        .await
                }
            };
            if let Some(loan) = loan {
                locked(&self.warm_up_credits.last_lenders).insert(record.name.clone(), owner.address);
                return (loan, asked);
            }
        }
        let none = Loan {
            operations: 0,
            retry_after_ms: VOTE_MS as u32,
        };
        (none, clock::now())
    }

    async fn query_owner(&self, owner: SocketAddr, subject: LoanSubject, wanted: u32) -> Option<Loan> {
        let request = async {
            let link = self.owners.link_to(owner).await?;
            link.request_loan(subject, wanted).await
        };
        let answer = tokio::time::timeout(OWNER_TIMEOUT, request).await.ok()??;
        (answer.is_granted == 1).then_some(Loan {
            operations: answer.operations,
            retry_after_ms: answer.retry_after_ms,
        })
    }

    /// Returns the nodes that may become lender for an instance; none until the registry
    /// is listed.
    fn eligible_lenders(&self, record: &InstanceRecord) -> Vec<Owner> {
        if !self.registry.is_listed() {
            return Vec::new();
        }
        let ranked = self.owners.ranked(&self.registry, record);
        ranked.iter().take(OWNER_COUNT).cloned().collect()
    }

    /// Lends credits for an instance, or returns `None` if this node does not hold the
    /// lender lease. The warm-up limits apply even if this node considers the instance
    /// warm, because the borrower may have newer information.
    pub(crate) async fn lend_credits(self: &Arc<Self>, instance: &InstanceName, wanted: u32) -> Option<Loan> {
        let known = self.directory.instance(instance)?;
        let limits = self.directory.group_limits(&known.record.group)?.warm_up?;
        if !self.ensure_lender_lease(&known.record).await {
            return None;
        }
        Some(self.lend_from_budget(instance, limits, wanted))
    }

    fn lend_from_budget(&self, instance: &InstanceName, limits: WarmUpLimits, wanted: u32) -> Loan {
        let now = clock::now();
        let supply = credit_supply(limits, self.settings.warm_up_tolerance);
        let mut lenders = locked(&self.warm_up_credits.lenders);
        let lender = lenders.entry(instance.clone()).or_default();
        let new = || Budget::new(supply, InitialBudget::Empty, now);
        lender.budget.get_or_insert_with(new).lend(supply, wanted, now)
    }

    async fn ensure_lender_lease(self: &Arc<Self>, record: &Arc<InstanceRecord>) -> bool {
        match self.lender_lease_state(&record.name) {
            LeaseState::Held => true,
            LeaseState::Renewing => {
                let engine = self.clone();
                let record = record.clone();
                tokio::spawn(async move { engine.request_votes(&record).await });
                true
            }
            LeaseState::NotHeld => {
                self.request_votes(record).await;
                self.lender_lease_state(&record.name) != LeaseState::NotHeld
            }
        }
    }

    fn lender_lease_state(&self, instance: &InstanceName) -> LeaseState {
        let lenders = locked(&self.warm_up_credits.lenders);
        let lender = lenders.get(instance);
        lender.map_or(LeaseState::NotHeld, |lender| lender.lease.state(clock::now()))
    }

    fn may_request_votes(&self, instance: &InstanceName) -> bool {
        let lenders = locked(&self.warm_up_credits.lenders);
        let lender = lenders.get(instance);
        lender.is_none_or(|lender| lender.lease.may_ask(clock::now()))
    }

    /// Requests the votes of the instance's owners and acquires the lender lease with a
    /// majority. Does nothing while the lease is held, or shortly after a failed round.
    async fn request_votes(&self, record: &InstanceRecord) {
        let vote_round = {
            let mut lenders = locked(&self.warm_up_credits.lenders);
            lenders.entry(record.name.clone()).or_default().vote_round.clone()
        };
        let _vote_round = vote_round.lock().await;
        let is_needed = self.lender_lease_state(&record.name) != LeaseState::Held;
        if !is_needed || !self.may_request_votes(&record.name) {
            return;
        }
        let _candidacy = Candidacy::begin(&self.warm_up_credits, &record.name);
        let asked = clock::now();
        let lender = self.settings.peer_address;
        let owners = self.eligible_lenders(record);
        if !owners.iter().any(|owner| owner.is_self) {
            return;
        }
        let others = owners.iter().filter(|owner| !owner.is_self);
        let requests = others.map(|owner| {
            let subject = LoanSubject::LenderVote {
                instance: record.name.0.clone(),
                lender: lender.to_string(),
            };
            self.query_owner(owner.address, subject, 0)
        });
        // Stops waiting once the votes form a majority together with this node's own.
        let mut answers: FuturesUnordered<_> = requests.collect();
        let mut votes_of_others = 0;
        while !is_majority(votes_of_others + 1, owners.len()) {
            let Some(answer) = answers.next().await else {
                break;
            };
            votes_of_others += usize::from(answer.is_some());
        }
        // This node votes last, since it may have voted for another owner in the meantime.
        let votes = votes_of_others + usize::from(self.vote_for_lender(&record.name, lender));
        let mut lenders = locked(&self.warm_up_credits.lenders);
        let entry = lenders.entry(record.name.clone()).or_default();
        let rank = owners.iter().position(|owner| owner.is_self).unwrap_or_default();
        let is_acquired = entry
            .lease
            .record_votes(votes, owners.len(), rank, asked, clock::now());
        if is_acquired {
            // Another owner may have lent credits since this node last held the lease.
            entry.budget = None;
            info!(
                "event=cold_places_lender instance={} words={votes} owners={}",
                record.name,
                owners.len()
            );
        }
    }

    /// Casts this node's vote for `lender` and returns whether it was given. The vote
    /// excludes other lenders for [`VOTE_MS`].
    ///
    /// While this node is a candidate, it votes only for itself and for owners ranked before
    /// itself; otherwise concurrent candidates could refuse each other indefinitely.
    pub(crate) fn vote_for_lender(&self, instance: &InstanceName, lender: SocketAddr) -> bool {
        let Some(known) = self.directory.instance(instance) else {
            return false;
        };
        let owners = self.eligible_lenders(&known.record);
        let Some(own_rank) = owners.iter().position(|owner| owner.is_self) else {
            return false;
        };
        // A node that is not among these owners may use a different owner list; voting for
        // it could give two lenders a majority.
        let Some(rank) = owners.iter().position(|owner| owner.address == lender) else {
            return false;
        };
        let ranks_after_self = rank > own_rank;
        let now = clock::now();
        let mut lenders = locked(&self.warm_up_credits.lenders);
        let entry = lenders.entry(instance.clone()).or_default();
        // If the registry has been stable for long enough, so has the owner list.
        let since = match self.registry.unchanged_ms() >= VOTE_MS {
            true => clock::minus_millis(now, VOTE_MS),
            false => now,
        };
        entry.update_owners(&owners, since, now);
        let may_vote = entry.owners_since.is_some_and(|since| may_vote(since, now));
        let is_rival = entry.is_candidate && ranks_after_self;
        may_vote && !is_rival && entry.vote.grant(&lender.to_string(), now)
    }

    /// Updates the set of cold instances and the owners of each.
    pub(crate) fn update_cold_instances(&self) {
        let config = self.directory.config();
        let warms_up =
            config.is_some_and(|config| config.groups.values().any(|limits| limits.warm_up.is_some()));
        if !warms_up {
            return self.log_cold_changes(Vec::new());
        }
        let now = clock::now();
        let instances = self.directory.instances();
        let mut cold = Vec::new();
        for known in instances.iter().filter(|known| known.warm_up_status.is_cold(now)) {
            let owners = self.eligible_lenders(&known.record);
            let mut lenders = locked(&self.warm_up_credits.lenders);
            let lender = lenders.entry(known.record.name.clone()).or_default();
            lender.update_owners(&owners, now, now);
            cold.push(known.record.name.clone());
        }
        let known: HashSet<_> = instances.iter().map(|known| &known.record.name).collect();
        self.warm_up_credits.retain_known(&known);
        self.log_cold_changes(cold);
    }

    fn log_cold_changes(&self, cold: Vec<InstanceName>) {
        let before = std::mem::replace(&mut *locked(&self.warm_up_credits.cold), cold.clone());
        for instance in cold.iter().filter(|instance| !before.contains(instance)) {
            info!("event=instance_cold instance={instance}");
        }
        for instance in before.iter().filter(|instance| !cold.contains(instance)) {
            info!("event=instance_warm instance={instance}");
        }
        self.metrics.cold_instances.set(cold.len() as i64);
    }
}

impl LenderState {
    /// Updates the owners of the instance and the time since which they are unchanged:
    /// `first_since` on the first call, `now` after a change.
    fn update_owners(&mut self, owners: &[Owner], first_since: Instant, now: Instant) {
        let addresses: Vec<_> = owners.iter().map(|owner| owner.address).collect();
        if self.owners_since.is_none() {
            self.owners_since = Some(first_since);
        } else if self.owners != addresses {
            self.owners_since = Some(now);
        }
        self.owners = addresses;
    }
}
