//! Leadership in groups whose promotions do not fence the old leader: no write that the old
//! leader commits after a promotion is acknowledged.
//!
//! Two nodes send writes to the old leader; one of them registers late. The nodes ask the
//! store for closed terms, with unbounded delays. A promoter closes the term, lists the
//! registered nodes, revokes their permits, asks the old leader to step down, and orders the
//! promotion. Any message may be delayed or lost. A time unit is half of a permit's duration.
//!
//! The old leader may restart. It then no longer knows that it was asked to step down, and
//! continues to lead its term unless a promotion has taken effect. The promoter knows the
//! current incarnation of the old leader when it orders, and an order takes effect at once.
//!
//! A node may restart. Its next process finds the record of the one before it, whose stop notice
//! the store may carry out at any later time.

use millwind_core::Instant;
use millwind_core::invariant::Invariant;
use millwind_core::lead_permit::{ClosedTerms, LeadPermit, PERMIT_MS, Revocation, may_promote};
use millwind_core::position::Term;

use crate::checker::Model;
use crate::rule::Rule;

const NODES: usize = 2;
/// Duration of a time unit in milliseconds.
const UNIT_MS: u64 = PERMIT_MS / 2;
const START_UNIT: u64 = 10;
/// The old leader's term.
const TERM: Term = Term(1);

/// The model, with at most one rule disabled.
#[derive(Debug, Clone, Copy)]
pub struct Leadership {
    /// The disabled rule.
    pub broken: Option<Rule>,
    /// Maximum number of time units; a permit lasts for two.
    pub units: u64,
    /// Number of nodes, at most two; the second node registers late.
    pub nodes: usize,
    /// Maximum number of restarts of the old leader.
    pub restarts: u8,
    /// Maximum number of restarts of each node.
    pub node_restarts: u8,
}

/// A pending request for the closed terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct TermRequest {
    asked_unit: u64,
    /// Whether the node was registered when it sent the request.
    was_registered: bool,
    /// Whether the term is closed, once the store has answered.
    answer: Option<bool>,
}

/// Progress of a write that a node has sent to the old leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Write {
    Sent,
    Committed { is_after_promotion: bool },
}

/// The store's record of a node; revision zero if there is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct NodeRecord {
    revision: u8,
    is_present: bool,
}

impl NodeRecord {
    fn next(self, is_present: bool) -> Self {
        NodeRecord {
            revision: self.revision + 1,
            is_present,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Node {
    terms: ClosedTerms,
    confirmed_unit: Option<u64>,
    term_request: Option<TermRequest>,
    write: Option<Write>,
    /// Whether the process of the node is registered.
    is_registered: bool,
    record: NodeRecord,
    /// The revision on which a stop notice depends that the store has not carried out yet.
    late_notice: Option<u8>,
    /// Number of restarts.
    restarts: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Promoter {
    closed_unit: Option<u64>,
    /// Which nodes were registered when the promoter listed them.
    known: Option<[bool; NODES]>,
    answered: [bool; NODES],
    /// The incarnation of the old leader that the promoter has asked to step down.
    step_down_sent_to: Option<u8>,
    /// The incarnation of the old leader that has confirmed its step-down.
    step_down_confirmed_by: Option<u8>,
    has_promoted: bool,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    nodes: Vec<Node>,
    promoter: Promoter,
    old_leader_leads: bool,
    /// Number of restarts of the old leader.
    incarnation: u8,
    unit: u64,
    /// A node that acknowledged a write committed after the promotion.
    late_acknowledgement: Option<usize>,
}

fn at(unit: u64) -> Instant {
    Instant::from_millis(unit * UNIT_MS)
}

impl Leadership {
    /// Returns the models for `units` of time: two nodes with a leader that never restarts, one
    /// node with a leader that may restart, and one node that may restart itself. Combining them
    /// multiplies the states without new interactions.
    pub fn bounded(broken: Option<Rule>, units: u64) -> [Leadership; 3] {
        [(2, 0, 0), (1, 1, 0), (1, 0, 1)].map(|(nodes, restarts, node_restarts)| Leadership {
            broken,
            units,
            nodes,
            restarts,
            node_restarts,
        })
    }

    /// The rules that this model enforces.
    pub const RULES: [Rule; 11] = [
        Rule::PermitExpires,
        Rule::PermitAtAnswer,
        Rule::SettleWithinPermit,
        Rule::NewsFromAsking,
        Rule::RegisteredFirst,
        Rule::RecordOfProcess,
        Rule::ConditionalRecord,
        Rule::ListAfterClosing,
        Rule::RevokeBeforeOrder,
        Rule::StepDownHeard,
        Rule::StepDownOfLife,
    ];

    fn enforces(&self, rule: Rule) -> bool {
        self.broken != Some(rule)
    }

    fn permit(&self, state: &State, node: &Node) -> LeadPermit {
        let mut confirmed = node.confirmed_unit.map(at);
        if !self.enforces(Rule::PermitExpires) {
            confirmed = confirmed.map(|_| at(state.unit));
        }
        node.terms.permit(TERM, at(state.unit), confirmed)
    }

    /// Returns the time of the last confirmation that the node assumes when it closes the term.
    fn confirmed_before(&self, state: &State, node: &Node) -> Option<Instant> {
        match self.enforces(Rule::SettleWithinPermit) {
            true => node.confirmed_unit.map(at),
            false => Some(at(state.unit)),
        }
    }

    fn request_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, node) in state.nodes.iter().enumerate().take(self.nodes) {
            let mut next = state.clone();
            let Some(term_request) = node.term_request else {
                next.nodes[index].term_request = Some(TermRequest {
                    asked_unit: state.unit,
                    was_registered: node.is_registered,
                    answer: None,
                });
                steps.push((format!("node {index} asks for closed terms"), next));
                continue;
            };
            let Some(is_closed) = term_request.answer else {
                let is_closed = state.promoter.closed_unit.is_some();
                next.nodes[index].term_request = Some(TermRequest {
                    answer: Some(is_closed),
                    ..term_request
                });
                steps.push((
                    format!("the store answers node {index}: closed={is_closed}"),
                    next,
                ));
                continue;
            };
            self.receive_answer(state, &mut next.nodes[index], term_request, is_closed);
            steps.push((format!("node {index} receives the closed terms"), next));
        }
    }

    fn receive_answer(&self, state: &State, node: &mut Node, term_request: TermRequest, is_closed: bool) {
        node.term_request = None;
        if is_closed {
            let before = self.confirmed_before(state, node);
            node.terms.close(TERM, at(state.unit), before);
        }
        if !term_request.was_registered && self.enforces(Rule::RegisteredFirst) {
            return;
        }
        let confirmed_unit_of_answer = match self.enforces(Rule::NewsFromAsking) {
            true => term_request.asked_unit,
            false => state.unit,
        };
        node.confirmed_unit = node.confirmed_unit.max(Some(confirmed_unit_of_answer));
    }

    fn write_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, node) in state.nodes.iter().enumerate().take(self.nodes) {
            let mut next = state.clone();
            let permit = self.permit(state, node);
            match node.write {
                None if permit == LeadPermit::Valid => {
                    next.nodes[index].write = Some(Write::Sent);
                    steps.push((format!("node {index} sends a write to the old leader"), next));
                }
                Some(Write::Sent) if state.old_leader_leads => {
                    next.nodes[index].write = Some(Write::Committed {
                        is_after_promotion: state.promoter.has_promoted,
                    });
                    steps.push((format!("the old leader commits the write of node {index}"), next));
                }
                Some(Write::Committed { is_after_promotion }) => {
                    next.nodes[index].write = None;
                    let counts = permit.covers_answer() || !self.enforces(Rule::PermitAtAnswer);
                    if counts && is_after_promotion {
                        next.late_acknowledgement = Some(index);
                    }
                    steps.push((
                        format!("node {index} receives the answer to its write: counts={counts}"),
                        next,
                    ));
                }
                _ => {}
            }
        }
    }

    fn registration_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, node) in state.nodes.iter().enumerate().take(self.nodes) {
            if node.is_registered {
                continue;
            }
            let mut next = state.clone();
            next.nodes[index].is_registered = true;
            if node.record.is_present && !self.enforces(Rule::RecordOfProcess) {
                steps.push((format!("node {index} finds its record"), next));
            } else {
                next.nodes[index].record = node.record.next(true);
                steps.push((format!("node {index} registers"), next));
            }
        }
    }

    /// The steps of nodes that restart, and of the notices that their former processes sent.
    fn node_restart_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, node) in state.nodes.iter().enumerate().take(self.nodes) {
            if node.is_registered && node.restarts < self.node_restarts {
                let mut next = state.clone();
                next.nodes[index] = Node {
                    record: node.record,
                    late_notice: Some(node.record.revision),
                    restarts: node.restarts + 1,
                    ..Node::default()
                };
                steps.push((format!("node {index} sends a stop notice and restarts"), next));
            }
            if let Some(revision) = node.late_notice {
                let has_effect = node.record.revision == revision || !self.enforces(Rule::ConditionalRecord);
                let mut next = state.clone();
                next.nodes[index].late_notice = None;
                if has_effect {
                    next.nodes[index].record = node.record.next(false);
                }
                steps.push((
                    format!("the store carries out the notice of node {index}: has_effect={has_effect}"),
                    next,
                ));
            }
        }
    }

    fn closing_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        let promoter = &state.promoter;
        if promoter.closed_unit.is_none() {
            let mut next = state.clone();
            next.promoter.closed_unit = Some(state.unit);
            steps.push(("the promoter closes the term".to_owned(), next));
        }
        let may_list = promoter.closed_unit.is_some() || !self.enforces(Rule::ListAfterClosing);
        if promoter.known.is_none() && may_list {
            let mut next = state.clone();
            let is_present = |index: usize| state.nodes[index].record.is_present;
            next.promoter.known = Some(std::array::from_fn(is_present));
            steps.push(("the promoter lists the nodes".to_owned(), next));
        }
    }

    /// Whether the promoter considers the old leader stepped down.
    fn has_stepped_down(&self, state: &State) -> bool {
        let stepped_down = match self.enforces(Rule::StepDownHeard) {
            true => state.promoter.step_down_confirmed_by,
            false => state.promoter.step_down_sent_to,
        };
        stepped_down.is_some_and(|incarnation| {
            incarnation == state.incarnation || !self.enforces(Rule::StepDownOfLife)
        })
    }

    fn step_down_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        let promoter = &state.promoter;
        let has_sent = promoter.step_down_sent_to == Some(state.incarnation);
        if !has_sent {
            let mut next = state.clone();
            next.promoter.step_down_sent_to = Some(state.incarnation);
            steps.push(("the promoter asks the old leader to step down".to_owned(), next));
        }
        if has_sent && state.old_leader_leads {
            let mut next = state.clone();
            next.old_leader_leads = false;
            steps.push(("the old leader steps down".to_owned(), next));
        }
        if has_sent && !state.old_leader_leads && promoter.step_down_confirmed_by != Some(state.incarnation) {
            let mut next = state.clone();
            next.promoter.step_down_confirmed_by = Some(state.incarnation);
            steps.push((
                "the old leader confirms its step-down to the promoter".to_owned(),
                next,
            ));
        }
    }

    fn restart_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.incarnation < self.restarts {
            let mut next = state.clone();
            next.incarnation += 1;
            next.old_leader_leads = !state.promoter.has_promoted;
            steps.push(("the old leader restarts".to_owned(), next));
        }
    }

    fn revocation_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        let promoter = &state.promoter;
        let (Some(closed_unit), Some(known)) = (promoter.closed_unit, promoter.known) else {
            return;
        };
        for (index, is_known) in known.into_iter().enumerate() {
            if !is_known || promoter.answered[index] {
                continue;
            }
            let mut next = state.clone();
            let before = self.confirmed_before(state, &state.nodes[index]);
            let terms = &mut next.nodes[index].terms;
            terms.close(TERM, at(state.unit), before);
            terms.return_permits(TERM);
            next.promoter.answered[index] = true;
            steps.push((format!("node {index} returns its permit"), next));
        }
        self.step_down_steps(state, steps);
        let revocation = Revocation {
            closed: at(closed_unit),
            missing: (0..NODES)
                .filter(|index| known[*index] && !promoter.answered[*index])
                .count(),
            has_stepped_down: self.has_stepped_down(state),
        };
        let may = may_promote(at(state.unit), &revocation) || !self.enforces(Rule::RevokeBeforeOrder);
        if may && !promoter.has_promoted {
            let mut next = state.clone();
            next.promoter.has_promoted = true;
            steps.push(("the promotion takes effect".to_owned(), next));
        }
    }
}

impl Model for Leadership {
    type State = State;

    fn name(&self) -> &'static str {
        "leadership"
    }

    fn invariants(&self) -> &'static [Invariant] {
        &[Invariant::NoOldPrimaryAcknowledgement]
    }

    fn bounds(&self) -> String {
        let Leadership {
            nodes,
            units,
            restarts,
            node_restarts,
            ..
        } = self;
        format!("nodes={nodes} units={units} restarts={restarts} node_restarts={node_restarts}")
    }

    fn initial(&self) -> State {
        let first = Node {
            is_registered: true,
            record: NodeRecord::default().next(true),
            confirmed_unit: Some(START_UNIT),
            ..Node::default()
        };
        State {
            nodes: vec![first, Node::default()],
            promoter: Promoter::default(),
            old_leader_leads: true,
            incarnation: 0,
            unit: START_UNIT,
            late_acknowledgement: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.request_steps(state, &mut steps);
        self.write_steps(state, &mut steps);
        self.registration_steps(state, &mut steps);
        self.node_restart_steps(state, &mut steps);
        self.closing_steps(state, &mut steps);
        self.revocation_steps(state, &mut steps);
        self.restart_steps(state, &mut steps);
        if state.unit < START_UNIT + self.units {
            let mut next = state.clone();
            next.unit += 1;
            steps.push(("half of the duration of a permit passes".to_owned(), next));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<(Invariant, String)> {
        let node = state.late_acknowledgement?;
        let detail = format!("node {node} acknowledged a write of the old leader after the promotion");
        Some((Invariant::NoOldPrimaryAcknowledgement, detail))
    }
}
