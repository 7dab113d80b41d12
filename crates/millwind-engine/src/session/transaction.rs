//! Explicit transactions. A transaction begins on an instance with its first
//! statement and then stays on that connection.

use std::sync::Arc;

use log::{debug, info};
use millwind_core::error_kind::ErrorKind;
use millwind_core::session_state::{Access, PreparedStatement, SessionState};

use super::attempt::{self, OverloadCounter, SessionConnection};
use super::caller::CallerContext;
use super::reads::begin_read_only;
use super::writes::{await_usable_leader, wait_before_retry};
use super::{Operation, Session};
use crate::answer::{Answer, Failure, Refusal, Success};
use crate::backend::{ConnectionUser, ExchangeError};
use crate::catalog::{Consistency, Database, InstanceRecord};
use crate::clock;
use crate::execution::AttemptError;
use crate::floor::MinimumReadPosition;
use crate::node::Engine;
use crate::statement::{BackEndErrorKind, Reply, Request, Statement, TransactionState};

/// The open transaction of a session.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    /// Database and identity at the begin; changes apply to the next transaction.
    context: CallerContext,
    read_only: bool,
    /// The connection that the transaction runs on, `None` before its first statement.
    connection: Option<SessionConnection>,
    has_written: bool,
    is_failed: bool,
}

impl OpenTransaction {
    pub(super) fn is_failed(&self) -> bool {
        self.is_failed
    }

    /// Returns the instance that the transaction runs on, if it has a connection.
    pub(super) fn record(&self) -> Option<&InstanceRecord> {
        self.connection.as_ref().map(SessionConnection::record)
    }

    /// Returns whether the transaction runs on the leader, so that each answer
    /// confirms the leadership.
    fn is_on_leader(&self) -> bool {
        !self.read_only || self.context.database.consistency == Consistency::Primary
    }

    /// Marks the transaction as failed and releases its connection, which rolls it
    /// back.
    fn fail(&mut self) {
        self.connection = None;
        self.is_failed = true;
    }
}

impl Session {
    /// Opens a transaction in the session. Nothing is sent to an instance before
    /// the first statement.
    pub(super) fn begin(&mut self, read_only: bool) -> Answer {
        if self.transaction.is_some() {
            return Err(Refusal::new(ErrorKind::Unsupported, "a transaction is open").into());
        }
        self.transaction = Some(OpenTransaction {
            context: self.caller_context()?,
            read_only,
            connection: None,
            has_written: false,
            is_failed: false,
        });
        Ok(Success::default())
    }

    /// Returns the database and user of the open transaction, unless it has failed.
    pub(super) fn transaction_identity(&self) -> Option<(Arc<Database>, ConnectionUser)> {
        let open = self.transaction.as_ref().filter(|open| !open.is_failed)?;
        Some((open.context.database.clone(), open.context.user.clone()))
    }

    /// Rolls the open transaction back.
    pub(super) fn rollback(&mut self) -> Answer {
        // Releasing the connection rolls the transaction back on the instance.
        self.transaction = None;
        Ok(Success::default())
    }

    /// Fails the open transaction. The caller receives the error with its next
    /// statement.
    pub(super) fn abandon_transaction(&mut self, reason: &str) {
        if let Some(open) = &mut self.transaction
            && !open.is_failed
        {
            debug!(
                "event=transaction_abandoned database={} reason={reason:?}",
                self.database
            );
            open.fail();
            self.engine.metrics.transactions_abandoned.inc();
        }
    }

    /// Abandons the open transaction if an evacuation has closed its instance.
    pub(super) fn abandon_if_evacuated(&mut self) {
        let Some(record) = self.transaction.as_ref().and_then(OpenTransaction::record) else {
            return;
        };
        if !self.engine.is_closed_by_evacuation(record) {
            return;
        }
        if self.engine.request_log.admit() {
            info!(
                "event=transaction_ended_by_evacuation session={} database={} instance={} zone={}",
                self.session_id, self.database, record.name, record.zone
            );
        }
        self.engine.metrics.evacuated_transactions.inc();
        self.abandon_transaction("its instance's zone is being evacuated");
    }

    /// Answers a statement in a failed transaction, which only a rollback or commit
    /// ends.
    pub(super) fn answer_in_failed_transaction(&mut self, statement: &Statement) -> Answer {
        match statement {
            Statement::Rollback => self.rollback(),
            Statement::Commit => {
                self.transaction = None;
                Err(Refusal::new(ErrorKind::TransactionLost, "it was rolled back").into())
            }
            _ => Err(Refusal::new(
                ErrorKind::TransactionLost,
                "statements are refused until the transaction ends",
            )
            .into()),
        }
    }

    pub(super) fn operation_in_transaction(
        &self,
        request: Request,
        access: Access,
        prepared: Option<(PreparedStatement, String)>,
        arrived: millwind_core::Instant,
    ) -> Result<Operation, Refusal> {
        let open = self.transaction.as_ref();
        let open = open.ok_or_else(|| Refusal::new(ErrorKind::Unsupported, "no transaction is open"))?;
        Ok(self.operation(open.context.clone(), request, access, prepared, arrived))
    }

    /// Runs a statement inside the open transaction.
    pub(super) async fn run_in_transaction(&mut self, operation: Operation) -> Answer {
        let Some(mut open) = self.transaction.take() else {
            return Err(Refusal::new(ErrorKind::Unsupported, "no transaction is open").into());
        };
        let result = if open.connection.is_some() {
            self.run_next_statement(&mut open, &operation).await
        } else {
            self.run_first_statement(&mut open, &operation).await
        };
        if result.is_err() {
            open.fail();
        }
        self.transaction = Some(open);
        attempt::success(result?)
    }

    /// Begins the transaction on an instance and runs the first statement. Both may
    /// be retried, because nothing is committed yet.
    async fn run_first_statement(
        &mut self,
        open: &mut OpenTransaction,
        operation: &Operation,
    ) -> Result<Reply, Failure> {
        self.engine.admit(&open.context.user).await?;
        let staleness = open.context.database.settings.staleness_ms;
        let is_on_leader = open.is_on_leader();
        let engine = self.engine.clone();
        match is_on_leader {
            true => operation.record_leader_demand(&engine),
            false => engine.directory.record_use(operation.group(), Some(staleness)),
        }
        let mut overloads = OverloadCounter::default();
        loop {
            let error = match self.try_first_statement(open, operation).await {
                Ok(reply) => return Ok(reply),
                Err(FirstStatementError::Refused(refusal)) => return Err(refusal.into()),
                Err(FirstStatementError::Attempt(error)) => error,
            };
            open.connection = None;
            let has_run = matches!(&error, AttemptError::BackEnd(error) if !error.kind.has_not_run());
            let is_futile = engine.is_permanently_ineligible(&error, operation.group(), &operation.regions);
            let is_futile = is_futile || overloads.reaches_limit(&error);
            if has_run || clock::now() >= operation.deadline || is_futile {
                return Err(transaction_failure(error));
            }
            wait_before_retry(&error).await;
        }
    }

    async fn try_first_statement(
        &mut self,
        open: &mut OpenTransaction,
        operation: &Operation,
    ) -> Result<Reply, FirstStatementError> {
        let engine = self.engine.clone();
        let state = self.state.clone();
        let is_on_leader = open.is_on_leader();
        let mut connection = if is_on_leader {
            let record = await_usable_leader(&engine, operation).await?;
            attempt::begin(
                &engine,
                &record,
                operation,
                &state,
                false,
                MinimumReadPosition::Any,
            )
            .await?
        } else {
            let floor = self.floor_for(operation).await?;
            begin_read_only(&engine, &state, operation, floor).await?
        };
        let reply = attempt::run(
            &engine,
            &mut connection,
            operation,
            &state,
            MinimumReadPosition::Any,
            is_on_leader,
        )
        .await?;
        open.has_written |= operation.access == Access::Write;
        open.connection = Some(connection);
        Ok(reply)
    }

    async fn run_next_statement(
        &mut self,
        open: &mut OpenTransaction,
        operation: &Operation,
    ) -> Result<Reply, Failure> {
        let engine = self.engine.clone();
        let state = self.state.clone();
        let is_on_leader = open.is_on_leader();
        open.has_written |= operation.access == Access::Write;
        let Some(connection) = &mut open.connection else {
            return Err(Refusal::new(ErrorKind::TransactionLost, "its connection is gone").into());
        };
        retry_while_busy(&engine, connection, operation, &state, is_on_leader)
            .await
            .map_err(|error| match error.ineligible() {
                // The statement has not run, and earlier statements are rolled back.
                Some(_) => transaction_lost(&error),
                None => transaction_failure(error),
            })
    }

    /// Commits the open transaction.
    pub(super) async fn commit(&mut self, request: Request, arrived: millwind_core::Instant) -> Answer {
        let Some(mut open) = self.transaction.take() else {
            return Err(Refusal::new(ErrorKind::Unsupported, "no transaction is open").into());
        };
        let operation = self.operation(open.context.clone(), request, Access::Write, None, arrived);
        if open.connection.is_none() {
            return self.commit_empty(&open, &operation).await;
        }
        let result = self.send_commit(&mut open, &operation).await;
        let reply = match result {
            Ok(reply) => reply,
            // The commit was never sent, so the transaction is rolled back.
            Err(error) if error.ineligible().is_some() || is_warming_up(&error) => {
                return Err(transaction_lost(&error));
            }
            Err(AttemptError::Link(error)) if open.has_written => {
                return Err(Refusal::new(ErrorKind::OutcomeUnknown, error).into());
            }
            Err(error) => return Err(transaction_failure(error)),
        };
        if open.has_written {
            self.record_commit(operation.group(), reply.position);
        }
        attempt::success(reply)
    }

    async fn send_commit(
        &mut self,
        open: &mut OpenTransaction,
        operation: &Operation,
    ) -> Result<Reply, AttemptError> {
        let engine = self.engine.clone();
        let state = self.state.clone();
        let confirms_leader = open.has_written;
        let Some(connection) = &mut open.connection else {
            return Err(AttemptError::Link(ExchangeError::PoolRetired));
        };
        retry_while_busy(&engine, connection, operation, &state, confirms_leader).await
    }

    /// Commits a transaction without statements. The answer carries a signature that
    /// only an instance can provide.
    async fn commit_empty(&mut self, open: &OpenTransaction, operation: &Operation) -> Answer {
        self.engine.admit(&operation.user).await?;
        let engine = self.engine.clone();
        let state = self.state.clone();
        let mut connection = if open.is_on_leader() {
            let record = await_usable_leader(&engine, operation).await?;
            attempt::begin(
                &engine,
                &record,
                operation,
                &state,
                false,
                MinimumReadPosition::Any,
            )
            .await
        } else {
            let floor = self.floor_for(operation).await?;
            begin_read_only(&engine, &state, operation, floor).await
        }
        .map_err(transaction_failure)?;
        let reply = attempt::run(
            &engine,
            &mut connection,
            operation,
            &state,
            MinimumReadPosition::Any,
            false,
        )
        .await;
        attempt::success(reply.map_err(transaction_failure)?)
    }
}

/// Runs a statement of an open transaction and retries it while the instance is
/// busy, the transaction stays open and the deadline has not passed.
async fn retry_while_busy(
    engine: &Arc<Engine>,
    connection: &mut SessionConnection,
    operation: &Operation,
    state: &SessionState,
    confirms_leader: bool,
) -> Result<Reply, AttemptError> {
    loop {
        let error = match attempt::run(
            engine,
            connection,
            operation,
            state,
            MinimumReadPosition::Any,
            confirms_leader,
        )
        .await
        {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        let may_retry = is_busy(&error)
            && connection.transaction() == TransactionState::Open
            && clock::now() < operation.deadline;
        if !may_retry {
            return Err(error);
        }
        wait_before_retry(&error).await;
    }
}

/// Error of an attempt to run the first statement of a transaction.
enum FirstStatementError {
    Refused(Refusal),
    Attempt(AttemptError),
}

impl From<Refusal> for FirstStatementError {
    fn from(refusal: Refusal) -> Self {
        FirstStatementError::Refused(refusal)
    }
}

impl From<AttemptError> for FirstStatementError {
    fn from(error: AttemptError) -> Self {
        FirstStatementError::Attempt(error)
    }
}

fn is_busy(error: &AttemptError) -> bool {
    matches!(error, AttemptError::BackEnd(error) if error.kind == BackEndErrorKind::Busy)
}

/// Returns whether the instance rejected the statement because it is warming up.
fn is_warming_up(error: &AttemptError) -> bool {
    matches!(error, AttemptError::Link(ExchangeError::WarmingUp { .. }))
}

/// Returns the failure of a transaction that is rolled back because its instance is ineligible
/// or warming up.
fn transaction_lost(error: &AttemptError) -> Failure {
    Refusal::new(ErrorKind::TransactionLost, error.name()).into()
}

/// Converts an error that does not leave the outcome of a commit unknown. If the connection
/// was lost, the instance rolls the transaction back.
fn transaction_failure(error: AttemptError) -> Failure {
    if error.has_not_run() {
        return error.into_failure();
    }
    match error {
        AttemptError::Link(error) => Refusal::new(ErrorKind::TransactionLost, error).into(),
        AttemptError::BackEnd(error) => Failure::BackEnd(error),
    }
}
