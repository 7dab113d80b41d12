//! Why a question to another node has no answer.

use thiserror::Error;

/// Why a question to another node has no answer.
#[derive(Debug, Error)]
pub enum AskError {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    NotConnected(#[source] std::io::Error),
    /// The connection did not open in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection ended, or broke.
    #[error("connection lost with {received_bytes} bytes of an answer")]
    Lost {
        /// Bytes of the answer that had arrived.
        received_bytes: usize,
    },
    /// Nothing arrived for too long.
    #[error("silent after {received_bytes} bytes of an answer")]
    Silent {
        /// Bytes of the answer that had arrived.
        received_bytes: usize,
    },
    /// The question cannot be written, or the answer cannot be read.
    #[error("malformed message: {0}")]
    Malformed(#[from] binrw::Error),
}
