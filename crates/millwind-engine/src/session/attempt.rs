//! One attempt of a statement on one instance, over a connection of this node
//! or one leased from an owner.

use std::sync::Arc;

use millwind_core::ids::InstanceName;
use millwind_core::session_state::SessionState;

use super::Operation;
use crate::answer::{Answer, Failure, Success};
use crate::backend::LinkError;
use crate::backend::PooledConnection;
use crate::catalog::InstanceRecord;
use crate::execution::{self, AttemptError, ConnectionRequest};
use crate::floor::MinimumReadPosition;
use crate::forward::{Lease, Route};
use crate::node::Engine;
use crate::statement::{Envelope, Reply, TransactionState};

/// A statement that so many nodes found no time for is refused: its caller may
/// come back with all of its time, while trying on here leaves it ever less.
const MOST_OVERLOADS: u32 = 2;

/// The tries of one statement that found an instance with too much to do.
#[derive(Debug, Default)]
pub(super) struct Overloads(u32);

impl Overloads {
    /// Takes in how a try failed; true if the statement should be refused now.
    pub(super) fn is_enough(&mut self, error: &AttemptError) -> bool {
        self.0 += u32::from(error.is_overload());
        self.0 >= MOST_OVERLOADS
    }
}

/// A connection that a session uses.
#[derive(Debug)]
pub(super) enum SessionConnection {
    /// One of this node's own.
    Own(Box<PooledConnection>),
    /// One of an owner.
    Leased(Box<Lease>),
}

impl SessionConnection {
    /// Where it stands.
    pub(super) fn transaction(&self) -> TransactionState {
        match self {
            SessionConnection::Own(connection) => connection.transaction(),
            SessionConnection::Leased(lease) => lease.transaction(),
        }
    }

    fn instance(&self) -> &InstanceName {
        &self.record().name
    }

    /// The instance that it leads to.
    pub(super) fn record(&self) -> &InstanceRecord {
        match self {
            SessionConnection::Own(connection) => connection.pool().record(),
            SessionConnection::Leased(lease) => lease.record(),
        }
    }
}

/// Gets a connection to `record` for a statement of `operation`.
pub(super) async fn connect(
    engine: &Arc<Engine>,
    record: &Arc<InstanceRecord>,
    operation: &Operation,
    session: &SessionState,
) -> Result<SessionConnection, AttemptError> {
    let priority = operation.database.priority;
    let target_time = operation.target_time();
    let connected = match engine.route(record, &operation.user, &operation.regions).await {
        Route::Own => {
            let wanted = ConnectionRequest {
                priority,
                target_time,
                user: &operation.user,
                session,
                needed: operation.needed(),
                deadline: operation.deadline,
            };
            let connected = execution::connect(engine, record, wanted).await;
            connected.map(|own| SessionConnection::Own(Box::new(own)))
        }
        Route::Through(link) => {
            engine.metrics.forwarded_out.inc();
            let lease = Lease::new(link, record.clone(), &operation.user, priority, target_time);
            Ok(SessionConnection::Leased(Box::new(lease)))
        }
        Route::Unreachable => Err(AttemptError::Link(LinkError::OwnerUnreachable)),
    };
    connected.inspect_err(|error| operation.trail.tried(&record.name, error.name()))
}

/// Begins a transaction on `record`, at once or together with its first
/// statement; where it is not read-only, a success proves that the instance
/// leads.
pub(super) async fn begin(
    engine: &Arc<Engine>,
    record: &Arc<InstanceRecord>,
    operation: &Operation,
    session: &SessionState,
    read_only: bool,
    floor: MinimumReadPosition,
) -> Result<SessionConnection, AttemptError> {
    let mut connection = connect(engine, record, operation, session).await?;
    match &mut connection {
        SessionConnection::Leased(lease) => lease.begins(read_only, floor),
        SessionConnection::Own(own) => {
            let deadline = operation.deadline;
            let since = floor.resolve(engine, &record.group, deadline).await;
            let since = since.map_err(|_| AttemptError::Link(LinkError::NoObservation))?;
            execution::begin(engine, own, read_only, since, deadline)
                .await
                .inspect_err(|error| operation.trail.tried(&record.name, error.name()))?;
        }
    }
    Ok(connection)
}

/// Runs the operation's statement on a connection.
pub(super) async fn run(
    engine: &Arc<Engine>,
    connection: &mut SessionConnection,
    operation: &Operation,
    session: &SessionState,
    floor: MinimumReadPosition,
    confirms_leader: bool,
) -> Result<Reply, AttemptError> {
    let deadline = operation.deadline;
    let mut envelope = Envelope {
        id: Some(&operation.id),
        since: None,
        command: operation.command(),
    };
    let result = match connection {
        SessionConnection::Leased(lease) => {
            lease.requires(floor);
            lease
                .run(engine, session, &envelope, confirms_leader, deadline)
                .await
        }
        SessionConnection::Own(own) => {
            let since = floor.resolve(engine, operation.group(), deadline).await;
            envelope.since = since.map_err(|_| AttemptError::Link(LinkError::NoObservation))?;
            execution::run(engine, own, session, &envelope, confirms_leader, deadline).await
        }
    };
    let outcome = result.as_ref().map_or_else(AttemptError::name, |_| "ok");
    operation.trail.tried(connection.instance(), outcome);
    result
}

/// The caller's answer to a statement that ran.
pub(super) fn success(reply: Reply) -> Answer {
    match reply.result {
        Ok(signature) => Ok(Success {
            rows: reply.rows,
            signature: Some(signature),
        }),
        Err(error) => Err(Failure::BackEnd(error)),
    }
}
