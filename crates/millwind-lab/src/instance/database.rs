//! SQLite database of a simulated instance, and log replay into the database.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rusqlite::types::Value;
use rusqlite::{Connection, OpenFlags};

use super::Instance;
use super::log_state::{Entry, Statement};

const BUSY_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_REPLAY_WAIT: Duration = Duration::from_millis(20);

/// Opens a connection to the in-memory database of `generation`.
pub fn open(instance: &Instance, generation: u64) -> rusqlite::Result<Connection> {
    let flags =
        OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_CREATE | OpenFlags::SQLITE_OPEN_URI;
    let name = &instance.settings.name;
    let port = instance.settings.listen.port();
    let connection =
        Connection::open_with_flags(format!("file:/{name}-{port}-{generation}?vfs=memdb"), flags)?;
    connection.busy_timeout(BUSY_TIMEOUT)?;
    Ok(connection)
}

/// Executes a statement with its parameters; returns the number of changed rows.
pub fn execute(connection: &Connection, statement: &Statement) -> rusqlite::Result<usize> {
    let mut prepared = connection.prepare_cached(&statement.sql)?;
    bind(&mut prepared, &statement.parameters)?;
    let mut rows = prepared.raw_query();
    while rows.next()?.is_some() {}
    drop(rows);
    Ok(connection.changes() as usize)
}

/// Binds `$1`, `$2` and so on. Text that parses as an integer is bound as one.
pub fn bind(prepared: &mut rusqlite::Statement<'_>, parameters: &[Option<String>]) -> rusqlite::Result<()> {
    for (index, parameter) in parameters.iter().enumerate() {
        let Some(parameter_number) = prepared.parameter_index(&format!("${}", index + 1))? else {
            continue;
        };
        let value = match parameter {
            None => Value::Null,
            Some(text) => text
                .parse()
                .map(Value::Integer)
                .unwrap_or_else(|_| Value::Text(text.clone())),
        };
        prepared.raw_bind_parameter(parameter_number, value)?;
    }
    Ok(())
}

/// Executes all statements of an entry in one transaction.
fn apply_entry(connection: &Connection, entry: &Entry) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN IMMEDIATE")?;
    for statement in &entry.statements {
        execute(connection, statement)?;
    }
    connection.execute_batch("COMMIT")
}

/// Replays received entries, each after the configured replay lag.
pub async fn replay_log(instance: Arc<Instance>) {
    let mut changed = instance.state.subscribe();
    let mut open_generation = None;
    let mut connection = None;
    loop {
        let now = Instant::now();
        let (generation, due, wait) = {
            let state = instance.state.lock();
            let next = state
                .received
                .get(state.applied)
                .map(|received| *received + state.lag);
            let due = next.is_some_and(|due| due <= now);
            let wait = next.map_or(MAX_REPLAY_WAIT, |due| {
                due.saturating_duration_since(now).min(MAX_REPLAY_WAIT)
            });
            (state.generation, due, wait)
        };
        if !due {
            let _ = tokio::time::timeout(wait, changed.changed()).await;
            continue;
        }
        if open_generation != Some(generation) {
            connection = open(&instance, generation).ok();
            open_generation = Some(generation);
        }
        let Some(connection) = &connection else { continue };
        replay_next_entry(&instance, connection, generation);
        tokio::task::yield_now().await;
    }
}

/// Replays the next entry while holding the state lock, which prevents a
/// concurrent truncation of the log.
pub fn replay_next_entry(instance: &Instance, connection: &Connection, generation: u64) {
    let mut state = instance.state.lock();
    if state.generation != generation || state.applied >= state.log.len() {
        return;
    }
    if let Err(error) = apply_entry(connection, &state.log[state.applied]) {
        log::error!(
            "event=replay_failed instance={} error={:?}",
            instance.settings.name,
            error.to_string()
        );
        let _ = connection.execute_batch("ROLLBACK");
        return;
    }
    state.applied += 1;
    drop(state);
    instance.state.notify();
}

/// Replays all received entries, as a new primary does before it accepts writes.
pub fn replay_all(instance: &Instance) {
    let generation = instance.state.lock().generation;
    let Ok(connection) = open(instance, generation) else {
        return;
    };
    loop {
        {
            let state = instance.state.lock();
            if state.applied >= state.log.len() || state.generation != generation {
                return;
            }
        }
        replay_next_entry(instance, &connection, generation);
    }
}
