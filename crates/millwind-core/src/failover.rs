//! Whether a group's leader must be replaced, by whom and by which replica.
//!
//! The groups do not elect: some node orders the promotion of a replica. An
//! unneeded promotion costs a moment without writes and breaks no promise, so
//! suspicion is quick; but one node's broken link is no evidence while others
//! still reach the leader.

use crate::Instant;
use crate::ids::InstanceName;
use crate::position::Position;

/// Times of the failover decision, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailoverTimes {
    /// Silence after which a leader is suspected.
    pub suspect_ms: u64,
    /// Silence after which a lone witness may act without agreement.
    pub alone_ms: u64,
    /// Heartbeat silence that confirms a suspicion.
    pub heartbeat_ms: u64,
}

/// What is known about the leader of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaderEvidence {
    /// Since when every contact of this node has failed.
    pub failing_since: Option<Instant>,
    /// Its process refused or reset a connection: it is not merely slow.
    pub is_refusing: bool,
    /// It has announced that it will end, or has left the list of instances.
    pub is_leaving: bool,
    /// Its zone is being evacuated, and a healthy replica stands in another one.
    pub must_leave_zone: bool,
    /// Time since its last heartbeat in the store, where the store is heard.
    pub heartbeat_age_ms: Option<u64>,
    /// Peers whose fresh report says that they reach it.
    pub peers_reaching: usize,
    /// Peers whose fresh report says that they don't.
    pub peers_failing: usize,
    /// Replicas of the group that answer this node.
    pub replicas_reached: usize,
    /// Since when its statements hang, though it answers health checks.
    pub unresponsive_since: Option<Instant>,
    /// Its statements fail often, though it answers health checks.
    pub is_outlier: bool,
    /// Replicas whose statements neither hang nor fail often.
    pub healthy_replicas: usize,
}

/// What follows from the evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderVerdict {
    /// Nothing is wrong.
    Healthy,
    /// Something is wrong, but not yet enough.
    Suspected,
    /// A replica must take over.
    Replace(ReplaceReason),
}

/// Why a leader is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplaceReason {
    /// It announced its end.
    Leaving,
    /// Its zone is being evacuated.
    Evacuated,
    /// Its process is gone.
    Refusing,
    /// Several nodes fail to reach it.
    Agreed,
    /// Its heartbeat has stopped too.
    HeartbeatSilent,
    /// Nobody else can be asked.
    Alone,
    /// Its statements hang.
    Unresponsive,
    /// Its statements fail often.
    Outlier,
    /// It stands in a region that customers' terms exclude.
    Relocating,
}

impl ReplaceReason {
    /// Whether the leader answers health checks all the same, so that only
    /// nodes that run statements there notice.
    pub const fn is_by_statements(self) -> bool {
        matches!(self, ReplaceReason::Unresponsive | ReplaceReason::Outlier)
    }

    /// Whether the leader still serves, so that its commits need not be lost.
    pub const fn is_of_live_leader(self) -> bool {
        self.is_by_statements()
            || matches!(
                self,
                ReplaceReason::Leaving | ReplaceReason::Evacuated | ReplaceReason::Relocating
            )
    }

    /// Whether nothing is wrong with the leader but where it stands.
    pub const fn is_move(self) -> bool {
        matches!(self, ReplaceReason::Evacuated | ReplaceReason::Relocating)
    }

    /// The name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            ReplaceReason::Leaving => "leaving",
            ReplaceReason::Evacuated => "evacuated",
            ReplaceReason::Refusing => "refusing",
            ReplaceReason::Agreed => "agreed",
            ReplaceReason::HeartbeatSilent => "heartbeat_silent",
            ReplaceReason::Alone => "alone",
            ReplaceReason::Unresponsive => "unresponsive",
            ReplaceReason::Outlier => "outlier",
            ReplaceReason::Relocating => "relocating",
        }
    }
}

/// Judges a leader by the evidence.
pub fn judge_leader(now: Instant, evidence: &LeaderEvidence, times: &FailoverTimes) -> LeaderVerdict {
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
        if evidence.must_leave_zone {
            return LeaderVerdict::Replace(ReplaceReason::Evacuated);
        }
        return judge_statements(now, evidence, times);
    };
    let silent_ms = now.millis_since(failing_since);
    if evidence.peers_reaching > evidence.peers_failing {
        return LeaderVerdict::Suspected;
    }
    if evidence.is_refusing && silent_ms * 2 >= times.suspect_ms {
        return LeaderVerdict::Replace(ReplaceReason::Refusing);
    }
    if silent_ms < times.suspect_ms {
        return LeaderVerdict::Suspected;
    }
    if evidence.peers_failing > 0 {
        return LeaderVerdict::Replace(ReplaceReason::Agreed);
    }
    if evidence
        .heartbeat_age_ms
        .is_some_and(|age| age >= times.heartbeat_ms)
    {
        return LeaderVerdict::Replace(ReplaceReason::HeartbeatSilent);
    }
    if silent_ms >= times.alone_ms {
        return LeaderVerdict::Replace(ReplaceReason::Alone);
    }
    LeaderVerdict::Suspected
}

/// Judges a leader that answers health checks by how its statements end.
fn judge_statements(now: Instant, evidence: &LeaderEvidence, times: &FailoverTimes) -> LeaderVerdict {
    if evidence.healthy_replicas == 0 {
        return LeaderVerdict::Healthy;
    }
    if evidence.is_outlier {
        return LeaderVerdict::Replace(ReplaceReason::Outlier);
    }
    let Some(since) = evidence.unresponsive_since else {
        return LeaderVerdict::Healthy;
    };
    if now.millis_since(since) >= times.alone_ms {
        return LeaderVerdict::Replace(ReplaceReason::Unresponsive);
    }
    LeaderVerdict::Healthy
}

/// A replica that may take over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Successor {
    /// The replica.
    pub instance: InstanceName,
    /// What its log has received.
    pub received: Position,
    /// Whether it will soon end.
    pub is_leaving: bool,
    /// Whether its zone is being evacuated: it could lead only for a moment.
    pub is_evacuated: bool,
    /// What its region would serve of the statements that need the leader, in any unit;
    /// the same for all where customers allow every region.
    pub allowed_worth: u64,
    /// Whether it has just started and takes few statements.
    pub is_cold: bool,
    /// Whether an earlier order named it, which may still be carried out; breaks
    /// ties.
    pub is_named: bool,
    /// Whether it runs in this node's own zone; breaks ties.
    pub is_near: bool,
}

/// Chooses the replica that takes over, or none while the answers of too few
/// replicas are known.
///
/// Where a commit is acknowledged only after `sync_replicas` of `replicas`
/// replicas have received it, each set of `replicas - sync_replicas + 1`
/// replicas holds it; so many must have answered, and received nothing more
/// since they did.
///
/// Where the present leader is alive, `must_hold` is what it has reported: a
/// replica that lacks it would undo acknowledged commits without need. Those that hold it
/// all lose nothing, so that among them the one goes first that serves most; else the one
/// that has received most.
pub fn choose_successor(
    answered: &[Successor],
    replicas: usize,
    sync_replicas: usize,
    must_hold: Option<Position>,
) -> Option<&Successor> {
    let needed = match sync_replicas {
        0 => 1,
        required => (replicas + 1).saturating_sub(required).max(1),
    };
    if answered.len() < needed {
        return None;
    }
    let furthest = answered.iter().map(|successor| successor.received).max()?;
    answered
        .iter()
        .filter(|successor| sync_replicas == 0 || successor.received == furthest)
        .filter(|successor| must_hold.is_none_or(|least| successor.received >= least))
        .max_by_key(|successor| {
            let loses_least = must_hold.is_none().then_some(successor.received);
            let serves = (
                !successor.is_evacuated,
                successor.allowed_worth,
                !successor.is_cold,
            );
            let breaks_ties = (successor.received, successor.is_named, successor.is_near);
            (!successor.is_leaving, loses_least, serves, breaks_ties)
        })
}
