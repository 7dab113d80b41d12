//! Estimates which share of the other nodes is reachable. A lender of a tenant's
//! quota reduces its loans by the share of unreachable nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use log::info;
use millwind_core::Instant;
use millwind_core::quota::{LenderReach, PeerLender};
use millwind_wire::exchange::ExchangeRequest;
use tokio::sync::Notify;

use crate::clock;
use crate::node::Engine;
use crate::peers::PeerRequestError;

/// Number of nodes to probe for the estimate.
/// The estimate is within some 12 percent, of which half counts, where the users tolerate a
/// tenth of a quota.
const SAMPLE_SIZE: usize = 16;
/// Interval between two probe rounds.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);
/// Time after the last query for which probing continues, in milliseconds.
const QUERY_EXPIRY_MS: u64 = 5_000;
/// A node that sent anything over its link within this time is not probed, in
/// milliseconds.
const RECENT_TRAFFIC_MS: u64 = 400;
/// Timeout of a probe: a few round trips between regions
/// (20 ms one way on the users' sites), on a busy machine.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Result of probing a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    Answered,
    /// The machine is up but refuses the connection, so the process is gone.
    ProcessGone,
    Silent,
}

impl ProbeResult {
    fn to_peer_lender(self) -> PeerLender {
        match self {
            ProbeResult::Answered => PeerLender::Reachable,
            ProbeResult::ProcessGone => PeerLender::Terminated,
            ProbeResult::Silent => PeerLender::Unresponsive,
        }
    }
}

#[derive(Debug)]
struct State {
    /// Time of the last query, or `None` before the first.
    queried_at: Option<Instant>,
    /// Reachable nodes, in percent.
    reachable_percent: u32,
    /// Other lenders of tenants' quotas, with the time of the last query and the
    /// result of the last probe.
    lenders: HashMap<SocketAddr, (Instant, Option<ProbeResult>)>,
}

/// Reachability of the other nodes as estimated by this node.
#[derive(Debug)]
pub struct PeerReach {
    state: Mutex<State>,
    query_started: Notify,
}

impl Default for PeerReach {
    fn default() -> Self {
        PeerReach {
            state: Mutex::new(State {
                queried_at: None,
                reachable_percent: 100,
                lenders: HashMap::new(),
            }),
            query_started: Notify::new(),
        }
    }
}

impl PeerReach {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the share of reachable nodes and the state of the other lender. A
    /// lender that was not probed yet is reported as reachable, so that a backup lender
    /// lends only its regular share until the first probe.
    pub fn reach(&self, other_lender: Option<SocketAddr>) -> LenderReach {
        let now = clock::now();
        let mut state = self.state();
        let previous_query = state.queried_at.replace(now);
        let is_new = previous_query.is_none_or(|queried_at| now.millis_since(queried_at) > QUERY_EXPIRY_MS);
        let mut result = Some(ProbeResult::ProcessGone);
        let mut is_new_lender = false;
        if let Some(address) = other_lender {
            let lender = state.lenders.entry(address).or_insert((now, None));
            lender.0 = now;
            result = lender.1;
            is_new_lender = result.is_none();
        }
        if is_new || is_new_lender {
            self.query_started.notify_one();
        }
        LenderReach {
            percent: state.reachable_percent,
            other: result.map_or(PeerLender::Reachable, ProbeResult::to_peer_lender),
        }
    }

    /// Returns the lenders to probe, or `None` if there was no recent query.
    fn lenders_to_probe(&self) -> Option<Vec<SocketAddr>> {
        let now = clock::now();
        let mut state = self.state();
        let is_recent = |queried_at: Instant| now.millis_since(queried_at) <= QUERY_EXPIRY_MS;
        if !state.queried_at.is_some_and(is_recent) {
            return None;
        }
        state.lenders.retain(|_, (queried_at, _)| is_recent(*queried_at));
        Some(state.lenders.keys().copied().collect())
    }

    fn record(&self, percent: u32, results: Vec<(SocketAddr, ProbeResult)>) {
        let mut state = self.state();
        if state.reachable_percent != percent {
            info!(
                "event=peer_reach_changed percent={percent} before={}",
                state.reachable_percent
            );
        }
        state.reachable_percent = percent;
        for (address, result) in results {
            if let Some(lender) = state.lenders.get_mut(&address) {
                lender.1 = Some(result);
            }
        }
    }
}

/// Probes other nodes while their reachability is queried, for the lifetime of the
/// process.
pub async fn probe_while_queried(engine: Arc<Engine>) {
    loop {
        let Some(lenders) = engine.peer_reach.lenders_to_probe() else {
            engine.peer_reach.query_started.notified().await;
            continue;
        };
        probe_peers(&engine, &lenders).await;
        tokio::select! {
            () = tokio::time::sleep(PROBE_INTERVAL) => {}
            () = engine.peer_reach.query_started.notified() => {}
        }
    }
}

async fn probe_peers(engine: &Engine, lenders: &[SocketAddr]) {
    // The sample is the same each time, so the links are already open.
    let sample = engine.registry.neighbours("", 0, SAMPLE_SIZE);
    let lender_probes = join_all(lenders.iter().map(|address| probe(engine, *address)));
    let sample_probes = join_all(sample.iter().map(|address| probe(engine, *address)));
    let (lender_results, sample_results) = tokio::join!(lender_probes, sample_probes);
    // A node without a process uses no quota and counts as reachable.
    let reached = sample_results
        .iter()
        .filter(|result| **result != ProbeResult::Silent)
        .count();
    let percent = (reached + 1) * 100 / (sample.len() + 1);
    let results = lenders.iter().copied().zip(lender_results).collect();
    engine.peer_reach.record(percent as u32, results);
}

/// Probes the node at `address` over its link, or over a new connection if the link is
/// silent.
async fn probe(engine: &Engine, address: SocketAddr) -> ProbeResult {
    if engine
        .owners
        .answers(address, RECENT_TRAFFIC_MS, PROBE_TIMEOUT)
        .await
    {
        return ProbeResult::Answered;
    }
    let request = ExchangeRequest::Reach {
        instance: String::new(),
    };
    match engine.peers.ask_uncached(address, &request, PROBE_TIMEOUT).await {
        Ok(_) => ProbeResult::Answered,
        Err(PeerRequestError::ConnectFailed(error))
            if error.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            ProbeResult::ProcessGone
        }
        Err(_) => ProbeResult::Silent,
    }
}
