//! Moves the leader of a group to another region if region restrictions keep statements that
//! need a leader out of its current region.
//!
//! The failover owner of the group decides, from the demand of its own clients and the reports
//! of other nodes. If the owner does not answer, the first of the group's watchers that does
//! decides instead. Nodes report only while the region restrictions of a customer exclude the
//! region of the leader, so a deployment without such restrictions sends no messages.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::info;
use millwind_core::Instant;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::failover::ReplaceReason;
use millwind_core::ids::{GroupName, InstanceName, RegionName};
use millwind_core::lead_relocation::{
    LeaderDemand, LeadershipState, RETURN_COOLDOWN_MS, Relocation, decide_relocation,
};
use millwind_store::Store;
use millwind_wire::exchange::ExchangeRequest;

use super::replacement::Replacement;
use super::{FailoverMonitor, health};
use crate::catalog::ConfigSnapshot;
use crate::clock;
use crate::connection_shares::WATCHERS;
use crate::directory::KnownInstance;
use crate::eligibility::InstanceUse;
use crate::lead_terms::LeaderRegionRules;
use crate::leader_demand::encode_demand_report;
use crate::node::Engine;

/// Interval between placement checks, and between reports on one group: a third of the lifetime
/// of a report.
const CHECK_INTERVAL: Duration = Duration::from_millis(2_000);
/// Age of a leadership that has not changed since this node first saw it.
const UNCHANGED_MS: u64 = u64::MAX;

/// Leadership of one group as seen by this node.
#[derive(Debug, Default)]
struct LeadershipHistory {
    leader: Option<InstanceName>,
    /// When another instance took over; `None` while the first leader that this node saw still
    /// leads.
    leader_changed: Option<Instant>,
    /// Time of the last relocation attempt.
    last_attempt: Option<Instant>,
    /// Regions that the leadership was moved out of, with the time of each move.
    left_regions: HashMap<RegionName, Instant>,
    /// The region restrictions of the group; a change of these clears `left_regions`.
    allowed_regions: BTreeSet<AllowedRegions>,
    /// The configuration version from which `allowed_regions` was taken.
    config_version: u64,
}

impl LeadershipHistory {
    /// Records the current leader and drops expired entries of `left_regions`.
    fn record_leader(&mut self, leader: &InstanceName, now: Instant) {
        self.left_regions
            .retain(|_, since| now.millis_since(*since) < RETURN_COOLDOWN_MS);
        if self.leader.as_ref().is_some_and(|seen| seen != leader) {
            self.leader_changed = Some(now);
        }
        self.leader = Some(leader.clone());
    }

    /// Records the region restrictions of the group. If they have changed, a move back into a
    /// former region is allowed at once. Other configuration changes have no effect.
    fn record_allowed_regions(&mut self, rules: &LeaderRegionRules<'_>, group: &GroupName) {
        if self.config_version == rules.config_version {
            return;
        }
        self.config_version = rules.config_version;
        let allowed_regions: BTreeSet<_> = rules.of(group).cloned().collect();
        if self.allowed_regions != allowed_regions {
            self.left_regions.clear();
            self.allowed_regions = allowed_regions;
        }
    }
}

/// Leadership of all groups as seen by this node.
#[derive(Debug, Default)]
pub(super) struct LeadershipHistories(Mutex<HashMap<GroupName, LeadershipHistory>>);

impl LeadershipHistories {
    fn histories(&self) -> MutexGuard<'_, HashMap<GroupName, LeadershipHistory>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evaluate(
        &self,
        group: &GroupName,
        demand: &LeaderDemand,
        region: Option<&RegionName>,
        candidates: &BTreeSet<RegionName>,
    ) -> Option<Relocation> {
        let now = clock::now();
        let histories = self.histories();
        let history = histories.get(group)?;
        let age_ms = |since: Instant| now.millis_since(since);
        let state = LeadershipState {
            region,
            unchanged_ms: history.leader_changed.map_or(UNCHANGED_MS, age_ms),
            since_attempt_ms: history.last_attempt.map(age_ms),
            candidates,
            left_regions: &history.left_regions.keys().cloned().collect(),
        };
        decide_relocation(demand, &state)
    }

    fn record_attempt(&self, group: &GroupName) {
        if let Some(history) = self.histories().get_mut(group) {
            history.last_attempt = Some(clock::now());
        }
    }

    fn record_departure(&self, group: &GroupName, region: Option<&RegionName>) {
        let mut histories = self.histories();
        if let (Some(history), Some(region)) = (histories.get_mut(group), region) {
            history.left_regions.insert(region.clone(), clock::now());
        }
    }
}

impl<S: Store + 'static> FailoverMonitor<S> {
    /// Checks the placement of leaders periodically. Returns at once if relocation is disabled,
    /// and never otherwise.
    pub async fn run_relocation(self: Arc<Self>) {
        if !self.engine.settings.relocates_leads {
            return;
        }
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            // No leader is relocated unless some restrictions exclude a region.
            if !self.engine.leader_demands.is_counted() {
                continue;
            }
            let Some(config) = self.engine.directory.config() else {
                continue;
            };
            let rules = LeaderRegionRules::of_config(&config);
            for group in config.groups.keys() {
                self.check_leader_placement(&config, &rules, group);
            }
        }
    }

    /// Evaluates a relocation of one group's leader, or reports the demand to the node that
    /// decides.
    fn check_leader_placement(
        self: &Arc<Self>,
        config: &Arc<ConfigSnapshot>,
        rules: &LeaderRegionRules<'_>,
        group: &GroupName,
    ) {
        let leader = self.engine.directory.leader(group);
        let known = leader.and_then(|leader| self.engine.directory.instance(&leader.instance));
        let Some(known) = known else {
            return;
        };
        let mut histories = self.leadership_histories.histories();
        let history = histories.entry(group.clone()).or_default();
        history.record_allowed_regions(rules, group);
        history.record_leader(&known.record.name, clock::now());
        drop(histories);
        let region = self.engine.region_of(&known);
        if !rules.exclude_leader_in(group, region) {
            return;
        }
        if self.ownership.is_holder(group) {
            return self.relocate_if_beneficial(config, group, &known);
        }
        if let Some(mark) = self.running_reports.enter(group) {
            let (monitor, config) = (self.clone(), config.clone());
            tokio::spawn(async move { monitor.report_or_relocate(&config, mark.group(), &known).await });
        }
    }

    /// Reports the demand of this node's clients to the failover owner of the group. If the
    /// owner does not answer, the first watcher of the group that does decides instead; this
    /// may be the node itself.
    async fn report_or_relocate(
        self: &Arc<Self>,
        config: &ConfigSnapshot,
        group: &GroupName,
        leader: &KnownInstance,
    ) {
        let demands = &self.engine.leader_demands;
        if demands.total_demand(group).is_empty() {
            return;
        }
        let report = encode_demand_report(&self.engine.settings.name, group, &demands.own_demand(group));
        let request = ExchangeRequest::LeaderDemand(report);
        let owner = self.ownership.get(group).map(|ownership| ownership.record.holder);
        let owner = owner.and_then(|owner| self.engine.registry.address_of(&owner));
        if let Some(owner) = owner
            && self.engine.peers.ask(owner, &request).await.is_ok()
        {
            return;
        }
        for watcher in self.engine.registry.top_nodes_for(group.as_str(), WATCHERS) {
            if watcher.is_self {
                return self.relocate_if_beneficial(config, group, leader);
            }
            let is_other = Some(watcher.address) != owner;
            if is_other && self.engine.peers.ask(watcher.address, &request).await.is_ok() {
                return;
            }
        }
    }

    /// Moves the leadership if another region serves clearly more demand.
    fn relocate_if_beneficial(
        self: &Arc<Self>,
        config: &ConfigSnapshot,
        group: &GroupName,
        leader: &KnownInstance,
    ) {
        // Shutdown and failover take precedence and choose their own successor.
        if leader.is_leaving || leader.health.failing_since.is_some() {
            return;
        }
        if self.ownership.has_recent_promotion_by_other(group) {
            return;
        }
        let engine = &self.engine;
        let demand = engine.leader_demands.total_demand(group);
        let region = engine.region_of(leader).cloned();
        let is_demand_served = demand.served_in(region.as_ref()) > 0;
        let candidates = self.successor_regions(group, leader, is_demand_served);
        let decision = self
            .leadership_histories
            .evaluate(group, &demand, region.as_ref(), &candidates);
        let Some(relocation) = decision else {
            return;
        };
        let Some(mark) = self.running_replacements.enter(group) else {
            return;
        };
        self.leadership_histories.record_attempt(group);
        engine.metrics.lead_relocations.inc();
        info!(
            "event=lead_relocation group={group} leader={} zone={} region={} to_region={} worth_before={} worth_after={} config_version={}",
            leader.record.name,
            leader.record.zone,
            region.as_ref().map_or("none", RegionName::as_str),
            relocation.region,
            relocation.weight_before,
            relocation.weight_after,
            config.version,
        );
        let monitor = self.clone();
        let replacement = Replacement {
            group: group.clone(),
            old_leader: Some(leader.record.name.clone()),
            reason: ReplaceReason::Relocating,
        };
        tokio::spawn(async move {
            // Probes the group first, because the owner may know the leader only from peer
            // reports.
            health::probe_group(&monitor.engine, &replacement.group).await;
            monitor.replace(&replacement).await;
            let new_leader = monitor.engine.directory.leader(&replacement.group);
            if new_leader
                .is_some_and(|new_leader| Some(&new_leader.instance) != replacement.old_leader.as_ref())
            {
                monitor
                    .leadership_histories
                    .record_departure(&replacement.group, region.as_ref());
            }
            drop(mark);
        });
    }

    /// Returns the regions of the replicas that can take over now. Cold replicas are excluded
    /// if the leader serves part of the demand, which they would serve more slowly.
    fn successor_regions(
        &self,
        group: &GroupName,
        leader: &KnownInstance,
        is_demand_served: bool,
    ) -> BTreeSet<RegionName> {
        let engine = &self.engine;
        let known = engine.directory.instances_of(group);
        let others = known
            .iter()
            .filter(|known| known.record.name != leader.record.name);
        let present = others.filter(|known| !known.is_removed);
        let warm_enough =
            present.filter(|known| !(is_demand_served && known.warm_up_status.is_cold(clock::now())));
        let usable = warm_enough.filter(|known| {
            let eligibility = engine.check_eligibility(known, InstanceUse::Replica, &AllowedRegions::Any);
            eligibility.is_ok() && known.health.failing_since.is_none() && !known.health.is_unhealthy()
        });
        usable
            .filter_map(|known| engine.region_of(known).cloned())
            .collect()
    }
}

impl Engine {
    /// Returns the region of an instance, or `None` if its zone is not in the settings.
    pub fn region_of(&self, known: &KnownInstance) -> Option<&RegionName> {
        self.settings.topology.region_of(&known.record.zone)
    }
}
