//! A connection to a back-end instance.

use std::io::ErrorKind as IoErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use millwind_core::Instant;
use millwind_core::session_state::{ConnectionState, PreparationStep, PreparedStatement, SessionState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::link_error::ExchangeError;
use super::pool::ConnectionPermit;
use super::user::ConnectionUser;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::ports::BackEndCodec;
use crate::statement::{BackEndErrorKind, BackEndMessage, Command, Envelope, Reply, TransactionState};

/// TCP user timeout: a connection is closed when sent bytes stay unacknowledged for this time.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const INITIAL_READ_CAPACITY: usize = 4_096;

/// An open connection with its session state; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    codec: Arc<dyn BackEndCodec>,
    user: ConnectionUser,
    session_state: ConnectionState,
    transaction: TransactionState,
    /// Number of replies that were requested and not yet read.
    pending_replies: usize,
    /// The pool's permit for this connection.
    permit: ConnectionPermit,
}

impl std::fmt::Debug for dyn BackEndCodec {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("BackEndCodec")
    }
}

impl Connection {
    /// Connects to the instance and starts a session for `user`. Fails if the instance
    /// rejects the session or the session is not established by `deadline`.
    pub async fn open(
        record: &InstanceRecord,
        codec: Arc<dyn BackEndCodec>,
        user: ConnectionUser,
        permit: ConnectionPermit,
        deadline: Instant,
    ) -> Result<Connection, ExchangeError> {
        let connecting = TcpStream::connect(record.address);
        let stream = match tokio::time::timeout(clock::until(deadline), connecting).await {
            Err(_) => return Err(ExchangeError::ConnectTimeout),
            Ok(Err(error)) if error.kind() == IoErrorKind::TimedOut => {
                return Err(ExchangeError::ConnectTimeout);
            }
            Ok(Err(_)) => return Err(ExchangeError::Refused),
            Ok(Ok(stream)) => stream,
        };
        set_socket_options(&stream);
        let mut connection = Connection {
            stream,
            input: BytesMut::with_capacity(INITIAL_READ_CAPACITY),
            output: BytesMut::new(),
            codec,
            user,
            session_state: ConnectionState::default(),
            transaction: TransactionState::Idle,
            pending_replies: 0,
            permit,
        };
        connection.start_session(record, deadline).await?;
        connection.permit.opened();
        Ok(connection)
    }

    async fn start_session(
        &mut self,
        record: &InstanceRecord,
        deadline: Instant,
    ) -> Result<(), ExchangeError> {
        self.codec
            .encode_startup(&mut self.output, &record.group, &record.name, &self.user);
        self.pending_replies = 1;
        let reply = match self.finish_exchange(deadline).await {
            Ok(reply) => reply,
            Err(ExchangeError::ReplyTimeout) => return Err(ExchangeError::ConnectTimeout),
            Err(_) => return Err(ExchangeError::ClosedDuringStartup),
        };
        match reply.result {
            Ok(_) => Ok(()),
            Err(error) => Err(ExchangeError::StartupRefused(error)),
        }
    }

    /// The user for whom the connection is open.
    pub fn user(&self) -> &ConnectionUser {
        &self.user
    }

    /// Closes the connection and returns its permit to open another. The instance receives the
    /// close before it receives the startup of a connection that is opened afterwards.
    pub fn close(self) -> ConnectionPermit {
        self.permit
    }

    /// The transaction state after the last reply.
    pub fn transaction(&self) -> TransactionState {
        self.transaction
    }

    /// Whether all replies were read, so that the connection may be reused.
    pub fn is_settled(&self) -> bool {
        self.pending_replies == 0 && self.input.is_empty()
    }

    /// Whether the instance has neither closed the connection nor sent unexpected data.
    pub fn is_alive(&self) -> bool {
        let mut probe = [0_u8; 1];
        matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == IoErrorKind::WouldBlock)
    }

    /// Number of steps that prepare the connection for `session` and the statement `needed`.
    pub fn preparation_steps(&self, session: &SessionState, needed: Option<&PreparedStatement>) -> usize {
        self.session_state.preparation_steps(session, needed).len()
    }

    /// Sends one command and waits until `deadline` for its complete reply.
    pub async fn exchange(
        &mut self,
        envelope: &Envelope<'_>,
        deadline: Instant,
    ) -> Result<Reply, ExchangeError> {
        self.codec.encode(&mut self.output, envelope);
        self.pending_replies += 1;
        let reply = self.finish_exchange(deadline).await?;
        self.permit.answered();
        Ok(reply)
    }

    /// Prepares the connection for `session` and runs a statement. All commands are sent
    /// together, without waiting for the replies in between.
    pub async fn run(
        &mut self,
        session: &SessionState,
        envelope: &Envelope<'_>,
        deadline: Instant,
    ) -> Result<Reply, ExchangeError> {
        let needed = match envelope.command {
            Command::Execute { statement, .. } => Some(statement),
            _ => None,
        };
        let steps = self.session_state.preparation_steps(session, needed);
        for step in &steps {
            self.encode_step(step);
        }
        self.codec.encode(&mut self.output, envelope);
        self.pending_replies += 1;
        self.flush(deadline).await?;
        for step in &steps {
            let reply = self.read_reply(deadline).await?;
            if reply.result.is_err() {
                // The statement may have run in a wrong session state: its outcome is unknown.
                // The replies left unread keep the connection from being reused.
                return Err(ExchangeError::Protocol);
            }
            self.session_state.apply(step);
        }
        let reply = self.read_reply(deadline).await?;
        self.permit.answered();
        if let (Err(error), Some(statement)) = (&reply.result, needed)
            && error.kind == BackEndErrorKind::UnknownStatement
        {
            self.session_state.prepared.remove(statement);
        }
        Ok(reply)
    }

    fn encode_step(&mut self, step: &PreparationStep) {
        let command = match step {
            PreparationStep::Reset => Command::Reset,
            PreparationStep::Set { name, value } => Command::Set { name, value },
            PreparationStep::Prepare(statement) => Command::Prepare(statement),
        };
        let envelope = Envelope::own(command);
        self.codec.encode(&mut self.output, &envelope);
        self.pending_replies += 1;
    }

    async fn finish_exchange(&mut self, deadline: Instant) -> Result<Reply, ExchangeError> {
        self.flush(deadline).await?;
        self.read_reply(deadline).await
    }

    async fn flush(&mut self, deadline: Instant) -> Result<(), ExchangeError> {
        let writing = self.stream.write_all(&self.output);
        match tokio::time::timeout(clock::until(deadline), writing).await {
            Err(_) => return Err(ExchangeError::ReplyTimeout),
            Ok(Err(_)) => return Err(ExchangeError::Lost),
            Ok(Ok(())) => {}
        }
        self.output.clear();
        Ok(())
    }

    async fn read_reply(&mut self, deadline: Instant) -> Result<Reply, ExchangeError> {
        let reading = self.read_reply_without_timeout();
        match tokio::time::timeout_at(clock::deadline(deadline), reading).await {
            Err(_) => Err(ExchangeError::ReplyTimeout),
            Ok(result) => result,
        }
    }

    async fn read_reply_without_timeout(&mut self) -> Result<Reply, ExchangeError> {
        let mut rows = Vec::new();
        let mut result = Ok(String::new());
        loop {
            while let Some(message) = self
                .codec
                .decode(&mut self.input)
                .map_err(|_| ExchangeError::Protocol)?
            {
                match message {
                    BackEndMessage::Row(row) => rows.push(row),
                    BackEndMessage::Complete(signature) => result = Ok(signature),
                    BackEndMessage::Error(error) => {
                        let ends_startup = error.kind == BackEndErrorKind::WrongInstance
                            || error.kind == BackEndErrorKind::TooManyConnections;
                        result = Err(error);
                        if ends_startup
                            && self.session_state == ConnectionState::default()
                            && self.pending_replies == 1
                        {
                            // A rejected startup is not followed by a ready message.
                            return Ok(self.reply(rows, result, TransactionState::Idle, None));
                        }
                    }
                    BackEndMessage::Ready { state, position } => {
                        return Ok(self.reply(rows, result, state, position));
                    }
                }
            }
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return Err(ExchangeError::Lost),
                Ok(_) => {}
            }
        }
    }

    /// Builds a reply and updates the connection's transaction state.
    fn reply(
        &mut self,
        rows: Vec<String>,
        result: Result<String, crate::statement::BackEndError>,
        state: TransactionState,
        position: Option<millwind_core::position::Position>,
    ) -> Reply {
        self.pending_replies -= 1;
        self.transaction = state;
        Reply {
            rows,
            result,
            state,
            position,
        }
    }
}

/// Sets short TCP timeouts, since a machine that loses power does not close its connections.
fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    // Failures are ignored: without these options, dead peers are only detected later.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = socket.set_tcp_keepalive(&keepalive);
}
