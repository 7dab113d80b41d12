//! Runs one batch on one instance.

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
use super::pins::{PinTable, Pinned};
use super::pool::{PoolHandle, Slot};
use crate::clock;
use crate::pg::STATUS_IDLE;
use crate::pg::answer::Answer;
use crate::pg::backend::{BackendConnection, BackendError};
use crate::pg::status::{parse_status, put_status_request};

/// SQLSTATE of a write on an instance that only replays.
const READ_ONLY_TRANSACTION: &str = "25006";
/// SQLSTATE of a statement on an instance that is stopping or starting.
const CANNOT_CONNECT_NOW: &str = "57P03";
const SHUTDOWN: &str = "57P01";

/// A batch that was answered.
#[derive(Debug)]
pub struct Answered {
    /// Position after a write, or before a read.
    pub position: Option<Position>,
    /// Transaction status byte.
    pub transaction_status: u8,
    /// Pinned connection, zero for none.
    pub pin: u64,
    /// Encoded backend messages.
    pub messages: Vec<u8>,
}

/// A batch that was refused or failed.
#[derive(Debug)]
pub struct Failure {
    /// What the caller is told, unless the gateway finds a way around.
    pub kind: ErrorKind,
    /// How far the batch got.
    pub progress: RequestProgress,
    /// Detail for people.
    pub detail: String,
}

impl Failure {
    /// A refusal before anything was sent.
    pub fn not_sent(kind: ErrorKind, detail: impl ToString) -> Self {
        Failure {
            kind,
            progress: RequestProgress::NotSent,
            detail: detail.to_string(),
        }
    }

    /// A failure after the batch may have reached the back end.
    pub fn sent(detail: impl ToString) -> Self {
        Failure {
            kind: ErrorKind::OutcomeUnknown,
            progress: RequestProgress::Sent,
            detail: detail.to_string(),
        }
    }

    /// A failure whose transaction is proven undone.
    pub fn undone(kind: ErrorKind, detail: impl ToString) -> Self {
        Failure {
            kind,
            progress: RequestProgress::ConfirmedNotApplied,
            detail: detail.to_string(),
        }
    }
}

/// Everything one execution needs.
#[derive(Debug)]
pub struct Execution<'a> {
    /// Watches the group.
    pub monitor: &'a MonitorHandle,
    /// Pool of the instance.
    pub pool: &'a PoolHandle,
    /// Pinned connections of the node.
    pub pins: &'a PinTable,
    /// Link the request came by.
    pub link: u64,
    /// The instance.
    pub instance: InstanceName,
    /// When the answer must be there.
    pub deadline: Instant,
    /// The request.
    pub request: &'a ExecuteRequest,
}

impl Execution<'_> {
    /// Runs the batch.
    pub async fn run(&self) -> Result<Answered, Failure> {
        match self.request.intent {
            Intent::Read | Intent::Describe => self.run_read().await,
            Intent::Floor => self.run_floor().await,
            Intent::Write if self.request.request_key.is_empty() => self.run_write().await,
            Intent::Write => ledger::run_write(self).await,
            Intent::Begin => self.run_begin().await,
            Intent::Continue => self.run_continue().await,
            Intent::Commit => self.run_commit().await,
        }
    }

    fn token(&self) -> Option<Position> {
        let WirePosition { term, log_position } = self.request.token;
        (term > 0).then(|| Position::new(term, log_position))
    }

    /// Takes a slot of the instance.
    pub async fn acquire(&self) -> Result<Slot, Failure> {
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
            .map_err(|kind| Failure::not_sent(kind, "admission"))
    }

    /// Opens or reuses a connection; nothing has been sent on failure.
    pub async fn connection(&self, slot: &mut Slot) -> Result<BackendConnection, Failure> {
        slot.connection()
            .await
            .map_err(|error| Failure::not_sent(ErrorKind::BackEndUnreachable, error))
    }

    /// The term this instance leads, or a refusal.
    pub fn leading_term(&self) -> Result<Term, Failure> {
        match self.monitor.snapshot().primary(clock::now()) {
            Some((primary, term)) if *primary == self.instance => Ok(term),
            Some(_) => Err(Failure::not_sent(ErrorKind::NotPrimary, "another instance leads")),
            None => Err(Failure::not_sent(ErrorKind::NoPrimary, "no instance leads")),
        }
    }

    async fn run_read(&self) -> Result<Answered, Failure> {
        if self.request.intent == Intent::Read {
            self.await_coverage().await?;
        }
        let mut slot = self.acquire().await?;
        let mut connection = self.connection(&mut slot).await?;
        let work = self.read_with_position(&mut connection);
        let (status, answer) = tokio::time::timeout(clock::time_until(self.deadline), work)
            .await
            .map_err(|_| Failure::not_sent(ErrorKind::DeadlineTooShort, "no answer in the window"))?
            .map_err(read_failure)?;
        self.monitor.observe(&self.instance, status.clone()).await;
        if answer.transaction_status == STATUS_IDLE {
            slot.finish(connection);
        }
        self.check_read(&status)?;
        Ok(Answered {
            position: Some(status.position),
            transaction_status: answer.transaction_status,
            pin: 0,
            messages: answer.messages.to_vec(),
        })
    }

    /// Asks for the position and runs the batch behind it, in one go.
    ///
    /// Must hold because the read is released on that position: it was taken
    /// before the read on the same connection, so the read saw at least that.
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

    fn check_read(&self, status: &InstanceStatus) -> Result<(), Failure> {
        if self.request.intent != Intent::Read {
            return Ok(());
        }
        match self.token_coverage(status) {
            Coverage::Covered => Ok(()),
            Coverage::Behind => Err(Failure::not_sent(
                ErrorKind::ReplicaBehind,
                "position does not cover the session",
            )),
            Coverage::Discarded => Err(Failure::not_sent(
                ErrorKind::SessionDiscarded,
                "a later term discarded it",
            )),
        }
    }

    /// Waits until the instance covers the session and is fresh enough.
    async fn await_coverage(&self) -> Result<(), Failure> {
        let mut view = self.monitor.view.clone();
        let wait = Duration::from_millis(self.request.wait_ms.into()).min(clock::time_until(self.deadline));
        let give_up = tokio::time::Instant::now() + wait;
        let mut _awaited = None;
        loop {
            let obstacle = match self.obstacle(&view.borrow_and_update()) {
                None => return Ok(()),
                Some(kind) => kind,
            };
            if obstacle != ErrorKind::ReplicaBehind {
                return Err(Failure::not_sent(obstacle, "instance cannot serve the read"));
            }
            if _awaited.is_none() {
                _awaited = self.monitor.await_instance(&self.instance);
            }
            let changed = tokio::time::timeout_at(give_up, view.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return Err(Failure::not_sent(obstacle, "instance did not catch up in time"));
            }
        }
    }

    /// What keeps the instance from serving this read, by the view.
    fn obstacle(&self, view: &millwind_core::group_view::GroupView) -> Option<ErrorKind> {
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
        if let Some(token) = self.token() {
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

    /// The position a session without a token must see: the primary's own, and
    /// confirmed as a commit is, lest an old primary name one that lacks what
    /// its successor has acknowledged.
    async fn run_floor(&self) -> Result<Answered, Failure> {
        self.leading_term()?;
        let _expected = self.monitor.expect_commit();
        let answered = self.run_read().await?;
        let position = answered.position.unwrap_or_default();
        let verdict = self
            .monitor
            .confirm(position, clock::time_until(self.deadline))
            .await;
        match verdict {
            Some(Verdict::Confirmed) => Ok(answered),
            _ => Err(Failure::not_sent(
                ErrorKind::NoPrimary,
                "the primary's position was not confirmed",
            )),
        }
    }

    async fn run_write(&self) -> Result<Answered, Failure> {
        let term = self.leading_term()?;
        let mut slot = self.acquire().await?;
        let mut connection = self.connection(&mut slot).await?;
        let mut bytes = BytesMut::from(&self.request.batch[..]);
        put_status_request(&mut bytes).map_err(|error| Failure::not_sent(ErrorKind::Unsupported, error))?;
        let _expected = self.monitor.expect_commit();
        let exchange = async {
            connection.send(&bytes).await?;
            let answer = connection.next_answer().await?;
            let status = read_status(&mut connection).await?;
            Ok((answer, status))
        };
        let (answer, status) = self.guarded(term, exchange).await?;
        if answer.transaction_status == STATUS_IDLE {
            slot.finish(connection);
        }
        self.conclude_write(answer, status).await
    }

    /// Runs an exchange until it ends, the deadline passes, or a higher term
    /// shows that its primary is an old one.
    pub async fn guarded<T>(
        &self,
        term: Term,
        exchange: impl Future<Output = Result<T, BackendError>>,
    ) -> Result<T, Failure> {
        tokio::select! {
            result = exchange => result.map_err(Failure::sent),
            () = self.superseded(term) => Err(Failure::sent("a higher term was shown")),
            () = tokio::time::sleep(clock::time_until(self.deadline)) => Err(Failure::sent("no answer in the window")),
        }
    }

    async fn superseded(&self, term: Term) {
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

    /// Decides what may be said of a write that the back end has answered.
    async fn conclude_write(&self, answer: Answer, status: InstanceStatus) -> Result<Answered, Failure> {
        if let Some(error) = &answer.error {
            if is_refusal(&error.sqlstate) {
                return Err(Failure::undone(ErrorKind::NotPrimary, &error.message));
            }
            // The statement failed by itself; there is nothing to confirm.
            return Ok(answered(answer, None, 0));
        }
        self.confirm(&status).await?;
        Ok(answered(answer, Some(status.position), 0))
    }

    /// Confirms a finished commit before anything is said of it.
    ///
    /// Must hold because no write is acknowledged by an old primary.
    pub async fn confirm(&self, status: &InstanceStatus) -> Result<(), Failure> {
        self.monitor.observe(&self.instance, status.clone()).await;
        if status.role != Role::Primary {
            return Err(Failure::sent("the instance stopped leading"));
        }
        let verdict = self
            .monitor
            .confirm(status.position, clock::time_until(self.deadline))
            .await;
        match verdict {
            Some(Verdict::Confirmed) => Ok(()),
            Some(Verdict::Superseded) => Err(Failure::sent("a higher term was shown after the commit")),
            None => Err(Failure::sent("no majority answered in the window")),
        }
    }

    async fn run_begin(&self) -> Result<Answered, Failure> {
        let term = self.leading_term()?;
        let limit = self
            .pool
            .limits
            .connections
            .saturating_sub(self.pool.limits.slots)
            .max(1);
        let mut slot = self.acquire().await?;
        let Some(pin) = self.pins.reserve(&self.instance, self.link, limit as usize) else {
            return Err(Failure::not_sent(
                ErrorKind::QueueFull,
                "too many open transactions",
            ));
        };
        let begun = self.begin_on(&mut slot, term).await;
        let (connection, answer) = match begun {
            Ok(begun) => begun,
            Err(failure) => {
                self.pins.free(pin);
                return Err(failure);
            }
        };
        if answer.transaction_status == STATUS_IDLE {
            self.pins.free(pin);
            slot.finish(connection);
            return Ok(answered(answer, None, 0));
        }
        // The slot goes back: an open transaction must not keep others waiting.
        drop(slot);
        self.pins.put(pin, self.pinned(connection));
        Ok(answered(answer, None, pin))
    }

    /// Begins a transaction behind a position question, in one go.
    ///
    /// Must hold because a transaction also reads: it begins only where the
    /// session's own writes are, not on an old primary that lacks them.
    async fn begin_on(&self, slot: &mut Slot, term: Term) -> Result<(BackendConnection, Answer), Failure> {
        let mut connection = self.connection(slot).await?;
        // Nothing can be committed before a commit is sent.
        let (status, answer) = self
            .guarded(term, self.read_with_position(&mut connection))
            .await
            .map_err(|failure| Failure::undone(ErrorKind::TransactionLost, failure.detail))?;
        if let Some(error) = answer.error.as_ref().filter(|error| is_refusal(&error.sqlstate)) {
            return Err(Failure::undone(ErrorKind::NotPrimary, &error.message));
        }
        match self.token_coverage(&status) {
            Coverage::Covered => Ok((connection, answer)),
            Coverage::Behind => Err(Failure::undone(
                ErrorKind::NotPrimary,
                "it lacks the session's writes",
            )),
            Coverage::Discarded => Err(Failure::undone(
                ErrorKind::SessionDiscarded,
                "a later term discarded it",
            )),
        }
    }

    /// Whether an instance at `status` holds what the session must see.
    fn token_coverage(&self, status: &InstanceStatus) -> Coverage {
        self.token().map_or(Coverage::Covered, |token| {
            coverage(status.position, &status.history, token)
        })
    }

    fn pinned(&self, connection: BackendConnection) -> Pinned {
        Pinned {
            connection,
            instance: self.instance.clone(),
            link: self.link,
        }
    }

    fn take_pin(&self) -> Result<BackendConnection, Failure> {
        self.pins
            .take(self.request.pin, self.link)
            .map(|pinned| pinned.connection)
            .ok_or_else(|| Failure::undone(ErrorKind::TransactionLost, "its connection is gone"))
    }

    async fn run_continue(&self) -> Result<Answered, Failure> {
        let pin = self.request.pin;
        let mut connection = self.take_pin()?;
        let term = self.monitor.snapshot().highest_term();
        let exchange = async {
            connection.send(&self.request.batch).await?;
            connection.next_answer().await
        };
        let answer = match self.guarded(term, exchange).await {
            Ok(answer) => answer,
            Err(failure) => {
                self.pins.free(pin);
                // No commit was sent: closing the connection rolls back.
                return Err(Failure::undone(ErrorKind::TransactionLost, failure.detail));
            }
        };
        if answer.transaction_status == STATUS_IDLE {
            self.pins.free(pin);
            self.pool.deposit(connection).await;
            return Ok(answered(answer, None, 0));
        }
        self.pins.put(pin, self.pinned(connection));
        Ok(answered(answer, None, pin))
    }

    async fn run_commit(&self) -> Result<Answered, Failure> {
        let pin = self.request.pin;
        let mut connection = self.take_pin()?;
        let term = self.monitor.snapshot().highest_term();
        let _expected = self.monitor.expect_commit();
        let result = ledger::commit(self, &mut connection, term).await;
        self.pins.free(pin);
        let (answer, status) = result?;
        if answer.transaction_status == STATUS_IDLE {
            self.pool.deposit(connection).await;
        }
        if !is_commit(&answer) {
            return Ok(answered(answer, None, 0));
        }
        self.confirm(&status).await?;
        Ok(answered(answer, Some(status.position), 0))
    }
}

/// Whether the answer says that a transaction was committed.
fn is_commit(answer: &Answer) -> bool {
    const COMMIT_TAG: &[u8] = b"COMMIT\0";
    answer.error.is_none()
        && answer
            .messages
            .windows(COMMIT_TAG.len())
            .any(|window| window == COMMIT_TAG)
}

/// Whether an error means that the instance takes no writes at all.
pub fn is_refusal(sqlstate: &str) -> bool {
    [READ_ONLY_TRANSACTION, CANNOT_CONNECT_NOW, SHUTDOWN].contains(&sqlstate)
}

/// Reads the answer to a status question.
pub async fn read_status(connection: &mut BackendConnection) -> Result<InstanceStatus, BackendError> {
    let answer = connection.next_answer().await?;
    parse_status(&answer).map_err(|error| BackendError::Protocol(error.to_string()))
}

/// An answer with its position and pin.
pub fn answered(answer: Answer, position: Option<Position>, pin: u64) -> Answered {
    Answered {
        position,
        transaction_status: answer.transaction_status,
        pin,
        messages: answer.messages.to_vec(),
    }
}

/// A failed read changed nothing, so it counts as not sent.
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
