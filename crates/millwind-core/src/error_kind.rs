//! The closed list of error kinds, and the one table from kind to answer.
//!
//! `docs/ERRORS.md` is written from this table.

/// What is known about the effect of a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Effect {
    /// No back end was given the request.
    NotRun,
    /// It ran and was undone, or its transaction is proven discarded.
    RolledBack,
    /// It may or may not have taken effect.
    Unknown,
}

/// What the caller should do about a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// The same request may be sent again, through any node.
    Yes,
    /// Not as it is: something must change first.
    No,
    /// Only with a request id, which makes the repeat run at most once.
    WithRequestId,
}

/// Every way in which the proxy itself refuses or fails a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum ErrorKind {
    /// The startup message names no tenant in force.
    UnknownTenant = 1,
    /// Wrong or missing credentials.
    AuthenticationFailed = 2,
    /// The tenant's limit of client connections is reached.
    TooManyClients = 3,
    /// The node has no configuration yet or may hold an old one.
    NotServing = 4,
    /// The node is stopping and takes no new work.
    Draining = 5,
    /// The instance's admission queue is full.
    QueueFull = 6,
    /// The request cannot finish within its window.
    WindowTooShort = 7,
    /// The group showed no primary within the request's window.
    NoPrimary = 8,
    /// The chosen instance is no longer the primary.
    NotPrimary = 9,
    /// No instance has replayed up to the session's token in time.
    ReplicaBehind = 10,
    /// The session's last write was discarded by a failover.
    SessionDiscarded = 11,
    /// The back end or the node that owns it could not be reached.
    BackEndUnreachable = 12,
    /// An open transaction lost its connection and was rolled back.
    TransactionLost = 13,
    /// A write was sent and its effect could not be established.
    OutcomeUnknown = 14,
    /// The request id was settled as not run by an earlier attempt.
    RequestFenced = 15,
    /// A message or statement the proxy does not carry.
    Unsupported = 16,
    /// A `millwind.*` setting, token or comment is out of its range.
    InvalidSetting = 17,
    /// The answer is longer than the node holds for one request.
    AnswerTooLarge = 18,
    /// The tenant asks for more than its quota.
    QuotaExceeded = 19,
    /// No instance that could run it stands in a region that the customer allows.
    RegionNotAllowed = 20,
    /// Every instance that could run it stands in a zone that is being evacuated.
    ZoneEvacuated = 21,
    /// The only instance that could run it has just started and takes few statements.
    WarmingUp = 22,
}

/// One row of the table from kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// SQLSTATE sent to the caller.
    pub sqlstate: &'static str,
    /// What is known of the request's effect.
    pub effect: Effect,
    /// What the caller should do.
    pub repeat: Repeat,
    /// When to come back, in milliseconds; zero where waiting does not help.
    pub retry_after_ms: u32,
    /// Text for people.
    pub text: &'static str,
}

impl ErrorKind {
    /// Every kind, in the order of its code.
    pub const ALL: [ErrorKind; 22] = [
        ErrorKind::UnknownTenant,
        ErrorKind::AuthenticationFailed,
        ErrorKind::TooManyClients,
        ErrorKind::NotServing,
        ErrorKind::Draining,
        ErrorKind::QueueFull,
        ErrorKind::WindowTooShort,
        ErrorKind::NoPrimary,
        ErrorKind::NotPrimary,
        ErrorKind::ReplicaBehind,
        ErrorKind::SessionDiscarded,
        ErrorKind::BackEndUnreachable,
        ErrorKind::TransactionLost,
        ErrorKind::OutcomeUnknown,
        ErrorKind::RequestFenced,
        ErrorKind::Unsupported,
        ErrorKind::InvalidSetting,
        ErrorKind::AnswerTooLarge,
        ErrorKind::QuotaExceeded,
        ErrorKind::RegionNotAllowed,
        ErrorKind::ZoneEvacuated,
        ErrorKind::WarmingUp,
    ];

    /// The kind with this code on the internal wire.
    pub fn from_code(code: u8) -> Option<ErrorKind> {
        Self::ALL.into_iter().find(|kind| kind.code() == code)
    }

    /// The code on the internal wire.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// The name in logs and tables.
    pub const fn name(self) -> &'static str {
        match self {
            ErrorKind::UnknownTenant => "unknown_tenant",
            ErrorKind::AuthenticationFailed => "authentication_failed",
            ErrorKind::TooManyClients => "too_many_clients",
            ErrorKind::NotServing => "not_serving",
            ErrorKind::Draining => "draining",
            ErrorKind::QueueFull => "queue_full",
            ErrorKind::WindowTooShort => "window_too_short",
            ErrorKind::NoPrimary => "no_primary",
            ErrorKind::NotPrimary => "not_primary",
            ErrorKind::ReplicaBehind => "replica_behind",
            ErrorKind::SessionDiscarded => "session_discarded",
            ErrorKind::BackEndUnreachable => "back_end_unreachable",
            ErrorKind::TransactionLost => "transaction_lost",
            ErrorKind::OutcomeUnknown => "outcome_unknown",
            ErrorKind::RequestFenced => "request_fenced",
            ErrorKind::Unsupported => "unsupported",
            ErrorKind::InvalidSetting => "invalid_setting",
            ErrorKind::AnswerTooLarge => "answer_too_large",
            ErrorKind::QuotaExceeded => "quota_exceeded",
            ErrorKind::RegionNotAllowed => "region_not_allowed",
            ErrorKind::ZoneEvacuated => "zone_evacuated",
            ErrorKind::WarmingUp => "warming_up",
        }
    }

    /// The answer for this kind.
    pub const fn answer(self) -> Answer {
        use Effect::{NotRun, RolledBack, Unknown};
        use Repeat::{No, WithRequestId, Yes};
        match self {
            ErrorKind::UnknownTenant => row("3D000", NotRun, No, 0, "no such tenant"),
            ErrorKind::AuthenticationFailed => row("28P01", NotRun, No, 0, "authentication failed"),
            ErrorKind::TooManyClients => row("53300", NotRun, Yes, 1_000, "tenant has too many clients"),
            ErrorKind::NotServing => row("57P03", NotRun, Yes, 1_000, "node has no current configuration"),
            ErrorKind::Draining => row("57P01", NotRun, Yes, 10, "node is stopping; reconnect elsewhere"),
            ErrorKind::QueueFull => row("53300", NotRun, Yes, 200, "admission queue is full"),
            ErrorKind::WindowTooShort => {
                row("57014", NotRun, Yes, 200, "request cannot finish in its window")
            }
            ErrorKind::NoPrimary => row("57P03", NotRun, Yes, 500, "group has no primary"),
            ErrorKind::NotPrimary => row("25006", NotRun, Yes, 100, "instance is not the primary"),
            ErrorKind::ReplicaBehind => row(
                "57P03",
                NotRun,
                Yes,
                200,
                "no instance has caught up with the session",
            ),
            ErrorKind::SessionDiscarded => row(
                "55000",
                NotRun,
                No,
                0,
                "the session's last write was discarded by a failover; start a new session",
            ),
            ErrorKind::BackEndUnreachable => row("08001", NotRun, Yes, 200, "back end unreachable"),
            ErrorKind::TransactionLost => row(
                "40001",
                RolledBack,
                Yes,
                100,
                "transaction lost its connection and was rolled back",
            ),
            ErrorKind::OutcomeUnknown => row(
                "08007",
                Unknown,
                WithRequestId,
                500,
                "the write was sent and its outcome is unknown",
            ),
            ErrorKind::RequestFenced => row(
                "40000",
                RolledBack,
                Yes,
                0,
                "an earlier attempt with this request id was settled as not run; use a new id",
            ),
            ErrorKind::Unsupported => row("0A000", NotRun, No, 0, "not supported in transaction pooling"),
            ErrorKind::InvalidSetting => row("22023", NotRun, No, 0, "setting out of range"),
            ErrorKind::AnswerTooLarge => {
                row("54000", RolledBack, No, 0, "answer is larger than the node holds")
            }
            ErrorKind::QuotaExceeded => row("53400", NotRun, Yes, 1_000, "tenant is over its quota"),
            ErrorKind::RegionNotAllowed => row(
                "57P03",
                NotRun,
                Yes,
                1_000,
                "no instance for it in a region that its customer allows",
            ),
            ErrorKind::ZoneEvacuated => row(
                "57P03",
                NotRun,
                Yes,
                500,
                "its instance's zone is being evacuated",
            ),
            ErrorKind::WarmingUp => row("53400", NotRun, Yes, 300, "its instance is still warming up"),
        }
    }
}

const fn row(
    sqlstate: &'static str,
    effect: Effect,
    repeat: Repeat,
    retry_after_ms: u32,
    text: &'static str,
) -> Answer {
    Answer {
        sqlstate,
        effect,
        repeat,
        retry_after_ms,
        text,
    }
}
