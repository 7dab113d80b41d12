//! Error of a request to another node.

use thiserror::Error;

/// The reason why a request to another node failed.
#[derive(Debug, Error)]
pub enum PeerRequestError {
    /// The connection could not be opened.
    #[error("could not connect: {0}")]
    ConnectFailed(#[source] std::io::Error),
    /// The connection was not opened within the timeout.
    #[error("connection attempt timed out")]
    ConnectTimeout,
    /// The connection was closed or failed.
    #[error("connection lost after {received_bytes} bytes of the response")]
    Lost {
        /// Bytes of the response received so far.
        received_bytes: usize,
    },
    /// No data arrived within the silence timeout.
    #[error("timed out after {received_bytes} bytes of the response")]
    Silent {
        /// Bytes of the response received so far.
        received_bytes: usize,
    },
    /// The request could not be encoded, or the response could not be decoded.
    #[error("malformed message: {0}")]
    Malformed(#[from] binrw::Error),
}
