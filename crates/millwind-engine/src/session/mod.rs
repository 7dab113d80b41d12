//! Client sessions. A session reads the caller's messages, holds its variables,
//! prepared statements and open transaction, and sends exactly one answer per
//! statement.

mod attempt;
mod attempt_log;
mod caller;
mod reads;
mod transaction;
mod writes;

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::info;
use millwind_core::Instant;
use millwind_core::credential::KeyDigest;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::{DatabaseName, GroupName, ZoneName};
use millwind_core::lead_relocation::statement_weight;
use millwind_core::position::Position;
use millwind_core::session_commits::SessionCommits;
use millwind_core::session_state::{Access, PreparedStatement, SessionState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::answer::{Answer, Failure, Refusal, Success};
use crate::backend::ConnectionUser;
use crate::catalog::Database;
use crate::clock;
use crate::node::{Engine, Phase};
use crate::ports::CodecError;
use crate::statement::{CallerMessage, Command, Request, Statement, TransactionState};
use attempt_log::AttemptLog;
use caller::CallerContext;
use transaction::OpenTransaction;

const READ_BUFFER_BYTES: usize = 2_048;
/// Time in milliseconds that is reserved within a statement's timeout for
/// returning the answer to the caller.
const ANSWER_MARGIN_MS: u64 = 25;
/// One in this many routine statements is logged.
const ROUTINE_LOG_INTERVAL: u64 = 500;
/// Idle time after which a session is closed during a graceful shutdown.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(250);
/// Maximum time for which input is discarded after a malformed message, so that the caller can
/// read the error.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// The session of one client connection.
pub struct Session {
    engine: Arc<Engine>,
    stream: TcpStream,
    input: BytesMut,
    database: DatabaseName,
    /// Digest of the caller's key.
    key: Option<KeyDigest>,
    state: Arc<SessionState>,
    commits: SessionCommits,
    transaction: Option<OpenTransaction>,
    /// Identifies the session in this node's log lines.
    session_id: u64,
    /// Attempts made for the current statement.
    attempt_log: AttemptLog,
}

/// An event that the session loop handles.
enum SessionEvent {
    Message(CallerMessage),
    Closed,
    /// The caller has violated the protocol.
    Malformed(CodecError),
    TransactionIdleTimeout,
    /// The evacuation of a zone has closed the open transaction's instance.
    InstanceEvacuated,
    /// A new configuration version has taken effect.
    ConfigChanged,
    Stop,
}

/// A statement to execute, with its caller's database, identity and deadline.
#[derive(Debug, Clone)]
struct Operation {
    database: Arc<Database>,
    user: ConnectionUser,
    /// Regions in which the statement may run.
    regions: AllowedRegions,
    id: String,
    text: String,
    prepared: Option<(PreparedStatement, String)>,
    access: Access,
    arrived: Instant,
    deadline: Instant,
    attempt_log: AttemptLog,
}

impl Operation {
    fn command(&self) -> Command<'_> {
        match &self.prepared {
            Some((statement, arguments)) => Command::Execute { statement, arguments },
            None => Command::Text(&self.text),
        }
    }

    /// Returns a copy whose deadline is at most `limit` from now.
    fn with_time_limit(&self, limit: Option<Duration>) -> Operation {
        let limited = limit.map(|limit| clock::now().plus_millis(limit.as_millis() as u64));
        Operation {
            deadline: limited.map_or(self.deadline, |limited| limited.min(self.deadline)),
            ..self.clone()
        }
    }

    /// Returns the time by which the database's target latency is met.
    fn target_time(&self) -> Instant {
        let target_ms = self.database.target_latency_ms;
        self.arrived
            .plus_millis(target_ms.saturating_sub(ANSWER_MARGIN_MS))
    }

    fn prepared_statement(&self) -> Option<&PreparedStatement> {
        self.prepared.as_ref().map(|(statement, _)| statement)
    }

    /// Records that the operation needs the leader of its group.
    fn record_leader_demand(&self, engine: &Engine) {
        if engine.leader_demands.is_counted() {
            let weight = statement_weight(self.database.priority);
            engine.leader_demands.record(self.group(), &self.regions, weight);
        }
        engine.directory.record_use(self.group(), None);
    }

    fn group(&self) -> &GroupName {
        &self.database.settings.group
    }
}

impl Session {
    /// Serves a client until it disconnects, its key is revoked or the node stops.
    pub async fn serve(engine: Arc<Engine>, stream: TcpStream, session_id: u64) {
        let mut session = Session {
            engine,
            stream,
            input: BytesMut::with_capacity(READ_BUFFER_BYTES),
            database: DatabaseName::from(""),
            key: None,
            state: Arc::default(),
            commits: SessionCommits::default(),
            transaction: None,
            session_id,
            attempt_log: AttemptLog::default(),
        };
        if session.open().await {
            session.run().await;
        }
    }

    /// Reads and answers the startup message. Returns whether the session was
    /// accepted.
    async fn open(&mut self) -> bool {
        let limit = Duration::from_secs(10);
        let (database, key) = match tokio::time::timeout(limit, self.next_message()).await {
            Ok(SessionEvent::Message(CallerMessage::Startup { database, key })) => (database, key),
            Ok(SessionEvent::Malformed(error)) => {
                self.reject_malformed(&error).await;
                return false;
            }
            _ => return false,
        };
        self.database = DatabaseName(database);
        self.key = key;
        let mut output = BytesMut::new();
        let context = self.caller_context();
        match &context {
            Ok(_) => self.engine.caller_codec.encode_startup_complete(&mut output),
            Err(refusal) => {
                info!(
                    "event=session_refused database={} kind={} config_version={}",
                    self.database,
                    refusal.kind.name(),
                    self.engine.config_version()
                );
                let answer = Err(Failure::Refused(refusal.clone()));
                self.engine.caller_codec.encode_final_error(&mut output, &answer);
            }
        }
        self.stream.write_all(&output).await.is_ok() && context.is_ok()
    }

    async fn run(&mut self) {
        let mut versions = self.engine.directory.config_versions();
        loop {
            match self.next_event(&mut versions).await {
                SessionEvent::Message(CallerMessage::Request(request)) => {
                    let answer = self.handle(request).await;
                    if self.send(&answer).await.is_err() || self.must_close() {
                        return;
                    }
                }
                SessionEvent::InstanceEvacuated => self.abandon_if_evacuated(),
                SessionEvent::TransactionIdleTimeout => {
                    self.abandon_transaction("transaction rested too long")
                }
                SessionEvent::ConfigChanged => {
                    self.abandon_if_key_revoked();
                    if self.must_close() {
                        return;
                    }
                }
                SessionEvent::Malformed(error) => return self.reject_malformed(&error).await,
                SessionEvent::Message(_) | SessionEvent::Closed | SessionEvent::Stop => return,
            }
        }
    }

    /// Waits for the next message or other event.
    async fn next_event(&mut self, versions: &mut watch::Receiver<u64>) -> SessionEvent {
        let idle_limit = self.transaction_idle_limit();
        let mut phase = self.engine.phase.subscribe();
        let is_in_transaction = self.transaction.is_some();
        let zone = self.transaction_zone();
        let engine = self.engine.clone();
        if *phase.borrow_and_update() == Phase::Running {
            tokio::select! {
                event = self.next_message() => return event,
                () = sleep_or_forever(idle_limit) => return SessionEvent::TransactionIdleTimeout,
                Ok(()) = versions.changed() => return SessionEvent::ConfigChanged,
                () = wait_until_zone_closed(&engine, zone.as_ref()) => return SessionEvent::InstanceEvacuated,
                _ = phase.changed() => {}
            }
        }
        tokio::select! {
            biased;
            event = self.next_message() => event,
            () = wait_until_zone_closed(&engine, zone.as_ref()) => SessionEvent::InstanceEvacuated,
            () = sleep_or_forever(idle_limit) => SessionEvent::TransactionIdleTimeout,
            () = engine.wait_until_session_closable(is_in_transaction, IDLE_BEFORE_CLOSE) => {
                if is_in_transaction {
                    SessionEvent::TransactionIdleTimeout
                } else {
                    SessionEvent::Stop
                }
            }
        }
    }

    /// Returns the zone of the instance that the open transaction runs on.
    fn transaction_zone(&self) -> Option<ZoneName> {
        let record = self.transaction.as_ref()?.record()?;
        Some(record.zone.clone())
    }

    fn transaction_idle_limit(&self) -> Option<Duration> {
        let open = self.transaction.as_ref()?;
        if open.is_failed() {
            return None;
        }
        let config = self.engine.directory.config()?;
        Some(Duration::from_millis(config.transaction_idle_ms.max(1)))
    }

    async fn next_message(&mut self) -> SessionEvent {
        loop {
            match self.engine.caller_codec.decode(&mut self.input) {
                Err(error) => return SessionEvent::Malformed(error),
                Ok(Some(message)) => return SessionEvent::Message(message),
                Ok(None) => {}
            }
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return SessionEvent::Closed,
                Ok(_) => {}
            }
        }
    }

    /// Tells the caller why its input is rejected, ahead of closing the session.
    async fn reject_malformed(&mut self, error: &CodecError) {
        info!(
            "event=session_malformed session={} database={} error={:?}",
            self.session_id,
            self.database,
            error.to_string()
        );
        self.abandon_transaction("malformed message");
        let refusal = Refusal::new(ErrorKind::Unsupported, error);
        let mut output = BytesMut::new();
        let answer = Err(Failure::Refused(refusal));
        self.engine.caller_codec.encode_final_error(&mut output, &answer);
        self.input = BytesMut::new();
        let _ = tokio::time::timeout(LINGER_TIME, self.close_after(&output)).await;
    }

    /// Sends `output` and closes the sending direction, and then discards input until the caller
    /// closes. Closing with unread input would reset the connection, which discards `output`.
    async fn close_after(&mut self, output: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(output).await?;
        self.stream.shutdown().await?;
        let mut discarded = [0; READ_BUFFER_BYTES];
        while self.stream.read(&mut discarded).await? > 0 {}
        Ok(())
    }

    async fn send(&mut self, answer: &Answer) -> std::io::Result<()> {
        let mut output = BytesMut::new();
        let state = self.transaction_state();
        self.engine.caller_codec.encode_answer(&mut output, answer, state);
        self.stream.write_all(&output).await
    }

    fn transaction_state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(open) if open.is_failed() => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }

    /// Executes one statement and records its outcome in metrics and the log.
    async fn handle(&mut self, request: Request) -> Answer {
        let arrived = clock::now();
        let name = request.statement.as_ref().map_or("malformed", statement_name);
        let id = request.id.clone();
        self.attempt_log = AttemptLog::begin();
        let answer = self.dispatch(request, arrived).await;
        let micros = clock::now().0 - arrived.0;
        let outcome = answer.as_ref().map_or_else(Failure::name, |_| "ok");
        self.engine.metrics.answered(name, outcome, micros);
        self.log_request(&id, name, &answer, micros);
        answer
    }

    /// Logs each statement that failed, needed more than one attempt or exceeded
    /// the target latency, and a sample of the others.
    fn log_request(&self, id: &str, name: &str, answer: &Answer, micros: u64) {
        let context = self.caller_context().ok();
        let regions = context
            .as_ref()
            .map(|context| context.regions.clone())
            .unwrap_or_default();
        let tenant = context
            .as_ref()
            .map_or("unknown", |context| context.user.as_str())
            .to_owned();
        let database = context.map(|context| context.database);
        let target_us = database
            .as_ref()
            .map_or(u64::MAX, |database| database.target_latency_ms * 1_000);
        let is_routine = answer.is_ok() && self.attempt_log.count() <= 1 && micros <= target_us;
        let sample = if is_routine { ROUTINE_LOG_INTERVAL } else { 1 };
        if !self.engine.request_log.is_sampled(sample) || !self.engine.request_log.admit() {
            return;
        }
        let (outcome, detail) = match answer {
            Ok(_) => ("ok", ""),
            Err(failure) => (failure.name(), failure.detail()),
        };
        let leader_summary = database.map_or_else(String::new, |database| {
            self.describe_leader(&database.settings.group)
        });
        info!(
            "event=request id={id} session={} database={} tenant={tenant} statement={name} outcome={outcome} micros={micros} sample={sample} config_version={} allowed_regions={regions} {leader_summary} {} detail={detail:?}",
            self.session_id,
            self.database,
            self.engine.config_version(),
            self.attempt_log,
        );
    }

    /// Formats the known leader of a group and the age of the latest observation
    /// for the log.
    fn describe_leader(&self, group: &GroupName) -> String {
        let directory = &self.engine.directory;
        let leader = directory.leader(group);
        let name = leader.as_ref().map_or("none", |leader| leader.instance.as_str());
        let term = leader
            .as_ref()
            .and_then(|leader| leader.term)
            .map_or(0, |term| term.0);
        let newest = directory.newest_observation(group);
        let age = newest.map_or_else(
            || "none".to_owned(),
            |newest| clock::now().millis_since(newest.asked).to_string(),
        );
        format!("group={group} leader={name} term={term} observed_ms_ago={age}")
    }

    async fn dispatch(&mut self, request: Request, arrived: Instant) -> Answer {
        let malformed = || Refusal::new(ErrorKind::Unsupported, "statement cannot be read");
        let Some(statement) = request.statement.clone() else {
            return Err(malformed().into());
        };
        self.check_credentials()?;
        self.abandon_if_evacuated();
        let is_failed = self.transaction.as_ref().is_some_and(OpenTransaction::is_failed);
        if is_failed {
            return self.answer_in_failed_transaction(&statement);
        }
        match statement {
            Statement::Begin { read_only } => self.begin(read_only),
            Statement::Commit => self.commit(request, arrived).await,
            Statement::Rollback => self.rollback(),
            Statement::Run { access } => self.execute(request, access, None, arrived).await,
            Statement::Execute { name, arguments } => {
                let Some(prepared) = self.state.prepared.get(&name).cloned() else {
                    return Err(Refusal::new(ErrorKind::Unsupported, "no such prepared statement").into());
                };
                let access = prepared.access;
                self.execute(request, access, Some((prepared, arguments)), arrived)
                    .await
            }
            session_statement => self.update_session_state(session_statement),
        }
    }

    /// Executes a statement that only changes the session's state.
    fn update_session_state(&mut self, statement: Statement) -> Answer {
        let state = Arc::make_mut(&mut self.state);
        match statement {
            Statement::Set { name, value } => {
                state.values.insert(name, value);
            }
            Statement::Prepare { name, statement } => {
                state.prepared.insert(name, statement);
            }
            Statement::Deallocate { name } if state.prepared.remove(&name).is_none() => {
                return Err(Refusal::new(ErrorKind::Unsupported, "no such prepared statement").into());
            }
            _ => {}
        }
        Ok(Success::default())
    }

    async fn execute(
        &mut self,
        request: Request,
        access: Access,
        prepared: Option<(PreparedStatement, String)>,
        arrived: Instant,
    ) -> Answer {
        if self.transaction.is_some() {
            let operation = self.operation_in_transaction(request, access, prepared, arrived)?;
            return self.run_in_transaction(operation).await;
        }
        let context = self.caller_context()?;
        self.engine.admit(&context.user).await?;
        let operation = self.operation(context, request, access, prepared, arrived);
        match access {
            Access::Read => self.single_read(operation).await,
            Access::Write => self.single_write(operation).await,
        }
    }

    /// Builds the operation of a request and computes its deadline from `arrived`.
    fn operation(
        &self,
        context: CallerContext,
        request: Request,
        access: Access,
        prepared: Option<(PreparedStatement, String)>,
        arrived: Instant,
    ) -> Operation {
        let limit = context.database.settings.default_window_ms;
        let margin = ANSWER_MARGIN_MS.min(limit / 4);
        Operation {
            deadline: self
                .engine
                .statement_deadline(arrived.plus_millis(limit - margin)),
            database: context.database,
            user: context.user,
            regions: context.regions,
            id: request.id,
            text: request.text,
            prepared,
            access,
            arrived,
            attempt_log: self.attempt_log.clone(),
        }
    }

    fn record_commit(&mut self, group: &GroupName, position: Option<Position>) {
        self.commits.record(group, position, clock::now());
    }
}

/// Waits until an evacuation closes the instances of `zone`. Never returns if
/// `zone` is `None`.
async fn wait_until_zone_closed(engine: &Engine, zone: Option<&ZoneName>) {
    match zone {
        Some(zone) => engine.wait_until_zone_closed(zone).await,
        None => std::future::pending().await,
    }
}

async fn sleep_or_forever(limit: Option<Duration>) {
    match limit {
        Some(limit) => tokio::time::sleep(limit).await,
        None => std::future::pending().await,
    }
}

fn statement_name(statement: &Statement) -> &'static str {
    match statement {
        Statement::Begin { .. } => "begin",
        Statement::Commit => "commit",
        Statement::Rollback => "rollback",
        Statement::Run { access: Access::Read } => "read",
        Statement::Run {
            access: Access::Write,
        } => "write",
        Statement::Set { .. } => "set",
        Statement::Prepare { .. } => "prepare",
        Statement::Execute { .. } => "execute",
        Statement::Deallocate { .. } => "deallocate",
    }
}
