//! Terms, elections, writes and their confirmation, tokens and replica reads, and
//! at-most-once execution by the request ledger.
//!
//! A group has three instances. One caller has two writes: the first carries a request id,
//! and the second must not be repeated. Messages to an instance may arrive late, answers may
//! be lost, and a partitioned instance may still consider itself the leader.

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
/// Sequence of every observation: observations follow the commit that they confirm.
const OBSERVED_AFTER: Sequence = Sequence(2);
const WRITES: usize = 2;
/// The write that carries a request id; the other write must not be repeated.
const WRITE_WITH_ID: usize = 0;

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of elections.
    pub elections: u8,
    /// Maximum number of partitions that isolate an instance.
    pub partitions: u8,
    /// Maximum number of lost answers.
    pub losses: u8,
    /// Number of writes.
    pub writes: usize,
    /// Maximum number of reads that raise the session's token.
    pub reads: u8,
}

impl Bounds {
    /// Bounds for continuous integration.
    pub const SMALL: Bounds = Bounds {
        elections: 1,
        partitions: 1,
        losses: 1,
        writes: 1,
        reads: 0,
    };
    /// Larger bounds for manual runs.
    pub const LARGE: Bounds = Bounds {
        elections: 2,
        partitions: 1,
        losses: 1,
        writes: 1,
        reads: 1,
    };
}

/// The model, with at most one rule disabled.
#[derive(Debug, Clone, Copy)]
pub struct Writes {
    /// Bounds of the exploration.
    pub bounds: Bounds,
    /// The disabled rule.
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
    is_partitioned: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ReportedOutcome {
    NotReported,
    Acknowledged,
    NotRun,
    Unknown,
}

/// Progress of a write at the proxy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    NotSent,
    /// The write is in flight, or an instance runs it.
    Sent,
    /// An instance has committed the write, and the answer waits for confirmation.
    Committed(Pending),
    /// The answer was lost.
    Ambiguous,
    /// A fence is written and waits for confirmation.
    Fencing(Pending),
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Pending {
    position: Position,
    /// Term and log end of each instance when it was last observed.
    observed: [Option<(u64, usize)>; INSTANCES],
}

impl Pending {
    fn new(position: Position) -> Self {
        Pending {
            position,
            observed: [None; INSTANCES],
        }
    }
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    instances: Vec<Instance>,
    stages: [Stage; WRITES],
    reported: [ReportedOutcome; WRITES],
    /// Writes in flight, each with its target instance.
    in_flight: Vec<(usize, usize)>,
    token: Option<Position>,
    /// Writes that were acknowledged to or read by the session. Later reads must return them.
    seen: [bool; WRITES],
    read_missed_write: bool,
    reads: u8,
    elections: u8,
    partitions: u8,
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
    fn enforces(&self, rule: Rule) -> bool {
        self.broken != Some(rule)
    }

    fn election_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.elections >= self.bounds.elections {
            return;
        }
        for candidate in 0..INSTANCES {
            if state.instances[candidate].is_partitioned || state.instances[candidate].role != Role::Follower
            {
                continue;
            }
            for voter in 0..INSTANCES {
                if voter == candidate || state.instances[voter].is_partitioned {
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

    fn replication_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for from in 0..INSTANCES {
            let leader = &state.instances[from];
            if leader.role == Role::Follower || leader.is_partitioned {
                continue;
            }
            for to in 0..INSTANCES {
                let follower = &state.instances[to];
                if to == from || follower.is_partitioned || follower.voted > log_term(leader) {
                    continue;
                }
                let mut next = state.clone();
                let adopts = log_term(follower) < log_term(leader);
                let behind = follower.log.len() < leader.log.len();
                if !adopts && !behind {
                    continue;
                }
                let follower_after = &mut next.instances[to];
                follower_after.voted = log_term(leader);
                step_down(follower_after);
                follower_after.log = leader.log.clone();
                follower_after.history = leader.history.clone();
                follower_after.applied = follower_after
                    .applied
                    .min(common_prefix_length(&follower.log, &leader.log));
                let leader_after = &mut next.instances[from];
                leader_after.adopted[to] = true;
                let adopting = 1 + leader_after.adopted.iter().filter(|adopted| **adopted).count();
                if adopting >= MAJORITY {
                    leader_after.role = Role::Leader;
                }
                steps.push((format!("i{to} adopts the log of i{from}"), next));
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

    fn partition_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for index in 0..INSTANCES {
            let is_partitioned = state.instances[index].is_partitioned;
            if !is_partitioned && state.partitions >= self.bounds.partitions {
                continue;
            }
            let mut next = state.clone();
            next.instances[index].is_partitioned = !is_partitioned;
            next.partitions += u8::from(!is_partitioned);
            let what = if is_partitioned {
                "is reconnected to its peers"
            } else {
                "is partitioned from its peers"
            };
            steps.push((format!("i{index} {what}"), next));
        }
    }

    fn send_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
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

    fn arrival_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for (slot, (write, index)) in state.in_flight.iter().copied().enumerate() {
            let mut next = state.clone();
            next.in_flight.remove(slot);
            let instance = &mut next.instances[index];
            if instance.role != Role::Leader {
                if next.stages[write] == Stage::Sent {
                    // The instance is read-only, so the write did not run.
                    next.stages[write] = Stage::NotSent;
                }
                steps.push((format!("i{index} refuses w{write}"), next));
                continue;
            }
            let recorded = holds(instance, Record::Write(write)) || holds(instance, Record::Fence(write));
            if write == WRITE_WITH_ID && recorded && self.enforces(Rule::LedgerRow) {
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

    fn loss_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.losses >= self.bounds.losses {
            return;
        }
        for write in 0..WRITES {
            if !matches!(state.stages[write], Stage::Sent | Stage::Committed(_)) {
                continue;
            }
            let mut next = state.clone();
            next.losses += 1;
            self.handle_lost_answer(&mut next, write);
            steps.push((format!("the answer to w{write} is lost"), next));
        }
    }

    /// Updates a sent write without an answer as [`next_step_after_failure`] decides.
    fn handle_lost_answer(&self, state: &mut State, write: usize) {
        let traits = RequestTraits {
            read_only: false,
            may_repeat: false,
            has_request_id: write == WRITE_WITH_ID,
        };
        let next = next_step_after_failure(RequestProgress::Sent, traits, ErrorKind::BackEndUnreachable);
        if !self.enforces(Rule::NoRepeatAfterSent) && write != WRITE_WITH_ID {
            state.stages[write] = Stage::NotSent;
            return;
        }
        match next {
            NextStep::ResolveOutcome => state.stages[write] = Stage::Ambiguous,
            NextStep::Retry => state.stages[write] = Stage::NotSent,
            NextStep::Report(_) => {
                state.stages[write] = Stage::Done;
                state.reported[write] = ReportedOutcome::Unknown;
            }
        }
    }

    fn resolution_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
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
                if self.enforces(Rule::Fence) {
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
                    next.reported[write] = ReportedOutcome::NotRun;
                    steps.push((
                        format!("w{write} is not found on i{index} and reported as not run"),
                        next,
                    ));
                }
            }
        }
    }

    fn confirmation_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for write in 0..WRITES {
            let (pending, acknowledges) = match &state.stages[write] {
                Stage::Committed(pending) => (pending, true),
                Stage::Fencing(pending) => (pending, false),
                _ => continue,
            };
            if !self.enforces(Rule::Confirmation) {
                let next = self.conclude(state, write, pending.position, acknowledges);
                steps.push((format!("w{write} is completed without confirmation"), next));
                continue;
            }
            for index in 0..INSTANCES {
                let instance = &state.instances[index];
                let mut observed_pending = pending.clone();
                observed_pending.observed[index] = Some((log_term(instance), instance.log.len()));
                if observed_pending == *pending && self.verdict(&observed_pending).is_none() {
                    continue;
                }
                let next = match self.verdict(&observed_pending) {
                    Some(Verdict::Confirmed) => self.conclude(state, write, pending.position, acknowledges),
                    Some(Verdict::Superseded) => {
                        let mut next = state.clone();
                        self.handle_lost_answer(&mut next, write);
                        next
                    }
                    None => {
                        let mut next = state.clone();
                        next.stages[write] = match acknowledges {
                            true => Stage::Committed(observed_pending),
                            false => Stage::Fencing(observed_pending),
                        };
                        next
                    }
                };
                steps.push((
                    format!(
                        "i{index} is observed for w{write} at {}",
                        position_of(instance, instance.log.len())
                    ),
                    next,
                ));
            }
        }
    }

    /// Returns the verdict of [`ConfirmationTracker`] on the observed positions.
    fn verdict(&self, pending: &Pending) -> Option<Verdict> {
        let rule = if self.enforces(Rule::Replicated) {
            ConfirmationRule::Replicated
        } else {
            ConfirmationRule::Term
        };
        let mut tracker = ConfirmationTracker::new(INSTANCES, rule);
        tracker.register(0, pending.position);
        let mut decided = BTreeMap::new();
        for (index, view) in pending.observed.iter().enumerate() {
            let Some((term, received)) = view else { continue };
            let verdicts = tracker.record_status(
                &instance_name(index),
                OBSERVED_AFTER,
                Term(*term),
                LogPosition(*received as u64),
            );
            decided.extend(verdicts);
        }
        decided.get(&0).copied()
    }

    fn conclude(&self, state: &State, write: usize, position: Position, acknowledges: bool) -> State {
        let mut next = state.clone();
        next.stages[write] = Stage::Done;
        if acknowledges {
            next.reported[write] = ReportedOutcome::Acknowledged;
            next.seen[write] = true;
            next.token = next.token.max(Some(position));
        } else {
            next.reported[write] = ReportedOutcome::NotRun;
        }
        next
    }

    fn read_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
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
                next.read_missed_write = true;
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
            // A session without a token first obtains a confirmed minimum position.
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

fn common_prefix_length(left: &[(u64, Record)], right: &[(u64, Record)]) -> usize {
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
            partitions,
            losses,
            writes,
            reads,
        } = self.bounds;
        format!(
            "instances=3 elections={elections} partitions={partitions} losses={losses} writes={writes} reads={reads}"
        )
    }

    fn initial(&self) -> State {
        let follower = Instance {
            role: Role::Follower,
            voted: 1,
            history: vec![(1, 0)],
            log: Vec::new(),
            applied: 0,
            adopted: [false; INSTANCES],
            is_partitioned: false,
        };
        let mut instances = vec![follower; INSTANCES];
        instances[0].role = Role::Leader;
        State {
            instances,
            stages: [Stage::NotSent, Stage::NotSent],
            reported: [ReportedOutcome::NotReported; WRITES],
            in_flight: Vec::new(),
            token: None,
            seen: [false; WRITES],
            read_missed_write: false,
            reads: 0,
            elections: 0,
            partitions: 0,
            losses: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(String, State)> {
        let mut steps = Vec::new();
        self.election_steps(state, &mut steps);
        self.replication_steps(state, &mut steps);
        self.partition_steps(state, &mut steps);
        self.send_steps(state, &mut steps);
        self.arrival_steps(state, &mut steps);
        self.loss_steps(state, &mut steps);
        self.resolution_steps(state, &mut steps);
        self.confirmation_steps(state, &mut steps);
        self.read_steps(state, &mut steps);
        steps
    }

    fn violation(&self, state: &State) -> Option<(Invariant, String)> {
        if state.read_missed_write {
            return Some((
                Invariant::ReadYourWrites,
                "a read did not return a write that the session had seen".to_owned(),
            ));
        }
        let leader = state
            .instances
            .iter()
            .filter(|instance| instance.role == Role::Leader)
            .max_by_key(|instance| log_term(instance))?;
        // The log of an old leader is not authoritative while a newer term has no leader.
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
            let found = match (state.reported[write], copies) {
                (_, 2..) => Some((Invariant::AtMostOnce, "ran twice")),
                (ReportedOutcome::Acknowledged, 0) => Some((
                    Invariant::NoOldPrimaryAcknowledgement,
                    "was acknowledged and is lost",
                )),
                (ReportedOutcome::NotRun, 1..) => {
                    Some((Invariant::NotRunIsTrue, "was reported as not run and took effect"))
                }
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
