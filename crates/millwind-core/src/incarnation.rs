//! Detects that a database instance has restarted under the same name and lost its
//! in-memory state.

use std::fmt;
use std::net::SocketAddr;

/// One run of an instance's process, identified by its start time in milliseconds since the
/// Unix epoch on the instance's own clock. Incarnations may only be compared for equality:
/// the clock can jump, so a later run may have a lower number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The fields of an instance's record from which a restart is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestartSigns {
    /// The incarnation, if the record names one.
    pub incarnation: Option<Incarnation>,
    /// Number of times this incarnation has written its record, if the record has the count.
    pub heartbeat: Option<u64>,
    /// Address that the instance listens on.
    pub address: SocketAddr,
    /// Whether the instance has announced its shutdown.
    pub is_leaving: bool,
}

/// The reason to conclude that an instance has restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartEvidence {
    /// The records name different incarnations, or only one of them names an incarnation.
    Incarnation,
    /// The heartbeat count went down.
    Heartbeat,
    /// The listening address changed.
    Address,
    /// The announced shutdown was withdrawn.
    ShutdownWithdrawn,
}

impl RestartEvidence {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            RestartEvidence::Incarnation => "incarnation",
            RestartEvidence::Heartbeat => "heartbeat",
            RestartEvidence::Address => "address",
            RestartEvidence::ShutdownWithdrawn => "returned",
        }
    }
}

/// Returns the evidence that the instance restarted between writing `previous` and `current`,
/// in the store's order, or `None` if the same process wrote both records.
///
/// This detects an instance that crashes and returns within one heartbeat interval, when no
/// node observes a missing record or a refused connection. Any different incarnation counts,
/// not only a higher one, because clocks jump. If neither record names an incarnation, the
/// decision rests on what a running process never does: lower its heartbeat count, change its
/// address or withdraw its announced shutdown. A false positive only discards state that is
/// soon learnt again; a missed restart can lose commits.
pub fn restart_evidence(previous: &RestartSigns, current: &RestartSigns) -> Option<RestartEvidence> {
    if previous.incarnation != current.incarnation {
        return Some(RestartEvidence::Incarnation);
    }
    if previous.incarnation.is_some() {
        return None;
    }
    if previous.address != current.address {
        return Some(RestartEvidence::Address);
    }
    if previous.is_leaving && !current.is_leaving {
        return Some(RestartEvidence::ShutdownWithdrawn);
    }
    let heartbeat_went_down =
        matches!((previous.heartbeat, current.heartbeat), (Some(old), Some(new)) if new < old);
    heartbeat_went_down.then_some(RestartEvidence::Heartbeat)
}
