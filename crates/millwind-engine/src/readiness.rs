//! HTTP servers for readiness probes and metrics.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use log::warn;
use tokio::net::TcpListener;

use crate::node::Engine;

/// Serves readiness probes: status 200 while the node accepts new callers, otherwise 503.
pub async fn serve_probes(listener: TcpListener, engine: Arc<Engine>) {
    let router = Router::new().fallback(probe).with_state(engine);
    serve(listener, router, "readiness").await;
}

/// Serves the metrics as Prometheus text.
pub async fn serve_metrics(listener: TcpListener, engine: Arc<Engine>) {
    let router = Router::new().fallback(metrics).with_state(engine);
    serve(listener, router, "metrics").await;
}

async fn serve(listener: TcpListener, router: Router, name: &str) {
    if let Err(error) = axum::serve(listener, router).await {
        warn!("event=http_stopped server={name} error={:?}", error.to_string());
    }
}

async fn probe(State(engine): State<Arc<Engine>>) -> (StatusCode, &'static str) {
    if engine.is_ready() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

async fn metrics(State(engine): State<Arc<Engine>>) -> String {
    engine.metrics.text()
}
