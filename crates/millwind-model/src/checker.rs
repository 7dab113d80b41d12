//! Breadth-first search over a model's states, for the shortest way to a state
//! that breaks a property.

use std::cell::Cell;
use std::hash::Hash;

use millwind_core::invariant::Invariant;
use pathfinding::directed::bfs::bfs;

/// A finite model.
pub trait Model {
    /// A state.
    type State: Clone + Eq + Hash;

    /// Name for reports.
    fn name(&self) -> &'static str;
    /// Properties it checks.
    fn invariants(&self) -> &'static [Invariant];
    /// Bounds, for reports.
    fn bounds(&self) -> String;
    /// Where it starts.
    fn initial(&self) -> Self::State;
    /// Every step from a state, with what happens in it.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;
    /// The property a state breaks, and how.
    fn violation(&self, state: &Self::State) -> Option<(Invariant, String)>;
}

/// A way to a state that breaks a property.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// The property.
    pub invariant: Invariant,
    /// How it is broken.
    pub detail: String,
    /// What happens, step by step.
    pub trace: Vec<String>,
}

/// Result of a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// States whose steps were explored.
    pub states: usize,
    /// The shortest counterexample, if there is one.
    pub counterexample: Option<Counterexample>,
}

/// Explores a model wholly, or up to its shortest counterexample.
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
        counterexample: path.and_then(|path| explain(model, &path)),
    }
}

fn explain<M: Model>(model: &M, path: &[M::State]) -> Option<Counterexample> {
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
