//! The pool of one instance: its idle connections, its share of the
//! instance's connections, and the statements that wait for one.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use millwind_core::Instant;
use millwind_core::connection_queue::{WaitingRequest, select_next};
use millwind_core::session_state::{PreparedStatement, SessionState};
use tokio::sync::oneshot;

use super::connection::Connection;
use super::demand::PeakDemand;
use super::link_error::LinkError;
use super::pooled::PooledConnection;
use super::turns::Turns;
use super::user::ConnectionUser;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::ports::BackEndCodec;

/// Longest wait for a new connection, in milliseconds.
const CONNECT_LIMIT_MS: u64 = 1_000;
/// After the instance said that it takes no more connections, none is opened
/// for this time, in milliseconds.
const LIMIT_PAUSE_MS: u64 = 300;
/// After that pause connections are opened one at a time for this time, in
/// milliseconds.
const CAREFUL_MS: u64 = 2_000;
/// Between two looks of a waiter meanwhile, in milliseconds.
const CAREFUL_TICK_MS: u64 = 60;
/// Weight of a new sample in the mean time of use, as one part in so many.
const USE_WEIGHT: u64 = 16;

/// What a connection is wanted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A statement of this priority; zero comes first.
    Statement {
        /// The database's priority.
        priority: u8,
        /// When the caller should have the answer.
        target_time: Instant,
    },
    /// A health check, which may use one connection beyond the share.
    Probe,
}

/// Place of a health check among those who wait.
const PROBE_RANK: u8 = 0;
/// Place of a statement whose answer will be late in any case: behind all that
/// can still be in time.
const LATE_RANK: u8 = u8::MAX;

/// One open connection, or the right to open one.
#[derive(Debug)]
pub struct Permit {
    pool: Arc<Pool>,
    /// A connection is being opened with it.
    is_opening: bool,
}

impl Permit {
    /// The connection is open.
    pub fn opened(&mut self) {
        if self.is_opening {
            self.is_opening = false;
            let mut state = self.pool.state();
            state.opening -= 1;
        }
    }

    /// The connection was closed and another is opened in its place.
    fn reopening(mut self) -> Permit {
        self.is_opening = true;
        self.pool.state().opening += 1;
        self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.opened();
        self.pool.permit_returned();
    }
}

enum Grant {
    Idle(Box<Connection>),
    Open(Permit),
}

struct Waiter {
    rank: u8,
    user: ConnectionUser,
    /// Others that came later and went first.
    passed_over: u8,
    grant: oneshot::Sender<Grant>,
}

#[derive(Default)]
struct PoolState {
    /// Least recently used first.
    idle: Vec<Connection>,
    open: usize,
    share: usize,
    waiters: VecDeque<Waiter>,
    /// Mean time for which a connection is used, in microseconds.
    mean_use_us: u64,
    /// Connections that are being opened.
    opening: usize,
    /// How many were needed at the same time lately.
    demand: PeakDemand,
    no_open_before: Instant,
    /// The last connections that rested were found to be lost.
    has_lost_all: bool,
    is_retired: bool,
}

impl PoolState {
    /// Notes how many connections are needed now.
    fn note_demand(&mut self) {
        let needed = self.open - self.idle.len() + self.waiters.len();
        self.demand.note(clock::now(), needed);
    }

    /// Time until a connection would have been used by one that waits at `rank`, in
    /// microseconds.
    fn expected_us(&self, rank: u8) -> u64 {
        let ahead = self.waiters.iter().filter(|waiter| waiter.rank <= rank);
        let turns = ahead.count() as u64 + 1;
        self.mean_use_us * turns / self.open.max(1) as u64 + self.mean_use_us
    }

    /// Takes the one out of the line that a connection of `user` goes to next.
    fn next_for(&mut self, user: &ConnectionUser) -> Option<Waiter> {
        self.waiters.retain(|waiter| !waiter.grant.is_closed());
        let view = |waiter: &Waiter| WaitingRequest {
            rank: waiter.rank,
            is_same_user: waiter.user == *user,
            overtaken_count: waiter.passed_over,
        };
        let index = select_next(self.waiters.iter().map(view))?;
        for passed_over in self.waiters.iter_mut().take(index) {
            passed_over.passed_over += 1;
        }
        self.waiters.remove(index)
    }

    /// Whether a connection may be opened now: not right after the instance
    /// said that it takes no more, and for a while after that one at a time.
    fn may_open(&self, now: Instant) -> bool {
        let is_careful = now < self.no_open_before.plus_millis(CAREFUL_MS);
        now >= self.no_open_before && (!is_careful || self.opening == 0)
    }
}

/// The pool of one instance.
pub struct Pool {
    record: InstanceRecord,
    codec: Arc<dyn BackEndCodec>,
    state: Mutex<PoolState>,
    turns: Arc<Turns>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Pool({})", self.record.name)
    }
}

impl Pool {
    /// A pool that may hold `share` connections.
    pub fn new(record: InstanceRecord, codec: Arc<dyn BackEndCodec>, share: usize) -> Arc<Pool> {
        let state = PoolState {
            share,
            ..PoolState::default()
        };
        Arc::new(Pool {
            turns: Turns::new(record.slots),
            record,
            codec,
            state: Mutex::new(state),
        })
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The instance.
    pub fn record(&self) -> &InstanceRecord {
        &self.record
    }

    /// Turns of this node's statements there.
    pub fn turns(&self) -> &Arc<Turns> {
        &self.turns
    }

    /// Changes how many connections it may hold.
    pub fn set_share(&self, share: usize) {
        let surplus = {
            let mut state = self.state();
            state.share = share;
            let excess = state.open.saturating_sub(share).min(state.idle.len());
            state.idle.drain(..excess).collect::<Vec<_>>()
        };
        drop(surplus);
    }

    /// Whether the instance is no longer used, or began anew: what is answered on a
    /// connection of this pool tells nothing of the one that lives now.
    pub fn is_retired(&self) -> bool {
        self.state().is_retired
    }

    /// Closes idle connections and refuses statements from now on.
    pub fn retire(&self) {
        let (idle, waiters) = {
            let mut state = self.state();
            state.is_retired = true;
            (
                std::mem::take(&mut state.idle),
                std::mem::take(&mut state.waiters),
            )
        };
        drop(idle);
        drop(waiters);
    }

    /// Closes idle connections beyond `spare` more than were needed at the same
    /// time lately, those first that were used least lately: what one node does
    /// not need is there for others, also while an instance still counts those
    /// of nodes that lost their power.
    pub fn trim(&self, spare: usize) {
        let unneeded = {
            let mut state = self.state();
            let needed = state.demand.lately(clock::now()) + spare;
            let surplus = state.open.saturating_sub(needed).min(state.idle.len());
            state.idle.drain(..surplus).collect::<Vec<_>>()
        };
        drop(unneeded);
    }

    /// Closes all connections that rest but `kept`.
    pub fn close_resting(&self, kept: usize) {
        let unneeded = {
            let mut state = self.state();
            let surplus = state.idle.len().saturating_sub(kept);
            state.idle.drain(..surplus).collect::<Vec<_>>()
        };
        drop(unneeded);
    }

    /// Open connections.
    pub fn open_connections(&self) -> usize {
        self.state().open
    }

    /// Connections that a statement, a transaction or a health check holds.
    pub fn connections_in_use(&self) -> usize {
        let state = self.state();
        let unused = state.idle.len() + state.opening;
        state.open.saturating_sub(unused)
    }

    /// A connection of `user` if one rests or can be opened at once; none where one
    /// would have to be waited for.
    pub async fn acquire_at_once(
        self: &Arc<Self>,
        purpose: Purpose,
        user: &ConnectionUser,
        session: &SessionState,
        needed: Option<&PreparedStatement>,
        deadline: Instant,
    ) -> Result<Option<PooledConnection>, LinkError> {
        if let Some(connection) = self.take_idle(user, session, needed)? {
            self.state().note_demand();
            return Ok(Some(PooledConnection::new(self.clone(), connection, purpose)));
        }
        let Some(permit) = self.take_permit(purpose).or_else(|| self.make_room(user)) else {
            return Ok(None);
        };
        match self.open(permit, purpose, user, deadline).await {
            // The instance is full: one of those that are open will do.
            Err(error) if error.is_over_limit() && self.may_share(deadline) => Ok(None),
            opened => opened.map(Some),
        }
    }

    /// A connection of `user` outside of any transaction, for one statement or
    /// transaction of `session`. Where all that this node may hold are open, one
    /// that rests on behalf of another user is closed for it.
    pub async fn acquire(
        self: &Arc<Self>,
        purpose: Purpose,
        user: &ConnectionUser,
        session: &SessionState,
        needed: Option<&PreparedStatement>,
        deadline: Instant,
    ) -> Result<PooledConnection, LinkError> {
        loop {
            let at_once = self.acquire_at_once(purpose, user, session, needed, deadline);
            if let Some(connection) = at_once.await? {
                return Ok(connection);
            }
            // One may have become free while another was refused.
            if let Some(connection) = self.take_idle(user, session, needed)? {
                return Ok(PooledConnection::new(self.clone(), connection, purpose));
            }
            let rank = self.rank(purpose, deadline).ok_or(LinkError::NoConnection)?;
            let limit = self.wait_limit(deadline);
            match self.wait(rank, user, limit).await {
                Ok(Grant::Idle(connection)) if connection.is_alive() => {
                    return Ok(PooledConnection::new(self.clone(), *connection, purpose));
                }
                Ok(Grant::Idle(_)) => {}
                Ok(Grant::Open(permit)) => match self.open(permit, purpose, user, deadline).await {
                    Err(error) if error.is_over_limit() && self.may_share(deadline) => {}
                    opened => return opened,
                },
                Err(LinkError::NoConnection) if clock::now() < deadline => {}
                Err(error) => return Err(error),
            }
        }
    }

    async fn open(
        self: &Arc<Self>,
        permit: Permit,
        purpose: Purpose,
        user: &ConnectionUser,
        deadline: Instant,
    ) -> Result<PooledConnection, LinkError> {
        let limit = clock::now().plus_millis(CONNECT_LIMIT_MS).min(deadline);
        let opened = Connection::open(&self.record, self.codec.clone(), user.clone(), permit, limit).await;
        let mut state = self.state();
        if opened.as_ref().is_err_and(LinkError::is_over_limit) {
            state.no_open_before = clock::now().plus_millis(LIMIT_PAUSE_MS);
        }
        drop(state);
        opened.map(|connection| PooledConnection::new(self.clone(), connection, purpose))
    }

    /// Whether there are open connections to wait for.
    fn may_share(&self, deadline: Instant) -> bool {
        clock::now() < deadline && self.state().open > 0
    }

    /// The idle connection of `user` that needs the fewest steps; dead ones are
    /// dropped.
    fn take_idle(
        &self,
        user: &ConnectionUser,
        session: &SessionState,
        needed: Option<&PreparedStatement>,
    ) -> Result<Option<Connection>, LinkError> {
        let mut dead = Vec::new();
        let chosen = {
            let mut state = self.state();
            if state.is_retired {
                return Err(LinkError::Retired);
            }
            loop {
                let best = state
                    .idle
                    .iter()
                    .enumerate()
                    .rev()
                    .filter(|(_, idle)| idle.user() == user)
                    .min_by_key(|(_, idle)| idle.preparation_steps(session, needed))
                    .map(|(index, _)| index);
                let Some(index) = best else { break None };
                let connection = state.idle.remove(index);
                if connection.is_alive() {
                    break Some(connection);
                }
                dead.push(connection);
                state.has_lost_all |= !state.idle.iter().any(Connection::is_alive);
            }
        };
        // Dropped outside of the lock: that returns their permits.
        drop(dead);
        Ok(chosen)
    }

    /// Whether no connection rests any more since the far end has closed all that did,
    /// as a process does that ends. Tells it once.
    pub fn has_lost_all(&self) -> bool {
        std::mem::take(&mut self.state().has_lost_all)
    }

    /// Whether a connection rests that the far end keeps open.
    pub fn has_live_connection(&self) -> bool {
        self.state().idle.iter().any(Connection::is_alive)
    }

    fn take_permit(self: &Arc<Self>, purpose: Purpose) -> Option<Permit> {
        let mut state = self.state();
        let allowed = match purpose {
            Purpose::Statement { .. } => state.share,
            Purpose::Probe => state.share + 1,
        };
        if state.open >= allowed || !state.may_open(clock::now()) {
            return None;
        }
        state.open += 1;
        state.opening += 1;
        state.note_demand();
        Some(Permit {
            pool: self.clone(),
            is_opening: true,
        })
    }

    /// Closes the least recently used connection that rests on behalf of another
    /// user than `user`, and gives the right to open one in its place. Those of the
    /// system stay: health checks would open them again at once.
    fn make_room(&self, user: &ConnectionUser) -> Option<Permit> {
        let closed = {
            let mut state = self.state();
            if state.is_retired || !state.may_open(clock::now()) {
                return None;
            }
            let is_closable = |idle: &Connection| idle.user() != user && idle.user().tenant().is_some();
            let index = state.idle.iter().position(is_closable)?;
            state.idle.remove(index)
        };
        Some(closed.close().reopening())
    }

    /// The place of a statement among those who wait for a connection; none where
    /// none is expected to become free so early that there is time left to use
    /// it: the statement had better go elsewhere now.
    fn rank(&self, purpose: Purpose, deadline: Instant) -> Option<u8> {
        let Purpose::Statement {
            priority,
            target_time,
        } = purpose
        else {
            return Some(PROBE_RANK);
        };
        let now = clock::now();
        let state = self.state();
        let expected = |rank| Instant(now.0 + state.expected_us(rank));
        let rank = priority.saturating_add(1).min(LATE_RANK - 1);
        if expected(rank) <= target_time {
            return Some(rank);
        }
        (expected(LATE_RANK) <= deadline).then_some(LATE_RANK)
    }

    /// Takes in that a connection was used since `since`.
    pub(super) fn note_use(&self, since: Instant) {
        let used_us = clock::now().0.saturating_sub(since.0);
        let mut state = self.state();
        state.mean_use_us = (state.mean_use_us * (USE_WEIGHT - 1) + used_us) / USE_WEIGHT;
    }

    /// A waiter looks again when connections may be opened again.
    fn wait_limit(&self, deadline: Instant) -> Instant {
        let no_open_before = self.state().no_open_before;
        let now = clock::now();
        if now >= no_open_before.plus_millis(CAREFUL_MS) {
            return deadline;
        }
        let next_try = no_open_before.max(now.plus_millis(CAREFUL_TICK_MS));
        deadline.min(next_try.plus_millis(1))
    }

    async fn wait(&self, rank: u8, user: &ConnectionUser, deadline: Instant) -> Result<Grant, LinkError> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.state();
            let waiter = Waiter {
                rank,
                user: user.clone(),
                passed_over: 0,
                grant: sender,
            };
            let index = state.waiters.partition_point(|other| other.rank <= rank);
            state.waiters.insert(index, waiter);
            state.note_demand();
        }
        match tokio::time::timeout_at(clock::deadline(deadline), receiver).await {
            Ok(Ok(grant)) => Ok(grant),
            Ok(Err(_)) => Err(LinkError::Retired),
            Err(_) => Err(LinkError::NoConnection),
        }
    }

    /// Takes back a settled connection that is outside of any transaction: the
    /// next in line gets it, or the right to open one in its place.
    pub(super) fn give_back(&self, connection: Connection) {
        let mut returned = connection;
        loop {
            let waiter = {
                let mut state = self.state();
                if state.is_retired || state.open > state.share + 1 {
                    return drop(state);
                }
                let Some(waiter) = state.next_for(returned.user()) else {
                    state.idle.push(returned);
                    return;
                };
                waiter
            };
            if waiter.user != *returned.user() {
                // An unused permit comes back when it is dropped.
                drop(waiter.grant.send(Grant::Open(returned.close().reopening())));
                return;
            }
            match waiter.grant.send(Grant::Idle(Box::new(returned))) {
                Ok(()) => return,
                Err(Grant::Idle(unused)) => returned = *unused,
                Err(Grant::Open(_)) => return,
            }
        }
    }

    /// A connection was closed or not opened: the next waiter may open one.
    fn permit_returned(self: &Arc<Self>) {
        let waiter = {
            let mut state = self.state();
            state.open -= 1;
            let may_open = state.open < state.share && !state.is_retired && state.may_open(clock::now());
            let waiter = if may_open {
                pop_live(&mut state.waiters)
            } else {
                None
            };
            if waiter.is_some() {
                state.open += 1;
                state.opening += 1;
            }
            waiter
        };
        if let Some(waiter) = waiter {
            // An unused permit comes back here when it is dropped.
            let permit = Permit {
                pool: self.clone(),
                is_opening: true,
            };
            drop(waiter.grant.send(Grant::Open(permit)));
        }
    }
}

fn pop_live(waiters: &mut VecDeque<Waiter>) -> Option<Waiter> {
    while let Some(waiter) = waiters.pop_front() {
        if !waiter.grant.is_closed() {
            return Some(waiter);
        }
    }
    None
}

/// Opens up to `count` connections ahead of need.
pub async fn open_ahead(pool: Arc<Pool>, count: usize, pace: Duration) {
    let mut held = Vec::new();
    for _ in 0..count {
        let deadline = clock::now().plus_millis(CONNECT_LIMIT_MS);
        let purpose = Purpose::Statement {
            priority: u8::MAX,
            target_time: deadline,
        };
        match pool
            .acquire(
                purpose,
                &ConnectionUser::System,
                &SessionState::default(),
                None,
                deadline,
            )
            .await
        {
            Ok(connection) => held.push(connection),
            Err(_) => return,
        }
        tokio::time::sleep(pace).await;
    }
}
