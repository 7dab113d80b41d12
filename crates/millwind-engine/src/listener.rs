//! Accepts callers.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::net::TcpListener;

use crate::node::Engine;
use crate::session::Session;

/// Pause after a failed accept, for example when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Callers that come before the node knows enough wait for this long at most.
const COMPLETE_LIMIT: Duration = Duration::from_millis(1_500);

/// Serves callers for the life of the process.
pub async fn serve(listener: TcpListener, engine: Arc<Engine>) {
    engine.await_complete(COMPLETE_LIMIT).await;
    let mut number = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("event=accept_failed error={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(count) = engine.count_session() else {
            warn!(
                "event=session_over_limit limit={}",
                engine.settings.maximum_clients
            );
            continue;
        };
        // Without it small answers wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let engine = engine.clone();
        number += 1;
        tokio::spawn(async move {
            Session::serve(engine, stream, number).await;
            drop(count);
        });
    }
}
