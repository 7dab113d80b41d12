//! Requests between nodes: catalog exchange, reachability and position of leaders, closing of
//! terms, and demand reports.

mod ask_error;
mod client;
mod exchange;
mod server;

use std::time::Duration;

use tokio_util::codec::LengthDelimitedCodec;

pub use ask_error::PeerRequestError;
pub use client::PeerClient;
pub use exchange::{CatalogExchange, PeerReachability};
pub(crate) use exchange::{query_leader, query_reachability, refresh_leader_report};
pub use server::serve;

/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Time without received data after which a peer counts as unresponsive, also in the middle of
/// a long response. It covers many round trips between regions to a busy machine.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence timeout on a cached connection, which may be dead although new connections work. It
/// is short enough to leave time for a new connection within [`SILENCE_TIMEOUT`].
const REUSED_SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time for a complete response, even if data keeps arriving. The largest response is a
/// configuration.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(20_000);

/// Returns the codec that frames all messages between nodes.
pub(crate) fn peer_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}
