//! Calls over links to peers that are unreachable, frozen or slow.

use std::net::SocketAddr;
use std::time::Duration;

use millwind_node::peer::{CallError, DialAddressMap, OnSilence, PeerLinks};
use millwind_wire::{AwaitPrimary, ExecuteReply, ExecuteResult, Hello, PeerMessage, WirePosition, encode};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

#[derive(Debug)]
struct IdentityMap;

impl DialAddressMap for IdentityMap {
    fn dial_address(&self, advertised: SocketAddr) -> SocketAddr {
        advertised
    }
}

fn hello() -> Hello {
    Hello {
        node: "n".to_owned(),
        incarnation: 1,
    }
}

fn request(request_id: u64) -> PeerMessage {
    PeerMessage::AwaitPrimary(AwaitPrimary {
        request_id,
        group: "g".to_owned(),
        above_term: 0,
        wait_ms: 1,
    })
}

#[tokio::test]
async fn a_call_without_a_listener_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let links = PeerLinks::new(hello(), Box::new(IdentityMap));
    let result = links
        .call(
            address,
            1,
            request(1),
            Duration::from_secs(10),
            OnSilence::KeepWaiting,
        )
        .await;
    assert_eq!(result.expect_err("nothing listens"), CallError::NotSent);
}

/// A frozen process keeps its sockets open. The call in flight may have been
/// received, but later calls must fail as not sent.
#[tokio::test]
async fn a_silent_peer_gets_no_further_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let links = PeerLinks::new(hello(), Box::new(IdentityMap));
    let in_flight = {
        let links = links.clone();
        let limit = Duration::from_secs(30);
        tokio::spawn(async move {
            links
                .call(address, 1, request(1), limit, OnSilence::KeepWaiting)
                .await
        })
    };
    let _frozen = listener.accept().await.expect("the link opens");
    let mut not_sent = false;
    for request_id in 2..200 {
        let call = links.call(
            address,
            request_id,
            request(request_id),
            Duration::from_millis(50),
            OnSilence::KeepWaiting,
        );
        match call.await {
            Err(CallError::NotSent) => {
                not_sent = true;
                break;
            }
            Err(CallError::Lost) => {}
            Ok(_) => panic!("a frozen peer answered"),
        }
    }
    assert!(not_sent, "no call failed as not sent on the silent link");
    let result = in_flight.await.expect("joins");
    assert_eq!(result.expect_err("no answer"), CallError::Lost);
}

/// A read can run on another node, so the call must fail as soon as the peer is
/// silent, before the link is closed.
#[tokio::test]
async fn a_read_does_not_wait_for_a_silent_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let links = PeerLinks::new(hello(), Box::new(IdentityMap));
    let call = |id, patience| {
        let links = links.clone();
        let limit = Duration::from_secs(30);
        tokio::spawn(async move { links.call(address, id, request(id), limit, patience).await })
    };
    let write = call(1, OnSilence::KeepWaiting);
    let read = call(2, OnSilence::FailCall);
    let _frozen = listener.accept().await.expect("the link opens");
    let result = read.await.expect("joins");
    assert_eq!(result.expect_err("no answer"), CallError::Lost);
    assert!(!write.is_finished(), "the write still waits for its answer");
    write.abort();
}

/// Size of a large result.
const RESULT_BYTES: usize = 480_000;
/// Size of the parts in which the result arrives.
const PART_BYTES: usize = 20_000;
/// Pause before each part. The whole result takes 2.4 s, longer than the silence
/// after which a link is closed.
const PART_PAUSE: Duration = Duration::from_millis(100);

fn large_result(request_id: u64) -> PeerMessage {
    let position = WirePosition {
        term: 1,
        log_position: 1,
    };
    PeerMessage::ExecuteReply(ExecuteReply {
        request_id,
        result: ExecuteResult::Answered {
            position,
            transaction_status: b'I',
            pin: 0,
            batch: vec![7; RESULT_BYTES],
        },
        primary: 1,
        held: position,
        history: vec![],
        lag_ms: 0,
    })
}

/// A link must not count as silent while a large message is arriving.
#[tokio::test]
async fn a_slow_large_result_keeps_the_link_open() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let links = PeerLinks::new(hello(), Box::new(IdentityMap));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the link opens");
        let message = encode(&large_result(1)).expect("encodes");
        stream.write_u32(message.len() as u32).await.expect("writes");
        for part in message.chunks(PART_BYTES) {
            tokio::time::sleep(PART_PAUSE).await;
            if stream.write_all(part).await.is_err() {
                return;
            }
        }
    });
    let limit = Duration::from_secs(30);
    let result = links
        .call(address, 1, request(1), limit, OnSilence::FailCall)
        .await;
    assert!(
        matches!(result, Ok(PeerMessage::ExecuteReply(_))),
        "the link was closed while the result arrived"
    );
}

/// Interval between two messages without a reply.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a silent link is replaced.
const REPLACEMENT_TIME: Duration = Duration::from_secs(5);

/// Guards against a link that went silent and carries only messages without replies, such as
/// digests: it was never replaced, and all of them were lost.
#[tokio::test]
async fn a_silent_link_without_calls_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let links = PeerLinks::new(hello(), Box::new(IdentityMap));
    let sender = tokio::spawn(async move {
        loop {
            links.send(address, request(1));
            tokio::time::sleep(MESSAGE_INTERVAL).await;
        }
    });
    let _silent = listener.accept().await.expect("the link opens");
    let replaced = tokio::time::timeout(REPLACEMENT_TIME, listener.accept()).await;
    sender.abort();
    assert!(replaced.is_ok(), "no other link was opened");
}
