//! One connection to an instance: the line protocol, its values, prepared names and transaction.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::group::{Commit, Committed, Group, Run, SERVICE};
use crate::process::process_of;

/// Time that a read, write or commit takes.
const WORK: Duration = Duration::from_millis(6);
/// Time for which a commit waits for its replica before the connection is given up.
const MAX_SYNC_WAIT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Connection {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    transaction: Option<Transaction>,
}

struct Transaction {
    is_read_only: bool,
    has_failed: bool,
    term: u64,
    writes: Vec<(String, String, String)>,
}

enum Reply {
    Done(Option<String>),
    Error(&'static str),
    /// The connection ends without an answer.
    Silent,
}

/// Reads one line. Only CR LF ends it.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    loop {
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        if line.ends_with(b"\r\n") {
            line.truncate(line.len() - 2);
            return String::from_utf8(line).ok();
        }
    }
}

pub fn serve(group: &Arc<Group>, name: &str, stream: TcpStream) -> Option<()> {
    let proxies = group.state().proxies.clone();
    let proxy = process_of(stream.peer_addr().ok()?, stream.local_addr().ok()?, &proxies);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let mut connection = Connection::default();
    let startup = read_line(&mut reader)?;
    pass_partition(group, name, proxy)?;
    let fields: Vec<&str> = startup.split(' ').collect();
    let is_expected = fields.get(3).is_none_or(|id| *id == name);
    if fields.first() != Some(&"STARTUP") || fields.get(1) != Some(&SERVICE) || !is_expected {
        writer.write_all(b"ERROR MOVED another instance\r\n").ok()?;
        return None;
    }
    writer
        .write_all(ready(group, name, &connection).as_bytes())
        .ok()?;
    loop {
        let line = read_line(&mut reader)?;
        pass_partition(group, name, proxy)?;
        let rest = line.strip_prefix("QUERY ")?;
        let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
        let reply = if is_busy(group, name) {
            Reply::Error("BUSY")
        } else {
            run(group, name, &mut connection, id, text)
        };
        if !group.state().instances[name].is_alive {
            return None;
        }
        pass_partition(group, name, proxy)?;
        let answer = match reply {
            Reply::Silent => return None,
            Reply::Error(code) => format!("ERROR {code} {name}\r\n"),
            Reply::Done(row) => {
                let row = row.map_or_else(String::new, |row| format!("ROW {row}\r\n"));
                let signature = if id == "-" {
                    "-".to_owned()
                } else {
                    format!("{name}.{id}")
                };
                format!("{row}COMPLETE {signature}\r\n")
            }
        };
        let answer = answer + &ready(group, name, &connection);
        writer.write_all(answer.as_bytes()).ok()?;
    }
}

/// Lets bytes pass unless the instance is partitioned from the proxy. Otherwise says nothing until
/// the partition ends, and then ends the connection.
fn pass_partition(group: &Group, name: &str, proxy: Option<u32>) -> Option<()> {
    let is_cut = || proxy.is_some_and(|proxy| group.state().instances[name].cut_from.contains(&proxy));
    if !is_cut() {
        return Some(());
    }
    while is_cut() {
        thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Whether this request is one of those that a sick instance turns away.
fn is_busy(group: &Group, name: &str) -> bool {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    let percent = group.state().instances[name].busy_percent;
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let mixed = (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) % 100;
    mixed < percent
}

fn ready(group: &Group, name: &str, connection: &Connection) -> String {
    let state = match &connection.transaction {
        None => "I",
        Some(open) if open.has_failed => "E",
        Some(_) => "T",
    };
    let (term, number) = group.state().instances[name].position();
    format!("READY {state} {term}.{number}\r\n")
}

fn run(group: &Group, name: &str, connection: &mut Connection, id: &str, text: &str) -> Reply {
    let mut text = text;
    if let Some(rest) = text.strip_prefix("SINCE ") {
        let (position, statement) = rest.split_once(' ').unwrap_or((rest, ""));
        let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
        let (term, number) = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
        if !group.state().instances[name].holds(term, number) {
            return Reply::Error("LAGGING");
        }
        text = statement;
    }
    let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
    let has_failed = connection
        .transaction
        .as_ref()
        .is_some_and(|open| open.has_failed);
    if has_failed && verb != "ROLLBACK" && verb != "COMMIT" {
        return Reply::Error("MALFORMED");
    }
    match verb {
        "BEGIN" => begin(group, name, connection, rest == "READ"),
        "ROLLBACK" => {
            connection.transaction = None;
            Reply::Done(None)
        }
        "SET" => {
            let (key, value) = rest.split_once(' ').unwrap_or((rest, ""));
            connection.values.insert(key.to_owned(), value.to_owned());
            Reply::Done(None)
        }
        "DISCARD" => {
            connection.values.clear();
            connection.prepared.clear();
            Reply::Done(None)
        }
        "PARSE" => {
            let (prepared, statement) = rest.split_once(' ').unwrap_or((rest, ""));
            connection
                .prepared
                .insert(prepared.to_owned(), statement.to_owned());
            Reply::Done(None)
        }
        "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => control(group, name, verb, rest),
        "COMMIT" => {
            thread::sleep(WORK);
            commit(group, name, connection, id)
        }
        "READ" | "WRITE" => {
            thread::sleep(WORK);
            execute(group, name, connection, id, verb, rest, text)
        }
        "EXECUTE" => {
            thread::sleep(WORK);
            let (prepared, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(statement) = connection.prepared.get(prepared).cloned() else {
                return Reply::Error("UNKNOWN");
            };
            let verb = statement.split(' ').next().unwrap_or("").to_owned();
            execute(group, name, connection, id, &verb, arguments, text)
        }
        _ => Reply::Error("MALFORMED"),
    }
}

fn begin(group: &Group, name: &str, connection: &mut Connection, is_read_only: bool) -> Reply {
    let state = group.state();
    let instance = &state.instances[name];
    if !is_read_only && !instance.is_primary {
        return Reply::Error("READONLY");
    }
    connection.transaction = Some(Transaction {
        is_read_only,
        has_failed: false,
        term: instance.term,
        writes: Vec::new(),
    });
    Reply::Done(None)
}

fn control(group: &Group, name: &str, verb: &str, rest: &str) -> Reply {
    let mut state = group.state();
    let newest = state.newest_term;
    let connections = state.instances[name].connections.len();
    let term: u64 = rest.parse().unwrap_or(0);
    let instance = state.instances.get_mut(name).expect("an instance");
    match verb {
        "PAUSE" if !instance.is_primary && term > newest => instance.is_paused = true,
        "RESUME" => instance.is_paused = false,
        "STEPDOWN" if instance.is_primary && instance.term < term => instance.is_primary = false,
        _ => {}
    }
    if verb != "STATUS" {
        group.record.line(&format!("{verb} {rest} at {name}"));
    }
    let role = if instance.is_primary { "primary" } else { "replica" };
    let (held_term, number) = instance.position();
    Reply::Done(Some(format!(
        "{role} {} {held_term}.{number} {} 0 0 {connections}",
        instance.term, instance.term
    )))
}

fn note_run(group: &Group, name: &str, connection: &Connection, id: &str, text: &str) {
    if id == "-" {
        return;
    }
    group.record.line(&format!(
        "run at {name} id={id} text={text:?} values={:?}",
        connection.values
    ));
    group.state().runs.push(Run {
        instance: name.to_owned(),
        id: id.to_owned(),
        text: text.to_owned(),
        values: connection.values.clone(),
    });
}

fn execute(
    group: &Group,
    name: &str,
    connection: &mut Connection,
    id: &str,
    verb: &str,
    rest: &str,
    text: &str,
) -> Reply {
    {
        let state = group.state();
        let instance = &state.instances[name];
        if let Some(open) = &mut connection.transaction
            && !open.is_read_only
            && !(instance.is_primary && instance.term == open.term)
        {
            open.has_failed = true;
            return Reply::Error("READONLY");
        }
        if verb == "WRITE" && !instance.is_primary {
            return Reply::Error("READONLY");
        }
    }
    note_run(group, name, connection, id, text);
    if verb == "READ" {
        let state = group.state();
        let log = &state.instances[name].log;
        let found = log.iter().rev().find(|commit| commit.thing == rest);
        let row = found.map_or_else(|| "none".to_owned(), |commit| commit.data.clone());
        return Reply::Done(Some(row));
    }
    let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
    let write = (id.to_owned(), thing.to_owned(), data.to_owned());
    match &mut connection.transaction {
        Some(open) => {
            open.writes.push(write);
            Reply::Done(None)
        }
        None => append(group, name, vec![write]),
    }
}

fn commit(group: &Group, name: &str, connection: &mut Connection, id: &str) -> Reply {
    let Some(open) = connection.transaction.take() else {
        return Reply::Error("MALFORMED");
    };
    let leads = {
        let state = group.state();
        let instance = &state.instances[name];
        instance.is_primary && instance.term == open.term
    };
    if open.has_failed || (!open.writes.is_empty() && !leads) {
        return Reply::Error("READONLY");
    }
    note_run(group, name, connection, id, "COMMIT");
    if open.writes.is_empty() {
        return Reply::Done(None);
    }
    append(group, name, open.writes)
}

/// Commits writes and waits until as many replicas as the service asks have received them.
fn append(group: &Group, name: &str, writes: Vec<(String, String, String)>) -> Reply {
    let mut state = group.state();
    let instance = state.instances.get_mut(name).expect("an instance");
    if !instance.is_primary || !instance.is_alive {
        return Reply::Error("READONLY");
    }
    let term = instance.term;
    let number = instance.position().1 + 1;
    let at_ms = group.record.now_ms();
    let ids: Vec<String> = writes.iter().map(|write| write.0.clone()).collect();
    for (id, thing, data) in writes {
        instance.log.push(Commit {
            at: Instant::now(),
            term,
            number,
            id,
            thing,
            data,
        });
    }
    let committed = ids.into_iter().map(|id| Committed {
        instance: name.to_owned(),
        id,
        at_ms,
    });
    state.committed.extend(committed);
    if group.sync_replicas == 0 {
        return Reply::Done(None);
    }
    let until = Instant::now() + MAX_SYNC_WAIT;
    while !state.is_received(name, term, number) {
        let instance = &state.instances[name];
        let is_over = !instance.is_alive || !instance.is_primary || Instant::now() >= until;
        if is_over {
            return Reply::Silent;
        }
        let waited = group.changed.wait_timeout(state, Duration::from_millis(20));
        state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
    }
    if !state.instances[name].is_alive {
        return Reply::Silent;
    }
    Reply::Done(None)
}
