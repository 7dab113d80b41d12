//! A connection of a pool in the hands of a user.

use std::sync::Arc;

use millwind_core::Instant;

use super::connection::Connection;
use super::pool::{Pool, Purpose};
use super::turns::{Turn, Urgency};
use crate::clock;
use crate::statement::{Command, Envelope, TransactionState};

/// A connection is given this long to roll back before it is closed.
const ROLLBACK_LIMIT_MS: u64 = 3_000;

/// A connection that goes back to its pool when dropped: at once if it is
/// settled, after a rollback if a transaction is open, never if an answer is
/// outstanding.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<Pool>,
    purpose: Purpose,
    since: Instant,
    connection: Option<Connection>,
    /// A statement of its present user has run on it.
    has_run: bool,
    /// The turn of its first statement, if that was taken before the connection.
    turn: Option<Turn>,
}

impl PooledConnection {
    pub(super) fn new(pool: Arc<Pool>, connection: Connection, purpose: Purpose) -> Self {
        PooledConnection {
            pool,
            purpose,
            since: clock::now(),
            connection: Some(connection),
            has_run: false,
            turn: None,
        }
    }

    /// How urgent the next statement on it is.
    pub fn urgency(&self) -> Urgency {
        match self.purpose {
            Purpose::Statement { priority, .. } if !self.has_run => Urgency::Priority(priority),
            _ => Urgency::InTransaction,
        }
    }

    /// When the caller should have the answer to the first statement on it.
    pub fn target_time(&self) -> Instant {
        match self.purpose {
            Purpose::Statement { target_time, .. } => target_time,
            Purpose::Probe => clock::now(),
        }
    }

    /// Keeps the turn in which it was opened for its first statement.
    pub fn keep_turn(&mut self, turn: Turn) {
        self.turn = Some(turn);
    }

    /// The turn that was kept for the statement that runs now.
    pub fn take_turn(&mut self) -> Option<Turn> {
        self.turn.take()
    }

    /// A statement of its present user has run on it.
    pub fn note_run(&mut self) {
        self.has_run = true;
    }

    /// The pool it belongs to.
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
        self.pool.note_use(self.since);
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

async fn roll_back(pool: Arc<Pool>, mut connection: Connection) {
    let envelope = Envelope::own(Command::Rollback);
    let deadline = clock::now().plus_millis(ROLLBACK_LIMIT_MS);
    let result = connection.exchange(&envelope, deadline).await;
    let is_clean = result.is_ok_and(|reply| reply.state == TransactionState::Idle);
    if is_clean && connection.is_settled() {
        pool.give_back(connection);
    }
}
