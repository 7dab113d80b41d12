//! Single writes: on the leader, at most once.

use std::sync::Arc;
use std::time::Duration;

use millwind_core::eligibility::IneligibleReason;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::{GroupName, RegionName};

use super::attempt::{self, Overloads};
use super::{Operation, Session};
use crate::answer::{Answer, Failure, Refusal};
use crate::backend::LinkError;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::directory::Known;
use crate::eligibility::InstanceUse;
use crate::execution::AttemptError;
use crate::floor::MinimumReadPosition;
use crate::node::Engine;
use crate::peers;
use crate::statement::BackEndErrorKind;

/// Between two tries while an instance cannot serve.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// Between two tries while owners don't reach an instance, or watchers know no
/// leader.
const LEADER_PAUSE: Duration = Duration::from_millis(60);
/// A leader that was heard within this time is not asked after again by those who may
/// not use it, in milliseconds: callers that are refused are told to come back after so
/// long.
const BELIEF_MS: u64 = 1_000;

impl Session {
    /// Runs a write outside of a transaction.
    pub(super) async fn single_write(&mut self, operation: Operation) -> Answer {
        let engine = self.engine.clone();
        operation.needs_leader(&engine);
        let mut overloads = Overloads::default();
        loop {
            let record = usable_leader(&engine, &operation).await?;
            let attempted = self.write_on(&record, &operation).await;
            let error = match attempted {
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
                error if clock::now() >= operation.deadline || overloads.is_enough(&error) => {
                    return Err(error.into_failure());
                }
                error => pause_after(&error).await,
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
        self.note_written(operation.group(), reply.position);
        Ok(attempt::success(reply))
    }
}

/// The leader of the operation's group, once one is known that answers. Where the known
/// one may not be used the operation is refused at once, unless another instance takes
/// over from it.
pub(super) async fn usable_leader(
    engine: &Arc<Engine>,
    operation: &Operation,
) -> Result<Arc<InstanceRecord>, Refusal> {
    let (group, deadline) = (operation.group(), operation.deadline);
    loop {
        let leader = engine.directory.leader(group);
        let known = leader.and_then(|leader| engine.directory.instance(&leader.instance));
        let watches = engine.watches(group);
        let mut is_handed_over = false;
        let reason = match known {
            Some(known) if is_usable(engine, &known, watches) => {
                match engine.judge_instance(&known, InstanceUse::Leader, &operation.regions) {
                    Ok(()) => return Ok(known.record),
                    Err(IneligibleReason::Leaving) => format!("leader {} will end", known.record.name),
                    Err(IneligibleReason::ZoneEvacuated)
                        if engine.has_eligible_instance(group, &operation.regions) =>
                    {
                        is_handed_over = true;
                        let record = &known.record;
                        format!("leader {} in evacuated zone {}", record.name, record.zone)
                    }
                    Err(reason) => {
                        if !watches {
                            renew_belief(engine, group);
                        }
                        return Err(unusable_leader(engine, &known, reason, operation));
                    }
                }
            }
            Some(known) => format!("leader {} does not answer", known.record.name),
            None => "no leader is known".to_owned(),
        };
        if clock::now() >= deadline {
            return Err(Refusal::new(ErrorKind::NoPrimary, reason));
        }
        // While the lead is handed over its watchers name the old leader for a moment.
        if !watches && peers::ask_leader(engine, group).await && !is_handed_over {
            continue;
        }
        let pause = if watches { RETRY_PAUSE } else { LEADER_PAUSE };
        let step = clock::now().plus_millis(pause.as_millis() as u64);
        engine.directory.leaders_changed(step.min(deadline)).await;
    }
}

/// Asks in the background who leads, where that was not heard lately. A node that does
/// not watch the group, and whose callers are all refused, hears from nobody else that
/// the lead has moved.
fn renew_belief(engine: &Arc<Engine>, group: &GroupName) {
    let newest = engine.directory.newest_observation(group);
    let is_recent = newest.is_some_and(|newest| clock::now().millis_since(newest.asked) < BELIEF_MS);
    if is_recent {
        return;
    }
    let (engine, group) = (engine.clone(), group.clone());
    tokio::spawn(async move { peers::observe_leader(&engine, &group).await });
}

/// Whether a leader may be used. A node that does not watch the group has no
/// contact with it, and one that does not run statements there needs no permit:
/// the owner that runs the statement judges.
fn is_usable(engine: &Engine, known: &Known, watches: bool) -> bool {
    let is_reached = !watches || known.contact.failing_since.is_none();
    let runs_here = engine.runs_statements_on(&known.record);
    let may_lead = engine
        .directory
        .may_lead(&known.record.group, &known.record.name, runs_here);
    is_reached && may_lead
}

fn unusable_leader(
    engine: &Engine,
    known: &Known,
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
    Refusal::new(LinkError::IneligibleReason(reason).kind(), detail)
}

/// A busy or changing instance is asked again after a moment.
pub(super) async fn pause_after(error: &AttemptError) {
    let pause = match error {
        AttemptError::BackEnd(error) if error.kind == BackEndErrorKind::ReadOnly => return,
        AttemptError::Link(LinkError::InstanceFailing | LinkError::OwnerUnreachable) => LEADER_PAUSE,
        _ => RETRY_PAUSE,
    };
    tokio::time::sleep(pause).await;
}
