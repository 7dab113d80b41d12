//! Compares the replicas of a group and selects the one to promote.

use std::collections::HashSet;
use std::time::Duration;

use futures::future::join_all;
use log::info;
use millwind_core::Instant;
use millwind_core::failover::ReplaceReason;
use millwind_core::ids::InstanceName;
use millwind_core::position::{Position, Term};
use millwind_core::successor::{
    NoSuccessor, Successor, SuccessorRequirements, choose_successor, confirms_pause,
};
use millwind_store::Store;

use super::pauses::PausedReplicas;
use super::replacement::Replacement;
use super::{FailoverMonitor, health};
use crate::clock;
use crate::directory::KnownInstance;
use crate::statement::{Command, InstanceStatus};
use crate::term_closing::ask_status_with_connection;

/// Delay before the positions of replicas are read when a healthy leader is moved, so that they
/// can receive its last reported position. Without the delay no replica of a busy group would
/// ever hold that position.
const CATCH_UP_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of times that receivers are paused and the instance records are read in one
/// comparison.
const MAX_PAUSE_ROUNDS: usize = 4;

/// The replica chosen for promotion, and the answers on which the choice is based.
pub(super) struct SuccessorChoice {
    /// The chosen replica.
    pub instance: InstanceName,
    /// When the current incarnation of the instance was first seen, as known before the
    /// instance reported its position. `None` for the first incarnation.
    pub incarnation: Option<Instant>,
    /// Whether more than half of the group's instances answered. Otherwise this node may be on
    /// the minority side of a partition.
    pub has_majority: bool,
    /// The newest term reported by any instance.
    pub newest_term: Term,
    /// An instance that reported itself as the leader.
    pub reported_leader: Option<InstanceName>,
    /// The replicas that must remain paused for the compared positions to stay valid.
    pub paused: PausedReplicas,
    /// All replicas that were asked to pause.
    pub asked: HashSet<InstanceName>,
}

/// Answers of the replicas that were compared.
#[derive(Default)]
struct ReplicaAnswers {
    /// The replicas as known before they were asked, with their answers.
    answered: Vec<(KnownInstance, InstanceStatus)>,
    paused: PausedReplicas,
    /// All replicas that were asked.
    asked: HashSet<InstanceName>,
}

impl ReplicaAnswers {
    fn extend(&mut self, other: ReplicaAnswers) {
        self.answered.extend(other.answered);
        self.paused.extend(other.paused);
        self.asked.extend(other.asked);
    }

    /// Returns the newest term that an instance has reported.
    fn newest_term(&self) -> Term {
        let statuses = self.answered.iter().map(|(_, status)| status);
        let terms = statuses.map(|status| Term(status.term).max(status.received.term));
        terms.max().unwrap_or_default()
    }
}

impl<S: Store + 'static> FailoverMonitor<S> {
    /// Chooses the replica to promote by the positions that the replicas have received.
    pub(super) async fn select_successor(
        &self,
        replacement: &Replacement,
        excluded: &HashSet<InstanceName>,
    ) -> Option<SuccessorChoice> {
        let sync_replicas = self
            .engine
            .directory
            .group_limits(&replacement.group)?
            .sync_replicas;
        let is_synchronous = sync_replicas > 0;
        if replacement.reason.is_planned_move() && is_synchronous {
            // The leader is healthy and its commits wait for the replicas, so replicas are
            // paused only once a suitable one is known.
            self.select_successor_by(replacement, excluded, false).await?;
        }
        self.select_successor_by(replacement, excluded, is_synchronous)
            .await
    }

    /// Chooses the replica to promote by the answers of the replicas, which stop receiving if
    /// `pauses` is set.
    async fn select_successor_by(
        &self,
        replacement: &Replacement,
        excluded: &HashSet<InstanceName>,
        pauses: bool,
    ) -> Option<SuccessorChoice> {
        let group = &replacement.group;
        let required_position = if replacement.reason.is_planned_move() {
            Some(self.acknowledged_position(replacement).await?)
        } else if pauses {
            // The pauses keep the leader from acknowledging more, but not from committing more.
            None
        } else {
            self.required_position(replacement)
        };
        let sync_replicas = self.engine.directory.group_limits(group)?.sync_replicas;
        if replacement.reason.is_planned_move() {
            tokio::time::sleep(CATCH_UP_DELAY).await;
        }
        let answers = match pauses {
            true => self.pause_receivers(replacement).await?,
            false => {
                let replicas = self.replicas_to_ask(replacement, excluded, sync_replicas);
                self.ask_replicas(replicas, Command::Status).await
            }
        };
        let requirements = SuccessorRequirements {
            sync_replicas,
            receivers: self.other_instances(replacement).len(),
            former_receivers: self.engine.directory.former_receivers(group),
            must_hold: required_position,
            open_order: self.open_order(replacement).filter(|_| pauses),
        };
        self.choose_among(replacement, answers, excluded, &requirements)
    }

    /// Pauses all receivers, and reads the instance records after that. Repeats both for
    /// receivers that have registered in the meantime. Returns `None` if the store does not
    /// answer, if one of the instances leads, or if receivers keep registering.
    async fn pause_receivers(&self, replacement: &Replacement) -> Option<ReplicaAnswers> {
        let group = &replacement.group;
        let newest = self.engine.directory.newest_observation(group);
        let mut pause_term = newest.map_or(Term(1), |newest| Term(newest.position.term.0 + 1));
        let mut answers = ReplicaAnswers::default();
        for round in 0..MAX_PAUSE_ROUNDS {
            let mut receivers = self.other_instances(replacement);
            receivers.retain(|known| !answers.asked.contains(&known.record.name));
            if receivers.is_empty() && round > 0 {
                return Some(answers);
            }
            let command = Command::Pause { term: pause_term.0 };
            answers.extend(self.ask_replicas(receivers, command).await);
            if let Some(leader) = self.newer_leader(&answers) {
                info!("event=other_instance_leads group={group} instance={leader}");
                health::probe_group(&self.engine, group).await;
                return None;
            }
            let newest = answers.newest_term();
            if !confirms_pause(newest, pause_term) {
                info!("event=pause_ignored group={group} term={pause_term} newest_term={newest}");
                pause_term = Term(newest.0 + 1);
                answers = ReplicaAnswers::default();
                continue;
            }
            if !self.refresh_instance_records().await {
                return None;
            }
        }
        info!(
            "event=receivers_keep_registering group={group} asked={}",
            answers.asked.len()
        );
        None
    }

    /// Reads the instance records, and returns whether there may be receivers that were not
    /// compared for `choice`.
    pub(super) async fn has_other_receivers(
        &self,
        replacement: &Replacement,
        choice: &SuccessorChoice,
    ) -> bool {
        if !self.refresh_instance_records().await {
            return true;
        }
        let mut receivers = self.other_instances(replacement).into_iter();
        let other = receivers.find(|known| !choice.asked.contains(&known.record.name));
        if let Some(known) = &other {
            info!(
                "event=receiver_registered group={} instance={}",
                replacement.group, known.record.name
            );
        }
        other.is_some()
    }

    /// Returns the instance that leads the newest term by its own answer, if any. Where
    /// promotions do not fence, that may be the old leader of a closed term.
    fn newer_leader(&self, answers: &ReplicaAnswers) -> Option<InstanceName> {
        let newest = answers.newest_term();
        let mut statuses = answers.answered.iter();
        let leads = |status: &InstanceStatus| status.is_leader && Term(status.term) == newest;
        let (known, _) = statuses.find(|(_, status)| leads(status))?;
        self.engine
            .directory
            .is_fenced()
            .then(|| known.record.name.clone())
    }

    /// Returns all known instances of the group except the old leader.
    fn other_instances(&self, replacement: &Replacement) -> Vec<KnownInstance> {
        let mut known = self.engine.directory.instances_of(&replacement.group);
        known.retain(|known| !replacement.is_old_leader(&known.record.name));
        known
    }

    fn replicas_to_ask(
        &self,
        replacement: &Replacement,
        excluded: &HashSet<InstanceName>,
        sync_replicas: usize,
    ) -> Vec<KnownInstance> {
        let mut replicas = self.other_instances(replacement);
        replicas.retain(|known| !excluded.contains(&known.record.name) && !known.is_removed);
        // With synchronous replicas the comparison needs every answer.
        if sync_replicas == 0 && replicas.iter().any(|known| !known.health.is_unhealthy()) {
            replicas.retain(|known| !known.health.is_unhealthy());
        }
        replicas
    }

    async fn ask_replicas(&self, replicas: Vec<KnownInstance>, command: Command<'static>) -> ReplicaAnswers {
        let requests = replicas
            .iter()
            .map(|known| ask_status_with_connection(&self.engine, &known.record, command));
        let replies = join_all(requests).await;
        let mut answers = ReplicaAnswers::default();
        answers
            .asked
            .extend(replicas.iter().map(|known| known.record.name.clone()));
        for (known, reply) in replicas.into_iter().zip(replies) {
            let Some((status, connection)) = reply else {
                continue;
            };
            if matches!(command, Command::Pause { .. }) {
                answers.paused.add(&known, connection);
            }
            answers.answered.push((known, status));
        }
        answers
    }

    /// Chooses the replica to promote by the answers of the replicas.
    fn choose_among(
        &self,
        replacement: &Replacement,
        answers: ReplicaAnswers,
        excluded: &HashSet<InstanceName>,
        requirements: &SuccessorRequirements,
    ) -> Option<SuccessorChoice> {
        let engine = &self.engine;
        let group = &replacement.group;
        let newest_term = answers.newest_term();
        let ReplicaAnswers {
            answered,
            paused,
            asked,
        } = answers;
        let demand = engine.leader_demands.total_demand(group);
        let ownership = self.ownership.get(group);
        let previously_chosen = ownership.and_then(|ownership| ownership.record.chosen);
        let successors: Vec<_> = answered
            .iter()
            .map(|(known, status)| Successor {
                instance: known.record.name.clone(),
                received: status.received,
                is_leaving: known.is_leaving,
                is_evacuated: engine.directory.evacuated_since(&known.record.zone).is_some(),
                servable_share: demand.served_in(engine.region_of(known)),
                is_cold: known.warm_up_status.is_cold(clock::now()),
                is_named_in_order: previously_chosen.as_ref() == Some(&known.record.name),
                is_in_own_zone: known.record.zone.as_str() == engine.settings.zone,
                is_rejected: excluded.contains(&known.record.name),
            })
            .collect();
        let must_hold = requirements.must_hold.unwrap_or_default();
        if replacement.reason == ReplaceReason::Evacuated {
            info!(
                "event=leader_leaves_zone group={group} instance={} answered={} must_hold={must_hold}",
                replacement.old_leader_name(),
                answered.len(),
            );
        }
        let receivers = requirements.receivers;
        let chosen = choose_successor(&successors, requirements);
        let reason = chosen.err().map_or("placement", NoSuccessor::name);
        let chosen = chosen
            .ok()
            // A healthy leader must not be replaced by a replica that has to leave its zone
            // too.
            .filter(|chosen| !replacement.reason.is_planned_move() || !chosen.is_evacuated)
            .filter(|chosen| self.improves_placement(replacement, chosen, &demand));
        let Some(chosen) = chosen else {
            info!(
                "event=no_successor group={group} lost={} reason={reason} answered={} replicas={receivers} must_hold={must_hold}",
                replacement.old_leader_name(),
                answered.len(),
            );
            return None;
        };
        info!(
            "event=successor_chosen group={group} instance={} received={} answered={} replicas={receivers}",
            chosen.instance,
            chosen.received,
            answered.len()
        );
        let known = engine.directory.instances_of(group);
        let members = known.iter().filter(|known| !known.is_removed).count();
        let mut chosen_known = answered.iter().map(|(known, _)| known);
        let chosen_known = chosen_known.find(|known| known.record.name == chosen.instance);
        Some(SuccessorChoice {
            instance: chosen.instance.clone(),
            incarnation: chosen_known.and_then(|known| known.incarnation_seen_at),
            has_majority: answered.len() * 2 > members,
            newest_term,
            reported_leader: answered
                .iter()
                .find(|(_, status)| status.is_leader)
                .map(|(known, _)| known.record.name.clone()),
            paused,
            asked,
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
}
