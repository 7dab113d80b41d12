//! Attempts to run a statement on one instance, over a local connection or one
//! leased from an owner.

use std::sync::Arc;

use millwind_core::ids::InstanceName;
use millwind_core::session_state::SessionState;

use super::Operation;
use crate::answer::{Answer, Failure, Success};
use crate::backend::ExchangeError;
use crate::backend::PooledConnection;
use crate::catalog::InstanceRecord;
use crate::execution::{self, AttemptError, ConnectionRequest};
use crate::floor::MinimumReadPosition;
use crate::forward::{Lease, Route};
use crate::node::Engine;
use crate::statement::{Envelope, Reply, TransactionState};

/// Number of overloaded attempts after which a statement is refused. The caller can
/// retry with a full time budget, while each further attempt has less time left.
const MAX_OVERLOADED_ATTEMPTS: u32 = 2;

/// Counts the attempts of one statement that failed on an overloaded instance.
#[derive(Debug, Default)]
pub(super) struct OverloadCounter(u32);

impl OverloadCounter {
    /// Counts `error` if it reports overload. Returns whether the statement should
    /// be refused.
    pub(super) fn reaches_limit(&mut self, error: &AttemptError) -> bool {
        self.0 += u32::from(error.is_overload());
        self.0 >= MAX_OVERLOADED_ATTEMPTS
    }
}

/// A connection to an instance, in use by a session.
#[derive(Debug)]
pub(super) enum SessionConnection {
    /// A connection from this node's pool.
    Local(Box<PooledConnection>),
    /// A connection of an owner, used through a lease.
    Leased(Box<Lease>),
}

impl SessionConnection {
    /// Returns the transaction state of the connection.
    pub(super) fn transaction(&self) -> TransactionState {
        match self {
            SessionConnection::Local(connection) => connection.transaction(),
            SessionConnection::Leased(lease) => lease.transaction(),
        }
    }

    fn instance(&self) -> &InstanceName {
        &self.record().name
    }

    /// Returns the instance that the connection is open to.
    pub(super) fn record(&self) -> &InstanceRecord {
        match self {
            SessionConnection::Local(connection) => connection.pool().record(),
            SessionConnection::Leased(lease) => lease.record(),
        }
    }
}

/// Acquires a local or leased connection to `record` for `operation`.
pub(super) async fn connect(
    engine: &Arc<Engine>,
    record: &Arc<InstanceRecord>,
    operation: &Operation,
    session: &SessionState,
) -> Result<SessionConnection, AttemptError> {
    let priority = operation.database.priority;
    let target_time = operation.target_time();
    let connected = match engine.route(record, &operation.user, &operation.regions).await {
        Route::Local => {
            let request = ConnectionRequest {
                priority,
                target_time,
                user: &operation.user,
                session,
                prepared_statement: operation.prepared_statement(),
                deadline: operation.deadline,
            };
            let connected = execution::connect(engine, record, request).await;
            connected.map(|local| SessionConnection::Local(Box::new(local)))
        }
        Route::Forwarded(link) => {
            engine.metrics.forwarded_out.inc();
            let lease = Lease::new(link, record.clone(), &operation.user, priority, target_time);
            Ok(SessionConnection::Leased(Box::new(lease)))
        }
        Route::Unreachable => Err(AttemptError::Link(ExchangeError::OwnerUnreachable)),
    };
    connected.inspect_err(|error| operation.attempt_log.record(&record.name, error.name()))
}

/// Begins a transaction on `record`. A leased connection sends the begin together with
/// the first statement. The success of a read-write begin proves that the instance is
/// the leader.
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
        SessionConnection::Leased(lease) => lease.set_begin(read_only, floor),
        SessionConnection::Local(local) => {
            let deadline = operation.deadline;
            let position = floor.resolve(engine, &record.group, deadline).await;
            let position = position.map_err(|_| AttemptError::Link(ExchangeError::NoObservation))?;
            execution::begin(engine, local, read_only, position, deadline)
                .await
                .inspect_err(|error| operation.attempt_log.record(&record.name, error.name()))?;
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
        minimum_position: None,
        command: operation.command(),
    };
    let result = match connection {
        SessionConnection::Leased(lease) => {
            lease.set_floor(floor);
            lease
                .run(engine, session, &envelope, confirms_leader, deadline)
                .await
        }
        SessionConnection::Local(local) => {
            let position = floor.resolve(engine, operation.group(), deadline).await;
            envelope.minimum_position =
                position.map_err(|_| AttemptError::Link(ExchangeError::NoObservation))?;
            execution::run(engine, local, session, &envelope, confirms_leader, deadline).await
        }
    };
    let outcome = result.as_ref().map_or_else(AttemptError::name, |_| "ok");
    operation.attempt_log.record(connection.instance(), outcome);
    result
}

/// Converts the reply of an instance to the answer for the caller.
pub(super) fn success(reply: Reply) -> Answer {
    match reply.result {
        Ok(signature) => Ok(Success {
            rows: reply.rows,
            signature: Some(signature),
        }),
        Err(error) => Err(Failure::BackEnd(error)),
    }
}
