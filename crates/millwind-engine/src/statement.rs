//! Protocol-independent statements, commands and answers.

use millwind_core::credential::KeyDigest;
use millwind_core::position::Position;
use millwind_core::session_state::{Access, PreparedStatement};

/// Statement sent by a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Runs a statement whose text is passed on unchanged.
    Run {
        /// Whether the statement changes data.
        access: Access,
    },
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: String,
        /// Value of the variable.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// Name chosen by the caller.
        name: String,
        /// Text and access of the statement.
        statement: PreparedStatement,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name chosen by the caller.
        name: String,
        /// Arguments, passed on unchanged.
        arguments: String,
    },
    /// Deallocates a prepared statement.
    Deallocate {
        /// Name chosen by the caller.
        name: String,
    },
}

/// A caller's statement with its id and unchanged text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id of the statement, assigned by the caller.
    pub id: String,
    /// Text as sent by the caller.
    pub text: String,
    /// Parsed statement, or `None` if the text cannot be parsed.
    pub statement: Option<Statement>,
}

/// Message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session on a database.
    Startup {
        /// Name of the database.
        database: String,
        /// Digest of the caller's API key, or `None` if the caller sent no valid key.
        key: Option<KeyDigest>,
    },
    /// Runs a statement.
    Request(Request),
    /// Ends the session.
    Terminate,
}

/// Transaction state of a session or back-end connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed and can only be ended.
    Failed,
}

/// Command sent to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command<'a> {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is read-only and may run on a replica.
        read_only: bool,
    },
    /// Rolls back the open transaction.
    Rollback,
    /// Discards all session variables and prepared statements of the connection.
    Reset,
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: &'a str,
        /// Value of the variable.
        value: &'a str,
    },
    /// Prepares a statement under its shared name.
    Prepare(&'a PreparedStatement),
    /// Runs a caller's statement text, unchanged.
    Text(&'a str),
    /// Executes a prepared statement with a caller's arguments.
    Execute {
        /// Statement to execute.
        statement: &'a PreparedStatement,
        /// Arguments, passed on unchanged.
        arguments: &'a str,
    },
    /// Requests role, term and log position.
    Status,
    /// Stops a replica from receiving the log, ahead of a promotion.
    Pause {
        /// Term of the promotion, above all earlier terms.
        term: u64,
    },
    /// Lets a paused replica receive the log again.
    Resume,
    /// Demotes a leader of an earlier term to a replica.
    StepDown {
        /// Term above the leader's.
        term: u64,
    },
}

/// A command with its envelope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// Id of the caller's statement, or `None` for the engine's own commands.
    pub id: Option<&'a str>,
    /// Position that the instance's log must have reached.
    pub minimum_position: Option<Position>,
    /// Command to run.
    pub command: Command<'a>,
}

impl<'a> Envelope<'a> {
    /// Creates an envelope for a command of the engine itself.
    pub const fn own(command: Command<'a>) -> Self {
        Envelope {
            id: None,
            minimum_position: None,
            command,
        }
    }
}

/// Reason why a back end failed to run a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BackEndErrorKind {
    /// All execution slots are in use; the statement was not run.
    Busy,
    /// The log has not reached the required position; the statement was not run.
    Behind,
    /// The instance is not the leader; the statement was not run.
    ReadOnly,
    /// The connection reached another instance than requested; the statement was not run.
    WrongInstance,
    /// The instance accepts no more connections; the statement was not run.
    TooManyConnections,
    /// The prepared statement is unknown; the statement was not run.
    UnknownStatement,
    /// The statement ran and failed.
    Failed,
    /// The statement exceeded its time limit.
    TimedOut,
    /// Any other error.
    Other,
}

impl BackEndErrorKind {
    /// Returns whether the statement was certainly not run.
    pub const fn has_not_run(self) -> bool {
        !matches!(
            self,
            BackEndErrorKind::Failed | BackEndErrorKind::TimedOut | BackEndErrorKind::Other
        )
    }

    /// Returns the name used in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            BackEndErrorKind::Busy => "busy",
            BackEndErrorKind::Behind => "behind",
            BackEndErrorKind::ReadOnly => "read_only",
            BackEndErrorKind::WrongInstance => "wrong_instance",
            BackEndErrorKind::TooManyConnections => "too_many_connections",
            BackEndErrorKind::UnknownStatement => "unknown_statement",
            BackEndErrorKind::Failed => "failed",
            BackEndErrorKind::TimedOut => "timed_out",
            BackEndErrorKind::Other => "other",
        }
    }
}

/// Error reported by a back end, passed on to the caller unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndError {
    /// Classification of the error.
    pub kind: BackEndErrorKind,
    /// Error code as sent by the back end.
    pub code: String,
    /// Error text as sent by the back end.
    pub text: String,
}

/// Message from a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackEndMessage {
    /// A result row.
    Row(String),
    /// Success of the statement, with the instance's signature.
    Complete(String),
    /// Failure of the statement.
    Error(BackEndError),
    /// End of the answer.
    Ready {
        /// Transaction state of the connection.
        state: TransactionState,
        /// Log position of the instance.
        position: Option<Position>,
    },
}

/// Complete answer of a back end to one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Result rows, unchanged.
    pub rows: Vec<String>,
    /// Signature of the instance on success, otherwise the error.
    pub result: Result<String, BackEndError>,
    /// Transaction state of the connection.
    pub state: TransactionState,
    /// Log position of the instance.
    pub position: Option<Position>,
}

/// Status reported by an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Whether the instance is the leader.
    pub is_leader: bool,
    /// Current term of the instance.
    pub term: u64,
    /// Position up to which the instance has received the log.
    pub received: Position,
}
