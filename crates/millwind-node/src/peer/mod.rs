//! Links between nodes: length-delimited messages over TCP. Replies are matched to
//! calls by request id on each link.

mod link;
mod server;

pub use link::{CallError, DialAddressMap, OnSilence, PeerLinks};
pub use server::{InboundLink, PeerHandler, serve};

use millwind_wire::MAX_FRAME_BYTES;
use tokio_util::codec::LengthDelimitedCodec;

/// Creates the codec that delimits messages on a link.
fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
