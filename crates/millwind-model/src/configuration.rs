//! Configuration: revisions, lost answers, concurrent operators, and the serving gate.
//!
//! Two operators change one document based on the same revision. Answers of the store may be
//! lost, and operators then retry. Two nodes in two zones receive changes late and out of
//! order, and may be partitioned. A time unit is slightly longer than the freshness bound.

use millwind_core::Instant;
use millwind_core::config_state::ConfigState;
use millwind_core::freshness::{FRESHNESS_BOUND_MS, FRESHNESS_MARGIN_MS, ServingGate};
use millwind_core::invariant::Invariant;
use millwind_wire::control::{WireDocument, ZoneReport};

use crate::checker::Model;
use crate::rule::Rule;

const NODES: usize = 2;
const OPERATORS: usize = 2;
/// Duration of a time unit in milliseconds.
const UNIT_MS: u64 = FRESHNESS_BOUND_MS + FRESHNESS_MARGIN_MS;
const START_UNIT: u64 = 10;
const LATEST_UNIT: u64 = START_UNIT + 2;
const KEY: &str = "tenant/t";

/// The model, with at most one rule disabled.
#[derive(Debug, Clone, Copy)]
pub struct Configuration {
    /// The disabled rule.
    pub broken: Option<Rule>,
    /// Maximum number of lost answers.
    pub losses: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Operator {
    Idle,
    /// The change was sent and the answer was lost.
    AnswerLost,
    Stored(u64),
    InForce(u64),
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    revision: u64,
    highest_revision: u64,
    contact_unit: Option<u64>,
    is_partitioned: bool,
    /// Revisions of the deltas in flight.
    deltas: Vec<u64>,
    /// A platform contact in flight: the time of its request, and the revision that it
    /// vouches for.
    pending_contact: Option<(u64, u64)>,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Author of each revision. Operators base their changes on the first revision.
    store: Vec<usize>,
    /// Time at which each revision was stored.
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

fn newest_revision(state: &State) -> u64 {
    state.store.len() as u64
}

impl Configuration {
    fn enforces(&self, rule: Rule) -> bool {
        self.broken != Some(rule)
    }

    /// Whether a node serves, according to [`ServingGate`].
    fn serves(&self, state: &State, index: usize) -> bool {
        if !self.enforces(Rule::Freshness) {
            return true;
        }
        let node = &state.nodes[index];
        let mut gate = ServingGate::new("z0".into(), "r0".into());
        let zones = ["z0", "z1"].map(|zone| (zone.to_owned(), "r0".to_owned()));
        gate.set_zones(&zones.into(), true);
        if let Some(unit) = node.contact_unit {
            gate.record_platform_contact(Instant::from_millis(unit * UNIT_MS));
        }
        // The report of the other zone is recent unless the node is partitioned.
        let age_ms = if node.is_partitioned { UNIT_MS as u32 } else { 0 };
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

    fn change_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for operator in 0..OPERATORS {
            let is_retry = state.operators[operator] == Operator::AnswerLost;
            if !is_retry && state.operators[operator] != Operator::Idle {
                continue;
            }
            let mut next = state.clone();
            let own = state.store.iter().position(|author| *author == operator + 1);
            let recognised = own.filter(|_| self.enforces(Rule::ChangeId));
            let outcome = match recognised {
                Some(index) => Operator::Stored(index as u64 + 1),
                None if newest_revision(state) != 1
                    && self.enforces(Rule::CompareAndSwap)
                    && (self.enforces(Rule::ChangeId) || !is_retry) =>
                {
                    Operator::Refused
                }
                None => {
                    next.store.push(operator + 1);
                    next.stored_unit.push(state.unit);
                    let revision = newest_revision(&next);
                    for node in &mut next.nodes {
                        node.deltas.push(revision);
                    }
                    Operator::Stored(revision)
                }
            };
            next.operators[operator] = outcome;
            steps.push((
                format!("operator {operator} sends its change: {outcome:?}"),
                next.clone(),
            ));
            if state.losses < self.losses && matches!(outcome, Operator::Stored(_)) {
                next.losses += 1;
                next.operators[operator] = Operator::AnswerLost;
                steps.push((
                    format!("operator {operator} sends its change and the answer is lost"),
                    next,
                ));
            }
        }
    }

    fn propagation_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for index in 0..NODES {
            for slot in 0..state.nodes[index].deltas.len() {
                let mut next = state.clone();
                let node = &mut next.nodes[index];
                let revision = node.deltas.remove(slot);
                node.revision = self.applied(node.revision, revision);
                steps.push((format!("node {index} receives revision {revision}"), next));
            }
            self.contact_steps(state, index, steps);
        }
    }

    fn contact_steps(&self, state: &State, index: usize, steps: &mut Vec<(String, State)>) {
        let node = &state.nodes[index];
        let Some((requested_unit, vouched_revision)) = node.pending_contact else {
            if !node.is_partitioned {
                let mut next = state.clone();
                next.nodes[index].pending_contact = Some((state.unit, newest_revision(state)));
                steps.push((format!("node {index} requests a platform contact"), next));
            }
            return;
        };
        let mut next = state.clone();
        next.nodes[index].pending_contact = None;
        if node.revision >= vouched_revision || !self.enforces(Rule::ContactVouches) {
            let from = if self.enforces(Rule::ContactFromAsking) {
                requested_unit
            } else {
                state.unit
            };
            next.nodes[index].contact_unit = node.contact_unit.max(Some(from));
        }
        steps.push((
            format!("node {index} receives the platform contact requested at {requested_unit}"),
            next,
        ));
    }

    /// Returns the revision in force after a delta, according to [`ConfigState`].
    fn applied(&self, held: u64, revision: u64) -> u64 {
        if !self.enforces(Rule::NewerOnly) {
            return revision;
        }
        let mut config = ConfigState::default();
        // An empty state accepts any first revision.
        let _ = config.apply(0, held, &[document(held)]);
        let _ = config.apply(held, revision, &[document(revision)]);
        config.document(KEY).map_or(0, |document| document.revision)
    }

    fn report_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for operator in 0..OPERATORS {
            let Operator::Stored(revision) = state.operators[operator] else {
                continue;
            };
            // A node counts once it has the revision, or once the freshness bound has passed
            // since the change, when a node without the revision has stopped serving.
            let bound_has_passed = state.unit > state.stored_unit[revision as usize - 1];
            let all = state
                .nodes
                .iter()
                .all(|node| node.revision >= revision || bound_has_passed);
            if all {
                let mut next = state.clone();
                next.operators[operator] = Operator::InForce(revision);
                steps.push((
                    format!("revision {revision} is reported to operator {operator} as in force"),
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
            highest_revision: 1,
            contact_unit: Some(START_UNIT),
            is_partitioned: false,
            // A delta of the first revision is still in flight.
            deltas: vec![1],
            pending_contact: None,
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
        self.change_steps(state, &mut steps);
        self.propagation_steps(state, &mut steps);
        self.report_steps(state, &mut steps);
        for index in 0..NODES {
            let mut next = state.clone();
            next.nodes[index].is_partitioned = !state.nodes[index].is_partitioned;
            steps.push((
                format!("node {index} partitioned={}", next.nodes[index].is_partitioned),
                next,
            ));
        }
        if state.unit < LATEST_UNIT {
            let mut next = state.clone();
            next.unit += 1;
            steps.push(("the freshness bound passes".to_owned(), next));
        }
        // `violation` compares the revision in force with the highest earlier revision.
        for (_, next) in &mut steps {
            for (node, before) in next.nodes.iter_mut().zip(&state.nodes) {
                node.highest_revision = before.highest_revision.max(before.revision);
            }
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<(Invariant, String)> {
        let broken = |detail: String| Some((Invariant::ConfigurationInForce, detail));
        for (index, node) in state.nodes.iter().enumerate() {
            if node.revision < node.highest_revision {
                return broken(format!(
                    "node {index} reverted from {} to {}",
                    node.highest_revision, node.revision
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
                        "node {index} serves {} while {revision} is reported as in force",
                        state.nodes[index].revision
                    ));
                }
            }
        }
        None
    }
}
