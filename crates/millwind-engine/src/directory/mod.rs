//! What this node believes: the configuration, the instances, who leads each
//! group, what the leaders reported, and how each instance answers.

mod changes;
mod contact;
mod departures;
mod evacuation;
mod lives;
mod permits;
mod usage;
mod warmth;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use log::info;
use millwind_core::Instant;
use millwind_core::evacuation::Evacuations;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::incarnation::restart_evidence;
use millwind_core::lead_permit::ClosedTerms;
use millwind_core::leader_observation::{LeaderObservation, LeaderObservations};
use millwind_core::position::{Position, Term};
use millwind_core::warm_up::{WarmUpObservation, WarmUpStatus};
use tokio::sync::{Notify, watch};

use crate::catalog::{ConfigSnapshot, GroupLimits, InstanceRecord};
use crate::catalog_intake::ConfigOrigin;
use crate::clock;
use crate::logging::LineLimit;
use crate::peers::Testimony;

use warmth::sight_of;

pub use contact::Contact;
use lives::{FormerLog, SteppedDown, begin_life};

/// Lines about single instances' records at most: a node of a fleet that starts learns of
/// 3,000 instances within seconds, and so do all others; some 4,000 lines from each of 985
/// nodes tell no more than their count.
const BELIEF_LINES_PER_SECOND: u64 = 20;

/// An instance with what is known of it.
#[derive(Debug, Clone)]
pub struct Known {
    /// Its own record.
    pub record: Arc<InstanceRecord>,
    /// When its record last changed in the store, as seen here.
    pub heard: Instant,
    /// Since when it is known to leave, or to be gone from the store.
    pub leaving_since: Option<Instant>,
    /// Its record is gone from the store.
    pub is_gone: bool,
    /// What lies under its key cannot be read: nobody says that it may be used.
    pub is_disowned: bool,
    /// It gets no new work: it announced its end, is disowned, or its record has been
    /// gone for longer than one that merely missed its heartbeats.
    pub is_leaving: bool,
    /// How it has answered.
    pub contact: Contact,
    /// What peers said of it, and when.
    pub testimony: Option<(Instant, Testimony)>,
    /// What was seen of this life that tells whether it is warm.
    sight: WarmUpObservation,
    /// Whether it is warm.
    pub warmth: WarmUpStatus,
    /// Since when this life of the instance is known; none for the first one.
    pub life_began: Option<Instant>,
}

impl Known {
    /// Whether `record` tells nothing but that the instance lives on.
    fn is_heartbeat(&self, record: &InstanceRecord) -> bool {
        let is_life_same = restart_evidence(&self.record.life_signs(), &record.life_signs()).is_none();
        let is_used = !self.is_gone && !self.is_disowned;
        is_used && is_life_same && self.record.equals_except_heartbeat(record)
    }
}

/// What an instance's record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RecordChange {
    /// More than its heartbeat.
    pub has_changed: bool,
    /// The instance was not known, or was gone.
    pub is_new: bool,
    /// The instance began anew under its name.
    pub has_begun_anew: bool,
}

/// Who is believed to lead a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// The instance.
    pub instance: InstanceName,
    /// Its term, once it has proved it.
    pub term: Option<Term>,
}

/// The last commit of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Written {
    /// Its position.
    pub position: Position,
    /// A time after it was acknowledged.
    pub acknowledged: Instant,
}

#[derive(Debug, Default)]
struct Group {
    leader: Option<Leader>,
    /// Where promotions don't fence: the terms that are closed.
    closed_terms: ClosedTerms,
    /// Terms that instances have said they lead, where their logs don't show it:
    /// a new leader's log stands in an earlier term until its first commit.
    told_terms: HashMap<InstanceName, Term>,
    /// The leader of the newest term that has told this node that it leads no longer.
    stepped_down: Option<SteppedDown>,
    /// What instances that may have led held before they began anew, until one has
    /// proved its lead.
    former_logs: HashMap<InstanceName, FormerLog>,
    /// The leader whose term was closed last: its word that it leads is not
    /// believed without proof of a later term.
    retired: Option<InstanceName>,
    observations: LeaderObservations,
    last_use: Option<Instant>,
    last_direct_use: Option<Instant>,
    staleness_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    config: Option<Arc<ConfigSnapshot>>,
    instances: BTreeMap<InstanceName, Known>,
    /// Instances by group: a group's are looked up with every statement.
    members: HashMap<GroupName, BTreeSet<InstanceName>>,
    /// Groups that changed since the watch list last took them in.
    changed_groups: HashSet<GroupName>,
    /// Version of the configuration whose groups all have an instance that says that it
    /// leads; none where some have none, or that is not known.
    claims_checked_for: Option<u64>,
    /// A group that was last found without one.
    unclaimed: Option<GroupName>,
    has_listing: bool,
    store_heard: Option<Instant>,
    /// Everything that the store held of closed terms at this time is known.
    terms_confirmed: Option<Instant>,
    /// Since when this node is registered, so that a promoter asks it for its
    /// permits; news of before give it none.
    registered_since: Option<Instant>,
    evacuations: Evacuations,
    /// This node ends and takes no permits any more.
    is_ending: bool,
    groups: HashMap<GroupName, Group>,
}

impl State {
    fn insert(&mut self, known: Known) {
        let name = known.record.name.clone();
        self.remove(&name);
        let members = self.members.entry(known.record.group.clone()).or_default();
        members.insert(name.clone());
        self.instances.insert(name, known);
    }

    fn remove(&mut self, name: &InstanceName) {
        let Some(known) = self.instances.remove(name) else {
            return;
        };
        if let Some(members) = self.members.get_mut(&known.record.group) {
            members.remove(name);
        }
    }
}

/// Beliefs of a node.
#[derive(Debug)]
pub struct Directory {
    zone: String,
    gone_grace_ms: u64,
    /// A promotion takes the lead from the old leader by itself.
    is_fenced: bool,
    state: Mutex<State>,
    leaders_changed: Notify,
    observed: Notify,
    completed: Notify,
    /// Version of the configuration in force, zero before the first.
    config_version: watch::Sender<u64>,
    /// Counts the changes of evacuated zones.
    evacuation_changes: watch::Sender<u64>,
    /// For lines about single instances' records.
    belief_lines: LineLimit,
}

impl Directory {
    /// Nothing is known yet.
    ///
    /// A record that goes without an announcement counts as leaving after
    /// `gone_grace_ms`: a store that was out takes records back that are
    /// written again with the next heartbeat. Unless promotions fence
    /// (`is_fenced`), a leader's answers count only under a permit.
    pub fn new(zone: &str, gone_grace_ms: u64, is_fenced: bool) -> Self {
        Directory {
            zone: zone.to_owned(),
            gone_grace_ms,
            is_fenced,
            state: Mutex::new(State::default()),
            leaders_changed: Notify::new(),
            observed: Notify::new(),
            completed: Notify::new(),
            config_version: watch::Sender::new(0),
            evacuation_changes: watch::Sender::new(0),
            belief_lines: LineLimit::new("instances", BELIEF_LINES_PER_SECOND),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Zone of this node.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<ConfigSnapshot>> {
        self.state().config.clone()
    }

    /// Version of the configuration in force, as it changes.
    pub fn config_versions(&self) -> watch::Receiver<u64> {
        self.config_version.subscribe()
    }

    /// Puts a configuration in force unless a newer one is; true if it changed.
    pub fn apply_config(&self, config: ConfigSnapshot, origin: &ConfigOrigin) -> bool {
        let version = config.version;
        {
            let mut state = self.state();
            let held = state.config.as_ref().map(|held| held.version);
            if held.is_some_and(|held| held >= version) {
                return false;
            }
            info!(
                "event=config_applied version={version} previous={} source={} age_ms={} bytes={} databases={} groups={}",
                held.unwrap_or_default(),
                origin.source,
                clock::now().millis_since(origin.known_since),
                origin.bytes,
                config.databases.len(),
                config.groups.len()
            );
            state.config = Some(Arc::new(config));
        }
        self.config_version.send_replace(version);
        self.completed.notify_waiters();
        true
    }

    /// Whether enough is known to serve callers.
    pub fn is_complete(&self) -> bool {
        let state = self.state();
        state.config.is_some() && state.has_listing && state.evacuations.is_known()
    }

    /// Waits until more is known of the configuration or the instances, or
    /// until `deadline`.
    pub async fn completed(&self, deadline: Instant) {
        let completed = self.completed.notified();
        if !self.is_complete() {
            let _ = tokio::time::timeout_at(clock::deadline(deadline), completed).await;
        }
    }

    /// Limits of a group; none if it is not configured.
    pub fn group_limits(&self, group: &GroupName) -> Option<GroupLimits> {
        let config = self.config()?;
        config.groups.get(group).copied()
    }

    /// Takes in an instance's record as the store holds it now. A life begun anew leads
    /// only once it has proved it, whatever its record says.
    pub fn apply_record(&self, record: InstanceRecord) -> RecordChange {
        let now = clock::now();
        let mut state = self.state();
        if let Some(known) = state.instances.get_mut(&record.name)
            && known.is_heartbeat(&record)
        {
            known.sight = sight_of(Some(known), false, &record, now);
            known.record = Arc::new(record);
            known.heard = now;
            return RecordChange::default();
        }
        let previous = state.instances.get(&record.name).cloned();
        let previous = previous.as_ref();
        let began =
            previous.and_then(|known| restart_evidence(&known.record.life_signs(), &record.life_signs()));
        let claimed_before = previous.is_some_and(|known| known.record.claims_lead && !known.is_gone);
        let is_new = previous.is_none_or(|known| known.is_gone);
        let has_changed =
            is_new || previous.is_some_and(|known| !known.record.equals_except_heartbeat(&record));
        if has_changed {
            state.group_changed(&record.group);
        }
        if has_changed && self.belief_lines.admit() {
            info!(
                "event=instance_seen instance={} group={} address={} zone={} leaving={} claims_lead={}",
                record.name, record.group, record.address, record.zone, record.is_leaving, record.claims_lead
            );
        }
        let same_life = previous.filter(|_| began.is_none());
        let leaving_before = same_life.and_then(|known| known.leaving_since);
        let sight = sight_of(previous, began.is_some(), &record, now);
        let name = record.name.clone();
        let group = record.group.clone();
        let newly_claims = record.claims_lead && !claimed_before;
        let leaving_since = match (record.is_leaving, leaving_before) {
            (true, Some(since)) if !is_new => Some(since),
            (true, _) => Some(now),
            (false, _) => None,
        };
        if let (Some(evidence), Some(former)) = (began, previous) {
            begin_life(&mut state, former, &record, evidence);
            self.leaders_changed.notify_waiters();
        }
        let known = Known {
            contact: same_life.map_or_else(|| self.new_contact(&record), |known| known.contact),
            testimony: same_life.and_then(|known| known.testimony),
            life_began: match began {
                Some(_) => Some(now),
                None => previous.and_then(|known| known.life_began),
            },
            record: Arc::new(record),
            heard: now,
            leaving_since,
            is_gone: false,
            is_disowned: false,
            is_leaving: false,
            sight,
            warmth: WarmUpStatus::Warm,
        };
        state.insert(known);
        if began.is_none() {
            if newly_claims {
                self.claimed(&mut state, &group, &name);
            } else if claimed_before {
                demoted_by_record(&mut state, &group, &name);
            }
        }
        RecordChange {
            has_changed,
            is_new,
            has_begun_anew: began.is_some(),
        }
    }

    /// An instance newly says that it leads: believed unless another one has
    /// proved it and still claims it.
    fn claimed(&self, state: &mut State, group: &GroupName, instance: &InstanceName) {
        let entry = state.groups.entry(group.clone()).or_default();
        let current = entry.leader.as_ref().map(|leader| leader.instance.clone());
        if current.as_ref() == Some(instance) || entry.retired.as_ref() == Some(instance) {
            return;
        }
        if self.belief_lines.admit() {
            info!(
                "event=leader_claimed group={group} instance={instance} previous={}",
                current.as_ref().map_or("none", |name| name.as_str())
            );
        }
        entry.leader = Some(Leader {
            instance: instance.clone(),
            term: None,
        });
        state.group_changed(group);
        self.leaders_changed.notify_waiters();
    }

    /// The store answered about instances.
    pub fn store_heard(&self) {
        self.state().store_heard = Some(clock::now());
    }

    /// When the store last answered about instances.
    pub fn last_store_contact(&self) -> Option<Instant> {
        self.state().store_heard
    }

    /// All instances are known, from a peer.
    pub fn listing_known(&self) {
        self.state().has_listing = true;
        self.completed.notify_waiters();
    }

    /// An instance with what is known of it.
    pub fn instance(&self, instance: &InstanceName) -> Option<Known> {
        let state = self.state();
        state
            .instances
            .get(instance)
            .map(|known| self.as_of_now(&state, known))
    }

    fn as_of_now(&self, state: &State, known: &Known) -> Known {
        let now = clock::now();
        let is_announced = known.record.is_leaving || known.is_disowned;
        let is_over = |since: Instant| now.millis_since(since) >= self.gone_grace_ms;
        Known {
            is_leaving: is_announced || (known.is_gone && known.leaving_since.is_some_and(is_over)),
            warmth: known.sight.warmth(state.warm_up_terms(known), now),
            ..known.clone()
        }
    }

    /// The instances of a group.
    pub fn instances_of(&self, group: &GroupName) -> Vec<Known> {
        let state = self.state();
        let members = state.members.get(group).into_iter().flatten();
        members
            .filter_map(|name| state.instances.get(name))
            .map(|known| self.as_of_now(&state, known))
            .collect()
    }

    /// All instances.
    pub fn instances(&self) -> Vec<Known> {
        let state = self.state();
        state
            .instances
            .values()
            .map(|known| self.as_of_now(&state, known))
            .collect()
    }

    /// Who is believed to lead a group.
    pub fn leader(&self, group: &GroupName) -> Option<Leader> {
        self.state().groups.get(group)?.leader.clone()
    }

    /// Waits until the belief about leaders changes, or until `deadline`.
    pub async fn leaders_changed(&self, deadline: Instant) {
        let changed = self.leaders_changed.notified();
        let _ = tokio::time::timeout_at(clock::deadline(deadline), changed).await;
    }

    /// `instance` answered a question sent at `asked` as the leader of its term,
    /// with its log at `position`; false if that proves nothing, since the
    /// permit for the term is not good.
    pub fn leader_proved(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        asked: Instant,
        position: Position,
    ) -> bool {
        let mut state = self.state();
        if !state.is_of_present_life(instance, asked) {
            // It counts as an answer, and tells nothing of the one that lives now.
            return self.is_fenced;
        }
        let term = led_term(&state, group, instance, position);
        if !self.permit_in(&state, group, term).covers_answer() {
            return false;
        }
        let entry = state.groups.get(group);
        let lacks_log = entry.is_some_and(|entry| entry.lacks_former_log(instance, term, position));
        if lacks_log && state.has_other_member(group, instance) {
            info!(
                "event=leader_lacks_former_log group={group} instance={instance} term={term} position={}:{}",
                position.term, position.log_position.0
            );
            return false;
        }
        let entry = state.groups.entry(group.clone()).or_default();
        entry.observations.record(asked, position);
        self.observed.notify_waiters();
        let newest_term = entry.observations.newest().map(|newest| newest.position.term);
        if newest_term.is_some_and(|newest| term < newest) {
            return true;
        }
        if term <= entry.closed_terms.closed() {
            return true;
        }
        entry.retired = None;
        entry.former_logs.clear();
        let leader = Leader {
            instance: instance.clone(),
            term: Some(term),
        };
        if entry.leader.as_ref() == Some(&leader) {
            return true;
        }
        let is_other = entry
            .leader
            .as_ref()
            .is_none_or(|previous| previous.instance != *instance);
        info!(
            "event=leader_proved group={group} instance={instance} term={term} position={}:{}",
            position.term, position.log_position.0
        );
        entry.leader = Some(leader);
        state.group_changed(group);
        if is_other {
            self.leaders_changed.notify_waiters();
        }
        true
    }

    /// `instance` denied that it leads.
    pub fn leader_denied(&self, group: &GroupName, instance: &InstanceName) {
        let mut state = self.state();
        let entry = state.groups.entry(group.clone()).or_default();
        let is_believed = entry
            .leader
            .as_ref()
            .is_some_and(|leader| leader.instance == *instance);
        if is_believed {
            info!("event=leader_denied group={group} instance={instance}");
            entry.leader = None;
            state.group_changed(group);
        }
    }

    /// The newest position that a leader of the group has proved.
    pub fn newest_observation(&self, group: &GroupName) -> Option<LeaderObservation> {
        self.state().groups.get(group)?.observations.newest()
    }
}

/// The term in which an instance leads that answers as a leader with its log at
/// `position`: the log's, or a later one that it has told.
fn led_term(state: &State, group: &GroupName, instance: &InstanceName, position: Position) -> Term {
    let entry = state.groups.get(group);
    let told = entry.and_then(|entry| entry.told_terms.get(instance));
    told.map_or(position.term, |told| position.term.max(*told))
}

/// An instance no longer says that it leads.
fn demoted_by_record(state: &mut State, group: &GroupName, instance: &InstanceName) {
    let still_claims = state
        .instances
        .get(instance)
        .is_some_and(|known| known.record.claims_lead);
    if still_claims {
        return;
    }
    let Some(entry) = state.groups.get_mut(group) else {
        return;
    };
    let is_believed = entry
        .leader
        .as_ref()
        .is_some_and(|leader| leader.instance == *instance);
    if is_believed {
        info!("event=leader_stepped_down group={group} instance={instance}");
        entry.leader = None;
    }
}
