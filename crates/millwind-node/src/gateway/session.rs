//! One caller's session: reads batches, has them run, writes whole answers,
//! and keeps the session's token.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::debug;
use millwind_core::classify::StatementKind;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::TenantName;
use millwind_core::position::Position;
use millwind_core::tenant::TenantSettings;
use millwind_core::token::SessionToken;
use millwind_wire::Intent;
use pgwire::messages::response::{ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;

use super::accounting::{CallerAnswer, publish_decision, record};
use super::batch::{self, Batch, PreparedStatements};
use super::caller_settings::CallerSettings;
use super::dispatch::{Dispatch, Outcome, Pin, Refusal};
use super::request::{self, Action, Terms};
use super::startup::ClientPlace;
use super::{Gateway, TenantRuntime, local_answer};
use crate::clock;
use crate::pg::{error_answer, established_context, put_backend};

const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Messages of one extended batch at most.
const MAXIMUM_BATCH_MESSAGES: usize = 10_000;
/// During a planned stop a caller is told once it has been idle this long.
const DRAIN_QUIET: Duration = Duration::from_millis(150);
const SESSION_PARAMETER: &str = "millwind.session";

#[derive(Debug)]
enum Transaction {
    None,
    Open(Pin),
    /// Failed by the proxy; waits for the caller's ROLLBACK, as a back end
    /// would, so that nothing behind it runs by itself.
    Failed,
}

/// One caller's session.
#[derive(Debug)]
pub struct Session {
    stream: TcpStream,
    buffer: BytesMut,
    pending: Vec<PgWireFrontendMessage>,
    tenant: TenantName,
    caller: CallerSettings,
    prepared: PreparedStatements,
    transaction: Transaction,
    token: Option<SessionToken>,
    /// Position of the session's own last write; what it has read may be
    /// further on, and be discarded by a failover without harm.
    written: Option<Position>,
    told_token: Option<Position>,
    runtime: Arc<TenantRuntime>,
    _place: ClientPlace,
}

/// What came from the caller.
enum Incoming {
    Batch(Vec<PgWireFrontendMessage>),
    Closed,
}

impl Session {
    /// A session that has finished its startup.
    pub fn new(
        stream: TcpStream,
        buffer: BytesMut,
        tenant: TenantName,
        mut caller: CallerSettings,
        runtime: Arc<TenantRuntime>,
        place: ClientPlace,
    ) -> Self {
        let token = caller.session.take().map(|token| *token);
        Session {
            stream,
            buffer,
            pending: Vec::new(),
            tenant,
            caller,
            prepared: PreparedStatements::new(),
            transaction: Transaction::None,
            written: token.as_ref().map(|token: &SessionToken| token.position),
            token,
            told_token: None,
            runtime,
            _place: place,
        }
    }
}

/// Serves a session until the caller leaves or the node has drained it.
pub async fn run(mut session: Session, gateway: &Arc<Gateway>) {
    let ended = session.serve(gateway).await;
    if let Transaction::Open(pin) = &session.transaction {
        Dispatch::free(gateway, pin);
    }
    match ended {
        Ok(()) => debug!("event=session_closed tenant={}", session.tenant),
        Err(error) => debug!(
            "event=session_lost tenant={} error={:?}",
            session.tenant,
            error.to_string()
        ),
    }
}

impl Session {
    async fn serve(&mut self, gateway: &Arc<Gateway>) -> Result<(), std::io::Error> {
        let mut draining = gateway.draining.subscribe();
        loop {
            let idle = matches!(self.transaction, Transaction::None);
            let stopping = *draining.borrow_and_update();
            let incoming = tokio::select! {
                biased;
                incoming = self.next_batch() => incoming?,
                () = tokio::time::sleep(DRAIN_QUIET), if stopping && idle => return self.say_goodbye().await,
                _ = draining.changed(), if !stopping => continue,
            };
            match incoming {
                Incoming::Closed => return Ok(()),
                Incoming::Batch(messages) if is_goodbye(&messages) => return Ok(()),
                // Boxed, so that an idle session stays small.
                Incoming::Batch(messages) => Box::pin(self.handle(gateway, messages)).await?,
            }
            if self.buffer.is_empty() {
                self.buffer = BytesMut::new();
            }
        }
    }

    async fn say_goodbye(&mut self) -> Result<(), std::io::Error> {
        let mut out = BytesMut::new();
        put_backend(
            &mut out,
            &error_answer::error_response(ErrorKind::Draining, true, ""),
        )
        .map_err(encode_error)?;
        self.stream.write_all(&out).await?;
        self.stream.shutdown().await
    }

    /// The next whole batch. Cancel safe: messages read so far are kept.
    async fn next_batch(&mut self) -> Result<Incoming, std::io::Error> {
        loop {
            if self.decode_batch()? {
                return Ok(Incoming::Batch(std::mem::take(&mut self.pending)));
            }
            // Waits without a buffer, so that idle sessions hold none.
            self.stream.ready(Interest::READABLE).await?;
            self.buffer.reserve(READ_CHUNK_BYTES);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return Ok(Incoming::Closed),
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Decodes what the buffer holds; true when a batch is whole.
    fn decode_batch(&mut self) -> Result<bool, std::io::Error> {
        let context = established_context();
        let damaged = |text: String| std::io::Error::new(std::io::ErrorKind::InvalidData, text);
        loop {
            if self.pending.len() > MAXIMUM_BATCH_MESSAGES {
                return Err(damaged("batch has too many messages".to_owned()));
            }
            let decoded = PgWireFrontendMessage::decode(&mut self.buffer, &context);
            let Some(message) = decoded.map_err(|error| damaged(error.to_string()))? else {
                return Ok(false);
            };
            let last = ends_batch(&message);
            self.pending.push(message);
            if last {
                return Ok(true);
            }
        }
    }

    async fn handle(
        &mut self,
        gateway: &Arc<Gateway>,
        messages: Vec<PgWireFrontendMessage>,
    ) -> Result<(), std::io::Error> {
        match self.result_of(gateway, messages).await {
            Ok(answer) => self.answer(&answer.messages, answer.transaction_status).await,
            Err(refusal) => {
                self.fail_transaction(gateway);
                self.refuse(&refusal).await
            }
        }
    }

    async fn result_of(
        &mut self,
        gateway: &Arc<Gateway>,
        messages: Vec<PgWireFrontendMessage>,
    ) -> Result<CallerAnswer, Refusal> {
        let batch = self
            .build(messages)
            .map_err(|error| Refusal::new(ErrorKind::Unsupported, error))?;
        let config = gateway.control.config();
        let settings = config
            .tenants
            .get(&self.tenant)
            .cloned()
            .ok_or_else(|| Refusal::new(ErrorKind::UnknownTenant, &self.tenant))?;
        let started = clock::now();
        let (kind, result) = self.run_batch(gateway, &settings, &batch, started).await;
        let micros = clock::now().0 - started.0;
        if kind != "local" {
            record(gateway, kind, &result, micros);
        }
        result
    }

    /// A statement refused inside a transaction fails the whole of it, as a
    /// back end would, so that a COMMIT behind it commits nothing partial.
    fn fail_transaction(&mut self, gateway: &Gateway) {
        if let Transaction::Open(pin) = &self.transaction {
            Dispatch::free(gateway, pin);
            self.transaction = Transaction::Failed;
        }
    }

    fn build(&mut self, mut messages: Vec<PgWireFrontendMessage>) -> Result<Batch, batch::BatchError> {
        if let Some(PgWireFrontendMessage::Query(query)) = messages.last() {
            if messages.len() > 1 {
                return Err(batch::BatchError::Message("mixed simple and extended"));
            }
            return batch::simple(&query.query);
        }
        let statements = &mut self.prepared;
        batch::extended(std::mem::take(&mut messages), statements)
    }

    async fn run_batch(
        &mut self,
        gateway: &Arc<Gateway>,
        settings: &Arc<TenantSettings>,
        batch: &Batch,
        started: millwind_core::Instant,
    ) -> (&'static str, Result<CallerAnswer, Refusal>) {
        match &self.transaction {
            Transaction::Failed => return ("local", self.in_failed_transaction(batch)),
            Transaction::Open(pin) => {
                let pin = pin.clone();
                return self.in_transaction(gateway, settings, batch, &pin).await;
            }
            Transaction::None => {}
        }
        let action = request::action(&batch.classified, batch.executes);
        match action {
            Action::Local => return ("local", self.answer_locally(batch)),
            Action::Unsupported(detail) => {
                return ("local", Err(Refusal::new(ErrorKind::Unsupported, detail)));
            }
            _ => {}
        }
        if let Err(reason) = gateway.control.view().may_serve(started) {
            return ("read", Err(Refusal::new(ErrorKind::NotServing, reason)));
        }
        let (name, intent) = match action {
            Action::Begin => ("begin", Intent::Begin),
            Action::Write => ("write", Intent::Write),
            _ => ("read", Intent::Read),
        };
        let read = intent == Intent::Read;
        let terms = match request::terms(&batch.classified, read, settings, &mut self.caller) {
            Ok(terms) => terms,
            Err(error) => return (name, Err(Refusal::new(ErrorKind::InvalidSetting, error))),
        };
        if intent == Intent::Begin && !terms.request_key.is_empty() {
            // The id belongs to the whole transaction and is used at its end.
            self.caller.request_id = Some(terms.request_key.as_str().into());
        }
        let result = self
            .dispatch(gateway, settings, batch, &terms, intent, started)
            .await;
        (name, result)
    }

    async fn dispatch(
        &mut self,
        gateway: &Arc<Gateway>,
        settings: &Arc<TenantSettings>,
        batch: &Batch,
        terms: &Terms,
        intent: Intent,
        started: millwind_core::Instant,
    ) -> Result<CallerAnswer, Refusal> {
        let runtime = self.runtime.clone();
        let mut dispatch = new_dispatch(gateway, settings, &runtime, terms, batch)?;
        let token = match intent {
            Intent::Read | Intent::Begin => self.token_or_floor(settings, &dispatch).await?,
            _ => None,
        };
        let result = match intent {
            Intent::Read => match dispatch.read(token).await {
                Err(refusal) if refusal.kind == ErrorKind::SessionDiscarded && self.written < token => {
                    self.forget_reads(settings);
                    dispatch.read(self.written).await
                }
                result => result,
            },
            _ => dispatch.on_primary(intent, token).await,
        };
        if let (Ok(outcome), true) = (&result, intent != Intent::Read) {
            self.written = self.written.max(outcome.position);
        }
        publish_decision(&dispatch, intent, &result, started);
        let outcome = result?;
        self.conclude(settings, batch, outcome)
    }

    async fn in_transaction(
        &mut self,
        gateway: &Arc<Gateway>,
        settings: &Arc<TenantSettings>,
        batch: &Batch,
        pin: &Pin,
    ) -> (&'static str, Result<CallerAnswer, Refusal>) {
        if let Some(detail) = request::unsupported(&batch.classified) {
            return ("local", Err(Refusal::new(ErrorKind::Unsupported, detail)));
        }
        if request::sets_only(&batch.classified) {
            return ("local", self.answer_locally(batch));
        }
        let kinds = &batch.classified.kinds;
        let commits = batch.executes && kinds.contains(&StatementKind::Commit);
        let (name, intent) = if commits {
            ("commit", Intent::Commit)
        } else {
            ("continue", Intent::Continue)
        };
        // A request id is kept for the commit.
        let terms = match request::terms(&batch.classified, !commits, settings, &mut self.caller) {
            Ok(terms) => terms,
            Err(error) => return (name, Err(Refusal::new(ErrorKind::InvalidSetting, error))),
        };
        let runtime = self.runtime.clone();
        let dispatch = match new_dispatch(gateway, settings, &runtime, &terms, batch) {
            Ok(dispatch) => dispatch,
            Err(refusal) => return (name, Err(refusal)),
        };
        let started = clock::now();
        let result = dispatch.in_transaction(pin, intent).await;
        publish_decision(&dispatch, intent, &result, started);
        match result {
            Ok(outcome) => {
                self.written = self.written.max(outcome.position);
                (name, self.conclude(settings, batch, outcome))
            }
            Err(refusal) => {
                if commits {
                    Dispatch::free(gateway, pin);
                    self.transaction = Transaction::None;
                }
                (name, Err(refusal))
            }
        }
    }

    fn in_failed_transaction(&mut self, batch: &Batch) -> Result<CallerAnswer, Refusal> {
        let ends = |kind: &StatementKind| matches!(kind, StatementKind::Commit | StatementKind::Rollback);
        if batch.classified.kinds.iter().any(ends) {
            self.transaction = Transaction::None;
            self.caller.request_id = None;
            // A failed transaction is rolled back whichever way it is ended.
            return self.local_answer(batch, &[StatementKind::Rollback]);
        }
        Err(Refusal::new(
            ErrorKind::TransactionLost,
            "statements are ignored until ROLLBACK",
        ))
    }

    fn answer_locally(&mut self, batch: &Batch) -> Result<CallerAnswer, Refusal> {
        if batch.executes {
            for kind in &batch.classified.kinds {
                if let StatementKind::SetProxy { name, value } = kind {
                    self.caller
                        .set(name, value)
                        .map_err(|error| Refusal::new(ErrorKind::InvalidSetting, error))?;
                }
            }
            if let Some(token) = self.caller.session.take() {
                self.written = Some(token.position);
                self.token = Some(*token);
            }
        }
        self.local_answer(batch, &batch.classified.kinds)
    }

    fn local_answer(&self, batch: &Batch, kinds: &[StatementKind]) -> Result<CallerAnswer, Refusal> {
        let messages = local_answer::encode(batch, kinds, |name| self.show(name))
            .map_err(|error| Refusal::new(ErrorKind::Unsupported, error))?;
        Ok(CallerAnswer {
            messages,
            transaction_status: self.status(),
            replica: None,
        })
    }

    fn show(&self, name: &str) -> String {
        match name {
            "session" => self.token.as_ref().map(ToString::to_string).unwrap_or_default(),
            "class" => self.caller.class.as_deref().unwrap_or_default().to_owned(),
            "request_id" => self.caller.request_id.as_deref().unwrap_or_default().to_owned(),
            "staleness_ms" => self
                .caller
                .staleness_ms
                .map(|value| value.to_string())
                .unwrap_or_default(),
            _ => String::new(),
        }
    }

    /// The session's position in the tenant's group. A token of another group
    /// says nothing there.
    fn token_in(&self, settings: &TenantSettings) -> Option<Position> {
        self.token
            .as_ref()
            .filter(|token| token.group == settings.group)
            .map(|token| token.position)
    }

    fn raise_token(&mut self, settings: &TenantSettings, position: Option<Position>) {
        let Some(position) = position else { return };
        if self.token_in(settings).is_none_or(|held| position > held) {
            self.token = Some(SessionToken {
                group: settings.group.clone(),
                position,
            });
        }
    }

    /// The position the session must see: its token, or a floor for one that
    /// has none yet.
    async fn token_or_floor(
        &mut self,
        settings: &TenantSettings,
        dispatch: &Dispatch<'_>,
    ) -> Result<Option<Position>, Refusal> {
        if let Some(position) = self.token_in(settings) {
            return Ok(Some(position));
        }
        let floor = dispatch.floor().await?;
        self.written = floor;
        self.raise_token(settings, floor);
        Ok(floor)
    }

    /// Takes the token back to the session's own last write.
    fn forget_reads(&mut self, settings: &TenantSettings) {
        self.token = self.written.map(|position| SessionToken {
            group: settings.group.clone(),
            position,
        });
    }

    fn conclude(
        &mut self,
        settings: &TenantSettings,
        batch: &Batch,
        outcome: Outcome,
    ) -> Result<CallerAnswer, Refusal> {
        self.raise_token(settings, outcome.position);
        self.transaction = match outcome.pin {
            Some(pin) => Transaction::Open(pin),
            None => Transaction::None,
        };
        let messages = batch
            .caller_answer(outcome.messages)
            .map_err(|error| Refusal::new(ErrorKind::AnswerTooLarge, error))?;
        Ok(CallerAnswer {
            messages,
            transaction_status: status_of(outcome.transaction_status),
            replica: Some(!outcome.primary),
        })
    }

    fn status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Open(_) => TransactionStatus::Transaction,
            Transaction::Failed => TransactionStatus::Error,
        }
    }

    async fn refuse(&mut self, refusal: &Refusal) -> Result<(), std::io::Error> {
        let mut out = BytesMut::new();
        let error = error_answer::error_response(refusal.kind, false, &refusal.detail);
        put_backend(&mut out, &error).map_err(encode_error)?;
        let status = self.status();
        self.answer(&out, status).await
    }

    /// Writes a whole answer, the new token and the ready message, in one go.
    async fn answer(&mut self, messages: &[u8], status: TransactionStatus) -> Result<(), std::io::Error> {
        let mut out = BytesMut::with_capacity(messages.len() + 64);
        out.extend_from_slice(messages);
        let position = self.token.as_ref().map(|token| token.position);
        if let Some(token) = self.token.as_ref().filter(|_| position != self.told_token) {
            let parameter = ParameterStatus::new(SESSION_PARAMETER.to_owned(), token.to_string());
            put_backend(&mut out, &PgWireBackendMessage::ParameterStatus(parameter)).map_err(encode_error)?;
            self.told_token = position;
        }
        let ready = PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status));
        put_backend(&mut out, &ready).map_err(encode_error)?;
        self.stream.write_all(&out).await
    }
}

fn new_dispatch<'a>(
    gateway: &'a Arc<Gateway>,
    settings: &'a TenantSettings,
    runtime: &'a TenantRuntime,
    terms: &'a Terms,
    batch: &'a Batch,
) -> Result<Dispatch<'a>, Refusal> {
    let config = gateway.control.config();
    let spec = config
        .groups
        .get(&settings.group)
        .cloned()
        .ok_or_else(|| Refusal::new(ErrorKind::NotServing, "the tenant's group is not configured"))?;
    Ok(Dispatch {
        gateway,
        tenant: settings,
        runtime,
        spec,
        terms,
        batch: &batch.bytes,
        weighed: Vec::new(),
    })
}

fn status_of(byte: u8) -> TransactionStatus {
    TransactionStatus::try_from(byte).unwrap_or(TransactionStatus::Idle)
}

fn is_goodbye(messages: &[PgWireFrontendMessage]) -> bool {
    matches!(messages.last(), Some(PgWireFrontendMessage::Terminate(_)))
}

fn ends_batch(message: &PgWireFrontendMessage) -> bool {
    matches!(
        message,
        PgWireFrontendMessage::Query(_)
            | PgWireFrontendMessage::Sync(_)
            | PgWireFrontendMessage::Terminate(_)
            | PgWireFrontendMessage::Flush(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_)
    )
}

fn encode_error(error: pgwire::error::PgWireError) -> std::io::Error {
    std::io::Error::other(error.to_string())
}
