//! The lab's control of a stand-in instance, over HTTP.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::log_state::{Role, Start, Statement};
use super::{Instance, election};

/// What the lab sees of an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Whether it accepts writes.
    pub leads: bool,
    /// Term of its log.
    pub term: u64,
    /// Highest term heard of.
    pub highest_term: u64,
    /// End of its log.
    pub end: u64,
    /// End of what is replayed.
    pub applied_end: u64,
    /// When it began to accept writes, in milliseconds since 1970.
    pub opened_at_ms: u64,
    /// Connections open.
    pub connections: u32,
    /// Most connections open at the same time.
    pub peak_connections: u32,
    /// Statements run, status questions left out.
    pub statements: u64,
    /// Where terms began.
    pub history: Vec<Start>,
}

/// A committed transaction, for checks from outside.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoggedTransaction {
    /// Term it was written in.
    pub term: u64,
    /// Log position after it.
    pub end: u64,
    /// Its statements.
    pub statements: Vec<Statement>,
}

/// Faults the lab sets.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Replay lag, in milliseconds.
    #[serde(default)]
    pub lag_ms: Option<u64>,
    /// Cut off from its peers.
    #[serde(default)]
    pub cut: Option<bool>,
}

/// Serves the lab's control.
pub async fn serve(listener: TcpListener, instance: Arc<Instance>) {
    let router = Router::new()
        .route("/report", get(report))
        .route("/log", get(log))
        .route("/faults", post(faults))
        .route("/stand", post(stand))
        .with_state(instance);
    let _ = axum::serve(listener, router).await;
}

async fn report(State(instance): State<Arc<Instance>>) -> Json<InstanceReport> {
    let core = instance.state.lock();
    Json(InstanceReport {
        leads: core.role == Role::Leader,
        term: core.log_term(),
        highest_term: core.term,
        end: core.end(),
        applied_end: core.applied_end(),
        opened_at_ms: core.opened_at_ms,
        connections: instance.connections.load(Ordering::Relaxed),
        peak_connections: instance.peak_connections.load(Ordering::Relaxed),
        statements: instance.statements.load(Ordering::Relaxed),
        history: core.history.clone(),
    })
}

async fn log(State(instance): State<Arc<Instance>>) -> Json<Vec<LoggedTransaction>> {
    let core = instance.state.lock();
    let transactions = core.log.iter().map(|entry| LoggedTransaction {
        term: entry.term,
        end: entry.end,
        statements: entry.statements.clone(),
    });
    Json(transactions.collect())
}

async fn faults(State(instance): State<Arc<Instance>>, Json(faults): Json<Faults>) {
    let mut core = instance.state.lock();
    if let Some(lag_ms) = faults.lag_ms {
        core.lag = Duration::from_millis(lag_ms);
    }
    if let Some(cut) = faults.cut {
        core.cut = cut;
    }
    drop(core);
    instance.state.notify();
}

async fn stand(State(instance): State<Arc<Instance>>) {
    election::stand(&instance).await;
}
