//! The database of a stand-in instance, and the replay of the log into it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rusqlite::types::Value;
use rusqlite::{Connection, OpenFlags};

use super::Instance;
use super::log_state::{Entry, Statement};

const BUSY_TIMEOUT: Duration = Duration::from_secs(2);
const LONGEST_SLEEP: Duration = Duration::from_millis(20);

/// Opens a connection to the instance's database of this generation.
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

/// Binds a statement's parameters and runs it.
pub fn run(connection: &Connection, statement: &Statement) -> rusqlite::Result<usize> {
    let mut prepared = connection.prepare_cached(&statement.sql)?;
    bind(&mut prepared, &statement.parameters)?;
    let mut rows = prepared.raw_query();
    while rows.next()?.is_some() {}
    drop(rows);
    Ok(connection.changes() as usize)
}

/// Binds `$1`, `$2` and so on.
pub fn bind(prepared: &mut rusqlite::Statement<'_>, parameters: &[Option<String>]) -> rusqlite::Result<()> {
    for (index, parameter) in parameters.iter().enumerate() {
        let Some(place) = prepared.parameter_index(&format!("${}", index + 1))? else {
            continue;
        };
        let value = match parameter {
            None => Value::Null,
            Some(text) => text
                .parse()
                .map(Value::Integer)
                .unwrap_or_else(|_| Value::Text(text.clone())),
        };
        prepared.raw_bind_parameter(place, value)?;
    }
    Ok(())
}

fn apply(connection: &Connection, entry: &Entry) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN IMMEDIATE")?;
    for statement in &entry.statements {
        run(connection, statement)?;
    }
    connection.execute_batch("COMMIT")
}

/// Replays received entries, each when its lag has passed.
pub async fn replay(instance: Arc<Instance>) {
    let mut changed = instance.state.subscribe();
    let mut open_generation = None;
    let mut connection = None;
    loop {
        let now = Instant::now();
        let (generation, due, wait) = {
            let core = instance.state.lock();
            let next = core
                .received
                .get(core.applied)
                .map(|received| *received + core.lag);
            let due = next.is_some_and(|due| due <= now);
            let wait = next.map_or(LONGEST_SLEEP, |due| {
                due.saturating_duration_since(now).min(LONGEST_SLEEP)
            });
            (core.generation, due, wait)
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
        replay_one(&instance, connection, generation);
        tokio::task::yield_now().await;
    }
}

/// Replays the next entry, under the lock, so that no truncation comes between.
pub fn replay_one(instance: &Instance, connection: &Connection, generation: u64) {
    let mut core = instance.state.lock();
    if core.generation != generation || core.applied >= core.log.len() {
        return;
    }
    if let Err(error) = apply(connection, &core.log[core.applied]) {
        log::error!(
            "event=replay_failed instance={} error={:?}",
            instance.settings.name,
            error.to_string()
        );
        let _ = connection.execute_batch("ROLLBACK");
        return;
    }
    core.applied += 1;
    drop(core);
    instance.state.notify();
}

/// Replays everything received, before a new primary opens.
pub fn replay_all(instance: &Instance) {
    let generation = instance.state.lock().generation;
    let Ok(connection) = open(instance, generation) else {
        return;
    };
    loop {
        {
            let core = instance.state.lock();
            if core.applied >= core.log.len() || core.generation != generation {
                return;
            }
        }
        replay_one(instance, &connection, generation);
    }
}
