//! A large answer that arrives slowly is not mistaken for a silent peer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use millwind_engine::peers::PeerClient;
use millwind_wire::exchange::{
    DocumentList, ExchangeReply, ExchangeRequest, Reach, StoredDocument, decode_exchange, encode_exchange,
};
use millwind_wire::store_revision::StoreRevision;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Size of the answer in bytes.
const ANSWER_SIZE: usize = 480_000;
/// Number of parts that the answer is sent in.
const PARTS: usize = 24;
/// Interval between two parts; sending all parts takes 1.2 s.
const PART_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time until a request to a silent peer fails.
const GIVE_UP_LIMIT: Duration = Duration::from_millis(1_200);

fn catalog_request() -> ExchangeRequest {
    ExchangeRequest::Catalog {
        config_version: 0,
        instances_revision: StoreRevision::new(0, 0),
        own_revision: StoreRevision::new(0, 0),
        evacuations_revision: StoreRevision::new(0, 0),
        as_relay: 1,
        as_monitor: 0,
    }
}

fn large_answer() -> ExchangeReply {
    let document = StoredDocument {
        key: String::new(),
        revision: StoreRevision::new(0, 7),
        removed: 0,
        value: vec![7; ANSWER_SIZE],
    };
    ExchangeReply::Catalog {
        config: vec![],
        evacuations: vec![],
        instances: DocumentList::new(None, vec![document]),
        instances_revision: StoreRevision::new(0, 0),
        own: DocumentList::default(),
        own_revision: StoreRevision::new(0, 0),
        complete: 1,
        instances_age_ms: 0,
        config_age_ms: 0,
        own_age_ms: 0,
    }
}

/// Answers requests in order, and sends catalogs slowly.
async fn serve(stream: TcpStream) {
    let mut link = Framed::new(stream, LengthDelimitedCodec::new());
    while let Some(Ok(message)) = link.next().await {
        let request: ExchangeRequest = decode_exchange(&message).unwrap();
        if matches!(request, ExchangeRequest::Reach { .. }) {
            let answer = encode_exchange(&ExchangeReply::Reach(Reach::Reached)).unwrap();
            if link.send(Bytes::from(answer)).await.is_err() {
                return;
            }
            continue;
        }
        let answer = encode_exchange(&large_answer()).unwrap();
        let stream = link.get_mut();
        stream.write_u32(answer.len() as u32).await.unwrap();
        for part in answer.chunks(answer.len().div_ceil(PARTS)) {
            tokio::time::sleep(PART_INTERVAL).await;
            if stream.write_all(part).await.is_err() {
                return;
            }
        }
    }
}

async fn start_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

#[tokio::test]
async fn a_slowly_arriving_answer_is_received() {
    let peer = start_peer().await;
    let answer = PeerClient::default().ask(peer, &catalog_request()).await;
    assert!(answer.is_ok(), "{:?}", answer.err());
}

#[tokio::test]
async fn a_request_to_a_silent_peer_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let started = Instant::now();
    let answer = PeerClient::default().ask(peer, &catalog_request()).await;
    assert!(answer.is_err(), "the peer never answers");
    assert!(started.elapsed() < GIVE_UP_LIMIT, "{:?}", started.elapsed());
}
