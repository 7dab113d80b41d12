//! A client session: reads batches, executes them, writes the responses and keeps
//! the session token.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::debug;
use millwind_core::classify::StatementKind;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::TenantName;
use millwind_core::position::Position;
use millwind_core::session_progress::SessionProgress;
use millwind_core::tenant::TenantSettings;
use millwind_wire::Intent;
use pgwire::messages::response::{ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;

use super::batch::{self, Batch, PreparedStatements};
use super::client_settings::ClientSettings;
use super::dispatch::{BatchResponse, Dispatch, PinnedConnection, RequestError};
use super::request::{self, Action, RequestOptions};
use super::startup::ClientSlot;
use super::telemetry::{ClientResponse, publish_decision, record_request};
use super::{Gateway, TenantRuntime, local_response};
use crate::clock;
use crate::pg::{error_answer, established_context, put_backend};

const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Maximum number of messages in one batch.
const MAXIMUM_BATCH_MESSAGES: usize = 10_000;
/// While the node drains, a session is closed after being idle this long.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(150);
const SESSION_PARAMETER: &str = "millwind.session";

#[derive(Debug)]
enum Transaction {
    None,
    Open(PinnedConnection),
    /// Failed by the proxy. Statements are rejected until COMMIT or ROLLBACK, so that
    /// the rest of the transaction does not run outside it.
    Failed,
}

/// A client session.
#[derive(Debug)]
pub struct Session {
    stream: TcpStream,
    buffer: BytesMut,
    partial_batch: Vec<PgWireFrontendMessage>,
    tenant: TenantName,
    client_settings: ClientSettings,
    prepared: PreparedStatements,
    transaction: Transaction,
    progress: SessionProgress,
    runtime: Arc<TenantRuntime>,
    _slot: ClientSlot,
}

/// What the client sent.
enum Incoming {
    Batch(Vec<PgWireFrontendMessage>),
    Closed,
}

impl Session {
    /// Creates a session for a connection that has completed startup.
    pub fn new(
        stream: TcpStream,
        buffer: BytesMut,
        tenant: TenantName,
        mut client_settings: ClientSettings,
        runtime: Arc<TenantRuntime>,
        slot: ClientSlot,
    ) -> Self {
        let token = client_settings.session.take().map(|token| *token);
        Session {
            stream,
            buffer,
            partial_batch: Vec::new(),
            tenant,
            client_settings,
            prepared: PreparedStatements::new(),
            transaction: Transaction::None,
            progress: SessionProgress::with_token(token),
            runtime,
            _slot: slot,
        }
    }
}

/// Serves a session until the client disconnects or the node drains.
pub async fn run(mut session: Session, gateway: &Arc<Gateway>) {
    let result = session.serve(gateway).await;
    if let Transaction::Open(pin) = &session.transaction {
        Dispatch::release_pinned(gateway, pin);
    }
    match result {
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
            let is_idle = matches!(self.transaction, Transaction::None);
            let is_draining = *draining.borrow_and_update();
            let incoming = tokio::select! {
                biased;
                incoming = self.next_batch() => incoming?,
                () = tokio::time::sleep(DRAIN_IDLE_TIME), if is_draining && is_idle => return self.send_shutdown_error().await,
                _ = draining.changed(), if !is_draining => continue,
            };
            match incoming {
                Incoming::Closed => return Ok(()),
                Incoming::Batch(messages) if is_terminate(&messages) => return Ok(()),
                // Boxed to keep the future of an idle session small.
                Incoming::Batch(messages) => Box::pin(self.handle(gateway, messages)).await?,
            }
            if self.buffer.is_empty() {
                self.buffer = BytesMut::new();
            }
        }
    }

    async fn send_shutdown_error(&mut self) -> Result<(), std::io::Error> {
        let mut out = BytesMut::new();
        put_backend(
            &mut out,
            &error_answer::error_response(ErrorKind::Draining, true, ""),
        )
        .map_err(encode_error)?;
        self.stream.write_all(&out).await?;
        self.stream.shutdown().await
    }

    /// Returns the next complete batch. Cancel safe: messages read so far are kept.
    async fn next_batch(&mut self) -> Result<Incoming, std::io::Error> {
        loop {
            if self.decode_batch()? {
                return Ok(Incoming::Batch(std::mem::take(&mut self.partial_batch)));
            }
            // Waits without a read buffer, to save memory in idle sessions.
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

    /// Decodes buffered messages; returns whether the batch is complete.
    fn decode_batch(&mut self) -> Result<bool, std::io::Error> {
        let context = established_context();
        let invalid_data = |text: String| std::io::Error::new(std::io::ErrorKind::InvalidData, text);
        loop {
            if self.partial_batch.len() > MAXIMUM_BATCH_MESSAGES {
                return Err(invalid_data("batch exceeds the message limit".to_owned()));
            }
            let decoded = PgWireFrontendMessage::decode(&mut self.buffer, &context);
            let Some(message) = decoded.map_err(|error| invalid_data(error.to_string()))? else {
                return Ok(false);
            };
            let is_last = ends_batch(&message);
            self.partial_batch.push(message);
            if is_last {
                return Ok(true);
            }
        }
    }

    async fn handle(
        &mut self,
        gateway: &Arc<Gateway>,
        messages: Vec<PgWireFrontendMessage>,
    ) -> Result<(), std::io::Error> {
        match self.execute_batch(gateway, messages).await {
            Ok(response) => {
                self.send_response(&response.messages, response.transaction_status)
                    .await
            }
            Err(error) => {
                self.fail_transaction(gateway);
                self.send_error(&error).await
            }
        }
    }

    async fn execute_batch(
        &mut self,
        gateway: &Arc<Gateway>,
        messages: Vec<PgWireFrontendMessage>,
    ) -> Result<ClientResponse, RequestError> {
        let batch = self
            .build_batch(messages)
            .map_err(|error| RequestError::new(ErrorKind::Unsupported, error))?;
        let config = gateway.control.config();
        let settings = config
            .tenants
            .get(&self.tenant)
            .cloned()
            .ok_or_else(|| RequestError::new(ErrorKind::UnknownTenant, &self.tenant))?;
        let started = clock::now();
        let (kind, result) = self.run_batch(gateway, &settings, &batch, started).await;
        let elapsed_micros = clock::now().0 - started.0;
        if kind != "local" {
            record_request(gateway, kind, &result, elapsed_micros);
        }
        result
    }

    /// Marks an open transaction as failed and releases its connection, so that a later
    /// COMMIT cannot commit part of the transaction.
    fn fail_transaction(&mut self, gateway: &Gateway) {
        if let Transaction::Open(pin) = &self.transaction {
            Dispatch::release_pinned(gateway, pin);
            self.transaction = Transaction::Failed;
        }
    }

    fn build_batch(&mut self, mut messages: Vec<PgWireFrontendMessage>) -> Result<Batch, batch::BatchError> {
        if let Some(PgWireFrontendMessage::Query(query)) = messages.last() {
            if messages.len() > 1 {
                return Err(batch::BatchError::UnsupportedMessage("mixed simple and extended"));
            }
            return batch::from_simple_query(&query.query);
        }
        let statements = &mut self.prepared;
        batch::from_extended(std::mem::take(&mut messages), statements)
    }

    async fn run_batch(
        &mut self,
        gateway: &Arc<Gateway>,
        settings: &Arc<TenantSettings>,
        batch: &Batch,
        started: millwind_core::Instant,
    ) -> (&'static str, Result<ClientResponse, RequestError>) {
        match &self.transaction {
            Transaction::Failed => return ("local", self.run_in_failed_transaction(batch)),
            Transaction::Open(pin) => {
                let pin = pin.clone();
                return self.in_transaction(gateway, settings, batch, &pin).await;
            }
            Transaction::None => {}
        }
        let action = request::choose_action(&batch.classified, batch.executes);
        match action {
            Action::Local => return ("local", self.run_locally(batch)),
            Action::Unsupported(detail) => {
                return ("local", Err(RequestError::new(ErrorKind::Unsupported, detail)));
            }
            _ => {}
        }
        if let Err(reason) = gateway.control.view().may_serve(started) {
            return ("read", Err(RequestError::new(ErrorKind::NotServing, reason)));
        }
        let (name, intent) = match action {
            Action::Begin => ("begin", Intent::Begin),
            Action::Write => ("write", Intent::Write),
            _ => ("read", Intent::Read),
        };
        let is_read = intent == Intent::Read;
        let options =
            match request::request_options(&batch.classified, is_read, settings, &mut self.client_settings) {
                Ok(options) => options,
                Err(error) => return (name, Err(RequestError::new(ErrorKind::InvalidSetting, error))),
            };
        if intent == Intent::Begin && !options.request_key.is_empty() {
            // Keeps the request id for the commit of the transaction.
            self.client_settings.request_id = Some(options.request_key.as_str().into());
        }
        let result = self
            .dispatch(gateway, settings, batch, &options, intent, started)
            .await;
        (name, result)
    }

    async fn dispatch(
        &mut self,
        gateway: &Arc<Gateway>,
        settings: &Arc<TenantSettings>,
        batch: &Batch,
        options: &RequestOptions,
        intent: Intent,
        started: millwind_core::Instant,
    ) -> Result<ClientResponse, RequestError> {
        let runtime = self.runtime.clone();
        let mut dispatch = new_dispatch(gateway, settings, &runtime, options, batch)?;
        let token = match intent {
            Intent::Read | Intent::Begin => self.token_or_primary_position(settings, &dispatch).await?,
            _ => None,
        };
        let result = match intent {
            Intent::Read => match dispatch.read(token).await {
                Err(error) if error.kind == ErrorKind::SessionDiscarded => {
                    match self.progress.return_to_last_write(&settings.group) {
                        Some(written) => dispatch.read(Some(written)).await,
                        None => Err(error),
                    }
                }
                result => result,
            },
            _ => dispatch.execute_on_primary(intent, token).await,
        };
        if let (Ok(response), true) = (&result, intent != Intent::Read) {
            self.record_write(settings, response);
        }
        publish_decision(&dispatch, intent, &result, started);
        let response = result?;
        self.apply_response(settings, batch, response)
    }

    async fn in_transaction(
        &mut self,
        gateway: &Arc<Gateway>,
        settings: &Arc<TenantSettings>,
        batch: &Batch,
        pin: &PinnedConnection,
    ) -> (&'static str, Result<ClientResponse, RequestError>) {
        if let Some(detail) = request::unsupported_reason(&batch.classified) {
            return ("local", Err(RequestError::new(ErrorKind::Unsupported, detail)));
        }
        if request::is_settings_only(&batch.classified) {
            return ("local", self.run_locally(batch));
        }
        let kinds = &batch.classified.kinds;
        let is_commit = batch.executes && kinds.contains(&StatementKind::Commit);
        let (name, intent) = if is_commit {
            ("commit", Intent::Commit)
        } else {
            ("continue", Intent::Continue)
        };
        // Options of a read leave the request id in place for the commit.
        let options = match request::request_options(
            &batch.classified,
            !is_commit,
            settings,
            &mut self.client_settings,
        ) {
            Ok(options) => options,
            Err(error) => return (name, Err(RequestError::new(ErrorKind::InvalidSetting, error))),
        };
        let runtime = self.runtime.clone();
        let dispatch = match new_dispatch(gateway, settings, &runtime, &options, batch) {
            Ok(dispatch) => dispatch,
            Err(error) => return (name, Err(error)),
        };
        let started = clock::now();
        let result = dispatch.execute_in_transaction(pin, intent).await;
        publish_decision(&dispatch, intent, &result, started);
        match result {
            Ok(response) => {
                self.record_write(settings, &response);
                (name, self.apply_response(settings, batch, response))
            }
            Err(error) => {
                if is_commit {
                    Dispatch::release_pinned(gateway, pin);
                    self.transaction = Transaction::None;
                }
                (name, Err(error))
            }
        }
    }

    fn run_in_failed_transaction(&mut self, batch: &Batch) -> Result<ClientResponse, RequestError> {
        let ends_transaction =
            |kind: &StatementKind| matches!(kind, StatementKind::Commit | StatementKind::Rollback);
        if batch.classified.kinds.iter().any(ends_transaction) {
            self.transaction = Transaction::None;
            self.client_settings.request_id = None;
            // As in PostgreSQL, COMMIT of a failed transaction reports ROLLBACK.
            return self.encode_local_response(batch, &[StatementKind::Rollback]);
        }
        Err(RequestError::new(
            ErrorKind::TransactionLost,
            "statements are ignored until ROLLBACK",
        ))
    }

    fn run_locally(&mut self, batch: &Batch) -> Result<ClientResponse, RequestError> {
        if batch.executes {
            for kind in &batch.classified.kinds {
                if let StatementKind::SetProxy { name, value } = kind {
                    self.client_settings
                        .set(name, value)
                        .map_err(|error| RequestError::new(ErrorKind::InvalidSetting, error))?;
                }
            }
            if let Some(token) = self.client_settings.session.take() {
                self.progress.present(*token);
            }
        }
        self.encode_local_response(batch, &batch.classified.kinds)
    }

    fn encode_local_response(
        &self,
        batch: &Batch,
        kinds: &[StatementKind],
    ) -> Result<ClientResponse, RequestError> {
        let messages = local_response::encode(batch, kinds, |name| self.setting_value(name))
            .map_err(|error| RequestError::new(ErrorKind::Unsupported, error))?;
        Ok(ClientResponse {
            messages,
            transaction_status: self.transaction_status(),
            replica: None,
        })
    }

    fn setting_value(&self, name: &str) -> String {
        match name {
            "session" => self.progress.token().map(ToString::to_string).unwrap_or_default(),
            "class" => self
                .client_settings
                .class
                .as_deref()
                .unwrap_or_default()
                .to_owned(),
            "request_id" => self
                .client_settings
                .request_id
                .as_deref()
                .unwrap_or_default()
                .to_owned(),
            "staleness_ms" => self
                .client_settings
                .staleness_ms
                .map(|value| value.to_string())
                .unwrap_or_default(),
            _ => String::new(),
        }
    }

    fn record_write(&mut self, settings: &TenantSettings, response: &BatchResponse) {
        if let Some(position) = response.position {
            self.progress.record_write(&settings.group, position);
        }
    }

    /// Returns the position that reads must include: that of the token or, without a
    /// token, the primary's current position.
    async fn token_or_primary_position(
        &mut self,
        settings: &TenantSettings,
        dispatch: &Dispatch<'_>,
    ) -> Result<Option<Position>, RequestError> {
        if let Some(position) = self.progress.position_in(&settings.group) {
            return Ok(Some(position));
        }
        let position = dispatch.primary_position().await?;
        if let Some(position) = position {
            self.progress.start_in(&settings.group, position);
        }
        Ok(position)
    }

    fn apply_response(
        &mut self,
        settings: &TenantSettings,
        batch: &Batch,
        response: BatchResponse,
    ) -> Result<ClientResponse, RequestError> {
        if let Some(position) = response.position {
            self.progress.advance(&settings.group, position);
        }
        self.transaction = match response.pin {
            Some(pin) => Transaction::Open(pin),
            None => Transaction::None,
        };
        let messages = batch
            .client_response(response.messages)
            .map_err(|error| RequestError::new(ErrorKind::AnswerTooLarge, error))?;
        Ok(ClientResponse {
            messages,
            transaction_status: parse_transaction_status(response.transaction_status),
            replica: Some(!response.primary),
        })
    }

    fn transaction_status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Open(_) => TransactionStatus::Transaction,
            Transaction::Failed => TransactionStatus::Error,
        }
    }

    async fn send_error(&mut self, error: &RequestError) -> Result<(), std::io::Error> {
        let mut out = BytesMut::new();
        let message = error_answer::error_response(error.kind, false, &error.detail);
        put_backend(&mut out, &message).map_err(encode_error)?;
        let transaction_status = self.transaction_status();
        self.send_response(&out, transaction_status).await
    }

    /// Writes the response, the token if it changed, and `ReadyForQuery` in one write.
    async fn send_response(
        &mut self,
        messages: &[u8],
        status: TransactionStatus,
    ) -> Result<(), std::io::Error> {
        let mut out = BytesMut::with_capacity(messages.len() + 64);
        out.extend_from_slice(messages);
        if let Some(token) = self.progress.take_unreported() {
            let parameter = ParameterStatus::new(SESSION_PARAMETER.to_owned(), token.to_string());
            put_backend(&mut out, &PgWireBackendMessage::ParameterStatus(parameter)).map_err(encode_error)?;
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
    options: &'a RequestOptions,
    batch: &'a Batch,
) -> Result<Dispatch<'a>, RequestError> {
    let config = gateway.control.config();
    let spec =
        config.groups.get(&settings.group).cloned().ok_or_else(|| {
            RequestError::new(ErrorKind::NotServing, "the tenant's group is not configured")
        })?;
    Ok(Dispatch {
        gateway,
        tenant: settings,
        runtime,
        spec,
        options,
        batch: &batch.bytes,
        candidates: Vec::new(),
    })
}

fn parse_transaction_status(byte: u8) -> TransactionStatus {
    TransactionStatus::try_from(byte).unwrap_or(TransactionStatus::Idle)
}

fn is_terminate(messages: &[PgWireFrontendMessage]) -> bool {
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
