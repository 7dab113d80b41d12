//! This node's view of the cluster: the configuration, the instances, the leader of
//! each group, the log positions that leaders reported, and the health of each instance.

mod changes;
mod contact;
mod evacuation;
mod lives;
mod permits;
mod receivers;
mod removals;
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
use crate::peers::PeerReachability;

use warmth::observe_warm_up;

pub use contact::InstanceHealth;
use lives::{PreviousLog, SteppedDown, start_incarnation};
use receivers::FormerReceiver;

/// Maximum number of log lines per second about the records of single instances. A starting
/// node reads the records of all instances within seconds.
/// Some 4,000 lines from each of 985 nodes would tell no more than their count.
const INSTANCE_LINES_PER_SECOND: u64 = 20;

/// What this node knows about one instance.
#[derive(Debug, Clone)]
pub struct KnownInstance {
    /// The instance's record, as last read.
    pub record: Arc<InstanceRecord>,
    /// When this node last received the record.
    pub last_seen: Instant,
    /// When this node learned that the instance is leaving or that its record was removed.
    pub leaving_since: Option<Instant>,
    /// When the store may have acknowledged that at the earliest: the last time at which this
    /// node knew that the instance was present and not leaving. [`Instant::default`] if it
    /// never knew that.
    pub leaving_not_before: Instant,
    /// Whether the record was removed from the store.
    pub is_removed: bool,
    /// Whether the value under the instance's key could not be decoded.
    pub is_undecodable: bool,
    /// Whether the instance gets no new work: it announced its shutdown, its record cannot
    /// be decoded, or the record has been absent for longer than the grace period.
    pub is_leaving: bool,
    /// How the instance has responded to this node.
    pub health: InstanceHealth,
    /// What peers last reported about the instance, and when.
    pub peer_report: Option<(Instant, PeerReachability)>,
    /// Observations of the current incarnation from which `warm_up_status` is computed.
    warm_up_observation: WarmUpObservation,
    /// Whether the instance is warm.
    pub warm_up_status: WarmUpStatus,
    /// When this node first saw the current incarnation; none for the first incarnation
    /// that this node has seen.
    pub incarnation_seen_at: Option<Instant>,
}

impl KnownInstance {
    /// Whether `record` differs from the known record at most in its heartbeat.
    fn differs_only_in_heartbeat(&self, record: &InstanceRecord) -> bool {
        let is_same_incarnation =
            restart_evidence(&self.record.restart_signs(), &record.restart_signs()).is_none();
        let is_usable = !self.is_removed && !self.is_undecodable;
        is_usable && is_same_incarnation && self.record.equals_except_heartbeat(record)
    }
}

/// How a record that was read differs from the one known before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RecordChange {
    /// Something other than the heartbeat changed.
    pub has_changed: bool,
    /// The instance was unknown, or its record had been removed.
    pub is_new: bool,
    /// The instance restarted under the same name.
    pub has_restarted: bool,
}

/// The presumed leader of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// The instance.
    pub instance: InstanceName,
    /// The leader's term; none until the leader has proved it by an answer.
    pub term: Option<Term>,
}

#[derive(Debug, Default)]
struct Group {
    leader: Option<Leader>,
    /// Closed terms; used only where promotions don't fence the old leader.
    closed_terms: ClosedTerms,
    /// Terms that instances have announced as leader. A new leader's log is still in an
    /// earlier term until its first commit, so its position does not show the term.
    announced_terms: HashMap<InstanceName, Term>,
    /// The leader of the newest term that has confirmed its step-down to this node.
    stepped_down: Option<SteppedDown>,
    /// Last known log positions of possible leaders before they restarted; cleared once
    /// an instance has proved its leadership.
    previous_logs: HashMap<InstanceName, PreviousLog>,
    /// The leader of the term that was closed last. Its claim to lead is ignored until it
    /// proves a later term.
    retired: Option<InstanceName>,
    observations: LeaderObservations,
    /// Receivers that have ended since the present leader took over.
    former_receivers: BTreeMap<InstanceName, FormerReceiver>,
    last_use: Option<Instant>,
    last_direct_use: Option<Instant>,
    staleness_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    config: Option<Arc<ConfigSnapshot>>,
    instances: BTreeMap<InstanceName, KnownInstance>,
    /// Index of `instances` by group; read for every statement.
    members: HashMap<GroupName, BTreeSet<InstanceName>>,
    /// Groups that changed since the last call of `take_changed_groups`.
    changed_groups: HashSet<GroupName>,
    /// Version of the configuration for which every group was found to have an instance
    /// that claims leadership; none if that is not the case or was not checked.
    fully_claimed_version: Option<u64>,
    /// The group without such an instance that the last check found.
    unclaimed_group: Option<GroupName>,
    has_instance_listing: bool,
    last_store_contact: Option<Instant>,
    /// When the known instances last matched the store.
    instances_as_of: Option<Instant>,
    /// Time as of which this node knows all closed terms in the store.
    closed_terms_confirmed: Option<Instant>,
    /// When this node was registered. A promoter revokes permits only from registered
    /// nodes, so closed terms that were confirmed earlier give no permit.
    registered_since: Option<Instant>,
    evacuations: Evacuations,
    /// Whether this node is shutting down and acquires no more permits.
    is_shutting_down: bool,
    groups: HashMap<GroupName, Group>,
}

impl State {
    fn insert(&mut self, known: KnownInstance) {
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

/// This node's view of the cluster, shared by all of its tasks.
#[derive(Debug)]
pub struct Directory {
    zone: String,
    gone_grace_ms: u64,
    /// Whether a promotion fences the old leader.
    is_fenced: bool,
    state: Mutex<State>,
    leaders_changed: Notify,
    observed: Notify,
    completed: Notify,
    /// Version of the active configuration; zero before the first one.
    config_version: watch::Sender<u64>,
    /// Number of changes to the set of evacuated zones.
    evacuation_changes: watch::Sender<u64>,
    /// Limits log lines about the records of single instances.
    instance_lines: LineLimit,
}

impl Directory {
    /// Returns an empty directory for a node in `zone`.
    ///
    /// An instance whose record disappears without an announced shutdown counts as leaving
    /// only after `gone_grace_ms`: an outage of the store can drop records that the next
    /// heartbeat writes again. Unless promotions fence the old leader (`is_fenced`), a
    /// leader's answers count only under a permit.
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
            instance_lines: LineLimit::new("instances", INSTANCE_LINES_PER_SECOND),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The zone of this node.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// The active configuration; none before the first one was applied.
    pub fn config(&self) -> Option<Arc<ConfigSnapshot>> {
        self.state().config.clone()
    }

    /// Subscribes to the version of the active configuration.
    pub fn config_versions(&self) -> watch::Receiver<u64> {
        self.config_version.subscribe()
    }

    /// Activates `config` unless the active configuration is as new or newer. Returns whether
    /// the configuration was activated.
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

    /// Whether the configuration, the instances and the evacuated zones are known, as is
    /// required to serve callers.
    pub fn is_complete(&self) -> bool {
        let state = self.state();
        state.config.is_some() && state.has_instance_listing && state.evacuations.is_known()
    }

    /// Waits for an update of the configuration, the instances or the evacuated zones, or
    /// until `deadline`. Returns at once if the directory is complete.
    pub async fn completed(&self, deadline: Instant) {
        let completed = self.completed.notified();
        if !self.is_complete() {
            let _ = tokio::time::timeout_at(clock::deadline(deadline), completed).await;
        }
    }

    /// The limits of a group; none if the group is not configured.
    pub fn group_limits(&self, group: &GroupName) -> Option<GroupLimits> {
        let config = self.config()?;
        config.groups.get(group).copied()
    }

    /// Applies the current record of an instance. A restarted instance is not presumed to
    /// lead until it proves its term, even if the record claims leadership.
    pub fn apply_record(&self, record: InstanceRecord) -> RecordChange {
        let now = clock::now();
        let mut state = self.state();
        if let Some(known) = state.instances.get_mut(&record.name)
            && known.differs_only_in_heartbeat(&record)
        {
            known.warm_up_observation = observe_warm_up(Some(known), false, &record, now);
            known.record = Arc::new(record);
            known.last_seen = now;
            return RecordChange::default();
        }
        let previous = state.instances.get(&record.name).cloned();
        let previous = previous.as_ref();
        let restart = previous
            .and_then(|known| restart_evidence(&known.record.restart_signs(), &record.restart_signs()));
        let claimed_before = previous.is_some_and(|known| known.record.claims_lead && !known.is_removed);
        let is_new = previous.is_none_or(|known| known.is_removed);
        let has_changed =
            is_new || previous.is_some_and(|known| !known.record.equals_except_heartbeat(&record));
        if has_changed {
            state.mark_group_changed(&record.group);
        }
        if is_new {
            state.restore_receiver(&record);
        }
        if has_changed && self.instance_lines.admit() {
            info!(
                "event=instance_seen instance={} group={} address={} zone={} leaving={} claims_lead={}",
                record.name, record.group, record.address, record.zone, record.is_leaving, record.claims_lead
            );
        }
        let same_incarnation = previous.filter(|_| restart.is_none());
        let leaving_before = same_incarnation.and_then(|known| known.leaving_since);
        let leaving_not_before = match same_incarnation {
            Some(known) if known.leaving_since.is_some() => known.leaving_not_before,
            _ => state.instances_as_of.unwrap_or_default(),
        };
        let warm_up_observation = observe_warm_up(previous, restart.is_some(), &record, now);
        let name = record.name.clone();
        let group = record.group.clone();
        let newly_claims = record.claims_lead && !claimed_before;
        let leaving_since = match (record.is_leaving, leaving_before) {
            (true, Some(since)) if !is_new => Some(since),
            (true, _) => Some(now),
            (false, _) => None,
        };
        if let (Some(evidence), Some(previous)) = (restart, previous) {
            start_incarnation(&mut state, previous, &record, evidence);
            self.leaders_changed.notify_waiters();
        }
        let known = KnownInstance {
            health: same_incarnation.map_or_else(|| self.initial_health(&record), |known| known.health),
            peer_report: same_incarnation.and_then(|known| known.peer_report),
            incarnation_seen_at: match restart {
                Some(_) => Some(now),
                None => previous.and_then(|known| known.incarnation_seen_at),
            },
            record: Arc::new(record),
            last_seen: now,
            leaving_since,
            leaving_not_before,
            is_removed: false,
            is_undecodable: false,
            is_leaving: false,
            warm_up_observation,
            warm_up_status: WarmUpStatus::Warm,
        };
        state.insert(known);
        if restart.is_none() {
            if newly_claims {
                self.apply_lead_claim(&mut state, &group, &name);
            } else if claimed_before {
                withdraw_lead_claim(&mut state, &group, &name);
            }
        }
        RecordChange {
            has_changed,
            is_new,
            has_restarted: restart.is_some(),
        }
    }

    /// Makes `instance` the presumed leader after its record started to claim leadership,
    /// unless it led the term that was closed last.
    fn apply_lead_claim(&self, state: &mut State, group: &GroupName, instance: &InstanceName) {
        let entry = state.groups.entry(group.clone()).or_default();
        let current = entry.leader.as_ref().map(|leader| leader.instance.clone());
        if current.as_ref() == Some(instance) || entry.retired.as_ref() == Some(instance) {
            return;
        }
        if self.instance_lines.admit() {
            info!(
                "event=leader_claimed group={group} instance={instance} previous={}",
                current.as_ref().map_or("none", |name| name.as_str())
            );
        }
        entry.leader = Some(Leader {
            instance: instance.clone(),
            term: None,
        });
        state.mark_group_changed(group);
        self.leaders_changed.notify_waiters();
    }

    /// Records that the store answered a request about instances.
    pub fn record_store_contact(&self) {
        self.state().last_store_contact = Some(clock::now());
    }

    /// When the store last answered a request about instances.
    pub fn last_store_contact(&self) -> Option<Instant> {
        self.state().last_store_contact
    }

    /// Records that the known instances matched the store at `as_of`.
    pub fn record_instances_as_of(&self, as_of: Instant) {
        let mut state = self.state();
        state.instances_as_of = state.instances_as_of.max(Some(as_of));
    }

    /// Records that a peer has sent the complete list of instances.
    pub fn mark_listing_complete(&self) {
        self.state().has_instance_listing = true;
        self.completed.notify_waiters();
    }

    /// What is known about `instance`; none if the instance is unknown.
    pub fn instance(&self, instance: &InstanceName) -> Option<KnownInstance> {
        let state = self.state();
        state
            .instances
            .get(instance)
            .map(|known| self.evaluated_now(&state, known))
    }

    /// Returns a copy of `known` with the fields that depend on the current time computed.
    fn evaluated_now(&self, state: &State, known: &KnownInstance) -> KnownInstance {
        let now = clock::now();
        let is_announced = known.record.is_leaving || known.is_undecodable;
        let is_over = |since: Instant| now.millis_since(since) >= self.gone_grace_ms;
        KnownInstance {
            is_leaving: is_announced || (known.is_removed && known.leaving_since.is_some_and(is_over)),
            warm_up_status: known
                .warm_up_observation
                .status(state.warm_up_limits_of(known), now),
            ..known.clone()
        }
    }

    /// All known instances of a group.
    pub fn instances_of(&self, group: &GroupName) -> Vec<KnownInstance> {
        let state = self.state();
        let members = state.members.get(group).into_iter().flatten();
        members
            .filter_map(|name| state.instances.get(name))
            .map(|known| self.evaluated_now(&state, known))
            .collect()
    }

    /// All known instances.
    pub fn instances(&self) -> Vec<KnownInstance> {
        let state = self.state();
        state
            .instances
            .values()
            .map(|known| self.evaluated_now(&state, known))
            .collect()
    }

    /// The presumed leader of a group.
    pub fn leader(&self, group: &GroupName) -> Option<Leader> {
        self.state().groups.get(group)?.leader.clone()
    }

    /// Waits until the presumed leader of any group changes, or until `deadline`.
    pub async fn leaders_changed(&self, deadline: Instant) {
        let changed = self.leaders_changed.notified();
        let _ = tokio::time::timeout_at(clock::deadline(deadline), changed).await;
    }

    /// Records that `instance` answered a request sent at `asked` as leader, with its log
    /// at `position`. Returns false if the answer must not be used: there is no valid permit
    /// for the term, the instance restarted without its previous log and the group has other
    /// instances, or, where promotions don't fence, the answer comes from an earlier
    /// incarnation.
    pub fn record_leader_proof(
        &self,
        group: &GroupName,
        instance: &InstanceName,
        asked: Instant,
        position: Position,
    ) -> bool {
        let mut state = self.state();
        if !state.is_from_current_incarnation(instance, asked) {
            // The answer is valid but proves nothing about the current incarnation.
            return self.is_fenced;
        }
        let term = leader_term(&state, group, instance, position);
        if !self.permit_for_term(&state, group, term).covers_answer() {
            return false;
        }
        let entry = state.groups.get(group);
        let lacks_log = entry.is_some_and(|entry| entry.lacks_previous_log(instance, term, position));
        if lacks_log && state.has_other_member(group, instance) {
            info!(
                "event=leader_lacks_former_log group={group} instance={instance} term={term} position={}:{}",
                position.term, position.log_position.0
            );
            return false;
        }
        let entry = state.groups.entry(group.clone()).or_default();
        entry.observations.record(asked, position);
        entry.supersede_former_receivers(asked, position);
        self.observed.notify_waiters();
        let newest_term = entry.observations.newest().map(|newest| newest.position.term);
        if newest_term.is_some_and(|newest| term < newest) {
            return true;
        }
        if term <= entry.closed_terms.closed() {
            return true;
        }
        entry.retired = None;
        entry.previous_logs.clear();
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
        if is_other {
            entry.forget_former_receivers(asked);
        }
        entry.leader = Some(leader);
        state.mark_group_changed(group);
        if is_other {
            self.leaders_changed.notify_waiters();
        }
        true
    }

    /// Clears the presumed leader of `group` if that is `instance`, which has denied leadership.
    pub fn record_leader_denial(&self, group: &GroupName, instance: &InstanceName) {
        let mut state = self.state();
        let entry = state.groups.entry(group.clone()).or_default();
        let is_presumed_leader = entry
            .leader
            .as_ref()
            .is_some_and(|leader| leader.instance == *instance);
        if is_presumed_leader {
            info!("event=leader_denied group={group} instance={instance}");
            entry.leader = None;
            state.mark_group_changed(group);
        }
    }

    /// The newest recorded position of a leader of the group.
    pub fn newest_observation(&self, group: &GroupName) -> Option<LeaderObservation> {
        self.state().groups.get(group)?.observations.newest()
    }
}

/// The term of a leader whose log is at `position`: the term of the log, or a later one
/// that the instance has announced.
fn leader_term(state: &State, group: &GroupName, instance: &InstanceName, position: Position) -> Term {
    let entry = state.groups.get(group);
    let announced = entry.and_then(|entry| entry.announced_terms.get(instance));
    announced.map_or(position.term, |announced| position.term.max(*announced))
}

/// Clears the presumed leader of `group` if it is `instance` and its record no longer
/// claims leadership.
fn withdraw_lead_claim(state: &mut State, group: &GroupName, instance: &InstanceName) {
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
    let is_presumed_leader = entry
        .leader
        .as_ref()
        .is_some_and(|leader| leader.instance == *instance);
    if is_presumed_leader {
        info!("event=leader_stepped_down group={group} instance={instance}");
        entry.leader = None;
    }
}
