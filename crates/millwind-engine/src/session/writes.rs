//! Single writes: on the leader, at most once.

use std::time::Duration;

use millwind_core::Instant;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::GroupName;

use super::attempt::{self, AttemptError};
use super::{Operation, Session};
use crate::answer::{Answer, Failure, Refusal};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::node::Engine;
use crate::statement::BackEndErrorKind;

/// Between two tries while an instance cannot serve.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(15);

impl Session {
    /// Runs a write outside of a transaction.
    pub(super) async fn single_write(&mut self, operation: Operation) -> Answer {
        let engine = self.engine.clone();
        let group = operation.group().clone();
        engine.directory.used(&group, None);
        loop {
            let record = usable_leader(&engine, &group, operation.deadline).await?;
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
                AttemptError::BackEnd(error) if !error.kind.is_not_run() => {
                    return Err(Failure::BackEnd(error));
                }
                error if clock::now() >= operation.deadline => return Err(error.into_failure()),
                error => pause_after(&error).await,
            }
        }
    }

    async fn write_on(
        &mut self,
        record: &InstanceRecord,
        operation: &Operation,
    ) -> Result<Answer, AttemptError> {
        let engine = self.engine.clone();
        let state = self.state.clone();
        let mut connection = attempt::connect(&engine, record, operation, &state).await?;
        let reply = attempt::run(&engine, &mut connection, operation, &state, None, true).await?;
        drop(connection);
        self.note_written(operation.group(), reply.position);
        Ok(attempt::success(reply))
    }
}

/// The leader of a group, once one is known that answers this node.
pub(super) async fn usable_leader(
    engine: &Engine,
    group: &GroupName,
    deadline: Instant,
) -> Result<std::sync::Arc<InstanceRecord>, Refusal> {
    loop {
        let Some(leader) = engine.directory.await_leader(group, deadline).await else {
            return Err(Refusal::new(ErrorKind::NoPrimary, "no leader is known"));
        };
        let known = engine.directory.instance(&leader);
        match known {
            Some(known) if known.contact.failing_since.is_none() && engine.takes_new_work(&known) => {
                return Ok(known.record);
            }
            _ if clock::now() >= deadline => {
                return Err(Refusal::new(
                    ErrorKind::NoPrimary,
                    format!("leader {leader} does not answer"),
                ));
            }
            _ => {
                let step = clock::now()
                    .plus_millis(RETRY_PAUSE.as_millis() as u64)
                    .min(deadline);
                engine.directory.leaders_changed(step).await;
            }
        }
    }
}

/// A busy or changing instance is asked again after a moment.
pub(super) async fn pause_after(error: &AttemptError) {
    let is_denied = matches!(error, AttemptError::BackEnd(error) if error.kind == BackEndErrorKind::ReadOnly);
    if !is_denied {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
