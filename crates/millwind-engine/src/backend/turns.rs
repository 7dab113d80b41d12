//! Turns of statements at one instance: as many run at the same time as its
//! [`ConcurrencyLimit`] allows, the others wait here, the most urgent first.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::concurrency_limit::{ConcurrencyLimit, ExecutionEnd};
use millwind_core::connection_queue::{WaitingRequest, select_next};
use tokio::sync::oneshot;

use super::link_error::LinkError;
use super::user::ConnectionUser;
use crate::clock;

/// Weight of a new sample in the mean time of a turn, as one part in so many.
const TURN_WEIGHT: u64 = 16;

/// How urgent a statement is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Part of an open transaction, which holds its connection meanwhile; it
    /// waits until its deadline.
    InTransaction,
    /// Of this priority, zero first.
    Priority(u8),
    /// Its answer will be late in any case: it waits behind all whose answers can
    /// still be in time.
    Late,
}

impl Urgency {
    /// Its place in line; lower goes first.
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
    /// Others that came later and went first.
    passed_over: u8,
    turn: oneshot::Sender<Turn>,
}

struct State {
    limit: ConcurrencyLimit,
    running: usize,
    waiters: VecDeque<Waiter>,
    /// Mean time of a turn, in microseconds; zero before the first.
    mean_us: u64,
}

/// The turns at one instance.
pub struct Turns(Mutex<State>);

impl std::fmt::Debug for Turns {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Turns")
    }
}

/// A statement's turn; over when dropped.
#[derive(Debug)]
pub struct Turn {
    turns: Arc<Turns>,
    user: ConnectionUser,
    began: Instant,
    end: ExecutionEnd,
}

impl Turn {
    /// Ends the turn.
    pub fn end(mut self, end: ExecutionEnd) {
        self.end = end;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.turns.over(self.began, self.end, &self.user);
    }
}

impl Turns {
    /// Turns at an instance with so many slots.
    pub fn new(slots: u32) -> Arc<Turns> {
        Arc::new(Turns(Mutex::new(State {
            limit: ConcurrencyLimit::new(slots),
            running: 0,
            waiters: VecDeque::new(),
            mean_us: 0,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// As [`Turns::take_for`], for the system or callers that are not told apart.
    pub async fn take(
        self: &Arc<Self>,
        urgency: Urgency,
        target_time: Instant,
        deadline: Instant,
    ) -> Result<Turn, LinkError> {
        self.take_for(&ConnectionUser::System, urgency, target_time, deadline)
            .await
    }

    /// Waits for a turn of `user`; one whose answer would come after `target_time` counts as late.
    /// Fails at `deadline`, or at once where the statement is not expected to be
    /// served by then.
    pub async fn take_for(
        self: &Arc<Self>,
        user: &ConnectionUser,
        urgency: Urgency,
        target_time: Instant,
        deadline: Instant,
    ) -> Result<Turn, LinkError> {
        let waiting = {
            let mut state = self.state();
            if state.running < state.limit.allowed() {
                state.running += 1;
                return Ok(self.begin(user.clone()));
            }
            let place = state
                .place(urgency, target_time, deadline)
                .ok_or(LinkError::NoConnection)?;
            state.enqueue(place, user.clone())
        };
        match tokio::time::timeout_at(clock::deadline(deadline), waiting).await {
            Ok(Ok(turn)) => Ok(turn),
            Ok(Err(_)) => Err(LinkError::Retired),
            Err(_) => Err(LinkError::NoConnection),
        }
    }

    fn begin(self: &Arc<Self>, user: ConnectionUser) -> Turn {
        Turn {
            turns: self.clone(),
            user,
            began: clock::now(),
            end: ExecutionEnd::Unknown,
        }
    }

    /// A turn of `user` is over: those that wait may begin theirs.
    fn over(self: &Arc<Self>, began: Instant, end: ExecutionEnd, user: &ConnectionUser) {
        let now = clock::now();
        let mut begun = Vec::new();
        {
            let mut state = self.state();
            let was_full = state.running >= state.limit.allowed();
            state.running -= 1;
            state.limit.record_end(now, end, was_full);
            if end == ExecutionEnd::Ran {
                state.note_turn(now.0.saturating_sub(began.0));
            }
            while state.running < state.limit.allowed() {
                let Some(waiter) = state.next_waiter(user) else {
                    break;
                };
                state.running += 1;
                begun.push(waiter);
            }
        }
        // Outside of the lock: a turn that nobody takes is over at once.
        for waiter in begun {
            let turn = self.begin(waiter.user);
            drop(waiter.turn.send(turn));
        }
    }
}

impl State {
    /// Takes in how long a turn took, in microseconds.
    fn note_turn(&mut self, sample: u64) {
        self.mean_us = match self.mean_us {
            0 => sample,
            mean => (mean * (TURN_WEIGHT - 1) + sample) / TURN_WEIGHT,
        };
    }

    /// Time until a statement that comes now would have been served, in
    /// microseconds.
    fn expected_us(&self, urgency: Urgency) -> u64 {
        let ahead = self.waiters.iter().filter(|waiter| waiter.urgency <= urgency);
        let rounds = (ahead.count() as u64 + 1) / self.limit.allowed() as u64;
        self.mean_us * (rounds + 1)
    }

    /// The place of a statement among those that wait; none where it is not
    /// expected to be served before `deadline`. One of an open transaction always
    /// has a place.
    fn place(&self, urgency: Urgency, target_time: Instant, deadline: Instant) -> Option<Urgency> {
        let now = clock::now();
        let expected = |urgency| Instant(now.0 + self.expected_us(urgency));
        if urgency == Urgency::InTransaction || expected(urgency) <= target_time {
            return Some(urgency);
        }
        (expected(Urgency::Late) <= deadline).then_some(Urgency::Late)
    }

    fn enqueue(&mut self, urgency: Urgency, user: ConnectionUser) -> oneshot::Receiver<Turn> {
        let (turn, receiver) = oneshot::channel();
        let index = self.waiters.partition_point(|other| other.urgency <= urgency);
        let waiter = Waiter {
            urgency,
            user,
            passed_over: 0,
            turn,
        };
        self.waiters.insert(index, waiter);
        receiver
    }

    /// The next one that still waits, after a turn of `user`, whose connection it leaves
    /// open.
    fn next_waiter(&mut self, user: &ConnectionUser) -> Option<Waiter> {
        self.waiters.retain(|waiter| !waiter.turn.is_closed());
        let view = |waiter: &Waiter| WaitingRequest {
            rank: waiter.urgency.rank(),
            is_same_user: waiter.user == *user,
            overtaken_count: waiter.passed_over,
        };
        let index = select_next(self.waiters.iter().map(view))?;
        for passed_over in self.waiters.iter_mut().take(index) {
            passed_over.passed_over += 1;
        }
        self.waiters.remove(index)
    }
}
