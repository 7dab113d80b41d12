//! Statements in the engine's own terms, whatever protocol carried them.

use millwind_core::credential::KeyDigest;
use millwind_core::position::Position;
use millwind_core::session_state::{Access, PreparedStatement};

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// The transaction promises not to write.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// A statement passed on as it is.
    Run {
        /// Whether it changes data.
        access: Access,
    },
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name for it.
        name: String,
        /// What it does.
        statement: PreparedStatement,
    },
    /// Executes a prepared statement.
    Execute {
        /// The caller's name for it.
        name: String,
        /// Its arguments, passed on unchanged.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: String,
    },
}

/// A caller's statement with its id and its unchanged text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The caller's id of the statement.
    pub id: String,
    /// The text as the caller sent it.
    pub text: String,
    /// What it means; none when it cannot be read.
    pub statement: Option<Statement>,
}

/// What a caller sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session on a database.
    Startup {
        /// Name of the database.
        database: String,
        /// Digest of the key by which the caller shows who it is; none if what it
        /// sent is no key.
        key: Option<KeyDigest>,
    },
    /// A statement.
    Request(Request),
    /// The end of the session.
    Terminate,
}

/// Where a session or a back-end connection stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TransactionState {
    /// Outside of a transaction.
    #[default]
    Idle,
    /// Inside one.
    Open,
    /// Inside one that failed and can only be ended.
    Failed,
}

/// What is sent to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command<'a> {
    /// Begins a transaction.
    Begin {
        /// It may then run on a replica.
        read_only: bool,
    },
    /// Rolls back.
    Rollback,
    /// Drops all values and prepared statements of the connection.
    Reset,
    /// Sets a value.
    Set {
        /// Name of the value.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement under its shared name.
    Prepare(&'a PreparedStatement),
    /// A caller's text, unchanged.
    Text(&'a str),
    /// Executes a prepared statement with a caller's arguments.
    Execute {
        /// The statement.
        statement: &'a PreparedStatement,
        /// The arguments, unchanged.
        arguments: &'a str,
    },
    /// Asks for role, term and position.
    Status,
    /// Stops a replica from receiving, ahead of a promotion to `term`.
    Pause {
        /// Term above the newest.
        term: u64,
    },
    /// Lets a paused replica receive again.
    Resume,
    /// Makes a leader of an earlier term a replica.
    StepDown {
        /// Term above the leader's.
        term: u64,
    },
}

/// A command with its envelope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope<'a> {
    /// The caller's id, or none for the engine's own statements.
    pub id: Option<&'a str>,
    /// The position that the instance's log must hold.
    pub since: Option<Position>,
    /// What to do.
    pub command: Command<'a>,
}

impl<'a> Envelope<'a> {
    /// A statement of the engine's own, without a caller's id.
    pub const fn own(command: Command<'a>) -> Self {
        Envelope {
            id: None,
            since: None,
            command,
        }
    }
}

/// Why a back end did not do what it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BackEndErrorKind {
    /// All its slots are taken; not run.
    Busy,
    /// Its log lacks the asked position; not run.
    Behind,
    /// It does not lead; not run.
    ReadOnly,
    /// It is not the instance that was asked for; not run.
    WrongInstance,
    /// It takes no more connections; not run.
    TooManyConnections,
    /// It does not know the prepared statement; not run.
    UnknownStatement,
    /// It ran and failed.
    Failed,
    /// It ran for too long.
    TimedOut,
    /// Anything else.
    Other,
}

impl BackEndErrorKind {
    /// Whether the statement has certainly not run.
    pub const fn is_not_run(self) -> bool {
        !matches!(
            self,
            BackEndErrorKind::Failed | BackEndErrorKind::TimedOut | BackEndErrorKind::Other
        )
    }

    /// The name in logs.
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

/// An error as the back end told it; passed on to the caller unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndError {
    /// What it means.
    pub kind: BackEndErrorKind,
    /// Its code in the back end's words.
    pub code: String,
    /// Its text.
    pub text: String,
}

/// One message of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackEndMessage {
    /// A row.
    Row(String),
    /// The statement's success, with the instance's signature.
    Complete(String),
    /// The statement's failure.
    Error(BackEndError),
    /// The end of an answer.
    Ready {
        /// Where the connection stands.
        state: TransactionState,
        /// Position of the instance's log.
        position: Option<Position>,
    },
}

/// A back end's whole answer to one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Rows, unchanged.
    pub rows: Vec<String>,
    /// The signature of a success, or the error.
    pub result: Result<String, BackEndError>,
    /// Where the connection stands.
    pub state: TransactionState,
    /// Position of the instance's log.
    pub position: Option<Position>,
}

/// What an instance tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Whether it leads.
    pub is_leader: bool,
    /// Its term.
    pub term: u64,
    /// What its log has received.
    pub received: Position,
}
