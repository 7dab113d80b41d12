//! Leases of an owner's connection for a session on this node.

use std::sync::Arc;

use millwind_core::Instant;
use millwind_core::session_state::SessionState;
use millwind_wire::forward::{ForwardRequest, ForwardedBegin, ForwardedStart, ForwardedStatement};

use super::link::OwnerLink;
use super::messages::{
    read_answer, read_state, record_leader_report, write_command, write_floor, write_user, write_values,
};
use crate::backend::{ConnectionUser, ExchangeError};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::execution::{AttemptError, RequestTracker, confirm_leader, record_instance_error};
use crate::floor::MinimumReadPosition;
use crate::node::Engine;
use crate::statement::{Envelope, Reply, TransactionState};

/// Time in milliseconds by which the owner's time limit is shorter than the session's.
/// It covers the transit of the answer between regions: without an answer, the outcome
/// of a write that was never sent to the instance is unknown.
const ANSWER_MARGIN_MS: u64 = 40;

/// Parameters of a lease that are sent with its first statement.
#[derive(Debug)]
struct LeaseStart {
    user: ConnectionUser,
    priority: u8,
    target_time: Instant,
    begin: ForwardedBegin,
    floor: MinimumReadPosition,
}

/// A connection leased from an owner. Dropping the lease ends it on the owner.
#[derive(Debug)]
pub struct Lease {
    link: Arc<OwnerLink>,
    id: u64,
    record: Arc<InstanceRecord>,
    /// `None` once the first statement has been sent.
    start: Option<LeaseStart>,
    transaction: TransactionState,
    /// Whether the last statement has not been answered.
    is_broken: bool,
}

impl Lease {
    /// Creates a lease of a connection to `record` for `user`. Nothing is sent to the
    /// owner before the first statement.
    pub fn new(
        link: Arc<OwnerLink>,
        record: Arc<InstanceRecord>,
        user: &ConnectionUser,
        priority: u8,
        target_time: Instant,
    ) -> Self {
        Lease {
            id: link.next_id(),
            link,
            record,
            start: Some(LeaseStart {
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

    /// Returns the instance that the connection is open to.
    pub fn record(&self) -> &Arc<InstanceRecord> {
        &self.record
    }

    /// Returns the transaction state of the connection.
    pub fn transaction(&self) -> TransactionState {
        self.transaction
    }

    /// Sets the floor of the first statement. Has no effect if the lease begins a
    /// transaction, which has its own floor, or has already started.
    pub fn set_floor(&mut self, floor: MinimumReadPosition) {
        if let Some(start) = &mut self.start
            && start.begin == ForwardedBegin::None
        {
            start.floor = floor;
        }
    }

    /// Makes the owner begin a transaction before the first statement.
    pub fn set_begin(&mut self, read_only: bool, floor: MinimumReadPosition) {
        self.set_floor(floor);
        if let Some(start) = &mut self.start {
            start.begin = if read_only {
                ForwardedBegin::ReadOnly
            } else {
                ForwardedBegin::ReadWrite
            };
        }
    }

    /// Runs a statement on the owner and waits for its answer until `deadline`.
    pub async fn run(
        &mut self,
        engine: &Arc<Engine>,
        session: &SessionState,
        envelope: &Envelope<'_>,
        confirms_leader: bool,
        deadline: Instant,
    ) -> Result<Reply, AttemptError> {
        let call = self.link.next_id();
        let statement = self.forwarded_statement(call, session, envelope, confirms_leader, deadline);
        let tracker = RequestTracker::new(&engine.directory, &self.record.name);
        self.is_broken = true;
        let response = self.link.call(call, ForwardRequest::Run(statement));
        let answer = match tokio::time::timeout_at(clock::deadline(deadline), response).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => return Err(AttemptError::Link(ExchangeError::Lost)),
            Err(_) => {
                self.link.cancel(call);
                engine.owners.avoid(self.link.address(), &self.record.name);
                return Err(AttemptError::Link(ExchangeError::ReplyTimeout));
            }
        };
        self.is_broken = false;
        self.transaction = read_state(answer.state);
        let report = answer.leader.first().cloned();
        let result = read_answer(answer);
        self.record_outcome(engine, &result, &tracker, confirms_leader);
        if let Some(report) = report {
            record_leader_report(engine, &self.record.group, &report, tracker.asked);
        }
        result
    }

    fn forwarded_statement(
        &mut self,
        call: u64,
        session: &SessionState,
        envelope: &Envelope<'_>,
        confirms_leader: bool,
        deadline: Instant,
    ) -> ForwardedStatement {
        let (text, execution) = write_command(&envelope.command);
        let remaining_ms = clock::until(deadline).as_millis() as u64;
        let limit_ms = remaining_ms.saturating_sub(ANSWER_MARGIN_MS).max(1);
        let start = self.start.take().map(|start| ForwardedStart {
            instance: self.record.name.0.clone(),
            user: write_user(&start.user),
            priority: start.priority,
            target_latency_left_ms: u32::try_from(clock::until(start.target_time).as_millis())
                .unwrap_or(u32::MAX),
            begin: start.begin,
            floor: write_floor(&start.floor),
        });
        ForwardedStatement {
            call,
            lease: self.id,
            limit_ms: u32::try_from(limit_ms).unwrap_or(u32::MAX),
            start: start.into_iter().collect(),
            values: write_values(session),
            id: envelope.id.unwrap_or_default().to_owned(),
            text,
            execution,
            confirms_leader: u8::from(confirms_leader),
        }
    }

    /// Updates the health of the instance and of the owner from the result.
    fn record_outcome(
        &self,
        engine: &Arc<Engine>,
        result: &Result<Reply, AttemptError>,
        tracker: &RequestTracker,
        confirms_leader: bool,
    ) {
        match result {
            Ok(reply) => {
                tracker.answered();
                if confirms_leader {
                    confirm_leader(engine, &self.record, tracker.asked, reply.position);
                }
            }
            Err(AttemptError::BackEnd(error)) => {
                tracker.answered_without_sample();
                record_instance_error(engine, &self.record, error);
            }
            Err(AttemptError::Link(ExchangeError::WarmingUp { .. })) => {
                tracker.answered_by_peer();
                engine.directory.avoid_while_full(&self.record.name);
            }
            Err(AttemptError::Link(error)) => {
                tracker.answered_by_peer();
                engine.directory.avoid(&self.record.name);
                // Avoiding an overloaded owner would move its load to backup owners
                // that use the same instance.
                if *error != ExchangeError::QueueTimeout {
                    engine.owners.avoid(self.link.address(), &self.record.name);
                }
            }
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let needs_release = self.transaction != TransactionState::Idle || self.is_broken;
        if self.start.is_none() && needs_release {
            self.link.end_lease(self.id);
        }
    }
}
