//! Terms, elections, writes and their confirmation, tokens and replica reads,
//! and at-most-once by the ledger.
//!
//! A group of three instances; one caller with two writes, of which the first
//! carries a request id and the second must not be repeated. Messages to an
//! instance may arrive late, answers may be lost, instances may be cut off
//! while they believe that they lead.

use std::collections::BTreeMap;

use millwind_core::confirmation::{ConfirmationRule, ConfirmationTracker, Sequence, Verdict};
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::InstanceName;
use millwind_core::invariant::Invariant;
use millwind_core::outcome::{NextStep, RequestProgress, RequestTraits, next_step_after_failure};
use millwind_core::position::{Coverage, LogPosition, Position, Term, TermStart, coverage};

use crate::checker::Model;
use crate::rule::Rule;

const INSTANCES: usize = 3;
const MAJORITY: usize = 2;
/// Questions of the model are asked after the commit they confirm.
const ASKED_AFTER: Sequence = Sequence(2);
const WRITES: usize = 2;
/// The write that carries a request id; the other must not be repeated.
const IDENTIFIED: usize = 0;

/// How far the model goes.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Elections at most.
    pub elections: u8,
    /// Cuts at most.
    pub cuts: u8,
    /// Answers lost at most.
    pub losses: u8,
    /// Writes that are made.
    pub writes: usize,
    /// Reads that raise the session's token at most.
    pub reads: u8,
}

impl Bounds {
    /// A size that CI explores.
    pub const SMALL: Bounds = Bounds {
        elections: 1,
        cuts: 1,
        losses: 1,
        writes: 1,
        reads: 0,
    };
    /// A larger size, for runs by hand.
    pub const LARGE: Bounds = Bounds {
        elections: 2,
        cuts: 1,
        losses: 1,
        writes: 1,
        reads: 1,
    };
}

/// The model, with one rule switched off or none.
#[derive(Debug, Clone, Copy)]
pub struct Writes {
    /// How far to go.
    pub bounds: Bounds,
    /// Rule that does not guard.
    pub broken: Option<Rule>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Record {
    Write(usize),
    Fence(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Role {
    Follower,
    Opening,
    Leader,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Instance {
    role: Role,
    voted: u64,
    history: Vec<(u64, usize)>,
    log: Vec<(u64, Record)>,
    applied: usize,
    adopted: [bool; INSTANCES],
    cut: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Told {
    Nothing,
    Acknowledged,
    NotRun,
    Unknown,
}

/// Where a write of the caller stands at the proxy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    NotSent,
    /// On its way to an instance, or being run there.
    Sent,
    /// Committed by an instance; its answer waits for confirmation.
    Committed(Pending),
    /// Its answer was lost.
    Ambiguous,
    /// A fence was written; it waits for confirmation.
    Fencing(Pending),
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pending {
    position: Position,
    /// What each instance showed when it was last asked: term and log end.
    shown: [Option<(u64, usize)>; INSTANCES],
}

impl Pending {
    fn new(position: Position) -> Self {
        Pending {
            position,
            shown: [None; INSTANCES],
        }
    }
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    instances: Vec<Instance>,
    stages: [Stage; WRITES],
    told: [Told; WRITES],
    /// Copies of each write still on their way, by instance.
    in_flight: Vec<(usize, usize)>,
    token: Option<Position>,
    /// Writes the session has seen or made; it must go on seeing them.
    seen: [bool; WRITES],
    bad_read: bool,
    reads: u8,
    elections: u8,
    cuts: u8,
    losses: u8,
}

fn log_term(instance: &Instance) -> u64 {
    instance.history.last().map_or(0, |(term, _)| *term)
}

fn position_of(instance: &Instance, length: usize) -> Position {
    Position::new(log_term(instance), length as u64)
}

fn history_of(instance: &Instance) -> Vec<TermStart> {
    instance
        .history
        .iter()
        .map(|(term, start)| TermStart {
            term: Term(*term),
            start: LogPosition(*start as u64),
        })
        .collect()
}

fn holds(instance: &Instance, record: Record) -> bool {
    instance.log.iter().any(|(_, held)| *held == record)
}

fn instance_name(index: usize) -> InstanceName {
    InstanceName(format!("i{index}"))
}

impl Writes {
    fn keeps(&self, rule: Rule) -> bool {
        self.broken != Some(rule)
    }

    fn elections(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.elections >= self.bounds.elections {
            return;
        }
        for candidate in 0..INSTANCES {
            if state.instances[candidate].cut || state.instances[candidate].role != Role::Follower {
                continue;
            }
            for voter in 0..INSTANCES {
                if voter == candidate || state.instances[voter].cut {
                    continue;
                }
                let newest = |instance: &Instance| {
                    (
                        instance.log.last().map_or(0, |(term, _)| *term),
                        instance.log.len(),
                    )
                };
                if newest(&state.instances[candidate]) < newest(&state.instances[voter]) {
                    continue;
                }
                let mut next = state.clone();
                let term = state
                    .instances
                    .iter()
                    .map(|instance| instance.voted)
                    .max()
                    .unwrap_or(0)
                    + 1;
                next.elections += 1;
                next.instances[candidate].voted = term;
                next.instances[voter].voted = term;
                step_down(&mut next.instances[voter]);
                let elected = &mut next.instances[candidate];
                let start = elected.log.len();
                elected.history.push((term, start));
                elected.applied = start;
                elected.adopted = [false; INSTANCES];
                elected.role = Role::Opening;
                steps.push((
                    format!("i{candidate} is elected in term {term} by i{voter}"),
                    next,
                ));
            }
        }
    }

    fn replication(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for from in 0..INSTANCES {
            let leader = &state.instances[from];
            if leader.role == Role::Follower || leader.cut {
                continue;
            }
            for to in 0..INSTANCES {
                let follower = &state.instances[to];
                if to == from || follower.cut || follower.voted > log_term(leader) {
                    continue;
                }
                let mut next = state.clone();
                let adopts = log_term(follower) < log_term(leader);
                let behind = follower.log.len() < leader.log.len();
                if !adopts && !behind {
                    continue;
                }
                let taken = &mut next.instances[to];
                taken.voted = log_term(leader);
                step_down(taken);
                taken.log = leader.log.clone();
                taken.history = leader.history.clone();
                taken.applied = taken.applied.min(common(&follower.log, &leader.log));
                let opened = &mut next.instances[from];
                opened.adopted[to] = true;
                let adopting = 1 + opened.adopted.iter().filter(|adopted| **adopted).count();
                if adopting >= MAJORITY {
                    opened.role = Role::Leader;
                }
                steps.push((format!("i{to} takes i{from}'s log"), next));
            }
        }
        for index in 0..INSTANCES {
            if state.instances[index].applied < state.instances[index].log.len() {
                let mut next = state.clone();
                next.instances[index].applied += 1;
                steps.push((format!("i{index} replays one record"), next));
            }
        }
    }

    fn cuts(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for index in 0..INSTANCES {
            let cut = state.instances[index].cut;
            if !cut && state.cuts >= self.bounds.cuts {
                continue;
            }
            let mut next = state.clone();
            next.instances[index].cut = !cut;
            next.cuts += u8::from(!cut);
            let what = if cut {
                "is reached again"
            } else {
                "is cut off from its peers"
            };
            steps.push((format!("i{index} {what}"), next));
        }
    }

    fn sending(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for write in 0..self.bounds.writes {
            if state.stages[write] != Stage::NotSent {
                continue;
            }
            for index in 0..INSTANCES {
                if state.instances[index].role != Role::Leader {
                    continue;
                }
                let mut next = state.clone();
                next.stages[write] = Stage::Sent;
                next.in_flight.push((write, index));
                steps.push((format!("w{write} is sent to i{index}"), next));
            }
        }
    }

    fn arrivals(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (slot, (write, index)) in state.in_flight.iter().copied().enumerate() {
            let mut next = state.clone();
            next.in_flight.remove(slot);
            let instance = &mut next.instances[index];
            if instance.role != Role::Leader {
                if next.stages[write] == Stage::Sent {
                    // Refused as read only: proven undone.
                    next.stages[write] = Stage::NotSent;
                }
                steps.push((format!("i{index} refuses w{write}"), next));
                continue;
            }
            let recorded = holds(instance, Record::Write(write)) || holds(instance, Record::Fence(write));
            if write == IDENTIFIED && recorded && self.keeps(Rule::LedgerRow) {
                if next.stages[write] == Stage::Sent {
                    next.stages[write] = Stage::Ambiguous;
                }
                steps.push((format!("i{index} finds w{write} in its ledger"), next));
                continue;
            }
            let term = log_term(instance);
            instance.log.push((term, Record::Write(write)));
            instance.applied = instance.log.len();
            let position = position_of(instance, instance.log.len());
            if next.stages[write] == Stage::Sent {
                next.stages[write] = Stage::Committed(Pending::new(position));
            }
            steps.push((format!("i{index} commits w{write} at {position}"), next));
        }
    }

    fn losses(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.losses >= self.bounds.losses {
            return;
        }
        for write in 0..WRITES {
            if !matches!(state.stages[write], Stage::Sent | Stage::Committed(_)) {
                continue;
            }
            let mut next = state.clone();
            next.losses += 1;
            self.give_up(&mut next, write);
            steps.push((format!("the answer to w{write} is lost"), next));
        }
    }

    /// What follows when a sent write gets no answer, by the core's decision.
    fn give_up(&self, state: &mut State, write: usize) {
        let traits = RequestTraits {
            read_only: false,
            may_repeat: false,
            has_request_id: write == IDENTIFIED,
        };
        let next = next_step_after_failure(RequestProgress::Sent, traits, ErrorKind::BackEndUnreachable);
        if !self.keeps(Rule::NoRepeatAfterSent) && write != IDENTIFIED {
            state.stages[write] = Stage::NotSent;
            return;
        }
        match next {
            NextStep::ResolveOutcome => state.stages[write] = Stage::Ambiguous,
            NextStep::Retry => state.stages[write] = Stage::NotSent,
            NextStep::Report(_) => {
                state.stages[write] = Stage::Done;
                state.told[write] = Told::Unknown;
            }
        }
    }

    fn resolving(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for write in 0..WRITES {
            if state.stages[write] != Stage::Ambiguous {
                continue;
            }
            for index in 0..INSTANCES {
                if state.instances[index].role != Role::Leader {
                    continue;
                }
                let mut next = state.clone();
                let instance = &mut next.instances[index];
                if holds(instance, Record::Write(write)) {
                    let position = position_of(instance, instance.log.len());
                    next.stages[write] = Stage::Committed(Pending::new(position));
                    steps.push((format!("w{write} is found in i{index}'s ledger"), next));
                    continue;
                }
                if self.keeps(Rule::Fence) {
                    if !holds(instance, Record::Fence(write)) {
                        let term = log_term(instance);
                        instance.log.push((term, Record::Fence(write)));
                        instance.applied = instance.log.len();
                    }
                    let position = position_of(instance, instance.log.len());
                    next.stages[write] = Stage::Fencing(Pending::new(position));
                    steps.push((format!("w{write} is fenced on i{index}"), next));
                } else {
                    next.stages[write] = Stage::Done;
                    next.told[write] = Told::NotRun;
                    steps.push((
                        format!("w{write} is not found on i{index} and told as not run"),
                        next,
                    ));
                }
            }
        }
    }

    fn confirming(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for write in 0..WRITES {
            let (pending, acknowledges) = match &state.stages[write] {
                Stage::Committed(pending) => (pending, true),
                Stage::Fencing(pending) => (pending, false),
                _ => continue,
            };
            if !self.keeps(Rule::Confirmation) {
                let next = self.concluded(state, write, pending.position, acknowledges);
                steps.push((format!("w{write} is concluded unconfirmed"), next));
                continue;
            }
            for index in 0..INSTANCES {
                let instance = &state.instances[index];
                let mut asked = pending.clone();
                asked.shown[index] = Some((log_term(instance), instance.log.len()));
                if asked == *pending && self.verdict(&asked).is_none() {
                    continue;
                }
                let next = match self.verdict(&asked) {
                    Some(Verdict::Confirmed) => self.concluded(state, write, pending.position, acknowledges),
                    Some(Verdict::Superseded) => {
                        let mut next = state.clone();
                        self.give_up(&mut next, write);
                        next
                    }
                    None => {
                        let mut next = state.clone();
                        next.stages[write] = match acknowledges {
                            true => Stage::Committed(asked),
                            false => Stage::Fencing(asked),
                        };
                        next
                    }
                };
                steps.push((
                    format!(
                        "i{index} is asked for w{write} and shows {}",
                        position_of(instance, instance.log.len())
                    ),
                    next,
                ));
            }
        }
    }

    /// The verdict of the core's own tracker on what was shown.
    fn verdict(&self, pending: &Pending) -> Option<Verdict> {
        let rule = if self.keeps(Rule::Replicated) {
            ConfirmationRule::Replicated
        } else {
            ConfirmationRule::Term
        };
        let mut tracker = ConfirmationTracker::new(INSTANCES, rule);
        tracker.register(0, pending.position);
        let mut decided = BTreeMap::new();
        for (index, shown) in pending.shown.iter().enumerate() {
            let Some((term, received)) = shown else { continue };
            let verdicts = tracker.record_status(
                &instance_name(index),
                ASKED_AFTER,
                Term(*term),
                LogPosition(*received as u64),
            );
            decided.extend(verdicts);
        }
        decided.get(&0).copied()
    }

    fn concluded(&self, state: &State, write: usize, position: Position, acknowledges: bool) -> State {
        let mut next = state.clone();
        next.stages[write] = Stage::Done;
        if acknowledges {
            next.told[write] = Told::Acknowledged;
            next.seen[write] = true;
            next.token = next.token.max(Some(position));
        } else {
            next.told[write] = Told::NotRun;
        }
        next
    }

    fn reading(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for index in 0..INSTANCES {
            let instance = &state.instances[index];
            let held = position_of(instance, instance.applied);
            if !self.may_read(instance, held, state.token) {
                continue;
            }
            let visible = |write| {
                instance.log[..instance.applied]
                    .iter()
                    .any(|(_, record)| *record == Record::Write(write))
            };
            let label = || {
                format!(
                    "the session reads on i{index} at {held} with token {:?}",
                    state.token
                )
            };
            let missing = (0..WRITES).any(|write| state.seen[write] && !visible(write));
            if missing {
                let mut next = state.clone();
                next.bad_read = true;
                steps.push((label(), next));
            } else if state.reads < self.bounds.reads {
                let mut next = state.clone();
                next.reads += 1;
                next.token = next.token.max(Some(held));
                for (write, seen) in next.seen.iter_mut().enumerate() {
                    *seen |= visible(write);
                }
                steps.push((label(), next));
            }
        }
    }

    fn may_read(&self, instance: &Instance, held: Position, token: Option<Position>) -> bool {
        let Some(token) = token else {
            // A session without a token gets a confirmed floor first.
            return false;
        };
        match self.broken {
            Some(Rule::Coverage) => true,
            Some(Rule::BranchPoint) => held.term >= token.term && held.log_position >= token.log_position,
            _ => coverage(held, &history_of(instance), token) == Coverage::Covered,
        }
    }
}

fn step_down(instance: &mut Instance) {
    instance.role = Role::Follower;
}

fn common(left: &[(u64, Record)], right: &[(u64, Record)]) -> usize {
    left.iter()
        .zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

impl Model for Writes {
    type State = State;

    fn name(&self) -> &'static str {
        "writes"
    }

    fn invariants(&self) -> &'static [Invariant] {
        &[
            Invariant::ReadYourWrites,
            Invariant::NoOldPrimaryAcknowledgement,
            Invariant::NotRunIsTrue,
            Invariant::AtMostOnce,
        ]
    }

    fn bounds(&self) -> String {
        let Bounds {
            elections,
            cuts,
            losses,
            writes,
            reads,
        } = self.bounds;
        format!("instances=3 elections={elections} cuts={cuts} losses={losses} writes={writes} reads={reads}")
    }

    fn initial(&self) -> State {
        let follower = Instance {
            role: Role::Follower,
            voted: 1,
            history: vec![(1, 0)],
            log: Vec::new(),
            applied: 0,
            adopted: [false; INSTANCES],
            cut: false,
        };
        let mut instances = vec![follower; INSTANCES];
        instances[0].role = Role::Leader;
        State {
            instances,
            stages: [Stage::NotSent, Stage::NotSent],
            told: [Told::Nothing; WRITES],
            in_flight: Vec::new(),
            token: None,
            seen: [false; WRITES],
            bad_read: false,
            reads: 0,
            elections: 0,
            cuts: 0,
            losses: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.elections(state, &mut steps);
        self.replication(state, &mut steps);
        self.cuts(state, &mut steps);
        self.sending(state, &mut steps);
        self.arrivals(state, &mut steps);
        self.losses(state, &mut steps);
        self.resolving(state, &mut steps);
        self.confirming(state, &mut steps);
        self.reading(state, &mut steps);
        steps
    }

    fn violation(&self, state: &State) -> Option<(Invariant, String)> {
        if state.bad_read {
            return Some((
                Invariant::ReadYourWrites,
                "a read lacked an acknowledged write".to_owned(),
            ));
        }
        let leader = state
            .instances
            .iter()
            .filter(|instance| instance.role == Role::Leader)
            .max_by_key(|instance| log_term(instance))?;
        // While a newer term has no leader, an old one's log says nothing.
        if state
            .instances
            .iter()
            .any(|instance| log_term(instance) > log_term(leader))
        {
            return None;
        }
        for write in 0..WRITES {
            let copies = leader
                .log
                .iter()
                .filter(|(_, record)| *record == Record::Write(write))
                .count();
            let found = match (state.told[write], copies) {
                (_, 2..) => Some((Invariant::AtMostOnce, "ran twice")),
                (Told::Acknowledged, 0) => Some((
                    Invariant::NoOldPrimaryAcknowledgement,
                    "was acknowledged and is lost",
                )),
                (Told::NotRun, 1..) => Some((Invariant::NotRunIsTrue, "was told as not run and took effect")),
                _ => None,
            };
            if let Some((invariant, what)) = found {
                return Some((
                    invariant,
                    format!("w{write} {what}, in the log of term {}", log_term(leader)),
                ));
            }
        }
        None
    }
}
