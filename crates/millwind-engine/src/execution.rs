//! Runs statements on this node's own connections and updates the directory with what
//! each outcome shows about the health and role of the instance.

use std::cell::Cell;
use std::sync::Arc;

use millwind_core::Instant;
use millwind_core::concurrency_limit::ExecutionEnd;
use millwind_core::eligibility::IneligibleReason;
use millwind_core::ids::InstanceName;
use millwind_core::position::Position;
use millwind_core::session_state::{PreparedStatement, SessionState};

use crate::answer::{Failure, Refusal};
use crate::backend::PooledConnection;
use crate::backend::turns::ExecutionSlot;
use crate::backend::{ConnectionUser, ExchangeError, Pool, Purpose, Urgency};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::directory::Directory;
use crate::eligibility::InstanceUse;
use crate::node::Engine;
use crate::statement::{BackEndError, BackEndErrorKind, Command, Envelope, Reply, TransactionState};
use crate::warm_up_credits::{CreditWait, CreditWaitPolicy};

/// Why an attempt to run a statement did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// The connection or the exchange on it failed.
    Link(ExchangeError),
    /// The instance answered with an error.
    BackEnd(BackEndError),
}

impl AttemptError {
    /// Returns whether the statement is certain not to have run.
    pub fn has_not_run(&self) -> bool {
        match self {
            AttemptError::Link(error) => !error.may_have_run(),
            AttemptError::BackEnd(error) => error.kind.has_not_run(),
        }
    }

    /// Returns whether the instance could not take the statement before its deadline,
    /// because it is overloaded or still warming up.
    pub fn is_overload(&self) -> bool {
        matches!(
            self,
            AttemptError::Link(ExchangeError::QueueTimeout | ExchangeError::WarmingUp { .. })
        )
    }

    /// Returns why the statement may not use the instance or the route to it, if the
    /// attempt failed for that reason.
    pub const fn ineligible(&self) -> Option<IneligibleReason> {
        match self {
            AttemptError::Link(ExchangeError::Ineligible(reason)) => Some(*reason),
            _ => None,
        }
    }

    /// Converts the error into the failure reported to a caller.
    pub fn into_failure(self) -> Failure {
        match self {
            AttemptError::Link(error) => Refusal::from_link_error(error.kind(), error).into(),
            AttemptError::BackEnd(error) => Failure::BackEnd(error),
        }
    }

    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            AttemptError::Link(error) => error.name(),
            AttemptError::BackEnd(error) => error.kind.name(),
        }
    }
}

/// Tracks one request to an instance from its sending to its completion and reports the
/// outcome to the directory.
pub struct RequestTracker {
    directory: Arc<Directory>,
    instance: InstanceName,
    /// When the request was sent.
    pub asked: Instant,
    was_answered: Cell<bool>,
}

impl RequestTracker {
    /// Starts tracking a request that is sent now.
    pub fn new(directory: &Arc<Directory>, instance: &InstanceName) -> Self {
        directory.record_statement_sent(instance);
        RequestTracker {
            directory: directory.clone(),
            instance: instance.clone(),
            asked: clock::now(),
            was_answered: Cell::new(false),
        }
    }

    /// Records an answer and its response time.
    pub fn answered(&self) {
        let elapsed = clock::now().0 - self.asked.0;
        self.was_answered.set(true);
        self.directory.record_response(&self.instance, Some(elapsed));
    }

    /// Records an answer whose response time is not representative of statements.
    pub fn answered_without_sample(&self) {
        self.was_answered.set(true);
        self.directory.record_response(&self.instance, None);
    }

    /// Records an answer given by another node on behalf of the instance, which is no
    /// evidence about the instance itself.
    pub fn answered_by_peer(&self) {
        self.was_answered.set(true);
    }

    /// Records a failed exchange.
    pub fn failed(&self, error: &ExchangeError) {
        match error {
            // A slow statement is no evidence of a fault; a timed-out health check is.
            ExchangeError::ReplyTimeout | ExchangeError::Protocol => self.directory.avoid(&self.instance),
            _ if error.indicates_instance_failure() => {
                self.directory
                    .record_failure(&self.instance, self.asked, error.indicates_process_exit());
            }
            _ => {}
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        self.directory
            .record_statement_finished(&self.instance, self.was_answered.get());
    }
}

/// Requirements of a statement for its connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionRequest<'a> {
    /// Priority of the statement; zero is the most urgent.
    pub priority: u8,
    /// Time by which the caller should have the answer.
    pub target_time: Instant,
    /// User that the connection must belong to.
    pub user: &'a ConnectionUser,
    /// Session state that will be set on the connection.
    pub session: &'a SessionState,
    /// Prepared statement that the connection will execute.
    pub prepared_statement: Option<&'a PreparedStatement>,
    /// Time at which waiting for a connection ends.
    pub deadline: Instant,
}

/// Acquires one of this node's own connections to `record`. Fails when none is available
/// by the deadline or a new one cannot be opened.
pub async fn connect(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    request: ConnectionRequest<'_>,
) -> Result<PooledConnection, AttemptError> {
    let purpose = Purpose::Statement {
        priority: request.priority,
        target_time: request.target_time,
    };
    let asked = clock::now();
    let pool = engine.pool(record);
    let connected = match request.user {
        ConnectionUser::System => {
            pool.acquire(
                purpose,
                request.user,
                request.session,
                request.prepared_statement,
                request.deadline,
            )
            .await
        }
        ConnectionUser::Tenant(_) => connect_within_slot(&pool, purpose, request).await,
    };
    check_continuity(engine, &pool, asked);
    connected.map_err(|error| {
        record_process_end(engine, &pool, asked, &error);
        record_connect_error(engine, record, asked, &error);
        match error {
            ExchangeError::StartupRefused(error) => AttemptError::BackEnd(error),
            error => AttemptError::Link(error),
        }
    })
}

/// Acquires the statement's execution slot under the concurrency limit, then a connection.
/// Waiting for the slot without a connection keeps idle connections free for other statements
/// of their tenants, and opening a connection loads the instance like a statement does.
async fn connect_within_slot(
    pool: &Arc<Pool>,
    purpose: Purpose,
    request: ConnectionRequest<'_>,
) -> Result<PooledConnection, ExchangeError> {
    let ConnectionRequest {
        user,
        session,
        prepared_statement: statement,
        deadline,
        ..
    } = request;
    let urgency = Urgency::Priority(request.priority);
    let slot = pool
        .admission()
        .acquire_for(user, urgency, request.target_time, deadline)
        .await?;
    let immediate = pool.acquire_at_once(purpose, user, session, statement, deadline);
    if let Some(mut connection) = immediate.await? {
        connection.store_slot(slot);
        return Ok(connection);
    }
    // Idle transactions hold all connections: release the slot while waiting for one.
    drop(slot);
    pool.acquire(purpose, user, session, statement, deadline).await
}

/// Marks the instance's process as possibly restarted if the connections of `pool` do not show
/// that it is still the same.
pub fn check_continuity(engine: &Engine, pool: &Pool, asked: Instant) {
    if pool.take_possible_restart() {
        engine
            .directory
            .record_possible_restart(&pool.record().name, asked);
    }
}

/// Marks the instance's process as possibly restarted if the failure of a request sent at
/// `asked` suggests that the process is gone and no connection of `pool` is alive. A single
/// broken connection is no evidence while others are alive.
pub fn record_process_end(engine: &Engine, pool: &Pool, asked: Instant, error: &ExchangeError) {
    if error.indicates_process_exit() && !pool.has_live_idle_connection() {
        engine
            .directory
            .record_possible_restart(&pool.record().name, asked);
    }
}

fn record_connect_error(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    asked: Instant,
    error: &ExchangeError,
) {
    if error.indicates_instance_failure() || error.is_wrong_instance() {
        let directory = &engine.directory;
        directory.record_failure(&record.name, asked, error.indicates_process_exit());
    } else {
        engine.directory.avoid(&record.name);
    }
}

/// Begins a transaction. A success confirms the instance as leader unless the transaction
/// is read-only.
pub async fn begin(
    engine: &Arc<Engine>,
    connection: &mut PooledConnection,
    read_only: bool,
    since: Option<Position>,
    deadline: Instant,
) -> Result<(), AttemptError> {
    let pool = connection.pool().clone();
    let record = pool.record();
    let envelope = Envelope {
        id: None,
        minimum_position: since,
        command: Command::Begin { read_only },
    };
    engine.check_evacuation(record, read_only)?;
    engine.check_drain(record, InstanceUse::of(read_only))?;
    let tracker = RequestTracker::new(&engine.directory, &record.name);
    let reply = match connection.exchange(&envelope, deadline).await {
        Ok(reply) => reply,
        Err(error) => {
            tracker.failed(&error);
            record_process_end(engine, &pool, tracker.asked, &error);
            return Err(AttemptError::Link(error));
        }
    };
    tracker.answered_without_sample();
    if let Err(error) = reply.result {
        record_instance_error(engine, record, &error);
        return Err(AttemptError::BackEnd(error));
    }
    if !read_only && !confirm_leader_on_pool(engine, &pool, tracker.asked, reply.position) {
        return Err(AttemptError::Link(ExchangeError::NoPermit));
    }
    Ok(())
}

/// Runs a statement. If `confirms_leader` is set, a success confirms the instance as leader.
pub async fn run(
    engine: &Arc<Engine>,
    connection: &mut PooledConnection,
    session: &SessionState,
    envelope: &Envelope<'_>,
    confirms_leader: bool,
    deadline: Instant,
) -> Result<Reply, AttemptError> {
    let pool = connection.pool().clone();
    let record = pool.record();
    let wait_policy = match (connection.transaction(), confirms_leader) {
        (TransactionState::Idle, false) => CreditWaitPolicy::NoWait,
        (TransactionState::Idle, true) => CreditWaitPolicy::UntilTargetTime,
        _ if connection.urgency() == Urgency::InTransaction => CreditWaitPolicy::UntilDeadline,
        _ => CreditWaitPolicy::UntilTargetTime,
    };
    let slot = acquire_slot_and_credit(engine, connection, wait_policy, deadline).await?;
    // The evacuation of the zone may have started while the statement waited, or the instance
    // may have announced its end.
    let is_single = connection.transaction() == TransactionState::Idle;
    let is_single_read = !confirms_leader && is_single;
    engine.check_evacuation(record, is_single_read)?;
    if is_single {
        engine.check_drain(record, InstanceUse::of(is_single_read))?;
    }
    let tracker = RequestTracker::new(&engine.directory, &record.name);
    let outcome = connection.run(session, envelope, deadline).await;
    slot.end(classify_execution_end(&outcome));
    connection.record_run();
    let reply = match outcome {
        Ok(reply) => reply,
        Err(error) => {
            tracker.failed(&error);
            record_process_end(engine, &pool, tracker.asked, &error);
            if error != ExchangeError::ReplyTimeout {
                engine.directory.record_outcome(&record.name, false);
            }
            return Err(AttemptError::Link(error));
        }
    };
    tracker.answered();
    if let Some(succeeded) = health_outcome(&reply) {
        engine.directory.record_outcome(&record.name, succeeded);
    }
    if let Err(error) = &reply.result {
        record_instance_error(engine, record, error);
        return Err(AttemptError::BackEnd(error.clone()));
    }
    if confirms_leader && !confirm_leader_on_pool(engine, &pool, tracker.asked, reply.position) {
        return Err(AttemptError::Link(ExchangeError::NoPermit));
    }
    Ok(reply)
}

/// Acquires the statement's execution slot and, if the instance is warming up, a warm-up credit.
/// The credit is acquired last because it is valid only for immediate use. The slot is
/// released while the statement waits for a credit.
async fn acquire_slot_and_credit(
    engine: &Arc<Engine>,
    connection: &mut PooledConnection,
    wait_policy: CreditWaitPolicy,
    deadline: Instant,
) -> Result<ExecutionSlot, AttemptError> {
    let pool = connection.pool().clone();
    let mut wait = CreditWait::new(engine, pool.record(), wait_policy, connection.urgency());
    let until = match wait_policy {
        CreditWaitPolicy::UntilDeadline => deadline,
        _ => connection.target_time().min(deadline),
    };
    loop {
        let slot = match connection.take_slot() {
            Some(slot) => slot,
            None => acquire_slot(&pool, connection, deadline).await?,
        };
        let Err(refused) = engine.acquire_credit(pool.record(), &wait, deadline).await else {
            return Ok(slot);
        };
        drop(slot);
        if !wait.pause(until).await {
            engine.record_credit_refusal(pool.record(), refused);
            let retry_after_ms = refused.retry_after_ms;
            return Err(AttemptError::Link(ExchangeError::WarmingUp { retry_after_ms }));
        }
    }
}

async fn acquire_slot(
    pool: &Arc<Pool>,
    connection: &PooledConnection,
    deadline: Instant,
) -> Result<ExecutionSlot, AttemptError> {
    let (user, urgency, target_time) = (connection.user(), connection.urgency(), connection.target_time());
    let slot = pool
        .admission()
        .acquire_for(user, urgency, target_time, deadline)
        .await;
    slot.map_err(AttemptError::Link)
}

/// Classifies the outcome of an exchange for the concurrency limit.
fn classify_execution_end(outcome: &Result<Reply, ExchangeError>) -> ExecutionEnd {
    let Ok(reply) = outcome else {
        return ExecutionEnd::Unknown;
    };
    match &reply.result {
        Ok(_) => ExecutionEnd::Ran,
        Err(error) => match error.kind {
            BackEndErrorKind::Busy => ExecutionEnd::Rejected,
            BackEndErrorKind::Failed | BackEndErrorKind::TimedOut | BackEndErrorKind::Other => {
                ExecutionEnd::Ran
            }
            // The instance answered without using an execution slot.
            _ => ExecutionEnd::Unknown,
        },
    }
}

/// Returns whether an answer counts as a success or a failure of the instance's health, or
/// `None` if it counts as neither.
fn health_outcome(reply: &Reply) -> Option<bool> {
    match &reply.result {
        Ok(_) => Some(true),
        Err(error) => match error.kind {
            BackEndErrorKind::Failed | BackEndErrorKind::Other => Some(false),
            _ => None,
        },
    }
}

/// Records that an instance answered as leader on a connection of `pool`, and returns
/// whether the answer may be delivered. An answer from before a restart of the instance
/// does not confirm the current process as leader; it may still be delivered where
/// promotions fence the old leader.
fn confirm_leader_on_pool(engine: &Engine, pool: &Pool, asked: Instant, position: Option<Position>) -> bool {
    if pool.is_retired() {
        return engine.directory.is_fenced();
    }
    confirm_leader(engine, pool.record(), asked, position)
}

/// Records that `record` answered a request sent at `asked` as leader. Returns false if
/// the answer must not be delivered because another instance may have been promoted.
pub fn confirm_leader(
    engine: &Engine,
    record: &InstanceRecord,
    asked: Instant,
    position: Option<Position>,
) -> bool {
    let Some(position) = position else {
        return engine.directory.is_fenced();
    };
    let may_deliver = engine
        .directory
        .record_leader_proof(&record.group, &record.name, asked, position);
    if !may_deliver {
        engine.metrics.answers_without_permit.inc();
        engine.wake_monitor();
    }
    may_deliver
}

/// Updates the directory with what an error of an instance shows about its role and load.
pub fn record_instance_error(engine: &Engine, record: &InstanceRecord, error: &BackEndError) {
    match error.kind {
        BackEndErrorKind::ReadOnly => {
            engine.directory.record_leader_denial(&record.group, &record.name);
            engine.wake_monitor();
        }
        BackEndErrorKind::Behind => engine.directory.avoid_lagging(&record.name),
        BackEndErrorKind::Busy => engine.directory.avoid(&record.name),
        _ => {}
    }
}
