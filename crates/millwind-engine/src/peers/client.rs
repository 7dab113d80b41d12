//! Client for requests to other nodes. The number of cached connections does not grow with the
//! number of nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use log::info;
use millwind_wire::exchange::{ExchangeReply, ExchangeRequest, decode_exchange, encode_exchange};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{MAX_RESPONSE_TIME, PeerRequestError, REUSED_SILENCE_TIMEOUT, SILENCE_TIMEOUT, peer_codec};
use crate::clock;

/// Maximum number of nodes with a cached connection.
const MAX_CACHED_LINKS: usize = 16;

type Link = Framed<TcpStream, LengthDelimitedCodec>;
type SharedLink = Arc<tokio::sync::Mutex<Option<Link>>>;

#[derive(Debug, Default)]
struct CachedLink {
    link: SharedLink,
    /// When the connection was last requested.
    last_used: millwind_core::Instant,
}

/// Sends requests to other nodes and caches the connections.
#[derive(Debug, Default)]
pub struct PeerClient {
    links: Mutex<HashMap<SocketAddr, CachedLink>>,
}

impl PeerClient {
    /// Sends a request to the node at `address` and returns its reply.
    ///
    /// If the cached connection is busy, the request uses a separate connection instead of
    /// waiting for the reply in progress, which may be long. If the cached connection fails,
    /// the request is repeated on a new connection, and fails only if that also fails.
    pub async fn ask(
        &self,
        address: SocketAddr,
        request: &ExchangeRequest,
    ) -> Result<ExchangeReply, PeerRequestError> {
        let started = Instant::now();
        let cached = self.cached_link(address);
        let Ok(mut slot) = cached.try_lock() else {
            return self.ask_uncached(address, request, SILENCE_TIMEOUT).await;
        };
        // The link is put back only after a complete response, so that a failed one is not
        // reused.
        if let Some(mut link) = slot.take() {
            match send_request(&mut link, request, REUSED_SILENCE_TIMEOUT).await {
                Ok(reply) => {
                    *slot = Some(link);
                    return Ok(reply);
                }
                Err(error) => info!(
                    "event=peer_connection_lost peer={address} error={:?}",
                    error.to_string()
                ),
            }
        }
        let mut link = connect(address, SILENCE_TIMEOUT.saturating_sub(started.elapsed())).await?;
        let reply = send_request(&mut link, request, SILENCE_TIMEOUT).await?;
        *slot = Some(link);
        Ok(reply)
    }

    /// Like [`PeerClient::ask`], but on a separate connection that is not cached, and with
    /// `silence` as the silence timeout. Meant for requests to every node.
    pub async fn ask_uncached(
        &self,
        address: SocketAddr,
        request: &ExchangeRequest,
        silence: Duration,
    ) -> Result<ExchangeReply, PeerRequestError> {
        let mut link = connect(address, silence).await?;
        send_request(&mut link, request, silence).await
    }

    fn links(&self) -> MutexGuard<'_, HashMap<SocketAddr, CachedLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cached_link(&self, address: SocketAddr) -> SharedLink {
        let mut links = self.links();
        if links.len() >= MAX_CACHED_LINKS && !links.contains_key(&address) {
            evict_least_recently_used(&mut links);
        }
        let cached = links.entry(address).or_default();
        cached.last_used = clock::now();
        cached.link.clone()
    }
}

/// Removes the least recently used link. A request in progress on it still completes.
fn evict_least_recently_used(links: &mut HashMap<SocketAddr, CachedLink>) {
    let oldest = links.iter().min_by_key(|(_, cached)| cached.last_used);
    if let Some(address) = oldest.map(|(address, _)| *address) {
        links.remove(&address);
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<Link, PeerRequestError> {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| PeerRequestError::ConnectTimeout)?
        .map_err(PeerRequestError::ConnectFailed)?;
    // Nagle's algorithm would delay small messages.
    let _ = stream.set_nodelay(true);
    Ok(Framed::new(stream, peer_codec()))
}

async fn send_request(
    link: &mut Link,
    request: &ExchangeRequest,
    silence: Duration,
) -> Result<ExchangeReply, PeerRequestError> {
    let message = Bytes::from(encode_exchange(request)?);
    let sent = timeout(silence, link.send(message)).await;
    sent.map_err(|_| PeerRequestError::Silent { received_bytes: 0 })?
        .map_err(|_| PeerRequestError::Lost { received_bytes: 0 })?;
    let response = receive_response(link, silence).await?;
    Ok(decode_exchange(&response)?)
}

/// Receives a response as long as parts of it keep arriving. A limit on the whole response
/// would cut off large ones on slow links and make a working peer look unreachable. Only the
/// first part must arrive within `first_silence`.
async fn receive_response(link: &mut Link, first_silence: Duration) -> Result<BytesMut, PeerRequestError> {
    let deadline = Instant::now() + MAX_RESPONSE_TIME;
    let mut received_bytes = 0;
    let mut silence = first_silence;
    loop {
        let frame = timeout(silence, link.next()).await;
        silence = SILENCE_TIMEOUT;
        let received_before = received_bytes;
        received_bytes = link.read_buffer().len();
        match frame {
            Ok(Some(Ok(response))) => return Ok(response),
            Ok(_) => return Err(PeerRequestError::Lost { received_bytes }),
            Err(_) if received_bytes > received_before && Instant::now() < deadline => {}
            Err(_) => return Err(PeerRequestError::Silent { received_bytes }),
        }
    }
}
