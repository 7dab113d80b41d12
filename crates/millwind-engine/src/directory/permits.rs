//! Permits to accept the answers of leaders, required where promotions don't fence the old
//! leader: which terms are closed, and as of when this is known.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::lead_permit::{ClosedTerms, LeadPermit, are_permits_valid};
use millwind_core::position::Term;

use super::lives::SteppedDown;
use super::{Directory, Group, State};
use crate::clock;

impl Directory {
    /// Whether a promotion fences the old leader.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Sets when this node was registered; none if it is not registered.
    pub fn set_registered_since(&self, since: Option<Instant>) {
        self.state().registered_since = since;
    }

    /// When this node was registered; none if it is not registered.
    pub fn registered_since(&self) -> Option<Instant> {
        self.state().registered_since
    }

    /// Gives up all permits and acquires no more, for the shutdown of this node.
    pub fn drop_permits(&self) {
        let mut state = self.state();
        state.is_shutting_down = true;
        state.closed_terms_confirmed = None;
    }

    /// Records that this node knows all closed terms that the store held at `asked`. This
    /// gives permits only if the node was registered by then: a promoter does not revoke
    /// permits from unregistered nodes.
    pub fn confirm_closed_terms(&self, asked: Instant) {
        let mut state = self.state();
        let was_registered = state.registered_since.is_some_and(|since| asked >= since);
        if state.is_shutting_down || !was_registered {
            return;
        }
        if !self.is_fenced && !are_permits_valid(clock::now(), state.closed_terms_confirmed) {
            info!("event=permits_valid age_ms={}", clock::now().millis_since(asked));
        }
        state.closed_terms_confirmed = state.closed_terms_confirmed.max(Some(asked));
    }

    /// Age of this node's knowledge of the closed terms, in milliseconds; none if the closed
    /// terms are not known.
    pub fn closed_terms_age_ms(&self) -> Option<u64> {
        let confirmed = self.state().closed_terms_confirmed?;
        Some(clock::now().millis_since(confirmed))
    }

    /// Whether leaders' answers may be accepted: promotions fence, or the knowledge of closed
    /// terms is recent enough.
    pub fn has_permits(&self) -> bool {
        self.is_fenced || are_permits_valid(clock::now(), self.state().closed_terms_confirmed)
    }

    /// Whether leaders' answers could be accepted at any time since the process started.
    pub fn has_had_permits(&self) -> bool {
        self.is_fenced || self.state().closed_terms_confirmed.is_some()
    }

    /// Records that `term` of a group and all earlier terms are closed, and that `retired` led
    /// `term`.
    pub fn close_term(&self, group: &GroupName, term: Term, retired: Option<&InstanceName>) {
        let mut state = self.state();
        let confirmed = state.closed_terms_confirmed;
        let entry = state.groups.entry(group.clone()).or_default();
        if !entry.closed_terms.close(term, clock::now(), confirmed) {
            return;
        }
        entry.retired = retired.cloned();
        let is_closed = |led: Option<Term>| led.is_none_or(|led| led <= term);
        let presumed = entry.leader.take_if(|leader| is_closed(leader.term));
        info!(
            "event=term_closed group={group} term={term} retired={} believed={}",
            retired.map_or("none", InstanceName::as_str),
            presumed
                .as_ref()
                .map_or("none", |leader| leader.instance.as_str())
        );
        state.mark_group_changed(group);
        self.leaders_changed.notify_waiters();
    }

    /// Gives up the permits for `term` of a group and for all earlier terms.
    pub fn release_permits(&self, group: &GroupName, term: Term) {
        let mut state = self.state();
        let entry = state.groups.entry(group.clone()).or_default();
        entry.closed_terms.return_permits(term);
    }

    /// Records that `instance` announced that it leads `term`. While the instance answers as
    /// leader, its term is this one or a later one.
    pub fn record_announced_term(&self, group: &GroupName, instance: &InstanceName, term: Term) {
        let mut state = self.state();
        let entry = state.groups.entry(group.clone()).or_default();
        let announced = entry.announced_terms.entry(instance.clone()).or_default();
        *announced = term.max(*announced);
    }

    /// Records that `instance`, the leader of `term`, has confirmed its step-down to this
    /// node. A restart of the instance discards the step-down.
    pub fn record_step_down(&self, group: &GroupName, instance: &InstanceName, term: Term) {
        let mut state = self.state();
        let entry = state.groups.entry(group.clone()).or_default();
        if entry.stepped_down.as_ref().is_none_or(|held| held.term <= term) {
            entry.stepped_down = Some(SteppedDown {
                instance: instance.clone(),
                term,
            });
        }
    }

    /// The newest term whose leader has confirmed its step-down to this node; zero if there
    /// is none.
    pub fn stepped_down_term(&self, group: &GroupName) -> Term {
        let state = self.state();
        state.groups.get(group).map_or(Term(0), Group::stepped_down_term)
    }

    /// The leader of the term that was closed last; none once an instance has proved that it
    /// leads a later term.
    pub fn last_closed_leader(&self, group: &GroupName) -> Option<InstanceName> {
        self.state().groups.get(group)?.retired.clone()
    }

    /// Whether `instance` led the term that was closed last and has not confirmed its
    /// step-down to this node. Its announced term proves nothing then.
    pub fn is_retired(&self, group: &GroupName, instance: &InstanceName) -> bool {
        let state = self.state();
        let Some(entry) = state.groups.get(group) else {
            return false;
        };
        let is_retired = entry.retired.as_ref() == Some(instance);
        is_retired && entry.stepped_down_term() < entry.closed_terms.closed()
    }

    /// The closed terms of a group, as known to this node.
    pub fn closed_terms(&self, group: &GroupName) -> ClosedTerms {
        let state = self.state();
        let entry = state.groups.get(group);
        entry.map_or_else(ClosedTerms::default, |entry| entry.closed_terms)
    }

    /// Whether a new statement may be sent to `instance` as the leader of its group.
    /// `needs_permit` is set if this node sends the statement itself.
    pub fn may_lead(&self, group: &GroupName, instance: &InstanceName, needs_permit: bool) -> bool {
        if self.is_fenced {
            return true;
        }
        let state = self.state();
        if needs_permit && !are_permits_valid(clock::now(), state.closed_terms_confirmed) {
            return false;
        }
        let entry = state.groups.get(group);
        entry.is_none_or(|entry| entry.retired.as_ref() != Some(instance))
    }

    /// The permit for a leader of `term`.
    pub(super) fn permit_for_term(&self, state: &State, group: &GroupName, term: Term) -> LeadPermit {
        if self.is_fenced {
            return LeadPermit::Valid;
        }
        let entry = state.groups.get(group);
        let closed = entry.map_or_else(ClosedTerms::default, |entry| entry.closed_terms);
        closed.permit(term, clock::now(), state.closed_terms_confirmed)
    }
}
