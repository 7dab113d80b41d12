//! Configuration: revisions, lost answers, racing operators, and the right to
//! serve.
//!
//! Two operators change one document from the same revision; answers of the
//! store may be lost, and operators then ask again. Two nodes in two zones
//! learn of changes late and out of order, may be cut off, and time passes in
//! units of the freshness bound.

use millwind_core::Instant;
use millwind_core::config_state::ConfigState;
use millwind_core::freshness::{FRESHNESS_BOUND_MS, FRESHNESS_MARGIN_MS, ServingGate};
use millwind_core::invariant::Invariant;
use millwind_wire::control::{WireDocument, ZoneReport};

use crate::checker::Model;
use crate::rule::Rule;

const NODES: usize = 2;
const OPERATORS: usize = 2;
/// One unit of time, a little more than the freshness bound.
const UNIT_MS: u64 = FRESHNESS_BOUND_MS + FRESHNESS_MARGIN_MS;
const START_UNIT: u64 = 10;
const LATEST_UNIT: u64 = START_UNIT + 2;
const KEY: &str = "tenant/t";

/// The model, with one rule switched off or none.
#[derive(Debug, Clone, Copy)]
pub struct Configuration {
    /// Rule that does not guard.
    pub broken: Option<Rule>,
    /// Answers lost at most.
    pub losses: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Operator {
    Idle,
    /// Asked; the answer was lost.
    Doubtful,
    Stored(u64),
    InForce(u64),
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    revision: u64,
    highest: u64,
    contact_unit: Option<u64>,
    cut: bool,
    /// Deltas still on their way, by revision.
    deltas: Vec<u64>,
    /// A sign of life on its way: when it was asked for, and the revision it
    /// vouches for.
    sign: Option<(u64, u64)>,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Author of each revision; the first is the one operators start from.
    store: Vec<usize>,
    /// When each revision was stored.
    stored_unit: Vec<u64>,
    operators: [Operator; OPERATORS],
    nodes: Vec<Node>,
    unit: u64,
    losses: u8,
}

fn now(state: &State) -> Instant {
    Instant::from_millis(state.unit * UNIT_MS)
}

fn document(revision: u64) -> WireDocument {
    WireDocument {
        key: KEY.to_owned(),
        revision,
        deleted: 0,
        change_id: String::new(),
        body: String::new(),
    }
}

fn newest(state: &State) -> u64 {
    state.store.len() as u64
}

impl Configuration {
    fn keeps(&self, rule: Rule) -> bool {
        self.broken != Some(rule)
    }

    /// Whether a node serves, by the core's gate.
    fn serves(&self, state: &State, index: usize) -> bool {
        if !self.keeps(Rule::Freshness) {
            return true;
        }
        let node = &state.nodes[index];
        let mut gate = ServingGate::new("z0".into(), "r0".into());
        let zones = ["z0", "z1"].map(|zone| (zone.to_owned(), "r0".to_owned()));
        gate.set_zones(&zones.into(), true);
        if let Some(unit) = node.contact_unit {
            gate.record_platform_contact(Instant::from_millis(unit * UNIT_MS));
        }
        // The other zone is in contact and was heard lately unless cut off.
        let age_ms = if node.cut { UNIT_MS as u32 } else { 0 };
        gate.record_zone_report(
            now(state),
            &ZoneReport {
                zone: "z1".to_owned(),
                region: "r0".to_owned(),
                age_ms,
                platform_age_ms: 0,
            },
        );
        gate.may_serve(now(state), true).is_ok()
    }

    fn asking(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for operator in 0..OPERATORS {
            let asks_again = state.operators[operator] == Operator::Doubtful;
            if !asks_again && state.operators[operator] != Operator::Idle {
                continue;
            }
            let mut next = state.clone();
            let own = state.store.iter().position(|author| *author == operator + 1);
            let recognised = own.filter(|_| self.keeps(Rule::ChangeId));
            let outcome = match recognised {
                Some(index) => Operator::Stored(index as u64 + 1),
                None if newest(state) != 1
                    && self.keeps(Rule::CompareAndSwap)
                    && (self.keeps(Rule::ChangeId) || !asks_again) =>
                {
                    Operator::Refused
                }
                None => {
                    next.store.push(operator + 1);
                    next.stored_unit.push(state.unit);
                    let revision = newest(&next);
                    for node in &mut next.nodes {
                        node.deltas.push(revision);
                    }
                    Operator::Stored(revision)
                }
            };
            next.operators[operator] = outcome;
            steps.push((format!("operator {operator} asks: {outcome:?}"), next.clone()));
            if state.losses < self.losses && matches!(outcome, Operator::Stored(_)) {
                next.losses += 1;
                next.operators[operator] = Operator::Doubtful;
                steps.push((format!("operator {operator} asks and the answer is lost"), next));
            }
        }
    }

    fn spreading(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for index in 0..NODES {
            for slot in 0..state.nodes[index].deltas.len() {
                let mut next = state.clone();
                let node = &mut next.nodes[index];
                let revision = node.deltas.remove(slot);
                node.revision = self.applied(node.revision, revision);
                steps.push((format!("node {index} hears of revision {revision}"), next));
            }
            self.signs(state, index, steps);
        }
    }

    fn signs(&self, state: &State, index: usize, steps: &mut Vec<(String, State)>) {
        let node = &state.nodes[index];
        let Some((asked, vouched)) = node.sign else {
            if !node.cut {
                let mut next = state.clone();
                next.nodes[index].sign = Some((state.unit, newest(state)));
                steps.push((format!("node {index} asks the platform for a sign of life"), next));
            }
            return;
        };
        let mut next = state.clone();
        next.nodes[index].sign = None;
        if node.revision >= vouched || !self.keeps(Rule::ContactVouches) {
            let from = if self.keeps(Rule::ContactFromAsking) {
                asked
            } else {
                state.unit
            };
            next.nodes[index].contact_unit = node.contact_unit.max(Some(from));
        }
        steps.push((
            format!("node {index} gets the sign of life asked for at {asked}"),
            next,
        ));
    }

    /// The revision in force after a delta, by the core's state.
    fn applied(&self, held: u64, revision: u64) -> u64 {
        if !self.keeps(Rule::NewerOnly) {
            return revision;
        }
        let mut config = ConfigState::default();
        // An empty state takes whatever comes first.
        let _ = config.apply(0, held, &[document(held)]);
        let _ = config.apply(held, revision, &[document(revision)]);
        config.document(KEY).map_or(0, |document| document.revision)
    }

    fn reporting(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for operator in 0..OPERATORS {
            let Operator::Stored(revision) = state.operators[operator] else {
                continue;
            };
            // A node counts when it has confirmed, or when the bound has passed
            // since the change, so that its own rule has stopped it.
            let lapsed = state.unit > state.stored_unit[revision as usize - 1];
            let all = state.nodes.iter().all(|node| node.revision >= revision || lapsed);
            if all {
                let mut next = state.clone();
                next.operators[operator] = Operator::InForce(revision);
                steps.push((
                    format!("operator {operator} is told that {revision} is in force"),
                    next,
                ));
            }
        }
    }
}

impl Model for Configuration {
    type State = State;

    fn name(&self) -> &'static str {
        "configuration"
    }

    fn invariants(&self) -> &'static [Invariant] {
        &[Invariant::ConfigurationInForce]
    }

    fn bounds(&self) -> String {
        format!("nodes=2 operators=2 losses={} time_units=2", self.losses)
    }

    fn initial(&self) -> State {
        let node = Node {
            revision: 1,
            highest: 1,
            contact_unit: Some(START_UNIT),
            cut: false,
            // An old delta is still on its way at the start.
            deltas: vec![1],
            sign: None,
        };
        State {
            store: vec![0],
            stored_unit: vec![START_UNIT],
            operators: [Operator::Idle; OPERATORS],
            nodes: vec![node; NODES],
            unit: START_UNIT,
            losses: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.asking(state, &mut steps);
        self.spreading(state, &mut steps);
        self.reporting(state, &mut steps);
        for index in 0..NODES {
            let mut next = state.clone();
            next.nodes[index].cut = !state.nodes[index].cut;
            steps.push((format!("node {index} cut={}", next.nodes[index].cut), next));
        }
        if state.unit < LATEST_UNIT {
            let mut next = state.clone();
            next.unit += 1;
            steps.push(("the freshness bound passes".to_owned(), next));
        }
        // The highest revision a node ever had in force is remembered for the check.
        for (_, next) in &mut steps {
            for (node, before) in next.nodes.iter_mut().zip(&state.nodes) {
                node.highest = before.highest.max(before.revision);
            }
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<(Invariant, String)> {
        let broken = |detail: String| Some((Invariant::ConfigurationInForce, detail));
        for (index, node) in state.nodes.iter().enumerate() {
            if node.revision < node.highest {
                return broken(format!(
                    "node {index} fell from {} to {}",
                    node.highest, node.revision
                ));
            }
        }
        for author in 1..=OPERATORS {
            if state.store.iter().filter(|held| **held == author).count() > 1 {
                return broken(format!("the change of operator {} was stored twice", author - 1));
            }
        }
        if state.store.len() > 2 {
            return broken("two changes made from the same revision were both stored".to_owned());
        }
        for operator in state.operators {
            let Operator::InForce(revision) = operator else {
                continue;
            };
            for index in 0..NODES {
                if state.nodes[index].revision < revision && self.serves(state, index) {
                    return broken(format!(
                        "node {index} serves {} while {revision} is said in force",
                        state.nodes[index].revision
                    ));
                }
            }
        }
        None
    }
}
