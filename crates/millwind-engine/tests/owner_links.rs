//! Links to an owner: when a link counts as silent, and how a link ends whose owner fails a
//! liveness probe.

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

/// Rows of a large answer, and the size of each row.
const ANSWER_ROWS: usize = 24;
const ROW_BYTES: usize = 20_000;
/// Interval between the parts of a large answer. Sending all parts takes longer than the
/// silence after which a link is closed.
const PART_INTERVAL: Duration = Duration::from_millis(60);
/// Time limit of a liveness probe, which the owner does not answer.
const PROBE_LIMIT: Duration = Duration::from_millis(30);
/// Longest wait for any event in a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerBehaviour {
    /// Answers calls slowly, and ignores liveness probes.
    AnswersSlowly,
    /// Answers calls at once, and ignores liveness probes.
    IgnoresProbes,
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

/// Serves one link until the peer closes it.
async fn serve(stream: TcpStream, owner: OwnerBehaviour) {
    let mut link = Framed::new(stream, LengthDelimitedCodec::new());
    while let Some(Ok(message)) = link.next().await {
        let Ok(ForwardRequest::Run(statement)) = decode_forward(&message) else {
            continue;
        };
        if owner == OwnerBehaviour::IgnoresProbes {
            let answer = answer(statement.call, 0);
            link.send(Bytes::from(answer)).await.unwrap();
            continue;
        }
        let answer = answer(statement.call, ANSWER_ROWS);
        let stream = link.get_mut();
        stream.write_u32(answer.len() as u32).await.unwrap();
        for part in answer.chunks(ROW_BYTES) {
            tokio::time::sleep(PART_INTERVAL).await;
            if stream.write_all(part).await.is_err() {
                return;
            }
        }
    }
}

/// Connects to an owner. The receiver resolves when the owner's end of the link is closed.
async fn connect_to(owner: OwnerBehaviour) -> (Arc<OwnerLink>, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let (ended, ended_receiver) = oneshot::channel();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve(stream, owner).await;
        let _ = ended.send(());
    });
    let stream = TcpStream::connect(address).await.unwrap();
    (
        OwnerLink::start(address, stream, Arc::new(LinkSuspicion::default())),
        ended_receiver,
    )
}

#[tokio::test]
async fn a_slowly_arriving_answer_keeps_its_link() {
    let (link, _ended) = connect_to(OwnerBehaviour::AnswersSlowly).await;
    let answered = link.call(1, statement(1));
    let answer = tokio::time::timeout(TEST_TIMEOUT, answered).await.unwrap();
    assert_eq!(
        answer
            .expect("the link was closed before the whole answer arrived")
            .rows
            .len(),
        ANSWER_ROWS
    );
}

#[tokio::test]
async fn a_link_with_a_failed_probe_takes_no_new_leases_and_serves_open_ones() {
    let (link, _ended) = connect_to(OwnerBehaviour::IgnoresProbes).await;
    assert!(!link.probe(PROBE_LIMIT).await, "the owner ignores probes");
    assert!(!link.accepts_leases());
    let answered = link.call(1, statement(1));
    let answer = tokio::time::timeout(TEST_TIMEOUT, answered).await.unwrap();
    assert!(answer.is_ok(), "a statement of an open transaction did not run");
}

#[tokio::test]
async fn a_link_closes_when_its_last_reference_is_dropped() {
    let (link, ended) = connect_to(OwnerBehaviour::IgnoresProbes).await;
    let lease = link.clone();
    assert!(!link.probe(PROBE_LIMIT).await, "the owner ignores probes");
    drop(link);
    let answered = lease.call(1, statement(1));
    assert!(
        tokio::time::timeout(TEST_TIMEOUT, answered)
            .await
            .unwrap()
            .is_ok()
    );
    drop(lease);
    let ended = tokio::time::timeout(TEST_TIMEOUT, ended).await;
    assert!(ended.is_ok(), "the owner's end is still open");
}
