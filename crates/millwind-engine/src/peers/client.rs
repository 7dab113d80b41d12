//! Asks other nodes. Connections to those asked last are kept: how many does
//! not grow with the number of nodes.

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

use super::{AskError, KEPT_SILENCE_LIMIT, LONGEST_ANSWER, SILENCE_LIMIT, frames};
use crate::clock;

/// Nodes to which a connection is kept.
const MOST_KEPT: usize = 16;

type Link = Framed<TcpStream, LengthDelimitedCodec>;
type SharedLink = Arc<tokio::sync::Mutex<Option<Link>>>;

#[derive(Debug, Default)]
struct Kept {
    link: SharedLink,
    /// When it was last wanted.
    wanted: millwind_core::Instant,
}

/// Connections to other nodes.
#[derive(Debug, Default)]
pub struct PeerClient {
    links: Mutex<HashMap<SocketAddr, Kept>>,
}

impl PeerClient {
    /// Asks the node at `address`. A question that comes while another one is
    /// answered does not wait for it, since that answer may be long: it gets a
    /// connection of its own. A kept connection that gives no answer is replaced by a
    /// new one at once: a peer is unreachable only if that one is silent too.
    pub async fn ask(
        &self,
        address: SocketAddr,
        request: &ExchangeRequest,
    ) -> Result<ExchangeReply, AskError> {
        let began = Instant::now();
        let kept = self.link(address);
        let Ok(mut held) = kept.try_lock() else {
            return self.ask_apart(address, request, SILENCE_LIMIT).await;
        };
        // Taken out, so that a link without its answer is not used again.
        if let Some(mut link) = held.take() {
            match exchange(&mut link, request, KEPT_SILENCE_LIMIT).await {
                Ok(reply) => {
                    *held = Some(link);
                    return Ok(reply);
                }
                Err(error) => info!(
                    "event=peer_connection_lost peer={address} error={:?}",
                    error.to_string()
                ),
            }
        }
        let mut link = connect(address, SILENCE_LIMIT.saturating_sub(began.elapsed())).await?;
        let reply = exchange(&mut link, request, SILENCE_LIMIT).await?;
        *held = Some(link);
        Ok(reply)
    }

    /// As [`PeerClient::ask`], over a connection of its own that is not kept, for
    /// a question to every node; the peer says something within `silence`.
    pub async fn ask_apart(
        &self,
        address: SocketAddr,
        request: &ExchangeRequest,
        silence: Duration,
    ) -> Result<ExchangeReply, AskError> {
        let mut link = connect(address, silence).await?;
        exchange(&mut link, request, silence).await
    }

    fn links(&self) -> MutexGuard<'_, HashMap<SocketAddr, Kept>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, address: SocketAddr) -> SharedLink {
        let mut links = self.links();
        if links.len() >= MOST_KEPT && !links.contains_key(&address) {
            forget_oldest(&mut links);
        }
        let kept = links.entry(address).or_default();
        kept.wanted = clock::now();
        kept.link.clone()
    }
}

/// Forgets the link that was wanted least lately; it closes once a question on
/// it has ended.
fn forget_oldest(links: &mut HashMap<SocketAddr, Kept>) {
    let oldest = links.iter().min_by_key(|(_, kept)| kept.wanted);
    if let Some(address) = oldest.map(|(address, _)| *address) {
        links.remove(&address);
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<Link, AskError> {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| AskError::ConnectTimeout)?
        .map_err(AskError::NotConnected)?;
    // Without it small messages wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    Ok(Framed::new(stream, frames()))
}

async fn exchange(
    link: &mut Link,
    request: &ExchangeRequest,
    silence: Duration,
) -> Result<ExchangeReply, AskError> {
    let message = Bytes::from(encode_exchange(request)?);
    let sent = timeout(silence, link.send(message)).await;
    sent.map_err(|_| AskError::Silent { received_bytes: 0 })?
        .map_err(|_| AskError::Lost { received_bytes: 0 })?;
    let answer = receive(link, silence).await?;
    Ok(decode_exchange(&answer)?)
}

/// Waits for an answer as long as parts of it arrive. A limit on the whole answer
/// would cut a large one off on a narrow link, and the peer that sends it would
/// count as gone: 71 nodes, most on links of 10 Mbit/s, gave up relays that were
/// sending them 480 kB 49 times in 1.2 s (counted in their logs). Only the first part
/// must come within `first_silence`.
async fn receive(link: &mut Link, first_silence: Duration) -> Result<BytesMut, AskError> {
    let last = Instant::now() + LONGEST_ANSWER;
    let mut received_bytes = 0;
    let mut silence = first_silence;
    loop {
        let answered = timeout(silence, link.next()).await;
        silence = SILENCE_LIMIT;
        let received_before = received_bytes;
        received_bytes = link.read_buffer().len();
        match answered {
            Ok(Some(Ok(answer))) => return Ok(answer),
            Ok(_) => return Err(AskError::Lost { received_bytes }),
            Err(_) if received_bytes > received_before && Instant::now() < last => {}
            Err(_) => return Err(AskError::Silent { received_bytes }),
        }
    }
}
