//! Pins and replies: a caller's transaction goes on only where it began, and a
//! reply reaches only the caller whose request it answers.
//!
//! Two callers of one gateway use one owner, which may be replaced by a new
//! process at any time. Replies may come late and in any order, and callers
//! give up waiting.

use millwind_core::invariant::Invariant;

use crate::checker::Model;
use crate::rule::Rule;

const CALLERS: usize = 2;

/// The model, with one rule switched off or none.
#[derive(Debug, Clone, Copy)]
pub struct Links {
    /// Rule that does not guard.
    pub broken: Option<Rule>,
    /// Times the owner is replaced at most.
    pub restarts: u8,
    /// Requests of each caller at most.
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
    /// Open transactions of the owner: pin and the caller that began it.
    transactions: Vec<(Pin, usize)>,
    epoch: u8,
    next_pin: u8,
    next_id: u8,
    requests: Vec<Request>,
    replies: Vec<Reply>,
    mixed: bool,
    crossed: bool,
}

impl Links {
    fn keeps(&self, rule: Rule) -> bool {
        self.broken != Some(rule)
    }

    fn same_pin(&self, held: Pin, asked: Pin) -> bool {
        held.number == asked.number && (held.epoch == asked.epoch || !self.keeps(Rule::PinEpoch))
    }

    fn sending(&self, state: &State, steps: &mut Vec<(String, State)>) {
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

    fn running(&self, state: &State, steps: &mut Vec<(String, State)>) {
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
                        .find(|(held, _)| self.same_pin(*held, asked));
                    next.mixed |= found.is_some_and(|(_, owner)| *owner != request.caller);
                    found.map(|(held, _)| *held)
                }
            };
            next.replies.push(Reply {
                id: request.id,
                caller: request.caller,
                pin,
            });
            steps.push((
                format!("owner runs request {} with pin {pin:?}", request.id),
                next,
            ));
        }
    }

    fn replying(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for slot in 0..state.replies.len() {
            let mut next = state.clone();
            let reply = next.replies.remove(slot);
            let receiver = if self.keeps(Rule::ReplyById) {
                state
                    .callers
                    .iter()
                    .position(|caller| caller.waiting == Some(reply.id))
            } else {
                state.callers.iter().position(|caller| caller.waiting.is_some())
            };
            if let Some(receiver) = receiver {
                next.crossed |= receiver != reply.caller;
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
            mixed: false,
            crossed: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.sending(state, &mut steps);
        self.running(state, &mut steps);
        self.replying(state, &mut steps);
        for (index, caller) in state.callers.iter().enumerate() {
            if caller.waiting.is_some() {
                let mut next = state.clone();
                next.callers[index].waiting = None;
                next.callers[index].pin = None;
                steps.push((format!("caller {index} gives up waiting"), next));
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
        if state.mixed {
            let detail = "a request ran in another caller's transaction".to_owned();
            return Some((Invariant::TransactionIsolation, detail));
        }
        if state.crossed {
            let detail = "a caller got the reply to another's request".to_owned();
            return Some((Invariant::WholeOwnAnswer, detail));
        }
        None
    }
}
