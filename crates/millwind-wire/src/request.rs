//! Messages of the request path, between the gateway of a client connection and the
//! node that owns a backend instance.

use binrw::binrw;

use crate::text::{read_bytes, read_list, read_text, write_bytes, write_list, write_text};

/// A term and a log position; term zero means that there is no position.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WirePosition {
    /// The term; zero for no position.
    pub term: u64,
    /// Log position in the term.
    pub log_position: u64,
}

/// The log position at which a term starts.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WireTermStart {
    /// The term.
    pub term: u64,
    /// First log position of the term.
    pub start: u64,
}

/// Kind of a batch, which decides how the owner runs it.
#[binrw]
#[brw(big, repr = u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intent {
    /// A read, which may run on a replica that has reached the session token.
    Read = 1,
    /// A write in a transaction of its own.
    Write = 2,
    /// Opens a transaction and pins a connection to it.
    Begin = 3,
    /// Continues a pinned transaction.
    Continue = 4,
    /// Only parses and describes statements.
    Describe = 5,
    /// Commits a pinned transaction.
    Commit = 6,
    /// Asks for the primary's confirmed position; the batch is empty.
    Floor = 7,
}

/// A request to run a batch of statements on an instance.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecuteRequest {
    /// Unique on the connection and repeated in the reply.
    pub request_id: u64,
    /// Kind of the batch.
    pub intent: Intent,
    /// Tenant whose resource share is charged.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub tenant: String,
    /// Database group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub group: String,
    /// Instance of the group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub instance: String,
    /// Pinned connection for `Continue`; zero otherwise.
    pub pin: u64,
    /// Time left until the reply is due, in milliseconds.
    pub window_ms: u32,
    /// Weight of the tenant in the queue.
    pub weight: u32,
    /// Value of the request relative to others.
    pub value: u32,
    /// Position that the session must observe.
    pub token: WirePosition,
    /// Maximum staleness of the data, in milliseconds.
    pub staleness_ms: u64,
    /// Longest wait for the instance to catch up, in milliseconds.
    pub wait_ms: u32,
    /// The client's request id; empty for none.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub request_key: String,
    /// Encoded frontend messages, ending with a `Query` or `Sync`.
    #[br(parse_with = read_bytes)]
    #[bw(write_with = write_bytes)]
    pub batch: Vec<u8>,
}

/// Result of a batch.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecuteResult {
    /// The backend answered, and any required confirmation succeeded.
    #[brw(magic = 1u8)]
    Answered {
        /// Position after a write, or before a read.
        position: WirePosition,
        /// Transaction status byte of the final `ReadyForQuery`.
        transaction_status: u8,
        /// Pinned connection; zero if none is held.
        pin: u64,
        /// Encoded backend messages without the final `ReadyForQuery`.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        batch: Vec<u8>,
    },
    /// The proxy rejected the batch or failed to run it.
    #[brw(magic = 2u8)]
    Failed {
        /// Code of the error kind.
        kind: u8,
        /// Progress of the batch: 0 not sent, 1 sent, 2 known to have had no effect.
        progress: u8,
        /// Detail for error messages and logs.
        #[br(parse_with = read_text)]
        #[bw(write_with = write_text)]
        detail: String,
    },
}

/// Reply to [`ExecuteRequest`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecuteReply {
    /// Id of the request that this replies to.
    pub request_id: u64,
    /// Result of the batch.
    pub result: ExecuteResult,
    /// 1 if the instance was the primary of its group when it answered, else 0.
    pub primary: u8,
    /// Position last reported by the instance.
    pub held: WirePosition,
    /// Term starts known to the instance.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub history: Vec<WireTermStart>,
    /// Replication lag of the instance, in milliseconds.
    pub lag_ms: u32,
}

/// A request to resolve the outcome of an earlier request.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolveRequest {
    /// Unique on the connection.
    pub request_id: u64,
    /// Database group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub group: String,
    /// Instance that leads the group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub instance: String,
    /// The client's request id.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub request_key: String,
    /// Time left, in milliseconds.
    pub window_ms: u32,
}

/// Outcome of a request id according to the ledger.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResolveResult {
    /// The request took effect.
    #[brw(magic = 1u8)]
    Committed {
        /// Position that includes the effect.
        position: WirePosition,
        /// Encoded backend messages of the original reply.
        #[br(parse_with = read_bytes)]
        #[bw(write_with = write_bytes)]
        batch: Vec<u8>,
    },
    /// The request did not take effect and never will.
    #[brw(magic = 2u8)]
    Fenced,
    /// The outcome could not be determined now.
    #[brw(magic = 3u8)]
    Unsettled,
}

/// Reply to [`ResolveRequest`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolveReply {
    /// Id of the request that this replies to.
    pub request_id: u64,
    /// Outcome of the earlier request.
    pub result: ResolveResult,
}

/// A request for a group's primary that waits for a term above the known one.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AwaitPrimary {
    /// Unique on the connection.
    pub request_id: u64,
    /// Database group.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub group: String,
    /// Highest term whose primary is known to be unavailable; zero accepts any primary.
    pub above_term: u64,
    /// Longest wait, in milliseconds.
    pub wait_ms: u32,
}

/// State of one instance as known to its owner.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Name of the instance.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub instance: String,
    /// 1 if the instance is the primary of the highest term, else 0.
    pub primary: u8,
    /// Position of the instance; term zero if unknown.
    pub position: WirePosition,
    /// Time since the last report of the instance, in milliseconds.
    pub age_ms: u32,
}

/// Reply to [`AwaitPrimary`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupStatus {
    /// Id of the request that this replies to.
    pub request_id: u64,
    /// Highest known term.
    pub term: u64,
    /// Instances of the group.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub members: Vec<MemberStatus>,
    /// Known term starts.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub history: Vec<WireTermStart>,
}

/// A request to cancel another request, or to roll back and release a pinned connection.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelRequest {
    /// Request to cancel; zero for none.
    pub request_id: u64,
    /// Instance of the pinned connection; empty for none.
    #[br(parse_with = read_text)]
    #[bw(write_with = write_text)]
    pub instance: String,
    /// Pinned connection to release; zero for none.
    pub pin: u64,
}
