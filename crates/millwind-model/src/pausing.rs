//! Promotion in a group that acknowledges a commit once one replica has received it: no
//! acknowledged commit is lost.
//!
//! The leader continues to commit while the promoter, which cannot reach it, pauses
//! replication on the replicas, compares their positions, and promotes the most advanced
//! replica. A replica may restart with its log, and then resumes replication. The promoter
//! knows the current incarnation of each replica when it orders. An order takes effect at
//! once and fences the old leader.

use millwind_core::ids::InstanceName;
use millwind_core::invariant::Invariant;
use millwind_core::position::Position;
use millwind_core::successor::{Successor, SuccessorRequirements, choose_successor};

use crate::checker::Model;
use crate::rule::Rule;

const REPLICAS: usize = 2;
/// Number of replicas that must receive a commit before it is acknowledged.
const SYNC_REPLICAS: usize = 1;
/// Maximum number of commits.
const MAX_COMMITS: u64 = 3;
/// Maximum number of restarts of each replica.
const MAX_RESTARTS: u8 = 1;

/// The model, with at most one rule disabled.
#[derive(Debug, Clone, Copy)]
pub struct Pausing {
    /// The disabled rule.
    pub broken: Option<Rule>,
}

/// Answer of a replica to the request to pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pause {
    incarnation: u8,
    received: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Replica {
    received: u64,
    is_paused: bool,
    incarnation: u8,
    /// The last answer that the promoter has received from this replica.
    answer: Option<Pause>,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct State {
    committed: u64,
    acknowledged: u64,
    replicas: [Replica; REPLICAS],
    promoted: Option<usize>,
}

impl Pausing {
    fn replication_steps(state: &State, steps: &mut Vec<(String, State)>) {
        if state.committed < MAX_COMMITS {
            let mut next = state.clone();
            next.committed += 1;
            steps.push(("the leader commits".to_owned(), next));
        }
        for (index, replica) in state.replicas.iter().enumerate() {
            if !replica.is_paused && replica.received < state.committed {
                let mut next = state.clone();
                next.replicas[index].received += 1;
                steps.push((format!("replica {index} receives a commit"), next));
            }
        }
        let held_by = |commit: u64| {
            let holds = |replica: &&Replica| replica.received >= commit;
            state.replicas.iter().filter(holds).count()
        };
        let next_commit = state.acknowledged + 1;
        if next_commit <= state.committed && held_by(next_commit) >= SYNC_REPLICAS {
            let mut next = state.clone();
            next.acknowledged = next_commit;
            steps.push(("the leader acknowledges a commit".to_owned(), next));
        }
    }

    fn pause_steps(state: &State, steps: &mut Vec<(String, State)>) {
        for (index, replica) in state.replicas.iter().enumerate() {
            let mut next = state.clone();
            next.replicas[index].is_paused = true;
            next.replicas[index].answer = Some(Pause {
                incarnation: replica.incarnation,
                received: replica.received,
            });
            steps.push((format!("replica {index} pauses and reports its position"), next));
            if replica.incarnation < MAX_RESTARTS {
                let mut next = state.clone();
                next.replicas[index].incarnation += 1;
                next.replicas[index].is_paused = false;
                steps.push((format!("replica {index} restarts"), next));
            }
        }
    }

    /// Returns the replica that the promoter chooses by the valid answers.
    fn choose(&self, state: &State) -> Option<usize> {
        let counts = |replica: &Replica, pause: &Pause| {
            pause.incarnation == replica.incarnation || self.broken == Some(Rule::PauseOfLife)
        };
        let answered: Vec<_> = state
            .replicas
            .iter()
            .enumerate()
            .filter_map(|(index, replica)| {
                Some((index, replica.answer.filter(|pause| counts(replica, pause))?))
            })
            .collect();
        let successors: Vec<_> = answered
            .iter()
            .map(|(index, pause)| successor(*index, pause.received))
            .collect();
        let requirements = SuccessorRequirements {
            sync_replicas: SYNC_REPLICAS,
            receivers: REPLICAS,
            ..SuccessorRequirements::default()
        };
        let chosen = choose_successor(&successors, &requirements).ok()?;
        successors
            .iter()
            .position(|successor| successor == chosen)
            .map(|position_in_answers| answered[position_in_answers].0)
    }
}

fn successor(index: usize, received: u64) -> Successor {
    Successor {
        instance: InstanceName(index.to_string()),
        received: Position::new(1, received),
        is_leaving: false,
        is_evacuated: false,
        servable_share: 0,
        is_cold: false,
        is_named_in_order: false,
        is_in_own_zone: false,
        is_rejected: false,
    }
}

impl Model for Pausing {
    type State = State;

    fn name(&self) -> &'static str {
        "pausing"
    }

    fn invariants(&self) -> &'static [Invariant] {
        &[Invariant::ReadYourWrites]
    }

    fn bounds(&self) -> String {
        format!("replicas={REPLICAS} sync={SYNC_REPLICAS} commits={MAX_COMMITS} restarts={MAX_RESTARTS}")
    }

    fn initial(&self) -> State {
        State::default()
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        if state.promoted.is_some() {
            return steps;
        }
        Self::replication_steps(state, &mut steps);
        Self::pause_steps(state, &mut steps);
        if let Some(chosen) = self.choose(state) {
            let mut next = state.clone();
            next.promoted = Some(chosen);
            steps.push((format!("replica {chosen} is promoted"), next));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<(Invariant, String)> {
        let promoted = state.promoted?;
        let held = state.replicas[promoted].received;
        let is_undone = held < state.acknowledged;
        is_undone.then(|| {
            let acknowledged = state.acknowledged;
            let detail =
                format!("replica {promoted} leads with {held} of {acknowledged} acknowledged commits");
            (Invariant::ReadYourWrites, detail)
        })
    }
}
