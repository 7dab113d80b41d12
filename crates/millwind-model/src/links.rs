//! Pins and replies: a caller's transaction continues only where it began, and a reply
//! reaches only the caller that sent the request.
//!
//! Two callers of one gateway use one owner, which may be replaced by a new process at any
//! time. Replies may arrive late and in any order, and callers may stop waiting.

use millwind_core::invariant::Invariant;

use crate::checker::Model;
use crate::rule::Rule;

const CALLERS: usize = 2;

/// The model, with at most one rule disabled.
#[derive(Debug, Clone, Copy)]
pub struct Links {
    /// The disabled rule.
    pub broken: Option<Rule>,
    /// Maximum number of replacements of the owner process.
    pub restarts: u8,
    /// Maximum number of requests of each caller.
    pub requests: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pin {
    epoch: u8,
    number: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Request {
    id: u8,
    caller: usize,
    pin: Option<Pin>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Reply {
    id: u8,
    caller: usize,
    pin: Option<Pin>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Caller {
    pin: Option<Pin>,
    waiting: Option<u8>,
    sent: u8,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    callers: Vec<Caller>,
    /// Open transactions of the owner: the pin, and the caller that began the transaction.
    transactions: Vec<(Pin, usize)>,
    epoch: u8,
    next_pin: u8,
    next_id: u8,
    requests: Vec<Request>,
    replies: Vec<Reply>,
    ran_in_foreign_transaction: bool,
    received_foreign_reply: bool,
}

impl Links {
    fn enforces(&self, rule: Rule) -> bool {
        self.broken != Some(rule)
    }

    fn matches_pin(&self, held: Pin, asked: Pin) -> bool {
        held.number == asked.number && (held.epoch == asked.epoch || !self.enforces(Rule::PinEpoch))
    }

    fn request_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (index, caller) in state.callers.iter().enumerate() {
            if caller.waiting.is_some() || caller.sent >= self.requests {
                continue;
            }
            let mut next = state.clone();
            next.next_id += 1;
            next.requests.push(Request {
                id: next.next_id,
                caller: index,
                pin: caller.pin,
            });
            next.callers[index].waiting = Some(next.next_id);
            next.callers[index].sent += 1;
            steps.push((format!("caller {index} sends request {}", next.next_id), next));
        }
    }

    fn execution_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for slot in 0..state.requests.len() {
            let mut next = state.clone();
            let request = next.requests.remove(slot);
            let pin = match request.pin {
                None => {
                    next.next_pin += 1;
                    let pin = Pin {
                        epoch: next.epoch,
                        number: next.next_pin,
                    };
                    next.transactions.push((pin, request.caller));
                    Some(pin)
                }
                Some(asked) => {
                    let found = next
                        .transactions
                        .iter()
                        .find(|(held, _)| self.matches_pin(*held, asked));
                    next.ran_in_foreign_transaction |=
                        found.is_some_and(|(_, owner)| *owner != request.caller);
                    found.map(|(held, _)| *held)
                }
            };
            next.replies.push(Reply {
                id: request.id,
                caller: request.caller,
                pin,
            });
            steps.push((
                format!("the owner runs request {} with pin {pin:?}", request.id),
                next,
            ));
        }
    }

    fn reply_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for slot in 0..state.replies.len() {
            let mut next = state.clone();
            let reply = next.replies.remove(slot);
            let receiver = if self.enforces(Rule::ReplyById) {
                state
                    .callers
                    .iter()
                    .position(|caller| caller.waiting == Some(reply.id))
            } else {
                state.callers.iter().position(|caller| caller.waiting.is_some())
            };
            if let Some(receiver) = receiver {
                next.received_foreign_reply |= receiver != reply.caller;
                next.callers[receiver].waiting = None;
                next.callers[receiver].pin = reply.pin;
            }
            steps.push((format!("reply {} arrives", reply.id), next));
        }
    }
}

impl Model for Links {
    type State = State;

    fn name(&self) -> &'static str {
        "links"
    }

    fn invariants(&self) -> &'static [Invariant] {
        &[Invariant::TransactionIsolation, Invariant::WholeOwnAnswer]
    }

    fn bounds(&self) -> String {
        format!("callers=2 requests={} restarts={}", self.requests, self.restarts)
    }

    fn initial(&self) -> State {
        State {
            callers: vec![Caller::default(); CALLERS],
            transactions: Vec::new(),
            epoch: 0,
            next_pin: 0,
            next_id: 0,
            requests: Vec::new(),
            replies: Vec::new(),
            ran_in_foreign_transaction: false,
            received_foreign_reply: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.request_steps(state, &mut steps);
        self.execution_steps(state, &mut steps);
        self.reply_steps(state, &mut steps);
        for (index, caller) in state.callers.iter().enumerate() {
            if caller.waiting.is_some() {
                let mut next = state.clone();
                next.callers[index].waiting = None;
                next.callers[index].pin = None;
                steps.push((format!("caller {index} stops waiting"), next));
            }
        }
        if state.epoch < self.restarts {
            let mut next = state.clone();
            next.epoch += 1;
            next.next_pin = 0;
            next.transactions.clear();
            steps.push(("the owner is replaced".to_owned(), next));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<(Invariant, String)> {
        if state.ran_in_foreign_transaction {
            let detail = "a request ran in another caller's transaction".to_owned();
            return Some((Invariant::TransactionIsolation, detail));
        }
        if state.received_foreign_reply {
            let detail = "a caller received the reply to another caller's request".to_owned();
            return Some((Invariant::WholeOwnAnswer, detail));
        }
        None
    }
}
