//! Leadership where a promotion does not take the lead from the old leader: no
//! write that an old leader commits after a promotion is acknowledged.
//!
//! Two nodes send writes to the old leader; one of them registers late. They
//! ask the store for closed terms, and answers take any time. A promoter closes
//! the term, reads which nodes are registered, asks them for their permits, tells
//! the old leader to step down, and orders the promotion. Any message may be
//! late or never arrive. Time passes in halves of a permit's life.
//!
//! The old leader may begin anew: it has forgotten that it was told to step down, and
//! leads its term on unless a promotion has taken effect. The promoter knows of its life
//! what the instance's record and its own connections tell when it orders; an order takes
//! effect at once.

use millwind_core::Instant;
use millwind_core::invariant::Invariant;
use millwind_core::lead_permit::{ClosedTerms, PERMIT_MS, Permit, Revocation, may_promote};
use millwind_core::position::Term;

use crate::checker::Model;
use crate::rule::Rule;

const NODES: usize = 2;
/// One unit of time.
const UNIT_MS: u64 = PERMIT_MS / 2;
const START_UNIT: u64 = 10;
/// The old leader's term.
const TERM: Term = Term(1);

/// The model, with one rule switched off or none.
#[derive(Debug, Clone, Copy)]
pub struct Leadership {
    /// Rule that does not guard.
    pub broken: Option<Rule>,
    /// Units of time that pass at most; a permit lasts for two.
    pub units: u64,
    /// Nodes that take part, two at most; the second one registers late.
    pub nodes: usize,
    /// How often the old leader begins anew at most.
    pub restarts: u8,
}

/// A question for closed terms on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Question {
    asked_unit: u64,
    /// The node was registered when it asked.
    was_registered: bool,
    /// What the store has answered: whether the term is closed.
    answer: Option<bool>,
}

/// A write that a node has sent to the old leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Write {
    Sent,
    Committed { is_after_promotion: bool },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Node {
    terms: ClosedTerms,
    confirmed_unit: Option<u64>,
    question: Option<Question>,
    write: Option<Write>,
    is_registered: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Promoter {
    closed_unit: Option<u64>,
    /// The nodes that it has read from the store.
    known: Option<[bool; NODES]>,
    answered: [bool; NODES],
    /// The life of the old leader that it has told to step down.
    told_life: Option<u8>,
    /// The life that has said that it leads no longer.
    heard_life: Option<u8>,
    has_promoted: bool,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    nodes: Vec<Node>,
    promoter: Promoter,
    old_leader_leads: bool,
    /// How often the old leader has begun anew.
    life: u8,
    unit: u64,
    /// A node that acknowledged a write which came after the promotion.
    acknowledged_late: Option<usize>,
}

fn at(unit: u64) -> Instant {
    Instant::from_millis(unit * UNIT_MS)
}

impl Leadership {
    /// What is explored within `units` of time: two nodes before a leader that stays,
    /// and one node before a leader that begins anew. Both at once are 9.3 million states
    /// against 2.8, and add no way in which a node meets a leader of a former life.
    pub fn bounded(broken: Option<Rule>, units: u64) -> [Leadership; 2] {
        [(2, 0), (1, 1)].map(|(nodes, restarts)| Leadership {
            broken,
            units,
            nodes,
            restarts,
        })
    }

    /// The rules that guard here.
    pub const RULES: [Rule; 9] = [
        Rule::PermitExpires,
        Rule::PermitAtAnswer,
        Rule::SettleWithinPermit,
        Rule::NewsFromAsking,
        Rule::RegisteredFirst,
        Rule::ListAfterClosing,
        Rule::RevokeBeforeOrder,
        Rule::StepDownHeard,
        Rule::StepDownOfLife,
    ];

    fn keeps(&self, rule: Rule) -> bool {
        self.broken != Some(rule)
    }

    fn permit(&self, state: &State, node: &Node) -> Permit {
        let mut confirmed = node.confirmed_unit.map(at);
        if !self.keeps(Rule::PermitExpires) {
            confirmed = confirmed.map(|_| at(state.unit));
        }
        node.terms.permit(TERM, at(state.unit), confirmed)
    }

    /// What a node takes for the time of its news before the term was closed.
    fn confirmed_before(&self, state: &State, node: &Node) -> Option<Instant> {
        match self.keeps(Rule::SettleWithinPermit) {
            true => node.confirmed_unit.map(at),
            false => Some(at(state.unit)),
        }
    }

    fn asking(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, node) in state.nodes.iter().enumerate().take(self.nodes) {
            let mut next = state.clone();
            let Some(question) = node.question else {
                next.nodes[index].question = Some(Question {
                    asked_unit: state.unit,
                    was_registered: node.is_registered,
                    answer: None,
                });
                steps.push((format!("node {index} asks for closed terms"), next));
                continue;
            };
            let Some(is_closed) = question.answer else {
                let is_closed = state.promoter.closed_unit.is_some();
                next.nodes[index].question = Some(Question {
                    answer: Some(is_closed),
                    ..question
                });
                steps.push((
                    format!("the store answers node {index}: closed={is_closed}"),
                    next,
                ));
                continue;
            };
            self.take_answer(state, &mut next.nodes[index], question, is_closed);
            steps.push((format!("node {index} takes the answer"), next));
        }
    }

    fn take_answer(&self, state: &State, node: &mut Node, question: Question, is_closed: bool) {
        node.question = None;
        if is_closed {
            let before = self.confirmed_before(state, node);
            node.terms.close(TERM, at(state.unit), before);
        }
        if !question.was_registered && self.keeps(Rule::RegisteredFirst) {
            return;
        }
        let known_unit = match self.keeps(Rule::NewsFromAsking) {
            true => question.asked_unit,
            false => state.unit,
        };
        node.confirmed_unit = node.confirmed_unit.max(Some(known_unit));
    }

    fn writing(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, node) in state.nodes.iter().enumerate().take(self.nodes) {
            let mut next = state.clone();
            let permit = self.permit(state, node);
            match node.write {
                None if permit == Permit::Valid => {
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
                    let counts = permit.covers_answer() || !self.keeps(Rule::PermitAtAnswer);
                    if counts && is_after_promotion {
                        next.acknowledged_late = Some(index);
                    }
                    steps.push((format!("node {index} takes the answer: counts={counts}"), next));
                }
                _ => {}
            }
        }
    }

    fn registering(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, node) in state.nodes.iter().enumerate().take(self.nodes) {
            if !node.is_registered {
                let mut next = state.clone();
                next.nodes[index].is_registered = true;
                steps.push((format!("node {index} registers"), next));
            }
        }
    }

    fn closing(&self, state: &State, steps: &mut Vec<(String, State)>) {
        let promoter = &state.promoter;
        if promoter.closed_unit.is_none() {
            let mut next = state.clone();
            next.promoter.closed_unit = Some(state.unit);
            steps.push(("the promoter closes the term".to_owned(), next));
        }
        let may_list = promoter.closed_unit.is_some() || !self.keeps(Rule::ListAfterClosing);
        if promoter.known.is_none() && may_list {
            let mut next = state.clone();
            let registered = |index: usize| state.nodes[index].is_registered;
            next.promoter.known = Some(std::array::from_fn(registered));
            steps.push(("the promoter reads the nodes".to_owned(), next));
        }
    }

    /// What the promoter holds for true of the old leader's word.
    fn has_stepped_down(&self, state: &State) -> bool {
        let word = match self.keeps(Rule::StepDownHeard) {
            true => state.promoter.heard_life,
            false => state.promoter.told_life,
        };
        word.is_some_and(|life| life == state.life || !self.keeps(Rule::StepDownOfLife))
    }

    fn stepping_down(&self, state: &State, steps: &mut Vec<(String, State)>) {
        let promoter = &state.promoter;
        let has_told = promoter.told_life == Some(state.life);
        if !has_told {
            let mut next = state.clone();
            next.promoter.told_life = Some(state.life);
            steps.push(("the promoter tells the old leader to step down".to_owned(), next));
        }
        if has_told && state.old_leader_leads {
            let mut next = state.clone();
            next.old_leader_leads = false;
            steps.push(("the old leader steps down".to_owned(), next));
        }
        if has_told && !state.old_leader_leads && promoter.heard_life != Some(state.life) {
            let mut next = state.clone();
            next.promoter.heard_life = Some(state.life);
            steps.push(("the promoter hears that it has".to_owned(), next));
        }
    }

    fn beginning_anew(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.life < self.restarts {
            let mut next = state.clone();
            next.life += 1;
            next.old_leader_leads = !state.promoter.has_promoted;
            steps.push(("the old leader begins anew".to_owned(), next));
        }
    }

    fn revoking(&self, state: &State, steps: &mut Vec<(String, State)>) {
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
            terms.hand_back(TERM);
            next.promoter.answered[index] = true;
            steps.push((format!("node {index} hands its permit back"), next));
        }
        self.stepping_down(state, steps);
        let revocation = Revocation {
            closed: at(closed_unit),
            missing: (0..NODES)
                .filter(|index| known[*index] && !promoter.answered[*index])
                .count(),
            has_stepped_down: self.has_stepped_down(state),
        };
        let may = may_promote(at(state.unit), &revocation) || !self.keeps(Rule::RevokeBeforeOrder);
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
            ..
        } = self;
        format!("nodes={nodes} units={units} restarts={restarts}")
    }

    fn initial(&self) -> State {
        let first = Node {
            is_registered: true,
            confirmed_unit: Some(START_UNIT),
            ..Node::default()
        };
        State {
            nodes: vec![first, Node::default()],
            promoter: Promoter::default(),
            old_leader_leads: true,
            life: 0,
            unit: START_UNIT,
            acknowledged_late: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.asking(state, &mut steps);
        self.writing(state, &mut steps);
        self.registering(state, &mut steps);
        self.closing(state, &mut steps);
        self.revoking(state, &mut steps);
        self.beginning_anew(state, &mut steps);
        if state.unit < START_UNIT + self.units {
            let mut next = state.clone();
            next.unit += 1;
            steps.push(("half of a permit's life passes".to_owned(), next));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<(Invariant, String)> {
        let node = state.acknowledged_late?;
        let detail = format!("node {node} acknowledged a write of the old leader after the promotion");
        Some((Invariant::NoOldPrimaryAcknowledgement, detail))
    }
}
