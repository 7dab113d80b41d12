//! Asks other nodes. Connections to those asked last are kept: how many does
//! not grow with the number of nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use millwind_core::Instant;
use millwind_wire::exchange::{ExchangeReply, ExchangeRequest, decode_exchange, encode_exchange};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{ANSWER_LIMIT, frames};
use crate::clock;

/// Nodes to which a connection is kept.
const MOST_KEPT: usize = 16;

type Link = Framed<TcpStream, LengthDelimitedCodec>;
type SharedLink = Arc<tokio::sync::Mutex<Option<Link>>>;

#[derive(Debug, Default)]
struct Kept {
    link: SharedLink,
    /// When it was last wanted.
    wanted: Instant,
}

/// Connections to other nodes.
#[derive(Debug, Default)]
pub struct PeerClient {
    links: Mutex<HashMap<SocketAddr, Kept>>,
}

impl PeerClient {
    /// Asks the node at `address`; none if it gives no answer in time.
    pub async fn ask(&self, address: SocketAddr, request: &ExchangeRequest) -> Option<ExchangeReply> {
        let link = self.link(address);
        let asking = async {
            let mut held = link.lock().await;
            // Taken out, so that a link without its answer is not used again.
            let mut link = match held.take() {
                Some(link) => link,
                None => connect(address).await?,
            };
            let reply = exchange(&mut link, request).await?;
            *held = Some(link);
            Some(reply)
        };
        tokio::time::timeout(ANSWER_LIMIT, asking).await.ok().flatten()
    }

    /// As [`PeerClient::ask`], over a connection of its own that is not kept, for
    /// a question to every node; the answer comes within `limit`.
    pub async fn ask_apart(
        &self,
        address: SocketAddr,
        request: &ExchangeRequest,
        limit: Duration,
    ) -> Option<ExchangeReply> {
        let asking = async {
            let mut link = connect(address).await?;
            exchange(&mut link, request).await
        };
        tokio::time::timeout(limit, asking).await.ok().flatten()
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

async fn connect(address: SocketAddr) -> Option<Link> {
    let stream = TcpStream::connect(address).await.ok()?;
    // Without it small messages wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    Some(Framed::new(stream, frames()))
}

async fn exchange(link: &mut Link, request: &ExchangeRequest) -> Option<ExchangeReply> {
    let message = encode_exchange(request).ok()?;
    link.send(Bytes::from(message)).await.ok()?;
    let answer = link.next().await?.ok()?;
    decode_exchange(&answer).ok()
}
