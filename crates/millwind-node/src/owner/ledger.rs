//! The request ledger: a row keyed by the caller's request id, written in the
//! same transaction as the request, makes a repeat find the first result.
//!
//! A request whose outcome is unknown is settled by trying to insert a fenced
//! row for its id. If that succeeds, the request can never commit, for its own
//! insert would conflict: "not run" is then proven. If it conflicts, the row
//! that is there holds the first answer.

use bytes::BytesMut;
use millwind_core::error_kind::ErrorKind;
use millwind_core::group_view::InstanceStatus;
use millwind_core::position::Term;
use millwind_wire::{ResolveResult, WirePosition};

use super::execute::{Answered, Execution, Failure, answered, is_refusal, read_status};
use crate::pg::answer::{Answer, SqlError};
use crate::pg::backend::{BackendConnection, BackendError};
use crate::pg::status::{parse_status, put_status_request};
use crate::pg::{STATUS_IDLE, put_query};

/// Table the operators create in each group's database.
pub const LEDGER_TABLE: &str = "millwind_ledger";
/// Statement that creates it.
pub const CREATE_LEDGER: &str = "CREATE TABLE IF NOT EXISTS millwind_ledger (request_key TEXT PRIMARY KEY, state TEXT NOT NULL, answer TEXT NOT NULL)";
/// Longest request id in bytes.
pub const MAXIMUM_REQUEST_KEY_BYTES: usize = 128;
/// Longest answer the ledger keeps, in bytes.
const MAXIMUM_LEDGER_ANSWER_BYTES: usize = 256 * 1024;
const UNIQUE_VIOLATION: &str = "23505";
/// The operators have not created the ledger table.
const UNDEFINED_TABLE: &str = "42P01";
const STATE_RUNNING: &str = "running";
const STATE_DONE: &str = "done";
const STATE_FENCED: &str = "fenced";

/// Whether a request id may be used: it is put into statements as it is.
pub fn is_valid_key(key: &str) -> bool {
    let legal = |character: char| character.is_ascii_alphanumeric() || "-_.:/".contains(character);
    !key.is_empty() && key.len() <= MAXIMUM_REQUEST_KEY_BYTES && key.chars().all(legal)
}

fn insert(key: &str, state: &str, answer: &str) -> String {
    format!("INSERT INTO {LEDGER_TABLE} (request_key, state, answer) VALUES ('{key}', '{state}', '{answer}')")
}

fn complete(key: &str, answer: &str) -> String {
    format!(
        "UPDATE {LEDGER_TABLE} SET state = '{STATE_DONE}', answer = '{answer}' WHERE request_key = '{key}'"
    )
}

fn select(key: &str) -> String {
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

async fn ask(connection: &mut BackendConnection, text: &str) -> Result<Answer, BackendError> {
    let mut bytes = BytesMut::new();
    put_query(&mut bytes, text).map_err(|error| BackendError::Protocol(error.to_string()))?;
    connection.send(&bytes).await?;
    connection.next_answer().await
}

async fn ask_status(connection: &mut BackendConnection) -> Result<Answer, BackendError> {
    let mut bytes = BytesMut::new();
    put_status_request(&mut bytes).map_err(|error| BackendError::Protocol(error.to_string()))?;
    connection.send(&bytes).await?;
    connection.next_answer().await
}

/// What the ledger holds under a key.
enum Recorded {
    Done(Vec<u8>),
    Fenced,
    Nothing,
}

async fn look_up(connection: &mut BackendConnection, key: &str) -> Result<Recorded, BackendError> {
    let answer = ask(connection, &select(key)).await?;
    let Some(row) = answer.rows.first() else {
        return Ok(Recorded::Nothing);
    };
    let state = row.first().and_then(|value| value.as_deref());
    let stored = row.get(1).and_then(|value| value.as_deref()).and_then(from_hex);
    match (state, stored) {
        (Some(STATE_DONE), Some(bytes)) => Ok(Recorded::Done(bytes)),
        (Some(STATE_FENCED), _) => Ok(Recorded::Fenced),
        _ => Ok(Recorded::Nothing),
    }
}

/// Runs a write in one transaction with its ledger row.
pub async fn run_write(execution: &Execution<'_>) -> Result<Answered, Failure> {
    let term = execution.leading_term()?;
    let mut slot = execution.acquire().await?;
    let mut connection = execution.connection(&mut slot).await?;
    let (inserted, answer) = execution
        .guarded(term, open(execution, &mut connection))
        .await
        // Nothing can be committed before a commit is sent.
        .map_err(|failure| Failure::undone(ErrorKind::TransactionLost, failure.detail))?;
    if let Some(error) = inserted {
        let repeated = repeat(execution, &mut connection, term, &error).await;
        slot.finish(connection);
        return repeated;
    }
    if let Some(error) = answer.error.clone() {
        let rolled_back = execution.guarded(term, ask(&mut connection, "ROLLBACK")).await;
        if rolled_back.is_ok_and(|answer| answer.transaction_status == STATUS_IDLE) {
            slot.finish(connection);
        }
        if is_refusal(&error.sqlstate) {
            return Err(Failure::undone(ErrorKind::NotPrimary, error.message));
        }
        return Ok(Answered {
            transaction_status: STATUS_IDLE,
            ..answered(answer, None, 0)
        });
    }
    if answer.messages.len() > MAXIMUM_LEDGER_ANSWER_BYTES {
        return Err(Failure::undone(
            ErrorKind::AnswerTooLarge,
            "longer than the ledger keeps",
        ));
    }
    let _expected = execution.monitor.expect_commit();
    let status = execution
        .guarded(term, close(execution, &mut connection, &answer))
        .await??;
    slot.finish(connection);
    execution.confirm(&status).await?;
    Ok(Answered {
        transaction_status: STATUS_IDLE,
        ..answered(answer, Some(status.position), 0)
    })
}

/// Opens the transaction, records the request and runs it, in one go.
async fn open(
    execution: &Execution<'_>,
    connection: &mut BackendConnection,
) -> Result<(Option<SqlError>, Answer), BackendError> {
    let mut bytes = BytesMut::new();
    let encode = |error: pgwire::error::PgWireError| BackendError::Protocol(error.to_string());
    put_query(&mut bytes, "BEGIN").map_err(encode)?;
    put_query(
        &mut bytes,
        &insert(&execution.request.request_key, STATE_RUNNING, ""),
    )
    .map_err(encode)?;
    bytes.extend_from_slice(&execution.request.batch);
    connection.send(&bytes).await?;
    connection.next_answer().await?;
    let inserted = connection.next_answer().await?;
    let answer = connection.next_answer().await?;
    Ok((inserted.error, answer))
}

/// Records the answer, commits and asks for the position, in one go. The inner
/// result is an error when the back end says that nothing was committed.
async fn close(
    execution: &Execution<'_>,
    connection: &mut BackendConnection,
    answer: &Answer,
) -> Result<Result<InstanceStatus, Failure>, BackendError> {
    let mut bytes = BytesMut::new();
    let encode = |error: pgwire::error::PgWireError| BackendError::Protocol(error.to_string());
    let recorded = complete(&execution.request.request_key, &to_hex(&answer.messages));
    put_query(&mut bytes, &recorded).map_err(encode)?;
    put_query(&mut bytes, "COMMIT").map_err(encode)?;
    put_status_request(&mut bytes).map_err(encode)?;
    connection.send(&bytes).await?;
    let updated = connection.next_answer().await?;
    let committed = connection.next_answer().await?;
    let status = read_status(connection).await?;
    if let Some(error) = updated.error.or(committed.error) {
        return Ok(Err(Failure::undone(ErrorKind::TransactionLost, error.message)));
    }
    Ok(Ok(status))
}

/// The request id is taken: answers with what the first attempt got.
async fn repeat(
    execution: &Execution<'_>,
    connection: &mut BackendConnection,
    term: Term,
    error: &SqlError,
) -> Result<Answered, Failure> {
    let undo = async {
        ask(connection, "ROLLBACK").await?;
        let recorded = look_up(connection, &execution.request.request_key).await?;
        let answer = ask_status(connection).await?;
        Ok((recorded, answer))
    };
    let (recorded, status) = execution
        .guarded(term, undo)
        .await
        .map_err(|failure| Failure::undone(ErrorKind::TransactionLost, failure.detail))?;
    if is_refusal(&error.sqlstate) {
        return Err(Failure::undone(ErrorKind::NotPrimary, &error.message));
    }
    if error.sqlstate != UNIQUE_VIOLATION {
        let kind = match error.sqlstate.as_str() {
            UNDEFINED_TABLE => ErrorKind::InvalidSetting,
            _ => ErrorKind::TransactionLost,
        };
        let detail = format!("ledger: {} {}", error.sqlstate, error.message);
        return Err(Failure::undone(kind, detail));
    }
    let status = parse_status(&status).map_err(Failure::sent)?;
    execution.confirm(&status).await?;
    match recorded {
        Recorded::Done(messages) => Ok(Answered {
            position: Some(status.position),
            transaction_status: STATUS_IDLE,
            pin: 0,
            messages,
        }),
        Recorded::Fenced => Err(Failure::undone(
            ErrorKind::RequestFenced,
            "fenced by an earlier attempt",
        )),
        Recorded::Nothing => Err(Failure::sent("the first attempt is still running")),
    }
}

/// Commits a pinned transaction, with its ledger row if the caller gave a
/// request id, and asks for the position.
pub async fn commit(
    execution: &Execution<'_>,
    connection: &mut BackendConnection,
    term: Term,
) -> Result<(Answer, InstanceStatus), Failure> {
    let key = &execution.request.request_key;
    let mut bytes = BytesMut::new();
    let encode = |error: pgwire::error::PgWireError| Failure::undone(ErrorKind::Unsupported, error);
    if !key.is_empty() {
        put_query(&mut bytes, &insert(key, STATE_DONE, &to_hex(&commit_answer()))).map_err(encode)?;
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
    let (inserted, answer, status) = execution.guarded(term, exchange).await?;
    if let Some(error) = inserted {
        let repeated = repeat(execution, connection, term, &error).await?;
        let first = Answer {
            messages: BytesMut::from(&repeated.messages[..]),
            transaction_status: STATUS_IDLE,
            ..Answer::default()
        };
        return Ok((first, status));
    }
    Ok((answer, status))
}

/// What a caller is told of a committed transaction.
fn commit_answer() -> Vec<u8> {
    use pgwire::messages::PgWireBackendMessage;
    use pgwire::messages::response::CommandComplete;
    let mut bytes = BytesMut::new();
    let complete = PgWireBackendMessage::CommandComplete(CommandComplete::new("COMMIT".to_owned()));
    // A constant message of a few bytes always fits.
    let _ = complete.encode(&mut bytes);
    bytes.to_vec()
}

/// Settles a request id whose outcome is unknown, on the instance that leads.
pub async fn resolve(execution: &Execution<'_>, key: &str) -> Result<ResolveResult, Failure> {
    let term = execution.leading_term()?;
    let mut slot = execution.acquire().await?;
    let mut connection = execution.connection(&mut slot).await?;
    let _expected = execution.monitor.expect_commit();
    let exchange = async {
        let inserted = ask(&mut connection, &insert(key, STATE_FENCED, "")).await?;
        let recorded = match &inserted.error {
            Some(_) => look_up(&mut connection, key).await?,
            None => Recorded::Fenced,
        };
        let status = ask_status(&mut connection).await?;
        Ok((inserted.error, recorded, status))
    };
    let (error, recorded, status) = execution.guarded(term, exchange).await?;
    slot.finish(connection);
    if error.is_some_and(|error| error.sqlstate != UNIQUE_VIOLATION) {
        return Ok(ResolveResult::Unsettled);
    }
    let status = parse_status(&status).map_err(Failure::sent)?;
    execution.confirm(&status).await?;
    Ok(match recorded {
        Recorded::Done(batch) => ResolveResult::Committed {
            position: WirePosition {
                term: status.position.term.0,
                log_position: status.position.log_position.0,
            },
            batch,
        },
        Recorded::Fenced => ResolveResult::Fenced,
        Recorded::Nothing => ResolveResult::Unsettled,
    })
}
