//! Orders the instances of a group by the expected latency of a read.
//!
//! Every candidate returns correct results, because the read carries the position that it
//! requires. The order affects only latency and load: it is computed from the measured
//! latency, the statements in flight, and cost factors.

use crate::ids::InstanceName;

/// Cost factor for the leader, in percent, which keeps its capacity free for writes.
const LEADER_COST_PERCENT: u64 = 150;
/// Cost factor for an instance in another zone, in percent, which accounts for the cost of
/// traffic between zones.
const REMOTE_ZONE_COST_PERCENT: u64 = 160;
/// Cost factor for a cold instance, in percent. A cold instance is slower and accepts few
/// statements, but is still used when the queues of warm instances are long.
const COLD_COST_PERCENT: u64 = 300;
/// Cost added to an instance that failed or lagged recently, which places it after all
/// others.
const AVOIDED_PENALTY: u64 = 1 << 40;

/// An instance that may serve a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadCandidate {
    /// The instance.
    pub instance: InstanceName,
    /// Mean statement latency, in microseconds.
    pub latency_us: u64,
    /// Statements in flight from this node.
    pub outstanding: u32,
    /// Statements that the instance runs concurrently.
    pub slots: u32,
    /// Whether the instance runs in this node's zone.
    pub is_same_zone: bool,
    /// Whether the instance is the group's leader.
    pub is_leader: bool,
    /// Whether the instance failed or lagged recently.
    pub is_avoided: bool,
    /// Whether the instance was started recently and is still warming up.
    pub is_cold: bool,
}

impl ReadCandidate {
    fn cost(&self) -> u64 {
        let slots = u64::from(self.slots.max(1));
        let queueing = self.latency_us * u64::from(self.outstanding) / slots;
        let mut cost = self.latency_us + queueing;
        if self.is_leader {
            cost = cost * LEADER_COST_PERCENT / 100;
        }
        if !self.is_same_zone {
            cost = cost * REMOTE_ZONE_COST_PERCENT / 100;
        }
        if self.is_cold {
            cost = cost * COLD_COST_PERCENT / 100;
        }
        if self.is_avoided {
            cost += AVOIDED_PENALTY;
        }
        cost
    }
}

/// Returns the candidates' instances in ascending order of cost: the expected response time
/// with the cost factors applied.
pub fn order_by_expected_time(candidates: &[ReadCandidate]) -> Vec<InstanceName> {
    let mut ordered: Vec<_> = candidates.iter().collect();
    ordered.sort_by_key(|candidate| candidate.cost());
    ordered
        .into_iter()
        .map(|candidate| candidate.instance.clone())
        .collect()
}
