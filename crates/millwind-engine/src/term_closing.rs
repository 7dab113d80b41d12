//! Handles the closing of a leader's term where promotions do not fence the old leader:
//! asks the leader to step down or lets statements finish, and hands back this node's
//! lead permit for the term.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::lead_permit::DRAIN_MS;
use millwind_core::position::Term;
use millwind_core::session_state::SessionState;
use millwind_wire::exchange::TermClosing;

use crate::backend::{ConnectionUser, ExchangeError, PooledConnection, Purpose};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::node::Engine;
use crate::statement::{Command, Envelope, InstanceStatus};

/// Interval between two checks for connections in use.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A leader that answered within this time is asked to step down, in milliseconds. The
/// time covers slightly more than one health check interval.
const RECENT_CONTACT_MS: u64 = 1_000;
/// Timeout of status requests and orders to step down, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 300;

/// Hands back this node's permit for a closed term. Returns whether the old leader has
/// confirmed to this node that it stepped down.
pub async fn return_permit(engine: &Arc<Engine>, closing: &TermClosing) -> bool {
    engine.own_keys.apply_document(closing.record.clone());
    let group = GroupName::from(closing.group.as_str());
    let term = Term(closing.term);
    let leader = engine
        .directory
        .instance(&InstanceName::from(closing.leader.as_str()));
    if let Some(known) = &leader {
        if closing.steps_down == 0 {
            wait_for_connections(engine, &known.record).await;
        } else if is_recent_contact(known.health.last_success) {
            step_down_in_background(engine, &known.record, term);
        }
    }
    engine.directory.release_permits(&group, term);
    let has_stepped_down = engine.directory.stepped_down_term(&group) >= term;
    info!(
        "event=permit_returned group={group} term={term} leader={} stepped_down={has_stepped_down}",
        closing.leader
    );
    has_stepped_down
}

/// Asks the old leader to step down without delaying the answer, since a silent leader
/// would hold up the caller until the timeout.
fn step_down_in_background(engine: &Arc<Engine>, record: &Arc<InstanceRecord>, term: Term) {
    let Some(guard) = engine.stepping_down.enter(&record.group) else {
        return;
    };
    if engine.directory.stepped_down_term(&record.group) >= term {
        return;
    }
    let engine = engine.clone();
    let record = record.clone();
    tokio::spawn(async move {
        step_down(&engine, &record, term).await;
        drop(guard);
    });
}

fn is_recent_contact(last_success: Option<Instant>) -> bool {
    last_success.is_some_and(|success| clock::now().millis_since(success) < RECENT_CONTACT_MS)
}

/// Waits until no connection to the old leader is in use, for at most [`DRAIN_MS`].
async fn wait_for_connections(engine: &Engine, record: &InstanceRecord) {
    let limit = clock::now().plus_millis(DRAIN_MS);
    while engine.pool(record).connections_in_use() > 0 && clock::now() < limit {
        tokio::time::sleep(SETTLE_POLL_INTERVAL).await;
    }
}

/// Orders an instance to step down if its term is `term` or earlier. Returns its status
/// if it no longer leads, or `None` if it did not confirm that.
pub async fn step_down(engine: &Arc<Engine>, record: &InstanceRecord, term: Term) -> Option<InstanceStatus> {
    let command = Command::StepDown { term: term.0 + 1 };
    let status = ask_status(engine, record, command).await;
    let has_stepped_down = status.is_some_and(|status| !status.is_leader);
    info!(
        "event=step_down_told group={} instance={} term={term} done={has_stepped_down} received={}",
        record.group,
        record.name,
        status.map_or_else(|| "none".to_owned(), |status| status.received.to_string())
    );
    if !has_stepped_down {
        return None;
    }
    engine.metrics.step_downs.inc();
    engine
        .directory
        .record_step_down(&record.group, &record.name, term);
    status
}

/// Sends a command that is answered with the instance's status. Returns the status, or
/// `None` if the instance did not answer in time.
pub async fn ask_status(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    command: Command<'static>,
) -> Option<InstanceStatus> {
    let (status, _) = ask_status_with_connection(engine, record, command).await?;
    Some(status)
}

/// Like [`ask_status`], but also returns the connection. While that connection stays
/// open, the instance has not restarted.
pub async fn ask_status_with_connection(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    command: Command<'static>,
) -> Option<(InstanceStatus, PooledConnection)> {
    let deadline = clock::now().plus_millis(STATUS_TIMEOUT_MS);
    let session = SessionState::default();
    let pool = engine.pool(record);
    let request = async {
        let mut connection = pool
            .acquire(Purpose::Probe, &ConnectionUser::System, &session, None, deadline)
            .await?;
        let reply = connection.exchange(&Envelope::own(command), deadline).await?;
        Ok::<_, ExchangeError>((reply, connection))
    };
    match request.await {
        Ok((reply, connection)) => Some((engine.backend_codec().read_status(&reply)?, connection)),
        Err(error) => {
            info!(
                "event=status_not_told group={} instance={} error={}",
                record.group,
                record.name,
                error.name()
            );
            None
        }
    }
}
