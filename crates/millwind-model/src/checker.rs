//! Breadth-first search for the shortest path to a state that violates an invariant.

use std::cell::Cell;
use std::hash::Hash;

use millwind_core::invariant::Invariant;
use pathfinding::directed::bfs::bfs;

/// A state machine with a finite number of states.
pub trait Model {
    /// State of the machine.
    type State: Clone + Eq + Hash;

    /// Returns the name of the model in reports.
    fn name(&self) -> &'static str;
    /// Returns the invariants that [`Model::violation`] checks.
    fn invariants(&self) -> &'static [Invariant];
    /// Returns the bounds of the exploration, as reports print them.
    fn bounds(&self) -> String;
    /// Returns the initial state.
    fn initial(&self) -> Self::State;
    /// Returns all successors of `state`, each with a label of its step.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;
    /// Returns the invariant that `state` violates, with a description, or `None`.
    fn violation(&self, state: &Self::State) -> Option<(Invariant, String)>;
}

/// A path to a state that violates an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// The violated invariant.
    pub invariant: Invariant,
    /// Description of the violation.
    pub detail: String,
    /// Labels of the steps from the initial state.
    pub trace: Vec<String>,
}

/// Result of a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Number of states whose successors were computed.
    pub states: usize,
    /// The shortest counterexample, if the search found one.
    pub counterexample: Option<Counterexample>,
}

/// Explores all states of a model, or stops at the shortest counterexample.
pub fn check<M: Model>(model: &M) -> Outcome {
    let states = Cell::new(0);
    let successors = |state: &M::State| {
        states.set(states.get() + 1);
        model
            .steps(state)
            .into_iter()
            .map(|(_, next)| next)
            .collect::<Vec<_>>()
    };
    let path = bfs(&model.initial(), successors, |state| {
        model.violation(state).is_some()
    });
    Outcome {
        states: states.get(),
        counterexample: path.and_then(|path| build_counterexample(model, &path)),
    }
}

/// Labels the steps along `path`, whose last state must violate an invariant.
fn build_counterexample<M: Model>(model: &M, path: &[M::State]) -> Option<Counterexample> {
    let (invariant, detail) = model.violation(path.last()?)?;
    let trace = path
        .windows(2)
        .filter_map(|pair| {
            let steps = model.steps(&pair[0]);
            steps
                .into_iter()
                .find(|(_, next)| *next == pair[1])
                .map(|(label, _)| label)
        })
        .collect();
    Some(Counterexample {
        invariant,
        detail,
        trace,
    })
}
