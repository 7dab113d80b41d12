//! Replaces the leader of a group: compares the positions of the replicas, claims failover
//! ownership, and requests the promotion of the chosen replica until a new leader is confirmed.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use log::{info, warn};
use millwind_core::Instant;
use millwind_core::failover::{ReplaceReason, Successor, choose_successor};
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::lead_permit::term_to_close;
use millwind_core::position::{Position, Term};
use millwind_store::Store;

use super::pauses::PausedReplicas;
use super::revocation::ClosedTerm;
use super::{FailoverMonitor, health};
use crate::clock;
use crate::directory::KnownInstance;
use crate::failover_ownership::{Claim, FailoverOwnershipError};
use crate::ports::{PromotionAnswer, PromotionOrder};
use crate::statement::{Command, InstanceStatus};
use crate::term_closing::ask_status_with_connection;

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
/// Delay before the positions of replicas are read when a healthy leader is moved, so that they
/// can receive its last reported position. Without the delay no replica of a busy group would
/// ever hold that position.
const CATCH_UP_DELAY: Duration = Duration::from_millis(100);

/// The replica chosen for promotion, and the answers on which the choice is based.
struct SuccessorChoice {
    instance: InstanceName,
    /// When the current incarnation of the instance was first seen, as known before the
    /// instance reported its position. `None` for the first incarnation.
    incarnation: Option<Instant>,
    /// Whether more than half of the group's instances answered. Otherwise this node may be on
    /// the minority side of a partition.
    has_majority: bool,
    /// The newest term reported by any instance.
    newest_term: Term,
    /// An instance that reported itself as the leader.
    reported_leader: Option<InstanceName>,
    /// The replicas that must remain paused for the compared positions to stay valid.
    paused: PausedReplicas,
}

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
            let outcome = match self.engine.directory.is_fenced() {
                true => self.order_promotion(replacement, &excluded, attempt == 0).await,
                false => {
                    self.order_unfenced_promotion(replacement, &excluded, attempt == 0)
                        .await
                }
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
        if self.ownership.held_token(group).is_some() {
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
            Some(ownership) if self.ownership.held_token(group).is_none() => {
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
        directory.instance(&leader.instance).is_some_and(|known| {
            let health = &known.health;
            health.failing_since.is_none()
                && !health.is_unhealthy()
                && !known.is_leaving
                && !self.must_leave_zone(&known)
        })
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
        health::probe_group(&self.engine, group).await;
        if self.is_resolved(replacement) {
            return OrderOutcome::Abandon;
        }
        match self.select_successor(replacement, excluded).await {
            Some(choice) => self.promote(group, choice, token).await,
            None => OrderOutcome::Retry,
        }
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
        if !is_first {
            // The previous promotion request may have taken effect.
            health::probe_group(&self.engine, group).await;
            if self.is_resolved(replacement) {
                return OrderOutcome::Abandon;
            }
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
        let is_old = clock::now().millis_since(chosen_at) > CHOICE_MAX_AGE_MS;
        let chosen = match is_old {
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
        let directory = &self.engine.directory;
        let observed = directory.newest_observation(group);
        let observed = observed.map_or(Term(0), |newest| newest.position.term);
        let ownership = self.ownership.get(group);
        let has_open_order = ownership.is_some_and(|ownership| {
            ownership.record.is_ordered && ownership.record.chosen.as_ref() != Some(&choice.instance)
        });
        let closed = directory.closed_terms(group).closed();
        term_to_close(observed.max(choice.newest_term), closed, has_open_order)
    }

    /// Reads all instance records from the store; they show which instances consider themselves
    /// leaders. Returns false if the store did not answer.
    async fn refresh_instance_records(&self) -> bool {
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
            return OrderOutcome::Retry;
        }
        if self.incarnation_of(Some(&choice.instance)) != choice.incarnation {
            // The new incarnation may have lost log entries that the old one reported.
            info!(
                "event=choice_began_anew group={group} instance={}",
                choice.instance
            );
            return OrderOutcome::Retry;
        }
        let chosen = choice.instance;
        let order = PromotionOrder {
            group: group.clone(),
            instance: chosen.clone(),
            holder: self.engine.settings.name.clone(),
            fencing_token: token,
        };
        self.engine.metrics.promotions.inc();
        let answer = self.promoter.promote(order, PROMOTION_TIMEOUT).await;
        self.engine.metrics.calls.count("promote", answer.name());
        info!("event=promotion_ordered group={group} instance={chosen} token={token} answer={answer:?}");
        match answer {
            PromotionAnswer::Accepted => self.await_takeover(group, &chosen).await,
            PromotionAnswer::Rejected => OrderOutcome::RetryWithout(chosen),
            PromotionAnswer::Throttled | PromotionAnswer::Unknown => OrderOutcome::Retry,
        }
    }

    /// Waits until the chosen replica has proved that it leads.
    async fn await_takeover(&self, group: &GroupName, chosen: &InstanceName) -> OrderOutcome {
        let deadline = clock::now().plus_millis(TAKEOVER_TIMEOUT_MS);
        while clock::now() < deadline {
            let leader = self.engine.directory.leader(group);
            if leader.is_some_and(|leader| leader.instance == *chosen) {
                return OrderOutcome::Replaced;
            }
            let step = clock::now().plus_millis(100).min(deadline);
            self.engine.directory.leaders_changed(step).await;
        }
        warn!("event=take_over_late group={group} instance={chosen}");
        OrderOutcome::Retry
    }

    /// Chooses the replica to promote by the positions that the replicas have received.
    async fn select_successor(
        &self,
        replacement: &Replacement,
        excluded: &HashSet<InstanceName>,
    ) -> Option<SuccessorChoice> {
        let sync_replicas = self
            .engine
            .directory
            .group_limits(&replacement.group)?
            .sync_replicas;
        let command = self.position_command(&replacement.group, sync_replicas);
        if replacement.reason.is_planned_move() && sync_replicas > 0 {
            // The leader is healthy and its commits wait for the replicas, so replicas are
            // paused only once a suitable one is known.
            self.select_successor_by(replacement, excluded, Command::Status)
                .await?;
        }
        self.select_successor_by(replacement, excluded, command).await
    }

    /// Chooses the replica to promote by the answers to `command`.
    async fn select_successor_by(
        &self,
        replacement: &Replacement,
        excluded: &HashSet<InstanceName>,
        command: Command<'static>,
    ) -> Option<SuccessorChoice> {
        let engine = &self.engine;
        let group = &replacement.group;
        let required_position = match replacement.reason.is_planned_move() {
            true => Some(self.acknowledged_position(replacement).await?),
            false => self.required_position(replacement),
        };
        let sync_replicas = engine.directory.group_limits(group)?.sync_replicas;
        let known = engine.directory.instances_of(group);
        let mut replicas: Vec<_> = known
            .iter()
            .filter(|known| !replacement.is_old_leader(&known.record.name))
            .filter(|known| !excluded.contains(&known.record.name))
            .filter(|known| !known.is_removed)
            .collect();
        // With synchronous replicas the comparison needs every answer.
        if sync_replicas == 0 && replicas.iter().any(|known| !known.health.is_unhealthy()) {
            replicas.retain(|known| !known.health.is_unhealthy());
        }
        let demand = engine.leader_demands.total_demand(group);
        let served_demand = |known: &KnownInstance| demand.served_in(engine.region_of(known));
        if replacement.reason.is_planned_move() {
            tokio::time::sleep(CATCH_UP_DELAY).await;
        }
        let requests = replicas
            .iter()
            .map(|known| ask_status_with_connection(engine, &known.record, command));
        let answers = join_all(requests).await;
        let mut paused = PausedReplicas::default();
        let mut answered = Vec::new();
        for (known, answer) in replicas.iter().zip(answers) {
            let Some((status, connection)) = answer else {
                continue;
            };
            if matches!(command, Command::Pause { .. }) {
                paused.add(known, connection);
            }
            answered.push((known, status));
        }
        let previously_chosen = self
            .ownership
            .get(group)
            .and_then(|ownership| ownership.record.chosen);
        let successors: Vec<_> = answered
            .iter()
            .map(|(known, status)| Successor {
                instance: known.record.name.clone(),
                received: status.received,
                is_leaving: known.is_leaving,
                is_evacuated: engine.directory.evacuated_since(&known.record.zone).is_some(),
                servable_share: served_demand(known),
                is_cold: known.warm_up_status.is_cold(clock::now()),
                is_named_in_order: previously_chosen.as_ref() == Some(&known.record.name),
                is_in_own_zone: known.record.zone.as_str() == engine.settings.zone,
            })
            .collect();
        if replacement.reason == ReplaceReason::Evacuated {
            info!(
                "event=leader_leaves_zone group={group} instance={} answered={} must_hold={}",
                replacement.old_leader_name(),
                answered.len(),
                required_position.unwrap_or_default()
            );
        }
        let total = known
            .iter()
            .filter(|known| !replacement.is_old_leader(&known.record.name))
            .count();
        let chosen = choose_successor(&successors, total, sync_replicas, required_position)
            // A healthy leader must not be replaced by a replica that has to leave its zone
            // too.
            .filter(|chosen| !replacement.reason.is_planned_move() || !chosen.is_evacuated)
            .filter(|chosen| self.improves_placement(replacement, chosen, &demand));
        let Some(chosen) = chosen else {
            info!(
                "event=no_successor group={group} lost={} answered={} replicas={total} must_hold={}",
                replacement.old_leader_name(),
                answered.len(),
                required_position.unwrap_or_default()
            );
            return None;
        };
        info!(
            "event=successor_chosen group={group} instance={} received={} answered={} replicas={total}",
            chosen.instance,
            chosen.received,
            answered.len()
        );
        let members = known.iter().filter(|known| !known.is_removed).count();
        let chosen_known = replicas.iter().find(|known| known.record.name == chosen.instance);
        Some(SuccessorChoice {
            instance: chosen.instance.clone(),
            incarnation: chosen_known.and_then(|known| known.incarnation_seen_at),
            has_majority: answered.len() * 2 > members,
            newest_term: newest_term(answered.iter().map(|(_, status)| status)),
            reported_leader: answered
                .iter()
                .find(|(_, status)| status.is_leader)
                .map(|(known, _)| known.record.name.clone()),
            paused,
        })
    }

    /// Returns the position that a successor must have received: the last one reported by a
    /// leader that still serves. For a leader that is shutting down the requirement is dropped
    /// after half of the drain bound.
    fn required_position(&self, replacement: &Replacement) -> Option<Position> {
        if !replacement.reason.is_leader_alive() {
            return None;
        }
        let directory = &self.engine.directory;
        let known = directory.instance(replacement.old_leader.as_ref()?);
        let leaving_since = known.and_then(|known| known.leaving_since);
        let grace_ms = self.engine.settings.drain_bound_ms / 2;
        if leaving_since.is_some_and(|since| clock::now().millis_since(since) >= grace_ms) {
            return None;
        }
        let newest = directory.newest_observation(&replacement.group)?;
        Some(newest.position)
    }

    /// Returns the command that queries the replicas. With synchronous replicas it pauses
    /// replication, so that positions stay comparable.
    fn position_command(&self, group: &GroupName, sync_replicas: usize) -> Command<'static> {
        if sync_replicas == 0 {
            return Command::Status;
        }
        let newest = self.engine.directory.newest_observation(group);
        let term = newest.map_or(1, |newest| newest.position.term.0 + 1);
        Command::Pause { term }
    }
}

/// Returns the newest term in `statuses`.
fn newest_term<'a>(statuses: impl Iterator<Item = &'a InstanceStatus>) -> Term {
    let terms = statuses.map(|status| Term(status.term).max(status.received.term));
    terms.max().unwrap_or_default()
}
