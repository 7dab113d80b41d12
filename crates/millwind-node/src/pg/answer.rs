//! Collects the backend messages of one response, up to `ReadyForQuery`.

use bytes::{Buf, BytesMut};
use pgwire::error::PgWireError;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::response::{ErrorResponse, TransactionStatus};

/// Maximum size of a response; a longer one fails with `ErrorKind::AnswerTooLarge`.
pub const MAXIMUM_ANSWER_BYTES: usize = 48 * 1024 * 1024;
/// Maximum number of rows kept as text, enough for the proxy's own queries.
const MAXIMUM_KEPT_ROWS: usize = 4;

/// An error returned by a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlError {
    /// SQLSTATE.
    pub sqlstate: String,
    /// Human-readable message.
    pub message: String,
}

/// A response of a back end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Encoded messages without the final `ReadyForQuery`.
    pub messages: BytesMut,
    /// Transaction status byte.
    pub transaction_status: u8,
    /// First error in the response.
    pub error: Option<SqlError>,
    /// First rows, with each column as text or `None` for NULL.
    pub rows: Vec<Vec<Option<String>>>,
}

impl Answer {
    /// Adds a message and returns whether it completes the response.
    pub fn push(&mut self, message: PgWireBackendMessage) -> Result<bool, PgWireError> {
        match &message {
            PgWireBackendMessage::ReadyForQuery(ready) => {
                self.transaction_status = status_byte(ready.status);
                return Ok(true);
            }
            PgWireBackendMessage::ErrorResponse(error) => {
                self.error.get_or_insert_with(|| sql_error(error));
            }
            PgWireBackendMessage::DataRow(row) if self.rows.len() < MAXIMUM_KEPT_ROWS => {
                self.rows.push(text_row(row));
            }
            _ => {}
        }
        message.encode(&mut self.messages)?;
        Ok(false)
    }
}

fn status_byte(status: TransactionStatus) -> u8 {
    match status {
        TransactionStatus::Idle => b'I',
        TransactionStatus::Transaction => b'T',
        TransactionStatus::Error => b'E',
    }
}

fn sql_error(error: &ErrorResponse) -> SqlError {
    let field = |code: u8| {
        error
            .fields
            .iter()
            .find(|(name, _)| *name == code)
            .map(|(_, text)| text.clone())
            .unwrap_or_default()
    };
    SqlError {
        sqlstate: field(b'C'),
        message: field(b'M'),
    }
}

fn text_row(row: &DataRow) -> Vec<Option<String>> {
    let mut data = &row.data[..];
    let mut columns = Vec::new();
    for _ in 0..row.field_count {
        if data.remaining() < 4 {
            break;
        }
        let length = data.get_i32();
        match usize::try_from(length) {
            Ok(length) if length <= data.remaining() => {
                let text = String::from_utf8_lossy(&data[..length]).into_owned();
                data.advance(length);
                columns.push(Some(text));
            }
            _ => columns.push(None),
        }
    }
    columns
}
