//! Permits to count on leaders, where promotions don't fence: which terms are
//! closed, and how fresh that knowledge is.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::lead_permit::{ClosedTerms, Permit, are_permits_valid};
use millwind_core::position::Term;

use super::lives::SteppedDown;
use super::{Directory, Group, State};
use crate::clock;

impl Directory {
    /// Whether a promotion takes the lead from the old leader by itself.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Since when this node is registered, or that it is not.
    pub fn registered(&self, since: Option<Instant>) {
        self.state().registered_since = since;
    }

    /// Since when this node is registered.
    pub fn registered_since(&self) -> Option<Instant> {
        self.state().registered_since
    }

    /// Gives up all permits for good: this node ends.
    pub fn drop_permits(&self) {
        let mut state = self.state();
        state.is_ending = true;
        state.terms_confirmed = None;
    }

    /// Everything that the store held of closed terms at `asked` is known. That
    /// gives permits only if this node was registered by then: else no promoter
    /// would ask for them.
    pub fn confirm_terms(&self, asked: Instant) {
        let mut state = self.state();
        let is_asked_for = state.registered_since.is_some_and(|since| asked >= since);
        if state.is_ending || !is_asked_for {
            return;
        }
        state.terms_confirmed = state.terms_confirmed.max(Some(asked));
    }

    /// Time since all closed terms in the store were known, in milliseconds;
    /// none if they never were.
    pub fn terms_age_ms(&self) -> Option<u64> {
        let confirmed = self.state().terms_confirmed?;
        Some(clock::now().millis_since(confirmed))
    }

    /// Whether the news of closed terms are fresh enough to count on leaders.
    pub fn has_permits(&self) -> bool {
        self.is_fenced || are_permits_valid(clock::now(), self.state().terms_confirmed)
    }

    /// Takes in that `term` of a group and all before it are closed, and that
    /// `retired` led it.
    pub fn close_term(&self, group: &GroupName, term: Term, retired: Option<&InstanceName>) {
        let mut state = self.state();
        let confirmed = state.terms_confirmed;
        let entry = state.groups.entry(group.clone()).or_default();
        if !entry.closed_terms.close(term, clock::now(), confirmed) {
            return;
        }
        entry.retired = retired.cloned();
        let is_closed = |led: Option<Term>| led.is_none_or(|led| led <= term);
        let believed = entry.leader.take_if(|leader| is_closed(leader.term));
        info!(
            "event=term_closed group={group} term={term} retired={} believed={}",
            retired.map_or("none", InstanceName::as_str),
            believed
                .as_ref()
                .map_or("none", |leader| leader.instance.as_str())
        );
        state.group_changed(group);
        self.leaders_changed.notify_waiters();
    }

    /// Gives up the permits for `term` of a group and all before it.
    pub fn hand_back(&self, group: &GroupName, term: Term) {
        let mut state = self.state();
        let entry = state.groups.entry(group.clone()).or_default();
        entry.closed_terms.hand_back(term);
    }

    /// `instance` has said that it leads `term`. As long as it answers as a leader
    /// that is its term, or a later one.
    pub fn leads_term(&self, group: &GroupName, instance: &InstanceName, term: Term) {
        let mut state = self.state();
        let entry = state.groups.entry(group.clone()).or_default();
        let told = entry.told_terms.entry(instance.clone()).or_default();
        *told = term.max(*told);
    }

    /// `instance`, the leader of `term`, has told this node that it leads no longer.
    /// That holds for this life of it.
    pub fn has_stepped_down(&self, group: &GroupName, instance: &InstanceName, term: Term) {
        let mut state = self.state();
        let entry = state.groups.entry(group.clone()).or_default();
        if entry.stepped_down.as_ref().is_none_or(|told| told.term <= term) {
            entry.stepped_down = Some(SteppedDown {
                instance: instance.clone(),
                term,
            });
        }
    }

    /// The newest term whose leader has told this node that it leads no longer.
    pub fn stepped_down(&self, group: &GroupName) -> Term {
        let state = self.state();
        state.groups.get(group).map_or(Term(0), Group::stepped_down_term)
    }

    /// The leader whose term was closed last, until another has proved its lead.
    pub fn retired(&self, group: &GroupName) -> Option<InstanceName> {
        self.state().groups.get(group)?.retired.clone()
    }

    /// Whether an instance led the term that was closed last and has not told
    /// this node that it stepped down: what it says of its term is no proof.
    pub fn is_retired(&self, group: &GroupName, instance: &InstanceName) -> bool {
        let state = self.state();
        let Some(entry) = state.groups.get(group) else {
            return false;
        };
        let is_retired = entry.retired.as_ref() == Some(instance);
        is_retired && entry.stepped_down_term() < entry.closed_terms.closed()
    }

    /// What is known of the closed terms of a group.
    pub fn closed_terms(&self, group: &GroupName) -> ClosedTerms {
        let state = self.state();
        let entry = state.groups.get(group);
        entry.map_or_else(ClosedTerms::default, |entry| entry.closed_terms)
    }

    /// Whether a new statement may be sent to `instance` as the leader of its
    /// group; `needs_permit` where this node sends it itself.
    pub fn may_lead(&self, group: &GroupName, instance: &InstanceName, needs_permit: bool) -> bool {
        if self.is_fenced {
            return true;
        }
        let state = self.state();
        if needs_permit && !are_permits_valid(clock::now(), state.terms_confirmed) {
            return false;
        }
        let entry = state.groups.get(group);
        entry.is_none_or(|entry| entry.retired.as_ref() != Some(instance))
    }

    /// The permit for a leader of `term`.
    pub(super) fn permit_in(&self, state: &State, group: &GroupName, term: Term) -> Permit {
        if self.is_fenced {
            return Permit::Valid;
        }
        let entry = state.groups.get(group);
        let closed = entry.map_or_else(ClosedTerms::default, |entry| entry.closed_terms);
        closed.permit(term, clock::now(), state.terms_confirmed)
    }
}
