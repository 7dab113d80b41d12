//! One attempt of a statement on one instance.

use std::sync::Arc;

use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_core::position::Position;
use millwind_core::session_state::SessionState;

use super::Operation;
use crate::answer::{Answer, Failure, Refusal, Success};
use crate::backend::pool::PooledConnection;
use crate::backend::{LinkError, Purpose};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::directory::Directory;
use crate::node::Engine;
use crate::statement::{BackEndError, BackEndErrorKind, Command, Envelope, Reply};

/// Why an attempt gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// The exchange failed.
    Link(LinkError),
    /// The instance answered with an error.
    BackEnd(BackEndError),
}

impl AttemptError {
    /// Whether the statement has certainly not run.
    pub(super) fn is_not_run(&self) -> bool {
        match self {
            AttemptError::Link(error) => !error.may_have_run(),
            AttemptError::BackEnd(error) => error.kind.is_not_run(),
        }
    }

    /// What the caller is told when nothing was kept.
    pub(super) fn into_failure(self) -> Failure {
        match self {
            AttemptError::Link(error) => Refusal::new(error.kind(), error).into(),
            AttemptError::BackEnd(error) => Failure::BackEnd(error),
        }
    }
}

/// Counts a question to an instance from its sending to its end.
pub(super) struct Inquiry {
    directory: Arc<Directory>,
    instance: InstanceName,
    pub(super) asked: Instant,
}

impl Inquiry {
    pub(super) fn new(directory: &Arc<Directory>, instance: &InstanceName) -> Self {
        directory.asked(instance);
        Inquiry {
            directory: directory.clone(),
            instance: instance.clone(),
            asked: clock::now(),
        }
    }

    /// The instance gave an answer.
    pub(super) fn answered(&self) {
        let elapsed = clock::now().0 - self.asked.0;
        self.directory.answered(&self.instance, Some(elapsed));
    }

    /// The exchange failed.
    pub(super) fn failed(&self, error: &LinkError) {
        match error {
            // A statement may be slow; only a health check's silence tells.
            LinkError::Silent | LinkError::Protocol => self.directory.avoid(&self.instance),
            _ if error.is_evidence() => {
                self.directory
                    .failed(&self.instance, self.asked, error.is_refusing());
            }
            _ => {}
        }
    }
}

impl Drop for Inquiry {
    fn drop(&mut self) {
        self.directory.settled(&self.instance);
    }
}

/// Gets a connection to `record` for a statement of `operation`.
pub(super) async fn connect(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    operation: &Operation,
    session: &SessionState,
) -> Result<PooledConnection, AttemptError> {
    let purpose = Purpose::Statement {
        priority: operation.tenant.priority,
    };
    let asked = clock::now();
    let connected = engine
        .pool(record)
        .acquire(purpose, session, operation.needed(), operation.deadline)
        .await;
    connected.map_err(|error| {
        note_connect_error(engine, record, asked, &error);
        operation.trail.tried(&record.name, error.name());
        match error {
            LinkError::StartupRefused(error) => AttemptError::BackEnd(error),
            error => AttemptError::Link(error),
        }
    })
}

fn note_connect_error(engine: &Arc<Engine>, record: &InstanceRecord, asked: Instant, error: &LinkError) {
    if error.is_evidence() || error.is_wrong_instance() {
        let directory = &engine.directory;
        directory.failed(&record.name, asked, error.is_refusing());
    } else {
        engine.directory.avoid(&record.name);
    }
}

/// Begins a transaction on `record`; where it is not read-only, a success
/// proves that the instance leads.
pub(super) async fn begin(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    operation: &Operation,
    session: &SessionState,
    read_only: bool,
    since: Option<Position>,
) -> Result<PooledConnection, AttemptError> {
    let mut connection = connect(engine, record, operation, session).await?;
    let envelope = Envelope {
        id: None,
        since,
        command: Command::Begin { read_only },
    };
    let inquiry = Inquiry::new(&engine.directory, &record.name);
    let reply = match connection.exchange(&envelope, operation.deadline).await {
        Ok(reply) => reply,
        Err(error) => {
            inquiry.failed(&error);
            operation.trail.tried(&record.name, error.name());
            return Err(AttemptError::Link(error));
        }
    };
    engine.directory.answered(&record.name, None);
    if let Err(error) = reply.result {
        note_error(engine, record, &error);
        operation.trail.tried(&record.name, error.kind.name());
        return Err(AttemptError::BackEnd(error));
    }
    if !read_only {
        prove_leader(engine, record, inquiry.asked, &reply.position);
    }
    Ok(connection)
}

/// Runs the operation's statement on a connection.
pub(super) async fn run(
    engine: &Arc<Engine>,
    connection: &mut PooledConnection,
    operation: &Operation,
    session: &SessionState,
    since: Option<Position>,
    proves_leader: bool,
) -> Result<Reply, AttemptError> {
    let pool = connection.pool().clone();
    let record = pool.record();
    let envelope = Envelope {
        id: Some(&operation.id),
        since,
        command: operation.command(),
    };
    let inquiry = Inquiry::new(&engine.directory, &record.name);
    let reply = match connection.run(session, &envelope, operation.deadline).await {
        Ok(reply) => reply,
        Err(error) => {
            inquiry.failed(&error);
            operation.trail.tried(&record.name, error.name());
            return Err(AttemptError::Link(error));
        }
    };
    inquiry.answered();
    let outcome = reply
        .result
        .as_ref()
        .map_or_else(|error| error.kind.name(), |_| "ok");
    operation.trail.tried(&record.name, outcome);
    match &reply.result {
        Ok(_) if proves_leader => prove_leader(engine, record, inquiry.asked, &reply.position),
        Ok(_) => {}
        Err(error) => {
            note_error(engine, record, error);
            return Err(AttemptError::BackEnd(error.clone()));
        }
    }
    Ok(reply)
}

fn prove_leader(engine: &Arc<Engine>, record: &InstanceRecord, asked: Instant, position: &Option<Position>) {
    if let Some(position) = position {
        engine
            .directory
            .leader_proved(&record.group, &record.name, asked, *position);
    }
}

fn note_error(engine: &Arc<Engine>, record: &InstanceRecord, error: &BackEndError) {
    match error.kind {
        BackEndErrorKind::ReadOnly => {
            engine.directory.leader_denied(&record.group, &record.name);
            engine.wake_monitor();
        }
        BackEndErrorKind::Behind => engine.directory.behind(&record.name),
        BackEndErrorKind::Busy => engine.directory.avoid(&record.name),
        _ => {}
    }
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
