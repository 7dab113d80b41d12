//! The listener for callers' connections.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::net::TcpListener;

use crate::node::Engine;
use crate::session::Session;

/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Maximum time for which the listener waits at startup until the node can serve callers.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Accepts connections and serves each in its own task, until the process ends.
pub async fn serve(listener: TcpListener, engine: Arc<Engine>) {
    engine.await_complete(STARTUP_TIMEOUT).await;
    let mut number = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("event=accept_failed error={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Some(session_count) = engine.count_session() else {
            warn!(
                "event=session_over_limit limit={}",
                engine.settings.maximum_clients
            );
            continue;
        };
        // Disables Nagle's algorithm, which would delay small answers.
        let _ = stream.set_nodelay(true);
        let engine = engine.clone();
        number += 1;
        tokio::spawn(async move {
            Session::serve(engine, stream, number).await;
            drop(session_count);
        });
    }
}
