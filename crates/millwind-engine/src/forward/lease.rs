//! A connection of an owner, used by a session of this node.

use std::sync::Arc;

use millwind_core::Instant;
use millwind_core::session_state::SessionState;
use millwind_wire::forward::{ForwardRequest, ForwardedBegin, ForwardedStart, ForwardedStatement};

use super::link::OwnerLink;
use super::messages::{
    read_answer, read_state, take_leader_report, write_command, write_floor, write_user, write_values,
};
use crate::backend::{ConnectionUser, LinkError};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::execution::{AttemptError, RequestTracker, confirm_leader, record_instance_error};
use crate::floor::MinimumReadPosition;
use crate::node::Engine;
use crate::statement::{Envelope, Reply, TransactionState};

/// The owner is given this much less time than the session has, so that its
/// answer arrives, in milliseconds: one way between regions (20 ms on the users'
/// sites) and a busy machine's delay. Without its answer a write that was never
/// sent to the instance would have an unknown outcome.
const ANSWER_MARGIN_MS: u64 = 40;

/// How a lease will start, with its first statement.
#[derive(Debug)]
struct Start {
    user: ConnectionUser,
    priority: u8,
    target_time: Instant,
    begin: ForwardedBegin,
    floor: MinimumReadPosition,
}

/// A connection of an owner; given back when dropped.
#[derive(Debug)]
pub struct Lease {
    link: Arc<OwnerLink>,
    number: u64,
    record: Arc<InstanceRecord>,
    /// None once the owner was told.
    start: Option<Start>,
    transaction: TransactionState,
    /// The last statement had no answer.
    is_broken: bool,
}

impl Lease {
    /// A connection to `record` on behalf of `user`; the owner hears of it with the first
    /// statement.
    pub fn new(
        link: Arc<OwnerLink>,
        record: Arc<InstanceRecord>,
        user: &ConnectionUser,
        priority: u8,
        target_time: Instant,
    ) -> Self {
        Lease {
            number: link.next_number(),
            link,
            record,
            start: Some(Start {
                user: user.clone(),
                priority,
                target_time,
                begin: ForwardedBegin::None,
                floor: MinimumReadPosition::Any,
            }),
            transaction: TransactionState::Idle,
            is_broken: false,
        }
    }

    /// The instance.
    pub fn record(&self) -> &Arc<InstanceRecord> {
        &self.record
    }

    /// Where the connection stands.
    pub fn transaction(&self) -> TransactionState {
        self.transaction
    }

    /// The first statement runs on a log that holds `floor`, unless a
    /// transaction begins before it on terms of its own.
    pub fn requires(&mut self, floor: MinimumReadPosition) {
        if let Some(start) = &mut self.start
            && start.begin == ForwardedBegin::None
        {
            start.floor = floor;
        }
    }

    /// A transaction is begun before the first statement.
    pub fn begins(&mut self, read_only: bool, floor: MinimumReadPosition) {
        self.requires(floor);
        if let Some(start) = &mut self.start {
            start.begin = if read_only {
                ForwardedBegin::ReadOnly
            } else {
                ForwardedBegin::ReadWrite
            };
        }
    }

    /// Runs a statement.
    pub async fn run(
        &mut self,
        engine: &Arc<Engine>,
        session: &SessionState,
        envelope: &Envelope<'_>,
        confirms_leader: bool,
        deadline: Instant,
    ) -> Result<Reply, AttemptError> {
        let call = self.link.next_number();
        let statement = self.statement(call, session, envelope, confirms_leader, deadline);
        let inquiry = RequestTracker::new(&engine.directory, &self.record.name);
        self.is_broken = true;
        let answered = self.link.call(call, ForwardRequest::Run(statement));
        let answer = match tokio::time::timeout_at(clock::deadline(deadline), answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => return Err(AttemptError::Link(LinkError::Lost)),
            Err(_) => {
                self.link.forget(call);
                engine.owners.avoid(self.link.address(), &self.record.name);
                return Err(AttemptError::Link(LinkError::Silent));
            }
        };
        self.is_broken = false;
        self.transaction = read_state(answer.state);
        let report = answer.leader.first().cloned();
        let result = read_answer(answer);
        self.note(engine, &result, &inquiry, confirms_leader);
        if let Some(report) = report {
            take_leader_report(engine, &self.record.group, &report, inquiry.asked);
        }
        result
    }

    fn statement(
        &mut self,
        call: u64,
        session: &SessionState,
        envelope: &Envelope<'_>,
        confirms_leader: bool,
        deadline: Instant,
    ) -> ForwardedStatement {
        let (text, execution) = write_command(&envelope.command);
        let left_ms = clock::until(deadline).as_millis() as u64;
        let limit_ms = left_ms.saturating_sub(ANSWER_MARGIN_MS).max(1);
        let start = self.start.take().map(|start| ForwardedStart {
            instance: self.record.name.0.clone(),
            user: write_user(&start.user),
            priority: start.priority,
            aim_ms: u32::try_from(clock::until(start.target_time).as_millis()).unwrap_or(u32::MAX),
            begin: start.begin,
            floor: write_floor(&start.floor),
        });
        ForwardedStatement {
            call,
            lease: self.number,
            limit_ms: u32::try_from(limit_ms).unwrap_or(u32::MAX),
            start: start.into_iter().collect(),
            values: write_values(session),
            id: envelope.id.unwrap_or_default().to_owned(),
            text,
            execution,
            confirms_leader: u8::from(confirms_leader),
        }
    }

    /// Takes in what an answer tells of the instance and of the owner.
    fn note(
        &self,
        engine: &Arc<Engine>,
        result: &Result<Reply, AttemptError>,
        inquiry: &RequestTracker,
        confirms_leader: bool,
    ) {
        match result {
            Ok(reply) => {
                inquiry.answered();
                if confirms_leader {
                    confirm_leader(engine, &self.record, inquiry.asked, reply.position);
                }
            }
            Err(AttemptError::BackEnd(error)) => {
                inquiry.answered_without_sample();
                record_instance_error(engine, &self.record, error);
            }
            Err(AttemptError::Link(LinkError::WarmingUp { .. })) => {
                inquiry.answered_by_peer();
                engine.directory.avoid_while_full(&self.record.name);
            }
            Err(AttemptError::Link(error)) => {
                inquiry.answered_by_peer();
                engine.directory.avoid(&self.record.name);
                // Nodes that stand in for an owner which has too much to do would
                // only send more to the same instance.
                if *error != LinkError::NoConnection {
                    engine.owners.avoid(self.link.address(), &self.record.name);
                }
            }
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let is_held = self.transaction != TransactionState::Idle || self.is_broken;
        if self.start.is_none() && is_held {
            self.link.end(self.number);
        }
    }
}
