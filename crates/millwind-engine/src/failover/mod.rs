//! Watches the leaders of the groups in use, and replaces those that are lost.

mod health;
mod moves;
mod pauses;
mod relocation;
mod replacement;
mod revocation;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::info;
use millwind_core::Instant;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::failover::{FailoverTimes, LeaderEvidence, LeaderVerdict, ReplaceReason, evaluate_leader};
use millwind_core::ids::{GroupName, InstanceName};
use millwind_store::Store;

use crate::clock;
use crate::directory::Known;
use crate::duty::FailoverOwnership;
use crate::eligibility::InstanceUse;
use crate::group_marks::InProgressGroups;
use crate::node::Engine;
use crate::peers;
use crate::ports::{CatalogCodec, Promoter};
use crate::watch_list::WatchList;
use relocation::LeadHistories;
use replacement::LostLeader;

/// Between two looks at the groups.
const TICK: Duration = Duration::from_millis(100);
/// A tick that comes so late shows that this process stood still, in
/// milliseconds.
const STOOD_STILL_MS: u64 = 400;
/// Between two replacements of one group's leader for how its statements end,
/// in milliseconds.
const SICK_PAUSE_MS: u64 = 8_000;
/// Between two tries to hand over a leader whose time in an evacuated zone is over, in
/// milliseconds: no replica has what it must hold, so that trying on asks and logs in vain.
const LEAVE_PAUSE_MS: u64 = 5_000;
/// Silence after which a leader is suspected, in milliseconds.
const SUSPECT_MS: u64 = 400;
/// Silence after which a lone witness acts, in milliseconds.
const ALONE_MS: u64 = 1_200;
/// Heartbeats missed before a suspicion is confirmed, in tenths.
const HEARTBEAT_TENTHS: u64 = 20;
/// Heartbeats are judged only if the store was heard within this time, in
/// milliseconds.
const STORE_RECENT_MS: u64 = 2_500;
/// Between two rounds of questions to peers about one leader.
const ASK_PAUSE: Duration = Duration::from_millis(200);
/// Each node that comes later in a group's order waits so much longer before it writes
/// again what a restored store lost, in milliseconds: a write and its way to the others
/// through relays.
const RESTORE_STEP_MS: u64 = 1_500;
/// None waits longer than this, in milliseconds: by then most nodes of the order are gone.
const MOST_RESTORE_WAIT_MS: u64 = 12_000;
/// Between two tries to take a duty that nobody holds.
const DUTY_PAUSE: Duration = Duration::from_millis(500);
/// A group whose leader this node has never seen may still be starting, in
/// milliseconds.
const NEVER_LED_MS: u64 = 4_000;
/// A group that was used within this time is looked at with those that are watched, in
/// milliseconds: the longest time after a use for which reads need a leader's position.
const IN_USE_MS: u64 = health::UNUSED_MS;
/// Age of a peer's report beyond which it says nothing, in milliseconds.
const REPORT_MS: u64 = 1_500;

/// Watches all groups on behalf of one node.
pub struct Monitor<S> {
    engine: Arc<Engine>,
    duties: Arc<FailoverOwnership<S>>,
    promoter: Arc<dyn Promoter>,
    codec: Arc<dyn CatalogCodec>,
    busy: Arc<InProgressGroups>,
    replacing: Arc<InProgressGroups>,
    taking: Arc<InProgressGroups>,
    asking: Arc<InProgressGroups>,
    searching: Arc<InProgressGroups>,
    leaderless: Mutex<HashMap<GroupName, Instant>>,
    replaced_sick: Mutex<HashMap<GroupName, Instant>>,
    lead_histories: LeadHistories,
    reporting: Arc<InProgressGroups>,
    /// When a leader that stays beyond its time in an evacuated zone was last tried to
    /// be handed over.
    tried_leaving: Mutex<HashMap<GroupName, Instant>>,
}

impl<S: Store + 'static> Monitor<S> {
    /// A monitor that orders promotions from `promoter` under `duties`.
    ///
    /// Records of instances are read with `codec`.
    pub fn new(
        engine: Arc<Engine>,
        duties: Arc<FailoverOwnership<S>>,
        promoter: Arc<dyn Promoter>,
        codec: Arc<dyn CatalogCodec>,
    ) -> Arc<Self> {
        Arc::new(Monitor {
            engine,
            duties,
            promoter,
            codec,
            busy: Arc::default(),
            replacing: Arc::default(),
            taking: Arc::default(),
            asking: Arc::default(),
            searching: Arc::default(),
            leaderless: Mutex::new(HashMap::new()),
            replaced_sick: Mutex::new(HashMap::new()),
            lead_histories: LeadHistories::default(),
            reporting: Arc::default(),
            tried_leaving: Mutex::new(HashMap::new()),
        })
    }

    /// Watches for the life of the process.
    pub async fn run(self: Arc<Self>) {
        let mut last = clock::now();
        let mut watch_list = WatchList::default();
        loop {
            tokio::select! {
                () = tokio::time::sleep(TICK) => {}
                () = self.engine.monitor_woken() => {}
            }
            let now = clock::now();
            if now.millis_since(last) > STOOD_STILL_MS {
                info!("event=stood_still ms={}", now.millis_since(last));
                self.engine.directory.forgive_silence();
            }
            last = now;
            self.restore_lost_duties();
            let watched = watch_list.current(&self.engine);
            for group in watched.iter() {
                self.start_look(group);
            }
            for group in self
                .engine
                .directory
                .groups_used_after(clock::minus_millis(now, IN_USE_MS))
            {
                self.follow_used(&group, &watched);
            }
        }
    }

    /// Writes the duties' records again that the store lost when it was restored. The
    /// first of a group's order does it at once; each one after it waits longer, and finds
    /// it done: a node that was restarted meanwhile knows nothing of what was lost.
    fn restore_lost_duties(self: &Arc<Self>) {
        let now = clock::now();
        for (group, since) in self.duties.lost_records() {
            let rank = self.engine.registry.rank(group.as_str()) as u64;
            let due = since.plus_millis((rank * RESTORE_STEP_MS).min(MOST_RESTORE_WAIT_MS));
            if now < due {
                continue;
            }
            if let Some(mark) = self.taking.enter(&group) {
                let duties = self.duties.clone();
                tokio::spawn(async move {
                    duties.restore(mark.group()).await;
                    tokio::time::sleep(DUTY_PAUSE).await;
                });
            }
        }
    }

    /// Looks at a group that this node uses, or asks others about it.
    fn follow_used(self: &Arc<Self>, group: &GroupName, watched: &HashSet<GroupName>) {
        if watched.contains(group) || self.engine.directory.group_limits(group).is_none() {
            return;
        }
        self.engine.metrics.groups_evaluated.inc();
        match self.engine.watches(group) {
            true => self.start_look(group),
            false => self.observe(group),
        }
    }

    /// Looks at a group in the background, unless that is under way.
    fn start_look(self: &Arc<Self>, group: &GroupName) {
        if let Some(mark) = self.busy.enter(group) {
            let monitor = self.clone();
            tokio::spawn(async move { monitor.look_at(mark.group()).await });
        }
    }

    /// Asks the watchers of a group for its leader's position ahead of need,
    /// where this node runs reads on its replicas.
    fn observe(&self, group: &GroupName) {
        if health::is_observation_due(&self.engine, group) && self.engine.owns_any_of(group) {
            let engine = self.engine.clone();
            let group = group.clone();
            tokio::spawn(async move { peers::observe_leader(&engine, &group).await });
        }
    }

    /// Checks the health of one group, and starts a replacement if needed.
    async fn look_at(self: &Arc<Self>, group: &GroupName) {
        self.hold_duty_ahead(group);
        let leader = self.engine.directory.leader(group).map(|leader| leader.instance);
        if health::is_in_doubt(&self.engine, leader.as_ref()) {
            self.search(group);
        } else {
            health::check(&self.engine, group).await;
        }
        if !self.engine.directory.has_permits() {
            // Without news from the store nothing can be ordered.
            return;
        }
        let evidence = self.evidence(group, leader.as_ref());
        let verdict = evaluate_leader(clock::now(), &evidence, &self.times());
        let reason = match verdict {
            LeaderVerdict::Healthy => return,
            LeaderVerdict::Suspected => {
                self.engine.expedite_instance_batch();
                return self.ask_peers(group, leader);
            }
            LeaderVerdict::Replace(reason) => reason,
        };
        if reason.is_detected_by_statements() && !self.may_replace_sick(group) {
            return;
        }
        if reason == ReplaceReason::Evacuated && !self.may_try_leaving(group, leader.as_ref()) {
            return;
        }
        if self.duties.has_recent_promotion_by_other(group) {
            return;
        }
        let Some(mark) = self.replacing.enter(group) else {
            return;
        };
        let monitor = self.clone();
        let lost = LostLeader {
            group: group.clone(),
            instance: leader,
            reason,
        };
        tokio::spawn(async move {
            monitor.replace(&lost).await;
            drop(mark);
        });
    }

    /// Whether no leader of the group was replaced lately for how its
    /// statements end: the cause may lie elsewhere if the next one fares alike.
    fn may_replace_sick(&self, group: &GroupName) -> bool {
        has_rested(&self.replaced_sick, group, SICK_PAUSE_MS)
    }

    /// Whether a leader in an evacuated zone may be tried to be handed over now: at any
    /// time within the bound, and from time to time after it.
    fn may_try_leaving(&self, group: &GroupName, leader: Option<&InstanceName>) -> bool {
        let directory = &self.engine.directory;
        let known = leader.and_then(|leader| directory.instance(leader));
        let since = known.and_then(|known| directory.evacuated_since(&known.record.zone));
        let bound = self.engine.settings.evacuation_bound_ms;
        let is_within = since.is_some_and(|since| clock::now().millis_since(since) < bound);
        is_within || has_rested(&self.tried_leaving, group, LEAVE_PAUSE_MS)
    }

    /// Searches for a leader in the background: instances that are silent must
    /// not hold up the judgement.
    fn search(self: &Arc<Self>, group: &GroupName) {
        let Some(mark) = self.searching.enter(group) else {
            return;
        };
        let engine = self.engine.clone();
        tokio::spawn(async move { health::search(&engine, mark.group()).await });
    }

    /// The first node in the group's order takes a duty that nobody holds.
    fn hold_duty_ahead(self: &Arc<Self>, group: &GroupName) {
        let is_open = self.duties.is_listed() && self.duties.get(group).is_none();
        if !is_open || self.rank(group) > 0 {
            return;
        }
        let Some(mark) = self.taking.enter(group) else {
            return;
        };
        let duties = self.duties.clone();
        tokio::spawn(async move {
            duties.claim_in_advance(mark.group()).await;
            tokio::time::sleep(DUTY_PAUSE).await;
        });
    }

    /// Asks peers about a suspected leader, in the background.
    fn ask_peers(self: &Arc<Self>, group: &GroupName, leader: Option<InstanceName>) {
        let Some(leader) = leader else { return };
        let Some(mark) = self.asking.enter(group) else {
            return;
        };
        let engine = self.engine.clone();
        tokio::spawn(async move {
            let testimony = peers::ask_witnesses(&engine, &leader).await;
            info!(
                "event=leader_suspected group={} instance={leader} peers_reaching={} peers_failing={}",
                mark.group(),
                testimony.reaching,
                testimony.failing
            );
            engine.directory.heard_of(&leader, testimony);
            engine.wake_monitor();
            tokio::time::sleep(ASK_PAUSE).await;
        });
    }

    fn times(&self) -> FailoverTimes {
        FailoverTimes {
            suspect_ms: SUSPECT_MS,
            unconfirmed_ms: ALONE_MS,
            heartbeat_ms: self.engine.settings.heartbeat_ms * HEARTBEAT_TENTHS / 10,
        }
    }

    /// What is known about the leader of a group now.
    fn evidence(&self, group: &GroupName, leader: Option<&InstanceName>) -> LeaderEvidence {
        let directory = &self.engine.directory;
        let now = clock::now();
        let mut replicas = directory.instances_of(group);
        replicas.retain(|known| {
            Some(&known.record.name) != leader
                && !known.is_gone
                && !known.is_leaving
                && known.contact.failing_since.is_none()
        });
        let replicas_reached = replicas.len();
        replicas.retain(|known| !known.contact.is_sick());
        let known = leader.and_then(|leader| directory.instance(leader));
        let mut evidence = LeaderEvidence {
            replicas_reached,
            healthy_replicas: replicas.len(),
            ..LeaderEvidence::default()
        };
        let Some(known) = known else {
            let has_led = directory.newest_observation(group).is_some();
            let patience = if has_led { 0 } else { NEVER_LED_MS };
            let since = self.leaderless_since(group, now);
            evidence.failing_since = Some(since.plus_millis(patience));
            return evidence;
        };
        self.has_leader(group);
        let store_heard = directory
            .last_store_contact()
            .filter(|heard| now.millis_since(*heard) < STORE_RECENT_MS);
        evidence.failing_since = known.contact.failing_since;
        evidence.refuses_connections = known.contact.is_refusing;
        evidence.is_leaving = known.is_leaving;
        evidence.is_zone_evacuated = self.must_leave_zone(&known);
        if self.engine.runs_statements_on(&known.record) {
            let statements = &known.contact.statements;
            let silent_since = known.contact.unresponsive_since();
            // Statements that wait for their places at a cold instance hang as well.
            let is_silence = statements.has_repeated_silence() && !known.warmth.is_cold(now);
            evidence.unresponsive_since = silent_since.filter(|_| is_silence);
            evidence.is_outlier = statements.is_outlier(now);
        }
        if let Some(testimony) = directory.testimony(&known.record.name, REPORT_MS) {
            evidence.peers_reaching = testimony.reaching;
            evidence.peers_failing = testimony.failing;
        }
        // As of the last report: the record may have been renewed since.
        evidence.heartbeat_age_ms = store_heard.map(|heard| heard.millis_since(known.heard));
        evidence
    }

    /// Whether a leader must hand over since its zone is being evacuated: another
    /// instance of its group may be used elsewhere.
    fn must_leave_zone(&self, leader: &Known) -> bool {
        let directory = &self.engine.directory;
        if directory.evacuated_since(&leader.record.zone).is_none() {
            return false;
        }
        let is_successor = |known: &Known| {
            known.record.name != leader.record.name
                && !known.contact.is_sick()
                && !known.is_gone
                && known.contact.failing_since.is_none()
                && self
                    .engine
                    .judge_instance(known, InstanceUse::Replica, &AllowedRegions::Any)
                    .is_ok()
        };
        directory
            .instances_of(&leader.record.group)
            .iter()
            .any(is_successor)
    }

    fn leaderless_since(&self, group: &GroupName, now: Instant) -> Instant {
        let mut leaderless = self.leaderless.lock().unwrap_or_else(PoisonError::into_inner);
        *leaderless.entry(group.clone()).or_insert(now)
    }

    fn has_leader(&self, group: &GroupName) {
        self.leaderless
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(group);
    }
}

/// Whether `group` was last noted longer than `pause_ms` ago; notes it then.
fn has_rested(noted: &Mutex<HashMap<GroupName, Instant>>, group: &GroupName, pause_ms: u64) -> bool {
    let now = clock::now();
    let mut noted = noted.lock().unwrap_or_else(PoisonError::into_inner);
    let is_recent = noted
        .get(group)
        .is_some_and(|last| now.millis_since(*last) < pause_ms);
    if !is_recent {
        noted.insert(group.clone(), now);
    }
    !is_recent
}
