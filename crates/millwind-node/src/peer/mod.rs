//! Links between nodes: framed messages over TCP, with calls matched to their
//! replies by request id and link.

mod link;
mod server;

pub use link::{CallError, DialMap, Patience, PeerLinks};
pub use server::{InboundLink, PeerHandler, serve};

use millwind_wire::MAX_FRAME_BYTES;
use tokio_util::codec::LengthDelimitedCodec;

/// The frame codec of every link.
fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
