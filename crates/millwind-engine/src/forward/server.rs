//! Server side of forwarding: runs the statements of other nodes on this node's
//! connections.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use futures::StreamExt;
use log::debug;
use millwind_core::Instant;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::eligibility::IneligibleReason;
use millwind_core::ids::{GroupName, InstanceName, TenantName};
use millwind_core::lending::Loan;
use millwind_core::position::Position;
use millwind_wire::forward::{
    ForwardReply, ForwardRequest, ForwardedBegin, ForwardedStart, ForwardedStatement, LoanReply, LoanRequest,
    LoanSubject, decode_forward,
};
use tokio::sync::mpsc;

use super::messages::{leader_report, read_execution, read_floor, read_session, read_user, write_answer};
use super::{Transport, write_all};
use crate::backend::ExchangeError;
use crate::backend::PooledConnection;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::eligibility::InstanceUse;
use crate::execution::{self, AttemptError, ConnectionRequest};
use crate::floor::MinimumReadPosition;
use crate::node::{Engine, Phase};
use crate::statement::{Command, Envelope, Reply, TransactionState};

/// Interval between checks for idle leases.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time in milliseconds that is added to the transaction idle timeout for leases. The
/// node that holds the session enforces the timeout itself.
const IDLE_MARGIN_MS: u64 = 1_000;
/// Maximum number of answers per write.
const MAX_BATCH: usize = 64;

/// A lease that another node holds. A running statement keeps `connection` locked.
#[derive(Debug)]
struct HeldLease {
    connection: tokio::sync::Mutex<Option<PooledConnection>>,
    last_used: Mutex<Instant>,
    _count: LeaseCount,
}

/// Leases of one link.
#[derive(Debug, Default)]
struct Leases(Mutex<HashMap<u64, Arc<HeldLease>>>);

impl Leases {
    fn map(&self) -> MutexGuard<'_, HashMap<u64, Arc<HeldLease>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, engine: &Arc<Engine>, lease: u64) -> Arc<HeldLease> {
        let held = Arc::new(HeldLease {
            connection: tokio::sync::Mutex::new(None),
            last_used: Mutex::new(clock::now()),
            _count: LeaseCount::new(engine),
        });
        self.map().insert(lease, held.clone());
        held
    }

    fn get(&self, lease: u64) -> Option<Arc<HeldLease>> {
        self.map().get(&lease).cloned()
    }

    /// Ends a lease. Its connection is released and rolled back, after the running
    /// statement if there is one.
    fn end(&self, lease: u64) {
        let ended = self.map().remove(&lease);
        drop(ended);
    }

    fn contains(&self, lease: u64, held: &Arc<HeldLease>) -> bool {
        self.get(lease).is_some_and(|present| Arc::ptr_eq(&present, held))
    }

    /// Ends leases that have been idle for more than `idle_limit_ms`.
    fn end_idle(&self, idle_limit_ms: u64) {
        let now = clock::now();
        let mut ended = Vec::new();
        self.map().retain(|_, held| {
            let last_used = *held.last_used.lock().unwrap_or_else(PoisonError::into_inner);
            let is_kept = now.millis_since(last_used) <= idle_limit_ms || held.connection.try_lock().is_err();
            if !is_kept {
                ended.push(held.clone());
            }
            is_kept
        });
        drop(ended);
    }
}

/// Counts a lease in [`Engine::forwarded_leases`] until dropped.
struct LeaseCount(Arc<Engine>);

impl std::fmt::Debug for LeaseCount {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("LeaseCount")
    }
}

impl LeaseCount {
    fn new(engine: &Arc<Engine>) -> Self {
        engine.forwarded_leases.fetch_add(1, Ordering::Relaxed);
        LeaseCount(engine.clone())
    }
}

impl Drop for LeaseCount {
    fn drop(&mut self) {
        self.0.forwarded_leases.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves a link whose first message is `first`.
pub async fn serve(transport: Transport, first: BytesMut, engine: Arc<Engine>) {
    let (answers, outgoing) = mpsc::unbounded_channel();
    let server = LinkServer {
        engine,
        leases: Arc::default(),
        answers,
    };
    server.run(transport, first, outgoing).await;
    // All leases end with the link.
    server.leases.map().clear();
}

struct LinkServer {
    engine: Arc<Engine>,
    leases: Arc<Leases>,
    answers: mpsc::UnboundedSender<ForwardReply>,
}

impl LinkServer {
    async fn run(
        &self,
        mut transport: Transport,
        first: BytesMut,
        mut outgoing: mpsc::UnboundedReceiver<ForwardReply>,
    ) {
        if !self.handle_message(&first) {
            return;
        }
        let mut phase = self.engine.phase.subscribe();
        let mut idle_check = tokio::time::interval(IDLE_CHECK_INTERVAL);
        let mut batch = Vec::new();
        if *phase.borrow_and_update() != Phase::Running {
            batch.push(ForwardReply::Leaving);
        }
        loop {
            if !batch.is_empty() && write_all(&mut transport, &mut batch).await.is_none() {
                return;
            }
            tokio::select! {
                _ = outgoing.recv_many(&mut batch, MAX_BATCH) => {}
                message = transport.next() => {
                    let Some(Ok(message)) = message else { return };
                    if !self.handle_message(&message) {
                        return;
                    }
                }
                Ok(()) = phase.changed() => batch.push(ForwardReply::Leaving),
                _ = idle_check.tick(), if !self.leases.map().is_empty() => {
                    let idle_ms = self.engine.directory.config().map_or(0, |config| config.transaction_idle_ms);
                    self.leases.end_idle(idle_ms + IDLE_MARGIN_MS);
                }
            }
        }
    }

    /// Dispatches a message. Returns false if it cannot be decoded.
    fn handle_message(&self, message: &[u8]) -> bool {
        match decode_forward(message) {
            Ok(ForwardRequest::Run(statement)) => self.spawn_statement(statement),
            Ok(ForwardRequest::End { lease }) => self.leases.end(lease),
            Ok(ForwardRequest::Ping) => drop(self.answers.send(ForwardReply::Pong)),
            Ok(ForwardRequest::Borrow(request)) => self.spawn_loan(request),
            Err(error) => {
                debug!("event=forward_refused error={:?}", error.to_string());
                return false;
            }
        }
        true
    }

    fn spawn_loan(&self, request: LoanRequest) {
        let engine = self.engine.clone();
        let answers = self.answers.clone();
        tokio::spawn(async move {
            let loan = grant_loan(&engine, &request).await;
            let answer = LoanReply {
                call: request.call,
                is_granted: u8::from(loan.is_some()),
                operations: loan.map_or(0, |loan| loan.operations),
                retry_after_ms: loan.map_or(0, |loan| loan.retry_after_ms),
            };
            // On a lost link nobody waits for the answer.
            let _ = answers.send(ForwardReply::Loan(answer));
        });
    }

    fn spawn_statement(&self, statement: ForwardedStatement) {
        let engine = self.engine.clone();
        let leases = self.leases.clone();
        let answers = self.answers.clone();
        engine.metrics.forwarded_in.inc();
        tokio::spawn(async move {
            let answer = run_statement(&engine, &leases, &statement).await;
            // On a lost link nobody waits for the answer.
            let _ = answers.send(answer);
        });
    }
}

/// Grants a loan. Returns `None` if this node does not lend the subject.
async fn grant_loan(engine: &Arc<Engine>, request: &LoanRequest) -> Option<Loan> {
    match &request.subject {
        LoanSubject::Tenant { name } => engine.lend(&TenantName::from(name.as_str()), request.wanted),
        LoanSubject::Instance { name } => {
            let instance = InstanceName::from(name.as_str());
            engine.lend_credits(&instance, request.wanted).await
        }
        LoanSubject::LenderVote { instance, lender } => {
            let instance = InstanceName::from(instance.as_str());
            let lender = lender.parse().ok()?;
            let is_granted = engine.vote_for_lender(&instance, lender);
            is_granted.then_some(Loan {
                operations: 0,
                retry_after_ms: 0,
            })
        }
    }
}

async fn run_statement(
    engine: &Arc<Engine>,
    leases: &Leases,
    statement: &ForwardedStatement,
) -> ForwardReply {
    let deadline = clock::now().plus_millis(u64::from(statement.limit_ms));
    let lease = statement.lease;
    let held = match statement.start.first() {
        Some(_) => Some(leases.begin(engine, lease)),
        None => leases.get(lease),
    };
    let Some(held) = held else {
        let retired = Err(AttemptError::Link(ExchangeError::PoolRetired));
        return ForwardReply::Answer(write_answer(
            statement.call,
            retired,
            TransactionState::Failed,
            None,
        ));
    };
    let mut connection = held.connection.lock().await;
    let mut minimum_position = None;
    if let Some(start) = statement.start.first() {
        match begin(engine, start, statement, deadline).await {
            Ok((opened, resolved)) => {
                *connection = Some(opened);
                minimum_position = resolved;
            }
            Err(error) => {
                drop(connection);
                leases.end(lease);
                let group = group_of(engine, start);
                return answer(engine, statement, Err(error), TransactionState::Idle, group);
            }
        }
    }
    let (result, state, group) = match connection.as_mut() {
        Some(connection) => {
            let result = run_on_connection(engine, connection, statement, minimum_position, deadline).await;
            let group = connection.pool().record().group.clone();
            (result, connection.transaction(), Some(group))
        }
        None => {
            let retired = Err(AttemptError::Link(ExchangeError::PoolRetired));
            (retired, TransactionState::Failed, None)
        }
    };
    *held.last_used.lock().unwrap_or_else(PoisonError::into_inner) = clock::now();
    let is_broken = matches!(&result, Err(AttemptError::Link(_)));
    let is_kept = state != TransactionState::Idle && !is_broken;
    if !is_kept || !leases.contains(lease, &held) {
        connection.take();
        leases.end(lease);
    }
    drop(connection);
    answer(engine, statement, result, state, group)
}

fn answer(
    engine: &Engine,
    statement: &ForwardedStatement,
    result: Result<Reply, AttemptError>,
    state: TransactionState,
    group: Option<GroupName>,
) -> ForwardReply {
    let leader = group.and_then(|group| leader_report(engine, &group));
    ForwardReply::Answer(write_answer(statement.call, result, state, leader))
}

fn group_of(engine: &Engine, start: &ForwardedStart) -> Option<GroupName> {
    let known = engine
        .directory
        .instance(&InstanceName::from(start.instance.as_str()))?;
    Some(known.record.group.clone())
}

/// Returns the instance of a lease, unless it is ineligible or failing. With
/// `avoids_outliers`, an instance with a high failure rate is rejected as well.
fn usable_instance(
    engine: &Engine,
    name: &str,
    wants_leader: bool,
    avoids_outliers: bool,
) -> Result<Arc<InstanceRecord>, AttemptError> {
    let known = engine.directory.instance(&InstanceName::from(name));
    let known = known.ok_or(AttemptError::Link(ExchangeError::PoolRetired))?;
    let usage = match wants_leader {
        true => InstanceUse::Leader,
        false => InstanceUse::Replica,
    };
    // The forwarding node has already checked the allowed regions.
    engine
        .check_eligibility(&known, usage, &AllowedRegions::Any)
        .map_err(|reason| match reason {
            IneligibleReason::Leaving => ExchangeError::PoolRetired,
            reason => ExchangeError::Ineligible(reason),
        })
        .map_err(AttemptError::Link)?;
    let health = &known.health;
    let is_backing_off = clock::now() < health.avoid_until || health.statements.in_flight() > 0;
    if health.failing_since.is_some() && is_backing_off {
        return Err(AttemptError::Link(ExchangeError::InstanceFailing));
    }
    // Hanging statements occupy connections, so an instance that hangs must not
    // exhaust the pool.
    let is_outlier = known.health.statements.is_outlier(clock::now());
    if !known.health.admits_statement() || (is_outlier && avoids_outliers) {
        return Err(AttemptError::Link(ExchangeError::InstanceFailing));
    }
    Ok(known.record)
}

/// Acquires a connection for a new lease and begins its transaction, if requested.
/// Without a transaction, also returns the log position that the statement requires.
async fn begin(
    engine: &Arc<Engine>,
    start: &ForwardedStart,
    statement: &ForwardedStatement,
    deadline: Instant,
) -> Result<(PooledConnection, Option<Position>), AttemptError> {
    if *engine.phase.borrow() != Phase::Running {
        return Err(AttemptError::Link(ExchangeError::OwnerUnreachable));
    }
    let wants_leader = start.begin == ForwardedBegin::ReadWrite || statement.confirms_leader == 1;
    let avoids_outliers = start.begin == ForwardedBegin::ReadOnly;
    let record = usable_instance(engine, &start.instance, wants_leader, avoids_outliers)?;
    if wants_leader && !engine.directory.may_lead(&record.group, &record.name, true) {
        return Err(AttemptError::Link(ExchangeError::InstanceFailing));
    }
    let floor = read_floor(&start.floor);
    let staleness = match floor {
        MinimumReadPosition::Staleness(bound) => Some(bound.staleness_ms),
        _ => None,
    };
    engine.directory.record_use(&record.group, staleness);
    let minimum_position = resolve(engine, &floor, &record, deadline).await?;
    let user = read_user(&start.user);
    let session = read_session(&statement.values);
    let execution = read_execution(statement);
    let request = ConnectionRequest {
        priority: start.priority,
        target_time: clock::now().plus_millis(u64::from(start.target_latency_left_ms)),
        user: &user,
        session: &session,
        prepared_statement: execution.as_ref().map(|(prepared, _)| prepared),
        deadline,
    };
    let mut connection = execution::connect(engine, &record, request).await?;
    let read_only = match start.begin {
        ForwardedBegin::None => return Ok((connection, minimum_position)),
        ForwardedBegin::ReadOnly => true,
        ForwardedBegin::ReadWrite => false,
    };
    execution::begin(engine, &mut connection, read_only, minimum_position, deadline).await?;
    Ok((connection, None))
}

async fn resolve(
    engine: &Arc<Engine>,
    floor: &MinimumReadPosition,
    record: &InstanceRecord,
    deadline: Instant,
) -> Result<Option<Position>, AttemptError> {
    floor
        .resolve(engine, &record.group, deadline)
        .await
        .map_err(|_| AttemptError::Link(ExchangeError::NoObservation))
}

async fn run_on_connection(
    engine: &Arc<Engine>,
    connection: &mut PooledConnection,
    statement: &ForwardedStatement,
    minimum_position: Option<Position>,
    deadline: Instant,
) -> Result<Reply, AttemptError> {
    let session = read_session(&statement.values);
    let execution = read_execution(statement);
    let command = match &execution {
        Some((prepared, arguments)) => Command::Execute {
            statement: prepared,
            arguments,
        },
        None => Command::Text(&statement.text),
    };
    let envelope = Envelope {
        id: Some(&statement.id),
        minimum_position,
        command,
    };
    let confirms_leader = statement.confirms_leader == 1;
    execution::run(engine, connection, &session, &envelope, confirms_leader, deadline).await
}
