//! One node's view of a database group: who leads, who has replayed how far,
//! and how stale each replica is.

use std::collections::{BTreeMap, VecDeque};

use crate::Instant;
use crate::ids::InstanceName;
use crate::position::{Coverage, LogPosition, Position, Term, TermStart, coverage};

/// How many samples of the primary's position are kept for staleness.
const PRIMARY_SAMPLES: usize = 256;
/// A status older than this says nothing about the present, in milliseconds.
pub const STATUS_LIFETIME_MS: u64 = 2_000;

/// Whether an instance accepts writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replays another instance's log.
    Replica,
}

/// One answer of an instance to the status question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Role the instance believes it has.
    pub role: Role,
    /// Term and replayed (or written) position.
    pub position: Position,
    /// How far the instance has received the log; its own end for a primary.
    pub received: LogPosition,
    /// Where the terms known to the instance began.
    pub history: Vec<TermStart>,
}

#[derive(Debug, Clone)]
struct Member {
    status: Option<(Instant, InstanceStatus)>,
    leaving: bool,
}

/// What is known of a group on one node.
#[derive(Debug, Clone)]
pub struct GroupView {
    members: BTreeMap<InstanceName, Member>,
    primary_samples: VecDeque<(Instant, Position)>,
}

impl GroupView {
    /// A view of a group with these instances, of which nothing is known yet.
    pub fn new(instances: impl IntoIterator<Item = InstanceName>) -> Self {
        let empty = Member {
            status: None,
            leaving: false,
        };
        GroupView {
            members: instances.into_iter().map(|name| (name, empty.clone())).collect(),
            primary_samples: VecDeque::new(),
        }
    }

    /// Takes in a status answer received at `now`.
    pub fn observe(&mut self, now: Instant, instance: &InstanceName, status: InstanceStatus) {
        let Some(member) = self.members.get_mut(instance) else {
            return;
        };
        let position = status.position;
        let role = status.role;
        member.status = Some((now, status));
        if role == Role::Primary && position.term == self.highest_term() {
            self.sample_primary(now, position);
        }
    }

    /// Takes in that `instance` did not answer: its last status is dropped.
    pub fn unreachable(&mut self, instance: &InstanceName) {
        if let Some(member) = self.members.get_mut(instance) {
            member.status = None;
        }
    }

    /// Marks an instance as leaving, or as staying again.
    pub fn set_leaving(&mut self, instance: &InstanceName, leaving: bool) {
        if let Some(member) = self.members.get_mut(instance) {
            member.leaving = leaving;
        }
    }

    fn sample_primary(&mut self, now: Instant, position: Position) {
        if self.primary_samples.len() == PRIMARY_SAMPLES {
            self.primary_samples.pop_front();
        }
        self.primary_samples.push_back((now, position));
    }

    /// The highest term any instance has shown.
    pub fn highest_term(&self) -> Term {
        self.members
            .values()
            .filter_map(|member| member.status.as_ref())
            .map(|(_, status)| status.position.term)
            .max()
            .unwrap_or_default()
    }

    /// The primary of the highest term shown, if it and a majority were heard
    /// lately.
    ///
    /// Must hold because an instance that leads a lower term is an old primary,
    /// and without a majority nobody can tell whether there is a higher one.
    pub fn primary(&self, now: Instant) -> Option<(&InstanceName, Term)> {
        let heard = self
            .members
            .values()
            .filter_map(|member| member.status.as_ref())
            .filter(|(heard, _)| now.millis_since(*heard) <= STATUS_LIFETIME_MS)
            .count();
        if heard * 2 <= self.members.len() {
            return None;
        }
        let highest = self.highest_term();
        self.members.iter().find_map(|(name, member)| {
            let (heard, status) = member.status.as_ref()?;
            let fresh = now.millis_since(*heard) <= STATUS_LIFETIME_MS;
            let leads = status.role == Role::Primary && status.position.term == highest;
            (fresh && leads && !member.leaving).then_some((name, highest))
        })
    }

    /// The last status of an instance and when it came.
    pub fn status(&self, instance: &InstanceName) -> Option<&(Instant, InstanceStatus)> {
        self.members.get(instance)?.status.as_ref()
    }

    /// Names of the group's instances.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceName> {
        self.members.keys()
    }

    /// Whether an instance is leaving.
    pub fn is_leaving(&self, instance: &InstanceName) -> bool {
        self.members.get(instance).is_some_and(|member| member.leaving)
    }

    /// How far an instance at `position` is behind the primary, in
    /// milliseconds; none when no sample tells.
    pub fn staleness_ms(&self, now: Instant, position: Position, history: &[TermStart]) -> Option<u64> {
        self.primary_samples
            .iter()
            .rev()
            .find(|(_, sample)| coverage(position, history, *sample) == Coverage::Covered)
            .map(|(taken, _)| now.millis_since(*taken))
    }
}
