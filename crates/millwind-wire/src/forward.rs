//! Protocol for forwarding statements to the engine node that holds the connections to
//! an instance.
//!
//! Messages on a link are related only by call and lease numbers. A call is one
//! statement and its answer. A lease is one backend connection that is reserved for the
//! forwarding node while a transaction is open.

use std::io::Cursor;

use binrw::{BinRead, BinWrite, binrw};

use crate::exchange::EXCHANGE_VERSION;
use crate::text;

/// Version of the forwarding protocol; the first byte of every message. It differs from
/// [`EXCHANGE_VERSION`], so that both protocols can share one listener.
pub const FORWARD_VERSION: u8 = 8;

// Equal versions would make messages of the two protocols indistinguishable.
const _: () = assert!(FORWARD_VERSION != EXCHANGE_VERSION);

/// A position in a group's log.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardedPosition {
    /// Term of the log entry.
    pub term: u64,
    /// Log position in the term.
    pub number: u64,
}

/// A commit made by the forwarding session.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardedCommit {
    /// Log position of the commit.
    pub position: ForwardedPosition,
    /// Time since the commit was acknowledged, in microseconds.
    pub acknowledged_ago_us: u64,
}

/// Lowest log position that a read must observe.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedFloor {
    /// No minimum position.
    #[brw(magic = 0u8)]
    Any,
    /// The instance's log must include this position.
    #[brw(magic = 1u8)]
    Position(ForwardedPosition),
    /// The receiver derives the position from a staleness bound.
    #[brw(magic = 2u8)]
    Staleness {
        /// Time since the read arrived, in microseconds.
        arrived_ago_us: u64,
        /// Maximum accepted staleness, in milliseconds.
        staleness_ms: u64,
        /// The session's last commit; at most one element.
        #[br(parse_with = text::read_list)]
        #[bw(write_with = text::write_list)]
        written: Vec<ForwardedCommit>,
    },
}

/// The transaction to begin before the statement.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardedBegin {
    /// No transaction.
    None = 0,
    /// A read-only transaction, which may run on a replica.
    ReadOnly = 1,
    /// A read-write transaction, which only a leader accepts.
    ReadWrite = 2,
}

/// A tenant, as an element of a list.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedTenant {
    /// Name of the tenant.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub name: String,
}

/// Parameters of a new lease.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedStart {
    /// Name of the instance.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub instance: String,
    /// Tenant that the connection belongs to, at most one element; empty for clients
    /// without a tenant.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub user: Vec<ForwardedTenant>,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Time left until the client's target latency, in milliseconds; zero if it has
    /// passed.
    pub target_latency_left_ms: u32,
    /// Transaction to begin before the first statement.
    pub begin: ForwardedBegin,
    /// Lowest log position that the read must observe.
    pub floor: ForwardedFloor,
}

/// A session variable and its value.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedValue {
    /// Name of the variable.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub name: String,
    /// Value of the variable.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub value: String,
}

/// The execution of a prepared statement.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedExecution {
    /// 1 if the statement writes, else 0.
    pub writes: u8,
    /// Text of the prepared statement, without its name.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub shape: String,
    /// Arguments, passed on unchanged.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub arguments: String,
}

/// A forwarded statement.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedStatement {
    /// Number of the call, unique on the link.
    pub call: u64,
    /// Number of the lease, unique on the link.
    pub lease: u64,
    /// Longest time until the answer, in milliseconds.
    pub limit_ms: u32,
    /// Parameters of the lease, with its first statement; at most one element.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub start: Vec<ForwardedStart>,
    /// Variables of the session.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub values: Vec<ForwardedValue>,
    /// The client's request id.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub id: String,
    /// The client's statement text; unused if `execution` is present.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub text: String,
    /// The prepared statement to execute; at most one element.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub execution: Vec<ForwardedExecution>,
    /// 1 if success proves that the instance is the leader, else 0.
    pub confirms_leader: u8,
}

/// The subject of a loan request.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoanSubject {
    /// Operations from a tenant's quota.
    #[brw(magic = 1u8)]
    Tenant {
        /// Name of the tenant.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        name: String,
    },
    /// Warm-up credits of an instance.
    #[brw(magic = 2u8)]
    Instance {
        /// Name of the instance.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        name: String,
    },
    /// A vote for the lender of an instance, which excludes other lenders for a limited time.
    #[brw(magic = 3u8)]
    LenderVote {
        /// Name of the instance.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        instance: String,
        /// Address of the node that requests to be the lender.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        lender: String,
    },
}

/// A request for a loan, or for a vote for a lender.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// Number of the call, unique on the link.
    pub call: u64,
    /// Subject of the loan.
    pub subject: LoanSubject,
    /// Requested number of operations or credits.
    pub wanted: u32,
}

/// The reply to a [`LoanRequest`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanReply {
    /// Number of the call.
    pub call: u64,
    /// 1 if the node is the lender of the subject or gives its vote; if 0, the other
    /// fields have no meaning.
    pub is_granted: u8,
    /// Number of operations or credits that are lent.
    pub operations: u32,
    /// Delay after which rejected clients may retry, in milliseconds.
    pub retry_after_ms: u32,
}

/// A message from the forwarding node.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardRequest {
    /// Runs a statement.
    #[brw(magic = 1u8)]
    Run(ForwardedStatement),
    /// Rolls back a lease's transaction and ends the lease.
    #[brw(magic = 2u8)]
    End {
        /// Number of the lease.
        lease: u64,
    },
    /// Checks that the receiver is alive.
    #[brw(magic = 3u8)]
    Ping,
    /// Requests a loan.
    #[brw(magic = 4u8)]
    Borrow(LoanRequest),
}

/// A result row.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedRow {
    /// Text of the row, passed on unchanged.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub row: String,
}

/// Outcome of a statement.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedOutcome {
    /// The statement succeeded.
    #[brw(magic = 1u8)]
    Complete {
        /// The instance's signature of the result.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        signature: String,
    },
    /// The instance returned an error.
    #[brw(magic = 2u8)]
    BackEnd {
        /// Numeric error kind.
        kind: u8,
        /// Error code of the backend protocol.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        code: String,
        /// Error text.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        text: String,
    },
    /// The instance gave no answer.
    #[brw(magic = 3u8)]
    Link {
        /// Numeric kind of the connection failure.
        kind: u8,
    },
    /// The statement was not sent because the instance is warming up and at its limit.
    #[brw(magic = 4u8)]
    WarmingUp {
        /// Delay after which the client may retry, in milliseconds.
        retry_after_ms: u32,
    },
}

/// A node's knowledge of a group's leader.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderReport {
    /// Name of the leader instance.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub instance: String,
    /// Term that the instance leads; its log may still end in an earlier term.
    pub term: u64,
    /// Log position in the leader's last answer that proved its leadership.
    pub position: ForwardedPosition,
    /// Time since the request for that answer was sent, in microseconds.
    pub asked_ago_us: u64,
}

/// The answer to a forwarded statement.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedAnswer {
    /// Number of the call.
    pub call: u64,
    /// Outcome of the statement.
    pub outcome: ForwardedOutcome,
    /// Result rows.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub rows: Vec<ForwardedRow>,
    /// Transaction state of the connection: 0 idle, 1 in a transaction, 2 in a failed
    /// transaction.
    pub state: u8,
    /// Position of the instance's log; at most one element.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub position: Vec<ForwardedPosition>,
    /// The group's leader; at most one element.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub leader: Vec<LeaderReport>,
}

/// A message to the forwarding node.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardReply {
    /// The answer to a statement.
    #[brw(magic = 1u8)]
    Answer(ForwardedAnswer),
    /// Reply to `Ping`.
    #[brw(magic = 2u8)]
    Pong,
    /// The sender is shutting down: open leases may finish, and it accepts no new ones.
    #[brw(magic = 3u8)]
    Leaving,
    /// Reply to `Borrow`.
    #[brw(magic = 4u8)]
    Loan(LoanReply),
}

/// Encodes a message with its version byte.
pub fn encode_forward<T>(message: &T) -> Result<Vec<u8>, binrw::Error>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let mut output = Cursor::new(vec![FORWARD_VERSION]);
    output.set_position(1);
    message.write_be(&mut output)?;
    Ok(output.into_inner())
}

/// Whether a message belongs to the forwarding protocol.
pub fn is_forward(bytes: &[u8]) -> bool {
    bytes.first() == Some(&FORWARD_VERSION)
}

/// Decodes a message. Fails if the version differs or the content is malformed.
pub fn decode_forward<T>(bytes: &[u8]) -> Result<T, binrw::Error>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let Some((&FORWARD_VERSION, body)) = bytes.split_first() else {
        return Err(binrw::Error::AssertFail {
            pos: 0,
            message: "unknown protocol version".to_owned(),
        });
    };
    T::read_be(&mut Cursor::new(body))
}
