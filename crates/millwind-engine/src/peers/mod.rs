//! What nodes tell each other: the catalog where the store is not heard, and
//! whether a leader is reached.

mod ask_error;
mod client;
mod exchange;
mod server;

use std::time::Duration;

use tokio_util::codec::LengthDelimitedCodec;

pub use ask_error::AskError;
pub use client::PeerClient;
pub use exchange::{Exchange, Testimony};
pub(crate) use exchange::{ask_leader, ask_witnesses, observe_leader};
pub use server::serve;

/// Longest message in bytes.
const MESSAGE_LIMIT: usize = 64 * 1024 * 1024;
/// A peer says something within this time, also while a long answer arrives: many
/// round trips between regions, on a busy machine.
const SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// The same on a connection that is kept from earlier questions: it may have fallen
/// silent for good while new ones work. Many round trips between regions, and early
/// enough for a new connection within the same limit.
const KEPT_SILENCE_LIMIT: Duration = Duration::from_millis(200);
/// No answer takes longer than this, however steadily it arrives: a few times the
/// bound on a configuration, the largest of them.
const LONGEST_ANSWER: Duration = Duration::from_millis(20_000);

/// Frames of all messages between nodes.
pub(crate) fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_LIMIT)
        .new_codec()
}
