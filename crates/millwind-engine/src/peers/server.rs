//! Server for requests from other nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use log::{debug, warn};
use millwind_core::ids::{GroupName, InstanceName};
use millwind_wire::exchange::{ExchangeReply, ExchangeRequest, Reach, decode_exchange, encode_exchange};
use millwind_wire::forward::is_forward;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

use super::peer_codec;
use crate::clock;
use crate::forward;
use crate::node::Engine;
use crate::term_closing;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum age of the last contact for an instance to count as reached, in milliseconds.
const CONTACT_MAX_AGE_MS: u64 = 300;

/// Serves requests from peers. Never returns.
pub async fn serve(listener: TcpListener, engine: Arc<Engine>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve_connection(stream, engine.clone()));
            }
            Err(error) => {
                warn!("event=peer_accept_failed error={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, engine: Arc<Engine>) {
    let mut link = Framed::new(stream, peer_codec());
    while let Some(Ok(message)) = link.next().await {
        if is_forward(&message) {
            return forward::serve(link, message, engine).await;
        }
        let Ok(request) = decode_exchange::<ExchangeRequest>(&message) else {
            debug!("event=peer_message_refused bytes={}", message.len());
            return;
        };
        let reply = handle_request(&engine, &request).await;
        let Ok(bytes) = encode_exchange(&reply) else {
            return;
        };
        if link.send(Bytes::from(bytes)).await.is_err() {
            return;
        }
    }
}

async fn handle_request(engine: &Arc<Engine>, request: &ExchangeRequest) -> ExchangeReply {
    match request {
        ExchangeRequest::Catalog {
            config_version,
            instances_revision,
            own_revision,
            evacuations_revision,
            as_relay,
            as_monitor,
        } => {
            if *as_relay == 1 {
                engine.relays.record_relay_request();
            }
            if *as_monitor == 1 {
                engine.relays.record_monitor_request();
            }
            engine.catalog_cache.changes_for_peer(
                *config_version,
                *instances_revision,
                *own_revision,
                *evacuations_revision,
                engine,
            )
        }
        ExchangeRequest::Reach { instance } => {
            let instance = InstanceName::from(instance.as_str());
            engine.directory.record_peer_suspicion(&instance);
            engine.wake_monitor();
            ExchangeReply::Reach(reachability(engine, &instance))
        }
        ExchangeRequest::Leader { group } => {
            let group = GroupName::from(group.as_str());
            ExchangeReply::Leader {
                leader: forward::leader_report(engine, &group).into_iter().collect(),
            }
        }
        ExchangeRequest::CloseTerm(closing) => ExchangeReply::TermClosed {
            has_stepped_down: u8::from(term_closing::return_permit(engine, closing).await),
        },
        ExchangeRequest::LeaderDemand(report) => {
            engine.leader_demands.apply_report(report);
            ExchangeReply::DemandReceived
        }
    }
}

fn reachability(engine: &Engine, instance: &InstanceName) -> Reach {
    let Some(known) = engine.directory.instance(instance) else {
        return match engine.directory.is_former_receiver(instance) {
            true => Reach::Failing,
            false => Reach::Unknown,
        };
    };
    if known.health.failing_since.is_some() {
        return Reach::Failing;
    }
    let is_recent = known
        .health
        .last_success
        .is_some_and(|success| clock::now().millis_since(success) < CONTACT_MAX_AGE_MS);
    if is_recent { Reach::Reached } else { Reach::Unknown }
}
