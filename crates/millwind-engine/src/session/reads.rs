//! Single reads: on any instance whose log provably holds enough, or on a
//! leader that proves its lead in the same transaction.

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
use millwind_core::session_state::SessionState;

use super::attempt::{self, Overloads, SessionConnection};
use super::writes::{RETRY_PAUSE, pause_after, usable_leader};
use super::{Operation, Session};
use crate::answer::{Answer, Failure, Refusal};
use crate::backend::LinkError;
use crate::catalog::{Consistency, InstanceRecord};
use crate::clock;
use crate::eligibility::InstanceUse;
use crate::execution::AttemptError;
use crate::floor::{MinimumReadPosition, StalenessBound};
use crate::node::Engine;
use crate::statement::{BackEndErrorKind, Reply};

/// A read is tried elsewhere as well after this many times its instance's
/// mean latency.
const HEDGE_FACTOR: u64 = 4;
/// Never sooner than this.
const HEDGE_LEAST: Duration = Duration::from_millis(150);
/// Instances tried at the same time at most.
const HEDGE_MOST: usize = 3;

/// A read at the leader is tried through another owner after so many times its
/// mean latency, and never sooner than the least.
const PATIENCE_FACTOR: u64 = 8;
const PATIENCE_LEAST: Duration = Duration::from_millis(350);
/// The pause between two rounds of tries doubles so often.
const MOST_DOUBLINGS: u32 = 3;

type Attempt = BoxFuture<'static, Result<Reply, AttemptError>>;

impl Session {
    /// Runs a read outside of a transaction.
    pub(super) async fn single_read(&mut self, operation: Operation) -> Answer {
        match operation.database.consistency {
            Consistency::Primary => self.leader_read(operation).await,
            Consistency::BoundedStaleness | Consistency::ReadYourWrites => self.floor_read(operation).await,
        }
    }

    /// A read that must see every commit: inside a transaction of the engine's
    /// own, which a former leader refuses.
    async fn leader_read(&mut self, operation: Operation) -> Answer {
        let engine = self.engine.clone();
        operation.needs_leader(&engine);
        let mut overloads = Overloads::default();
        loop {
            let record = usable_leader(&engine, &operation).await?;
            let attempt = operation.within(patience(&engine, &record));
            match self.leader_read_on(&record, &attempt).await {
                Ok(reply) => return attempt::success(reply),
                Err(error) => after_failed_read(&engine, error, &operation, 0, &mut overloads).await?,
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

    /// A read on any instance whose log holds the least position that proves
    /// it safe.
    async fn floor_read(&mut self, operation: Operation) -> Answer {
        let engine = self.engine.clone();
        let staleness = operation.database.settings.staleness_ms;
        engine.directory.used(operation.group(), Some(staleness));
        let operation = Arc::new(operation);
        let mut rounds = 0;
        let mut overloads = Overloads::default();
        loop {
            let floor = self.floor_for(&operation).await?;
            match hedged_read(&engine, &self.state, &operation, floor).await {
                Ok(reply) => return attempt::success(reply),
                Err(error) => after_failed_read(&engine, error, &operation, rounds, &mut overloads).await?,
            }
            rounds += 1;
        }
    }

    /// What a read of this operation must see: the least position that proves
    /// it safe, or the terms from which the owner that runs it works that out.
    pub(super) async fn floor_for(&self, operation: &Operation) -> Result<MinimumReadPosition, Refusal> {
        let written = match operation.database.consistency {
            Consistency::BoundedStaleness => None,
            _ => self.written_in(operation.group()),
        };
        let terms = StalenessBound {
            arrived: operation.arrived,
            staleness_ms: operation.database.settings.staleness_ms,
            written,
        };
        let mut position = terms.known_position(&self.engine, operation.group());
        if position.is_none() {
            if !self.engine.watches(operation.group()) {
                return Ok(MinimumReadPosition::Staleness(terms));
            }
            position = terms
                .await_position(&self.engine, operation.group(), operation.deadline)
                .await;
        }
        let position =
            position.ok_or_else(|| Refusal::new(ErrorKind::NoPrimary, "no recent position of a leader"))?;
        operation.trail.needs(position);
        Ok(MinimumReadPosition::Position(position))
    }
}

/// Returns where a read may be tried again, after a pause that grows with
/// `rounds`, and fails where not.
async fn after_failed_read(
    engine: &Engine,
    error: AttemptError,
    operation: &Operation,
    rounds: u32,
    overloads: &mut Overloads,
) -> Result<(), Failure> {
    let has_run = matches!(&error, AttemptError::BackEnd(error)
        if !error.kind.has_not_run());
    let is_permanently_ineligible =
        engine.is_permanently_ineligible(&error, operation.group(), &operation.regions);
    let is_permanently_ineligible = is_permanently_ineligible || overloads.is_enough(&error);
    if has_run || clock::now() >= operation.deadline || is_permanently_ineligible {
        return Err(read_failure(error));
    }
    pause_after(&error).await;
    let more = RETRY_PAUSE * (2_u32.pow(rounds.min(MOST_DOUBLINGS)) - 1);
    tokio::time::sleep(more.min(clock::until(operation.deadline))).await;
    Ok(())
}

/// A read that ran without an answer has changed nothing.
fn read_failure(error: AttemptError) -> Failure {
    match error {
        AttemptError::Link(error) => {
            let kind = match error {
                LinkError::Silent => ErrorKind::DeadlineTooShort,
                _ => error.kind(),
            };
            Refusal::from_link_error(kind, error).into()
        }
        AttemptError::BackEnd(error) => Failure::BackEnd(error),
    }
}

/// Instances that a read may use, in the order in which it tries them; the reason why
/// the last of the others may not be used where there is none.
pub(super) fn read_order(
    engine: &Engine,
    group: &GroupName,
    regions: &AllowedRegions,
) -> Result<Vec<Arc<InstanceRecord>>, IneligibleReason> {
    let now = clock::now();
    let leader = engine.directory.leader(group);
    let mut known = engine.directory.instances_of(group);
    let mut reason = None;
    known.retain(|known| {
        let judged = engine.judge_instance(known, InstanceUse::Replica, regions);
        reason = judged.err().or(reason);
        judged.is_ok()
    });
    if let (true, Some(reason)) = (known.is_empty(), reason) {
        return Err(reason);
    }
    let candidates: Vec<_> = known
        .iter()
        .map(|known| ReadCandidate {
            instance: known.record.name.clone(),
            latency_us: known.contact.latency_us,
            outstanding: known.contact.statements.in_flight(),
            slots: known.record.slots,
            is_same_zone: known.record.zone.as_str() == engine.settings.zone,
            is_leader: leader
                .as_ref()
                .is_some_and(|leader| leader.instance == known.record.name),
            is_avoided: known.contact.avoid_until > now
                || known.contact.failing_since.is_some()
                || known.contact.is_sick(),
            is_cold: known.warmth.is_cold(now),
        })
        .collect();
    let find = |name: InstanceName| {
        known
            .iter()
            .find(|known| known.record.name == name)
            .map(|known| known.record.clone())
    };
    let order = order_by_expected_time(&candidates);
    Ok(order.into_iter().filter_map(find).collect())
}

/// Tries a read on the instances in order, and on a second one at the same
/// time while the first is silent. Attempts that lose run to their end, so
/// that their connections can be used again.
async fn hedged_read(
    engine: &Arc<Engine>,
    session: &Arc<SessionState>,
    operation: &Arc<Operation>,
    floor: MinimumReadPosition,
) -> Result<Reply, AttemptError> {
    let order = read_order(engine, operation.group(), &operation.regions);
    let mut order = order.map_err(ineligible)?.into_iter();
    let mut running: FuturesUnordered<Attempt> = FuturesUnordered::new();
    let mut last = AttemptError::Link(LinkError::NoConnection);
    let mut hedge_at = clock::now();
    loop {
        if running.is_empty() {
            let Some(record) = order.next() else {
                return Err(last);
            };
            hedge_at = hedge_time(engine, &record);
            engine.retry_budget.deposit();
            running.push(start(engine, session, operation, record, floor));
        }
        let may_hedge = running.len() < HEDGE_MOST && !order.as_slice().is_empty();
        tokio::select! {
            biased;
            ended = running.next() => match ended {
                Some(Ok(reply)) => {
                    finish_in_background(running);
                    return Ok(reply);
                }
                Some(Err(error)) => {
                    let is_final = matches!(&error, AttemptError::BackEnd(error) if !error.kind.has_not_run());
                    if is_final {
                        finish_in_background(running);
                        return Err(error);
                    }
                    last = error;
                }
                None => {}
            },
            () = tokio::time::sleep_until(clock::deadline(hedge_at)), if may_hedge => {
                hedge_at = operation.deadline.plus_millis(1_000);
                if engine.retry_budget.withdraw()
                    && let Some(record) = order.next()
                {
                    engine.metrics.hedged.inc();
                    hedge_at = hedge_time(engine, &record);
                    running.push(start(engine, session, operation, record, floor));
                }
            }
        }
    }
}

fn ineligible(reason: IneligibleReason) -> AttemptError {
    AttemptError::Link(LinkError::IneligibleReason(reason))
}

/// How long a read waits for an answer before another owner is tried, which may
/// reach the instance where this one does not; none without owners.
fn patience(engine: &Engine, record: &InstanceRecord) -> Option<Duration> {
    if engine.runs_statements_on(record) {
        return None;
    }
    let patience = Duration::from_micros(mean_latency_us(engine, record) * PATIENCE_FACTOR);
    Some(patience.max(PATIENCE_LEAST))
}

fn mean_latency_us(engine: &Engine, record: &InstanceRecord) -> u64 {
    let known = engine.directory.instance(&record.name);
    known.map_or(0, |known| known.contact.latency_us)
}

fn hedge_time(engine: &Engine, record: &InstanceRecord) -> millwind_core::Instant {
    let delay = Duration::from_micros(mean_latency_us(engine, record) * HEDGE_FACTOR).max(HEDGE_LEAST);
    clock::now().plus_millis(delay.as_millis() as u64)
}

fn finish_in_background(running: FuturesUnordered<Attempt>) {
    if !running.is_empty() {
        tokio::spawn(running.for_each(|_| std::future::ready(())));
    }
}

fn start(
    engine: &Arc<Engine>,
    session: &Arc<SessionState>,
    operation: &Arc<Operation>,
    record: Arc<InstanceRecord>,
    floor: MinimumReadPosition,
) -> Attempt {
    let engine = engine.clone();
    let session = session.clone();
    let operation = operation.clone();
    Box::pin(async move {
        let mut connection = attempt::connect(&engine, &record, &operation, &session).await?;
        attempt::run(&engine, &mut connection, &operation, &session, floor, false).await
    })
}

/// Begins a read-only transaction on an instance whose log holds `floor`.
pub(super) async fn begin_at_floor(
    engine: &Arc<Engine>,
    session: &SessionState,
    operation: &Operation,
    floor: MinimumReadPosition,
) -> Result<SessionConnection, AttemptError> {
    let mut last = AttemptError::Link(LinkError::NoConnection);
    let order = read_order(engine, operation.group(), &operation.regions);
    for record in order.map_err(ineligible)? {
        match attempt::begin(engine, &record, operation, session, true, floor).await {
            Ok(connection) => return Ok(connection),
            Err(error) => last = error,
        }
        if clock::now() >= operation.deadline {
            break;
        }
    }
    if matches!(&last, AttemptError::BackEnd(error) if error.kind == BackEndErrorKind::Behind) {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Err(last)
}
