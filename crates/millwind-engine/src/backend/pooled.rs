//! A connection that is checked out of a pool.

use std::sync::Arc;

use millwind_core::Instant;

use super::connection::Connection;
use super::pool::{Pool, Purpose};
use super::turns::{ExecutionSlot, Urgency};
use crate::clock;
use crate::statement::{Command, Envelope, TransactionState};

/// Time limit for a rollback before the connection is closed, in milliseconds.
const ROLLBACK_LIMIT_MS: u64 = 3_000;

/// A connection that returns to its pool when dropped. If a transaction is open, it is rolled
/// back first; if replies are pending, the connection is closed instead.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<Pool>,
    purpose: Purpose,
    acquired_at: Instant,
    connection: Option<Connection>,
    /// Whether a statement has run since the connection was acquired.
    has_run: bool,
    /// The execution slot of the first statement, if it was taken before the connection was
    /// acquired.
    slot: Option<ExecutionSlot>,
}

impl PooledConnection {
    pub(super) fn new(pool: Arc<Pool>, connection: Connection, purpose: Purpose) -> Self {
        PooledConnection {
            pool,
            purpose,
            acquired_at: clock::now(),
            connection: Some(connection),
            has_run: false,
            slot: None,
        }
    }

    /// The urgency of the next statement on the connection.
    pub fn urgency(&self) -> Urgency {
        match self.purpose {
            Purpose::Statement { priority, .. } if !self.has_run => Urgency::Priority(priority),
            _ => Urgency::InTransaction,
        }
    }

    /// Target time for the answer to the first statement; now for a health check.
    pub fn target_time(&self) -> Instant {
        match self.purpose {
            Purpose::Statement { target_time, .. } => target_time,
            Purpose::Probe => clock::now(),
        }
    }

    /// Stores the execution slot in which the connection was acquired, for its first statement.
    pub fn store_slot(&mut self, slot: ExecutionSlot) {
        self.slot = Some(slot);
    }

    /// Takes the stored execution slot, if there is one.
    pub fn take_slot(&mut self) -> Option<ExecutionSlot> {
        self.slot.take()
    }

    /// Records that a statement has run on the connection.
    pub fn record_run(&mut self) {
        self.has_run = true;
    }

    /// The pool of the connection.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }
}

impl std::ops::Deref for PooledConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        self.connection.as_ref().expect("present until dropped")
    }
}

impl std::ops::DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("present until dropped")
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        self.pool.record_use(self.acquired_at);
        if !connection.is_settled() {
            return;
        }
        if connection.transaction() == TransactionState::Idle {
            self.pool.give_back(connection);
            return;
        }
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(roll_back(self.pool.clone(), connection));
        }
    }
}

/// Rolls back the open transaction and returns the connection to its pool; closes the
/// connection if the rollback fails.
async fn roll_back(pool: Arc<Pool>, mut connection: Connection) {
    let envelope = Envelope::own(Command::Rollback);
    let deadline = clock::now().plus_millis(ROLLBACK_LIMIT_MS);
    let result = connection.exchange(&envelope, deadline).await;
    let is_clean = result.is_ok_and(|reply| reply.state == TransactionState::Idle);
    if is_clean && connection.is_settled() {
        pool.give_back(connection);
    }
}
