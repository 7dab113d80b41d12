//! Replaces the leader of a group: asks the replicas how far they are, takes
//! the duty, and orders the promotion until a new leader is seen.

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

use super::pauses::Pauses;
use super::revocation::ClosedTerm;
use super::{Monitor, health};
use crate::clock;
use crate::directory::Known;
use crate::duty::{Claim, FailoverOwnershipError};
use crate::ports::{PromotionAnswer, PromotionOrder};
use crate::statement::{Command, InstanceStatus};
use crate::term_closing::ask_status_with_connection;

/// Each node that comes later in the order waits this much longer.
const RANK_STEP: Duration = Duration::from_millis(500);
/// No node waits longer than this many steps.
const MOST_RANKS: usize = 4;
/// The promotion service answers within this time.
const ORDER_LIMIT: Duration = Duration::from_millis(700);
/// A promoted replica leads within this time, in milliseconds.
const TAKE_OVER_MS: u64 = 2_500;
/// Orders given for one lost leader.
const MOST_ORDERS: usize = 8;
/// A choice older than this is made again, in milliseconds.
const CHOICE_MS: u64 = 250;
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Where the lead is moved though its leader serves well, replicas get this time to
/// receive what it has reported before they are asked: a few times their usual lag. On a
/// busy group none would else ever hold the newest.
const CATCH_UP: Duration = Duration::from_millis(100);

/// A chosen replica.
struct Choice {
    instance: InstanceName,
    /// Since when its life was known before it told how far it is.
    life_began: Option<Instant>,
    /// More than half of the group's instances answered; else this node may be
    /// the one that is cut off.
    is_by_majority: bool,
    /// The newest term that an instance has told of.
    newest_term: Term,
    /// Another instance that says that it leads.
    leading: Option<InstanceName>,
    /// What the comparison of positions rests on.
    pauses: Pauses,
}

/// A leader that is being replaced.
pub(super) struct LostLeader {
    /// Its group.
    pub group: GroupName,
    /// The leader; none where the group has none.
    pub instance: Option<InstanceName>,
    /// Why it is replaced.
    pub reason: ReplaceReason,
}

impl LostLeader {
    pub(super) fn name(&self) -> &str {
        self.instance.as_ref().map_or("none", |name| name.as_str())
    }

    pub(super) fn is(&self, instance: &InstanceName) -> bool {
        self.instance.as_ref() == Some(instance)
    }
}

/// How one order ended.
enum Ended {
    /// Another leader is known.
    Replaced,
    /// Try again, without the chosen replica.
    Without(InstanceName),
    /// Try again.
    Again,
    /// Leave it to others.
    Yield,
}

impl<S: Store + 'static> Monitor<S> {
    /// Replaces `lost`, unless another node does or it comes back.
    pub(super) async fn replace(self: &Arc<Self>, lost: &LostLeader) {
        let group = &lost.group;
        let rank = match &lost.instance {
            Some(leader) if lost.reason.is_detected_by_statements() => self.owner_rank(leader),
            _ => self.rank(group),
        };
        info!(
            "event=leader_lost group={group} instance={} reason={} rank={rank}",
            lost.name(),
            lost.reason.name()
        );
        tokio::time::sleep(RANK_STEP * rank as u32).await;
        tokio::time::sleep(self.lease_left(group)).await;
        let started = clock::now();
        let mut excluded = HashSet::new();
        for attempt in 0..MOST_ORDERS {
            if self.is_settled(lost) {
                return;
            }
            let ended = match self.engine.directory.is_fenced() {
                true => self.order(lost, &excluded, attempt == 0).await,
                false => self.order_unfenced(lost, &excluded, attempt == 0).await,
            };
            match ended {
                Ended::Replaced => {
                    info!(
                        "event=leader_replaced group={group} lost={} ms={}",
                        lost.name(),
                        clock::now().millis_since(started)
                    );
                    return;
                }
                Ended::Yield => return,
                Ended::Without(instance) => {
                    excluded.insert(instance);
                }
                Ended::Again => {}
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// The holder of the duty goes first; others follow in an agreed order.
    pub(super) fn rank(&self, group: &GroupName) -> usize {
        if self.duties.held_token(group).is_some() {
            return 0;
        }
        let rank = self.engine.registry.rank(group.as_str());
        let holder_goes_first = usize::from(self.duties.get(group).is_some());
        (rank + holder_goes_first).min(MOST_RANKS)
    }

    /// Owners of a leader's connections run statements there: they alone notice
    /// how these end, and go in the order of their ownership.
    fn owner_rank(&self, leader: &InstanceName) -> usize {
        let Some(known) = self.engine.directory.instance(leader) else {
            return MOST_RANKS;
        };
        let ranked = self.engine.owners.ranked(&self.engine.registry, &known.record);
        let index = ranked.iter().position(|owner| owner.is_self);
        index.unwrap_or(MOST_RANKS).min(MOST_RANKS)
    }

    /// How long another holder's lease on the duty may still run: where the
    /// platform sets one, two holders must not act within it.
    fn lease_left(&self, group: &GroupName) -> Duration {
        let lease_ms = self.engine.settings.duty_lease_ms;
        match self.duties.get(group) {
            Some(duty) if self.duties.held_token(group).is_none() => {
                clock::until(duty.observed_at.plus_millis(lease_ms))
            }
            _ => Duration::ZERO,
        }
    }

    /// Whether there is nothing left to do.
    fn is_settled(&self, lost: &LostLeader) -> bool {
        if self.duties.has_recent_promotion_by_other(&lost.group) {
            return true;
        }
        let directory = &self.engine.directory;
        let leader = directory.leader(&lost.group);
        if lost.reason.is_planned_move() {
            return self.is_move_over(lost, leader.as_ref());
        }
        let Some(leader) = leader else {
            return false;
        };
        if !lost.is(&leader.instance) {
            return true;
        }
        directory.instance(&leader.instance).is_some_and(|known| {
            let contact = &known.contact;
            contact.failing_since.is_none()
                && !contact.is_sick()
                && !known.is_leaving
                && !self.must_leave_zone(&known)
        })
    }

    /// Orders one promotion. The first order of a holder goes out under the
    /// token it has, also while the store is out; a later one needs a higher
    /// token, so that an earlier order carried out late is refused.
    async fn order(
        self: &Arc<Self>,
        lost: &LostLeader,
        excluded: &HashSet<InstanceName>,
        is_first: bool,
    ) -> Ended {
        let group = &lost.group;
        let Some(choice) = self.choose(lost, excluded).await else {
            return Ended::Again;
        };
        let chosen_at = clock::now();
        let held = self.duties.held_token(group);
        if let (Some(token), true, true) = (held, is_first, choice.is_by_majority) {
            self.record_in_background(group, &choice.instance);
            return self.promote(group, choice, token).await;
        }
        let claim = Claim::Promote(choice.instance.clone());
        let token = match self.duties.take(group, claim).await {
            Ok(token) => token,
            Err(FailoverOwnershipError::Taken) => return Ended::Yield,
            Err(FailoverOwnershipError::Store(_)) => match held {
                Some(token) if choice.is_by_majority => token,
                _ => return Ended::Again,
            },
        };
        let is_old = clock::now().millis_since(chosen_at) > CHOICE_MS;
        if !is_old && choice.is_by_majority {
            return self.promote(group, choice, token).await;
        }
        // Its connections are wanted for the next comparison.
        drop(choice);
        // This node may have been cut off: another leader may have taken over
        // meanwhile, and promoting over it would undo its commits.
        if !self.read_records().await {
            return Ended::Again;
        }
        health::search(&self.engine, group).await;
        if self.is_settled(lost) {
            return Ended::Yield;
        }
        match self.choose(lost, excluded).await {
            Some(choice) => self.promote(group, choice, token).await,
            None => Ended::Again,
        }
    }

    /// Orders one promotion where the old leader does not lose its lead by it:
    /// its term is closed first, and every permit for it revoked. All this is
    /// agreed through the store; without it nothing is ordered.
    async fn order_unfenced(
        self: &Arc<Self>,
        lost: &LostLeader,
        excluded: &HashSet<InstanceName>,
        is_first: bool,
    ) -> Ended {
        let group = &lost.group;
        if !is_first {
            // The last order may have been carried out.
            health::search(&self.engine, group).await;
            if self.is_settled(lost) {
                return Ended::Yield;
            }
        }
        let Some(choice) = self.choose(lost, excluded).await else {
            return Ended::Again;
        };
        let chosen_at = clock::now();
        let term = self.term_to_close(group, &choice);
        // Where another node closed the term before, its leader may be back.
        let leader = lost.instance.clone();
        let leader = leader.or_else(|| choice.leading.clone());
        let leader = leader.or_else(|| self.engine.directory.retired(group));
        let claim = Claim::CloseTerm {
            chosen: choice.instance.clone(),
            term,
            retired: leader.clone(),
        };
        let token = match self.duties.take(group, claim).await {
            Ok(token) => token,
            Err(FailoverOwnershipError::Taken) => return Ended::Yield,
            Err(FailoverOwnershipError::Store(_)) => return Ended::Again,
        };
        let closed = ClosedTerm {
            group: group.clone(),
            term,
            leader,
            successor: choice.instance.clone(),
            is_live: lost.reason.is_leader_alive(),
            token,
        };
        let life = self.life_of(closed.leader.as_ref());
        if !self.revoke(&closed).await {
            return Ended::Yield;
        }
        let is_old = clock::now().millis_since(chosen_at) > CHOICE_MS;
        let chosen = match is_old {
            false => Some(choice),
            true => {
                drop(choice);
                self.choose(lost, excluded).await
            }
        };
        let Some(choice) = chosen else {
            return Ended::Again;
        };
        let claim = Claim::Promote(choice.instance.clone());
        match self.duties.take(group, claim).await {
            // It has forgotten that it stepped down: permits for its term count again.
            Ok(_) if self.life_of(closed.leader.as_ref()) != life => Ended::Again,
            Ok(token) => self.promote(group, choice, token).await,
            Err(FailoverOwnershipError::Taken) => Ended::Yield,
            Err(FailoverOwnershipError::Store(_)) => Ended::Again,
        }
    }

    /// Since when the present life of an instance is known.
    pub(super) fn life_of(&self, instance: Option<&InstanceName>) -> Option<Instant> {
        self.engine.directory.life_began(instance?)
    }

    /// The term that must be closed before `choice` is promoted.
    fn term_to_close(&self, group: &GroupName, choice: &Choice) -> Term {
        let directory = &self.engine.directory;
        let observed = directory.newest_observation(group);
        let observed = observed.map_or(Term(0), |newest| newest.position.term);
        let duty = self.duties.get(group);
        let has_open_order = duty.is_some_and(|duty| {
            duty.record.is_ordered && duty.record.chosen.as_ref() != Some(&choice.instance)
        });
        let closed = directory.closed_terms(group).closed();
        term_to_close(observed.max(choice.newest_term), closed, has_open_order)
    }

    /// Reads all instances' records from the store, which tell who sees itself
    /// as a leader; false if the store gave no answer.
    async fn read_records(&self) -> bool {
        let Ok(listing) = self.duties.list(self.codec.instances_prefix()).await else {
            return false;
        };
        for entry in listing.entries {
            let value = entry.value.as_deref();
            self.engine
                .handle_instance_document(&*self.codec, &entry.key, value, entry.revision);
        }
        true
    }

    /// Tells the other nodes of an order under the token that was held.
    fn record_in_background(self: &Arc<Self>, group: &GroupName, chosen: &InstanceName) {
        let monitor = self.clone();
        let group = group.clone();
        let chosen = chosen.clone();
        tokio::spawn(async move { monitor.duties.take(&group, Claim::Promote(chosen)).await });
    }

    /// Orders the promotion, and waits until the replica leads.
    async fn promote(&self, group: &GroupName, choice: Choice, token: u64) -> Ended {
        if !choice.pauses.hold(&self.engine.directory) {
            return Ended::Again;
        }
        if self.life_of(Some(&choice.instance)) != choice.life_began {
            // The one that lives now may hold less than was told.
            info!(
                "event=choice_began_anew group={group} instance={}",
                choice.instance
            );
            return Ended::Again;
        }
        let chosen = choice.instance;
        let order = PromotionOrder {
            group: group.clone(),
            instance: chosen.clone(),
            holder: self.engine.settings.name.clone(),
            fencing_token: token,
        };
        self.engine.metrics.promotions.inc();
        let answer = self.promoter.promote(order, ORDER_LIMIT).await;
        self.engine.metrics.calls.count("promote", answer.name());
        info!("event=promotion_ordered group={group} instance={chosen} token={token} answer={answer:?}");
        match answer {
            PromotionAnswer::Accepted => self.await_take_over(group, &chosen).await,
            PromotionAnswer::Rejected => Ended::Without(chosen),
            PromotionAnswer::Throttled | PromotionAnswer::Unknown => Ended::Again,
        }
    }

    /// Waits until the chosen replica has proved its lead.
    async fn await_take_over(&self, group: &GroupName, chosen: &InstanceName) -> Ended {
        let deadline = clock::now().plus_millis(TAKE_OVER_MS);
        while clock::now() < deadline {
            let leader = self.engine.directory.leader(group);
            if leader.is_some_and(|leader| leader.instance == *chosen) {
                return Ended::Replaced;
            }
            let step = clock::now().plus_millis(100).min(deadline);
            self.engine.directory.leaders_changed(step).await;
        }
        warn!("event=take_over_late group={group} instance={chosen}");
        Ended::Again
    }

    /// The replica that takes over, by what each has received.
    async fn choose(&self, lost: &LostLeader, excluded: &HashSet<InstanceName>) -> Option<Choice> {
        let sync_replicas = self.engine.directory.group_limits(&lost.group)?.sync_replicas;
        let pause = self.pause_command(&lost.group, sync_replicas);
        if lost.reason.is_planned_move() && sync_replicas > 0 {
            // The leader serves well: replicas stop receiving only once one of them is
            // known to be fit, since its commits wait for them.
            self.choose_by(lost, excluded, Command::Status).await?;
        }
        self.choose_by(lost, excluded, pause).await
    }

    /// The same by the answers to `question`.
    async fn choose_by(
        &self,
        lost: &LostLeader,
        excluded: &HashSet<InstanceName>,
        question: Command<'static>,
    ) -> Option<Choice> {
        let engine = &self.engine;
        let group = &lost.group;
        let must_hold = match lost.reason.is_planned_move() {
            true => Some(self.told_by_leader(lost).await?),
            false => self.must_hold(lost),
        };
        let sync_replicas = engine.directory.group_limits(group)?.sync_replicas;
        let known = engine.directory.instances_of(group);
        let mut replicas: Vec<_> = known
            .iter()
            .filter(|known| !lost.is(&known.record.name))
            .filter(|known| !excluded.contains(&known.record.name))
            .filter(|known| !known.is_gone)
            .collect();
        // With synchronous replicas every answer counts for the comparison.
        if sync_replicas == 0 && replicas.iter().any(|known| !known.contact.is_sick()) {
            replicas.retain(|known| !known.contact.is_sick());
        }
        let demand = engine.leader_demands.total_demand(group);
        let worth_in = |known: &Known| demand.served_in(engine.region_of(known));
        if lost.reason.is_planned_move() {
            tokio::time::sleep(CATCH_UP).await;
        }
        let questions = replicas
            .iter()
            .map(|known| ask_status_with_connection(engine, &known.record, question));
        let answers = join_all(questions).await;
        let mut pauses = Pauses::default();
        let mut answered = Vec::new();
        for (known, answer) in replicas.iter().zip(answers) {
            let Some((status, connection)) = answer else {
                continue;
            };
            if matches!(question, Command::Pause { .. }) {
                pauses.add(known, connection);
            }
            answered.push((known, status));
        }
        let named_before = self.duties.get(group).and_then(|duty| duty.record.chosen);
        let successors: Vec<_> = answered
            .iter()
            .map(|(known, status)| Successor {
                instance: known.record.name.clone(),
                received: status.received,
                is_leaving: known.is_leaving,
                is_evacuated: engine.directory.evacuated_since(&known.record.zone).is_some(),
                servable_share: worth_in(known),
                is_cold: known.warmth.is_cold(clock::now()),
                is_named_in_order: named_before.as_ref() == Some(&known.record.name),
                is_in_own_zone: known.record.zone.as_str() == engine.settings.zone,
            })
            .collect();
        if lost.reason == ReplaceReason::Evacuated {
            info!(
                "event=leader_leaves_zone group={group} instance={} answered={} must_hold={}",
                lost.name(),
                answered.len(),
                must_hold.unwrap_or_default()
            );
        }
        let total = known.iter().filter(|known| !lost.is(&known.record.name)).count();
        let chosen = choose_successor(&successors, total, sync_replicas, must_hold)
            // A leader that serves is not replaced by one that must go as well.
            .filter(|chosen| !lost.reason.is_planned_move() || !chosen.is_evacuated)
            .filter(|chosen| self.is_worth_the_move(lost, chosen, &demand));
        let Some(chosen) = chosen else {
            info!(
                "event=no_successor group={group} lost={} answered={} replicas={total} must_hold={}",
                lost.name(),
                answered.len(),
                must_hold.unwrap_or_default()
            );
            return None;
        };
        info!(
            "event=successor_chosen group={group} instance={} received={} answered={} replicas={total}",
            chosen.instance,
            chosen.received,
            answered.len()
        );
        let members = known.iter().filter(|known| !known.is_gone).count();
        let chosen_known = replicas.iter().find(|known| known.record.name == chosen.instance);
        Some(Choice {
            instance: chosen.instance.clone(),
            life_began: chosen_known.and_then(|known| known.life_began),
            is_by_majority: answered.len() * 2 > members,
            newest_term: newest_term(answered.iter().map(|(_, status)| status)),
            leading: answered
                .iter()
                .find(|(_, status)| status.is_leader)
                .map(|(known, _)| known.record.name.clone()),
            pauses,
        })
    }

    /// What a successor must have received: all that a leader has reported which
    /// still serves. One that leaves is given up with what it holds once half of
    /// its time is over.
    fn must_hold(&self, lost: &LostLeader) -> Option<Position> {
        if !lost.reason.is_leader_alive() {
            return None;
        }
        let directory = &self.engine.directory;
        let known = directory.instance(lost.instance.as_ref()?);
        let leaving_since = known.and_then(|known| known.leaving_since);
        let patience = self.engine.settings.drain_bound_ms / 2;
        if leaving_since.is_some_and(|since| clock::now().millis_since(since) >= patience) {
            return None;
        }
        let newest = directory.newest_observation(&lost.group)?;
        Some(newest.position)
    }

    /// Where acknowledged commits must survive, replicas stop receiving before
    /// their positions are compared.
    fn pause_command(&self, group: &GroupName, sync_replicas: usize) -> Command<'static> {
        if sync_replicas == 0 {
            return Command::Status;
        }
        let newest = self.engine.directory.newest_observation(group);
        let term = newest.map_or(1, |newest| newest.position.term.0 + 1);
        Command::Pause { term }
    }
}

/// The newest term that any of the instances has told of.
fn newest_term<'a>(statuses: impl Iterator<Item = &'a InstanceStatus>) -> Term {
    let terms = statuses.map(|status| Term(status.term).max(status.received.term));
    terms.max().unwrap_or_default()
}
