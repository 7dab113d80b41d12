//! Transactions: begun lazily on the instance that its first statement needs,
//! then held on that one connection.

use std::sync::Arc;

use log::{debug, info};
use millwind_core::error_kind::ErrorKind;
use millwind_core::session_state::{Access, PreparedStatement, SessionState};

use super::attempt::{self, Overloads, SessionConnection};
use super::caller::Terms;
use super::reads::begin_at_floor;
use super::writes::{pause_after, usable_leader};
use super::{Operation, Session};
use crate::answer::{Answer, Failure, Refusal, Success};
use crate::backend::{ConnectionUser, LinkError};
use crate::catalog::{Consistency, Database, InstanceRecord};
use crate::clock;
use crate::execution::AttemptError;
use crate::floor::MinimumReadPosition;
use crate::node::Engine;
use crate::statement::{BackEndErrorKind, Reply, Request, Statement, TransactionState};

/// An open transaction of a session.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    /// Terms in force when it began; a change binds the next transaction.
    terms: Terms,
    read_only: bool,
    /// The connection it runs on; none before its first statement.
    connection: Option<SessionConnection>,
    has_written: bool,
    is_failed: bool,
}

impl OpenTransaction {
    pub(super) fn is_failed(&self) -> bool {
        self.is_failed
    }

    /// The instance that it is open on.
    pub(super) fn record(&self) -> Option<&InstanceRecord> {
        self.connection.as_ref().map(SessionConnection::record)
    }

    /// Whether it runs on a leader, so that each answer proves the lead.
    fn is_on_leader(&self) -> bool {
        !self.read_only || self.terms.database.consistency == Consistency::Primary
    }

    /// Gives its connection back, which rolls it back, and keeps it as failed.
    fn fail(&mut self) {
        self.connection = None;
        self.is_failed = true;
    }
}

impl Session {
    /// Begins a transaction; no instance hears of it before its first
    /// statement.
    pub(super) fn begin(&mut self, read_only: bool) -> Answer {
        if self.transaction.is_some() {
            return Err(Refusal::new(ErrorKind::Unsupported, "a transaction is open").into());
        }
        self.transaction = Some(OpenTransaction {
            terms: self.terms_in_force()?,
            read_only,
            connection: None,
            has_written: false,
            is_failed: false,
        });
        Ok(Success::default())
    }

    /// The terms of the open transaction, if there is one that has not failed.
    pub(super) fn transaction_terms(&self) -> Option<(Arc<Database>, ConnectionUser)> {
        let open = self.transaction.as_ref().filter(|open| !open.is_failed)?;
        Some((open.terms.database.clone(), open.terms.user.clone()))
    }

    /// Rolls the open transaction back.
    pub(super) fn rollback(&mut self) -> Answer {
        // Giving the connection back rolls back there.
        self.transaction = None;
        Ok(Success::default())
    }

    /// Ends an open transaction from this side; its caller is told with its
    /// next statement.
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

    /// Ends an open transaction on an instance to which nothing may be sent any more.
    pub(super) fn check_evacuation(&mut self) {
        let Some(record) = self.transaction.as_ref().and_then(OpenTransaction::record) else {
            return;
        };
        if !self.engine.is_closed_by_evacuation(record) {
            return;
        }
        if self.engine.request_log.admit() {
            info!(
                "event=transaction_ended_by_evacuation session={} database={} instance={} zone={}",
                self.number, self.database, record.name, record.zone
            );
        }
        self.engine.metrics.evacuated_transactions.inc();
        self.abandon_transaction("its instance's zone is being evacuated");
    }

    /// Answers a statement inside a transaction that has failed.
    pub(super) fn in_failed_transaction(&mut self, statement: &Statement) -> Answer {
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
        Ok(self.operation(open.terms.clone(), request, access, prepared, arrived))
    }

    /// Runs a statement inside the open transaction.
    pub(super) async fn run_in_transaction(&mut self, operation: Operation) -> Answer {
        let Some(mut open) = self.transaction.take() else {
            return Err(Refusal::new(ErrorKind::Unsupported, "no transaction is open").into());
        };
        let result = if open.connection.is_some() {
            self.next_statement(&mut open, &operation).await
        } else {
            self.first_statement(&mut open, &operation).await
        };
        if result.is_err() {
            open.fail();
        }
        self.transaction = Some(open);
        attempt::success(result?)
    }

    /// Begins on an instance and runs the first statement there; until that
    /// has answered nothing is kept anywhere, so it may be tried again.
    async fn first_statement(
        &mut self,
        open: &mut OpenTransaction,
        operation: &Operation,
    ) -> Result<Reply, Failure> {
        self.engine.admit(&open.terms.user).await?;
        let staleness = open.terms.database.settings.staleness_ms;
        let is_on_leader = open.is_on_leader();
        let engine = self.engine.clone();
        match is_on_leader {
            true => operation.needs_leader(&engine),
            false => engine.directory.used(operation.group(), Some(staleness)),
        }
        let mut overloads = Overloads::default();
        loop {
            let error = match self.try_first(open, operation).await {
                Ok(reply) => return Ok(reply),
                Err(FirstError::Refused(refusal)) => return Err(refusal.into()),
                Err(FirstError::Attempt(error)) => error,
            };
            open.connection = None;
            let has_run = matches!(&error, AttemptError::BackEnd(error) if !error.kind.has_not_run());
            let is_permanently_ineligible =
                engine.is_permanently_ineligible(&error, operation.group(), &operation.regions);
            let is_permanently_ineligible = is_permanently_ineligible || overloads.is_enough(&error);
            if has_run || clock::now() >= operation.deadline || is_permanently_ineligible {
                return Err(failure_in_transaction(error));
            }
            pause_after(&error).await;
        }
    }

    async fn try_first(
        &mut self,
        open: &mut OpenTransaction,
        operation: &Operation,
    ) -> Result<Reply, FirstError> {
        let engine = self.engine.clone();
        let state = self.state.clone();
        let is_on_leader = open.is_on_leader();
        let mut connection = if is_on_leader {
            let record = usable_leader(&engine, operation).await?;
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
            begin_at_floor(&engine, &state, operation, floor).await?
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

    async fn next_statement(
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
        run_while_busy(&engine, connection, operation, &state, is_on_leader)
            .await
            .map_err(|error| match error.ineligible() {
                // The statement has not run, and what ran before is not kept.
                Some(_) => lost_with_instance(&error),
                None => failure_in_transaction(error),
            })
    }

    /// Commits the open transaction.
    pub(super) async fn commit(&mut self, request: Request, arrived: millwind_core::Instant) -> Answer {
        let Some(mut open) = self.transaction.take() else {
            return Err(Refusal::new(ErrorKind::Unsupported, "no transaction is open").into());
        };
        let operation = self.operation(open.terms.clone(), request, Access::Write, None, arrived);
        if open.connection.is_none() {
            return self.commit_empty(&open, &operation).await;
        }
        let result = self.commit_on(&mut open, &operation).await;
        let reply = match result {
            Ok(reply) => reply,
            // The commit was not sent, and never will be: nothing is kept.
            Err(error) if error.ineligible().is_some() || is_without_place(&error) => {
                return Err(lost_with_instance(&error));
            }
            Err(AttemptError::Link(error)) if open.has_written => {
                return Err(Refusal::new(ErrorKind::OutcomeUnknown, error).into());
            }
            Err(error) => return Err(failure_in_transaction(error)),
        };
        if open.has_written {
            self.note_written(operation.group(), reply.position);
        }
        attempt::success(reply)
    }

    async fn commit_on(
        &mut self,
        open: &mut OpenTransaction,
        operation: &Operation,
    ) -> Result<Reply, AttemptError> {
        let engine = self.engine.clone();
        let state = self.state.clone();
        let confirms_leader = open.has_written;
        let Some(connection) = &mut open.connection else {
            return Err(AttemptError::Link(LinkError::Retired));
        };
        run_while_busy(&engine, connection, operation, &state, confirms_leader).await
    }

    /// A commit without statements still needs an instance's signature.
    async fn commit_empty(&mut self, open: &OpenTransaction, operation: &Operation) -> Answer {
        self.engine.admit(&operation.user).await?;
        let engine = self.engine.clone();
        let state = self.state.clone();
        let mut connection = if open.is_on_leader() {
            let record = usable_leader(&engine, operation).await?;
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
            begin_at_floor(&engine, &state, operation, floor).await
        }
        .map_err(failure_in_transaction)?;
        let reply = attempt::run(
            &engine,
            &mut connection,
            operation,
            &state,
            MinimumReadPosition::Any,
            false,
        )
        .await;
        attempt::success(reply.map_err(failure_in_transaction)?)
    }
}

/// Runs a statement of an open transaction; asks again while the instance is
/// busy and the transaction stays open.
async fn run_while_busy(
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
        let may_ask_again = is_busy(&error)
            && connection.transaction() == TransactionState::Open
            && clock::now() < operation.deadline;
        if !may_ask_again {
            return Err(error);
        }
        pause_after(&error).await;
    }
}

/// Why a first statement was not answered.
enum FirstError {
    Refused(Refusal),
    Attempt(AttemptError),
}

impl From<Refusal> for FirstError {
    fn from(refusal: Refusal) -> Self {
        FirstError::Refused(refusal)
    }
}

impl From<AttemptError> for FirstError {
    fn from(error: AttemptError) -> Self {
        FirstError::Attempt(error)
    }
}

fn is_busy(error: &AttemptError) -> bool {
    matches!(error, AttemptError::BackEnd(error) if error.kind == BackEndErrorKind::Busy)
}

/// The instance is cold, and had no place for the statement.
fn is_without_place(error: &AttemptError) -> bool {
    matches!(error, AttemptError::Link(LinkError::WarmingUp { .. }))
}

/// A transaction whose instance may not be used any more.
fn lost_with_instance(error: &AttemptError) -> Failure {
    Refusal::new(ErrorKind::TransactionLost, error.name()).into()
}

/// Before its commit was sent, a transaction that lost its connection is
/// rolled back by the instance.
fn failure_in_transaction(error: AttemptError) -> Failure {
    if error.has_not_run() {
        return error.into_failure();
    }
    match error {
        AttemptError::Link(error) => Refusal::new(ErrorKind::TransactionLost, error).into(),
        AttemptError::BackEnd(error) => Failure::BackEnd(error),
    }
}
