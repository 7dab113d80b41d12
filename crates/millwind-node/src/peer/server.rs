//! Inbound links: accepts connections of peers, dispatches their messages and sends
//! replies.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream::SplitSink;
use futures::{SinkExt, StreamExt};
use log::{debug, warn};
use millwind_wire::PeerMessage;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::frame_codec;

const REPLY_QUEUE_LENGTH: usize = 4_096;

/// The sending side of an inbound link.
#[derive(Debug, Clone)]
pub struct InboundLink {
    /// Id of the link, unique in this process.
    pub id: u64,
    /// Node name from the peer's hello message.
    pub peer: Arc<str>,
    replies: mpsc::Sender<PeerMessage>,
}

impl InboundLink {
    /// Queues a reply; the reply is dropped if the link has closed.
    pub async fn reply(&self, message: PeerMessage) {
        let _ = self.replies.send(message).await;
    }
}

/// Handles the messages of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles one message. Must not block, because messages of a link are handled
    /// in sequence.
    fn handle(&self, link: &InboundLink, message: PeerMessage);
    /// Called when a link has closed; releases the resources held for the link.
    fn closed(&self, link: &InboundLink);
}

/// Accepts links forever; retries after a short pause if accepting fails.
pub async fn serve(listener: TcpListener, handler: Arc<dyn PeerHandler>) {
    let mut next_id = 0;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("event=peer_accept_failed error={error:?}");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                continue;
            }
        };
        next_id += 1;
        let handler = handler.clone();
        let id = next_id;
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            serve_link(id, stream, handler).await;
        });
    }
}

/// Reads messages of one link until the link closes or sends an invalid frame.
async fn serve_link(id: u64, stream: TcpStream, handler: Arc<dyn PeerHandler>) {
    let mut framed = Framed::new(stream, frame_codec());
    let Some(peer) = read_hello(&mut framed).await else {
        return;
    };
    debug!("event=peer_link_opened peer={peer} link={id}");
    let (replies, outgoing) = mpsc::channel(REPLY_QUEUE_LENGTH);
    let link = InboundLink { id, peer, replies };
    let (sink, mut source) = framed.split();
    let writer = tokio::spawn(write_replies(sink, outgoing));
    while let Some(Ok(frame)) = source.next().await {
        match millwind_wire::decode(&frame) {
            Ok(PeerMessage::KeepAlive) => link.reply(PeerMessage::KeepAlive).await,
            Ok(message) => handler.handle(&link, message),
            Err(error) => {
                warn!(
                    "event=peer_frame_refused peer={} error={:?}",
                    link.peer,
                    error.to_string()
                );
                break;
            }
        }
    }
    handler.closed(&link);
    writer.abort();
}

/// Reads the hello message, which must come first, and returns the peer's name.
async fn read_hello(framed: &mut Framed<TcpStream, LengthDelimitedCodec>) -> Option<Arc<str>> {
    let first = framed.next().await?.ok()?;
    match millwind_wire::decode(&first) {
        Ok(PeerMessage::Hello(hello)) => Some(Arc::from(hello.node.as_str())),
        Ok(_) => None,
        Err(error) => {
            warn!("event=peer_refused error={:?}", error.to_string());
            None
        }
    }
}

/// Writes replies and flushes once per batch of queued replies.
async fn write_replies(
    mut sink: SplitSink<Framed<TcpStream, LengthDelimitedCodec>, Bytes>,
    mut outgoing: mpsc::Receiver<PeerMessage>,
) {
    while let Some(message) = outgoing.recv().await {
        let mut next = Some(message);
        while let Some(message) = next {
            let Ok(frame) = millwind_wire::encode(&message) else {
                return;
            };
            if sink.feed(Bytes::from(frame)).await.is_err() {
                return;
            }
            next = outgoing.try_recv().ok();
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}
