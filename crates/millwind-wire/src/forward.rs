//! Statements that one engine node passes to another which holds connections
//! to the instance, and the answers.
//!
//! All messages of a link are independent but for the calls and leases that
//! they name: a call is one statement and its answer, a lease one back-end
//! connection that stays with the asking node while a transaction is open.

use std::io::Cursor;

use binrw::{BinRead, BinWrite, binrw};

use crate::exchange::EXCHANGE_VERSION;
use crate::text;

/// Version of this protocol; the first byte of every message. It differs from
/// that of the exchange, so that both may arrive at one listener.
pub const FORWARD_VERSION: u8 = 8;

// A message that both protocols claim would be taken for the wrong one.
const _: () = assert!(FORWARD_VERSION != EXCHANGE_VERSION);

/// A place in a group's log.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardedPosition {
    /// Term.
    pub term: u64,
    /// Position in that term's log.
    pub number: u64,
}

/// A commit of the asking session.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardedCommit {
    /// Its position.
    pub position: ForwardedPosition,
    /// Time since it was acknowledged, in microseconds.
    pub acknowledged_ago_us: u64,
}

/// What a read must see.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedFloor {
    /// Nothing in particular.
    #[brw(magic = 0u8)]
    Any,
    /// The log must hold this position.
    #[brw(magic = 1u8)]
    Position(ForwardedPosition),
    /// The node that holds the connection works the position out.
    #[brw(magic = 2u8)]
    Staleness {
        /// Time since the read arrived, in microseconds.
        arrived_ago_us: u64,
        /// Staleness that it accepts, in milliseconds.
        staleness_ms: u64,
        /// The session's last commit, at most one.
        #[br(parse_with = text::read_list)]
        #[bw(write_with = text::write_list)]
        written: Vec<ForwardedCommit>,
    },
}

/// Whether a transaction is begun before the statement.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardedBegin {
    /// None.
    None = 0,
    /// One that may run on a replica.
    ReadOnly = 1,
    /// One that only a leader accepts.
    ReadWrite = 2,
}

/// A tenant.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedTenant {
    /// Its name.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub name: String,
}

/// How a lease starts.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedStart {
    /// The instance.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub instance: String,
    /// The tenant on whose behalf, at most one; none for callers that are not told
    /// apart.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub user: Vec<ForwardedTenant>,
    /// Priority; zero is served first.
    pub priority: u8,
    /// Time left in which its caller should have the answer, in milliseconds; zero
    /// where it is over.
    pub aim_ms: u32,
    /// Transaction begun first.
    pub begin: ForwardedBegin,
    /// What the read must see.
    pub floor: ForwardedFloor,
}

/// A session value.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedValue {
    /// Its name.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub name: String,
    /// The value.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub value: String,
}

/// A prepared statement with its arguments.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedExecution {
    /// One if it writes.
    pub writes: u8,
    /// Its text, without a name.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub shape: String,
    /// The arguments, unchanged.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub arguments: String,
}

/// One statement.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedStatement {
    /// Number of the call on this link.
    pub call: u64,
    /// Number of the lease on this link.
    pub lease: u64,
    /// Time for an answer, in milliseconds.
    pub limit_ms: u32,
    /// The start, with the first statement of a lease: at most one.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub start: Vec<ForwardedStart>,
    /// Values of the session.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub values: Vec<ForwardedValue>,
    /// The caller's id.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub id: String,
    /// The caller's text; unused where a prepared statement is executed.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub text: String,
    /// The prepared statement to execute, at most one.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub execution: Vec<ForwardedExecution>,
    /// One if a success proves that the instance leads.
    pub confirms_leader: u8,
}

/// What is lent.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedSubject {
    /// Operations of a tenant's quota.
    #[brw(magic = 1u8)]
    Tenant {
        /// The tenant.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        name: String,
    },
    /// Statements that may be sent to an instance which is cold.
    #[brw(magic = 2u8)]
    Instance {
        /// The instance.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        name: String,
    },
    /// The node's word that it lets no other lend places at an instance for a while.
    #[brw(magic = 3u8)]
    Word {
        /// The instance.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        instance: String,
        /// Address of the node that wants to lend.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        lender: String,
    },
}

/// A question for a loan.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedBorrowing {
    /// Number of the call on this link.
    pub call: u64,
    /// What is to be lent.
    pub subject: ForwardedSubject,
    /// How much is wanted.
    pub wanted: u32,
}

/// The answer to such a question.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardedLoan {
    /// Number of the call.
    pub call: u64,
    /// One if the node lends this subject, or gives its word; else the rest says nothing.
    pub counts: u8,
    /// Operations or statements that may be admitted.
    pub operations: u32,
    /// When refused callers may come back, in milliseconds.
    pub retry_after_ms: u32,
}

/// What a node asks of one that holds connections.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardRequest {
    /// Run a statement.
    #[brw(magic = 1u8)]
    Run(ForwardedStatement),
    /// Roll a lease back and end it.
    #[brw(magic = 2u8)]
    End {
        /// The lease.
        lease: u64,
    },
    /// Tell that the node lives.
    #[brw(magic = 3u8)]
    Ping,
    /// Lend something.
    #[brw(magic = 4u8)]
    Borrow(ForwardedBorrowing),
}

/// A row of an answer.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedRow {
    /// The row, unchanged.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub row: String,
}

/// How a statement ended.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardedOutcome {
    /// It succeeded.
    #[brw(magic = 1u8)]
    Complete {
        /// The instance's signature.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        signature: String,
    },
    /// The instance answered with an error.
    #[brw(magic = 2u8)]
    BackEnd {
        /// Number of its kind.
        kind: u8,
        /// Its code in the back end's words.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        code: String,
        /// Its text.
        #[br(parse_with = text::read_text)]
        #[bw(write_with = text::write_text)]
        text: String,
    },
    /// The instance gave no answer.
    #[brw(magic = 3u8)]
    Link {
        /// Number of the failure.
        kind: u8,
    },
    /// The statement was not sent: the instance is cold and had no place for it.
    #[brw(magic = 4u8)]
    WarmingUp {
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u32,
    },
}

/// What a node knows of a group's leader.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderReport {
    /// The instance that leads.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub instance: String,
    /// The term that it leads; its log may stand in an earlier one.
    pub term: u64,
    /// Position in its last answer that proved the lead.
    pub position: ForwardedPosition,
    /// Time since the question to that answer was sent, in microseconds.
    pub asked_ago_us: u64,
}

/// The answer to one statement.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedAnswer {
    /// Number of the call.
    pub call: u64,
    /// How it ended.
    pub outcome: ForwardedOutcome,
    /// Rows.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub rows: Vec<ForwardedRow>,
    /// Where the connection stands: 0 idle, 1 in a transaction, 2 in a failed
    /// one.
    pub state: u8,
    /// Position of the instance's log, at most one.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub position: Vec<ForwardedPosition>,
    /// Who leads the group, at most one.
    #[br(parse_with = text::read_list)]
    #[bw(write_with = text::write_list)]
    pub leader: Vec<LeaderReport>,
}

/// What a node that holds connections tells.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ForwardReply {
    /// A statement ended.
    #[brw(magic = 1u8)]
    Answer(ForwardedAnswer),
    /// The node lives.
    #[brw(magic = 2u8)]
    Pong,
    /// The node stops: open leases may end, new ones go elsewhere.
    #[brw(magic = 3u8)]
    Leaving,
    /// The answer to a question for a loan.
    #[brw(magic = 4u8)]
    Loan(ForwardedLoan),
}

/// Writes a message with its version.
pub fn encode_forward<T>(message: &T) -> Result<Vec<u8>, binrw::Error>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let mut output = Cursor::new(vec![FORWARD_VERSION]);
    output.set_position(1);
    message.write_be(&mut output)?;
    Ok(output.into_inner())
}

/// Whether a message is one of this protocol.
pub fn is_forward(bytes: &[u8]) -> bool {
    bytes.first() == Some(&FORWARD_VERSION)
}

/// Reads a message with its version.
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
