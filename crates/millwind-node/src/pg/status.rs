//! The status query: reads role, log position, term and term history of an instance
//! in one statement.

use bytes::BytesMut;
use millwind_core::group_view::{InstanceStatus, Role};
use millwind_core::position::{LogPosition, Position, Term, TermStart};
use pgwire::error::PgWireError;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::{Bind, Execute, Parse, Sync};
use thiserror::Error;

use super::answer::Answer;
use super::put_frontend;

/// Statement that returns the status of an instance.
pub const STATUS_QUERY: &str = "SELECT pg_is_in_recovery(), \
CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END, \
timeline_id, \
CASE WHEN timeline_id > 1 THEN pg_read_file('pg_wal/' || lpad(upper(to_hex(timeline_id)), 8, '0') || '.history', true) END, \
CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_lsn() END \
FROM pg_control_checkpoint()";

/// Name of the prepared status query on each back-end connection.
const STATEMENT_NAME: &str = "millwind_status";

/// Appends the messages that prepare the status query.
pub fn put_status_prepare(out: &mut BytesMut) -> Result<(), PgWireError> {
    let parse = Parse::new(
        Some(STATEMENT_NAME.to_owned()),
        STATUS_QUERY.to_owned(),
        Vec::new(),
    );
    put_frontend(out, &PgWireFrontendMessage::Parse(parse))?;
    put_frontend(out, &PgWireFrontendMessage::Sync(Sync::new()))
}

/// Appends the messages that execute the prepared status query.
pub fn put_status_request(out: &mut BytesMut) -> Result<(), PgWireError> {
    let bind = Bind::new(
        None,
        Some(STATEMENT_NAME.to_owned()),
        Vec::new(),
        Vec::new(),
        Vec::new(),
    );
    put_frontend(out, &PgWireFrontendMessage::Bind(bind))?;
    put_frontend(out, &PgWireFrontendMessage::Execute(Execute::new(None, 0)))?;
    put_frontend(out, &PgWireFrontendMessage::Sync(Sync::new()))
}

/// Why a status response could not be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum StatusError {
    /// The instance returned an error.
    #[error("status query failed: {0}")]
    Sql(String),
    /// A column is missing or malformed.
    #[error("status response: column {0} is missing or malformed")]
    Column(&'static str),
}

/// Parses a response to [`STATUS_QUERY`]. Fails if the response is an error, or if
/// role, position or timeline is missing or malformed.
pub fn parse_status(answer: &Answer) -> Result<InstanceStatus, StatusError> {
    if let Some(error) = &answer.error {
        return Err(StatusError::Sql(format!("{}: {}", error.sqlstate, error.message)));
    }
    let row = answer.rows.first().ok_or(StatusError::Column("row"))?;
    let column = |index: usize| row.get(index).and_then(|value| value.as_deref());
    let role = match column(0) {
        Some("t") => Role::Replica,
        Some("f") => Role::Primary,
        _ => return Err(StatusError::Column("pg_is_in_recovery")),
    };
    let log_position: LogPosition = column(1)
        .and_then(|text| text.parse().ok())
        .ok_or(StatusError::Column("position"))?;
    let term: u64 = column(2)
        .and_then(|text| text.parse().ok())
        .ok_or(StatusError::Column("timeline_id"))?;
    Ok(InstanceStatus {
        role,
        position: Position {
            term: Term(term),
            log_position,
        },
        received: column(4)
            .and_then(|text| text.parse().ok())
            .unwrap_or(log_position),
        history: parse_history(column(3).unwrap_or_default(), term),
    })
}

/// Parses a timeline history file: each line holds a timeline and the position at
/// which its successor branched off. Malformed lines are skipped.
fn parse_history(text: &str, current: u64) -> Vec<TermStart> {
    let ends: Vec<(u64, LogPosition)> = text
        .lines()
        .filter_map(|line| {
            let mut fields = line.split_whitespace();
            let term = fields.next()?.parse().ok()?;
            let end = fields.next()?.parse().ok()?;
            Some((term, end))
        })
        .collect();
    let successors = ends
        .iter()
        .skip(1)
        .map(|(term, _)| *term)
        .chain(std::iter::once(current));
    ends.iter()
        .zip(successors)
        .map(|((_, end), successor)| TermStart {
            term: Term(successor),
            start: *end,
        })
        .collect()
}
