//! An etcd client whose connection goes silent: it stays open and is acknowledged at TCP level,
//! but carries nothing, while new connections work.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use millwind_lab::platform::Platform;
use millwind_lab::ports::free_address;
use millwind_store::etcd::EtcdStore;
use millwind_store::{
    Condition, DEFAULT_IDLE_TIMEOUT, Entry, Store, StoreError, StoreRevision, Swap, Watch, Write,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time within which a configuration must be in force on every node.
const CONFIG_BOUND: Duration = Duration::from_secs(20);
const PREFIX: &str = "config/";

/// A TCP proxy whose open connections can go silent.
struct SilencingProxy {
    address: SocketAddr,
    silenced: watch::Sender<u64>,
}

impl SilencingProxy {
    async fn start(target: SocketAddr) -> SilencingProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("an address");
        let silenced = watch::Sender::new(0);
        let generations = silenced.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward_until_silenced(client, target, generations.subscribe()));
            }
        });
        SilencingProxy { address, silenced }
    }

    fn silence_open_connections(&self) {
        self.silenced.send_modify(|generation| *generation += 1);
    }
}

/// Forwards both directions until connections are silenced; then reads and drops all data.
async fn forward_until_silenced(
    mut client: TcpStream,
    target: SocketAddr,
    mut silenced: watch::Receiver<u64>,
) {
    let mut server = TcpStream::connect(target).await.expect("connects");
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => return,
        _ = silenced.changed() => {}
    }
    let mut dropped = [0; 1_024];
    while client.read(&mut dropped).await.is_ok_and(|count| count > 0) {}
    let _ = server.shutdown().await;
}

/// Lists and watches until the second write is seen. Fails if the store is lost.
async fn follow(store: &EtcdStore) -> Result<(), StoreError> {
    let listing = store.list(PREFIX, DEFAULT_IDLE_TIMEOUT).await?;
    if listing.entries.iter().any(is_second_write) {
        return Ok(());
    }
    let mut watch = store.watch(PREFIX, listing.revision).await?;
    while !watch.next().await?.changes.iter().any(is_second_write) {}
    Ok(())
}

fn is_second_write(entry: &Entry) -> bool {
    entry.value.as_deref() == Some(b"second")
}

async fn write(store: &EtcdStore, key: &str, value: &[u8], revision: StoreRevision) -> StoreRevision {
    let condition = Condition {
        key: key.to_owned(),
        revision,
    };
    let write = Write {
        key: key.to_owned(),
        value: value.to_vec(),
    };
    match store
        .swap(&[condition], &[write])
        .await
        .expect("the store answers")
    {
        Swap::Done { revision } => revision,
        conflict => panic!("{conflict:?}"),
    }
}

/// Guards against a client that uses a connection which went silent for all later calls, so that
/// its node never reads a configuration again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_to_the_store_is_replaced_in_time() {
    let listen = free_address().expect("an address");
    let control = free_address().expect("an address");
    let _platform = Platform::start(listen, control)
        .await
        .expect("the platform starts");
    let proxy = SilencingProxy::start(listen).await;
    let direct = EtcdStore::new(&[listen]).expect("a client");
    let store = EtcdStore::new(&[proxy.address]).expect("a client");
    let key = format!("{PREFIX}routes");
    let first = write(&direct, &key, b"first", StoreRevision::NONE).await;
    let following = tokio::spawn(async move { while follow(&store).await.is_err() {} });
    tokio::time::sleep(Duration::from_secs(1)).await;
    proxy.silence_open_connections();
    let written = Instant::now();
    write(&direct, &key, b"second", first).await;
    let seen = tokio::time::timeout(CONFIG_BOUND, following).await;
    assert!(seen.is_ok(), "the write was not seen");
    println!("seen after {:?}", written.elapsed());
}
