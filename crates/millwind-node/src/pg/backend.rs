//! A connection to a database instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pgwire::api::auth::sasl::scram::{
    ScramClientAuth, ScramClientAuthWaitingForServerFinal, ScramClientAuthWaitingForServerFirst,
};
use pgwire::messages::startup::{
    Authentication, Password, PasswordMessageFamily, SASLInitialResponse, SASLResponse, SecretKey, Startup,
};
use pgwire::messages::{DecodeContext, PgWireBackendMessage, PgWireFrontendMessage};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::answer::{Answer, MAXIMUM_ANSWER_BYTES};
use super::status::put_status_prepare;
use super::{established_context, put_frontend};

const READ_CHUNK_BYTES: usize = 4 * 1024;
const APPLICATION_NAME: &str = "millwind";

/// Address and credentials of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendTarget {
    /// Address to connect to.
    pub address: SocketAddr,
    /// User to connect as.
    pub user: String,
    /// Password; empty for none.
    pub password: String,
    /// Database name.
    pub database: String,
}

/// Why a back-end connection failed.
#[derive(Debug, Error)]
pub enum BackendError {
    /// Connecting took longer than the time limit.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The connection failed.
    #[error("connection lost: {0}")]
    Lost(#[from] std::io::Error),
    /// The back end closed the connection.
    #[error("connection closed by the back end")]
    Closed,
    /// The back end violated the protocol.
    #[error("protocol error: {0}")]
    Protocol(String),
    /// The back end refused the connection.
    #[error("refused: {sqlstate} {message}")]
    Refused {
        /// SQLSTATE.
        sqlstate: String,
        /// Human-readable message.
        message: String,
    },
    /// The response exceeds [`MAXIMUM_ANSWER_BYTES`].
    #[error("answer is longer than {MAXIMUM_ANSWER_BYTES} bytes")]
    AnswerTooLong,
}

/// An authenticated connection to a back end.
#[derive(Debug)]
pub struct BackendConnection {
    stream: TcpStream,
    buffer: BytesMut,
    context: DecodeContext,
    partial_answer: Answer,
    /// Process id and secret key for cancel requests.
    pub cancel_key: Option<(i32, SecretKey)>,
}

impl BackendConnection {
    /// Connects and authenticates within `limit`.
    pub async fn connect(target: &BackendTarget, limit: Duration) -> Result<Self, BackendError> {
        timeout(limit, Self::open(target))
            .await
            .map_err(|_| BackendError::ConnectTimeout)?
    }

    async fn open(target: &BackendTarget) -> Result<Self, BackendError> {
        let stream = TcpStream::connect(target.address).await?;
        stream.set_nodelay(true)?;
        let mut connection = BackendConnection {
            stream,
            buffer: BytesMut::new(),
            context: established_context(),
            partial_answer: Answer::default(),
            cancel_key: None,
        };
        connection.perform_startup(target).await?;
        connection.prepare_status().await?;
        Ok(connection)
    }

    /// Prepares the status query, to keep each later status request small.
    async fn prepare_status(&mut self) -> Result<(), BackendError> {
        let mut bytes = BytesMut::new();
        put_status_prepare(&mut bytes).map_err(protocol_error)?;
        self.send(&bytes).await?;
        match self.next_answer().await?.error {
            None => Ok(()),
            Some(error) => Err(BackendError::Refused {
                sqlstate: error.sqlstate,
                message: error.message,
            }),
        }
    }

    async fn perform_startup(&mut self, target: &BackendTarget) -> Result<(), BackendError> {
        let mut startup = Startup::new();
        startup.parameters.insert("user".into(), target.user.clone());
        startup
            .parameters
            .insert("database".into(), target.database.clone());
        startup
            .parameters
            .insert("application_name".into(), APPLICATION_NAME.into());
        self.send_message(&PgWireFrontendMessage::Startup(startup))
            .await?;
        let mut scram = ScramState::Start;
        loop {
            match self.next_message().await? {
                PgWireBackendMessage::Authentication(request) => {
                    scram = self.authenticate(target, request, scram).await?;
                }
                PgWireBackendMessage::BackendKeyData(data) => {
                    self.cancel_key = Some((data.pid, data.secret_key));
                }
                PgWireBackendMessage::ErrorResponse(error) => {
                    let mut refused = Answer::default();
                    let _ = refused.push(PgWireBackendMessage::ErrorResponse(error));
                    let error = refused.error.ok_or(BackendError::Closed)?;
                    return Err(BackendError::Refused {
                        sqlstate: error.sqlstate,
                        message: error.message,
                    });
                }
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(()),
                _ => {}
            }
        }
    }

    async fn authenticate(
        &mut self,
        target: &BackendTarget,
        request: Authentication,
        state: ScramState,
    ) -> Result<ScramState, BackendError> {
        match (request, state) {
            (Authentication::Ok, state) => Ok(state),
            (Authentication::CleartextPassword, state) => {
                let password = Password::new(target.password.clone());
                self.send_password(PasswordMessageFamily::Password(password))
                    .await?;
                Ok(state)
            }
            (Authentication::SASL(_), _) => {
                let client = ScramClientAuth::new(target.user.clone(), target.password.clone());
                let (client_first, next) = client.build_client_first().map_err(protocol_error)?;
                let initial =
                    SASLInitialResponse::new("SCRAM-SHA-256".into(), Some(Bytes::from(client_first)));
                self.send_password(PasswordMessageFamily::SASLInitialResponse(initial))
                    .await?;
                Ok(ScramState::AwaitServerFirst(next))
            }
            (Authentication::SASLContinue(data), ScramState::AwaitServerFirst(client)) => {
                let (client_final, next) = client.build_client_final(&data).map_err(protocol_error)?;
                let response = SASLResponse::new(Bytes::from(client_final));
                self.send_password(PasswordMessageFamily::SASLResponse(response))
                    .await?;
                Ok(ScramState::AwaitServerFinal(next))
            }
            (Authentication::SASLFinal(data), ScramState::AwaitServerFinal(client)) => {
                client.verify_server_final(&data).map_err(protocol_error)?;
                Ok(ScramState::Start)
            }
            (other, _) => Err(BackendError::Protocol(format!(
                "unexpected authentication request {other:?}"
            ))),
        }
    }

    async fn send_password(&mut self, message: PasswordMessageFamily) -> Result<(), BackendError> {
        self.send_message(&PgWireFrontendMessage::PasswordMessageFamily(message))
            .await
    }

    async fn send_message(&mut self, message: &PgWireFrontendMessage) -> Result<(), BackendError> {
        let mut out = BytesMut::new();
        put_frontend(&mut out, message).map_err(protocol_error)?;
        self.send(&out).await
    }

    /// Sends encoded frontend messages.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), BackendError> {
        self.stream.write_all(bytes).await?;
        Ok(())
    }

    /// Returns whether an idle connection is open and has no unread data.
    pub fn is_usable(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut probe = [0u8; 1];
        match self.stream.try_read(&mut probe) {
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            // The connection is closed or has unexpected data; it must not be reused.
            Ok(_) => false,
        }
    }

    /// Reads the next complete response. Cancel safe: messages read so far are kept.
    pub async fn next_answer(&mut self) -> Result<Answer, BackendError> {
        loop {
            let message = self.next_message().await?;
            if self.partial_answer.push(message).map_err(protocol_error)? {
                return Ok(std::mem::take(&mut self.partial_answer));
            }
            if self.partial_answer.messages.len() > MAXIMUM_ANSWER_BYTES {
                return Err(BackendError::AnswerTooLong);
            }
        }
    }

    async fn next_message(&mut self) -> Result<PgWireBackendMessage, BackendError> {
        loop {
            let decoded =
                PgWireBackendMessage::decode(&mut self.buffer, &self.context).map_err(protocol_error)?;
            if let Some(message) = decoded {
                return Ok(message);
            }
            self.buffer.reserve(READ_CHUNK_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(BackendError::Closed);
            }
        }
    }
}

enum ScramState {
    Start,
    AwaitServerFirst(ScramClientAuthWaitingForServerFirst),
    AwaitServerFinal(ScramClientAuthWaitingForServerFinal),
}

fn protocol_error(error: impl std::fmt::Display) -> BackendError {
    BackendError::Protocol(error.to_string())
}
