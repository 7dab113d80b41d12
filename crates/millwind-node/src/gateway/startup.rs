//! The startup phase of a caller: encryption request, startup message,
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

use super::caller_settings::CallerSettings;
use super::session::Session;
use super::{Gateway, TenantRuntime};
use crate::pg::{error_answer, put_backend};

const SERVER_VERSION: &str = "15.0 (millwind)";
const SCRAM_MECHANISM: &str = "SCRAM-SHA-256";
const SCRAM_ITERATIONS: usize = 4_096;
const SALT_BYTES: usize = 16;
/// Longest startup or password message.
const MAXIMUM_STARTUP_BYTES: usize = 16 * 1024;

/// Why a startup ended without a session.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The connection broke.
    #[error("connection lost: {0}")]
    Lost(#[from] std::io::Error),
    /// The caller broke the protocol.
    #[error("protocol: {0}")]
    Protocol(String),
    /// The caller was refused.
    #[error("refused: {}", .0.name())]
    Refused(ErrorKind),
}

fn protocol(error: impl std::fmt::Display) -> StartupError {
    StartupError::Protocol(error.to_string())
}

struct Conversation {
    stream: TcpStream,
    buffer: BytesMut,
    context: DecodeContext,
}

/// Leads a caller through startup; none when it only asked to cancel.
pub async fn start(
    stream: TcpStream,
    gateway: &Arc<Gateway>,
    refusal: Option<ErrorKind>,
) -> Result<Option<Session>, StartupError> {
    let mut conversation = Conversation {
        stream,
        buffer: BytesMut::new(),
        context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
    };
    let Some(startup) = conversation.startup_message().await? else {
        return Ok(None);
    };
    if let Some(kind) = refusal {
        return conversation.refuse(kind, "").await;
    }
    let name = startup
        .parameters
        .get("database")
        .or_else(|| startup.parameters.get("user"));
    let tenant = TenantName::from(name.map_or("", String::as_str));
    let config = gateway.control.config();
    if config.revision == 0 {
        return conversation
            .refuse(ErrorKind::NotServing, "no configuration yet")
            .await;
    }
    let Some(settings) = config.tenants.get(&tenant).cloned() else {
        return conversation
            .refuse(ErrorKind::UnknownTenant, tenant.as_str())
            .await;
    };
    if !conversation.authenticate(&settings).await? {
        return conversation.refuse(ErrorKind::AuthenticationFailed, "").await;
    }
    let mut caller = CallerSettings::default();
    for (name, value) in own_parameters(&startup.parameters) {
        if let Err(error) = caller.set(&name, &value) {
            return conversation
                .refuse(ErrorKind::InvalidSetting, &error.to_string())
                .await;
        }
    }
    let runtime = gateway.tenant_runtime(&tenant, settings.retry_budget_percent);
    let Some(place) = ClientPlace::take(runtime.clone(), settings.maximum_clients) else {
        return conversation
            .refuse(ErrorKind::TooManyClients, tenant.as_str())
            .await;
    };
    conversation.welcome().await?;
    debug!("event=session_opened tenant={tenant}");
    Ok(Some(Session::new(
        conversation.stream,
        conversation.buffer,
        tenant,
        caller,
        runtime,
        place,
    )))
}

/// `millwind.*` parameters, given directly or as `-c name=value` options.
fn own_parameters(parameters: &BTreeMap<String, String>) -> Vec<(String, String)> {
    let direct = parameters
        .iter()
        .filter_map(|(name, value)| Some((name.strip_prefix("millwind.")?.to_owned(), value.clone())));
    let options = parameters.get("options").map_or("", String::as_str);
    let by_option = options.split_whitespace().filter_map(|word| {
        let assignment = word.trim_start_matches("-c").trim_start_matches("--");
        let (name, value) = assignment.strip_prefix("millwind.")?.split_once('=')?;
        Some((name.to_owned(), value.to_owned()))
    });
    direct.chain(by_option).collect()
}

/// A place within the tenant's limit of clients; given back when dropped.
#[derive(Debug)]
pub struct ClientPlace {
    runtime: Arc<TenantRuntime>,
}

impl ClientPlace {
    fn take(runtime: Arc<TenantRuntime>, limit: u32) -> Option<Self> {
        if runtime.clients.fetch_add(1, Ordering::Relaxed) >= limit {
            runtime.clients.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(ClientPlace { runtime })
    }
}

impl Drop for ClientPlace {
    fn drop(&mut self) {
        self.runtime.clients.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Conversation {
    async fn read(&mut self) -> Result<PgWireFrontendMessage, StartupError> {
        loop {
            let decoded = PgWireFrontendMessage::decode(&mut self.buffer, &self.context).map_err(protocol)?;
            if let Some(message) = decoded {
                return Ok(message);
            }
            if self.buffer.len() > MAXIMUM_STARTUP_BYTES {
                return Err(StartupError::Protocol("startup message too long".into()));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(StartupError::Protocol("closed during startup".into()));
            }
        }
    }

    async fn write(&mut self, messages: &[PgWireBackendMessage]) -> Result<(), StartupError> {
        let mut out = BytesMut::new();
        for message in messages {
            put_backend(&mut out, message).map_err(protocol)?;
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
                // Cancelling across sessions is not carried yet; see docs/PROOFS.md.
                PgWireFrontendMessage::CancelRequest(_) => return Ok(None),
                other => return Err(StartupError::Protocol(format!("unexpected {other:?}"))),
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
        let first = self
            .password_message()
            .await?
            .into_sasl_initial_response()
            .map_err(protocol)?;
        let salt: [u8; SALT_BYTES] = rand::random();
        let salted = gen_salted_password(&settings.password, &salt, SCRAM_ITERATIONS);
        let expected = Password::new(Some(salt.to_vec()), salted);
        let mut server = ScramServerAuth::new();
        server.set_iterations(SCRAM_ITERATIONS);
        let data = first.data.unwrap_or_default();
        let Ok((reply, waiting)) = server.on_client_first_message(&data, expected) else {
            return Ok(false);
        };
        let continued = Authentication::SASLContinue(Bytes::from(reply));
        self.write(&[PgWireBackendMessage::Authentication(continued)])
            .await?;
        let last = self
            .password_message()
            .await?
            .into_sasl_response()
            .map_err(protocol)?;
        let Ok(proof) = waiting.on_client_final_message(&last.data) else {
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

    async fn welcome(&mut self) -> Result<(), StartupError> {
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

    async fn refuse(mut self, kind: ErrorKind, detail: &str) -> Result<Option<Session>, StartupError> {
        self.write(&[error_answer::error_response(kind, true, detail)])
            .await?;
        self.stream.shutdown().await?;
        Err(StartupError::Refused(kind))
    }
}
