//! Lives of instances: what ends when one begins anew under the name that it had.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::incarnation::RestartEvidence;
use millwind_core::position::{Position, Term};

use super::{Directory, Group, Known, State};
use crate::catalog::InstanceRecord;
use crate::clock;

/// A leader that began anew without the log of its former life leads nothing for this
/// time, in milliseconds: enough to promote a replica that holds the log. After that
/// nobody is left who does, and what is there is better than nothing.
const FORMER_LOG_MS: u64 = 10_000;

/// A leader that was told to step down, and did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SteppedDown {
    pub instance: InstanceName,
    pub term: Term,
}

/// What the log of an instance's former life held, which may have led.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct FormerLog {
    position: Position,
    until: Instant,
}

impl Group {
    /// The newest term whose leader has told this node that it leads no longer.
    pub(super) fn stepped_down_term(&self) -> Term {
        self.stepped_down.as_ref().map_or(Term(0), |told| told.term)
    }

    /// What `instance` has told of its lead holds no longer.
    pub(super) fn end_life(&mut self, instance: &InstanceName) {
        self.told_terms.remove(instance);
        self.void_step_down(instance);
        self.leader.take_if(|leader| leader.instance == *instance);
    }

    /// A process that begins anew has forgotten that it was told to step down: it leads
    /// its old term again unless another was promoted meanwhile.
    fn void_step_down(&mut self, instance: &InstanceName) {
        self.stepped_down.take_if(|told| told.instance == *instance);
    }

    /// `instance` began anew, by its record as a leader (`claims_lead`) or a replica.
    fn begin_life(&mut self, instance: &InstanceName, claims_lead: bool) {
        let led = self
            .leader
            .as_ref()
            .is_none_or(|leader| leader.instance == *instance);
        let newest = self.observations.newest().filter(|_| led);
        if let Some(newest) = newest {
            let now = clock::now();
            self.former_logs.retain(|_, former| now < former.until);
            let former = FormerLog {
                position: newest.position,
                until: now.plus_millis(FORMER_LOG_MS),
            };
            self.former_logs.insert(instance.clone(), former);
        }
        self.end_life(instance);
        // A replica leads again only by a promotion, and then tells a later term.
        if !claims_lead {
            self.retired.take_if(|retired| retired == instance);
        }
    }

    /// Whether `instance`, which answers as the leader of `term`, lacks what it held in
    /// its former life as the leader of the same term.
    pub(super) fn lacks_former_log(&self, instance: &InstanceName, term: Term, position: Position) -> bool {
        self.former_logs.get(instance).is_some_and(|former| {
            let is_same_lead = term <= former.position.term;
            is_same_lead && position < former.position && clock::now() < former.until
        })
    }
}

/// Nothing that is believed of the former life of an instance holds for the one that
/// wrote `record`: how it answers, what peers said of it, whether it leads and what it
/// has told of its terms. What ends with a life outside of the directory (connections)
/// is ended by the caller.
pub(super) fn begin_life(
    state: &mut State,
    former: &Known,
    record: &InstanceRecord,
    evidence: RestartEvidence,
) {
    let name = &record.name;
    info!(
        "event=instance_life_began instance={name} group={} evidence={} previous={} new={} former_age_ms={} claims_lead={}",
        record.group,
        evidence.name(),
        shown(&former.record),
        shown(record),
        clock::now().millis_since(former.heard),
        record.claims_lead
    );
    if former.record.group != record.group
        && let Some(group) = state.groups.get_mut(&former.record.group)
    {
        group.end_life(name);
    }
    if let Some(group) = state.groups.get_mut(&record.group) {
        group.begin_life(name, record.claims_lead);
    }
}

fn shown(record: &InstanceRecord) -> String {
    record
        .incarnation
        .map_or_else(|| "untold".to_owned(), |incarnation| incarnation.to_string())
}

impl State {
    /// Whether a question to `instance` that was asked at `asked` was answered by the
    /// life that is known now.
    pub(super) fn is_of_present_life(&self, instance: &InstanceName, asked: Instant) -> bool {
        let known = self.instances.get(instance);
        known
            .and_then(|known| known.life_began)
            .is_none_or(|began| asked > began)
    }

    /// Whether `group` has another instance that may hold what `instance` lacks.
    pub(super) fn has_other_member(&self, group: &GroupName, instance: &InstanceName) -> bool {
        let members = self.members.get(group).into_iter().flatten();
        let mut others = members.filter(|name| *name != instance);
        others.any(|name| self.instances.get(name).is_some_and(|known| !known.is_gone))
    }

    /// The process of `instance` may have ended: what it told of its terms may be
    /// forgotten by the one that answers next.
    pub(super) fn doubt_life(&mut self, instance: &InstanceName) {
        let Some(known) = self.instances.get(instance) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&known.record.group) {
            group.told_terms.remove(instance);
            group.void_step_down(instance);
        }
    }
}

impl Directory {
    /// Whether what `instance` answered to a question asked at `asked` tells of the life
    /// that is known now.
    pub fn is_of_present_life(&self, instance: &InstanceName, asked: Instant) -> bool {
        self.state().is_of_present_life(instance, asked)
    }

    /// Since when the present life of an instance is known; none for the first that
    /// this node has seen.
    pub fn life_began(&self, instance: &InstanceName) -> Option<Instant> {
        self.state().instances.get(instance)?.life_began
    }
}
