//! Probes leaders, and searches for a leader if none is known. The probe is an empty
//! transaction: it takes no execution slot, only a leader accepts it, and the answer contains
//! the position of the leader.

use std::sync::Arc;

use futures::future::join_all;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::{Position, Term};
use millwind_core::session_state::SessionState;

use crate::backend::{ConnectionUser, ExchangeError, Purpose};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::directory::KnownInstance;
use crate::execution::{check_continuity, record_process_end};
use crate::node::Engine;
use crate::statement::{BackEndErrorKind, Command, Envelope};
use crate::term_closing;

/// Time since the last successful contact below which a leader is not probed, in milliseconds.
const CONTACT_MAX_AGE_MS: u64 = 250;
/// Timeout for opening a connection, in milliseconds. On a busy instance, opening a
/// connection queues behind its statements.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Response timeout as a multiple of the mean response time.
const RESPONSE_TIMEOUT_FACTOR: u64 = 6;
/// Bounds of the response timeout, in milliseconds.
const MIN_RESPONSE_TIMEOUT_MS: u64 = 150;
const MAX_RESPONSE_TIMEOUT_MS: u64 = 400;
/// Observations are refreshed at this fraction of the staleness that reads accept.
const STALENESS_DIVISOR: u64 = 3;
/// Time without contact after which refused connections count as a failure of the instance, in
/// milliseconds.
const REFUSAL_TOLERANCE_MS: u64 = 1_500;
/// Time since the last use after which a group is idle and probed less often, in milliseconds.
pub(super) const IDLE_GROUP_MS: u64 = 5_000;
/// Interval between probes of the leader of an idle group, in milliseconds.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_000;

/// Returns whether the leader is unknown or failing.
pub(super) fn is_leader_unavailable(engine: &Engine, leader: Option<&InstanceName>) -> bool {
    leader.is_none_or(|leader| engine.directory.is_failing(leader))
}

/// Probes the leader of a group if a probe is due.
pub(super) async fn check_leader(engine: &Arc<Engine>, group: &GroupName) {
    let leader = engine
        .directory
        .leader(group)
        .and_then(|leader| engine.directory.instance(&leader.instance));
    if let Some(known) = leader
        && is_check_due(engine, group, &known)
    {
        probe_instance(engine, &known.record).await;
    }
}

/// Returns whether the leader should be probed now.
fn is_check_due(engine: &Engine, group: &GroupName, known: &KnownInstance) -> bool {
    let now = clock::now();
    let age = |time: Option<Instant>| time.map_or(u64::MAX, |time| now.millis_since(time));
    let contact_age_ms = age(known.health.last_success);
    if known.health.is_suspected_by_peer {
        return true;
    }
    let (last_use, _) = engine.directory.usage(group);
    if age(last_use) > IDLE_GROUP_MS {
        return contact_age_ms > IDLE_CHECK_INTERVAL_MS;
    }
    contact_age_ms > CONTACT_MAX_AGE_MS || is_observation_due(engine, group)
}

/// Returns whether stale reads will soon need a newer leader position.
pub(super) fn is_observation_due(engine: &Engine, group: &GroupName) -> bool {
    let now = clock::now();
    let (last_use, staleness) = engine.directory.usage(group);
    let (Some(last_use), Some(staleness)) = (last_use, staleness) else {
        return false;
    };
    if now.millis_since(last_use) > IDLE_GROUP_MS {
        return false;
    }
    let newest = engine.directory.newest_observation(group);
    newest.is_none_or(|newest| now.millis_since(newest.asked) > staleness / STALENESS_DIVISOR)
}

/// Probes all instances of a group.
pub(super) async fn probe_group(engine: &Arc<Engine>, group: &GroupName) {
    let known = engine.directory.instances_of(group);
    let probes = known
        .iter()
        .filter(|known| !(known.is_removed && known.is_leaving))
        .map(|known| probe_instance(engine, &known.record));
    join_all(probes).await;
}

/// Probes an instance with an empty transaction and records whether it leads.
pub(super) async fn probe_instance(engine: &Arc<Engine>, record: &InstanceRecord) {
    let asked = clock::now();
    engine.directory.record_check_started(&record.name);
    let connected_by = asked.plus_millis(CONNECT_TIMEOUT_MS);
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
    check_continuity(engine, &pool, asked);
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => return record_failure(engine, record, asked, &error),
    };
    let envelope = Envelope::own(Command::Begin { read_only: false });
    let sent = clock::now();
    let deadline = sent.plus_millis(response_timeout_ms(engine, &record.name));
    match connection.exchange(&envelope, deadline).await {
        Err(error) => record_failure(engine, record, sent, &error),
        Ok(reply) => {
            engine.directory.record_response(&record.name, None);
            engine
                .directory
                .record_check_latency(&record.name, clock::now().0 - sent.0);
            match (reply.result, reply.position) {
                (Ok(_), Some(position)) => {
                    drop(connection);
                    record_leadership(engine, record, sent, position).await;
                }
                (Err(error), _) if error.kind == BackEndErrorKind::ReadOnly => {
                    engine.directory.record_leader_denial(&record.group, &record.name);
                }
                _ => {}
            }
        }
    }
}

/// Records that an instance answered as the leader. If the term of its log is closed, the
/// instance is asked for its current term, because the log of a new leader stays in the old
/// term until its first commit.
async fn record_leadership(engine: &Arc<Engine>, record: &InstanceRecord, sent: Instant, position: Position) {
    let directory = &engine.directory;
    let accept_proof = || directory.record_leader_proof(&record.group, &record.name, sent, position);
    if accept_proof() || !directory.has_permits() || directory.is_retired(&record.group, &record.name) {
        return;
    }
    let status = term_closing::ask_status(engine, record, Command::Status).await;
    let Some(status) = status.filter(|status| status.is_leader) else {
        return;
    };
    directory.record_announced_term(&record.group, &record.name, Term(status.term));
    accept_proof();
}

fn record_failure(engine: &Engine, record: &InstanceRecord, asked: Instant, error: &ExchangeError) {
    // A refused connection alone is no evidence, since an instance at its connection limit
    // refuses connections. An instance that keeps refusing this node is unusable, though. While
    // statements open connections too, a probe may time out in the queue for a connection.
    let is_refused = matches!(
        error,
        ExchangeError::ClosedDuringStartup | ExchangeError::QueueTimeout
    );
    let is_persistently_refused = is_refused && !was_reached_recently(engine, record);
    if error.indicates_instance_failure() || error.is_wrong_instance() || is_persistently_refused {
        engine
            .directory
            .record_failure(&record.name, asked, error.indicates_process_exit());
    }
    record_process_end(engine, &engine.pool(record), asked, error);
}

/// Returns the response timeout of an instance, derived from its mean response time.
fn response_timeout_ms(engine: &Engine, instance: &InstanceName) -> u64 {
    let mean_us = engine
        .directory
        .instance(instance)
        .and_then(|known| known.health.check_us);
    mean_us.map_or(MAX_RESPONSE_TIMEOUT_MS, |mean| {
        (mean * RESPONSE_TIMEOUT_FACTOR / 1_000).clamp(MIN_RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS)
    })
}

fn was_reached_recently(engine: &Engine, record: &InstanceRecord) -> bool {
    let known = engine.directory.instance(&record.name);
    let last_success = known.and_then(|known| known.health.last_success);
    last_success.is_some_and(|success| clock::now().millis_since(success) < REFUSAL_TOLERANCE_MS)
}
