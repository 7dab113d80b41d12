//! Replaces the leader of a group: claims failover ownership, and requests the promotion of the
//! selected replica until a new leader is confirmed.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use millwind_core::Instant;
use millwind_core::failover::ReplaceReason;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::lead_permit::term_to_close;
use millwind_core::position::Term;
use millwind_store::Store;

use super::revocation::ClosedTerm;
use super::selection::SuccessorChoice;
use super::{FailoverMonitor, health};
use crate::clock;
use crate::failover_ownership::{Claim, FailoverOwnershipError};
use crate::ports::{PromotionAnswer, PromotionOrder};

/// Additional delay per rank before a node starts a replacement.
const DELAY_PER_RANK: Duration = Duration::from_millis(500);
/// Highest rank that adds delay.
const MAX_RANK: usize = 4;
/// Timeout for a request to the promotion service.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for a promoted replica to prove that it leads, in milliseconds.
const TAKEOVER_TIMEOUT_MS: u64 = 2_500;
/// Maximum number of promotion attempts per replacement.
const MAX_ATTEMPTS: usize = 8;
/// Age after which a successor must be chosen again, in milliseconds.
const CHOICE_MAX_AGE_MS: u64 = 250;
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A replacement of the leader of one group.
pub(super) struct Replacement {
    pub group: GroupName,
    /// The leader to replace; `None` if the group has no known leader.
    pub old_leader: Option<InstanceName>,
    /// Why the leader is replaced.
    pub reason: ReplaceReason,
}

impl Replacement {
    pub(super) fn old_leader_name(&self) -> &str {
        self.old_leader.as_ref().map_or("none", |name| name.as_str())
    }

    pub(super) fn is_old_leader(&self, instance: &InstanceName) -> bool {
        self.old_leader.as_ref() == Some(instance)
    }
}

/// Outcome of one promotion attempt.
enum OrderOutcome {
    /// The chosen replica leads.
    Replaced,
    /// Retry without this replica.
    RetryWithout(InstanceName),
    Retry,
    /// Stop, because another node has taken over or nothing is left to do.
    Abandon,
}

impl<S: Store + 'static> FailoverMonitor<S> {
    /// Carries out a replacement, unless another node does so or the leader recovers.
    pub(super) async fn replace(self: &Arc<Self>, replacement: &Replacement) {
        let group = &replacement.group;
        let rank = match &replacement.old_leader {
            Some(leader) if replacement.reason.is_detected_by_statements() => {
                self.connection_owner_rank(leader)
            }
            _ => self.failover_rank(group),
        };
        info!(
            "event=leader_lost group={group} instance={} reason={} rank={rank}",
            replacement.old_leader_name(),
            replacement.reason.name()
        );
        tokio::time::sleep(DELAY_PER_RANK * rank as u32).await;
        tokio::time::sleep(self.remaining_lease(group)).await;
        let started = clock::now();
        let mut excluded = HashSet::new();
        for attempt in 0..MAX_ATTEMPTS {
            if self.is_resolved(replacement) {
                return;
            }
            let is_first = attempt == 0;
            let outcome = if !self.engine.directory.is_fenced() {
                self.order_unfenced_promotion(replacement, &excluded, is_first)
                    .await
            } else if self.is_synchronous(group) {
                self.order_synchronous_promotion(replacement, &excluded, is_first)
                    .await
            } else {
                self.order_promotion(replacement, &excluded, is_first).await
            };
            match outcome {
                OrderOutcome::Replaced => {
                    info!(
                        "event=leader_replaced group={group} lost={} ms={}",
                        replacement.old_leader_name(),
                        clock::now().millis_since(started)
                    );
                    return;
                }
                OrderOutcome::Abandon => return,
                OrderOutcome::RetryWithout(instance) => {
                    excluded.insert(instance);
                }
                OrderOutcome::Retry => {}
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the position of this node in the order in which nodes start a replacement. The
    /// failover owner is first.
    pub(super) fn failover_rank(&self, group: &GroupName) -> usize {
        if self.ownership.is_holder(group) {
            return 0;
        }
        let rank = self.engine.registry.rank(group.as_str());
        let owner_goes_first = usize::from(self.ownership.get(group).is_some());
        (rank + owner_goes_first).min(MAX_RANK)
    }

    /// Returns the rank of this node among the owners of connections to `leader`. Only owners
    /// run statements on the leader and can see that these hang or fail.
    fn connection_owner_rank(&self, leader: &InstanceName) -> usize {
        let Some(known) = self.engine.directory.instance(leader) else {
            return MAX_RANK;
        };
        let ranked = self.engine.owners.ranked(&self.engine.registry, &known.record);
        let index = ranked.iter().position(|owner| owner.is_self);
        index.unwrap_or(MAX_RANK).min(MAX_RANK)
    }

    /// Returns the remaining time of another node's lease on failover ownership. Two nodes
    /// must not act as the owner of a group within one lease.
    fn remaining_lease(&self, group: &GroupName) -> Duration {
        let lease_ms = self.engine.settings.duty_lease_ms;
        match self.ownership.get(group) {
            Some(ownership) if !self.ownership.is_holder(group) => {
                clock::until(ownership.observed_at.plus_millis(lease_ms))
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns whether the replacement is complete or no longer needed.
    fn is_resolved(&self, replacement: &Replacement) -> bool {
        if self.ownership.has_recent_promotion_by_other(&replacement.group) {
            return true;
        }
        let directory = &self.engine.directory;
        let leader = directory.leader(&replacement.group);
        if replacement.reason.is_planned_move() {
            return self.is_move_over(replacement, leader.as_ref());
        }
        let Some(leader) = leader else {
            return false;
        };
        if !replacement.is_old_leader(&leader.instance) {
            return true;
        }
        if self.has_unfinished_order(&replacement.group, Some(&leader.instance)) {
            return false;
        }
        directory.instance(&leader.instance).is_some_and(|known| {
            let health = &known.health;
            health.failing_since.is_none()
                && !health.is_unhealthy()
                && !known.is_leaving
                && !self.must_leave_zone(&known)
        })
    }

    /// Probes the group, since an earlier promotion may have taken effect, and returns whether
    /// the replacement is complete or no longer needed.
    async fn is_resolved_after_probe(&self, replacement: &Replacement) -> bool {
        health::probe_group(&self.engine, &replacement.group).await;
        self.is_resolved(replacement)
    }

    /// Attempts one promotion. The first attempt of the failover owner uses its held token, so
    /// that it works while the store is unavailable. Later attempts need a higher token, so that a
    /// delayed earlier request is rejected.
    async fn order_promotion(
        self: &Arc<Self>,
        replacement: &Replacement,
        excluded: &HashSet<InstanceName>,
        is_first: bool,
    ) -> OrderOutcome {
        let group = &replacement.group;
        let Some(choice) = self.select_successor(replacement, excluded).await else {
            return OrderOutcome::Retry;
        };
        let chosen_at = clock::now();
        let held = self.ownership.held_token(group);
        if let (Some(token), true, true) = (held, is_first, choice.has_majority) {
            self.record_order_in_background(group, &choice.instance);
            return self.promote(group, choice, token).await;
        }
        let claim = Claim::Promote(choice.instance.clone());
        let token = match self.ownership.take(group, claim).await {
            Ok(token) => token,
            Err(FailoverOwnershipError::Taken) => return OrderOutcome::Abandon,
            Err(FailoverOwnershipError::Store(_)) => match held {
                Some(token) if choice.has_majority => token,
                _ => return OrderOutcome::Retry,
            },
        };
        let is_old = clock::now().millis_since(chosen_at) > CHOICE_MAX_AGE_MS;
        if !is_old && choice.has_majority {
            return self.promote(group, choice, token).await;
        }
        // Releases the connections of this choice, which the next comparison needs.
        drop(choice);
        // This node may have been partitioned. Another leader may have taken over meanwhile,
        // and a promotion over that leader would lose its commits.
        if !self.refresh_instance_records().await {
            return OrderOutcome::Retry;
        }
        if self.is_resolved_after_probe(replacement).await {
            return OrderOutcome::Abandon;
        }
        match self.select_successor(replacement, excluded).await {
            Some(choice) => self.promote(group, choice, token).await,
            None => OrderOutcome::Retry,
        }
    }

    /// Attempts one promotion in a group whose commits wait for replicas. The order is recorded
    /// in the store before it is sent, and the old leader is told to step down.
    async fn order_synchronous_promotion(
        self: &Arc<Self>,
        replacement: &Replacement,
        excluded: &HashSet<InstanceName>,
        is_first: bool,
    ) -> OrderOutcome {
        let group = &replacement.group;
        if !is_first && self.is_resolved_after_probe(replacement).await {
            return OrderOutcome::Abandon;
        }
        let Some(choice) = self.select_successor(replacement, excluded).await else {
            return OrderOutcome::Retry;
        };
        let claim = Claim::Promote(choice.instance.clone());
        let token = match self.ownership.take(group, claim).await {
            Ok(token) => token,
            Err(FailoverOwnershipError::Taken) => return OrderOutcome::Abandon,
            Err(FailoverOwnershipError::Store(_)) => return OrderOutcome::Retry,
        };
        if replacement.old_leader.is_some() && replacement.reason != ReplaceReason::ConnectionRefused {
            let closed = ClosedTerm {
                group: group.clone(),
                term: self.newest_term(group, &choice),
                leader: replacement.old_leader.clone(),
                successor: choice.instance.clone(),
                is_leader_serving: false,
                token,
            };
            self.step_down_old_leader(&closed).await;
        }
        if self.has_other_receivers(replacement, &choice).await {
            self.withdraw_order(group, &choice.instance, token);
            return OrderOutcome::Retry;
        }
        self.promote(group, choice, token).await
    }

    /// Records that the order under `token` is not sent.
    fn withdraw_order(&self, group: &GroupName, chosen: &InstanceName, token: u64) {
        let earlier = self.open_orders.record(group, chosen, token);
        self.open_orders.refuse(group, earlier);
    }

    /// Attempts one promotion if promotions do not fence the old leader: first closes its term
    /// and revokes all permits for that term. Both need the store.
    async fn order_unfenced_promotion(
        self: &Arc<Self>,
        replacement: &Replacement,
        excluded: &HashSet<InstanceName>,
        is_first: bool,
    ) -> OrderOutcome {
        let group = &replacement.group;
        if !is_first && self.is_resolved_after_probe(replacement).await {
            return OrderOutcome::Abandon;
        }
        let Some(choice) = self.select_successor(replacement, excluded).await else {
            return OrderOutcome::Retry;
        };
        let chosen_at = clock::now();
        let term = self.term_to_close(group, &choice);
        // If another node closed the term before, the old leader may have recovered.
        let leader = replacement.old_leader.clone();
        let leader = leader.or_else(|| choice.reported_leader.clone());
        let leader = leader.or_else(|| self.engine.directory.last_closed_leader(group));
        let claim = Claim::CloseTerm {
            chosen: choice.instance.clone(),
            term,
            retired: leader.clone(),
        };
        let token = match self.ownership.take(group, claim).await {
            Ok(token) => token,
            Err(FailoverOwnershipError::Taken) => return OrderOutcome::Abandon,
            Err(FailoverOwnershipError::Store(_)) => return OrderOutcome::Retry,
        };
        let closed = ClosedTerm {
            group: group.clone(),
            term,
            leader,
            successor: choice.instance.clone(),
            is_leader_serving: replacement.reason.is_leader_alive(),
            token,
        };
        let incarnation = self.incarnation_of(closed.leader.as_ref());
        if !self.revoke_permits(&closed).await {
            return OrderOutcome::Abandon;
        }
        // A replica that registered before the permits were revoked may hold commits that were
        // acknowledged under them.
        let is_old = clock::now().millis_since(chosen_at) > CHOICE_MAX_AGE_MS;
        let chosen = match is_old || self.is_synchronous(group) {
            false => Some(choice),
            true => {
                drop(choice);
                self.select_successor(replacement, excluded).await
            }
        };
        let Some(choice) = chosen else {
            return OrderOutcome::Retry;
        };
        let claim = Claim::Promote(choice.instance.clone());
        match self.ownership.take(group, claim).await {
            // A restarted leader has lost its step-down, and permits for its term count again.
            Ok(_) if self.incarnation_of(closed.leader.as_ref()) != incarnation => OrderOutcome::Retry,
            Ok(token) => self.promote(group, choice, token).await,
            Err(FailoverOwnershipError::Taken) => OrderOutcome::Abandon,
            Err(FailoverOwnershipError::Store(_)) => OrderOutcome::Retry,
        }
    }

    /// Returns when the current incarnation of an instance was first seen.
    pub(super) fn incarnation_of(&self, instance: Option<&InstanceName>) -> Option<Instant> {
        self.engine.directory.incarnation_seen_at(instance?)
    }

    /// Returns the term that must be closed before `choice` is promoted.
    fn term_to_close(&self, group: &GroupName, choice: &SuccessorChoice) -> Term {
        let ownership = self.ownership.get(group);
        let has_open_order = ownership.is_some_and(|ownership| {
            ownership.record.is_ordered && ownership.record.chosen.as_ref() != Some(&choice.instance)
        });
        let closed = self.engine.directory.closed_terms(group).closed();
        term_to_close(self.newest_term(group, choice), closed, has_open_order)
    }

    /// Returns the newest term that this node has observed or an instance has reported.
    fn newest_term(&self, group: &GroupName, choice: &SuccessorChoice) -> Term {
        let observed = self.engine.directory.newest_observation(group);
        let observed = observed.map_or(Term(0), |newest| newest.position.term);
        observed.max(choice.newest_term)
    }

    /// Returns whether commits in the group wait for replicas.
    pub(super) fn is_synchronous(&self, group: &GroupName) -> bool {
        let limits = self.engine.directory.group_limits(group);
        limits.is_some_and(|limits| limits.sync_replicas > 0)
    }

    /// Reads all instance records from the store; they show which instances consider themselves
    /// leaders. Returns false if the store did not answer.
    pub(super) async fn refresh_instance_records(&self) -> bool {
        let Ok(listing) = self.ownership.list(self.codec.instances_prefix()).await else {
            return false;
        };
        for entry in listing.entries {
            let value = entry.value.as_deref();
            self.engine
                .handle_instance_document(&*self.codec, &entry.key, value, entry.revision);
        }
        true
    }

    /// Records a promotion under the held token in the store, in the background, so that other
    /// nodes learn of it.
    fn record_order_in_background(self: &Arc<Self>, group: &GroupName, chosen: &InstanceName) {
        let monitor = self.clone();
        let group = group.clone();
        let chosen = chosen.clone();
        tokio::spawn(async move { monitor.ownership.take(&group, Claim::Promote(chosen)).await });
    }

    /// Requests the promotion of the chosen replica and waits until the replica leads.
    async fn promote(&self, group: &GroupName, choice: SuccessorChoice, token: u64) -> OrderOutcome {
        if !choice.paused.are_all_paused(&self.engine.directory) {
            self.withdraw_order(group, &choice.instance, token);
            return OrderOutcome::Retry;
        }
        if self.incarnation_of(Some(&choice.instance)) != choice.incarnation {
            // The new incarnation may have lost log entries that the old one reported.
            info!(
                "event=choice_began_anew group={group} instance={}",
                choice.instance
            );
            self.withdraw_order(group, &choice.instance, token);
            return OrderOutcome::Retry;
        }
        let chosen = choice.instance;
        let order = PromotionOrder {
            group: group.clone(),
            instance: chosen.clone(),
            holder: self.engine.settings.name.clone(),
            fencing_token: token,
        };
        let earlier = self.open_orders.record(group, &chosen, token);
        self.engine.metrics.promotions.inc();
        let answer = self.promoter.promote(order, PROMOTION_TIMEOUT).await;
        self.engine.metrics.calls.count("promote", answer.name());
        info!("event=promotion_ordered group={group} instance={chosen} token={token} answer={answer:?}");
        match answer {
            PromotionAnswer::Accepted => self.await_takeover(group, &chosen).await,
            PromotionAnswer::Rejected => {
                self.open_orders.refuse(group, earlier);
                OrderOutcome::RetryWithout(chosen)
            }
            PromotionAnswer::Throttled => {
                self.open_orders.refuse(group, earlier);
                OrderOutcome::Retry
            }
            PromotionAnswer::Unknown => OrderOutcome::Retry,
        }
    }

    /// Returns the replica that an earlier order names which may still be carried out. An order
    /// for the leader that is replaced changes nothing while that leads, and where promotions
    /// fence it is refused afterwards.
    pub(super) fn open_order(&self, replacement: &Replacement) -> Option<InstanceName> {
        let recorded = self.ownership.get(&replacement.group);
        let named = self
            .open_orders
            .open_order(&replacement.group, recorded.as_ref())?;
        (!replacement.is_old_leader(&named)).then_some(named)
    }

    /// Waits until the chosen replica has proved that it leads.
    async fn await_takeover(&self, group: &GroupName, chosen: &InstanceName) -> OrderOutcome {
        let deadline = clock::now().plus_millis(TAKEOVER_TIMEOUT_MS);
        while clock::now() < deadline {
            let leader = self.engine.directory.leader(group);
            if leader.is_some_and(|leader| leader.instance == *chosen) {
                self.open_orders.close(group);
                return OrderOutcome::Replaced;
            }
            let step = clock::now().plus_millis(100).min(deadline);
            self.engine.directory.leaders_changed(step).await;
        }
        warn!("event=take_over_late group={group} instance={chosen}");
        OrderOutcome::Retry
    }
}
