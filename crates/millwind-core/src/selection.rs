//! Which instance of a group a read is tried on first.
//!
//! Every candidate is safe by the position that goes with the read; the order
//! is only about time: the instance that is expected to answer first, by its
//! measured latency and the statements already under way there.

use crate::ids::InstanceName;

/// The leader's expected time counts this much more, in percent, since only it
/// can take writes.
const LEADER_COST_PERCENT: u64 = 150;
/// The expected time of an instance in another zone counts this much more, in
/// percent: bytes between zones and regions are dear.
const FAR_COST_PERCENT: u64 = 160;
/// The expected time of a cold instance counts this much more, in percent: it is some
/// three times slower on the users' sites, and takes few statements. One whose warm
/// neighbours have long lines is still used.
const COLD_COST_PERCENT: u64 = 300;
/// An instance that failed or lagged a moment ago comes after all others.
const AVOIDED_COST: u64 = 1 << 40;

/// An instance that may serve a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadCandidate {
    /// The instance.
    pub instance: InstanceName,
    /// Mean time of a statement there, in microseconds.
    pub latency_us: u64,
    /// This node's statements under way there.
    pub outstanding: u32,
    /// Statements it runs at the same time.
    pub slots: u32,
    /// It runs in this node's own zone.
    pub is_near: bool,
    /// It leads the group.
    pub is_leader: bool,
    /// It failed or lagged a moment ago.
    pub is_avoided: bool,
    /// It has just started.
    pub is_cold: bool,
}

impl ReadCandidate {
    fn cost(&self) -> u64 {
        let slots = u64::from(self.slots.max(1));
        let waiting = self.latency_us * u64::from(self.outstanding) / slots;
        let mut cost = self.latency_us + waiting;
        if self.is_leader {
            cost = cost * LEADER_COST_PERCENT / 100;
        }
        if !self.is_near {
            cost = cost * FAR_COST_PERCENT / 100;
        }
        if self.is_cold {
            cost = cost * COLD_COST_PERCENT / 100;
        }
        if self.is_avoided {
            cost += AVOIDED_COST;
        }
        cost
    }
}

/// The candidates, the one expected to answer first in front.
pub fn order_by_expected_time(candidates: &[ReadCandidate]) -> Vec<InstanceName> {
    let mut ordered: Vec<_> = candidates.iter().collect();
    ordered.sort_by_key(|candidate| candidate.cost());
    ordered
        .into_iter()
        .map(|candidate| candidate.instance.clone())
        .collect()
}
