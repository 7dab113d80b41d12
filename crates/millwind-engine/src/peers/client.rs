//! Asks other nodes. Connections to those asked last are kept: how many does
//! not grow with the number of nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use millwind_wire::exchange::{ExchangeReply, ExchangeRequest, decode_exchange, encode_exchange};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{ANSWER_LIMIT, AskError, frames};
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
    /// Asks the node at `address`.
    pub async fn ask(
        &self,
        address: SocketAddr,
        request: &ExchangeRequest,
    ) -> Result<ExchangeReply, AskError> {
        let deadline = Instant::now() + ANSWER_LIMIT;
        let kept = self.link(address);
        let held = timeout_at(deadline, kept.lock()).await;
        let mut held = held.map_err(|_| AskError::ConnectTimeout)?;
        // Taken out, so that a link without its answer is not used again.
        let mut link = match held.take() {
            Some(link) => link,
            None => connect(address, deadline).await?,
        };
        let reply = exchange(&mut link, request, deadline).await?;
        *held = Some(link);
        Ok(reply)
    }

    /// As [`PeerClient::ask`], over a connection of its own that is not kept, for
    /// a question to every node; the answer comes within `limit`.
    pub async fn ask_apart(
        &self,
        address: SocketAddr,
        request: &ExchangeRequest,
        limit: Duration,
    ) -> Result<ExchangeReply, AskError> {
        let deadline = Instant::now() + limit;
        let mut link = connect(address, deadline).await?;
        exchange(&mut link, request, deadline).await
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

async fn connect(address: SocketAddr, deadline: Instant) -> Result<Link, AskError> {
    let connected = timeout_at(deadline, TcpStream::connect(address)).await;
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
    deadline: Instant,
) -> Result<ExchangeReply, AskError> {
    let message = Bytes::from(encode_exchange(request)?);
    let sent = timeout_at(deadline, link.send(message)).await;
    sent.map_err(|_| AskError::TimedOut { received_bytes: 0 })?
        .map_err(|_| AskError::Lost { received_bytes: 0 })?;
    let answered = timeout_at(deadline, link.next()).await;
    let received_bytes = link.read_buffer().len();
    let answer = answered.map_err(|_| AskError::TimedOut { received_bytes })?;
    let answer = answer.and_then(Result::ok);
    let answer = answer.ok_or(AskError::Lost { received_bytes })?;
    Ok(decode_exchange(&answer)?)
}
