//! Admission of statements to one instance. As many statements run at the same time as the
//! [`ConcurrencyLimit`] allows; the others wait in a queue, most urgent first.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::concurrency_limit::{ConcurrencyLimit, ExecutionEnd};
use millwind_core::connection_queue::{WaitingRequest, select_next};
use tokio::sync::oneshot;

use super::link_error::ExchangeError;
use super::user::ConnectionUser;
use crate::clock;

/// A new sample enters the moving average of execution times with weight `1 / SAMPLE_WEIGHT`.
const SAMPLE_WEIGHT: u64 = 16;

/// How urgent a statement is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Part of an open transaction, which holds its connection. The statement may wait until
    /// its deadline.
    InTransaction,
    /// Priority of the database; zero is the most urgent.
    Priority(u8),
    /// The statement is expected to miss its target time and waits behind all that can still
    /// meet theirs.
    Late,
}

impl Urgency {
    /// Queue rank; lower ranks are served first.
    fn rank(self) -> u8 {
        match self {
            Urgency::InTransaction => 0,
            Urgency::Priority(priority) => priority.saturating_add(1).min(u8::MAX - 1),
            Urgency::Late => u8::MAX,
        }
    }
}

struct Waiter {
    urgency: Urgency,
    user: ConnectionUser,
    /// Number of later statements that were served first.
    overtaken_count: u8,
    slot: oneshot::Sender<ExecutionSlot>,
}

struct State {
    limit: ConcurrencyLimit,
    running: usize,
    waiters: VecDeque<Waiter>,
    /// Moving average of the time for which a slot is held, in microseconds; zero before the
    /// first release.
    mean_us: u64,
}

/// Admission queue for the statements on one instance.
pub struct StatementAdmission(Mutex<State>);

impl std::fmt::Debug for StatementAdmission {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("StatementAdmission")
    }
}

/// The right to run one statement on the instance; released when dropped.
#[derive(Debug)]
pub struct ExecutionSlot {
    admission: Arc<StatementAdmission>,
    user: ConnectionUser,
    began: Instant,
    end: ExecutionEnd,
}

impl ExecutionSlot {
    /// Releases the slot and reports how the statement ended.
    pub fn end(mut self, end: ExecutionEnd) {
        self.end = end;
    }
}

impl Drop for ExecutionSlot {
    fn drop(&mut self) {
        self.admission.release(self.began, self.end, &self.user);
    }
}

impl StatementAdmission {
    /// Creates the queue for an instance with `slots` execution slots.
    pub fn new(slots: u32) -> Arc<StatementAdmission> {
        Arc::new(StatementAdmission(Mutex::new(State {
            limit: ConcurrencyLimit::new(slots),
            running: 0,
            waiters: VecDeque::new(),
            mean_us: 0,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Like [`Self::acquire_for`], for the system user.
    pub async fn acquire(
        self: &Arc<Self>,
        urgency: Urgency,
        target_time: Instant,
        deadline: Instant,
    ) -> Result<ExecutionSlot, ExchangeError> {
        self.acquire_for(&ConnectionUser::System, urgency, target_time, deadline)
            .await
    }

    /// Waits for an execution slot for `user`. A statement whose answer is expected after
    /// `target_time` counts as late. Fails at `deadline`, or at once if the
    /// statement is not expected to be answered by then.
    pub async fn acquire_for(
        self: &Arc<Self>,
        user: &ConnectionUser,
        urgency: Urgency,
        target_time: Instant,
        deadline: Instant,
    ) -> Result<ExecutionSlot, ExchangeError> {
        let receiver = {
            let mut state = self.state();
            if state.running < state.limit.allowed() {
                state.running += 1;
                return Ok(self.begin(user.clone()));
            }
            let queued_urgency = state
                .queued_urgency(urgency, target_time, deadline)
                .ok_or(ExchangeError::QueueTimeout)?;
            state.enqueue(queued_urgency, user.clone())
        };
        match tokio::time::timeout_at(clock::deadline(deadline), receiver).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(ExchangeError::PoolRetired),
            Err(_) => Err(ExchangeError::QueueTimeout),
        }
    }

    fn begin(self: &Arc<Self>, user: ConnectionUser) -> ExecutionSlot {
        ExecutionSlot {
            admission: self.clone(),
            user,
            began: clock::now(),
            end: ExecutionEnd::Unknown,
        }
    }

    /// Releases a slot of `user` and grants slots to waiting statements.
    fn release(self: &Arc<Self>, began: Instant, end: ExecutionEnd, user: &ConnectionUser) {
        let now = clock::now();
        let mut admitted = Vec::new();
        {
            let mut state = self.state();
            let was_full = state.running >= state.limit.allowed();
            state.running -= 1;
            state.limit.record_end(now, end, was_full);
            if end == ExecutionEnd::Ran {
                state.record_duration(now.0.saturating_sub(began.0));
            }
            while state.running < state.limit.allowed() {
                let Some(waiter) = state.next_waiter(user) else {
                    break;
                };
                state.running += 1;
                admitted.push(waiter);
            }
        }
        // The state is unlocked here: a slot whose receiver is gone is dropped at once and
        // locks the state again.
        for waiter in admitted {
            let slot = self.begin(waiter.user);
            drop(waiter.slot.send(slot));
        }
    }
}

impl State {
    /// Adds the time for which a slot was held, in microseconds, to the moving average.
    fn record_duration(&mut self, sample: u64) {
        self.mean_us = match self.mean_us {
            0 => sample,
            mean => (mean * (SAMPLE_WEIGHT - 1) + sample) / SAMPLE_WEIGHT,
        };
    }

    /// Expected time until a statement that arrives now is answered, in microseconds.
    fn expected_completion_us(&self, urgency: Urgency) -> u64 {
        let ahead = self.waiters.iter().filter(|waiter| waiter.urgency <= urgency);
        let rounds = (ahead.count() as u64 + 1) / self.limit.allowed() as u64;
        self.mean_us * (rounds + 1)
    }

    /// The urgency at which a statement is queued: its own, or late if it is expected to miss
    /// `target_time`. None if it is not expected to be answered by `deadline`. Statements of an open
    /// transaction are always queued.
    fn queued_urgency(&self, urgency: Urgency, target_time: Instant, deadline: Instant) -> Option<Urgency> {
        let now = clock::now();
        let expected = |urgency| Instant(now.0 + self.expected_completion_us(urgency));
        if urgency == Urgency::InTransaction || expected(urgency) <= target_time {
            return Some(urgency);
        }
        (expected(Urgency::Late) <= deadline).then_some(Urgency::Late)
    }

    fn enqueue(&mut self, urgency: Urgency, user: ConnectionUser) -> oneshot::Receiver<ExecutionSlot> {
        let (slot, receiver) = oneshot::channel();
        let index = self.waiters.partition_point(|other| other.urgency <= urgency);
        let waiter = Waiter {
            urgency,
            user,
            overtaken_count: 0,
            slot,
        };
        self.waiters.insert(index, waiter);
        receiver
    }

    /// Removes and returns the waiter that is served next, after a slot of `user` is released.
    /// Waiters of the same user are preferred because they can reuse its connection.
    fn next_waiter(&mut self, user: &ConnectionUser) -> Option<Waiter> {
        self.waiters.retain(|waiter| !waiter.slot.is_closed());
        let view = |waiter: &Waiter| WaitingRequest {
            rank: waiter.urgency.rank(),
            is_same_user: waiter.user == *user,
            overtaken_count: waiter.overtaken_count,
        };
        let index = select_next(self.waiters.iter().map(view))?;
        for skipped in self.waiters.iter_mut().take(index) {
            skipped.overtaken_count += 1;
        }
        self.waiters.remove(index)
    }
}
