//! Links to peers: what is said of calls to a peer that is gone or frozen.

use std::net::SocketAddr;
use std::time::Duration;

use millwind_node::peer::{CallError, DialMap, Patience, PeerLinks};
use millwind_wire::{AwaitPrimary, ExecuteReply, ExecuteResult, Hello, PeerMessage, WirePosition, encode};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

#[derive(Debug)]
struct Plain;

impl DialMap for Plain {
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

fn question(request_id: u64) -> PeerMessage {
    PeerMessage::AwaitPrimary(AwaitPrimary {
        request_id,
        group: "g".to_owned(),
        above_term: 0,
        wait_ms: 1,
    })
}

#[tokio::test]
async fn a_call_to_nobody_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let links = PeerLinks::new(hello(), Box::new(Plain));
    let result = links
        .call(
            address,
            1,
            question(1),
            Duration::from_secs(10),
            Patience::UntilLimit,
        )
        .await;
    assert_eq!(result.expect_err("nobody listens"), CallError::NotSent);
}

/// A frozen process keeps its sockets open. The call under way may have been
/// seen; those behind it are kept from the silent link and were not sent.
#[tokio::test]
async fn a_silent_peer_gets_no_further_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let links = PeerLinks::new(hello(), Box::new(Plain));
    let under_way = {
        let links = links.clone();
        let limit = Duration::from_secs(30);
        tokio::spawn(async move {
            links
                .call(address, 1, question(1), limit, Patience::UntilLimit)
                .await
        })
    };
    let _frozen = listener.accept().await.expect("the link opens");
    let mut not_sent = false;
    for request_id in 2..200 {
        let call = links.call(
            address,
            request_id,
            question(request_id),
            Duration::from_millis(50),
            Patience::UntilLimit,
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
    assert!(not_sent, "every call was given to the silent link");
    let result = under_way.await.expect("joins");
    assert_eq!(result.expect_err("no answer"), CallError::Lost);
}

/// A read can run elsewhere: it is given up as soon as the peer falls silent,
/// not only with the link.
#[tokio::test]
async fn a_read_does_not_wait_for_a_silent_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let links = PeerLinks::new(hello(), Box::new(Plain));
    let call = |id, patience| {
        let links = links.clone();
        let limit = Duration::from_secs(30);
        tokio::spawn(async move { links.call(address, id, question(id), limit, patience).await })
    };
    let write = call(1, Patience::UntilLimit);
    let read = call(2, Patience::WhileHeard);
    let _frozen = listener.accept().await.expect("the link opens");
    let result = read.await.expect("joins");
    assert_eq!(result.expect_err("no answer"), CallError::Lost);
    assert!(!write.is_finished(), "the write still waits for its answer");
    write.abort();
}

/// Size of a large result, and of the parts in which it arrives.
const RESULT_BYTES: usize = 480_000;
const PART_BYTES: usize = 20_000;
/// Between two parts: the whole takes 2.4 s, beyond the silence after which a link
/// is dropped.
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

/// A large result over a narrow link is no silence.
#[tokio::test]
async fn a_result_that_keeps_arriving_keeps_its_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let links = PeerLinks::new(hello(), Box::new(Plain));
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
        .call(address, 1, question(1), limit, Patience::WhileHeard)
        .await;
    assert!(
        matches!(result, Ok(PeerMessage::ExecuteReply(_))),
        "the link was given up"
    );
}
