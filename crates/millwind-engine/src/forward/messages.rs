//! Converts between engine types and messages of the forwarding protocol.

use std::collections::BTreeMap;

use millwind_core::Instant;
use millwind_core::eligibility::IneligibleReason;
use millwind_core::ids::{GroupName, InstanceName, TenantName};
use millwind_core::position::{LogPosition, Position, Term};
use millwind_core::session_commits::SessionCommit;
use millwind_core::session_state::{Access, PreparedStatement, SessionState};
use millwind_wire::forward::{
    ForwardedAnswer, ForwardedCommit, ForwardedExecution, ForwardedFloor, ForwardedOutcome,
    ForwardedPosition, ForwardedRow, ForwardedStatement, ForwardedTenant, ForwardedValue, LeaderReport,
};

use crate::backend::{ConnectionUser, ExchangeError};
use crate::clock;
use crate::execution::AttemptError;
use crate::floor::{MinimumReadPosition, StalenessBound};
use crate::node::Engine;
use crate::statement::{BackEndError, BackEndErrorKind, Command, Reply, TransactionState};

/// Wire codes of back-end error kinds.
const BACK_END_ERROR_CODES: [(u8, BackEndErrorKind); 9] = [
    (1, BackEndErrorKind::Busy),
    (2, BackEndErrorKind::Behind),
    (3, BackEndErrorKind::ReadOnly),
    (4, BackEndErrorKind::WrongInstance),
    (5, BackEndErrorKind::TooManyConnections),
    (6, BackEndErrorKind::UnknownStatement),
    (7, BackEndErrorKind::Failed),
    (8, BackEndErrorKind::TimedOut),
    (9, BackEndErrorKind::Other),
];

/// Wire codes of link errors.
const LINK_ERROR_CODES: [(u8, ExchangeError); 14] = [
    (1, ExchangeError::Refused),
    (2, ExchangeError::ConnectTimeout),
    (3, ExchangeError::ClosedDuringStartup),
    (4, ExchangeError::QueueTimeout),
    (5, ExchangeError::PoolRetired),
    (6, ExchangeError::Lost),
    (7, ExchangeError::ReplyTimeout),
    (8, ExchangeError::InstanceFailing),
    (9, ExchangeError::NoObservation),
    (10, ExchangeError::OwnerUnreachable),
    (11, ExchangeError::NoPermit),
    (12, ExchangeError::Ineligible(IneligibleReason::RegionNotAllowed)),
    (13, ExchangeError::Ineligible(IneligibleReason::ZoneEvacuated)),
    (14, ExchangeError::Ineligible(IneligibleReason::Leaving)),
];

fn micros_since(time: Instant) -> u64 {
    clock::now().0.saturating_sub(time.0)
}

fn micros_ago(micros: u64) -> Instant {
    Instant(clock::now().0.saturating_sub(micros))
}

pub(super) fn write_position(position: Position) -> ForwardedPosition {
    ForwardedPosition {
        term: position.term.0,
        number: position.log_position.0,
    }
}

pub(super) fn read_position(position: ForwardedPosition) -> Position {
    Position {
        term: Term(position.term),
        log_position: LogPosition(position.number),
    }
}

pub(super) fn write_floor(floor: &MinimumReadPosition) -> ForwardedFloor {
    match floor {
        MinimumReadPosition::Any => ForwardedFloor::Any,
        MinimumReadPosition::Position(position) => ForwardedFloor::Position(write_position(*position)),
        MinimumReadPosition::Staleness(bound) => ForwardedFloor::Staleness {
            arrived_ago_us: micros_since(bound.arrived),
            staleness_ms: bound.staleness_ms,
            written: bound.written.iter().map(write_commit).collect(),
        },
    }
}

fn write_commit(written: &SessionCommit) -> ForwardedCommit {
    ForwardedCommit {
        position: write_position(written.position),
        acknowledged_ago_us: micros_since(written.acknowledged),
    }
}

/// Decodes a floor. Times are sent as ages, so they shift later by the transit time.
/// The shift can only make the floor stricter.
pub(super) fn read_floor(floor: &ForwardedFloor) -> MinimumReadPosition {
    match floor {
        ForwardedFloor::Any => MinimumReadPosition::Any,
        ForwardedFloor::Position(position) => MinimumReadPosition::Position(read_position(*position)),
        ForwardedFloor::Staleness {
            arrived_ago_us,
            staleness_ms,
            written,
        } => MinimumReadPosition::Staleness(StalenessBound {
            arrived: micros_ago(*arrived_ago_us),
            staleness_ms: *staleness_ms,
            written: written.first().map(|commit| SessionCommit {
                position: read_position(commit.position),
                acknowledged: micros_ago(commit.acknowledged_ago_us),
            }),
        }),
    }
}

/// Encodes the user of a lease as a list of at most one tenant.
pub(super) fn write_user(user: &ConnectionUser) -> Vec<ForwardedTenant> {
    let tenant = |name: &TenantName| ForwardedTenant { name: name.0.clone() };
    user.tenant().map(tenant).into_iter().collect()
}

pub(super) fn read_user(tenants: &[ForwardedTenant]) -> ConnectionUser {
    match tenants.first() {
        Some(tenant) => ConnectionUser::Tenant(TenantName::from(tenant.name.as_str())),
        None => ConnectionUser::System,
    }
}

pub(super) fn write_values(session: &SessionState) -> Vec<ForwardedValue> {
    let value = |(name, value): (&String, &String)| ForwardedValue {
        name: name.clone(),
        value: value.clone(),
    };
    session.values.iter().map(value).collect()
}

/// Decodes the session's values. Prepared statements are sent with the statement that
/// executes them.
pub(super) fn read_session(values: &[ForwardedValue]) -> SessionState {
    let pair = |value: &ForwardedValue| (value.name.clone(), value.value.clone());
    SessionState {
        values: values.iter().map(pair).collect(),
        prepared: BTreeMap::new(),
    }
}

/// Encodes a command as its text, or as the execution of a prepared statement.
pub(super) fn write_command(command: &Command<'_>) -> (String, Vec<ForwardedExecution>) {
    match command {
        Command::Execute { statement, arguments } => {
            let execution = ForwardedExecution {
                writes: u8::from(statement.access == Access::Write),
                shape: statement.text.clone(),
                arguments: (*arguments).to_owned(),
            };
            (String::new(), vec![execution])
        }
        Command::Text(text) => ((*text).to_owned(), Vec::new()),
        // Only statements of callers are forwarded.
        _ => (String::new(), Vec::new()),
    }
}

/// Returns the prepared statement that a forwarded statement executes, and its
/// arguments.
pub(super) fn read_execution(statement: &ForwardedStatement) -> Option<(PreparedStatement, &str)> {
    let execution = statement.execution.first()?;
    let access = match execution.writes {
        0 => Access::Read,
        _ => Access::Write,
    };
    let prepared = PreparedStatement {
        access,
        text: execution.shape.clone(),
    };
    Some((prepared, &execution.arguments))
}

fn write_state(state: TransactionState) -> u8 {
    match state {
        TransactionState::Idle => 0,
        TransactionState::Open => 1,
        TransactionState::Failed => 2,
    }
}

pub(super) fn read_state(state: u8) -> TransactionState {
    match state {
        0 => TransactionState::Idle,
        1 => TransactionState::Open,
        _ => TransactionState::Failed,
    }
}

pub(super) fn write_answer(
    call: u64,
    result: Result<Reply, AttemptError>,
    state: TransactionState,
    leader: Option<LeaderReport>,
) -> ForwardedAnswer {
    let mut answer = ForwardedAnswer {
        call,
        outcome: ForwardedOutcome::Link { kind: 0 },
        rows: Vec::new(),
        state: write_state(state),
        position: Vec::new(),
        leader: leader.into_iter().collect(),
    };
    match result {
        Ok(reply) => {
            answer.position = reply.position.into_iter().map(write_position).collect();
            answer.rows = reply.rows.into_iter().map(|row| ForwardedRow { row }).collect();
            answer.outcome = match reply.result {
                Ok(signature) => ForwardedOutcome::Complete { signature },
                Err(error) => write_back_end_error(error),
            };
        }
        Err(AttemptError::BackEnd(error)) => answer.outcome = write_back_end_error(error),
        Err(AttemptError::Link(error)) => answer.outcome = write_link_error(&error),
    }
    answer
}

fn write_back_end_error(error: BackEndError) -> ForwardedOutcome {
    let entry = BACK_END_ERROR_CODES.iter().find(|(_, kind)| *kind == error.kind);
    ForwardedOutcome::BackEnd {
        kind: entry.map_or(0, |(wire_code, _)| *wire_code),
        code: error.code,
        text: error.text,
    }
}

fn write_link_error(error: &ExchangeError) -> ForwardedOutcome {
    if let ExchangeError::WarmingUp { retry_after_ms } = *error {
        return ForwardedOutcome::WarmingUp { retry_after_ms };
    }
    let entry = LINK_ERROR_CODES.iter().find(|(_, kind)| kind == error);
    ForwardedOutcome::Link {
        kind: entry.map_or(0, |(wire_code, _)| *wire_code),
    }
}

/// Decodes an owner's answer to the result that a local connection would return.
pub(super) fn read_answer(answer: ForwardedAnswer) -> Result<Reply, AttemptError> {
    match answer.outcome {
        ForwardedOutcome::Complete { signature } => Ok(Reply {
            rows: answer.rows.into_iter().map(|row| row.row).collect(),
            result: Ok(signature),
            state: read_state(answer.state),
            position: answer.position.first().copied().map(read_position),
        }),
        ForwardedOutcome::BackEnd { kind, code, text } => {
            let entry = BACK_END_ERROR_CODES
                .iter()
                .find(|(wire_code, _)| *wire_code == kind);
            let kind = entry.map_or(BackEndErrorKind::Other, |(_, kind)| *kind);
            Err(AttemptError::BackEnd(BackEndError { kind, code, text }))
        }
        ForwardedOutcome::Link { kind } => {
            let entry = LINK_ERROR_CODES.iter().find(|(wire_code, _)| *wire_code == kind);
            // An unknown code does not tell whether the statement has run.
            let error = entry.map_or(ExchangeError::Protocol, |(_, error)| error.clone());
            Err(AttemptError::Link(error))
        }
        ForwardedOutcome::WarmingUp { retry_after_ms } => {
            Err(AttemptError::Link(ExchangeError::WarmingUp { retry_after_ms }))
        }
    }
}

/// Returns this node's latest observation of a group's leader. Returns `None` if the
/// leader, its term or an observation is missing, or if the observation has a later term
/// than the leader.
pub(crate) fn leader_report(engine: &Engine, group: &GroupName) -> Option<LeaderReport> {
    let leader = engine.directory.leader(group)?;
    let newest = engine.directory.newest_observation(group)?;
    let term = leader.term.filter(|term| newest.position.term <= *term)?;
    Some(LeaderReport {
        instance: leader.instance.0,
        term: term.0,
        position: write_position(newest.position),
        asked_ago_us: micros_since(newest.asked),
    })
}

/// Records another node's observation of a group's leader, received in the answer to a
/// request sent at `sent`. The age of the observation is subtracted from `sent`, which
/// gives a lower bound of the time when that node queried the leader.
pub(crate) fn record_leader_report(engine: &Engine, group: &GroupName, report: &LeaderReport, sent: Instant) {
    let asked = Instant(sent.0.saturating_sub(report.asked_ago_us));
    let instance = InstanceName(report.instance.clone());
    let position = read_position(report.position);
    let directory = &engine.directory;
    if !directory.is_from_current_incarnation(&instance, asked) {
        // The observation is of a previous incarnation of the instance.
        return;
    }
    directory.record_announced_term(group, &instance, Term(report.term));
    directory.record_leader_proof(group, &instance, asked, position);
}
