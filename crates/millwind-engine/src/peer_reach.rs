//! Estimates which share of the other nodes is reachable. A node that counts for a tenant
//! reduces its loans by the share of unreachable nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use log::info;
use millwind_core::Instant;
use millwind_core::quota::{OtherCounter, Reach};
use millwind_wire::exchange::ExchangeRequest;
use tokio::sync::Notify;

use crate::clock;
use crate::node::Engine;
use crate::peers::AskError;

/// Number of nodes to probe for the estimate.
const SAMPLE: usize = 16;
/// Interval between two probe rounds.
const PAUSE: Duration = Duration::from_millis(800);
/// Time after the last query for which probing continues, in milliseconds.
const WANTED_MS: u64 = 5_000;
/// A node that sent anything over its link within this time is not probed, in
/// milliseconds.
const HEARD_MS: u64 = 400;
/// Timeout of a probe: a few round trips between regions.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// Result of probing a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Heard,
    /// The machine is up but refuses the connection, so the process is gone.
    Gone,
    Silent,
}

impl Answer {
    fn of_counter(self) -> OtherCounter {
        match self {
            Answer::Heard => OtherCounter::Heard,
            Answer::Gone => OtherCounter::Gone,
            Answer::Silent => OtherCounter::Silent,
        }
    }
}

#[derive(Debug)]
struct State {
    /// Time of the last query, or `None` before the first.
    wanted: Option<Instant>,
    /// Reachable nodes, in percent.
    percent: u32,
    /// Other nodes that count for a tenant, with the time of the last query and the
    /// result of the last probe.
    counters: HashMap<SocketAddr, (Instant, Option<Answer>)>,
}

/// Reachability of the other nodes as estimated by this node.
#[derive(Debug)]
pub struct PeerReach {
    state: Mutex<State>,
    first_wanted: Notify,
}

impl Default for PeerReach {
    fn default() -> Self {
        PeerReach {
            state: Mutex::new(State {
                wanted: None,
                percent: 100,
                counters: HashMap::new(),
            }),
            first_wanted: Notify::new(),
        }
    }
}

impl PeerReach {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the share of reachable nodes and the state of the other counting node. A
    /// node that was not probed yet is reported as answering, for which the least is
    /// lent.
    pub fn known(&self, other_counter: Option<SocketAddr>) -> Reach {
        let now = clock::now();
        let mut state = self.state();
        let was_wanted = state.wanted.replace(now);
        let is_new = was_wanted.is_none_or(|wanted| now.millis_since(wanted) > WANTED_MS);
        let mut answer = Some(Answer::Gone);
        let mut is_new_counter = false;
        if let Some(address) = other_counter {
            let counter = state.counters.entry(address).or_insert((now, None));
            counter.0 = now;
            answer = counter.1;
            is_new_counter = answer.is_none();
        }
        if is_new || is_new_counter {
            self.first_wanted.notify_one();
        }
        Reach {
            percent: state.percent,
            other: answer.map_or(OtherCounter::Heard, Answer::of_counter),
        }
    }

    /// Returns the counting nodes to probe, or `None` if there was no recent query.
    fn to_ask(&self) -> Option<Vec<SocketAddr>> {
        let now = clock::now();
        let mut state = self.state();
        let is_wanted = |wanted: Instant| now.millis_since(wanted) <= WANTED_MS;
        if !state.wanted.is_some_and(is_wanted) {
            return None;
        }
        state.counters.retain(|_, (wanted, _)| is_wanted(*wanted));
        Some(state.counters.keys().copied().collect())
    }

    fn note(&self, percent: u32, answers: Vec<(SocketAddr, Answer)>) {
        let mut state = self.state();
        if state.percent != percent {
            info!(
                "event=peer_reach_changed percent={percent} before={}",
                state.percent
            );
        }
        state.percent = percent;
        for (address, answer) in answers {
            if let Some(counter) = state.counters.get_mut(&address) {
                counter.1 = Some(answer);
            }
        }
    }
}

/// Probes other nodes while their reachability is queried, for the lifetime of the
/// process.
pub async fn follow(engine: Arc<Engine>) {
    loop {
        let Some(counters) = engine.peer_reach.to_ask() else {
            engine.peer_reach.first_wanted.notified().await;
            continue;
        };
        measure(&engine, &counters).await;
        tokio::select! {
            () = tokio::time::sleep(PAUSE) => {}
            () = engine.peer_reach.first_wanted.notified() => {}
        }
    }
}

async fn measure(engine: &Engine, counters: &[SocketAddr]) {
    // The sample is the same each time, so the links are already open.
    let sample = engine.registry.neighbours("", 0, SAMPLE);
    let asked_counters = join_all(counters.iter().map(|address| ask(engine, *address)));
    let asked_sample = join_all(sample.iter().map(|address| ask(engine, *address)));
    let (of_counters, of_sample) = tokio::join!(asked_counters, asked_sample);
    // A node without a process uses no quota and counts as reachable.
    let reached = of_sample
        .iter()
        .filter(|answer| **answer != Answer::Silent)
        .count();
    let percent = (reached + 1) * 100 / (sample.len() + 1);
    let answers = counters.iter().copied().zip(of_counters).collect();
    engine.peer_reach.note(percent as u32, answers);
}

/// Probes the node at `address` over its link, or over a new connection if the link is
/// silent.
async fn ask(engine: &Engine, address: SocketAddr) -> Answer {
    if engine.owners.answers(address, HEARD_MS, ANSWER_LIMIT).await {
        return Answer::Heard;
    }
    let question = ExchangeRequest::Reach {
        instance: String::new(),
    };
    match engine.peers.ask_apart(address, &question, ANSWER_LIMIT).await {
        Ok(_) => Answer::Heard,
        Err(AskError::NotConnected(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Answer::Gone
        }
        Err(_) => Answer::Silent,
    }
}
