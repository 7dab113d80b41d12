//! Asks other nodes, over one kept connection to each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use millwind_wire::exchange::{ExchangeReply, ExchangeRequest, decode_exchange, encode_exchange};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::{ANSWER_LIMIT, frames};

type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Connections to other nodes.
#[derive(Debug, Default)]
pub struct PeerClient {
    links: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Option<Link>>>>>,
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

    fn link(&self, address: SocketAddr) -> Arc<tokio::sync::Mutex<Option<Link>>> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.entry(address).or_default().clone()
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
