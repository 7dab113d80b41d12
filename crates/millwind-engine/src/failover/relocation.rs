//! Moves the lead of a group to another region, where statements that need the leader
//! may not run where it stands.
//!
//! The holder of the group's duty decides, from what its own callers need and what
//! other nodes report; where it is silent, the first of the group's watchers does. They report only while some customer's terms exclude the leader's
//! region: a deployment without such terms sends no message for it.

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

use super::replacement::LostLeader;
use super::{Monitor, health};
use crate::catalog::ConfigSnapshot;
use crate::clock;
use crate::connection_shares::WATCHERS;
use crate::directory::Known;
use crate::eligibility::InstanceUse;
use crate::lead_terms::LeaderRegionRules;
use crate::leader_demand::encode_demand_report;
use crate::node::Engine;

/// Between two looks at where leaders stand, and two reports on one group: a third of
/// the time that a report counts.
const TICK: Duration = Duration::from_millis(2_000);
/// Unlike times of a hand-over, which are judged by instances, an unlimited age.
const NEVER_CHANGED_MS: u64 = u64::MAX;

/// What this node has seen of one group's lead.
#[derive(Debug, Default)]
struct LeadHistory {
    leader: Option<InstanceName>,
    /// When another instance took over; none while the first one seen leads.
    changed: Option<Instant>,
    /// When a hand-over was last tried for its regions.
    tried: Option<Instant>,
    /// Regions that the lead was moved out of, and when.
    left: HashMap<RegionName, Instant>,
    /// The terms under which that was, and the last configuration that holds them.
    terms: BTreeSet<AllowedRegions>,
    config_version: u64,
}

impl LeadHistory {
    /// Takes in who leads now, under which terms.
    fn follow(&mut self, leader: &InstanceName, now: Instant) {
        self.left
            .retain(|_, since| now.millis_since(*since) < RETURN_COOLDOWN_MS);
        if self.leader.as_ref().is_some_and(|seen| seen != leader) {
            self.changed = Some(now);
        }
        self.leader = Some(leader.clone());
    }

    /// Takes in the group's terms: under other ones the lead may go back at once. Other
    /// changes of the configuration don't move it.
    fn follow_terms(&mut self, terms: &LeaderRegionRules<'_>, group: &GroupName) {
        if self.config_version == terms.config_version {
            return;
        }
        self.config_version = terms.config_version;
        let terms: BTreeSet<_> = terms.of(group).cloned().collect();
        if self.terms != terms {
            self.left.clear();
            self.terms = terms;
        }
    }
}

/// What this node has seen of all groups' leads.
#[derive(Debug, Default)]
pub(super) struct LeadHistories(Mutex<HashMap<GroupName, LeadHistory>>);

impl LeadHistories {
    fn histories(&self) -> MutexGuard<'_, HashMap<GroupName, LeadHistory>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn judge(
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
        let facts = LeadershipState {
            region,
            unchanged_ms: history.changed.map_or(NEVER_CHANGED_MS, age_ms),
            since_attempt_ms: history.tried.map(age_ms),
            candidates,
            left_regions: &history.left.keys().cloned().collect(),
        };
        decide_relocation(demand, &facts)
    }

    fn tried(&self, group: &GroupName) {
        if let Some(history) = self.histories().get_mut(group) {
            history.tried = Some(clock::now());
        }
    }

    fn moved_out_of(&self, group: &GroupName, region: Option<&RegionName>) {
        let mut histories = self.histories();
        if let (Some(history), Some(region)) = (histories.get_mut(group), region) {
            history.left.insert(region.clone(), clock::now());
        }
    }
}

impl<S: Store + 'static> Monitor<S> {
    /// Looks at where leaders stand, for the life of the process.
    pub async fn follow_leads(self: Arc<Self>) {
        if !self.engine.settings.relocates_leads {
            return;
        }
        loop {
            tokio::time::sleep(TICK).await;
            // Where nobody's terms exclude a region no lead is moved for them.
            if !self.engine.leader_demands.is_counted() {
                continue;
            }
            let Some(config) = self.engine.directory.config() else {
                continue;
            };
            let terms = LeaderRegionRules::of_config(&config);
            for group in config.groups.keys() {
                self.look_at_lead(&config, &terms, group);
            }
        }
    }

    /// Weighs a move of one group's lead, or reports to the one who does.
    fn look_at_lead(
        self: &Arc<Self>,
        config: &Arc<ConfigSnapshot>,
        terms: &LeaderRegionRules<'_>,
        group: &GroupName,
    ) {
        let leader = self.engine.directory.leader(group);
        let known = leader.and_then(|leader| self.engine.directory.instance(&leader.instance));
        let Some(known) = known else {
            return;
        };
        let mut histories = self.lead_histories.histories();
        let history = histories.entry(group.clone()).or_default();
        history.follow_terms(terms, group);
        history.follow(&known.record.name, clock::now());
        drop(histories);
        let region = self.engine.region_of(&known);
        if !terms.exclude_leader_in(group, region) {
            return;
        }
        if self.duties.held_token(group).is_some() {
            return self.weigh(config, group, &known);
        }
        if let Some(mark) = self.reporting.enter(group) {
            let (monitor, config) = (self.clone(), config.clone());
            tokio::spawn(async move { monitor.report_or_weigh(&config, mark.group(), &known).await });
        }
    }

    /// Tells the holder of a group's duty what this node's callers need of its leader.
    /// Where that one is silent the first of the group's watchers that answers decides
    /// in its place, which may be this node.
    async fn report_or_weigh(self: &Arc<Self>, config: &ConfigSnapshot, group: &GroupName, leader: &Known) {
        let demands = &self.engine.leader_demands;
        if demands.total_demand(group).is_empty() {
            return;
        }
        let report = encode_demand_report(&self.engine.settings.name, group, &demands.own_demand(group));
        let request = ExchangeRequest::LeaderDemand(report);
        let holder = self.duties.get(group).map(|duty| duty.record.holder);
        let holder = holder.and_then(|holder| self.engine.registry.address_of(&holder));
        if let Some(holder) = holder
            && self.engine.peers.ask(holder, &request).await.is_ok()
        {
            return;
        }
        for watcher in self.engine.registry.top_nodes_for(group.as_str(), WATCHERS) {
            if watcher.is_self {
                return self.weigh(config, group, leader);
            }
            let is_other = Some(watcher.address) != holder;
            if is_other && self.engine.peers.ask(watcher.address, &request).await.is_ok() {
                return;
            }
        }
    }

    /// Hands the lead over where that serves clearly more.
    fn weigh(self: &Arc<Self>, config: &ConfigSnapshot, group: &GroupName, leader: &Known) {
        // What else happens to the lead goes first, and makes its own choice.
        if leader.is_leaving || leader.contact.failing_since.is_some() {
            return;
        }
        if self.duties.has_recent_promotion_by_other(group) {
            return;
        }
        let engine = &self.engine;
        let demand = engine.leader_demands.total_demand(group);
        let region = engine.region_of(leader).cloned();
        let is_served = demand.served_in(region.as_ref()) > 0;
        let candidates = self.regions_of_successors(group, leader, is_served);
        let judged = self
            .lead_histories
            .judge(group, &demand, region.as_ref(), &candidates);
        let Some(relocation) = judged else {
            return;
        };
        let Some(mark) = self.replacing.enter(group) else {
            return;
        };
        self.lead_histories.tried(group);
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
        let lost = LostLeader {
            group: group.clone(),
            instance: Some(leader.record.name.clone()),
            reason: ReplaceReason::Relocating,
        };
        tokio::spawn(async move {
            // A holder that watches the group no longer knows its leader by hearsay.
            health::search(&monitor.engine, &lost.group).await;
            monitor.replace(&lost).await;
            let now_leads = monitor.engine.directory.leader(&lost.group);
            if now_leads.is_some_and(|now_leads| Some(&now_leads.instance) != lost.instance.as_ref()) {
                monitor.lead_histories.moved_out_of(&lost.group, region.as_ref());
            }
            drop(mark);
        });
    }

    /// Regions of the replicas that may take over now: where the leader serves some
    /// (`is_served`), a cold one would serve these worse.
    fn regions_of_successors(
        &self,
        group: &GroupName,
        leader: &Known,
        is_served: bool,
    ) -> BTreeSet<RegionName> {
        let engine = &self.engine;
        let known = engine.directory.instances_of(group);
        let others = known
            .iter()
            .filter(|known| known.record.name != leader.record.name);
        let present = others.filter(|known| !known.is_gone);
        let fit = present.filter(|known| !(is_served && known.warmth.is_cold(clock::now())));
        let usable = fit.filter(|known| {
            let judged = engine.judge_instance(known, InstanceUse::Replica, &AllowedRegions::Any);
            judged.is_ok() && known.contact.failing_since.is_none() && !known.contact.is_sick()
        });
        usable
            .filter_map(|known| engine.region_of(known).cloned())
            .collect()
    }
}

impl Engine {
    /// The region of an instance; none where its zone is not in the settings.
    pub fn region_of(&self, known: &Known) -> Option<&RegionName> {
        self.settings.topology.region_of(&known.record.zone)
    }
}
