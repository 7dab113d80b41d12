//! The kinds of errors that the proxy reports, and the answer to the caller for each kind.
//!
//! `docs/ERRORS.md` documents the kinds and their answers.

/// The known effect of a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Effect {
    /// The request was not sent to a back end.
    NotRun,
    /// The request ran and was rolled back, or its transaction was provably discarded.
    RolledBack,
    /// The request may or may not have taken effect.
    Unknown,
}

/// Whether the caller should repeat a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryAdvice {
    /// The same request may be repeated through any node.
    Yes,
    /// Repeating the request unchanged fails again.
    No,
    /// The request may be repeated only with a request id, which ensures that the request
    /// takes effect at most once.
    WithRequestId,
}

/// The reason for which the proxy refused or failed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum ErrorKind {
    /// The tenant in the startup message is not configured.
    UnknownTenant = 1,
    /// The credentials are wrong or missing.
    AuthenticationFailed = 2,
    /// The tenant's limit of client connections is reached.
    TooManyClients = 3,
    /// The node has no configuration yet, or its configuration may be outdated.
    NotServing = 4,
    /// The node is shutting down and accepts no new requests.
    Draining = 5,
    /// The instance's admission queue is full.
    QueueFull = 6,
    /// The request cannot finish before its deadline.
    DeadlineTooShort = 7,
    /// No primary of the group was found before the request's deadline.
    NoPrimary = 8,
    /// The chosen instance is no longer the primary.
    NotPrimary = 9,
    /// No instance has replayed the log up to the session's token in time.
    ReplicaBehind = 10,
    /// The session's last write was discarded by a failover.
    SessionDiscarded = 11,
    /// The back end, or the node that owns it, could not be reached.
    BackEndUnreachable = 12,
    /// An open transaction lost its connection and was rolled back.
    TransactionLost = 13,
    /// A write was sent, but its outcome could not be determined.
    OutcomeUnknown = 14,
    /// An earlier attempt with the same request id was recorded as not run.
    RequestFenced = 15,
    /// The proxy does not support the message or statement.
    Unsupported = 16,
    /// A `millwind.*` setting, token or comment tag has an invalid value.
    InvalidSetting = 17,
    /// The answer exceeds the size that the node buffers for one request.
    AnswerTooLarge = 18,
    /// The tenant has exceeded its quota.
    QuotaExceeded = 19,
    /// No suitable instance runs in a region that the customer allows.
    RegionNotAllowed = 20,
    /// All suitable instances run in zones that are being evacuated.
    ZoneEvacuated = 21,
    /// The only suitable instance has just started and accepts few statements.
    WarmingUp = 22,
}

/// The answer to the caller for one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// SQLSTATE sent to the caller.
    pub sqlstate: &'static str,
    /// Known effect of the request.
    pub effect: Effect,
    /// Whether the caller should repeat the request.
    pub repeat: RetryAdvice,
    /// Time to wait before repeating the request, in milliseconds; zero if waiting does not
    /// help.
    pub retry_after_ms: u32,
    /// Human-readable message.
    pub text: &'static str,
}

impl ErrorKind {
    /// All kinds in the order of their codes.
    pub const ALL: [ErrorKind; 22] = [
        ErrorKind::UnknownTenant,
        ErrorKind::AuthenticationFailed,
        ErrorKind::TooManyClients,
        ErrorKind::NotServing,
        ErrorKind::Draining,
        ErrorKind::QueueFull,
        ErrorKind::DeadlineTooShort,
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

    /// Returns the kind with this code in the internal protocol; `None` if there is none.
    pub fn from_code(code: u8) -> Option<ErrorKind> {
        Self::ALL.into_iter().find(|kind| kind.code() == code)
    }

    /// Returns the code of the kind in the internal protocol.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns the name used in logs and tables.
    pub const fn name(self) -> &'static str {
        match self {
            ErrorKind::UnknownTenant => "unknown_tenant",
            ErrorKind::AuthenticationFailed => "authentication_failed",
            ErrorKind::TooManyClients => "too_many_clients",
            ErrorKind::NotServing => "not_serving",
            ErrorKind::Draining => "draining",
            ErrorKind::QueueFull => "queue_full",
            ErrorKind::DeadlineTooShort => "window_too_short",
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

    /// Returns the answer for this kind.
    pub const fn answer(self) -> Answer {
        use Effect::{NotRun, RolledBack, Unknown};
        use RetryAdvice::{No, WithRequestId, Yes};
        match self {
            ErrorKind::UnknownTenant => row("3D000", NotRun, No, 0, "no such tenant"),
            ErrorKind::AuthenticationFailed => row("28P01", NotRun, No, 0, "authentication failed"),
            ErrorKind::TooManyClients => row("53300", NotRun, Yes, 1_000, "tenant has too many clients"),
            ErrorKind::NotServing => row("57P03", NotRun, Yes, 1_000, "node has no current configuration"),
            ErrorKind::Draining => row("57P01", NotRun, Yes, 10, "node is stopping; reconnect elsewhere"),
            ErrorKind::QueueFull => row("53300", NotRun, Yes, 200, "admission queue is full"),
            ErrorKind::DeadlineTooShort => {
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
    repeat: RetryAdvice,
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
