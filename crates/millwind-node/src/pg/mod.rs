//! PostgreSQL protocol messages, encoded and decoded by the `pgwire` library.

pub mod answer;
pub mod backend;
pub mod error_answer;
pub mod status;

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::{DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion};

/// Transaction status byte of an idle connection.
pub const STATUS_IDLE: u8 = b'I';
/// Transaction status byte inside a transaction.
pub const STATUS_TRANSACTION: u8 = b'T';

/// Returns a decode context for messages after the startup phase.
pub fn established_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Appends an encoded frontend message to `out`.
pub fn put_frontend(out: &mut BytesMut, message: &PgWireFrontendMessage) -> Result<(), PgWireError> {
    message.encode(out)
}

/// Appends an encoded backend message to `out`.
pub fn put_backend(out: &mut BytesMut, message: &PgWireBackendMessage) -> Result<(), PgWireError> {
    message.encode(out)
}

/// Appends an encoded simple query to `out`.
pub fn put_query(out: &mut BytesMut, text: &str) -> Result<(), PgWireError> {
    let query = pgwire::messages::simplequery::Query::new(text.to_owned());
    put_frontend(out, &PgWireFrontendMessage::Query(query))
}
