//! Writes outside a transaction, which run on the leader at most once.

use std::sync::Arc;
use std::time::Duration;

use millwind_core::eligibility::IneligibleReason;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::{GroupName, RegionName};

use super::attempt::{self, OverloadCounter};
use super::{Operation, Session};
use crate::answer::{Answer, Failure, Refusal};
use crate::backend::ExchangeError;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::directory::KnownInstance;
use crate::eligibility::InstanceUse;
use crate::execution::AttemptError;
use crate::floor::MinimumReadPosition;
use crate::node::Engine;
use crate::peers;
use crate::statement::BackEndErrorKind;

/// Delay before a retry while an instance is busy or not ready.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(15);
/// Delay before a retry while no owner reaches the instance or no leader is known
/// to the nodes that watch the group.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Age in milliseconds from which the known leader is refreshed when a caller may
/// not use it. Refused callers are told to retry after the same interval.
const LEADER_REFRESH_AGE_MS: u64 = 1_000;

impl Session {
    /// Runs a write outside a transaction.
    pub(super) async fn single_write(&mut self, operation: Operation) -> Answer {
        let engine = self.engine.clone();
        operation.record_leader_demand(&engine);
        let mut overloads = OverloadCounter::default();
        loop {
            let record = await_usable_leader(&engine, &operation).await?;
            let result = self.write_on(&record, &operation).await;
            let error = match result {
                Ok(answer) => return answer,
                Err(error) => error,
            };
            match error {
                AttemptError::Link(error) if error.may_have_run() => {
                    let refusal = Refusal::new(ErrorKind::OutcomeUnknown, error);
                    return Err(refusal.into());
                }
                AttemptError::BackEnd(error) if !error.kind.has_not_run() => {
                    return Err(Failure::BackEnd(error));
                }
                error if clock::now() >= operation.deadline || overloads.reaches_limit(&error) => {
                    return Err(error.into_failure());
                }
                error => wait_before_retry(&error).await,
            }
        }
    }

    async fn write_on(
        &mut self,
        record: &Arc<InstanceRecord>,
        operation: &Operation,
    ) -> Result<Answer, AttemptError> {
        let engine = self.engine.clone();
        let state = self.state.clone();
        let mut connection = attempt::connect(&engine, record, operation, &state).await?;
        let reply = attempt::run(
            &engine,
            &mut connection,
            operation,
            &state,
            MinimumReadPosition::Any,
            true,
        )
        .await?;
        drop(connection);
        self.record_commit(operation.group(), reply.position);
        Ok(attempt::success(reply))
    }
}

/// Waits until a responsive leader of the operation's group is known and returns it.
/// Fails at the deadline, or at once if the leader is ineligible and no other instance
/// is about to take over.
pub(super) async fn await_usable_leader(
    engine: &Arc<Engine>,
    operation: &Operation,
) -> Result<Arc<InstanceRecord>, Refusal> {
    let (group, deadline) = (operation.group(), operation.deadline);
    loop {
        let leader = engine.directory.leader(group);
        let known = leader.and_then(|leader| engine.directory.instance(&leader.instance));
        let watches = engine.watches(group);
        let mut is_handover = false;
        let reason = match known {
            Some(known) if is_usable(engine, &known, watches) => {
                match engine.check_eligibility(&known, InstanceUse::Leader, &operation.regions) {
                    Ok(()) => return Ok(known.record),
                    Err(IneligibleReason::Leaving) => {
                        format!("leader {} will end", known.record.name)
                    }
                    Err(IneligibleReason::ZoneEvacuated)
                        if engine.has_eligible_instance(group, &operation.regions) =>
                    {
                        is_handover = true;
                        let record = &known.record;
                        format!("leader {} in evacuated zone {}", record.name, record.zone)
                    }
                    Err(reason) => {
                        if !watches {
                            refresh_leader(engine, group);
                        }
                        return Err(ineligible_leader(engine, &known, reason, operation));
                    }
                }
            }
            Some(known) => format!("leader {} does not answer", known.record.name),
            None => "no leader is known".to_owned(),
        };
        if clock::now() >= deadline {
            return Err(Refusal::new(ErrorKind::NoPrimary, reason));
        }
        // Watchers briefly report the old leader during a handover, so the loop
        // pauses even if they answered.
        if !watches && peers::query_leader(engine, group).await && !is_handover {
            continue;
        }
        let pause = if watches { RETRY_DELAY } else { LEADER_RETRY_DELAY };
        let step = clock::now().plus_millis(pause.as_millis() as u64);
        engine.directory.leaders_changed(step.min(deadline)).await;
    }
}

/// Queries the current leader in the background unless a recent observation exists.
/// A node that does not watch the group and refuses all its callers would not learn of
/// a leader change otherwise.
fn refresh_leader(engine: &Arc<Engine>, group: &GroupName) {
    let newest = engine.directory.newest_observation(group);
    let is_recent =
        newest.is_some_and(|newest| clock::now().millis_since(newest.asked) < LEADER_REFRESH_AGE_MS);
    if is_recent {
        return;
    }
    let (engine, group) = (engine.clone(), group.clone());
    tokio::spawn(async move { peers::refresh_leader_report(&engine, &group).await });
}

/// Returns whether statements may be sent to a leader. A node that does not watch the
/// group has no health data, and a node that forwards statements needs no permit; in
/// both cases the owner that runs the statement performs the check.
fn is_usable(engine: &Engine, known: &KnownInstance, watches: bool) -> bool {
    let is_reached = !watches || known.health.failing_since.is_none();
    let runs_here = engine.runs_statements_on(&known.record);
    let may_lead = engine
        .directory
        .may_lead(&known.record.group, &known.record.name, runs_here);
    is_reached && may_lead
}

fn ineligible_leader(
    engine: &Engine,
    known: &KnownInstance,
    reason: IneligibleReason,
    operation: &Operation,
) -> Refusal {
    let detail = format!(
        "leader {} in zone {}, region {}: {}, allowed regions: {}",
        known.record.name,
        known.record.zone,
        engine.region_of(known).map_or("none", RegionName::as_str),
        reason.name(),
        operation.regions
    );
    Refusal::new(ExchangeError::Ineligible(reason).kind(), detail)
}

/// Waits for the delay that applies to a failed attempt before it is retried.
pub(super) async fn wait_before_retry(error: &AttemptError) {
    let pause = match error {
        AttemptError::BackEnd(error) if error.kind == BackEndErrorKind::ReadOnly => return,
        AttemptError::Link(ExchangeError::InstanceFailing | ExchangeError::OwnerUnreachable) => {
            LEADER_RETRY_DELAY
        }
        _ => RETRY_DELAY,
    };
    tokio::time::sleep(pause).await;
}
