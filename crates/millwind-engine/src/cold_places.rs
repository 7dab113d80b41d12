//! Places to arrive at instances that are cold: owners of an instance lend them, and
//! every statement takes one right before it is sent.
//!
//! What all nodes together send within any second stays within the group's terms,
//! whatever is cut off or starts anew: one owner lends at a time, by the word of most
//! owners, and who reaches no lender sends nothing.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_core::lender_lease::{LeaseState, LenderLease, WORD_MS, Word, is_most, may_give};
use millwind_core::lending::{Admission, Allowance, Beginning, Budget, Loan};
use millwind_core::warm_up::{BORROWING, WarmUpTerms, supply};
use millwind_wire::forward::ForwardedSubject;
use rand::RngExt;
use tokio::time::timeout_at;

use crate::backend::Urgency;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::forward::OWNERS;
use crate::lending::Borrower;
use crate::node::Engine;
use crate::registry::Owner;

/// An owner answers a question for places, or for its word, within this time: a few
/// round trips between regions (20 ms one way on the users' sites).
const ANSWER_LIMIT: Duration = Duration::from_millis(120);
/// One who waits for a place tries again after a time between these, in milliseconds:
/// with the terms on the users' sites two places come within it, and those who wait
/// don't all ask at the same moment.
const PAUSE_MS: std::ops::Range<u64> = 60..140;
/// Longest time after which a caller is told to come back, in milliseconds.
const MOST_RETRY_AFTER_MS: f64 = 5_000.0;

/// What a statement may do that finds no place at a cold instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceNeed {
    /// Another instance may serve it: it does not wait.
    Elsewhere,
    /// Only this instance can serve it: it waits while its answer can be in time.
    ByAim,
    /// It belongs to an open transaction: it waits until its deadline.
    ByDeadline,
}

/// A statement found no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceRefused {
    /// When its caller may come back, in milliseconds.
    pub retry_after_ms: u32,
}

/// A statement on its way to an instance, while it looks for a place.
pub struct PlaceWait<'a> {
    engine: &'a Engine,
    record: &'a InstanceRecord,
    need: PlaceNeed,
    /// Zero for a transaction, else one more than the priority.
    rank: u16,
    is_waiting: bool,
}

impl<'a> PlaceWait<'a> {
    /// It has not looked yet.
    pub fn new(engine: &'a Engine, record: &'a InstanceRecord, need: PlaceNeed, urgency: Urgency) -> Self {
        let rank = match urgency {
            Urgency::InTransaction => 0,
            Urgency::Priority(priority) => u16::from(priority) + 1,
            Urgency::Late => u16::MAX,
        };
        PlaceWait {
            engine,
            record,
            need,
            rank,
            is_waiting: false,
        }
    }

    /// Waits before it tries again; false where waiting on is of no use: the answer
    /// would come after `until`, or those who wait already take all places until then.
    pub async fn pause(&mut self, until: Instant) -> bool {
        if self.need == PlaceNeed::Elsewhere {
            return false;
        }
        let pause_ms = rand::rng().random_range(PAUSE_MS);
        if clock::now().plus_millis(pause_ms) >= until || !self.join(until) {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        true
    }

    /// Counts it among those who wait, if there will be a place for it until then. A
    /// transaction is let in always: it holds its connection, and what it has done is
    /// lost otherwise.
    fn join(&mut self, until: Instant) -> bool {
        if self.is_waiting {
            return true;
        }
        let Some(terms) = self.engine.directory.cold_terms(&self.record.name) else {
            return true;
        };
        let rate_per_s = supply(terms, self.engine.settings.warm_up_tolerance).rate_per_s;
        let places = rate_per_s * clock::until(until).as_secs_f64() / OWNERS as f64;
        let mut waiting = self.engine.cold_places.waiting();
        let ranks = waiting.entry(self.record.name.clone()).or_default();
        let ahead: usize = ranks.range(..=self.rank).map(|(_, count)| *count).sum();
        if self.need != PlaceNeed::ByDeadline && ahead as f64 >= places {
            return false;
        }
        *ranks.entry(self.rank).or_default() += 1;
        self.is_waiting = true;
        true
    }

    /// Those at this node that wait and are more urgent.
    fn ahead(&self) -> usize {
        let waiting = self.engine.cold_places.waiting();
        let ranks = waiting.get(&self.record.name);
        ranks.map_or(0, |ranks| ranks.range(..self.rank).map(|(_, count)| *count).sum())
    }
}

impl Drop for PlaceWait<'_> {
    fn drop(&mut self) {
        if !self.is_waiting {
            return;
        }
        let mut waiting = self.engine.cold_places.waiting();
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

/// This node's part in lending places at one instance.
#[derive(Debug, Default)]
struct Lender {
    /// To whom it has given its word.
    word: Word,
    lease: LenderLease,
    budget: Option<Budget>,
    /// The owners as this node knows them, and since when.
    owners: Vec<SocketAddr>,
    owners_since: Option<Instant>,
    /// Held while the owners are asked.
    asking: Arc<tokio::sync::Mutex<()>>,
    /// It is asking the owners for their word.
    is_candidate: bool,
}

/// This node asks the owners of an instance for their word, until this is dropped.
struct Candidacy<'a> {
    places: &'a ColdPlaces,
    instance: &'a InstanceName,
}

impl<'a> Candidacy<'a> {
    fn begin(places: &'a ColdPlaces, instance: &'a InstanceName) -> Self {
        let mut lenders = locked(&places.lenders);
        lenders.entry(instance.clone()).or_default().is_candidate = true;
        Candidacy { places, instance }
    }
}

impl Drop for Candidacy<'_> {
    fn drop(&mut self) {
        if let Some(lender) = locked(&self.places.lenders).get_mut(self.instance) {
            lender.is_candidate = false;
        }
    }
}

/// Those who wait for a place, by instance and rank.
type Waiting = HashMap<InstanceName, BTreeMap<u16, usize>>;

/// Places at cold instances, as this node lends and borrows them.
#[derive(Debug, Default)]
pub struct ColdPlaces {
    borrowers: Mutex<HashMap<InstanceName, Arc<Borrower>>>,
    /// Who lent last, by instance: it is asked first.
    last_lenders: Mutex<HashMap<InstanceName, SocketAddr>>,
    lenders: Mutex<HashMap<InstanceName, Lender>>,
    waiting: Mutex<Waiting>,
    /// Instances that were cold at the last look.
    cold: Mutex<Vec<InstanceName>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ColdPlaces {
    fn borrower(&self, instance: &InstanceName) -> Arc<Borrower> {
        let mut borrowers = locked(&self.borrowers);
        let new = || Arc::new(Borrower::new(Allowance::new(BORROWING)));
        borrowers.entry(instance.clone()).or_insert_with(new).clone()
    }

    /// Forgets instances that are not known any more.
    fn forget_others(&self, known: &HashSet<&InstanceName>) {
        locked(&self.borrowers).retain(|instance, _| known.contains(instance));
        locked(&self.last_lenders).retain(|instance, _| known.contains(instance));
        locked(&self.lenders).retain(|instance, _| known.contains(instance));
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        locked(&self.waiting)
    }
}

impl Engine {
    /// Takes a place for a statement that is about to be sent to `record`. It waits only
    /// for the answer of the lender, and not beyond `deadline`: a place that comes later
    /// would be used by a statement that its caller has given up. A warm instance needs
    /// none.
    pub async fn take_place(
        self: &Arc<Self>,
        record: &InstanceRecord,
        wait: &PlaceWait<'_>,
        deadline: Instant,
    ) -> Result<(), PlaceRefused> {
        let Some(terms) = self.directory.cold_terms(&record.name) else {
            return Ok(());
        };
        let ahead = wait.ahead();
        if ahead > 0 {
            return Err(self.refused_behind(ahead, terms));
        }
        let borrower = self.cold_places.borrower(&record.name);
        borrower.arrived(clock::now());
        loop {
            let answered = borrower.answered.notified();
            let (admission, must_ask) = borrower.try_admit(clock::now());
            if must_ask {
                tokio::spawn(self.clone().borrow_places(record.clone(), borrower.clone()));
            }
            match admission {
                Admission::Admitted => {
                    self.metrics.cold_arrivals.count(&record.name);
                    return Ok(());
                }
                Admission::Refused { retry_after_ms } => return Err(PlaceRefused { retry_after_ms }),
                Admission::AskFirst => {}
            }
            let _waiting = borrower.wait();
            if timeout_at(clock::deadline(deadline), answered).await.is_err() {
                return Err(PlaceRefused {
                    retry_after_ms: WORD_MS as u32,
                });
            }
        }
    }

    /// A statement leaves the places to `ahead` others that are more urgent: its caller
    /// may come back when they have theirs.
    fn refused_behind(&self, ahead: usize, terms: WarmUpTerms) -> PlaceRefused {
        let rate_per_s = supply(terms, self.settings.warm_up_tolerance).rate_per_s;
        let wait_ms = (ahead + 1) as f64 * OWNERS as f64 * 1_000.0 / rate_per_s.max(0.001);
        PlaceRefused {
            retry_after_ms: wait_ms.min(MOST_RETRY_AFTER_MS) as u32,
        }
    }

    /// A statement is told that it found no place.
    pub fn note_place_refused(&self, record: &InstanceRecord, refused: PlaceRefused) {
        self.metrics.cold_refusals.count(&record.name);
        self.directory.avoid_while_full(&record.name);
        if self.request_log.admit() {
            info!(
                "event=cold_place_refused instance={} group={} retry_after_ms={}",
                record.name, record.group, refused.retry_after_ms
            );
        }
    }

    /// Asks for places and takes in the answer.
    async fn borrow_places(self: Arc<Self>, record: InstanceRecord, borrower: Arc<Borrower>) {
        // Statements that have arrived meanwhile ask for theirs.
        tokio::task::yield_now().await;
        let wanted = borrower.wanted(clock::now());
        let (loan, asked) = self.ask_for_places(&record, wanted).await;
        borrower.lent(loan, asked, clock::now());
    }

    /// What an owner lends, and when it was asked.
    async fn ask_for_places(self: &Arc<Self>, record: &InstanceRecord, wanted: u32) -> (Loan, Instant) {
        let mut owners = self.place_owners(record);
        let last = locked(&self.cold_places.last_lenders).get(&record.name).copied();
        owners.sort_by_key(|owner| Some(owner.address) != last);
        for owner in owners {
            let asked = clock::now();
            let loan = match owner.is_self {
                true => self.lend_places(&record.name, wanted).await,
                false => {
                    let name = record.name.0.clone();
                    self.ask_owner(owner.address, ForwardedSubject::Instance { name }, wanted)
                        .await
                }
            };
            if let Some(loan) = loan {
                locked(&self.cold_places.last_lenders).insert(record.name.clone(), owner.address);
                return (loan, asked);
            }
        }
        let none = Loan {
            operations: 0,
            retry_after_ms: WORD_MS as u32,
        };
        (none, clock::now())
    }

    async fn ask_owner(&self, owner: SocketAddr, subject: ForwardedSubject, wanted: u32) -> Option<Loan> {
        let asking = async {
            let link = self.owners.link_to(owner).await?;
            link.ask_loan(subject, wanted).await
        };
        let answer = tokio::time::timeout(ANSWER_LIMIT, asking).await.ok()??;
        (answer.counts == 1).then_some(Loan {
            operations: answer.operations,
            retry_after_ms: answer.retry_after_ms,
        })
    }

    /// The nodes that may lend places at an instance.
    fn place_owners(&self, record: &InstanceRecord) -> Vec<Owner> {
        if !self.registry.is_listed() {
            return Vec::new();
        }
        let ranked = self.owners.ranked(&self.registry, record);
        ranked.iter().take(OWNERS).cloned().collect()
    }

    /// Lends places at an instance, if this node holds the word of most of its owners. A
    /// node that takes the instance for warm already lends no more than one that does
    /// not: the one that asks may know better.
    pub(crate) async fn lend_places(self: &Arc<Self>, instance: &InstanceName, wanted: u32) -> Option<Loan> {
        let known = self.directory.instance(instance)?;
        let terms = self.directory.group_limits(&known.record.group)?.warm_up?;
        if !self.holds_lease(&known.record).await {
            return None;
        }
        Some(self.lend_of(instance, terms, wanted))
    }

    fn lend_of(&self, instance: &InstanceName, terms: WarmUpTerms, wanted: u32) -> Loan {
        let now = clock::now();
        let supply = supply(terms, self.settings.warm_up_tolerance);
        let mut lenders = locked(&self.cold_places.lenders);
        let lender = lenders.entry(instance.clone()).or_default();
        let new = || Budget::new(supply, Beginning::Empty, now);
        lender.budget.get_or_insert_with(new).lend(supply, wanted, now)
    }

    async fn holds_lease(self: &Arc<Self>, record: &Arc<InstanceRecord>) -> bool {
        match self.lease_state(&record.name) {
            LeaseState::Held => true,
            LeaseState::Renewing => {
                let engine = self.clone();
                let record = record.clone();
                tokio::spawn(async move { engine.ask_for_word(&record).await });
                true
            }
            LeaseState::NotHeld => {
                self.ask_for_word(record).await;
                self.lease_state(&record.name) != LeaseState::NotHeld
            }
        }
    }

    fn lease_state(&self, instance: &InstanceName) -> LeaseState {
        let lenders = locked(&self.cold_places.lenders);
        let lender = lenders.get(instance);
        lender.map_or(LeaseState::NotHeld, |lender| lender.lease.state(clock::now()))
    }

    fn may_ask_for_word(&self, instance: &InstanceName) -> bool {
        let lenders = locked(&self.cold_places.lenders);
        let lender = lenders.get(instance);
        lender.is_none_or(|lender| lender.lease.may_ask(clock::now()))
    }

    /// Asks the owners of an instance for their word, unless that was in vain a moment ago.
    async fn ask_for_word(&self, record: &InstanceRecord) {
        let asking = {
            let mut lenders = locked(&self.cold_places.lenders);
            lenders.entry(record.name.clone()).or_default().asking.clone()
        };
        let _asking = asking.lock().await;
        let is_needed = self.lease_state(&record.name) != LeaseState::Held;
        if !is_needed || !self.may_ask_for_word(&record.name) {
            return;
        }
        let _candidacy = Candidacy::begin(&self.cold_places, &record.name);
        let asked = clock::now();
        let lender = self.settings.peer_address;
        let owners = self.place_owners(record);
        if !owners.iter().any(|owner| owner.is_self) {
            return;
        }
        let others = owners.iter().filter(|owner| !owner.is_self);
        let questions = others.map(|owner| {
            let subject = ForwardedSubject::Word {
                instance: record.name.0.clone(),
                lender: lender.to_string(),
            };
            self.ask_owner(owner.address, subject, 0)
        });
        // Those that are silent are not waited for once there are enough with its own.
        let mut answers: FuturesUnordered<_> = questions.collect();
        let mut of_others = 0;
        while !is_most(of_others + 1, owners.len()) {
            let Some(answer) = answers.next().await else {
                break;
            };
            of_others += usize::from(answer.is_some());
        }
        // Its own word comes last: it may have gone to another meanwhile.
        let words = of_others + usize::from(self.give_word(&record.name, lender));
        let mut lenders = locked(&self.cold_places.lenders);
        let entry = lenders.entry(record.name.clone()).or_default();
        let rank = owners.iter().position(|owner| owner.is_self).unwrap_or_default();
        let is_new = entry
            .lease
            .answered(words, owners.len(), rank, asked, clock::now());
        if is_new {
            // Another may have lent meanwhile.
            entry.budget = None;
            info!(
                "event=cold_places_lender instance={} words={words} owners={}",
                record.name,
                owners.len()
            );
        }
    }

    /// Whether this node gives its word that it lets nobody but `lender` lend places at
    /// an instance for a while.
    ///
    /// While it asks for that itself it leaves it to those that come before it among the
    /// owners alone: owners that ask each other at the same time would else refuse each
    /// other for good.
    pub(crate) fn give_word(&self, instance: &InstanceName, lender: SocketAddr) -> bool {
        let Some(known) = self.directory.instance(instance) else {
            return false;
        };
        let owners = self.place_owners(&known.record);
        let Some(own_rank) = owners.iter().position(|owner| owner.is_self) else {
            return false;
        };
        // One that is no owner here may ask among others: two of them would each hold the
        // word of most.
        let Some(rank) = owners.iter().position(|owner| owner.address == lender) else {
            return false;
        };
        let comes_after = rank > own_rank;
        let now = clock::now();
        let mut lenders = locked(&self.cold_places.lenders);
        let entry = lenders.entry(instance.clone()).or_default();
        // Nodes that have not changed since before this node first looked at the instance.
        let since = match self.registry.unchanged_ms() >= WORD_MS {
            true => clock::minus_millis(now, WORD_MS),
            false => now,
        };
        entry.note_owners(&owners, since, now);
        let may_give = entry.owners_since.is_some_and(|since| may_give(since, now));
        let is_rival = entry.is_candidate && comes_after;
        may_give && !is_rival && entry.word.give(&lender.to_string(), now)
    }

    /// Looks which instances are cold, and who owns those.
    pub(crate) fn follow_cold_instances(&self) {
        let config = self.directory.config();
        let warms_up =
            config.is_some_and(|config| config.groups.values().any(|limits| limits.warm_up.is_some()));
        if !warms_up {
            return self.log_changes(Vec::new());
        }
        let now = clock::now();
        let instances = self.directory.instances();
        let mut cold = Vec::new();
        for known in instances.iter().filter(|known| known.warmth.is_cold(now)) {
            let owners = self.place_owners(&known.record);
            let mut lenders = locked(&self.cold_places.lenders);
            let lender = lenders.entry(known.record.name.clone()).or_default();
            lender.note_owners(&owners, now, now);
            cold.push(known.record.name.clone());
        }
        let known: HashSet<_> = instances.iter().map(|known| &known.record.name).collect();
        self.cold_places.forget_others(&known);
        self.log_changes(cold);
    }

    fn log_changes(&self, cold: Vec<InstanceName>) {
        let before = std::mem::replace(&mut *locked(&self.cold_places.cold), cold.clone());
        for instance in cold.iter().filter(|instance| !before.contains(instance)) {
            info!("event=instance_cold instance={instance}");
        }
        for instance in before.iter().filter(|instance| !cold.contains(instance)) {
            info!("event=instance_warm instance={instance}");
        }
        self.metrics.cold_instances.set(cold.len() as i64);
    }
}

impl Lender {
    /// Takes in who owns connections to the instance: since `first_since` at the first
    /// look, since now after a change.
    fn note_owners(&mut self, owners: &[Owner], first_since: Instant, now: Instant) {
        let addresses: Vec<_> = owners.iter().map(|owner| owner.address).collect();
        if self.owners_since.is_none() {
            self.owners_since = Some(first_since);
        } else if self.owners != addresses {
            self.owners_since = Some(now);
        }
        self.owners = addresses;
    }
}
