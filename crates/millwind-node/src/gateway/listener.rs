//! Accepts client connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::{debug, warn};
use millwind_core::error_kind::ErrorKind;
use tokio::net::{TcpListener, TcpStream};

use super::{Gateway, session, startup};

/// Time limit for the startup phase of a connection.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts client connections and serves each on its own task. Never returns.
pub async fn serve(listener: TcpListener, gateway: Arc<Gateway>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = gateway.clone();
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    serve_client(stream, gateway).await;
                });
            }
            Err(error) => {
                warn!("event=accept_failed error={error:?}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_client(stream: TcpStream, gateway: Arc<Gateway>) {
    let open_sessions = gateway.open_sessions.fetch_add(1, Ordering::Relaxed);
    gateway.metrics.clients.inc();
    let rejection = if !gateway.accepting.load(Ordering::Relaxed) {
        Some(ErrorKind::Draining)
    } else if open_sessions >= gateway.settings.maximum_clients as usize {
        Some(ErrorKind::TooManyClients)
    } else {
        None
    };
    let started = tokio::time::timeout(STARTUP_TIMEOUT, startup::start(stream, &gateway, rejection)).await;
    match started {
        Ok(Ok(Some(session))) => session::run(session, &gateway).await,
        Ok(Ok(None)) => {}
        Ok(Err(error)) => debug!("event=startup_failed error={:?}", error.to_string()),
        Err(_) => debug!("event=startup_failed error=\"timed out\""),
    }
    gateway.metrics.clients.dec();
    gateway.open_sessions.fetch_sub(1, Ordering::Relaxed);
}
