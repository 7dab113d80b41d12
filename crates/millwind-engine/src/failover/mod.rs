//! Monitors the leaders of the groups that this node watches or uses, and replaces failed
//! leaders.

mod health;
mod moves;
mod open_orders;
mod pauses;
mod receivers;
mod relocation;
mod replacement;
mod revocation;
mod selection;

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
use crate::directory::KnownInstance;
use crate::eligibility::InstanceUse;
use crate::failover_ownership::FailoverOwnership;
use crate::in_progress_groups::InProgressGroups;
use crate::node::Engine;
use crate::peers;
use crate::ports::{CatalogCodec, Promoter};
use crate::watch_list::WatchList;
use open_orders::OpenOrders;
pub(crate) use receivers::check_removed_receivers;
use relocation::LeadershipHistories;
use replacement::Replacement;

/// Interval between health checks of the groups.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A delay between ticks above which this process is taken to have been suspended, in
/// milliseconds.
const PROCESS_STALL_MS: u64 = 400;
/// Minimum time between two replacements of a group's leader because of hanging or failing
/// statements, in milliseconds.
const STATEMENT_FAILOVER_COOLDOWN_MS: u64 = 8_000;
/// Time between attempts to hand over a leader that is still in an evacuated zone after the
/// evacuation bound, in milliseconds. The earlier attempts found no suitable replica.
const EVACUATION_RETRY_INTERVAL_MS: u64 = 5_000;
/// Time without a successful contact after which a leader is suspected, in milliseconds.
const SUSPICION_TIMEOUT_MS: u64 = 400;
/// Time without a successful contact after which a node replaces a leader although no peer
/// confirms the failure, in milliseconds.
const SINGLE_OBSERVER_TIMEOUT_MS: u64 = 1_200;
/// Number of missed heartbeats that confirms a suspicion, in tenths.
const MISSED_HEARTBEATS_TENTHS: u64 = 20;
/// Maximum age of the last answer from the store for heartbeat ages to count, in milliseconds.
const STORE_CONTACT_MAX_AGE_MS: u64 = 2_500;
/// Interval between queries to peers about one suspected leader.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Additional delay per rank before a node rewrites ownership records that a restored store
/// lost, in milliseconds. It covers one write and its propagation through relays.
const RESTORE_DELAY_PER_RANK_MS: u64 = 1_500;
/// Upper bound on the delay before a rewrite, in milliseconds. After this time most nodes with
/// a better rank can be assumed to be gone.
const MAX_RESTORE_DELAY_MS: u64 = 12_000;
/// Time between attempts to claim failover ownership of a group that no node owns.
const OWNERSHIP_CLAIM_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for a starting group to get its first leader, in milliseconds. Applies while
/// this node has never seen a leader of the group.
const STARTUP_GRACE_MS: u64 = 4_000;
/// Maximum time since the last use for which a group is checked along with the watched groups,
/// in milliseconds. Reads need a recent leader position for this long after a use.
const RECENT_USE_MS: u64 = health::IDLE_GROUP_MS;
/// Maximum age of a peer's reachability report, in milliseconds.
const PEER_REPORT_MAX_AGE_MS: u64 = 1_500;

/// Failure detector and failover coordinator of one node. The `running_*` fields limit each
/// kind of background task to one per group.
pub struct FailoverMonitor<S> {
    engine: Arc<Engine>,
    ownership: Arc<FailoverOwnership<S>>,
    promoter: Arc<dyn Promoter>,
    codec: Arc<dyn CatalogCodec>,
    running_checks: Arc<InProgressGroups>,
    running_replacements: Arc<InProgressGroups>,
    running_ownership_claims: Arc<InProgressGroups>,
    running_peer_queries: Arc<InProgressGroups>,
    running_leader_searches: Arc<InProgressGroups>,
    /// Groups without a known leader, and since when.
    leaderless: Mutex<HashMap<GroupName, Instant>>,
    /// Start of the cooldown after a replacement attempt because of hanging or failing statements.
    statement_failover_times: Mutex<HashMap<GroupName, Instant>>,
    leadership_histories: LeadershipHistories,
    open_orders: OpenOrders,
    running_reports: Arc<InProgressGroups>,
    /// Time of the last attempt to hand over a leader that is still in an evacuated zone after
    /// the evacuation bound.
    evacuation_attempt_times: Mutex<HashMap<GroupName, Instant>>,
}

impl<S: Store + 'static> FailoverMonitor<S> {
    /// Creates a monitor that requests promotions from `promoter` while it is the failover owner of
    /// a group according to `ownership`, and decodes instance records with `codec`.
    pub fn new(
        engine: Arc<Engine>,
        ownership: Arc<FailoverOwnership<S>>,
        promoter: Arc<dyn Promoter>,
        codec: Arc<dyn CatalogCodec>,
    ) -> Arc<Self> {
        Arc::new(FailoverMonitor {
            engine,
            ownership,
            promoter,
            codec,
            running_checks: Arc::default(),
            running_replacements: Arc::default(),
            running_ownership_claims: Arc::default(),
            running_peer_queries: Arc::default(),
            running_leader_searches: Arc::default(),
            leaderless: Mutex::new(HashMap::new()),
            statement_failover_times: Mutex::new(HashMap::new()),
            leadership_histories: LeadershipHistories::default(),
            open_orders: OpenOrders::default(),
            running_reports: Arc::default(),
            evacuation_attempt_times: Mutex::new(HashMap::new()),
        })
    }

    /// Runs the health checks. Never returns.
    pub async fn run(self: Arc<Self>) {
        let mut last_tick = clock::now();
        let mut watch_list = WatchList::default();
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.engine.monitor_woken() => {}
            }
            let now = clock::now();
            if now.millis_since(last_tick) > PROCESS_STALL_MS {
                info!("event=stood_still ms={}", now.millis_since(last_tick));
                self.engine.directory.reset_silence();
            }
            last_tick = now;
            self.restore_lost_records();
            let watched = watch_list.current(&self.engine);
            for group in watched.iter() {
                self.start_check(group);
            }
            for group in self
                .engine
                .directory
                .groups_used_after(clock::minus_millis(now, RECENT_USE_MS))
            {
                self.check_used_group(&group, &watched);
            }
        }
    }

    /// Rewrites ownership records that the store lost when it was restored, or that another
    /// writer made unreadable. Nodes wait in the
    /// order of their rank for the group, so that usually only the first one writes. A node
    /// that restarted in the meantime does not know the lost records.
    fn restore_lost_records(self: &Arc<Self>) {
        let now = clock::now();
        for (group, since) in self.ownership.lost_records() {
            let rank = self.engine.registry.rank(group.as_str()) as u64;
            let due = since.plus_millis((rank * RESTORE_DELAY_PER_RANK_MS).min(MAX_RESTORE_DELAY_MS));
            if now < due {
                continue;
            }
            if let Some(mark) = self.running_ownership_claims.enter(&group) {
                let ownership = self.ownership.clone();
                tokio::spawn(async move {
                    ownership.restore(mark.group()).await;
                    tokio::time::sleep(OWNERSHIP_CLAIM_INTERVAL).await;
                });
            }
        }
    }

    /// Checks a group that this node uses. If another node watches the group, only refreshes
    /// the leader position.
    fn check_used_group(self: &Arc<Self>, group: &GroupName, watched: &HashSet<GroupName>) {
        if watched.contains(group) || self.engine.directory.group_limits(group).is_none() {
            return;
        }
        self.engine.metrics.groups_evaluated.inc();
        match self.engine.watches(group) {
            true => self.start_check(group),
            false => self.refresh_leader_position(group),
        }
    }

    /// Starts a background check of a group unless one is already running.
    fn start_check(self: &Arc<Self>, group: &GroupName) {
        if let Some(mark) = self.running_checks.enter(group) {
            let monitor = self.clone();
            tokio::spawn(async move { monitor.check_group(mark.group()).await });
        }
    }

    /// Requests the leader position from the watchers of a group before reads need it, if this
    /// node serves reads on the replicas of the group.
    fn refresh_leader_position(&self, group: &GroupName) {
        if health::is_observation_due(&self.engine, group) && self.engine.owns_any_of(group) {
            let engine = self.engine.clone();
            let group = group.clone();
            tokio::spawn(async move { peers::refresh_leader_report(&engine, &group).await });
        }
    }

    /// Checks the health of a group and starts a replacement of its leader if necessary.
    async fn check_group(self: &Arc<Self>, group: &GroupName) {
        self.claim_in_advance(group);
        let leader = self.engine.directory.leader(group).map(|leader| leader.instance);
        if health::is_leader_unavailable(&self.engine, leader.as_ref()) {
            self.start_leader_search(group);
        } else {
            health::check_leader(&self.engine, group).await;
        }
        if !self.engine.directory.has_permits() {
            // A replacement needs recent data from the store.
            return;
        }
        let evidence = self.collect_evidence(group, leader.as_ref());
        let verdict = evaluate_leader(clock::now(), &evidence, &self.failover_times());
        let reason = match verdict {
            LeaderVerdict::Healthy if self.has_unfinished_order(group, leader.as_ref()) => {
                ReplaceReason::UnfinishedOrder
            }
            LeaderVerdict::Healthy => return,
            LeaderVerdict::Suspected => {
                self.engine.expedite_instance_batch();
                return self.query_peers(group, leader);
            }
            LeaderVerdict::Replace(reason) => reason,
        };
        if reason.is_detected_by_statements() && !self.may_fail_over_for_statements(group) {
            return;
        }
        if reason == ReplaceReason::Evacuated && !self.may_attempt_evacuation(group, leader.as_ref()) {
            return;
        }
        if self.ownership.has_recent_promotion_by_other(group) {
            return;
        }
        let Some(mark) = self.running_replacements.enter(group) else {
            return;
        };
        let monitor = self.clone();
        let replacement = Replacement {
            group: group.clone(),
            old_leader: leader,
            reason,
        };
        tokio::spawn(async move {
            monitor.replace(&replacement).await;
            drop(mark);
        });
    }

    /// Returns whether an order of this node may still replace a healthy leader. Its replica has
    /// paused, and would lack what the leader acknowledges through others until then.
    pub(super) fn has_unfinished_order(&self, group: &GroupName, leader: Option<&InstanceName>) -> bool {
        // The order of a later holder takes the place of this node's.
        if !self.is_synchronous(group) || self.ownership.held_token(group).is_none() {
            return false;
        }
        let named = self.open_orders.own_open_order(group);
        leader.is_some() && named.is_some() && named.as_ref() != leader
    }

    /// Returns whether the cooldown for replacements because of failing statements is over, and
    /// restarts it if so. If the new leader shows the same errors, the cause is probably not
    /// the leader.
    fn may_fail_over_for_statements(&self, group: &GroupName) -> bool {
        try_start_cooldown(
            &self.statement_failover_times,
            group,
            STATEMENT_FAILOVER_COOLDOWN_MS,
        )
    }

    /// Returns whether to attempt a handover of a leader in an evacuated zone: always until the
    /// evacuation bound, then once per [`EVACUATION_RETRY_INTERVAL_MS`].
    fn may_attempt_evacuation(&self, group: &GroupName, leader: Option<&InstanceName>) -> bool {
        let directory = &self.engine.directory;
        let known = leader.and_then(|leader| directory.instance(leader));
        let since = known.and_then(|known| directory.evacuated_since(&known.record.zone));
        let bound = self.engine.settings.evacuation_ms();
        let is_within_bound = since.is_some_and(|since| clock::now().millis_since(since) < bound);
        is_within_bound
            || try_start_cooldown(
                &self.evacuation_attempt_times,
                group,
                EVACUATION_RETRY_INTERVAL_MS,
            )
    }

    /// Probes all instances of the group in the background, so that unresponsive instances do
    /// not delay the failure decision.
    fn start_leader_search(self: &Arc<Self>, group: &GroupName) {
        let Some(mark) = self.running_leader_searches.enter(group) else {
            return;
        };
        let engine = self.engine.clone();
        tokio::spawn(async move { health::probe_group(&engine, mark.group()).await });
    }

    /// Claims failover ownership of a group if this process should hold a token of it and this
    /// node ranks first. A replacement claims it on its own.
    fn claim_in_advance(self: &Arc<Self>, group: &GroupName) {
        let is_needed = self.ownership.is_listed() && self.ownership.needs_claim(group);
        if !is_needed || self.failover_rank(group) > 0 || self.running_replacements.contains(group) {
            return;
        }
        let Some(mark) = self.running_ownership_claims.enter(group) else {
            return;
        };
        let ownership = self.ownership.clone();
        tokio::spawn(async move {
            ownership.claim_in_advance(mark.group()).await;
            tokio::time::sleep(OWNERSHIP_CLAIM_INTERVAL).await;
        });
    }

    /// Asks peers in the background whether they reach a suspected leader.
    fn query_peers(self: &Arc<Self>, group: &GroupName, leader: Option<InstanceName>) {
        let Some(leader) = leader else { return };
        let Some(mark) = self.running_peer_queries.enter(group) else {
            return;
        };
        let engine = self.engine.clone();
        tokio::spawn(async move {
            let reachability = peers::query_reachability(&engine, &leader).await;
            info!(
                "event=leader_suspected group={} instance={leader} peers_reaching={} peers_failing={}",
                mark.group(),
                reachability.reaching,
                reachability.failing
            );
            engine.directory.record_peer_reachability(&leader, reachability);
            engine.wake_monitor();
            tokio::time::sleep(PEER_QUERY_INTERVAL).await;
        });
    }

    fn failover_times(&self) -> FailoverTimes {
        FailoverTimes {
            suspect_ms: SUSPICION_TIMEOUT_MS,
            unconfirmed_ms: SINGLE_OBSERVER_TIMEOUT_MS,
            heartbeat_ms: self.engine.settings.heartbeat_ms * MISSED_HEARTBEATS_TENTHS / 10,
        }
    }

    /// Collects the current evidence on the leader of a group.
    fn collect_evidence(&self, group: &GroupName, leader: Option<&InstanceName>) -> LeaderEvidence {
        let directory = &self.engine.directory;
        let now = clock::now();
        let mut replicas = directory.instances_of(group);
        replicas.retain(|known| {
            Some(&known.record.name) != leader
                && !known.is_removed
                && !known.is_leaving
                && known.health.failing_since.is_none()
        });
        let replicas_reached = replicas.len();
        replicas.retain(|known| !known.health.is_unhealthy());
        let known = leader.and_then(|leader| directory.instance(leader));
        let mut evidence = LeaderEvidence {
            replicas_reached,
            healthy_replicas: replicas.len(),
            ..LeaderEvidence::default()
        };
        let Some(known) = known else {
            let has_led = directory.newest_observation(group).is_some();
            let grace_ms = if has_led { 0 } else { STARTUP_GRACE_MS };
            let since = self.leaderless_since(group, now);
            evidence.failing_since = Some(since.plus_millis(grace_ms));
            return evidence;
        };
        self.clear_leaderless(group);
        let store_contact = directory
            .last_store_contact()
            .filter(|contact| now.millis_since(*contact) < STORE_CONTACT_MAX_AGE_MS);
        evidence.failing_since = known.health.failing_since;
        evidence.refuses_connections = known.health.is_refusing;
        evidence.is_leaving = known.is_leaving;
        evidence.is_zone_evacuated = self.must_leave_zone(&known);
        if self.engine.runs_statements_on(&known.record) {
            let statements = &known.health.statements;
            let silent_since = known.health.unresponsive_since();
            // Statements that wait for a warm-up credit of a cold instance hang as well.
            let is_unresponsive = statements.has_repeated_silence() && !known.warm_up_status.is_cold(now);
            evidence.unresponsive_since = silent_since.filter(|_| is_unresponsive);
            evidence.is_outlier = statements.is_outlier(now);
        }
        if let Some(reachability) = directory.peer_report(&known.record.name, PEER_REPORT_MAX_AGE_MS) {
            evidence.peers_reaching = reachability.reaching;
            evidence.peers_failing = reachability.failing;
        }
        // The heartbeat age is measured up to the last answer from the store, because the
        // record may have been renewed since.
        evidence.heartbeat_age_ms = store_contact.map(|contact| contact.millis_since(known.last_seen));
        evidence
    }

    /// Returns whether a leader must hand over because its zone is being evacuated and another
    /// instance of the group can take over.
    fn must_leave_zone(&self, leader: &KnownInstance) -> bool {
        let directory = &self.engine.directory;
        if directory.evacuated_since(&leader.record.zone).is_none() {
            return false;
        }
        let is_successor = |known: &KnownInstance| {
            known.record.name != leader.record.name
                && !known.health.is_unhealthy()
                && !known.is_removed
                && known.health.failing_since.is_none()
                && self
                    .engine
                    .check_eligibility(known, InstanceUse::Replica, &AllowedRegions::Any)
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

    fn clear_leaderless(&self, group: &GroupName) {
        self.leaderless
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(group);
    }
}

/// Starts a cooldown for `group` unless the previous one, of `cooldown_ms`, is still running.
/// Returns whether it was started.
fn try_start_cooldown(
    cooldowns: &Mutex<HashMap<GroupName, Instant>>,
    group: &GroupName,
    cooldown_ms: u64,
) -> bool {
    let now = clock::now();
    let mut cooldowns = cooldowns.lock().unwrap_or_else(PoisonError::into_inner);
    let is_active = cooldowns
        .get(group)
        .is_some_and(|started| now.millis_since(*started) < cooldown_ms);
    if !is_active {
        cooldowns.insert(group.clone(), now);
    }
    !is_active
}
