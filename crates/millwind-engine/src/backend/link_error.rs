//! Errors of exchanges with instances.

use millwind_core::eligibility::IneligibleReason;
use millwind_core::error_kind::ErrorKind;
use thiserror::Error;

use crate::statement::{BackEndError, BackEndErrorKind};

/// Why an exchange with an instance failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ExchangeError {
    /// The TCP connection failed other than by a timeout: it was refused, reset, or the address
    /// is unreachable.
    #[error("connection refused")]
    Refused,
    /// The connection or its session was not established in time.
    #[error("connection did not open in time")]
    ConnectTimeout,
    /// The connection failed before the session was established. Instances that have reached
    /// their connection limit may close new connections.
    #[error("connection was closed while opening")]
    ClosedDuringStartup,
    /// The instance rejected the session startup with an error.
    #[error("startup refused: {} {}", .0.code, .0.text)]
    StartupRefused(BackEndError),
    /// No connection or execution slot became free in time, or none was expected to.
    #[error("no connection or turn free in time")]
    QueueTimeout,
    /// The pool of the instance was retired.
    #[error("instance is no longer used")]
    PoolRetired,
    /// None of the nodes that hold connections to the instance was reachable.
    #[error("no node that holds connections was reached")]
    OwnerUnreachable,
    /// The node that holds the connections cannot reach the instance.
    #[error("the node that holds connections does not reach the instance")]
    InstanceFailing,
    /// No leader position was observed in time.
    #[error("no recent position of a leader")]
    NoObservation,
    /// The connection broke after bytes were sent.
    #[error("connection broke")]
    Lost,
    /// No reply arrived in time after bytes were sent.
    #[error("no answer in time")]
    ReplyTimeout,
    /// The reply came from an instance that may no longer be the leader.
    #[error("the instance that answered may no longer lead")]
    NoPermit,
    /// The reply violates the protocol, or a command that prepares the session failed.
    #[error("answer cannot be read")]
    Protocol,
    /// The statement may not use the instance or the route to it.
    #[error("not eligible: {}", .0.name())]
    Ineligible(IneligibleReason),
    /// The instance is warming up and accepts no further statements for now.
    #[error("the instance is warming up and takes no more statements now")]
    WarmingUp {
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: u32,
    },
}

impl ExchangeError {
    /// The error name used in logs.
    pub const fn name(&self) -> &'static str {
        match self {
            ExchangeError::Refused => "refused",
            ExchangeError::ConnectTimeout => "connect_timeout",
            ExchangeError::ClosedDuringStartup => "turned_away",
            ExchangeError::StartupRefused(error) => error.kind.name(),
            ExchangeError::QueueTimeout => "no_connection",
            ExchangeError::PoolRetired => "retired",
            ExchangeError::OwnerUnreachable => "owner_unreachable",
            ExchangeError::InstanceFailing => "instance_failing",
            ExchangeError::NoObservation => "no_observation",
            ExchangeError::Lost => "lost",
            ExchangeError::ReplyTimeout => "silent",
            ExchangeError::NoPermit => "no_permit",
            ExchangeError::Protocol => "protocol",
            ExchangeError::Ineligible(reason) => reason.name(),
            ExchangeError::WarmingUp { .. } => "warming_up",
        }
    }

    /// Whether a statement may have reached the instance.
    pub const fn may_have_run(&self) -> bool {
        matches!(
            self,
            ExchangeError::Lost
                | ExchangeError::ReplyTimeout
                | ExchangeError::NoPermit
                | ExchangeError::Protocol
        )
    }

    /// Whether the error indicates a failure of the instance itself.
    pub const fn indicates_instance_failure(&self) -> bool {
        matches!(
            self,
            ExchangeError::Refused
                | ExchangeError::ConnectTimeout
                | ExchangeError::Lost
                | ExchangeError::ReplyTimeout
        )
    }

    /// Whether the instance appears to have rejected the connection because of its connection
    /// limit.
    pub fn is_over_limit(&self) -> bool {
        match self {
            ExchangeError::ClosedDuringStartup => true,
            ExchangeError::StartupRefused(error) => error.kind == BackEndErrorKind::TooManyConnections,
            _ => false,
        }
    }

    /// Whether another instance now listens at the address.
    pub fn is_wrong_instance(&self) -> bool {
        matches!(self, ExchangeError::StartupRefused(error) if error.kind == BackEndErrorKind::WrongInstance)
    }

    /// Whether the error suggests that the instance's process is gone and not just unresponsive.
    pub fn indicates_process_exit(&self) -> bool {
        matches!(self, ExchangeError::Refused | ExchangeError::Lost) || self.is_wrong_instance()
    }

    /// Delay after which the caller may retry, in milliseconds; none if the default of the
    /// error kind applies.
    pub const fn retry_after_ms(&self) -> Option<u32> {
        match self {
            ExchangeError::WarmingUp { retry_after_ms } => Some(*retry_after_ms),
            _ => None,
        }
    }

    /// The error kind reported to the caller if the statement was not run.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            ExchangeError::QueueTimeout => ErrorKind::QueueFull,
            ExchangeError::NoObservation => ErrorKind::NoPrimary,
            ExchangeError::Ineligible(IneligibleReason::RegionNotAllowed) => ErrorKind::RegionNotAllowed,
            ExchangeError::Ineligible(IneligibleReason::ZoneEvacuated) => ErrorKind::ZoneEvacuated,
            ExchangeError::WarmingUp { .. } => ErrorKind::WarmingUp,
            _ => ErrorKind::BackEndUnreachable,
        }
    }
}
