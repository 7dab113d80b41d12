//! Messages of the request path, between the gateway that holds a caller and
//! the owner of a back-end instance.

use binrw::binrw;

use crate::text::{read_bytes, read_list, read_text, write_bytes, write_list, write_text};

/// A term and a log position; term zero means "none".
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WirePosition {
    /// Term, zero for none.
    pub term: u64,
    /// Log position in that term.
    pub log_position: u64,
}

/// Where a term branched off its predecessor.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WireTermStart {
    /// The term.
    pub term: u64,
    /// Its first log position.
    pub start: u64,
}

/// What a batch is, which decides how the owner runs it.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intent {
    /// Changes nothing; may run on a replica that covers the token.
    Read = 1,
    /// Changes something, in one transaction of its own.
    Write = 2,
    /// Opens a transaction and pins a connection to it.
    Begin = 3,
    /// Goes on in a pinned transaction.
    Continue = 4,
    /// Only parses and describes; changes nothing.
    Describe = 5,
    /// Ends a pinned transaction by committing it.
    Commit = 6,
    /// Asks for the primary's confirmed position; the batch is empty.
    Floor = 7,
}

/// Run a batch of statements on an instance.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecuteRequest {
    /// Unique on the link; the reply carries it back.
    pub request_id: u64,
    /// What the batch is.
    pub intent: Intent,
    /// Tenant whose share it draws on.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub tenant: String,
    /// Database group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub group: String,
    /// Instance of that group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub instance: String,
    /// Pinned connection for `Continue`, zero otherwise.
    pub pin: u64,
    /// Time left until the answer must be there, in milliseconds.
    pub window_ms: u32,
    /// Weight of the tenant in the queue.
    pub weight: u32,
    /// What the request counts for.
    pub value: u32,
    /// Position the session must see.
    pub token: WirePosition,
    /// How stale the data may be, in milliseconds.
    pub staleness_ms: u64,
    /// How long to wait for the instance to catch up, in milliseconds.
    pub wait_ms: u32,
    /// The caller's request id, empty for none.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub request_key: String,
    /// Encoded frontend messages, ending with a `Query` or `Sync`.
    #[br(parse_with = read_bytes)]
    #[bw(write_with = write_bytes)]
    pub batch: Vec<u8>,
}

/// What became of a batch.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecuteResult {
    /// The back end answered, and what must be confirmed was confirmed.
    #[brw(magic = 1u8)]
    Answered {
        /// Position after a write, or before a read.
        position: WirePosition,
        /// Transaction status byte of the final `ReadyForQuery`.
        transaction_status: u8,
        /// Pinned connection, zero when none is held.
        pin: u64,
        /// Encoded backend messages without the final `ReadyForQuery`.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        batch: Vec<u8>,
    },
    /// The proxy refused or failed it.
    #[brw(magic = 2u8)]
    Failed {
        /// Code of the error kind.
        kind: u8,
        /// How far it got: 0 not sent, 1 sent, 2 proven undone.
        progress: u8,
        /// Detail for people and logs.
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        detail: String,
    },
}

/// Answer to [`ExecuteRequest`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecuteReply {
    /// Number of the request.
    pub request_id: u64,
    /// What became of it.
    pub result: ExecuteResult,
    /// True when the instance led its group when it answered.
    pub primary: u8,
    /// Position last heard from the instance.
    pub held: WirePosition,
    /// Term starts known to the instance.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub history: Vec<WireTermStart>,
    /// How far the instance is behind the primary, in milliseconds.
    pub lag_ms: u32,
}

/// Settle a request id whose outcome is unknown.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolveRequest {
    /// Unique on the link.
    pub request_id: u64,
    /// Database group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub group: String,
    /// Instance that leads the group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub instance: String,
    /// The caller's request id.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub request_key: String,
    /// Time left, in milliseconds.
    pub window_ms: u32,
}

/// What the ledger says of a request id.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResolveResult {
    /// It took effect; this was its answer.
    #[brw(magic = 1u8)]
    Committed {
        /// Position that covers the effect.
        position: WirePosition,
        /// Encoded backend messages of the first answer.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        batch: Vec<u8>,
    },
    /// It did not take effect and never will.
    #[brw(magic = 2u8)]
    Fenced,
    /// It could not be settled now.
    #[brw(magic = 3u8)]
    Unsettled,
}

/// Answer to [`ResolveRequest`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolveReply {
    /// Number of the request.
    pub request_id: u64,
    /// What was found.
    pub result: ResolveResult,
}

/// Ask for a group's primary, waiting for one that differs from the known.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AwaitPrimary {
    /// Unique on the link.
    pub request_id: u64,
    /// Database group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub group: String,
    /// A primary of this term or a lower one is already known not to serve;
    /// zero accepts any.
    pub above_term: u64,
    /// How long to wait, in milliseconds.
    pub wait_ms: u32,
}

/// What an owner knows of one instance.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// The instance.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub instance: String,
    /// 1 when it is the primary of the highest term, else 0.
    pub primary: u8,
    /// Its position, term zero when unknown.
    pub position: WirePosition,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u32,
}

/// Answer to [`AwaitPrimary`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupStatus {
    /// Number of the request.
    pub request_id: u64,
    /// Highest term known.
    pub term: u64,
    /// The group's instances.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub members: Vec<MemberStatus>,
    /// Term starts known.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub history: Vec<WireTermStart>,
}

/// Cancel a request, or roll back and free a pinned connection.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelRequest {
    /// Request to cancel, zero for none.
    pub request_id: u64,
    /// Instance of the pinned connection, empty for none.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub instance: String,
    /// Pinned connection to free, zero for none.
    pub pin: u64,
}
