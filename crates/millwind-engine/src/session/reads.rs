//! Reads outside a transaction. A read runs on any instance whose log has
//! reached the required position, or on a leader that confirms its leadership in
//! the same transaction.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::eligibility::IneligibleReason;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::selection::{ReadCandidate, order_by_expected_time};
use millwind_core::session_commits::OwnCommits;
use millwind_core::session_state::SessionState;

use super::attempt::{self, OverloadCounter, SessionConnection};
use super::writes::{RETRY_DELAY, await_usable_leader, wait_before_retry};
use super::{Operation, Session};
use crate::answer::{Answer, Failure, Refusal};
use crate::backend::ExchangeError;
use crate::catalog::{Consistency, InstanceRecord};
use crate::clock;
use crate::eligibility::InstanceUse;
use crate::execution::AttemptError;
use crate::floor::{MinimumReadPosition, StalenessBound};
use crate::node::Engine;
use crate::statement::{BackEndErrorKind, Reply};

/// A read is hedged after this multiple of its instance's mean latency.
const HEDGE_LATENCY_FACTOR: u64 = 4;
/// Lower bound of the delay before a read is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of concurrent attempts of one read.
const MAX_HEDGED_ATTEMPTS: usize = 3;

/// A leader read through an owner times out after this multiple of the leader's
/// mean latency, and is then retried through another owner.
const OWNER_TIMEOUT_FACTOR: u64 = 8;
/// Lower bound of the timeout of a leader read through an owner.
const MIN_OWNER_TIMEOUT: Duration = Duration::from_millis(350);
/// Number of times that the delay between rounds of attempts doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

type AttemptFuture = BoxFuture<'static, Result<Reply, AttemptError>>;

impl Session {
    /// Runs a read outside a transaction.
    pub(super) async fn single_read(&mut self, operation: Operation) -> Answer {
        match operation.database.consistency {
            Consistency::Primary => self.leader_read(operation).await,
            Consistency::BoundedStaleness | Consistency::ReadYourWrites => self.floor_read(operation).await,
        }
    }

    /// Runs a read that must see every commit. The read runs in an implicit
    /// read-write transaction, which a former leader rejects.
    async fn leader_read(&mut self, operation: Operation) -> Answer {
        let engine = self.engine.clone();
        operation.record_leader_demand(&engine);
        let mut overloads = OverloadCounter::default();
        loop {
            let record = await_usable_leader(&engine, &operation).await?;
            let attempt = operation.with_time_limit(owner_timeout(&engine, &record));
            match self.leader_read_on(&record, &attempt).await {
                Ok(reply) => return attempt::success(reply),
                Err(error) => wait_before_read_retry(&engine, error, &operation, 0, &mut overloads).await?,
            }
        }
    }

    async fn leader_read_on(
        &self,
        record: &Arc<InstanceRecord>,
        operation: &Operation,
    ) -> Result<Reply, AttemptError> {
        let mut connection = attempt::begin(
            &self.engine,
            record,
            operation,
            &self.state,
            false,
            MinimumReadPosition::Any,
        )
        .await?;
        attempt::run(
            &self.engine,
            &mut connection,
            operation,
            &self.state,
            MinimumReadPosition::Any,
            true,
        )
        .await
    }

    /// Runs a read on any instance whose log has reached the position that the
    /// consistency level requires.
    async fn floor_read(&mut self, operation: Operation) -> Answer {
        let engine = self.engine.clone();
        let staleness = operation.database.settings.staleness_ms;
        engine.directory.record_use(operation.group(), Some(staleness));
        let operation = Arc::new(operation);
        let mut rounds = 0;
        let mut overloads = OverloadCounter::default();
        loop {
            let floor = self.floor_for(&operation).await?;
            match hedged_read(&engine, &self.state, &operation, floor).await {
                Ok(reply) => return attempt::success(reply),
                Err(error) => {
                    wait_before_read_retry(&engine, error, &operation, rounds, &mut overloads).await?
                }
            }
            rounds += 1;
        }
    }

    /// Returns the lowest log position that satisfies the consistency level, or
    /// the staleness bound from which an owner computes it. Fails if no leader
    /// position is observed before the deadline.
    pub(super) async fn floor_for(&self, operation: &Operation) -> Result<MinimumReadPosition, Refusal> {
        let own = match operation.database.consistency {
            Consistency::BoundedStaleness => OwnCommits::None,
            _ => self.commits.in_group(operation.group()),
        };
        let staleness_ms = operation.database.settings.staleness_ms;
        let bound = StalenessBound::new(operation.arrived, staleness_ms, own);
        let mut position = bound.known_position(&self.engine, operation.group());
        if position.is_none() {
            // An owner takes a forwarded staleness for that of the database, so a shorter one is
            // resolved here.
            let is_shorter = bound.staleness_ms < staleness_ms;
            if !self.engine.watches(operation.group()) && !is_shorter {
                return Ok(MinimumReadPosition::Staleness(bound));
            }
            position = bound
                .await_position(&self.engine, operation.group(), operation.deadline)
                .await;
        }
        let position =
            position.ok_or_else(|| Refusal::new(ErrorKind::NoPrimary, "no recent position of a leader"))?;
        operation.attempt_log.set_floor(position);
        Ok(MinimumReadPosition::Position(position))
    }
}

/// Waits before a failed read is retried; the delay grows with `rounds`. Returns
/// the failure if the read must not be retried.
async fn wait_before_read_retry(
    engine: &Engine,
    error: AttemptError,
    operation: &Operation,
    rounds: u32,
    overloads: &mut OverloadCounter,
) -> Result<(), Failure> {
    let has_run = matches!(&error, AttemptError::BackEnd(error)
        if !error.kind.has_not_run());
    let is_futile = engine.is_permanently_ineligible(&error, operation.group(), &operation.regions);
    let is_futile = is_futile || overloads.reaches_limit(&error);
    if has_run || clock::now() >= operation.deadline || is_futile {
        return Err(read_failure(error));
    }
    wait_before_retry(&error).await;
    let backoff = RETRY_DELAY * (2_u32.pow(rounds.min(MAX_BACKOFF_DOUBLINGS)) - 1);
    tokio::time::sleep(backoff.min(clock::until(operation.deadline))).await;
    Ok(())
}

/// Converts the error of the last attempt. A read has no side effects, so a lost
/// answer is reported as a refusal and not as an unknown outcome.
fn read_failure(error: AttemptError) -> Failure {
    match error {
        AttemptError::Link(error) => {
            let kind = match error {
                ExchangeError::ReplyTimeout => ErrorKind::DeadlineTooShort,
                _ => error.kind(),
            };
            Refusal::from_link_error(kind, error).into()
        }
        AttemptError::BackEnd(error) => Failure::BackEnd(error),
    }
}

/// Returns the instances that a read may use, in order of expected time. If the
/// group has instances but none is eligible, fails with the reason of the last one
/// that was checked.
pub(super) fn read_candidates(
    engine: &Engine,
    group: &GroupName,
    regions: &AllowedRegions,
) -> Result<Vec<Arc<InstanceRecord>>, IneligibleReason> {
    let now = clock::now();
    let leader = engine.directory.leader(group);
    let mut known = engine.directory.instances_of(group);
    let mut reason = None;
    known.retain(|known| {
        let eligibility = engine.check_eligibility(known, InstanceUse::Replica, regions);
        reason = eligibility.err().or(reason);
        eligibility.is_ok()
    });
    if let (true, Some(reason)) = (known.is_empty(), reason) {
        return Err(reason);
    }
    let candidates: Vec<_> = known
        .iter()
        .map(|known| ReadCandidate {
            instance: known.record.name.clone(),
            latency_us: known.health.latency_us,
            outstanding: known.health.statements.in_flight(),
            slots: known.record.slots,
            is_same_zone: known.record.zone.as_str() == engine.settings.zone,
            is_leader: leader
                .as_ref()
                .is_some_and(|leader| leader.instance == known.record.name),
            is_avoided: known.health.avoid_until > now
                || known.health.failing_since.is_some()
                || known.health.is_unhealthy(),
            is_cold: known.warm_up_status.is_cold(now),
        })
        .collect();
    let record_of = |name: InstanceName| {
        known
            .iter()
            .find(|known| known.record.name == name)
            .map(|known| known.record.clone())
    };
    let order = order_by_expected_time(&candidates);
    Ok(order.into_iter().filter_map(record_of).collect())
}

/// Tries a read on the instances in order, and starts a concurrent attempt on the
/// next one when an answer is late. The remaining attempts run to completion in the
/// background so that their connections can be reused.
async fn hedged_read(
    engine: &Arc<Engine>,
    session: &Arc<SessionState>,
    operation: &Arc<Operation>,
    floor: MinimumReadPosition,
) -> Result<Reply, AttemptError> {
    let order = read_candidates(engine, operation.group(), &operation.regions);
    let mut order = order.map_err(ineligible)?.into_iter();
    let mut in_flight: FuturesUnordered<AttemptFuture> = FuturesUnordered::new();
    let mut last_error = AttemptError::Link(ExchangeError::QueueTimeout);
    let mut hedge_at = clock::now();
    loop {
        if in_flight.is_empty() {
            let Some(record) = order.next() else {
                return Err(last_error);
            };
            hedge_at = next_hedge_time(engine, &record);
            engine.retry_budget.deposit();
            in_flight.push(start_attempt(engine, session, operation, record, floor));
        }
        let may_hedge = in_flight.len() < MAX_HEDGED_ATTEMPTS && !order.as_slice().is_empty();
        tokio::select! {
            biased;
            attempt_result = in_flight.next() => match attempt_result {
                Some(Ok(reply)) => {
                    detach_remaining(in_flight);
                    return Ok(reply);
                }
                Some(Err(error)) => {
                    let is_final = matches!(&error, AttemptError::BackEnd(error) if !error.kind.has_not_run());
                    if is_final {
                        detach_remaining(in_flight);
                        return Err(error);
                    }
                    last_error = error;
                }
                None => {}
            },
            () = tokio::time::sleep_until(clock::deadline(hedge_at)), if may_hedge => {
                hedge_at = operation.deadline.plus_millis(1_000);
                if engine.retry_budget.withdraw()
                    && let Some(record) = order.next()
                {
                    engine.metrics.hedged.inc();
                    hedge_at = next_hedge_time(engine, &record);
                    in_flight.push(start_attempt(engine, session, operation, record, floor));
                }
            }
        }
    }
}

fn ineligible(reason: IneligibleReason) -> AttemptError {
    AttemptError::Link(ExchangeError::Ineligible(reason))
}

/// Returns the timeout after which a leader read is retried through another owner,
/// which may still reach the instance. Returns `None` if this node runs the
/// statement itself.
fn owner_timeout(engine: &Engine, record: &InstanceRecord) -> Option<Duration> {
    if engine.runs_statements_on(record) {
        return None;
    }
    let owner_timeout = Duration::from_micros(mean_latency_us(engine, record) * OWNER_TIMEOUT_FACTOR);
    Some(owner_timeout.max(MIN_OWNER_TIMEOUT))
}

fn mean_latency_us(engine: &Engine, record: &InstanceRecord) -> u64 {
    let known = engine.directory.instance(&record.name);
    known.map_or(0, |known| known.health.latency_us)
}

fn next_hedge_time(engine: &Engine, record: &InstanceRecord) -> millwind_core::Instant {
    let delay =
        Duration::from_micros(mean_latency_us(engine, record) * HEDGE_LATENCY_FACTOR).max(MIN_HEDGE_DELAY);
    clock::now().plus_millis(delay.as_millis() as u64)
}

fn detach_remaining(in_flight: FuturesUnordered<AttemptFuture>) {
    if !in_flight.is_empty() {
        tokio::spawn(in_flight.for_each(|_| std::future::ready(())));
    }
}

fn start_attempt(
    engine: &Arc<Engine>,
    session: &Arc<SessionState>,
    operation: &Arc<Operation>,
    record: Arc<InstanceRecord>,
    floor: MinimumReadPosition,
) -> AttemptFuture {
    let engine = engine.clone();
    let session = session.clone();
    let operation = operation.clone();
    Box::pin(async move {
        let mut connection = attempt::connect(&engine, &record, &operation, &session).await?;
        attempt::run(&engine, &mut connection, &operation, &session, floor, false).await
    })
}

/// Begins a read-only transaction on an instance whose log has reached `floor`.
pub(super) async fn begin_read_only(
    engine: &Arc<Engine>,
    session: &SessionState,
    operation: &Operation,
    floor: MinimumReadPosition,
) -> Result<SessionConnection, AttemptError> {
    let mut last_error = AttemptError::Link(ExchangeError::QueueTimeout);
    let order = read_candidates(engine, operation.group(), &operation.regions);
    for record in order.map_err(ineligible)? {
        match attempt::begin(engine, &record, operation, session, true, floor).await {
            Ok(connection) => return Ok(connection),
            Err(error) => last_error = error,
        }
        if clock::now() >= operation.deadline {
            break;
        }
    }
    if matches!(&last_error, AttemptError::BackEnd(error) if error.kind == BackEndErrorKind::Behind) {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(last_error)
}
