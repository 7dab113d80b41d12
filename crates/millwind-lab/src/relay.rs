//! TCP relays that inject latency and partitions between two endpoints. Data in
//! transit during a partition is delivered when the partition ends.

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
const MAX_BUFFERED_CHUNKS: usize = 256;

/// Unordered pair of endpoint names; a partition affects all relays of a pair.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointPair {
    first: String,
    second: String,
}

impl EndpointPair {
    /// Returns the same pair for either order of the names.
    pub fn new(left: &str, right: &str) -> Self {
        let (first, second) = if left <= right {
            (left, right)
        } else {
            (right, left)
        };
        EndpointPair {
            first: first.to_owned(),
            second: second.to_owned(),
        }
    }
}

/// Relays of a deployment, with the partition state of each endpoint pair.
#[derive(Debug, Default)]
pub struct Relays {
    partitions: Mutex<HashMap<EndpointPair, Arc<watch::Sender<bool>>>>,
}

impl Relays {
    /// Returns the sender of the pair's partition state; `true` means partitioned.
    fn partition_switch(&self, endpoints: &EndpointPair) -> Arc<watch::Sender<bool>> {
        let mut partitions = self.partitions.lock().unwrap_or_else(PoisonError::into_inner);
        partitions
            .entry(endpoints.clone())
            .or_insert_with(|| Arc::new(watch::channel(false).0))
            .clone()
    }

    /// Starts or ends a partition between two endpoints.
    pub fn set_partitioned(&self, left: &str, right: &str, partitioned: bool) {
        self.partition_switch(&EndpointPair::new(left, right))
            .send_replace(partitioned);
    }

    /// Opens a relay to `target` with a one-way latency; returns the relay's
    /// address. Fails if no listener can be bound.
    pub async fn open(
        &self,
        endpoints: EndpointPair,
        target: SocketAddr,
        latency: Duration,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let partitioned = self.partition_switch(&endpoints);
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                tokio::spawn(proxy_connection(
                    inbound,
                    target,
                    latency,
                    partitioned.subscribe(),
                ));
            }
        });
        Ok(address)
    }
}

/// Connects to `target` and forwards data both ways until either side closes.
async fn proxy_connection(
    inbound: TcpStream,
    target: SocketAddr,
    latency: Duration,
    mut partitioned: watch::Receiver<bool>,
) {
    // New connections wait for the end of the partition.
    if partitioned.wait_for(|partitioned| !partitioned).await.is_err() {
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let outbound_forward = forward(inbound_read, outbound_write, latency, partitioned.clone());
    let inbound_forward = forward(outbound_read, inbound_write, latency, partitioned);
    tokio::select! {
        () = outbound_forward => {}
        () = inbound_forward => {}
    }
}

/// Forwards data in one direction, delayed by `latency` and by partitions.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    latency: Duration,
    mut partitioned: watch::Receiver<bool>,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_BUFFERED_CHUNKS);
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
            if partitioned.wait_for(|partitioned| !partitioned).await.is_err()
                || to.write_all(&bytes).await.is_err()
            {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(reader, writer);
}
