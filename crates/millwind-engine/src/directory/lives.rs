//! Incarnations of instances: which state is discarded when an instance restarts under the
//! same name.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::incarnation::RestartEvidence;
use millwind_core::position::{Position, Term};

use super::{Directory, Group, KnownInstance, State};
use crate::catalog::InstanceRecord;
use crate::clock;

/// Time for which a leader that restarted without its previous log is not accepted, in
/// milliseconds. It leaves time to promote a replica that holds the log; after that the
/// restarted leader is accepted, so that the group stays available.
const PREVIOUS_LOG_WAIT_MS: u64 = 10_000;

/// A leader that has confirmed its step-down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SteppedDown {
    pub instance: InstanceName,
    pub term: Term,
}

/// Log position that a restarted instance may have reached as leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PreviousLog {
    position: Position,
    until: Instant,
}

impl Group {
    /// The newest term whose leader has confirmed its step-down; zero if there is none.
    pub(super) fn stepped_down_term(&self) -> Term {
        self.stepped_down
            .as_ref()
            .map_or(Term(0), |step_down| step_down.term)
    }

    /// Discards the announced term, the step-down and the presumed leadership of `instance`.
    pub(super) fn discard_lead_state(&mut self, instance: &InstanceName) {
        self.announced_terms.remove(instance);
        self.discard_step_down(instance);
        self.leader.take_if(|leader| leader.instance == *instance);
    }

    /// Discards the step-down of `instance`. A restarted process has lost its step-down and
    /// leads its old term again unless another instance was promoted.
    fn discard_step_down(&mut self, instance: &InstanceName) {
        self.stepped_down
            .take_if(|step_down| step_down.instance == *instance);
    }

    /// Discards the state of the previous incarnation of `instance`, whose new record claims
    /// leadership or not (`claims_lead`).
    fn start_incarnation(&mut self, instance: &InstanceName, claims_lead: bool) {
        let may_have_led = self
            .leader
            .as_ref()
            .is_none_or(|leader| leader.instance == *instance);
        let newest = self.observations.newest().filter(|_| may_have_led);
        if let Some(newest) = newest {
            let now = clock::now();
            self.previous_logs.retain(|_, previous| now < previous.until);
            let previous = PreviousLog {
                position: newest.position,
                until: now.plus_millis(PREVIOUS_LOG_WAIT_MS),
            };
            self.previous_logs.insert(instance.clone(), previous);
        }
        self.discard_lead_state(instance);
        // A replica becomes leader only by a promotion, which gives it a later term.
        if !claims_lead {
            self.retired.take_if(|retired| retired == instance);
        }
    }

    /// Whether `instance`, which answers as leader of `term` at `position`, lacks log
    /// entries that its previous incarnation held in this term or a later one.
    pub(super) fn lacks_previous_log(&self, instance: &InstanceName, term: Term, position: Position) -> bool {
        self.previous_logs.get(instance).is_some_and(|previous| {
            let is_no_later_term = term <= previous.position.term;
            is_no_later_term && position < previous.position && clock::now() < previous.until
        })
    }
}

/// Discards the group state of the previous incarnation of the instance that wrote
/// `record`: presumed leadership, announced terms and step-down. The caller replaces the
/// state of the instance itself and closes its connections.
pub(super) fn start_incarnation(
    state: &mut State,
    previous: &KnownInstance,
    record: &InstanceRecord,
    evidence: RestartEvidence,
) {
    let name = &record.name;
    info!(
        "event=instance_life_began instance={name} group={} evidence={} previous={} new={} former_age_ms={} claims_lead={}",
        record.group,
        evidence.name(),
        incarnation_label(&previous.record),
        incarnation_label(record),
        clock::now().millis_since(previous.last_seen),
        record.claims_lead
    );
    if previous.record.group != record.group
        && let Some(group) = state.groups.get_mut(&previous.record.group)
    {
        group.discard_lead_state(name);
    }
    if let Some(group) = state.groups.get_mut(&record.group) {
        group.start_incarnation(name, record.claims_lead);
    }
}

fn incarnation_label(record: &InstanceRecord) -> String {
    record
        .incarnation
        .map_or_else(|| "unknown".to_owned(), |incarnation| incarnation.to_string())
}

impl State {
    /// Whether the response to a request sent to `instance` at `asked` comes from the current
    /// incarnation.
    pub(super) fn is_from_current_incarnation(&self, instance: &InstanceName, asked: Instant) -> bool {
        let known = self.instances.get(instance);
        known
            .and_then(|known| known.incarnation_seen_at)
            .is_none_or(|began| asked > began)
    }

    /// Whether `group` has another instance whose record is present in the store.
    pub(super) fn has_other_member(&self, group: &GroupName, instance: &InstanceName) -> bool {
        let members = self.members.get(group).into_iter().flatten();
        let mut others = members.filter(|name| *name != instance);
        others.any(|name| self.instances.get(name).is_some_and(|known| !known.is_removed))
    }

    /// Discards the announced term and the step-down of `instance`, whose process may have
    /// ended. A new process at the same address would not know them.
    pub(super) fn discard_announcements(&mut self, instance: &InstanceName) {
        let Some(known) = self.instances.get(instance) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&known.record.group) {
            group.announced_terms.remove(instance);
            group.discard_step_down(instance);
        }
    }
}

impl Directory {
    /// Whether the response to a request sent to `instance` at `asked` comes from the current
    /// incarnation.
    pub fn is_from_current_incarnation(&self, instance: &InstanceName, asked: Instant) -> bool {
        self.state().is_from_current_incarnation(instance, asked)
    }

    /// When this node first saw the current incarnation of an instance; none for the first
    /// incarnation that this node has seen.
    pub fn incarnation_seen_at(&self, instance: &InstanceName) -> Option<Instant> {
        self.state().instances.get(instance)?.incarnation_seen_at
    }
}
