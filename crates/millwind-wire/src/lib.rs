//! Messages between millwind processes and their binary codec.
//!
//! A frame is a length (written by the transport), a protocol version and one
//! [`PeerMessage`]. Lengths are checked before memory is allocated, so a corrupt or
//! malicious frame cannot cause a large allocation.

pub mod compressed;
pub mod control;
pub mod exchange;
pub mod forward;
pub mod request;
pub mod store_revision;
mod text;

use std::io::Cursor;

use binrw::{BinRead, BinWrite, binrw};
use thiserror::Error;

pub use control::ControlMessage;
pub use request::{
    AwaitPrimary, CancelRequest, ExecuteReply, ExecuteRequest, ExecuteResult, GroupStatus, Intent,
    MemberStatus, ResolveReply, ResolveRequest, ResolveResult, WirePosition, WireTermStart,
};

/// Version of the protocol between nodes; the first byte of every frame.
pub const PROTOCOL_VERSION: u8 = 1;
/// Longest frame in bytes, version byte included.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Identifies the sender; the first message on every connection.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Name of the sending node.
    #[br(parse_with = text::read_text)]
    #[bw(write_with = text::write_text)]
    pub node: String,
    /// Start time of the sending process, in milliseconds since 1970.
    pub incarnation: u64,
}

/// A message from one node to another.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// Identifies the sender; the first message on a connection.
    #[brw(magic = 1u8)]
    Hello(Hello),
    /// A control plane message: membership or configuration.
    #[brw(magic = 2u8)]
    Control(ControlMessage),
    /// Runs a batch of statements on an instance.
    #[brw(magic = 3u8)]
    Execute(ExecuteRequest),
    /// Reply to `Execute`.
    #[brw(magic = 4u8)]
    ExecuteReply(ExecuteReply),
    /// Resolves a request whose outcome is unknown.
    #[brw(magic = 5u8)]
    Resolve(ResolveRequest),
    /// Reply to `Resolve`.
    #[brw(magic = 6u8)]
    ResolveReply(ResolveReply),
    /// Asks for a group's primary, optionally waiting for a change.
    #[brw(magic = 7u8)]
    AwaitPrimary(AwaitPrimary),
    /// Reply to `AwaitPrimary`.
    #[brw(magic = 8u8)]
    GroupStatus(GroupStatus),
    /// Cancels a request, or rolls back and releases a pinned connection.
    #[brw(magic = 9u8)]
    Cancel(CancelRequest),
    /// Shows that an idle connection is alive.
    #[brw(magic = 10u8)]
    KeepAlive,
}

/// Why a frame cannot be decoded.
#[derive(Debug, Error)]
pub enum WireError {
    /// The frame is empty or has another protocol version.
    #[error("frame has protocol version {found:?}, this node speaks {PROTOCOL_VERSION}")]
    Version {
        /// Version of the frame; none if the frame is empty.
        found: Option<u8>,
    },
    /// The content of the frame is malformed.
    #[error("frame cannot be decoded: {0}")]
    Malformed(#[from] binrw::Error),
    /// The frame has additional bytes after the message.
    #[error("frame has {0} bytes after its message")]
    TrailingBytes(usize),
}

/// Encodes a message with its version byte.
pub fn encode(message: &PeerMessage) -> Result<Vec<u8>, WireError> {
    let mut cursor = Cursor::new(vec![PROTOCOL_VERSION]);
    cursor.set_position(1);
    message.write(&mut cursor)?;
    Ok(cursor.into_inner())
}

/// Decodes a frame. Fails if the version differs, the content is malformed or bytes
/// follow the message.
pub fn decode(frame: &[u8]) -> Result<PeerMessage, WireError> {
    match frame.first() {
        Some(&PROTOCOL_VERSION) => {}
        other => {
            return Err(WireError::Version {
                found: other.copied(),
            });
        }
    }
    let mut cursor = Cursor::new(frame);
    cursor.set_position(1);
    let message = PeerMessage::read(&mut cursor)?;
    let trailing = frame.len() - cursor.position() as usize;
    if trailing > 0 {
        return Err(WireError::TrailingBytes(trailing));
    }
    Ok(message)
}
