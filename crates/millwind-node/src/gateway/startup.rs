//! Startup phase of a client connection: encryption request, startup message and
//! authentication.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use log::debug;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::TenantName;
use millwind_core::tenant::TenantSettings;
use pgwire::api::auth::Password;
use pgwire::api::auth::sasl::scram::{ScramServerAuth, gen_salted_password};
use pgwire::messages::response::{ReadyForQuery, SslResponse, TransactionStatus};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, PasswordMessageFamily, SecretKey, Startup,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::client_settings::ClientSettings;
use super::session::Session;
use super::{Gateway, TenantRuntime};
use crate::pg::{error_answer, put_backend};

const SERVER_VERSION: &str = "15.0 (millwind)";
const SCRAM_MECHANISM: &str = "SCRAM-SHA-256";
const SCRAM_ITERATIONS: usize = 4_096;
const SALT_BYTES: usize = 16;
/// Maximum size of a startup or password message.
const MAXIMUM_STARTUP_BYTES: usize = 16 * 1024;

/// Why startup ended without a session.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The connection failed.
    #[error("connection lost: {0}")]
    Lost(#[from] std::io::Error),
    /// The client violated the protocol.
    #[error("protocol error: {0}")]
    Protocol(String),
    /// The node rejected the client.
    #[error("rejected: {}", .0.name())]
    Rejected(ErrorKind),
}

fn protocol_error(error: impl std::fmt::Display) -> StartupError {
    StartupError::Protocol(error.to_string())
}

struct StartupConnection {
    stream: TcpStream,
    buffer: BytesMut,
    context: DecodeContext,
}

/// Performs startup and returns the session, or `None` for a cancel request.
///
/// If `rejection` is set, the client gets that error after its startup message.
pub async fn start(
    stream: TcpStream,
    gateway: &Arc<Gateway>,
    rejection: Option<ErrorKind>,
) -> Result<Option<Session>, StartupError> {
    let mut connection = StartupConnection {
        stream,
        buffer: BytesMut::new(),
        context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
    };
    let Some(startup) = connection.startup_message().await? else {
        return Ok(None);
    };
    if let Some(kind) = rejection {
        return connection.reject(kind, "").await;
    }
    let name = startup
        .parameters
        .get("database")
        .or_else(|| startup.parameters.get("user"));
    let tenant = TenantName::from(name.map_or("", String::as_str));
    let config = gateway.control.config();
    if config.revision == 0 {
        return connection
            .reject(ErrorKind::NotServing, "no configuration yet")
            .await;
    }
    let Some(settings) = config.tenants.get(&tenant).cloned() else {
        return connection.reject(ErrorKind::UnknownTenant, tenant.as_str()).await;
    };
    if !connection.authenticate(&settings).await? {
        return connection.reject(ErrorKind::AuthenticationFailed, "").await;
    }
    let mut client_settings = ClientSettings::default();
    for (name, value) in millwind_parameters(&startup.parameters) {
        if let Err(error) = client_settings.set(&name, &value) {
            return connection
                .reject(ErrorKind::InvalidSetting, &error.to_string())
                .await;
        }
    }
    let runtime = gateway.tenant_runtime(&tenant, settings.retry_budget_percent);
    let Some(slot) = ClientSlot::try_acquire(runtime.clone(), settings.maximum_clients) else {
        return connection
            .reject(ErrorKind::TooManyClients, tenant.as_str())
            .await;
    };
    connection.send_startup_complete().await?;
    debug!("event=session_opened tenant={tenant}");
    Ok(Some(Session::new(
        connection.stream,
        connection.buffer,
        tenant,
        client_settings,
        runtime,
        slot,
    )))
}

/// Returns the `millwind.*` startup parameters without their prefix, given directly
/// or as `-c name=value` in `options`.
fn millwind_parameters(parameters: &BTreeMap<String, String>) -> Vec<(String, String)> {
    let from_parameters = parameters
        .iter()
        .filter_map(|(name, value)| Some((name.strip_prefix("millwind.")?.to_owned(), value.clone())));
    let options = parameters.get("options").map_or("", String::as_str);
    let from_options = options.split_whitespace().filter_map(|word| {
        let assignment = word.trim_start_matches("-c").trim_start_matches("--");
        let (name, value) = assignment.strip_prefix("millwind.")?.split_once('=')?;
        Some((name.to_owned(), value.to_owned()))
    });
    from_parameters.chain(from_options).collect()
}

/// A slot within the tenant's client limit, released on drop.
#[derive(Debug)]
pub struct ClientSlot {
    runtime: Arc<TenantRuntime>,
}

impl ClientSlot {
    fn try_acquire(runtime: Arc<TenantRuntime>, limit: u32) -> Option<Self> {
        if runtime.clients.fetch_add(1, Ordering::Relaxed) >= limit {
            runtime.clients.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(ClientSlot { runtime })
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.runtime.clients.fetch_sub(1, Ordering::Relaxed);
    }
}

impl StartupConnection {
    async fn read(&mut self) -> Result<PgWireFrontendMessage, StartupError> {
        loop {
            let decoded =
                PgWireFrontendMessage::decode(&mut self.buffer, &self.context).map_err(protocol_error)?;
            if let Some(message) = decoded {
                return Ok(message);
            }
            if self.buffer.len() > MAXIMUM_STARTUP_BYTES {
                return Err(StartupError::Protocol(
                    "message exceeds the startup size limit".into(),
                ));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(StartupError::Protocol("connection closed during startup".into()));
            }
        }
    }

    async fn write(&mut self, messages: &[PgWireBackendMessage]) -> Result<(), StartupError> {
        let mut out = BytesMut::new();
        for message in messages {
            put_backend(&mut out, message).map_err(protocol_error)?;
        }
        self.stream.write_all(&out).await?;
        Ok(())
    }

    async fn startup_message(&mut self) -> Result<Option<Startup>, StartupError> {
        loop {
            match self.read().await? {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                PgWireFrontendMessage::SslNegotiation(_) => {
                    self.write(&[PgWireBackendMessage::SslResponse(SslResponse::Refuse)])
                        .await?;
                }
                PgWireFrontendMessage::Startup(startup) => {
                    self.context.awaiting_frontend_startup = false;
                    return Ok(Some(startup));
                }
                // Cancel requests are not supported; the connection is closed.
                PgWireFrontendMessage::CancelRequest(_) => return Ok(None),
                other => return Err(StartupError::Protocol(format!("unexpected message {other:?}"))),
            }
        }
    }

    async fn authenticate(&mut self, settings: &TenantSettings) -> Result<bool, StartupError> {
        if settings.password.is_empty() {
            return Ok(true);
        }
        let mechanisms = vec![SCRAM_MECHANISM.to_owned()];
        self.write(&[PgWireBackendMessage::Authentication(Authentication::SASL(
            mechanisms,
        ))])
        .await?;
        let initial = self
            .password_message()
            .await?
            .into_sasl_initial_response()
            .map_err(protocol_error)?;
        let salt: [u8; SALT_BYTES] = rand::random();
        let salted = gen_salted_password(&settings.password, &salt, SCRAM_ITERATIONS);
        let expected = Password::new(Some(salt.to_vec()), salted);
        let mut server = ScramServerAuth::new();
        server.set_iterations(SCRAM_ITERATIONS);
        let data = initial.data.unwrap_or_default();
        let Ok((reply, exchange)) = server.on_client_first_message(&data, expected) else {
            return Ok(false);
        };
        let challenge = Authentication::SASLContinue(Bytes::from(reply));
        self.write(&[PgWireBackendMessage::Authentication(challenge)])
            .await?;
        let response = self
            .password_message()
            .await?
            .into_sasl_response()
            .map_err(protocol_error)?;
        let Ok(proof) = exchange.on_client_final_message(&response.data) else {
            return Ok(false);
        };
        let finished = Authentication::SASLFinal(Bytes::from(proof));
        self.write(&[PgWireBackendMessage::Authentication(finished)])
            .await?;
        Ok(true)
    }

    async fn password_message(&mut self) -> Result<PasswordMessageFamily, StartupError> {
        match self.read().await? {
            PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
            other => Err(StartupError::Protocol(format!(
                "expected a password message, got {other:?}"
            ))),
        }
    }

    async fn send_startup_complete(&mut self) -> Result<(), StartupError> {
        let mut messages = vec![PgWireBackendMessage::Authentication(Authentication::Ok)];
        let parameters = [
            ("server_version", SERVER_VERSION),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            messages.push(PgWireBackendMessage::ParameterStatus(status));
        }
        let key = BackendKeyData::new(rand::random::<i32>() & i32::MAX, SecretKey::I32(rand::random()));
        messages.push(PgWireBackendMessage::BackendKeyData(key));
        messages.push(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
            TransactionStatus::Idle,
        )));
        self.write(&messages).await
    }

    async fn reject(mut self, kind: ErrorKind, detail: &str) -> Result<Option<Session>, StartupError> {
        self.write(&[error_answer::error_response(kind, true, detail)])
            .await?;
        self.stream.shutdown().await?;
        Err(StartupError::Rejected(kind))
    }
}
