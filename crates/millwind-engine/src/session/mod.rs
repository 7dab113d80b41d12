//! A caller's session: reads its messages, keeps its values, prepared
//! statements and transaction, and answers each statement exactly once.

mod attempt;
mod caller;
mod reads;
mod trail;
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
use millwind_core::session_state::{Access, PreparedStatement, SessionState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::answer::{Answer, Failure, Refusal, Success};
use crate::backend::ConnectionUser;
use crate::catalog::Database;
use crate::clock;
use crate::directory::Written;
use crate::node::{Engine, Phase};
use crate::statement::{CallerMessage, Command, Request, Statement, TransactionState};
use caller::Terms;
use trail::Trail;
use transaction::OpenTransaction;

const READ_CAPACITY: usize = 2_048;
/// Taken off a statement's time-out, so that the answer arrives within it, in
/// milliseconds.
const ANSWER_MARGIN_MS: u64 = 25;
/// One of so many statements that went as planned is logged.
const PLAIN_SAMPLE: u64 = 500;
/// A session is closed during a planned stop once it has rested for this long.
const RESTING: Duration = Duration::from_millis(250);

/// One caller's session.
pub struct Session {
    engine: Arc<Engine>,
    stream: TcpStream,
    input: BytesMut,
    database: DatabaseName,
    /// Digest of the caller's key.
    key: Option<KeyDigest>,
    state: Arc<SessionState>,
    /// The session's last commit, with the group that holds it.
    written: Option<(GroupName, Written)>,
    transaction: Option<OpenTransaction>,
    /// Number of the session on this node.
    number: u64,
    /// What was tried for the present statement.
    trail: Trail,
}

/// What ended the wait for a message.
enum Event {
    Message(CallerMessage),
    Closed,
    Malformed,
    TransactionIdle,
    /// Nothing may be sent any more to the instance of the open transaction.
    Evacuated,
    /// Another configuration is in force.
    Configured,
    Stop,
}

/// One statement on its way, with the terms it runs under.
#[derive(Debug, Clone)]
struct Operation {
    database: Arc<Database>,
    user: ConnectionUser,
    /// Regions in which it may run.
    regions: AllowedRegions,
    id: String,
    text: String,
    prepared: Option<(PreparedStatement, String)>,
    access: Access,
    arrived: Instant,
    deadline: Instant,
    trail: Trail,
}

impl Operation {
    fn command(&self) -> Command<'_> {
        match &self.prepared {
            Some((statement, arguments)) => Command::Execute { statement, arguments },
            None => Command::Text(&self.text),
        }
    }

    /// The same with a deadline no later than `limit` from now, if there is one.
    fn within(&self, limit: Option<Duration>) -> Operation {
        let limited = limit.map(|limit| clock::now().plus_millis(limit.as_millis() as u64));
        Operation {
            deadline: limited.map_or(self.deadline, |limited| limited.min(self.deadline)),
            ..self.clone()
        }
    }

    /// When the caller should have the answer.
    fn target_time(&self) -> Instant {
        let target_ms = self.database.target_latency_ms;
        self.arrived
            .plus_millis(target_ms.saturating_sub(ANSWER_MARGIN_MS))
    }

    fn needed(&self) -> Option<&PreparedStatement> {
        self.prepared.as_ref().map(|(statement, _)| statement)
    }

    /// Tells that the operation needs its group's leader.
    fn needs_leader(&self, engine: &Engine) {
        if engine.leader_demands.is_counted() {
            let worth = statement_weight(self.database.priority);
            engine.leader_demands.note(self.group(), &self.regions, worth);
        }
        engine.directory.used(self.group(), None);
    }

    fn group(&self) -> &GroupName {
        &self.database.settings.group
    }
}

impl Session {
    /// Serves a caller until it leaves, or until the node stops.
    pub async fn serve(engine: Arc<Engine>, stream: TcpStream, number: u64) {
        let mut session = Session {
            engine,
            stream,
            input: BytesMut::with_capacity(READ_CAPACITY),
            database: DatabaseName::from(""),
            key: None,
            state: Arc::default(),
            written: None,
            transaction: None,
            number,
            trail: Trail::default(),
        };
        if session.start().await {
            session.run().await;
        }
    }

    /// Reads the startup message; true when the session is open.
    async fn start(&mut self) -> bool {
        let limit = Duration::from_secs(10);
        let message = tokio::time::timeout(limit, self.next_message()).await;
        let Ok(Event::Message(CallerMessage::Startup { database, key })) = message else {
            return false;
        };
        self.database = DatabaseName(database);
        self.key = key;
        let mut output = BytesMut::new();
        let accepted = self.terms_in_force();
        match &accepted {
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
        self.stream.write_all(&output).await.is_ok() && accepted.is_ok()
    }

    async fn run(&mut self) {
        let mut versions = self.engine.directory.config_versions();
        loop {
            match self.next_event(&mut versions).await {
                Event::Message(CallerMessage::Request(request)) => {
                    let answer = self.handle(request).await;
                    if self.send(&answer).await.is_err() || self.has_ended() {
                        return;
                    }
                }
                Event::Evacuated => self.check_evacuation(),
                Event::TransactionIdle => self.abandon_transaction("transaction rested too long"),
                Event::Configured => {
                    self.check_transaction();
                    if self.has_ended() {
                        return;
                    }
                }
                Event::Message(_) | Event::Closed | Event::Malformed | Event::Stop => return,
            }
        }
    }

    /// The next message, the end of the connection, or the time to act.
    async fn next_event(&mut self, versions: &mut watch::Receiver<u64>) -> Event {
        let idle_limit = self.transaction_idle_limit();
        let mut phase = self.engine.phase.subscribe();
        let is_in_transaction = self.transaction.is_some();
        let zone = self.transaction_zone();
        let engine = self.engine.clone();
        if *phase.borrow_and_update() == Phase::Running {
            tokio::select! {
                event = self.next_message() => return event,
                () = sleep_or_forever(idle_limit) => return Event::TransactionIdle,
                Ok(()) = versions.changed() => return Event::Configured,
                () = closed_by_evacuation(&engine, zone.as_ref()) => return Event::Evacuated,
                _ = phase.changed() => {}
            }
        }
        tokio::select! {
            biased;
            event = self.next_message() => event,
            () = closed_by_evacuation(&engine, zone.as_ref()) => Event::Evacuated,
            () = sleep_or_forever(idle_limit) => Event::TransactionIdle,
            () = engine.may_close_session(is_in_transaction, RESTING) => {
                if is_in_transaction {
                    Event::TransactionIdle
                } else {
                    Event::Stop
                }
            }
        }
    }

    /// The zone of the instance that the open transaction runs on.
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

    async fn next_message(&mut self) -> Event {
        loop {
            match self.engine.caller_codec.decode(&mut self.input) {
                Err(_) => return Event::Malformed,
                Ok(Some(message)) => return Event::Message(message),
                Ok(None) => {}
            }
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return Event::Closed,
                Ok(_) => {}
            }
        }
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

    /// Answers one statement.
    async fn handle(&mut self, request: Request) -> Answer {
        let arrived = clock::now();
        let name = request.statement.as_ref().map_or("malformed", statement_name);
        let id = request.id.clone();
        self.trail = Trail::begin();
        let answer = self.dispatch(request, arrived).await;
        let micros = clock::now().0 - arrived.0;
        let outcome = answer.as_ref().map_or_else(Failure::name, |_| "ok");
        self.engine.metrics.answered(name, outcome, micros);
        self.log_request(&id, name, &answer, micros);
        answer
    }

    /// One line for each statement that failed, was tried more than once or
    /// came late, and for a sample of the others.
    fn log_request(&self, id: &str, name: &str, answer: &Answer, micros: u64) {
        let terms = self.terms_in_force().ok();
        let regions = terms
            .as_ref()
            .map(|terms| terms.regions.clone())
            .unwrap_or_default();
        let tenant = terms
            .as_ref()
            .map_or("unknown", |terms| terms.user.as_str())
            .to_owned();
        let database = terms.map(|terms| terms.database);
        let target_us = database
            .as_ref()
            .map_or(u64::MAX, |database| database.target_latency_ms * 1_000);
        let is_plain = answer.is_ok() && self.trail.count() <= 1 && micros <= target_us;
        let sample = if is_plain { PLAIN_SAMPLE } else { 1 };
        if !self.engine.request_log.is_sampled(sample) || !self.engine.request_log.admit() {
            return;
        }
        let (outcome, detail) = match answer {
            Ok(_) => ("ok", ""),
            Err(failure) => (failure.name(), failure.detail()),
        };
        let belief = database.map_or_else(String::new, |database| self.belief(&database.settings.group));
        info!(
            "event=request id={id} session={} database={} tenant={tenant} statement={name} outcome={outcome} micros={micros} sample={sample} config_version={} allowed_regions={regions} {belief} {} detail={detail:?}",
            self.number,
            self.database,
            self.engine.config_version(),
            self.trail,
        );
    }

    /// What the node believes of a group, with the age of the belief.
    fn belief(&self, group: &GroupName) -> String {
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
        self.check_caller()?;
        self.check_evacuation();
        let is_failed = self.transaction.as_ref().is_some_and(OpenTransaction::is_failed);
        if is_failed {
            return self.in_failed_transaction(&statement);
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
            local => self.change_state(local),
        }
    }

    /// Statements that concern the session alone.
    fn change_state(&mut self, statement: Statement) -> Answer {
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
        let terms = self.terms_in_force()?;
        self.engine.admit(&terms.user).await?;
        let operation = self.operation(terms, request, access, prepared, arrived);
        match access {
            Access::Read => self.single_read(operation).await,
            Access::Write => self.single_write(operation).await,
        }
    }

    /// A statement on these terms that arrived at `arrived`, with its deadline.
    fn operation(
        &self,
        terms: Terms,
        request: Request,
        access: Access,
        prepared: Option<(PreparedStatement, String)>,
        arrived: Instant,
    ) -> Operation {
        let limit = terms.database.settings.default_window_ms;
        let margin = ANSWER_MARGIN_MS.min(limit / 4);
        Operation {
            deadline: self
                .engine
                .statement_deadline(arrived.plus_millis(limit - margin)),
            database: terms.database,
            user: terms.user,
            regions: terms.regions,
            id: request.id,
            text: request.text,
            prepared,
            access,
            arrived,
            trail: self.trail.clone(),
        }
    }

    /// The session's last commit in this group.
    fn written_in(&self, group: &GroupName) -> Option<Written> {
        self.written
            .as_ref()
            .filter(|(held, _)| held == group)
            .map(|(_, written)| *written)
    }

    fn note_written(&mut self, group: &GroupName, position: Option<Position>) {
        if let Some(position) = position {
            let written = Written {
                position,
                acknowledged: clock::now(),
            };
            self.written = Some((group.clone(), written));
        }
    }
}

/// Waits until nothing may be sent any more to the instances of `zone`; forever without
/// one.
async fn closed_by_evacuation(engine: &Engine, zone: Option<&ZoneName>) {
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
