//! Why an exchange with an instance came to nothing.

use millwind_core::eligibility::IneligibleReason;
use millwind_core::error_kind::ErrorKind;
use thiserror::Error;

use crate::statement::{BackEndError, BackEndErrorKind};

/// A failed exchange.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LinkError {
    /// Nobody listens there, or the connection was reset while opening.
    #[error("connection refused")]
    Refused,
    /// The connection did not open in time.
    #[error("connection did not open in time")]
    ConnectTimeout,
    /// The instance closed the connection instead of opening its session, as
    /// one does that has too many.
    #[error("connection was closed while opening")]
    TurnedAway,
    /// The instance refused the opening of the session.
    #[error("startup refused: {} {}", .0.code, .0.text)]
    StartupRefused(BackEndError),
    /// No connection or turn became free in time, or would have.
    #[error("no connection or turn free in time")]
    NoConnection,
    /// The instance is no longer used.
    #[error("instance is no longer used")]
    Retired,
    /// No node that could run the statement was reached.
    #[error("no node that holds connections was reached")]
    OwnerUnreachable,
    /// The node that holds the connections has lost the instance.
    #[error("the node that holds connections does not reach the instance")]
    InstanceFailing,
    /// No leader's position was observed in time.
    #[error("no recent position of a leader")]
    NoObservation,
    /// The connection broke after bytes were sent.
    #[error("connection broke")]
    Lost,
    /// No answer came in time after bytes were sent.
    #[error("no answer in time")]
    Silent,
    /// The answer came from an instance that may no longer lead.
    #[error("the instance that answered may no longer lead")]
    NoPermit,
    /// The answer was no message of the protocol.
    #[error("answer cannot be read")]
    Protocol,
    /// The statement may not use the instance, or the way to it.
    #[error("not eligible: {}", .0.name())]
    IneligibleReason(IneligibleReason),
    /// The instance has just started, and takes no more statements now.
    #[error("the instance is warming up and takes no more statements now")]
    WarmingUp {
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u32,
    },
}

impl LinkError {
    /// The name in logs.
    pub const fn name(&self) -> &'static str {
        match self {
            LinkError::Refused => "refused",
            LinkError::ConnectTimeout => "connect_timeout",
            LinkError::TurnedAway => "turned_away",
            LinkError::StartupRefused(error) => error.kind.name(),
            LinkError::NoConnection => "no_connection",
            LinkError::Retired => "retired",
            LinkError::OwnerUnreachable => "owner_unreachable",
            LinkError::InstanceFailing => "instance_failing",
            LinkError::NoObservation => "no_observation",
            LinkError::Lost => "lost",
            LinkError::Silent => "silent",
            LinkError::NoPermit => "no_permit",
            LinkError::Protocol => "protocol",
            LinkError::IneligibleReason(reason) => reason.name(),
            LinkError::WarmingUp { .. } => "warming_up",
        }
    }

    /// Whether a statement may have reached the instance.
    pub const fn may_have_run(&self) -> bool {
        matches!(
            self,
            LinkError::Lost | LinkError::Silent | LinkError::NoPermit | LinkError::Protocol
        )
    }

    /// Whether the instance itself showed that it is in trouble.
    pub const fn is_evidence(&self) -> bool {
        matches!(
            self,
            LinkError::Refused | LinkError::ConnectTimeout | LinkError::Lost | LinkError::Silent
        )
    }

    /// Whether the instance takes no more connections now.
    pub fn is_over_limit(&self) -> bool {
        match self {
            LinkError::TurnedAway => true,
            LinkError::StartupRefused(error) => error.kind == BackEndErrorKind::TooManyConnections,
            _ => false,
        }
    }

    /// Whether another instance listens at the address now.
    pub fn is_wrong_instance(&self) -> bool {
        matches!(self, LinkError::StartupRefused(error) if error.kind == BackEndErrorKind::WrongInstance)
    }

    /// Whether the instance's process seems to be gone, not merely silent.
    pub fn is_refusing(&self) -> bool {
        matches!(self, LinkError::Refused | LinkError::Lost) || self.is_wrong_instance()
    }

    /// When a caller may come back; none for what the table of errors says.
    pub const fn retry_after_ms(&self) -> Option<u32> {
        match self {
            LinkError::WarmingUp { retry_after_ms } => Some(*retry_after_ms),
            _ => None,
        }
    }

    /// What a caller is told where nothing has run.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            LinkError::NoConnection => ErrorKind::QueueFull,
            LinkError::NoObservation => ErrorKind::NoPrimary,
            LinkError::IneligibleReason(IneligibleReason::RegionNotAllowed) => ErrorKind::RegionNotAllowed,
            LinkError::IneligibleReason(IneligibleReason::ZoneEvacuated) => ErrorKind::ZoneEvacuated,
            LinkError::WarmingUp { .. } => ErrorKind::WarmingUp,
            _ => ErrorKind::BackEndUnreachable,
        }
    }
}
