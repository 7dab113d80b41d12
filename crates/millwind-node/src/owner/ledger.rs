//! The request ledger makes writes idempotent. Each write that carries a request
//! key inserts a ledger row with that key in its own transaction; a repeated
//! request finds the row and returns the recorded answer.
//!
//! A request whose outcome is unknown is resolved by inserting a fenced row with
//! its key. If the insert succeeds, the request has not committed and never can,
//! because its own insert would violate the primary key. If the insert conflicts,
//! the existing row holds the answer of the request.

use bytes::BytesMut;
use millwind_core::error_kind::ErrorKind;
use millwind_core::group_view::InstanceStatus;
use millwind_core::position::Term;
use millwind_wire::{ResolveResult, WirePosition};

use super::execute::{BatchReply, Execution, Failure, batch_reply, is_write_rejection, read_status};
use crate::pg::answer::{Answer, SqlError};
use crate::pg::backend::{BackendConnection, BackendError};
use crate::pg::status::{parse_status, put_status_request};
use crate::pg::{STATUS_IDLE, put_query};

/// Name of the ledger table, which operators create in each group's database.
pub const LEDGER_TABLE: &str = "millwind_ledger";
/// Statement that creates the ledger table.
pub const CREATE_LEDGER: &str = "CREATE TABLE IF NOT EXISTS millwind_ledger (request_key TEXT PRIMARY KEY, state TEXT NOT NULL, answer TEXT NOT NULL)";
/// Maximum length of a request key, in bytes.
pub const MAXIMUM_REQUEST_KEY_BYTES: usize = 128;
/// Maximum size of an answer that the ledger records, in bytes.
const MAXIMUM_LEDGER_ANSWER_BYTES: usize = 256 * 1024;
/// SQLSTATE of an insert whose request key already has a row.
const UNIQUE_VIOLATION: &str = "23505";
/// SQLSTATE of a statement on a missing ledger table.
const UNDEFINED_TABLE: &str = "42P01";
const STATE_RUNNING: &str = "running";
const STATE_DONE: &str = "done";
const STATE_FENCED: &str = "fenced";

/// Whether a request key contains only characters that need no quoting in SQL;
/// statements embed the key verbatim.
pub fn is_valid_request_key(key: &str) -> bool {
    let legal = |character: char| character.is_ascii_alphanumeric() || "-_.:/".contains(character);
    !key.is_empty() && key.len() <= MAXIMUM_REQUEST_KEY_BYTES && key.chars().all(legal)
}

fn insert_statement(key: &str, state: &str, answer: &str) -> String {
    format!("INSERT INTO {LEDGER_TABLE} (request_key, state, answer) VALUES ('{key}', '{state}', '{answer}')")
}

fn update_statement(key: &str, answer: &str) -> String {
    format!(
        "UPDATE {LEDGER_TABLE} SET state = '{STATE_DONE}', answer = '{answer}' WHERE request_key = '{key}'"
    )
}

fn select_statement(key: &str) -> String {
    format!("SELECT state, answer FROM {LEDGER_TABLE} WHERE request_key = '{key}'")
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

async fn query(connection: &mut BackendConnection, text: &str) -> Result<Answer, BackendError> {
    let mut bytes = BytesMut::new();
    put_query(&mut bytes, text).map_err(|error| BackendError::Protocol(error.to_string()))?;
    connection.send(&bytes).await?;
    connection.next_answer().await
}

async fn query_status(connection: &mut BackendConnection) -> Result<Answer, BackendError> {
    let mut bytes = BytesMut::new();
    put_status_request(&mut bytes).map_err(|error| BackendError::Protocol(error.to_string()))?;
    connection.send(&bytes).await?;
    connection.next_answer().await
}

/// The ledger's record of a request key.
enum LedgerRecord {
    /// The request committed with this answer.
    Done(Vec<u8>),
    /// The request can no longer commit.
    Fenced,
    /// No finished row exists for the key.
    Unfinished,
}

async fn look_up(connection: &mut BackendConnection, key: &str) -> Result<LedgerRecord, BackendError> {
    let answer = query(connection, &select_statement(key)).await?;
    let Some(row) = answer.rows.first() else {
        return Ok(LedgerRecord::Unfinished);
    };
    let state = row.first().and_then(|value| value.as_deref());
    let stored = row.get(1).and_then(|value| value.as_deref()).and_then(from_hex);
    match (state, stored) {
        (Some(STATE_DONE), Some(bytes)) => Ok(LedgerRecord::Done(bytes)),
        (Some(STATE_FENCED), _) => Ok(LedgerRecord::Fenced),
        _ => Ok(LedgerRecord::Unfinished),
    }
}

/// Runs a write and inserts its ledger row in the same transaction.
pub async fn run_write(execution: &Execution<'_>) -> Result<BatchReply, Failure> {
    let term = execution.leading_term()?;
    let mut slot = execution.acquire_slot().await?;
    let mut connection = execution.connection(&mut slot).await?;
    let (inserted, answer) = execution
        .run_in_term(term, begin_and_run(execution, &mut connection))
        .await
        // No COMMIT was sent, so the transaction cannot have committed.
        .map_err(|failure| Failure::rolled_back(ErrorKind::TransactionLost, failure.detail))?;
    if let Some(error) = inserted {
        let recorded_reply = handle_insert_error(execution, &mut connection, term, &error).await;
        slot.finish(connection);
        return recorded_reply;
    }
    if let Some(error) = answer.error.clone() {
        let rolled_back = execution
            .run_in_term(term, query(&mut connection, "ROLLBACK"))
            .await;
        if rolled_back.is_ok_and(|answer| answer.transaction_status == STATUS_IDLE) {
            slot.finish(connection);
        }
        if is_write_rejection(&error.sqlstate) {
            return Err(Failure::rolled_back(ErrorKind::NotPrimary, error.message));
        }
        return Ok(BatchReply {
            transaction_status: STATUS_IDLE,
            ..batch_reply(answer, None, 0)
        });
    }
    if answer.messages.len() > MAXIMUM_LEDGER_ANSWER_BYTES {
        return Err(Failure::rolled_back(
            ErrorKind::AnswerTooLarge,
            "the answer exceeds the ledger's size limit",
        ));
    }
    let _announcement = execution.monitor.announce_commit();
    let status = execution
        .run_in_term(term, record_and_commit(execution, &mut connection, &answer))
        .await??;
    slot.finish(connection);
    execution.confirm(&status).await?;
    Ok(BatchReply {
        transaction_status: STATUS_IDLE,
        ..batch_reply(answer, Some(status.position), 0)
    })
}

/// Begins the transaction, inserts the ledger row and runs the batch, pipelined.
/// Returns the error of the insert, if any, and the answer to the batch.
async fn begin_and_run(
    execution: &Execution<'_>,
    connection: &mut BackendConnection,
) -> Result<(Option<SqlError>, Answer), BackendError> {
    let mut bytes = BytesMut::new();
    let encode = |error: pgwire::error::PgWireError| BackendError::Protocol(error.to_string());
    put_query(&mut bytes, "BEGIN").map_err(encode)?;
    put_query(
        &mut bytes,
        &insert_statement(&execution.request.request_key, STATE_RUNNING, ""),
    )
    .map_err(encode)?;
    bytes.extend_from_slice(&execution.request.batch);
    connection.send(&bytes).await?;
    connection.next_answer().await?;
    let inserted = connection.next_answer().await?;
    let answer = connection.next_answer().await?;
    Ok((inserted.error, answer))
}

/// Records the answer, commits and queries the status, pipelined. The inner
/// result is an error if the back end reports that the commit failed.
async fn record_and_commit(
    execution: &Execution<'_>,
    connection: &mut BackendConnection,
    answer: &Answer,
) -> Result<Result<InstanceStatus, Failure>, BackendError> {
    let mut bytes = BytesMut::new();
    let encode = |error: pgwire::error::PgWireError| BackendError::Protocol(error.to_string());
    let recorded = update_statement(&execution.request.request_key, &to_hex(&answer.messages));
    put_query(&mut bytes, &recorded).map_err(encode)?;
    put_query(&mut bytes, "COMMIT").map_err(encode)?;
    put_status_request(&mut bytes).map_err(encode)?;
    connection.send(&bytes).await?;
    let updated = connection.next_answer().await?;
    let committed = connection.next_answer().await?;
    let status = read_status(connection).await?;
    if let Some(error) = updated.error.or(committed.error) {
        return Ok(Err(Failure::rolled_back(
            ErrorKind::TransactionLost,
            error.message,
        )));
    }
    Ok(Ok(status))
}

/// Handles a failed insert of the ledger row. If the key already has a row,
/// returns the answer that the row records.
async fn handle_insert_error(
    execution: &Execution<'_>,
    connection: &mut BackendConnection,
    term: Term,
    error: &SqlError,
) -> Result<BatchReply, Failure> {
    let lookup = async {
        query(connection, "ROLLBACK").await?;
        let recorded = look_up(connection, &execution.request.request_key).await?;
        let answer = query_status(connection).await?;
        Ok((recorded, answer))
    };
    let (recorded, status) = execution
        .run_in_term(term, lookup)
        .await
        .map_err(|failure| Failure::rolled_back(ErrorKind::TransactionLost, failure.detail))?;
    if is_write_rejection(&error.sqlstate) {
        return Err(Failure::rolled_back(ErrorKind::NotPrimary, &error.message));
    }
    if error.sqlstate != UNIQUE_VIOLATION {
        let kind = match error.sqlstate.as_str() {
            UNDEFINED_TABLE => ErrorKind::InvalidSetting,
            _ => ErrorKind::TransactionLost,
        };
        let detail = format!("ledger: {} {}", error.sqlstate, error.message);
        return Err(Failure::rolled_back(kind, detail));
    }
    let status = parse_status(&status).map_err(Failure::outcome_unknown)?;
    execution.confirm(&status).await?;
    match recorded {
        LedgerRecord::Done(messages) => Ok(BatchReply {
            position: Some(status.position),
            transaction_status: STATUS_IDLE,
            pin: 0,
            messages,
        }),
        LedgerRecord::Fenced => Err(Failure::rolled_back(
            ErrorKind::RequestFenced,
            "the request was fenced when its outcome was resolved",
        )),
        LedgerRecord::Unfinished => Err(Failure::outcome_unknown("the first attempt is still running")),
    }
}

/// Commits a pinned transaction and queries the status. If the request has a
/// key, its ledger row is inserted before the commit.
pub async fn commit(
    execution: &Execution<'_>,
    connection: &mut BackendConnection,
    term: Term,
) -> Result<(Answer, InstanceStatus), Failure> {
    let key = &execution.request.request_key;
    let mut bytes = BytesMut::new();
    let encode = |error: pgwire::error::PgWireError| Failure::rolled_back(ErrorKind::Unsupported, error);
    if !key.is_empty() {
        put_query(
            &mut bytes,
            &insert_statement(key, STATE_DONE, &to_hex(&commit_answer())),
        )
        .map_err(encode)?;
    }
    bytes.extend_from_slice(&execution.request.batch);
    put_status_request(&mut bytes).map_err(encode)?;
    let exchange = async {
        connection.send(&bytes).await?;
        let mut inserted = None;
        if !key.is_empty() {
            inserted = connection.next_answer().await?.error;
        }
        let answer = connection.next_answer().await?;
        let status = read_status(connection).await?;
        Ok((inserted, answer, status))
    };
    let (inserted, answer, status) = execution.run_in_term(term, exchange).await?;
    if let Some(error) = inserted {
        let recorded_reply = handle_insert_error(execution, connection, term, &error).await?;
        let first = Answer {
            messages: BytesMut::from(&recorded_reply.messages[..]),
            transaction_status: STATUS_IDLE,
            ..Answer::default()
        };
        return Ok((first, status));
    }
    Ok((answer, status))
}

/// The encoded `CommandComplete` message of a committed transaction.
fn commit_answer() -> Vec<u8> {
    use pgwire::messages::PgWireBackendMessage;
    use pgwire::messages::response::CommandComplete;
    let mut bytes = BytesMut::new();
    let complete = PgWireBackendMessage::CommandComplete(CommandComplete::new("COMMIT".to_owned()));
    // Encoding a constant message cannot fail.
    let _ = complete.encode(&mut bytes);
    bytes.to_vec()
}

/// Resolves a request whose outcome is unknown, on the primary.
pub async fn resolve(execution: &Execution<'_>, key: &str) -> Result<ResolveResult, Failure> {
    let term = execution.leading_term()?;
    let mut slot = execution.acquire_slot().await?;
    let mut connection = execution.connection(&mut slot).await?;
    let _announcement = execution.monitor.announce_commit();
    let exchange = async {
        let inserted = query(&mut connection, &insert_statement(key, STATE_FENCED, "")).await?;
        let recorded = match &inserted.error {
            Some(_) => look_up(&mut connection, key).await?,
            None => LedgerRecord::Fenced,
        };
        let status = query_status(&mut connection).await?;
        Ok((inserted.error, recorded, status))
    };
    let (error, recorded, status) = execution.run_in_term(term, exchange).await?;
    slot.finish(connection);
    if error.is_some_and(|error| error.sqlstate != UNIQUE_VIOLATION) {
        return Ok(ResolveResult::Unsettled);
    }
    let status = parse_status(&status).map_err(Failure::outcome_unknown)?;
    execution.confirm(&status).await?;
    Ok(match recorded {
        LedgerRecord::Done(batch) => ResolveResult::Committed {
            position: WirePosition {
                term: status.position.term.0,
                log_position: status.position.log_position.0,
            },
            batch,
        },
        LedgerRecord::Fenced => ResolveResult::Fenced,
        LedgerRecord::Unfinished => ResolveResult::Unsettled,
    })
}
