//! Relays that carry one zone's links to a process in another: each adds the
//! latency between them, and can be cut. What is under way when a link is cut
//! arrives late, when it is healed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const CHUNK_BYTES: usize = 16 * 1024;
const CHUNKS_UNDER_WAY: usize = 256;

/// A pair of places whose links are cut together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkKey {
    from: String,
    to: String,
}

impl LinkKey {
    /// The pair, in either order.
    pub fn new(left: &str, right: &str) -> Self {
        let (from, to) = if left <= right {
            (left, right)
        } else {
            (right, left)
        };
        LinkKey {
            from: from.to_owned(),
            to: to.to_owned(),
        }
    }
}

/// All relays of a run.
#[derive(Debug, Default)]
pub struct Relays {
    cuts: Mutex<HashMap<LinkKey, Arc<watch::Sender<bool>>>>,
}

impl Relays {
    fn switch(&self, key: &LinkKey) -> Arc<watch::Sender<bool>> {
        let mut cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        cuts.entry(key.clone())
            .or_insert_with(|| Arc::new(watch::channel(false).0))
            .clone()
    }

    /// Cuts or heals the links between two places.
    pub fn set_cut(&self, left: &str, right: &str, cut: bool) {
        self.switch(&LinkKey::new(left, right)).send_replace(cut);
    }

    /// Opens a relay to `target` with this one-way latency; returns where to
    /// dial it.
    pub async fn open(
        &self,
        key: LinkKey,
        target: SocketAddr,
        latency: Duration,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let cut = self.switch(&key);
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(carry(inbound, target, latency, cut.subscribe()));
            }
        });
        Ok(address)
    }
}

async fn carry(inbound: TcpStream, target: SocketAddr, latency: Duration, mut cut: watch::Receiver<bool>) {
    // A cut link takes no new connection through.
    if cut.wait_for(|cut| !cut).await.is_err() {
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let there = pump(inbound_read, outbound_write, latency, cut.clone());
    let back = pump(outbound_read, inbound_write, latency, cut);
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    latency: Duration,
    mut cut: watch::Receiver<bool>,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_UNDER_WAY);
    let reader = async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(length) = from.read(&mut chunk).await {
            if length == 0
                || sender
                    .send((Instant::now() + latency, chunk[..length].to_vec()))
                    .await
                    .is_err()
            {
                return;
            }
        }
    };
    let writer = async move {
        while let Some((due, bytes)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            if cut.wait_for(|cut| !cut).await.is_err() || to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(reader, writer);
}
