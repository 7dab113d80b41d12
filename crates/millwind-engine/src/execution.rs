//! Runs statements on this node's own connections, and notes what each answer
//! tells of the instance that gave it.

use std::cell::Cell;
use std::sync::Arc;

use millwind_core::Instant;
use millwind_core::concurrency_limit::TurnEnd;
use millwind_core::eligibility::Ineligible;
use millwind_core::ids::InstanceName;
use millwind_core::position::Position;
use millwind_core::session_state::{PreparedStatement, SessionState};

use crate::answer::{Failure, Refusal};
use crate::backend::PooledConnection;
use crate::backend::turns::Turn;
use crate::backend::{ConnectionUser, LinkError, Pool, Purpose, Urgency};
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::cold_places::{PlaceNeed, PlaceWait};
use crate::directory::Directory;
use crate::node::Engine;
use crate::statement::{BackEndError, BackEndErrorKind, Command, Envelope, Reply, TransactionState};

/// Why an attempt gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptError {
    /// The exchange failed.
    Link(LinkError),
    /// The instance answered with an error.
    BackEnd(BackEndError),
}

impl AttemptError {
    /// Whether the statement has certainly not run.
    pub fn is_not_run(&self) -> bool {
        match self {
            AttemptError::Link(error) => !error.may_have_run(),
            AttemptError::BackEnd(error) => error.kind.is_not_run(),
        }
    }

    /// Whether the statement would have waited beyond its deadline where it was
    /// sent: the instance has more to do than it can serve in time, or is still cold.
    pub fn is_overload(&self) -> bool {
        matches!(
            self,
            AttemptError::Link(LinkError::NoConnection | LinkError::WarmingUp { .. })
        )
    }

    /// Why the statement may not use the instance, or the way to it, where that is what
    /// the attempt failed by.
    pub const fn ineligible(&self) -> Option<Ineligible> {
        match self {
            AttemptError::Link(LinkError::Ineligible(reason)) => Some(*reason),
            _ => None,
        }
    }

    /// What the caller is told when nothing was kept.
    pub fn into_failure(self) -> Failure {
        match self {
            AttemptError::Link(error) => Refusal::of_link(error.kind(), error).into(),
            AttemptError::BackEnd(error) => Failure::BackEnd(error),
        }
    }

    /// The name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            AttemptError::Link(error) => error.name(),
            AttemptError::BackEnd(error) => error.kind.name(),
        }
    }
}

/// Counts a question to an instance from its sending to its end.
pub struct Inquiry {
    directory: Arc<Directory>,
    instance: InstanceName,
    /// When the question was sent.
    pub asked: Instant,
    was_answered: Cell<bool>,
}

impl Inquiry {
    /// A question that is sent now.
    pub fn new(directory: &Arc<Directory>, instance: &InstanceName) -> Self {
        directory.asked(instance);
        Inquiry {
            directory: directory.clone(),
            instance: instance.clone(),
            asked: clock::now(),
            was_answered: Cell::new(false),
        }
    }

    /// The instance gave an answer.
    pub fn answered(&self) {
        let elapsed = clock::now().0 - self.asked.0;
        self.was_answered.set(true);
        self.directory.answered(&self.instance, Some(elapsed));
    }

    /// The instance took a question that says nothing of its statements.
    pub fn taken(&self) {
        self.was_answered.set(true);
        self.directory.answered(&self.instance, None);
    }

    /// Another node answered in the instance's place: that tells nothing of the
    /// instance.
    pub fn passed(&self) {
        self.was_answered.set(true);
    }

    /// The exchange failed.
    pub fn failed(&self, error: &LinkError) {
        match error {
            // A statement may be slow; only a health check's silence tells.
            LinkError::Silent | LinkError::Protocol => self.directory.avoid(&self.instance),
            _ if error.is_evidence() => {
                self.directory
                    .failed(&self.instance, self.asked, error.is_refusing());
            }
            _ => {}
        }
    }
}

impl Drop for Inquiry {
    fn drop(&mut self) {
        self.directory.settled(&self.instance, self.was_answered.get());
    }
}

/// What a connection is wanted for.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// Priority; zero comes first.
    pub priority: u8,
    /// When its caller should have the answer.
    pub aim: Instant,
    /// On whose behalf.
    pub user: &'a ConnectionUser,
    /// State that the connection will be brought to.
    pub session: &'a SessionState,
    /// Prepared statement that it will execute.
    pub needed: Option<&'a PreparedStatement>,
    /// Wait at most until then.
    pub deadline: Instant,
}

/// Gets one of this node's own connections to `record`.
pub async fn connect(
    engine: &Arc<Engine>,
    record: &InstanceRecord,
    wanted: Wanted<'_>,
) -> Result<PooledConnection, AttemptError> {
    let purpose = Purpose::Statement {
        priority: wanted.priority,
        aim: wanted.aim,
    };
    let asked = clock::now();
    let pool = engine.pool(record);
    let connected = match wanted.user {
        ConnectionUser::System => {
            pool.acquire(
                purpose,
                wanted.user,
                wanted.session,
                wanted.needed,
                wanted.deadline,
            )
            .await
        }
        ConnectionUser::Tenant(_) => connect_in_turn(&pool, purpose, wanted).await,
    };
    note_lost_connections(engine, &pool, asked);
    connected.map_err(|error| {
        note_process_end(engine, &pool, asked, &error);
        note_connect_error(engine, record, asked, &error);
        match error {
            LinkError::StartupRefused(error) => AttemptError::BackEnd(error),
            error => AttemptError::Link(error),
        }
    })
}

/// Takes the statement's turn first and its connection within it. Opening one takes as
/// much of a slot as a statement: without turns all connections of a node would be
/// held by statements that wait, and none would rest for its tenant's next one.
async fn connect_in_turn(
    pool: &Arc<Pool>,
    purpose: Purpose,
    wanted: Wanted<'_>,
) -> Result<PooledConnection, LinkError> {
    let Wanted {
        user,
        session,
        needed,
        deadline,
        ..
    } = wanted;
    let urgency = Urgency::Priority(wanted.priority);
    let turn = pool.turns().take_for(user, urgency, wanted.aim, deadline).await?;
    let at_once = pool.acquire_at_once(purpose, user, session, needed, deadline);
    if let Some(mut connection) = at_once.await? {
        connection.keep_turn(turn);
        return Ok(connection);
    }
    // Transactions that rest hold all connections: others may have the turn.
    drop(turn);
    pool.acquire(purpose, user, session, needed, deadline).await
}

/// Takes in that all connections of a pool that rested were closed by the instance.
pub fn note_lost_connections(engine: &Engine, pool: &Pool, asked: Instant) {
    if pool.has_lost_all() {
        engine.directory.doubt_process(&pool.record().name, asked);
    }
}

/// Takes in what the failure of a question asked at `asked` tells of the instance's
/// process: one connection may break alone, but not while others live.
pub fn note_process_end(engine: &Engine, pool: &Pool, asked: Instant, error: &LinkError) {
    if error.is_refusing() && !pool.has_live_connection() {
        engine.directory.doubt_process(&pool.record().name, asked);
    }
}

fn note_connect_error(engine: &Arc<Engine>, record: &InstanceRecord, asked: Instant, error: &LinkError) {
    if error.is_evidence() || error.is_wrong_instance() {
        let directory = &engine.directory;
        directory.failed(&record.name, asked, error.is_refusing());
    } else {
        engine.directory.avoid(&record.name);
    }
}

/// Begins a transaction; where it is not read-only, a success proves that the
/// instance leads.
pub async fn begin(
    engine: &Arc<Engine>,
    connection: &mut PooledConnection,
    read_only: bool,
    since: Option<Position>,
    deadline: Instant,
) -> Result<(), AttemptError> {
    let pool = connection.pool().clone();
    let record = pool.record();
    let envelope = Envelope {
        id: None,
        since,
        command: Command::Begin { read_only },
    };
    engine.check_evacuation(record, read_only)?;
    let inquiry = Inquiry::new(&engine.directory, &record.name);
    let reply = match connection.exchange(&envelope, deadline).await {
        Ok(reply) => reply,
        Err(error) => {
            inquiry.failed(&error);
            note_process_end(engine, &pool, inquiry.asked, &error);
            return Err(AttemptError::Link(error));
        }
    };
    inquiry.taken();
    if let Err(error) = reply.result {
        note_error(engine, record, &error);
        return Err(AttemptError::BackEnd(error));
    }
    if !read_only && !prove_leader_by(engine, &pool, inquiry.asked, reply.position) {
        return Err(AttemptError::Link(LinkError::NoPermit));
    }
    Ok(())
}

/// Runs a statement; where `proves_leader`, a success proves that the instance
/// leads.
pub async fn run(
    engine: &Arc<Engine>,
    connection: &mut PooledConnection,
    session: &SessionState,
    envelope: &Envelope<'_>,
    proves_leader: bool,
    deadline: Instant,
) -> Result<Reply, AttemptError> {
    let pool = connection.pool().clone();
    let record = pool.record();
    let need = match (connection.transaction(), proves_leader) {
        (TransactionState::Idle, false) => PlaceNeed::Elsewhere,
        (TransactionState::Idle, true) => PlaceNeed::ByAim,
        _ if connection.urgency() == Urgency::InTransaction => PlaceNeed::ByDeadline,
        _ => PlaceNeed::ByAim,
    };
    let turn = turn_and_place(engine, connection, need, deadline).await?;
    // The evacuation of its zone may have begun while the statement waited.
    let is_single_read = !proves_leader && connection.transaction() == TransactionState::Idle;
    engine.check_evacuation(record, is_single_read)?;
    let inquiry = Inquiry::new(&engine.directory, &record.name);
    let exchanged = connection.run(session, envelope, deadline).await;
    turn.end(turn_end(&exchanged));
    connection.note_run();
    let reply = match exchanged {
        Ok(reply) => reply,
        Err(error) => {
            inquiry.failed(&error);
            note_process_end(engine, &pool, inquiry.asked, &error);
            if error != LinkError::Silent {
                engine.directory.statement_ended(&record.name, false);
            }
            return Err(AttemptError::Link(error));
        }
    };
    inquiry.answered();
    if let Some(succeeded) = tells_health(&reply) {
        engine.directory.statement_ended(&record.name, succeeded);
    }
    if let Err(error) = &reply.result {
        note_error(engine, record, error);
        return Err(AttemptError::BackEnd(error.clone()));
    }
    if proves_leader && !prove_leader_by(engine, &pool, inquiry.asked, reply.position) {
        return Err(AttemptError::Link(LinkError::NoPermit));
    }
    Ok(reply)
}

/// Waits for the statement's turn, and for its place where the instance is cold. The
/// place is taken last, so that the statement is sent right after it. Who waits for a
/// place leaves the turn to others.
async fn turn_and_place(
    engine: &Arc<Engine>,
    connection: &mut PooledConnection,
    need: PlaceNeed,
    deadline: Instant,
) -> Result<Turn, AttemptError> {
    let pool = connection.pool().clone();
    let mut wait = PlaceWait::new(engine, pool.record(), need, connection.urgency());
    let until = match need {
        PlaceNeed::ByDeadline => deadline,
        _ => connection.aim().min(deadline),
    };
    loop {
        let turn = match connection.take_turn() {
            Some(turn) => turn,
            None => take_turn(&pool, connection, deadline).await?,
        };
        let Err(refused) = engine.take_place(pool.record(), &wait, deadline).await else {
            return Ok(turn);
        };
        drop(turn);
        if !wait.pause(until).await {
            engine.note_place_refused(pool.record(), refused);
            let retry_after_ms = refused.retry_after_ms;
            return Err(AttemptError::Link(LinkError::WarmingUp { retry_after_ms }));
        }
    }
}

async fn take_turn(
    pool: &Arc<Pool>,
    connection: &PooledConnection,
    deadline: Instant,
) -> Result<Turn, AttemptError> {
    let (user, urgency, aim) = (connection.user(), connection.urgency(), connection.aim());
    let turn = pool.turns().take_for(user, urgency, aim, deadline).await;
    turn.map_err(AttemptError::Link)
}

/// What the end of an exchange tells of the load of its instance.
fn turn_end(exchanged: &Result<Reply, LinkError>) -> TurnEnd {
    let Ok(reply) = exchanged else {
        return TurnEnd::Unknown;
    };
    match &reply.result {
        Ok(_) => TurnEnd::Ran,
        Err(error) => match error.kind {
            BackEndErrorKind::Busy => TurnEnd::TurnedAway,
            BackEndErrorKind::Failed | BackEndErrorKind::TimedOut | BackEndErrorKind::Other => TurnEnd::Ran,
            // Answered without a slot.
            _ => TurnEnd::Unknown,
        },
    }
}

/// Whether an answer speaks for or against the health of its instance; none
/// where it does neither.
fn tells_health(reply: &Reply) -> Option<bool> {
    match &reply.result {
        Ok(_) => Some(true),
        Err(error) => match error.kind {
            BackEndErrorKind::Failed | BackEndErrorKind::Other => Some(false),
            _ => None,
        },
    }
}

/// Takes in that an instance answered on a connection of `pool` as a leader. The answer
/// of a former life proves nothing for the one that lives now; where promotions fence it
/// is delivered all the same, since it is true of what that life has run.
fn prove_leader_by(engine: &Engine, pool: &Pool, asked: Instant, position: Option<Position>) -> bool {
    if pool.is_retired() {
        return engine.directory.is_fenced();
    }
    prove_leader(engine, pool.record(), asked, position)
}

/// Takes in that `record` answered a question sent at `asked` as a leader; false
/// if the answer does not count, since another may lead by now.
pub fn prove_leader(
    engine: &Engine,
    record: &InstanceRecord,
    asked: Instant,
    position: Option<Position>,
) -> bool {
    let Some(position) = position else {
        return engine.directory.is_fenced();
    };
    let counts = engine
        .directory
        .leader_proved(&record.group, &record.name, asked, position);
    if !counts {
        engine.metrics.answers_without_permit.inc();
        engine.wake_monitor();
    }
    counts
}

/// Takes in what an instance's error tells of it.
pub fn note_error(engine: &Engine, record: &InstanceRecord, error: &BackEndError) {
    match error.kind {
        BackEndErrorKind::ReadOnly => {
            engine.directory.leader_denied(&record.group, &record.name);
            engine.wake_monitor();
        }
        BackEndErrorKind::Behind => engine.directory.behind(&record.name),
        BackEndErrorKind::Busy => engine.directory.avoid(&record.name),
        _ => {}
    }
}
