//! HTTP control API of a simulated instance.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::log_state::{Role, Statement, TermStart};
use super::{Instance, election};

/// State of an instance, as returned by `/report`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Whether the instance is the primary and accepts writes.
    pub leads: bool,
    /// Term of the log.
    pub term: u64,
    /// Highest term seen.
    pub highest_term: u64,
    /// End position of the log.
    pub end: u64,
    /// End position of the replayed part of the log.
    pub applied_end: u64,
    /// When the instance was promoted, in milliseconds since the Unix epoch; 0 if never.
    pub opened_at_ms: u64,
    /// Currently open client connections.
    pub connections: u32,
    /// Highest number of simultaneously open client connections.
    pub peak_connections: u32,
    /// Number of executed statements, without status queries.
    pub statements: u64,
    /// Terms and their start positions, oldest first.
    pub history: Vec<TermStart>,
}

/// A committed transaction, as returned by `/log`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoggedTransaction {
    /// Term in which the transaction was committed.
    pub term: u64,
    /// Log position after the transaction.
    pub end: u64,
    /// Statements of the transaction, in order.
    pub statements: Vec<Statement>,
}

/// Faults to inject, as accepted by `/faults`; absent fields stay unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct InstanceFaults {
    /// Replay lag, in milliseconds.
    #[serde(default)]
    pub lag_ms: Option<u64>,
    /// Whether the instance is partitioned from its peers.
    #[serde(default)]
    pub cut: Option<bool>,
}

/// Serves the control API.
pub async fn serve(listener: TcpListener, instance: Arc<Instance>) {
    let router = Router::new()
        .route("/report", get(report))
        .route("/log", get(log_entries))
        .route("/faults", post(set_faults))
        .route("/stand", post(start_election))
        .with_state(instance);
    let _ = axum::serve(listener, router).await;
}

async fn report(State(instance): State<Arc<Instance>>) -> Json<InstanceReport> {
    let state = instance.state.lock();
    Json(InstanceReport {
        leads: state.role == Role::Leader,
        term: state.log_term(),
        highest_term: state.term,
        end: state.end(),
        applied_end: state.applied_end(),
        opened_at_ms: state.opened_at_ms,
        connections: instance.connections.load(Ordering::Relaxed),
        peak_connections: instance.peak_connections.load(Ordering::Relaxed),
        statements: instance.statements.load(Ordering::Relaxed),
        history: state.history.clone(),
    })
}

async fn log_entries(State(instance): State<Arc<Instance>>) -> Json<Vec<LoggedTransaction>> {
    let state = instance.state.lock();
    let transactions = state.log.iter().map(|entry| LoggedTransaction {
        term: entry.term,
        end: entry.end,
        statements: entry.statements.clone(),
    });
    Json(transactions.collect())
}

async fn set_faults(State(instance): State<Arc<Instance>>, Json(faults): Json<InstanceFaults>) {
    let mut state = instance.state.lock();
    if let Some(lag_ms) = faults.lag_ms {
        state.lag = Duration::from_millis(lag_ms);
    }
    if let Some(cut) = faults.cut {
        state.partitioned = cut;
    }
    drop(state);
    instance.state.notify();
}

async fn start_election(State(instance): State<Arc<Instance>>) {
    election::start_election(&instance).await;
}
