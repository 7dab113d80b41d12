//! The connection pool of one instance: idle connections, the limit of open connections
//! and the queue of waiting requests.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use millwind_core::Instant;
use millwind_core::connection_queue::{WaitingRequest, select_next};
use millwind_core::process_continuity::ProcessContinuity;
use millwind_core::session_state::{PreparedStatement, SessionState};
use tokio::sync::oneshot;

use super::connection::Connection;
use super::demand::PeakDemand;
use super::link_error::ExchangeError;
use super::pooled::PooledConnection;
use super::turns::StatementAdmission;
use super::user::ConnectionUser;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::ports::BackEndCodec;

/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time for which no connection is opened after the instance has rejected one because of its
/// connection limit, in milliseconds.
const REJECTION_PAUSE_MS: u64 = 300;
/// Time, counted from the end of that pause, during which connections are opened one at a
/// time, in milliseconds.
const SERIAL_OPEN_MS: u64 = 2_000;
/// Interval at which a waiting request retries to open a connection after such a rejection,
/// in milliseconds.
const SERIAL_OPEN_RETRY_MS: u64 = 60;
/// A new sample enters the moving average of the time of use with weight `1 / USE_WEIGHT`.
const USE_WEIGHT: u64 = 16;

/// What a connection is acquired for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A statement.
    Statement {
        /// Priority of the database; zero is the most urgent.
        priority: u8,
        /// Target time for the answer.
        target_time: Instant,
    },
    /// A health check, which may use one connection beyond the pool's limit.
    Probe,
}

/// Queue rank of a health check.
const PROBE_RANK: u8 = 0;
/// Queue rank of a statement that is expected to miss its target time. It waits behind all
/// statements that can still meet theirs.
const LATE_RANK: u8 = u8::MAX;

/// The right to open one connection and keep it open; returned to the pool when dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    pool: Arc<Pool>,
    /// Whether the connection is still being opened.
    is_opening: bool,
}

impl ConnectionPermit {
    /// Records that the connection is open.
    pub fn opened(&mut self) {
        if self.is_opening {
            self.is_opening = false;
            let mut state = self.pool.state();
            state.opening -= 1;
        }
    }

    /// Records an answer to a request on the connection.
    pub fn answered(&self) {
        self.pool.state().continuity.record_alive(clock::now());
    }

    /// Reuses the permit of a closed connection to open another.
    fn into_opening(mut self) -> ConnectionPermit {
        self.is_opening = true;
        self.pool.state().opening += 1;
        self
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.opened();
        self.pool.release_permit();
    }
}

/// What a waiting request receives.
enum Grant {
    Idle(Box<Connection>),
    Open(ConnectionPermit),
}

struct Waiter {
    rank: u8,
    user: ConnectionUser,
    /// Number of later requests that were served first.
    overtaken_count: u8,
    grant: oneshot::Sender<Grant>,
}

#[derive(Default)]
struct PoolState {
    /// Idle connections, least recently used first.
    idle: Vec<Connection>,
    open: usize,
    share: usize,
    waiters: VecDeque<Waiter>,
    /// Moving average of the time for which a connection is in use, in microseconds.
    mean_use_us: u64,
    /// Number of connections that are being opened.
    opening: usize,
    /// Recent peak of connections needed at the same time.
    demand: PeakDemand,
    no_open_before: Instant,
    continuity: ProcessContinuity,
    is_retired: bool,
}

impl PoolState {
    fn has_live_idle_connection(&self) -> bool {
        self.idle.iter().any(Connection::is_alive)
    }

    /// Records how many connections are needed now.
    fn record_demand(&mut self) {
        let needed = self.open - self.idle.len() + self.waiters.len();
        self.demand.record(clock::now(), needed);
    }

    /// Expected time until a request that is queued now at `rank` has finished using its
    /// connection, in microseconds.
    fn expected_completion_us(&self, rank: u8) -> u64 {
        let ahead = self.waiters.iter().filter(|waiter| waiter.rank <= rank);
        let uses = ahead.count() as u64 + 1;
        self.mean_use_us * uses / self.open.max(1) as u64 + self.mean_use_us
    }

    /// Removes and returns the waiter that receives a connection of `user` next.
    fn take_waiter_for(&mut self, user: &ConnectionUser) -> Option<Waiter> {
        self.waiters.retain(|waiter| !waiter.grant.is_closed());
        let view = |waiter: &Waiter| WaitingRequest {
            rank: waiter.rank,
            is_same_user: waiter.user == *user,
            overtaken_count: waiter.overtaken_count,
        };
        let index = select_next(self.waiters.iter().map(view))?;
        for skipped in self.waiters.iter_mut().take(index) {
            skipped.overtaken_count += 1;
        }
        self.waiters.remove(index)
    }

    /// Whether a connection may be opened now. After the instance has rejected a connection
    /// because of its limit, none is opened for a pause, then one at a time for a while.
    fn may_open(&self, now: Instant) -> bool {
        let opens_serially = now < self.no_open_before.plus_millis(SERIAL_OPEN_MS);
        now >= self.no_open_before && (!opens_serially || self.opening == 0)
    }
}

/// The connection pool of one instance.
pub struct Pool {
    record: InstanceRecord,
    codec: Arc<dyn BackEndCodec>,
    state: Mutex<PoolState>,
    admission: Arc<StatementAdmission>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Pool({})", self.record.name)
    }
}

impl Pool {
    /// Creates a pool that may hold up to `share` connections.
    pub fn new(record: InstanceRecord, codec: Arc<dyn BackEndCodec>, share: usize) -> Arc<Pool> {
        let state = PoolState {
            share,
            ..PoolState::default()
        };
        Arc::new(Pool {
            admission: StatementAdmission::new(record.slots),
            record,
            codec,
            state: Mutex::new(state),
        })
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The record of the instance.
    pub fn record(&self) -> &InstanceRecord {
        &self.record
    }

    /// The admission queue for this node's statements on the instance.
    pub fn admission(&self) -> &Arc<StatementAdmission> {
        &self.admission
    }

    /// Changes how many connections the pool may hold, and closes idle ones beyond that.
    pub fn set_share(&self, share: usize) {
        let surplus = {
            let mut state = self.state();
            state.share = share;
            let excess = state.open.saturating_sub(share).min(state.idle.len());
            state.idle.drain(..excess).collect::<Vec<_>>()
        };
        drop(surplus);
    }

    /// Whether the pool was retired because its instance was removed, replaced or restarted.
    /// Answers on its connections prove nothing about the current instance.
    pub fn is_retired(&self) -> bool {
        self.state().is_retired
    }

    /// Closes idle connections, fails waiting requests and rejects all further ones.
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

    /// Closes idle connections, least recently used first, until at most `spare` more are open
    /// than the recent peak demand. This leaves connections of the instance to other nodes,
    /// also while the instance still counts connections of crashed nodes.
    pub fn trim(&self, spare: usize) {
        let unneeded = {
            let mut state = self.state();
            let needed = state.demand.recent_peak(clock::now()) + spare;
            let surplus = state.open.saturating_sub(needed).min(state.idle.len());
            state.idle.drain(..surplus).collect::<Vec<_>>()
        };
        drop(unneeded);
    }

    /// Closes all idle connections but `kept`.
    pub fn close_idle(&self, kept: usize) {
        let unneeded = {
            let mut state = self.state();
            let surplus = state.idle.len().saturating_sub(kept);
            state.idle.drain(..surplus).collect::<Vec<_>>()
        };
        drop(unneeded);
    }

    /// Number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.state().open
    }

    /// Number of connections in use by a statement, a transaction or a health check.
    pub fn connections_in_use(&self) -> usize {
        let state = self.state();
        let not_in_use = state.idle.len() + state.opening;
        state.open.saturating_sub(not_in_use)
    }

    /// Returns a connection of `user` if one is idle or can be opened without waiting for
    /// another request; otherwise none. Fails if the pool is retired or opening a connection
    /// fails.
    pub async fn acquire_at_once(
        self: &Arc<Self>,
        purpose: Purpose,
        user: &ConnectionUser,
        session: &SessionState,
        needed: Option<&PreparedStatement>,
        deadline: Instant,
    ) -> Result<Option<PooledConnection>, ExchangeError> {
        if let Some(connection) = self.take_idle(user, session, needed)? {
            self.state().record_demand();
            return Ok(Some(PooledConnection::new(self.clone(), connection, purpose)));
        }
        let Some(permit) = self
            .take_permit(purpose)
            .or_else(|| self.evict_other_tenant(user))
        else {
            return Ok(None);
        };
        match self.open(permit, purpose, user, deadline).await {
            // The instance has reached its limit, so the caller waits for an open connection.
            Err(error) if error.is_over_limit() && self.can_wait_for_open(deadline) => Ok(None),
            opened => opened.map(Some),
        }
    }

    /// Returns a connection of `user` outside of any transaction, for one statement or
    /// transaction of `session`. If no more connections may be opened, an idle connection of
    /// another tenant is closed to make room. Fails if the pool is retired, no connection is
    /// expected to become free in time, or opening one fails.
    pub async fn acquire(
        self: &Arc<Self>,
        purpose: Purpose,
        user: &ConnectionUser,
        session: &SessionState,
        needed: Option<&PreparedStatement>,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        loop {
            let at_once = self.acquire_at_once(purpose, user, session, needed, deadline);
            if let Some(connection) = at_once.await? {
                return Ok(connection);
            }
            // A connection may have become idle while opening another was rejected.
            if let Some(connection) = self.take_idle(user, session, needed)? {
                return Ok(PooledConnection::new(self.clone(), connection, purpose));
            }
            let rank = self.rank(purpose, deadline).ok_or(ExchangeError::QueueTimeout)?;
            let limit = self.retry_deadline(deadline);
            match self.wait(rank, user, limit).await {
                Ok(Grant::Idle(connection)) if connection.is_alive() => {
                    return Ok(PooledConnection::new(self.clone(), *connection, purpose));
                }
                Ok(Grant::Idle(_)) => {}
                Ok(Grant::Open(permit)) => match self.open(permit, purpose, user, deadline).await {
                    Err(error) if error.is_over_limit() && self.can_wait_for_open(deadline) => {}
                    opened => return opened,
                },
                Err(ExchangeError::QueueTimeout) if clock::now() < deadline => {}
                Err(error) => return Err(error),
            }
        }
    }

    async fn open(
        self: &Arc<Self>,
        permit: ConnectionPermit,
        purpose: Purpose,
        user: &ConnectionUser,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        let limit = clock::now().plus_millis(CONNECT_TIMEOUT_MS).min(deadline);
        let opened = Connection::open(&self.record, self.codec.clone(), user.clone(), permit, limit).await;
        let mut state = self.state();
        match &opened {
            Ok(_) => {
                let is_any_idle = state.has_live_idle_connection();
                state.continuity.record_opened(is_any_idle, clock::now());
            }
            Err(error) if error.is_over_limit() => {
                state.no_open_before = clock::now().plus_millis(REJECTION_PAUSE_MS);
            }
            Err(_) => {}
        }
        drop(state);
        opened.map(|connection| PooledConnection::new(self.clone(), connection, purpose))
    }

    /// Whether there is time left and an open connection to wait for.
    fn can_wait_for_open(&self, deadline: Instant) -> bool {
        clock::now() < deadline && self.state().open > 0
    }

    /// Takes the live idle connection of `user` that needs the fewest steps to match `session`.
    /// Closed connections found in the process are dropped. Fails if the pool is retired.
    fn take_idle(
        &self,
        user: &ConnectionUser,
        session: &SessionState,
        needed: Option<&PreparedStatement>,
    ) -> Result<Option<Connection>, ExchangeError> {
        let mut dead = Vec::new();
        let chosen = {
            let mut state = self.state();
            if state.is_retired {
                return Err(ExchangeError::PoolRetired);
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
                    state.continuity.record_alive(clock::now());
                    break Some(connection);
                }
                dead.push(connection);
                if !state.has_live_idle_connection() {
                    state.continuity.record_all_closed();
                }
            }
        };
        // Dropping a connection returns its permit, which locks the pool state.
        drop(dead);
        Ok(chosen)
    }

    /// Whether the instance may have restarted, as shown by its connections. Returns true once
    /// per occurrence.
    pub fn take_possible_restart(&self) -> bool {
        self.state().continuity.take_possible_restart()
    }

    /// Whether an idle connection is still open at the instance.
    pub fn has_live_idle_connection(&self) -> bool {
        self.state().has_live_idle_connection()
    }

    /// Returns a permit to open a connection for `purpose`, if the limit allows it now.
    fn take_permit(self: &Arc<Self>, purpose: Purpose) -> Option<ConnectionPermit> {
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
        state.record_demand();
        Some(ConnectionPermit {
            pool: self.clone(),
            is_opening: true,
        })
    }

    /// Closes the least recently used idle connection of a tenant other than `user` and returns
    /// its permit. Connections of the system user stay open, since health checks would reopen
    /// them at once.
    fn evict_other_tenant(&self, user: &ConnectionUser) -> Option<ConnectionPermit> {
        let closed = {
            let mut state = self.state();
            if state.is_retired || !state.may_open(clock::now()) {
                return None;
            }
            let is_closable = |idle: &Connection| idle.user() != user && idle.user().tenant().is_some();
            let index = state.idle.iter().position(is_closable)?;
            let closed = state.idle.remove(index);
            if closed.is_alive() {
                state.continuity.record_alive(clock::now());
            }
            closed
        };
        Some(closed.close().into_opening())
    }

    /// The queue rank of a request. None if the request is not expected to be served before
    /// `deadline`, so that the statement can be tried elsewhere at once.
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
        let expected = |rank| Instant(now.0 + state.expected_completion_us(rank));
        let rank = priority.saturating_add(1).min(LATE_RANK - 1);
        if expected(rank) <= target_time {
            return Some(rank);
        }
        (expected(LATE_RANK) <= deadline).then_some(LATE_RANK)
    }

    /// Adds the use of a connection since `since` to the average time of use.
    pub(super) fn record_use(&self, since: Instant) {
        let used_us = clock::now().0.saturating_sub(since.0);
        let mut state = self.state();
        state.mean_use_us = (state.mean_use_us * (USE_WEIGHT - 1) + used_us) / USE_WEIGHT;
    }

    /// Returns when a waiting request must retry: at `deadline`, or earlier while the opening
    /// of connections is restricted after a rejection by the instance.
    fn retry_deadline(&self, deadline: Instant) -> Instant {
        let no_open_before = self.state().no_open_before;
        let now = clock::now();
        if now >= no_open_before.plus_millis(SERIAL_OPEN_MS) {
            return deadline;
        }
        let next_try = no_open_before.max(now.plus_millis(SERIAL_OPEN_RETRY_MS));
        deadline.min(next_try.plus_millis(1))
    }

    /// Queues a request at `rank` until it is granted a connection or a permit. Fails if the
    /// pool is retired or at `deadline`.
    async fn wait(&self, rank: u8, user: &ConnectionUser, deadline: Instant) -> Result<Grant, ExchangeError> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.state();
            let waiter = Waiter {
                rank,
                user: user.clone(),
                overtaken_count: 0,
                grant: sender,
            };
            let index = state.waiters.partition_point(|other| other.rank <= rank);
            state.waiters.insert(index, waiter);
            state.record_demand();
        }
        match tokio::time::timeout_at(clock::deadline(deadline), receiver).await {
            Ok(Ok(grant)) => Ok(grant),
            Ok(Err(_)) => Err(ExchangeError::PoolRetired),
            Err(_) => Err(ExchangeError::QueueTimeout),
        }
    }

    /// Takes back a connection without pending replies that is outside of any transaction. The
    /// next waiter receives it or, if it belongs to another user, the permit to replace it.
    pub(super) fn give_back(&self, connection: Connection) {
        let mut returned = connection;
        loop {
            let waiter = {
                let mut state = self.state();
                if state.is_retired || state.open > state.share + 1 {
                    return drop(state);
                }
                let Some(waiter) = state.take_waiter_for(returned.user()) else {
                    state.idle.push(returned);
                    return;
                };
                waiter
            };
            if waiter.user != *returned.user() {
                // If the waiter is gone, the dropped permit returns to the pool.
                drop(waiter.grant.send(Grant::Open(returned.close().into_opening())));
                return;
            }
            match waiter.grant.send(Grant::Idle(Box::new(returned))) {
                Ok(()) => return,
                Err(Grant::Idle(unused)) => returned = *unused,
                Err(Grant::Open(_)) => return,
            }
        }
    }

    /// Releases the permit of a connection that was closed or not opened. If the limit allows,
    /// the next waiter receives a permit.
    fn release_permit(self: &Arc<Self>) {
        let waiter = {
            let mut state = self.state();
            state.open -= 1;
            let may_open = state.open < state.share && !state.is_retired && state.may_open(clock::now());
            let waiter = if may_open {
                pop_waiting(&mut state.waiters)
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
            // If the waiter is gone, the dropped permit is released here again.
            let permit = ConnectionPermit {
                pool: self.clone(),
                is_opening: true,
            };
            drop(waiter.grant.send(Grant::Open(permit)));
        }
    }
}

/// Removes and returns the first waiter that has not given up.
fn pop_waiting(waiters: &mut VecDeque<Waiter>) -> Option<Waiter> {
    while let Some(waiter) = waiters.pop_front() {
        if !waiter.grant.is_closed() {
            return Some(waiter);
        }
    }
    None
}

/// Opens up to `count` connections in advance, pausing for `pause` after each, and stops at
/// the first failure.
pub async fn prewarm(pool: Arc<Pool>, count: usize, pause: Duration) {
    let mut held = Vec::new();
    for _ in 0..count {
        let deadline = clock::now().plus_millis(CONNECT_TIMEOUT_MS);
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
        tokio::time::sleep(pause).await;
    }
}
