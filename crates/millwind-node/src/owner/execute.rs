//! Runs one batch of statements on one back-end instance.

use std::time::Duration;

use bytes::BytesMut;
use millwind_core::Instant;
use millwind_core::admission::Ticket;
use millwind_core::confirmation::Verdict;
use millwind_core::error_kind::ErrorKind;
use millwind_core::group_view::{InstanceStatus, Role};
use millwind_core::ids::{InstanceName, TenantName};
use millwind_core::outcome::RequestProgress;
use millwind_core::position::{Coverage, Position, Term, coverage};
use millwind_wire::{ExecuteRequest, Intent, WirePosition};

use super::ledger;
use super::monitor::MonitorHandle;
use super::pins::{PinTable, PinnedConnection};
use super::pool::{PoolHandle, Slot};
use crate::clock;
use crate::pg::STATUS_IDLE;
use crate::pg::answer::Answer;
use crate::pg::backend::{BackendConnection, BackendError};
use crate::pg::status::{parse_status, put_status_request};

/// SQLSTATE of a write on a read-only instance, such as a replica.
const READ_ONLY_TRANSACTION: &str = "25006";
/// SQLSTATE returned while the instance starts or stops.
const CANNOT_CONNECT_NOW: &str = "57P03";
/// SQLSTATE of a statement that an instance shutdown terminated.
const ADMIN_SHUTDOWN: &str = "57P01";

/// The back end's reply to a batch.
#[derive(Debug)]
pub struct BatchReply {
    /// Log position after a write or before a read; none if it was not queried.
    pub position: Option<Position>,
    /// Transaction status byte of the last `ReadyForQuery` message.
    pub transaction_status: u8,
    /// Id of the connection pinned to the open transaction, or zero.
    pub pin: u64,
    /// Encoded backend messages.
    pub messages: Vec<u8>,
}

/// The reason why a batch got no reply.
#[derive(Debug)]
pub struct Failure {
    /// Error kind reported to the client if the gateway does not retry.
    pub kind: ErrorKind,
    /// Whether the batch may have taken effect.
    pub progress: RequestProgress,
    /// Human-readable description.
    pub detail: String,
}

impl Failure {
    /// A failure before anything was sent to the back end.
    pub fn not_sent(kind: ErrorKind, detail: impl ToString) -> Self {
        Failure {
            kind,
            progress: RequestProgress::NotSent,
            detail: detail.to_string(),
        }
    }

    /// A failure after which the batch may or may not have taken effect.
    pub fn outcome_unknown(detail: impl ToString) -> Self {
        Failure {
            kind: ErrorKind::OutcomeUnknown,
            progress: RequestProgress::Sent,
            detail: detail.to_string(),
        }
    }

    /// A failure whose transaction is known to have had no effect.
    pub fn rolled_back(kind: ErrorKind, detail: impl ToString) -> Self {
        Failure {
            kind,
            progress: RequestProgress::ConfirmedNotApplied,
            detail: detail.to_string(),
        }
    }
}

/// The context in which one request runs.
#[derive(Debug)]
pub struct Execution<'a> {
    /// Monitor of the instance's group.
    pub monitor: &'a MonitorHandle,
    /// Connection pool of the instance.
    pub pool: &'a PoolHandle,
    /// Connections pinned to open transactions on this node.
    pub pins: &'a PinTable,
    /// Id of the peer link that the request arrived on.
    pub link: u64,
    /// Instance that runs the batch.
    pub instance: InstanceName,
    /// Time by which the request must be answered.
    pub deadline: Instant,
    /// Request to run.
    pub request: &'a ExecuteRequest,
}

impl Execution<'_> {
    /// Runs the batch as its intent requires.
    pub async fn run(&self) -> Result<BatchReply, Failure> {
        match self.request.intent {
            Intent::Read | Intent::Describe => self.run_read().await,
            Intent::Floor => self.run_position_query().await,
            Intent::Write if self.request.request_key.is_empty() => self.run_write().await,
            Intent::Write => ledger::run_write(self).await,
            Intent::Begin => self.run_begin().await,
            Intent::Continue => self.run_continue().await,
            Intent::Commit => self.run_commit().await,
        }
    }

    /// The position that the session must see, if it has one.
    fn session_token(&self) -> Option<Position> {
        let WirePosition { term, log_position } = self.request.token;
        (term > 0).then(|| Position::new(term, log_position))
    }

    /// Waits for an execution slot of the instance; fails when the admission queue
    /// rejects the request or the deadline passes.
    pub async fn acquire_slot(&self) -> Result<Slot, Failure> {
        let ticket = Ticket {
            id: self.request.request_id,
            tenant: TenantName::from(self.request.tenant.as_str()),
            weight: self.request.weight,
            priority: self.request.value,
            deadline: self.deadline,
        };
        self.pool
            .acquire(ticket)
            .await
            .map_err(|kind| Failure::not_sent(kind, "not admitted to the instance"))
    }

    /// Reuses the slot's idle connection or opens a new one.
    pub async fn connection(&self, slot: &mut Slot) -> Result<BackendConnection, Failure> {
        slot.connection()
            .await
            .map_err(|error| Failure::not_sent(ErrorKind::BackEndUnreachable, error))
    }

    /// The term in which this instance is primary; fails if it is not the primary.
    pub fn leading_term(&self) -> Result<Term, Failure> {
        match self.monitor.snapshot().primary(clock::now()) {
            Some((primary, term)) if *primary == self.instance => Ok(term),
            Some(_) => Err(Failure::not_sent(
                ErrorKind::NotPrimary,
                "another instance is primary",
            )),
            None => Err(Failure::not_sent(ErrorKind::NoPrimary, "no instance is primary")),
        }
    }

    async fn run_read(&self) -> Result<BatchReply, Failure> {
        if self.request.intent == Intent::Read {
            self.await_coverage().await?;
        }
        let mut slot = self.acquire_slot().await?;
        let mut connection = self.connection(&mut slot).await?;
        let work = self.read_with_position(&mut connection);
        let (status, answer) = tokio::time::timeout(clock::time_until(self.deadline), work)
            .await
            .map_err(|_| Failure::not_sent(ErrorKind::DeadlineTooShort, "no answer before the deadline"))?
            .map_err(read_failure)?;
        self.monitor.observe(&self.instance, status.clone()).await;
        if answer.transaction_status == STATUS_IDLE {
            slot.finish(connection);
        }
        self.check_session_position(&status)?;
        Ok(BatchReply {
            position: Some(status.position),
            transaction_status: answer.transaction_status,
            pin: 0,
            messages: answer.messages.to_vec(),
        })
    }

    /// Queries the instance's status and runs the batch, pipelined in that order.
    ///
    /// The status query runs first on the same connection, so the batch sees at
    /// least the position it returns. Session consistency relies on this order.
    async fn read_with_position(
        &self,
        connection: &mut BackendConnection,
    ) -> Result<(InstanceStatus, Answer), BackendError> {
        let mut bytes = BytesMut::new();
        put_status_request(&mut bytes).map_err(encode_error)?;
        bytes.extend_from_slice(&self.request.batch);
        connection.send(&bytes).await?;
        let status = read_status(connection).await?;
        let answer = if self.request.batch.is_empty() {
            Answer {
                transaction_status: STATUS_IDLE,
                ..Answer::default()
            }
        } else {
            connection.next_answer().await?
        };
        Ok((status, answer))
    }

    /// Fails if a read ran at a position that does not cover the session's.
    fn check_session_position(&self, status: &InstanceStatus) -> Result<(), Failure> {
        if self.request.intent != Intent::Read {
            return Ok(());
        }
        match self.token_coverage(status) {
            Coverage::Covered => Ok(()),
            Coverage::Behind => Err(Failure::not_sent(
                ErrorKind::ReplicaBehind,
                "the instance does not cover the session's position",
            )),
            Coverage::Discarded => Err(Failure::not_sent(
                ErrorKind::SessionDiscarded,
                "a later term discarded the session's position",
            )),
        }
    }

    /// Waits until the instance covers the session's position and meets the
    /// staleness bound; fails if it cannot or does not in time.
    async fn await_coverage(&self) -> Result<(), Failure> {
        let mut view = self.monitor.view.clone();
        let wait = Duration::from_millis(self.request.wait_ms.into()).min(clock::time_until(self.deadline));
        let wait_until = tokio::time::Instant::now() + wait;
        let mut _catch_up_wait = None;
        loop {
            let rejection = match self.read_rejection(&view.borrow_and_update()) {
                None => return Ok(()),
                Some(kind) => kind,
            };
            if rejection != ErrorKind::ReplicaBehind {
                return Err(Failure::not_sent(rejection, "the instance cannot serve the read"));
            }
            if _catch_up_wait.is_none() {
                _catch_up_wait = self.monitor.begin_catch_up_wait(&self.instance);
            }
            let changed = tokio::time::timeout_at(wait_until, view.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return Err(Failure::not_sent(
                    rejection,
                    "the instance did not catch up in time",
                ));
            }
        }
    }

    /// Returns why the instance cannot serve this read, according to the view.
    fn read_rejection(&self, view: &millwind_core::group_view::GroupView) -> Option<ErrorKind> {
        let now = clock::now();
        if view.is_leaving(&self.instance) {
            return Some(ErrorKind::BackEndUnreachable);
        }
        let Some((_, status)) = view.status(&self.instance) else {
            return Some(ErrorKind::BackEndUnreachable);
        };
        if status.role == Role::Primary {
            let leads = view
                .primary(now)
                .is_some_and(|(primary, _)| *primary == self.instance);
            return (!leads).then_some(ErrorKind::NotPrimary);
        }
        if let Some(token) = self.session_token() {
            match coverage(status.position, &status.history, token) {
                Coverage::Covered => {}
                Coverage::Behind => return Some(ErrorKind::ReplicaBehind),
                Coverage::Discarded => return Some(ErrorKind::SessionDiscarded),
            }
        }
        let staleness = view.staleness_ms(now, status.position, &status.history);
        let fresh = staleness.is_some_and(|age| age <= self.request.staleness_ms);
        (!fresh).then_some(ErrorKind::ReplicaBehind)
    }

    /// Returns the primary's position, for a session that has no token yet.
    ///
    /// The position is confirmed by a majority as a commit is, because a deposed
    /// primary may lack writes that its successor has acknowledged.
    async fn run_position_query(&self) -> Result<BatchReply, Failure> {
        self.leading_term()?;
        let _announcement = self.monitor.announce_commit();
        let reply = self.run_read().await?;
        let position = reply.position.unwrap_or_default();
        let verdict = self
            .monitor
            .confirm(position, clock::time_until(self.deadline))
            .await;
        match verdict {
            Some(Verdict::Confirmed) => Ok(reply),
            _ => Err(Failure::not_sent(
                ErrorKind::NoPrimary,
                "the primary's position was not confirmed",
            )),
        }
    }

    /// Runs a write in a transaction of its own and confirms its commit.
    async fn run_write(&self) -> Result<BatchReply, Failure> {
        let term = self.leading_term()?;
        let mut slot = self.acquire_slot().await?;
        let mut connection = self.connection(&mut slot).await?;
        let mut bytes = BytesMut::from(&self.request.batch[..]);
        put_status_request(&mut bytes).map_err(|error| Failure::not_sent(ErrorKind::Unsupported, error))?;
        let _announcement = self.monitor.announce_commit();
        let exchange = async {
            connection.send(&bytes).await?;
            let answer = connection.next_answer().await?;
            let status = read_status(&mut connection).await?;
            Ok((answer, status))
        };
        let (answer, status) = self.run_in_term(term, exchange).await?;
        if answer.transaction_status == STATUS_IDLE {
            slot.finish(connection);
        }
        self.finish_write(answer, status).await
    }

    /// Runs an exchange with the primary of `term`. The outcome is unknown if the
    /// deadline passes or an instance reports a higher term first.
    pub async fn run_in_term<T>(
        &self,
        term: Term,
        exchange: impl Future<Output = Result<T, BackendError>>,
    ) -> Result<T, Failure> {
        tokio::select! {
            result = exchange => result.map_err(Failure::outcome_unknown),
            () = self.higher_term_observed(term) => Err(Failure::outcome_unknown("a higher term was observed")),
            () = tokio::time::sleep(clock::time_until(self.deadline)) => Err(Failure::outcome_unknown("no answer before the deadline")),
        }
    }

    /// Completes when an instance reports a term above `term`.
    async fn higher_term_observed(&self, term: Term) {
        let mut view = self.monitor.view.clone();
        loop {
            if view.borrow_and_update().highest_term() > term {
                return;
            }
            if view.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Turns the back end's answer to a write into a reply or a failure.
    async fn finish_write(&self, answer: Answer, status: InstanceStatus) -> Result<BatchReply, Failure> {
        if let Some(error) = &answer.error {
            if is_write_rejection(&error.sqlstate) {
                return Err(Failure::rolled_back(ErrorKind::NotPrimary, &error.message));
            }
            // The statement failed, so no commit needs confirmation.
            return Ok(batch_reply(answer, None, 0));
        }
        self.confirm(&status).await?;
        Ok(batch_reply(answer, Some(status.position), 0))
    }

    /// Waits until a majority confirms a finished commit.
    ///
    /// A commit must be confirmed before it is acknowledged: a deposed primary
    /// may have accepted it.
    pub async fn confirm(&self, status: &InstanceStatus) -> Result<(), Failure> {
        self.monitor.observe(&self.instance, status.clone()).await;
        if status.role != Role::Primary {
            return Err(Failure::outcome_unknown("the instance is no longer primary"));
        }
        let verdict = self
            .monitor
            .confirm(status.position, clock::time_until(self.deadline))
            .await;
        match verdict {
            Some(Verdict::Confirmed) => Ok(()),
            Some(Verdict::Superseded) => Err(Failure::outcome_unknown(
                "a higher term was observed after the commit",
            )),
            None => Err(Failure::outcome_unknown(
                "no majority confirmed the commit before the deadline",
            )),
        }
    }

    /// Begins a transaction and pins its connection to the link.
    async fn run_begin(&self) -> Result<BatchReply, Failure> {
        let term = self.leading_term()?;
        let limit = self
            .pool
            .limits
            .connections
            .saturating_sub(self.pool.limits.slots)
            .max(1);
        let mut slot = self.acquire_slot().await?;
        let Some(pin) = self.pins.reserve(&self.instance, self.link, limit as usize) else {
            return Err(Failure::not_sent(
                ErrorKind::QueueFull,
                "too many open transactions",
            ));
        };
        let begin_result = self.begin_transaction(&mut slot, term).await;
        let (connection, answer) = match begin_result {
            Ok(opened) => opened,
            Err(failure) => {
                self.pins.release(pin);
                return Err(failure);
            }
        };
        if answer.transaction_status == STATUS_IDLE {
            self.pins.release(pin);
            slot.finish(connection);
            return Ok(batch_reply(answer, None, 0));
        }
        // An idle transaction must not block the admission queue.
        drop(slot);
        self.pins.put_back(pin, self.pinned(connection));
        Ok(batch_reply(answer, None, pin))
    }

    /// Queries the instance's status and begins a transaction, pipelined.
    ///
    /// Fails if the instance does not cover the session's position: reads in the
    /// transaction must see the session's own writes.
    async fn begin_transaction(
        &self,
        slot: &mut Slot,
        term: Term,
    ) -> Result<(BackendConnection, Answer), Failure> {
        let mut connection = self.connection(slot).await?;
        // No COMMIT was sent, so the transaction cannot have committed.
        let (status, answer) = self
            .run_in_term(term, self.read_with_position(&mut connection))
            .await
            .map_err(|failure| Failure::rolled_back(ErrorKind::TransactionLost, failure.detail))?;
        if let Some(error) = answer
            .error
            .as_ref()
            .filter(|error| is_write_rejection(&error.sqlstate))
        {
            return Err(Failure::rolled_back(ErrorKind::NotPrimary, &error.message));
        }
        match self.token_coverage(&status) {
            Coverage::Covered => Ok((connection, answer)),
            Coverage::Behind => Err(Failure::rolled_back(
                ErrorKind::NotPrimary,
                "the instance lacks the session's writes",
            )),
            Coverage::Discarded => Err(Failure::rolled_back(
                ErrorKind::SessionDiscarded,
                "a later term discarded the session's position",
            )),
        }
    }

    /// Whether an instance at `status` covers the session's position.
    fn token_coverage(&self, status: &InstanceStatus) -> Coverage {
        self.session_token().map_or(Coverage::Covered, |token| {
            coverage(status.position, &status.history, token)
        })
    }

    fn pinned(&self, connection: BackendConnection) -> PinnedConnection {
        PinnedConnection {
            connection,
            instance: self.instance.clone(),
            link: self.link,
        }
    }

    fn take_pinned_connection(&self) -> Result<BackendConnection, Failure> {
        self.pins
            .take(self.request.pin, self.link)
            .map(|pinned| pinned.connection)
            .ok_or_else(|| {
                Failure::rolled_back(
                    ErrorKind::TransactionLost,
                    "the transaction's connection is closed",
                )
            })
    }

    /// Runs a batch in the open transaction of a pinned connection.
    async fn run_continue(&self) -> Result<BatchReply, Failure> {
        let pin = self.request.pin;
        let mut connection = self.take_pinned_connection()?;
        let term = self.monitor.snapshot().highest_term();
        let exchange = async {
            connection.send(&self.request.batch).await?;
            connection.next_answer().await
        };
        let answer = match self.run_in_term(term, exchange).await {
            Ok(answer) => answer,
            Err(failure) => {
                self.pins.release(pin);
                // No COMMIT was sent; closing the connection rolls back.
                return Err(Failure::rolled_back(ErrorKind::TransactionLost, failure.detail));
            }
        };
        if answer.transaction_status == STATUS_IDLE {
            self.pins.release(pin);
            self.pool.return_connection(connection).await;
            return Ok(batch_reply(answer, None, 0));
        }
        self.pins.put_back(pin, self.pinned(connection));
        Ok(batch_reply(answer, None, pin))
    }

    /// Commits the transaction of a pinned connection and confirms the commit.
    async fn run_commit(&self) -> Result<BatchReply, Failure> {
        let pin = self.request.pin;
        let mut connection = self.take_pinned_connection()?;
        let term = self.monitor.snapshot().highest_term();
        let _announcement = self.monitor.announce_commit();
        let result = ledger::commit(self, &mut connection, term).await;
        self.pins.release(pin);
        let (answer, status) = result?;
        if answer.transaction_status == STATUS_IDLE {
            self.pool.return_connection(connection).await;
        }
        if !is_commit(&answer) {
            return Ok(batch_reply(answer, None, 0));
        }
        self.confirm(&status).await?;
        Ok(batch_reply(answer, Some(status.position), 0))
    }
}

/// Whether the answer contains the command tag `COMMIT` and no error; a failed
/// transaction is answered with `ROLLBACK`.
fn is_commit(answer: &Answer) -> bool {
    const COMMIT_TAG: &[u8] = b"COMMIT\0";
    answer.error.is_none()
        && answer
            .messages
            .windows(COMMIT_TAG.len())
            .any(|window| window == COMMIT_TAG)
}

/// Whether an error means that the instance accepts no writes at all.
pub fn is_write_rejection(sqlstate: &str) -> bool {
    [READ_ONLY_TRANSACTION, CANNOT_CONNECT_NOW, ADMIN_SHUTDOWN].contains(&sqlstate)
}

/// Reads the answer to a status query.
pub async fn read_status(connection: &mut BackendConnection) -> Result<InstanceStatus, BackendError> {
    let answer = connection.next_answer().await?;
    parse_status(&answer).map_err(|error| BackendError::Protocol(error.to_string()))
}

/// Builds the reply from a back-end answer, its position and its pin.
pub fn batch_reply(answer: Answer, position: Option<Position>, pin: u64) -> BatchReply {
    BatchReply {
        position,
        transaction_status: answer.transaction_status,
        pin,
        messages: answer.messages.to_vec(),
    }
}

/// Converts the error of a read. A read has no effects, so the request may be
/// repeated as if it had not been sent.
fn read_failure(error: BackendError) -> Failure {
    let kind = match error {
        BackendError::AnswerTooLong => ErrorKind::AnswerTooLarge,
        _ => ErrorKind::BackEndUnreachable,
    };
    Failure::not_sent(kind, error)
}

fn encode_error(error: pgwire::error::PgWireError) -> BackendError {
    BackendError::Protocol(error.to_string())
}
