//! Leader failure detection for a replication group.
//!
//! Groups do not elect a leader themselves: a proxy node orders the promotion of a
//! replica. An unnecessary promotion interrupts writes briefly but violates no
//! guarantee, so the timeouts are short. A node that alone cannot reach the
//! leader does not replace it while more of its peers still can.

use crate::Instant;

/// Timeouts of the failover decision, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailoverTimes {
    /// Time without contact after which agreeing peers or a stale heartbeat suffice to
    /// replace the leader. Half of it suffices if the leader refuses connections.
    pub suspect_ms: u64,
    /// Time without contact after which a node replaces the leader without confirmation.
    pub unconfirmed_ms: u64,
    /// Heartbeat age that confirms a suspected failure.
    pub heartbeat_ms: u64,
}

/// The state of a group's leader as observed by one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaderEvidence {
    /// Time since which every attempt of this node to contact the leader has failed.
    pub failing_since: Option<Instant>,
    /// The leader's host refused or reset a connection, so its process is not merely slow.
    pub refuses_connections: bool,
    /// The leader has announced its shutdown or is no longer in the list of instances.
    pub is_leaving: bool,
    /// The leader's zone is being evacuated and another zone has a healthy replica.
    pub is_zone_evacuated: bool,
    /// Age of the leader's last heartbeat in the store; `None` if the store is unreachable.
    pub heartbeat_age_ms: Option<u64>,
    /// Number of peers that recently reported reaching the leader.
    pub peers_reaching: usize,
    /// Number of peers that recently reported not reaching the leader.
    pub peers_failing: usize,
    /// Number of the group's replicas that this node reaches.
    pub replicas_reached: usize,
    /// Time since which statements on the leader hang although health checks succeed.
    pub unresponsive_since: Option<Instant>,
    /// Statements on the leader fail often although health checks succeed.
    pub is_outlier: bool,
    /// Number of replicas whose statements neither hang nor fail often.
    pub healthy_replicas: usize,
}

/// The decision that follows from the evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderVerdict {
    /// The leader stays and no failure is suspected.
    Healthy,
    /// The leader may have failed, but the evidence does not justify a replacement.
    Suspected,
    /// A replica must take over.
    Replace(ReplaceReason),
}

/// Why a leader is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplaceReason {
    /// The leader announced its shutdown.
    Leaving,
    /// The leader's zone is being evacuated.
    Evacuated,
    /// The leader's host refuses connections.
    ConnectionRefused,
    /// Peers confirm that the leader is unreachable.
    ConfirmedByPeers,
    /// The leader is unreachable and its heartbeat in the store is stale.
    HeartbeatStale,
    /// The leader was unreachable for so long that no confirmation is required.
    Unconfirmed,
    /// Statements on the leader hang.
    Unresponsive,
    /// Statements on the leader fail often.
    Outlier,
    /// The leader runs in a region that customers do not allow.
    Relocating,
    /// An earlier order to promote a replica may still be carried out.
    UnfinishedOrder,
}

impl ReplaceReason {
    /// Whether the leader still answers health checks, so that only nodes that run
    /// statements on it can detect the failure.
    pub const fn is_detected_by_statements(self) -> bool {
        matches!(self, ReplaceReason::Unresponsive | ReplaceReason::Outlier)
    }

    /// Whether the leader is still running, so that the handover need not lose commits.
    pub const fn is_leader_alive(self) -> bool {
        self.is_detected_by_statements()
            || matches!(
                self,
                ReplaceReason::Leaving
                    | ReplaceReason::Evacuated
                    | ReplaceReason::Relocating
                    | ReplaceReason::UnfinishedOrder
            )
    }

    /// Whether a healthy leader is moved away from its zone or region.
    pub const fn is_planned_move(self) -> bool {
        matches!(self, ReplaceReason::Evacuated | ReplaceReason::Relocating)
    }

    /// Name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            ReplaceReason::Leaving => "leaving",
            ReplaceReason::Evacuated => "evacuated",
            ReplaceReason::ConnectionRefused => "refusing",
            ReplaceReason::ConfirmedByPeers => "agreed",
            ReplaceReason::HeartbeatStale => "heartbeat_silent",
            ReplaceReason::Unconfirmed => "alone",
            ReplaceReason::Unresponsive => "unresponsive",
            ReplaceReason::Outlier => "outlier",
            ReplaceReason::Relocating => "relocating",
            ReplaceReason::UnfinishedOrder => "unfinished_order",
        }
    }
}

/// Decides whether to replace the leader.
///
/// Never returns [`LeaderVerdict::Replace`] to a node that reaches no replica.
pub fn evaluate_leader(now: Instant, evidence: &LeaderEvidence, times: &FailoverTimes) -> LeaderVerdict {
    if evidence.replicas_reached == 0 {
        return match evidence.failing_since {
            Some(_) => LeaderVerdict::Suspected,
            None => LeaderVerdict::Healthy,
        };
    }
    if evidence.is_leaving {
        return LeaderVerdict::Replace(ReplaceReason::Leaving);
    }
    let Some(failing_since) = evidence.failing_since else {
        if evidence.is_zone_evacuated {
            return LeaderVerdict::Replace(ReplaceReason::Evacuated);
        }
        return evaluate_statements(now, evidence, times);
    };
    let unreachable_ms = now.millis_since(failing_since);
    if evidence.peers_reaching > evidence.peers_failing {
        return LeaderVerdict::Suspected;
    }
    if evidence.refuses_connections && unreachable_ms * 2 >= times.suspect_ms {
        return LeaderVerdict::Replace(ReplaceReason::ConnectionRefused);
    }
    if unreachable_ms < times.suspect_ms {
        return LeaderVerdict::Suspected;
    }
    if evidence.peers_failing > 0 {
        return LeaderVerdict::Replace(ReplaceReason::ConfirmedByPeers);
    }
    if evidence
        .heartbeat_age_ms
        .is_some_and(|age| age >= times.heartbeat_ms)
    {
        return LeaderVerdict::Replace(ReplaceReason::HeartbeatStale);
    }
    if unreachable_ms >= times.unconfirmed_ms {
        return LeaderVerdict::Replace(ReplaceReason::Unconfirmed);
    }
    LeaderVerdict::Suspected
}

/// Decides about a leader that answers health checks from the results of its statements.
fn evaluate_statements(now: Instant, evidence: &LeaderEvidence, times: &FailoverTimes) -> LeaderVerdict {
    if evidence.healthy_replicas == 0 {
        return LeaderVerdict::Healthy;
    }
    if evidence.is_outlier {
        return LeaderVerdict::Replace(ReplaceReason::Outlier);
    }
    let Some(since) = evidence.unresponsive_since else {
        return LeaderVerdict::Healthy;
    };
    if now.millis_since(since) >= times.unconfirmed_ms {
        return LeaderVerdict::Replace(ReplaceReason::Unresponsive);
    }
    LeaderVerdict::Healthy
}
