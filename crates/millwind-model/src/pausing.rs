//! A promotion where a commit is acknowledged once one replica has received it: no
//! acknowledged commit is undone.
//!
//! The leader commits on while the promoter, which does not reach it, has the replicas
//! stop receiving, compares what they hold, and promotes the one that holds most. A
//! replica may begin anew with its log, and then receives again. The promoter knows of
//! the replicas' lives what their connections tell when it orders; an order takes effect
//! at once, and takes the lead from the old leader.

use millwind_core::failover::{Successor, choose_successor};
use millwind_core::ids::InstanceName;
use millwind_core::invariant::Invariant;
use millwind_core::position::Position;

use crate::checker::Model;
use crate::rule::Rule;

const REPLICAS: usize = 2;
/// Replicas that have received a commit before it is acknowledged.
const SYNC_REPLICAS: usize = 1;
/// Commits at most.
const MOST_COMMITS: u64 = 3;
/// How often each replica begins anew at most.
const MOST_LIVES: u8 = 1;

/// The model, with one rule switched off or none.
#[derive(Debug, Clone, Copy)]
pub struct Pausing {
    /// Rule that does not guard.
    pub broken: Option<Rule>,
}

/// What a replica answered when it was told to pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pause {
    life: u8,
    received: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Replica {
    received: u64,
    is_paused: bool,
    life: u8,
    /// Its answer, once the promoter has it.
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
    fn replicating(state: &State, steps: &mut Vec<(String, State)>) {
        if state.committed < MOST_COMMITS {
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
        let waiting = state.acknowledged + 1;
        if waiting <= state.committed && held_by(waiting) >= SYNC_REPLICAS {
            let mut next = state.clone();
            next.acknowledged = waiting;
            steps.push(("the leader acknowledges a commit".to_owned(), next));
        }
    }

    fn pausing(state: &State, steps: &mut Vec<(String, State)>) {
        for (index, replica) in state.replicas.iter().enumerate() {
            let mut next = state.clone();
            next.replicas[index].is_paused = true;
            next.replicas[index].answer = Some(Pause {
                life: replica.life,
                received: replica.received,
            });
            steps.push((format!("replica {index} pauses and tells its position"), next));
            if replica.life < MOST_LIVES {
                let mut next = state.clone();
                next.replicas[index].life += 1;
                next.replicas[index].is_paused = false;
                steps.push((format!("replica {index} begins anew"), next));
            }
        }
    }

    /// The replica that the promoter chooses by the answers that count.
    fn choose(&self, state: &State) -> Option<usize> {
        let counts = |replica: &Replica, pause: &Pause| {
            pause.life == replica.life || self.broken == Some(Rule::PauseOfLife)
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
        let chosen = choose_successor(&successors, REPLICAS, SYNC_REPLICAS, None)?;
        successors
            .iter()
            .position(|successor| successor == chosen)
            .map(|place| answered[place].0)
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
        format!("replicas={REPLICAS} sync={SYNC_REPLICAS} commits={MOST_COMMITS} lives={MOST_LIVES}")
    }

    fn initial(&self) -> State {
        State::default()
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        if state.promoted.is_some() {
            return steps;
        }
        Self::replicating(state, &mut steps);
        Self::pausing(state, &mut steps);
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
