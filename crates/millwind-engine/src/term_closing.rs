//! A node's part when the term of a group's leader is closed, where promotions
//! don't fence: it tells the leader to step down or lets its own statements end,
//! and hands its permit for the term back.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::lead_permit::SETTLE_MS;
use millwind_core::position::Term;
use millwind_core::session_state::SessionState;
use millwind_wire::exchange::TermClosing;

use crate::backend::{ConnectionUser, LinkError, PooledConnection, Purpose};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::node::Engine;
use crate::statement::{Command, Envelope, InstanceStatus};

/// Between two looks at statements under way.
const SETTLE_PAUSE: Duration = Duration::from_millis(10);
/// An instance that answered within this time is told to step down, in
/// milliseconds: a little more than the time between two health checks.
const REACHED_MS: u64 = 1_000;
/// An instance answers a question of this node's own within this time, in
/// milliseconds: the order to step down and questions about its position.
const QUESTION_MS: u64 = 300;

/// Hands this node's permit for a closed term back; true if the old leader has
/// told this node that it leads no longer.
pub async fn hand_back(engine: &Arc<Engine>, closing: &TermClosing) -> bool {
    engine.own_keys.told(closing.record.clone());
    let group = GroupName::from(closing.group.as_str());
    let term = Term(closing.term);
    let leader = engine
        .directory
        .instance(&InstanceName::from(closing.leader.as_str()));
    if let Some(known) = &leader {
        if closing.steps_down == 0 {
            settle(engine, &known.record).await;
        } else if is_reached(known.contact.last_success) {
            step_down_in_background(engine, &known.record, term);
        }
    }
    engine.directory.hand_back(&group, term);
    let has_stepped_down = engine.directory.stepped_down(&group) >= term;
    info!(
        "event=permit_returned group={group} term={term} leader={} stepped_down={has_stepped_down}",
        closing.leader
    );
    has_stepped_down
}

/// Tells the old leader to step down without holding up the answer: a leader
/// that has gone silent takes its time, and may not be needed.
fn step_down_in_background(engine: &Arc<Engine>, record: &Arc<InstanceRecord>, term: Term) {
    let Some(mark) = engine.stepping_down.enter(&record.group) else {
        return;
    };
    if engine.directory.stepped_down(&record.group) >= term {
        return;
    }
    let engine = engine.clone();
    let record = record.clone();
    tokio::spawn(async move {
        step_down(&engine, &record, term).await;
        drop(mark);
    });
}

fn is_reached(last_success: Option<Instant>) -> bool {
    last_success.is_some_and(|success| clock::now().millis_since(success) < REACHED_MS)
}

/// Waits until no connection to the old leader is in use, but not long.
async fn settle(engine: &Engine, record: &InstanceRecord) {
    let limit = clock::now().plus_millis(SETTLE_MS);
    while engine.pool(record).connections_in_use() > 0 && clock::now() < limit {
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
}

/// Tells an instance that it leads no longer if its term is `term` or earlier;
/// its status once it does not, none if it gave no such answer.
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
        .has_stepped_down(&record.group, &record.name, term);
    status
}

/// An instance's status, after a command that is answered with it.
pub async fn ask_status(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    command: Command<'static>,
) -> Option<InstanceStatus> {
    let (status, _) = ask_status_over(engine, record, command).await?;
    Some(status)
}

/// The same with the connection on which it was told: as long as that one is open, so
/// is the life of the instance that told it.
pub async fn ask_status_over(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    command: Command<'static>,
) -> Option<(InstanceStatus, PooledConnection)> {
    let deadline = clock::now().plus_millis(QUESTION_MS);
    let session = SessionState::default();
    let pool = engine.pool(record);
    let asking = async {
        let mut connection = pool
            .acquire(Purpose::Probe, &ConnectionUser::System, &session, None, deadline)
            .await?;
        let reply = connection.exchange(&Envelope::own(command), deadline).await?;
        Ok::<_, LinkError>((reply, connection))
    };
    match asking.await {
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
