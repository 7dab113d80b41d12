//! One connection to an instance.

use std::io::ErrorKind as IoErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use millwind_core::Instant;
use millwind_core::session_state::{ConnectionState, PreparationStep, PreparedStatement, SessionState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::link_error::LinkError;
use super::pool::Permit;
use super::user::ConnectionUser;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::ports::BackEndCodec;
use crate::statement::{BackEndErrorKind, BackEndMessage, Command, Envelope, Reply, TransactionState};

/// Unacknowledged bytes break a connection after this time.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A silent idle connection is probed after this time.
const KEEPALIVE: Duration = Duration::from_secs(2);
const READ_CAPACITY: usize = 4_096;

/// An open connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    codec: Arc<dyn BackEndCodec>,
    user: ConnectionUser,
    held: ConnectionState,
    transaction: TransactionState,
    /// Answers that were asked for and not read yet.
    outstanding: usize,
    /// Keeps the pool's count of open connections.
    permit: Permit,
}

impl std::fmt::Debug for dyn BackEndCodec {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("BackEndCodec")
    }
}

impl Connection {
    /// Opens a connection and its session at the instance on behalf of `user`.
    pub async fn open(
        record: &InstanceRecord,
        codec: Arc<dyn BackEndCodec>,
        user: ConnectionUser,
        permit: Permit,
        deadline: Instant,
    ) -> Result<Connection, LinkError> {
        let connecting = TcpStream::connect(record.address);
        let stream = match tokio::time::timeout(clock::until(deadline), connecting).await {
            Err(_) => return Err(LinkError::ConnectTimeout),
            Ok(Err(error)) if error.kind() == IoErrorKind::TimedOut => return Err(LinkError::ConnectTimeout),
            Ok(Err(_)) => return Err(LinkError::Refused),
            Ok(Ok(stream)) => stream,
        };
        set_options(&stream);
        let mut connection = Connection {
            stream,
            input: BytesMut::with_capacity(READ_CAPACITY),
            output: BytesMut::new(),
            codec,
            user,
            held: ConnectionState::default(),
            transaction: TransactionState::Idle,
            outstanding: 0,
            permit,
        };
        connection.start_session(record, deadline).await?;
        connection.permit.opened();
        Ok(connection)
    }

    async fn start_session(&mut self, record: &InstanceRecord, deadline: Instant) -> Result<(), LinkError> {
        self.codec
            .encode_startup(&mut self.output, &record.group, &record.name, &self.user);
        self.outstanding = 1;
        let reply = match self.finish_exchange(deadline).await {
            Ok(reply) => reply,
            Err(LinkError::Silent) => return Err(LinkError::ConnectTimeout),
            Err(_) => return Err(LinkError::TurnedAway),
        };
        match reply.result {
            Ok(_) => Ok(()),
            Err(error) => Err(LinkError::StartupRefused(error)),
        }
    }

    /// On whose behalf it is open.
    pub fn user(&self) -> &ConnectionUser {
        &self.user
    }

    /// Closes the connection and keeps the right to open another. The instance
    /// hears of the end before it hears of one that is opened later from here.
    pub fn close(self) -> Permit {
        self.permit
    }

    /// Where the connection stands.
    pub fn transaction(&self) -> TransactionState {
        self.transaction
    }

    /// Whether every answer was read, so that the connection may be used again.
    pub fn is_settled(&self) -> bool {
        self.outstanding == 0 && self.input.is_empty()
    }

    /// Whether the far end has neither closed nor sent anything unasked.
    pub fn is_alive(&self) -> bool {
        let mut probe = [0_u8; 1];
        matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == IoErrorKind::WouldBlock)
    }

    /// How many steps would bring it to `session`.
    pub fn preparation_steps(&self, session: &SessionState, needed: Option<&PreparedStatement>) -> usize {
        self.held.preparation_steps(session, needed).len()
    }

    /// Sends one command and waits for its whole answer.
    pub async fn exchange(&mut self, envelope: &Envelope<'_>, deadline: Instant) -> Result<Reply, LinkError> {
        self.codec.encode(&mut self.output, envelope);
        self.outstanding += 1;
        self.finish_exchange(deadline).await
    }

    /// Brings the connection to `session` and runs a statement, in one flight.
    pub async fn run(
        &mut self,
        session: &SessionState,
        envelope: &Envelope<'_>,
        deadline: Instant,
    ) -> Result<Reply, LinkError> {
        let needed = match envelope.command {
            Command::Execute { statement, .. } => Some(statement),
            _ => None,
        };
        let steps = self.held.preparation_steps(session, needed);
        for step in &steps {
            self.push_step(step);
        }
        self.codec.encode(&mut self.output, envelope);
        self.outstanding += 1;
        self.flush(deadline).await?;
        for step in &steps {
            let reply = self.read_reply(deadline).await?;
            if reply.result.is_err() {
                // The statement behind it may run in a wrong state: say that
                // nothing is known, and use the connection no more.
                return Err(LinkError::Protocol);
            }
            self.held.apply(step);
        }
        let reply = self.read_reply(deadline).await?;
        if let (Err(error), Some(statement)) = (&reply.result, needed)
            && error.kind == BackEndErrorKind::UnknownStatement
        {
            self.held.prepared.remove(statement);
        }
        Ok(reply)
    }

    fn push_step(&mut self, step: &PreparationStep) {
        let command = match step {
            PreparationStep::Reset => Command::Reset,
            PreparationStep::Set { name, value } => Command::Set { name, value },
            PreparationStep::Prepare(statement) => Command::Prepare(statement),
        };
        let envelope = Envelope::own(command);
        self.codec.encode(&mut self.output, &envelope);
        self.outstanding += 1;
    }

    async fn finish_exchange(&mut self, deadline: Instant) -> Result<Reply, LinkError> {
        self.flush(deadline).await?;
        self.read_reply(deadline).await
    }

    async fn flush(&mut self, deadline: Instant) -> Result<(), LinkError> {
        let writing = self.stream.write_all(&self.output);
        match tokio::time::timeout(clock::until(deadline), writing).await {
            Err(_) => return Err(LinkError::Silent),
            Ok(Err(_)) => return Err(LinkError::Lost),
            Ok(Ok(())) => {}
        }
        self.output.clear();
        Ok(())
    }

    async fn read_reply(&mut self, deadline: Instant) -> Result<Reply, LinkError> {
        let reading = self.read_reply_unbounded();
        match tokio::time::timeout_at(clock::deadline(deadline), reading).await {
            Err(_) => Err(LinkError::Silent),
            Ok(result) => result,
        }
    }

    async fn read_reply_unbounded(&mut self) -> Result<Reply, LinkError> {
        let mut rows = Vec::new();
        let mut result = Ok(String::new());
        loop {
            while let Some(message) = self
                .codec
                .decode(&mut self.input)
                .map_err(|_| LinkError::Protocol)?
            {
                match message {
                    BackEndMessage::Row(row) => rows.push(row),
                    BackEndMessage::Complete(signature) => result = Ok(signature),
                    BackEndMessage::Error(error) => {
                        let ends = error.kind == BackEndErrorKind::WrongInstance
                            || error.kind == BackEndErrorKind::TooManyConnections;
                        result = Err(error);
                        if ends && self.held == ConnectionState::default() && self.outstanding == 1 {
                            // A refused startup ends without a ready message.
                            return Ok(self.reply(rows, result, TransactionState::Idle, None));
                        }
                    }
                    BackEndMessage::Ready { state, position } => {
                        return Ok(self.reply(rows, result, state, position));
                    }
                }
            }
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return Err(LinkError::Lost),
                Ok(_) => {}
            }
        }
    }

    fn reply(
        &mut self,
        rows: Vec<String>,
        result: Result<String, crate::statement::BackEndError>,
        state: TransactionState,
        position: Option<millwind_core::position::Position>,
    ) -> Reply {
        self.outstanding -= 1;
        self.transaction = state;
        Reply {
            rows,
            result,
            state,
            position,
        }
    }
}

/// Short limits on silence: a machine without power never says that it is gone.
fn set_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    // Options that the system refuses only make the detection slower.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = socket.set_tcp_keepalive(&keepalive);
}
