//! Asks leaders whether they still lead, and searches for one where none is
//! known. An empty transaction is the question: it takes no slot, only a
//! leader accepts it, and its answer carries the leader's position.

use std::sync::Arc;

use futures::future::join_all;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::{Position, Term};
use millwind_core::session_state::SessionState;

use crate::backend::{ConnectionUser, LinkError, Purpose};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::directory::Known;
use crate::execution::{record_closed_connections, record_process_end};
use crate::node::Engine;
use crate::statement::{BackEndErrorKind, Command, Envelope};
use crate::term_closing;

/// A leader that was heard within this time is not asked, in milliseconds.
const HEARD_MS: u64 = 250;
/// A connection opens within this time, in milliseconds: opening takes a turn
/// among the statements of a busy instance, an answer on an open connection
/// does not.
const CONNECT_MS: u64 = 1_000;
/// An answer must come within this many times the mean of earlier ones.
const ANSWER_FACTOR: u64 = 6;
/// Least and most time for an answer, in milliseconds.
const LEAST_ANSWER_MS: u64 = 150;
const MOST_ANSWER_MS: u64 = 400;
/// Observations are renewed when they are older than this part of the
/// staleness that reads ask for.
const STALENESS_PARTS: u64 = 3;
/// A node that was turned away for this time counts the instance as failing, in
/// milliseconds.
const SHUT_OUT_MS: u64 = 1_500;
/// Groups that have not been used for this time are asked less often, in
/// milliseconds.
pub(super) const UNUSED_MS: u64 = 5_000;
/// How often a leader of an unused group is asked, in milliseconds.
const UNUSED_INTERVAL_MS: u64 = 1_000;

/// Whether no leader is known that answers.
pub(super) fn is_in_doubt(engine: &Engine, leader: Option<&InstanceName>) -> bool {
    leader.is_none_or(|leader| engine.directory.is_failing(leader))
}

/// Asks the leader of a group whether it still leads, if that is due.
pub(super) async fn check(engine: &Arc<Engine>, group: &GroupName) {
    let leader = engine
        .directory
        .leader(group)
        .and_then(|leader| engine.directory.instance(&leader.instance));
    if let Some(known) = leader
        && is_due(engine, group, &known)
    {
        ask(engine, &known.record).await;
    }
}

/// Whether the leader should be asked now.
fn is_due(engine: &Engine, group: &GroupName, known: &Known) -> bool {
    let now = clock::now();
    let age = |time: Option<Instant>| time.map_or(u64::MAX, |time| now.millis_since(time));
    let heard = age(known.contact.last_success);
    if known.contact.is_doubted {
        return true;
    }
    let (last_use, _) = engine.directory.usage(group);
    if age(last_use) > UNUSED_MS {
        return heard > UNUSED_INTERVAL_MS;
    }
    heard > HEARD_MS || is_observation_due(engine, group)
}

/// Whether reads that may be stale will soon need a newer position of the
/// leader.
pub(super) fn is_observation_due(engine: &Engine, group: &GroupName) -> bool {
    let now = clock::now();
    let (last_use, staleness) = engine.directory.usage(group);
    let (Some(last_use), Some(staleness)) = (last_use, staleness) else {
        return false;
    };
    if now.millis_since(last_use) > UNUSED_MS {
        return false;
    }
    let newest = engine.directory.newest_observation(group);
    newest.is_none_or(|newest| now.millis_since(newest.asked) > staleness / STALENESS_PARTS)
}

/// Asks all instances of a group whether they lead.
pub(super) async fn search(engine: &Arc<Engine>, group: &GroupName) {
    let known = engine.directory.instances_of(group);
    let questions = known
        .iter()
        .filter(|known| !(known.is_gone && known.is_leaving))
        .map(|known| ask(engine, &known.record));
    join_all(questions).await;
}

/// Asks one instance whether it leads, by an empty transaction.
pub(super) async fn ask(engine: &Arc<Engine>, record: &InstanceRecord) {
    let asked = clock::now();
    engine.directory.checking(&record.name);
    let connected_by = asked.plus_millis(CONNECT_MS);
    let session = SessionState::default();
    let pool = engine.pool(record);
    let connected = pool
        .acquire(
            Purpose::Probe,
            &ConnectionUser::System,
            &session,
            None,
            connected_by,
        )
        .await;
    record_closed_connections(engine, &pool, asked);
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => return note_failure(engine, record, asked, &error),
    };
    let envelope = Envelope::own(Command::Begin { read_only: false });
    let sent = clock::now();
    let deadline = sent.plus_millis(answer_limit_ms(engine, &record.name));
    match connection.exchange(&envelope, deadline).await {
        Err(error) => note_failure(engine, record, sent, &error),
        Ok(reply) => {
            engine.directory.answered(&record.name, None);
            engine.directory.checked(&record.name, clock::now().0 - sent.0);
            match (reply.result, reply.position) {
                (Ok(_), Some(position)) => {
                    drop(connection);
                    take_proof(engine, record, sent, position).await;
                }
                (Err(error), _) if error.kind == BackEndErrorKind::ReadOnly => {
                    engine.directory.leader_denied(&record.group, &record.name);
                }
                _ => {}
            }
        }
    }
}

/// Takes in that an instance answered as a leader. Where its log's term is
/// closed, it is asked for the term that it leads: a new leader's log stands in
/// the old term until its first commit.
async fn take_proof(engine: &Arc<Engine>, record: &InstanceRecord, sent: Instant, position: Position) {
    let directory = &engine.directory;
    let is_proof = || directory.leader_proved(&record.group, &record.name, sent, position);
    if is_proof() || !directory.has_permits() || directory.is_retired(&record.group, &record.name) {
        return;
    }
    let status = term_closing::ask_status(engine, record, Command::Status).await;
    let Some(status) = status.filter(|status| status.is_leader) else {
        return;
    };
    directory.leads_term(&record.group, &record.name, Term(status.term));
    is_proof();
}

fn note_failure(engine: &Engine, record: &InstanceRecord, asked: Instant, error: &LinkError) {
    // An instance over its limit turns connections away, and one that never
    // lets this node in serves it no better than a dead one. While statements
    // try to open connections as well, a check may not even get its turn.
    let is_turned_away = matches!(error, LinkError::TurnedAway | LinkError::NoConnection);
    let is_shut_out = is_turned_away && !is_heard_lately(engine, record);
    if error.is_evidence() || error.is_wrong_instance() || is_shut_out {
        engine.directory.failed(&record.name, asked, error.is_refusing());
    }
    record_process_end(engine, &engine.pool(record), asked, error);
}

/// How long an instance may take to answer, by how long it took so far.
fn answer_limit_ms(engine: &Engine, instance: &InstanceName) -> u64 {
    let mean_us = engine
        .directory
        .instance(instance)
        .and_then(|known| known.contact.check_us);
    mean_us.map_or(MOST_ANSWER_MS, |mean| {
        (mean * ANSWER_FACTOR / 1_000).clamp(LEAST_ANSWER_MS, MOST_ANSWER_MS)
    })
}

fn is_heard_lately(engine: &Engine, record: &InstanceRecord) -> bool {
    let known = engine.directory.instance(&record.name);
    let last_success = known.and_then(|known| known.contact.last_success);
    last_success.is_some_and(|heard| clock::now().millis_since(heard) < SHUT_OUT_MS)
}
