//! Which of the other nodes this one reaches: what a node that lends on behalf of a
//! tenant takes off for nodes that are cut off from it.

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

/// Nodes that are asked: the share that is reached is known to within some 12 of a
/// hundred, of which half counts, where the users let a tenth of a quota pass.
const SAMPLE: usize = 16;
/// Between two rounds of questions while this node lends.
const PAUSE: Duration = Duration::from_millis(800);
/// What nobody has wanted to know for this time is not asked, in milliseconds.
const WANTED_MS: u64 = 5_000;
/// A node that said anything over its link within this time is not asked, in
/// milliseconds.
const HEARD_MS: u64 = 400;
/// A node that lives answers within this time: a few round trips between regions
/// (20 ms one way on the users' sites), on a busy machine.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// How a node answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Heard,
    /// Its machine lives, and no process listens there.
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
    /// When this was last wanted; none before the first time.
    wanted: Option<Instant>,
    /// Nodes that are reached, in percent.
    percent: u32,
    /// Nodes that may count for a tenant beside this one: when that was last wanted, and
    /// how each answered.
    counters: HashMap<SocketAddr, (Instant, Option<Answer>)>,
}

/// What this node knows of whom it reaches.
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

    /// What this node reaches, and what it sees of the other node that counts. One that
    /// was not asked yet is taken to answer: then the least is lent.
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

    /// Counters to ask; none where nobody wants to know.
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

/// Asks some nodes whether they live, while this node lends, for the life of the process.
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
    // The same nodes each time: their links are open.
    let sample = engine.registry.neighbours("", 0, SAMPLE);
    let asked_counters = join_all(counters.iter().map(|address| ask(engine, *address)));
    let asked_sample = join_all(sample.iter().map(|address| ask(engine, *address)));
    let (of_counters, of_sample) = tokio::join!(asked_counters, asked_sample);
    // A node whose process is gone uses nothing: it counts as one that is reached.
    let reached = of_sample
        .iter()
        .filter(|answer| **answer != Answer::Silent)
        .count();
    let percent = (reached + 1) * 100 / (sample.len() + 1);
    let answers = counters.iter().copied().zip(of_counters).collect();
    engine.peer_reach.note(percent as u32, answers);
}

/// How the node at `address` answers: over its link, or over a new connection where that
/// one is silent.
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
