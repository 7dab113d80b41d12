//! One node's view of a database group: which instance is the primary, how far each instance
//! has replayed the log, and how stale each replica is.

use std::collections::{BTreeMap, VecDeque};

use crate::Instant;
use crate::ids::InstanceName;
use crate::position::{Coverage, LogPosition, Position, Term, TermStart, coverage};

/// Number of samples of the primary's position that are kept to determine staleness.
const MAX_PRIMARY_SAMPLES: usize = 256;
/// Age above which a status is no longer current, in milliseconds.
pub const STATUS_LIFETIME_MS: u64 = 2_000;

/// Role of an instance in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replays another instance's log.
    Replica,
}

/// An instance's answer to a status query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceStatus {
    /// The role that the instance reports.
    pub role: Role,
    /// The term, and the position up to which the log is replayed or, on a primary, written.
    pub position: Position,
    /// The position up to which the instance has received the log; on a primary, the log's end.
    pub received: LogPosition,
    /// Where the terms known to the instance started.
    pub history: Vec<TermStart>,
}

#[derive(Debug, Clone)]
struct Member {
    status: Option<(Instant, InstanceStatus)>,
    is_leaving: bool,
}

/// One node's knowledge of a group.
#[derive(Debug, Clone)]
pub struct GroupView {
    members: BTreeMap<InstanceName, Member>,
    primary_samples: VecDeque<(Instant, Position)>,
}

impl GroupView {
    /// Creates a view of a group with these instances and no status of any of them.
    pub fn new(instances: impl IntoIterator<Item = InstanceName>) -> Self {
        let empty = Member {
            status: None,
            is_leaving: false,
        };
        GroupView {
            members: instances.into_iter().map(|name| (name, empty.clone())).collect(),
            primary_samples: VecDeque::new(),
        }
    }

    /// Records a status answer received at `now`.
    pub fn observe(&mut self, now: Instant, instance: &InstanceName, status: InstanceStatus) {
        let Some(member) = self.members.get_mut(instance) else {
            return;
        };
        let position = status.position;
        let role = status.role;
        member.status = Some((now, status));
        if role == Role::Primary && position.term == self.highest_term() {
            self.record_primary_sample(now, position);
        }
    }

    /// Records that `instance` did not answer, and drops its last status.
    pub fn mark_unreachable(&mut self, instance: &InstanceName) {
        if let Some(member) = self.members.get_mut(instance) {
            member.status = None;
        }
    }

    /// Sets whether an instance is leaving.
    pub fn set_leaving(&mut self, instance: &InstanceName, is_leaving: bool) {
        if let Some(member) = self.members.get_mut(instance) {
            member.is_leaving = is_leaving;
        }
    }

    fn record_primary_sample(&mut self, now: Instant, position: Position) {
        if self.primary_samples.len() == MAX_PRIMARY_SAMPLES {
            self.primary_samples.pop_front();
        }
        self.primary_samples.push_back((now, position));
    }

    /// Returns the highest term in any instance's last status.
    pub fn highest_term(&self) -> Term {
        self.members
            .values()
            .filter_map(|member| member.status.as_ref())
            .map(|(_, status)| status.position.term)
            .max()
            .unwrap_or_default()
    }

    /// Returns the primary of the highest known term, if its status and those of a majority of
    /// the instances are recent and it is not leaving.
    ///
    /// An instance that leads a lower term is a former primary, and without a majority of recent
    /// statuses a higher term may exist that this node does not know.
    pub fn primary(&self, now: Instant) -> Option<(&InstanceName, Term)> {
        let recent = self
            .members
            .values()
            .filter_map(|member| member.status.as_ref())
            .filter(|(received_at, _)| now.millis_since(*received_at) <= STATUS_LIFETIME_MS)
            .count();
        if recent * 2 <= self.members.len() {
            return None;
        }
        let highest = self.highest_term();
        self.members.iter().find_map(|(name, member)| {
            let (received_at, status) = member.status.as_ref()?;
            let is_fresh = now.millis_since(*received_at) <= STATUS_LIFETIME_MS;
            let is_primary = status.role == Role::Primary && status.position.term == highest;
            (is_fresh && is_primary && !member.is_leaving).then_some((name, highest))
        })
    }

    /// Returns an instance's last status and when it was received.
    pub fn status(&self, instance: &InstanceName) -> Option<&(Instant, InstanceStatus)> {
        self.members.get(instance)?.status.as_ref()
    }

    /// Iterates over the names of the group's instances.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceName> {
        self.members.keys()
    }

    /// Returns whether an instance is leaving.
    pub fn is_leaving(&self, instance: &InstanceName) -> bool {
        self.members.get(instance).is_some_and(|member| member.is_leaving)
    }

    /// Returns how far an instance at `position` is behind the primary, in milliseconds, or
    /// `None` if the instance covers none of the kept samples.
    pub fn staleness_ms(&self, now: Instant, position: Position, history: &[TermStart]) -> Option<u64> {
        self.primary_samples
            .iter()
            .rev()
            .find(|(_, sample)| coverage(position, history, *sample) == Coverage::Covered)
            .map(|(taken, _)| now.millis_since(*taken))
    }
}
