//! A link to an owner: what counts as silence, and how a link ends that has not
//! proved itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use millwind_engine::forward::{LinkSuspicion, OwnerLink};
use millwind_wire::forward::{
    ForwardReply, ForwardRequest, ForwardedAnswer, ForwardedOutcome, ForwardedRow, ForwardedStatement,
    decode_forward, encode_forward,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// A large answer has so many rows of the next many bytes.
const ROWS: usize = 24;
const ROW_BYTES: usize = 20_000;
/// It is sent row by row, with this pause between two: 1.4 s in all, beyond the
/// silence after which a link is given up.
const PAUSE: Duration = Duration::from_millis(60);
/// Time for a proof, far below what the owner of a test takes.
const PROOF: Duration = Duration::from_millis(30);
/// Far beyond what anything in a test takes.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Owner {
    /// Answers calls slowly, and says nothing else.
    Slow,
    /// Answers calls at once, and never says that it lives.
    Mute,
}

fn statement(call: u64) -> ForwardRequest {
    ForwardRequest::Run(ForwardedStatement {
        call,
        lease: 1,
        limit_ms: 5_000,
        start: vec![],
        values: vec![],
        id: "id".to_owned(),
        text: "READ thing".to_owned(),
        execution: vec![],
        confirms_leader: 0,
    })
}

fn answer(call: u64, rows: usize) -> Vec<u8> {
    let row = ForwardedRow {
        row: "x".repeat(ROW_BYTES),
    };
    let answer = ForwardedAnswer {
        call,
        outcome: ForwardedOutcome::Complete {
            signature: "s".to_owned(),
        },
        rows: vec![row; rows],
        state: 0,
        position: vec![],
        leader: vec![],
    };
    encode_forward(&ForwardReply::Answer(answer)).unwrap()
}

/// Serves one link until it ends.
async fn serve(stream: TcpStream, owner: Owner) {
    let mut link = Framed::new(stream, LengthDelimitedCodec::new());
    while let Some(Ok(message)) = link.next().await {
        let Ok(ForwardRequest::Run(statement)) = decode_forward(&message) else {
            continue;
        };
        if owner == Owner::Mute {
            let answer = answer(statement.call, 0);
            link.send(Bytes::from(answer)).await.unwrap();
            continue;
        }
        let answer = answer(statement.call, ROWS);
        let stream = link.get_mut();
        stream.write_u32(answer.len() as u32).await.unwrap();
        for part in answer.chunks(ROW_BYTES) {
            tokio::time::sleep(PAUSE).await;
            if stream.write_all(part).await.is_err() {
                return;
            }
        }
    }
}

/// A link to an owner, and what tells when the owner's end of it has ended.
async fn linked(owner: Owner) -> (Arc<OwnerLink>, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let (ended, is_ended) = oneshot::channel();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve(stream, owner).await;
        let _ = ended.send(());
    });
    let stream = TcpStream::connect(address).await.unwrap();
    (
        OwnerLink::start(address, stream, Arc::new(LinkSuspicion::default())),
        is_ended,
    )
}

#[tokio::test]
async fn an_answer_that_keeps_arriving_keeps_its_link() {
    let (link, _ended) = linked(Owner::Slow).await;
    let answered = link.call(1, statement(1));
    let answer = tokio::time::timeout(PATIENCE, answered).await.unwrap();
    assert_eq!(answer.expect("the link was kept").rows.len(), ROWS);
}

#[tokio::test]
async fn a_link_without_a_proof_takes_nothing_new_and_serves_what_it_has() {
    let (link, _ended) = linked(Owner::Mute).await;
    assert!(!link.probe(PROOF).await, "the owner is mute");
    assert!(!link.accepts_leases());
    let answered = link.call(1, statement(1));
    let answer = tokio::time::timeout(PATIENCE, answered).await.unwrap();
    assert!(answer.is_ok(), "an open transaction's statement was not run");
}

#[tokio::test]
async fn a_link_ends_with_its_last_holder() {
    let (link, ended) = linked(Owner::Mute).await;
    let lease = link.clone();
    assert!(!link.probe(PROOF).await, "the owner is mute");
    drop(link);
    let answered = lease.call(1, statement(1));
    assert!(tokio::time::timeout(PATIENCE, answered).await.unwrap().is_ok());
    drop(lease);
    let ended = tokio::time::timeout(PATIENCE, ended).await;
    assert!(ended.is_ok(), "the owner's end is still open");
}
