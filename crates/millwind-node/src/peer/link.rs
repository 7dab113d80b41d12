//! Outbound links, one per peer address, opened on first use.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use millwind_wire::{Hello, PeerMessage};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::frame_codec;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of keep-alive messages while something that was sent is unanswered.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a link with calls in flight accepts no new calls. New calls
/// fail as not sent, so that another owner can run them.
const SILENT_AFTER: Duration = Duration::from_millis(600);
/// Silence after which a link is closed if something was sent since.
const DISCONNECT_AFTER: Duration = Duration::from_secs(2);
const COMMAND_QUEUE_LENGTH: usize = 1_024;

/// The reason why a call got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// The message was not sent, so the peer has not received it.
    #[error("peer not reachable")]
    NotSent,
    /// The link failed or the call timed out; the peer may have received the message.
    #[error("link to peer lost")]
    Lost,
}

type CallReply = oneshot::Sender<Result<PeerMessage, CallError>>;

/// How long a call waits for its reply once the link is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnSilence {
    /// Waits until the call's own time limit. For calls whose effects make a repeat
    /// unsafe.
    KeepWaiting,
    /// Fails as soon as the link counts as silent. For calls that another node can
    /// run instead.
    FailCall,
}

/// A call that waits for its reply.
struct PendingCall {
    patience: OnSilence,
    reply: CallReply,
}

/// An instruction to the task that runs a link.
enum Command {
    Send(PeerMessage),
    Call(u64, PeerMessage, PendingCall),
    /// Drops the pending call with this request id.
    Cancel(u64),
}

#[derive(Debug, Clone)]
struct Link {
    commands: mpsc::Sender<Command>,
    /// Set while the peer has been silent for longer than [`SILENT_AFTER`].
    silent: Arc<AtomicBool>,
}

/// All outbound links of a node.
#[derive(Debug)]
pub struct PeerLinks {
    hello: Hello,
    dial: Box<dyn DialAddressMap>,
    links: Mutex<HashMap<SocketAddr, Link>>,
    next_request: AtomicU64,
}

/// Maps the advertised address of a peer to the address to connect to.
pub trait DialAddressMap: Send + Sync + std::fmt::Debug {
    /// Returns the address to connect to.
    fn dial_address(&self, advertised: SocketAddr) -> SocketAddr;
}

impl DialAddressMap for crate::NodeSettings {
    fn dial_address(&self, advertised: SocketAddr) -> SocketAddr {
        crate::NodeSettings::connect_address(self, advertised)
    }
}

impl PeerLinks {
    /// Creates an empty set of links. Each link sends `hello` when it opens.
    pub fn new(hello: Hello, dial: Box<dyn DialAddressMap>) -> Arc<Self> {
        Arc::new(PeerLinks {
            hello,
            dial,
            links: Mutex::new(HashMap::new()),
            next_request: AtomicU64::new(1),
        })
    }

    /// Returns a request id that is unique in this process.
    pub fn next_request_id(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a message that expects no reply. The message is dropped if the peer
    /// cannot be reached or the link's queue is full.
    pub fn send(self: &Arc<Self>, address: SocketAddr, message: PeerMessage) {
        let _ = self.link(address).commands.try_send(Command::Send(message));
    }

    /// Sends a request and waits up to `limit` for the reply with its id.
    pub async fn call(
        self: &Arc<Self>,
        address: SocketAddr,
        request_id: u64,
        message: PeerMessage,
        limit: Duration,
        patience: OnSilence,
    ) -> Result<PeerMessage, CallError> {
        let link = self.link(address);
        if link.silent.load(Ordering::Relaxed) {
            return Err(CallError::NotSent);
        }
        let (reply, receiver) = oneshot::channel();
        link.commands
            .try_send(Command::Call(
                request_id,
                message,
                PendingCall { patience, reply },
            ))
            .map_err(|_| CallError::NotSent)?;
        let outcome = timeout(limit, receiver).await;
        if outcome.is_err() {
            let _ = link.commands.try_send(Command::Cancel(request_id));
        }
        match outcome {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(CallError::Lost),
        }
    }

    /// Returns the link to an address; opens a new link if there is none or the old
    /// link has closed.
    fn link(self: &Arc<Self>, address: SocketAddr) -> Link {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&address)
            && !link.commands.is_closed()
        {
            return link.clone();
        }
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_LENGTH);
        let silent = Arc::new(AtomicBool::new(false));
        let link = Link {
            commands,
            silent: silent.clone(),
        };
        links.insert(address, link.clone());
        let dial = self.dial.dial_address(address);
        tokio::spawn(run_link(dial, self.hello.clone(), receiver, silent));
        link
    }
}

/// Connects to a peer and runs the link until it fails or falls silent.
async fn run_link(
    address: SocketAddr,
    hello: Hello,
    mut commands: mpsc::Receiver<Command>,
    silent: Arc<AtomicBool>,
) {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        reject_queued_calls(&mut commands);
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, frame_codec());
    if send_message(&mut framed, &PeerMessage::Hello(hello))
        .await
        .is_err()
    {
        return;
    }
    let mut pending: HashMap<u64, PendingCall> = HashMap::new();
    let mut last_received = tokio::time::Instant::now();
    // Whether anything was sent since the peer was last heard. Most messages have no reply, so
    // a keep-alive asks for one.
    let mut is_unanswered = false;
    // Size of the partly received message at the previous keep-alive.
    let mut received_bytes = 0;
    let mut keep_alive_timer = tokio::time::interval(KEEP_ALIVE_INTERVAL);
    keep_alive_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = commands.recv() => {
                let Some(command) = command else { return };
                if pending.is_empty() && !is_unanswered {
                    last_received = tokio::time::Instant::now();
                }
                is_unanswered = true;
                if run_commands(command, &mut commands, &mut framed, &mut pending).await.is_err() {
                    return;
                }
            }
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else { return };
                last_received = tokio::time::Instant::now();
                is_unanswered = false;
                silent.store(false, Ordering::Relaxed);
                let Ok(message) = millwind_wire::decode(&frame) else { return };
                if let Some(call) = reply_request_id(&message).and_then(|id| pending.remove(&id)) {
                    let _ = call.reply.send(Ok(message));
                }
            }
            _ = keep_alive_timer.tick(), if is_unanswered || !pending.is_empty() => {
                pending.retain(|_, call| !call.reply.is_closed());
                // A peer that is still sending a large message is not silent.
                let received_before = received_bytes;
                received_bytes = framed.read_buffer().len();
                if received_bytes > received_before {
                    last_received = tokio::time::Instant::now();
                }
                if last_received.elapsed() > SILENT_AFTER {
                    silent.store(true, Ordering::Relaxed);
                    // Dropping a call's reply sender fails the call as lost.
                    pending.retain(|_, call| call.patience == OnSilence::KeepWaiting);
                }
                if last_received.elapsed() > DISCONNECT_AFTER {
                    return;
                }
                if send_message(&mut framed, &PeerMessage::KeepAlive).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Fails the queued calls as not sent, because the connection was never opened.
fn reject_queued_calls(commands: &mut mpsc::Receiver<Command>) {
    commands.close();
    while let Ok(command) = commands.try_recv() {
        if let Command::Call(_, _, call) = command {
            let _ = call.reply.send(Err(CallError::NotSent));
        }
    }
}

/// Runs a command and all commands already queued, then flushes once.
async fn run_commands(
    first: Command,
    commands: &mut mpsc::Receiver<Command>,
    framed: &mut Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>,
    pending: &mut HashMap<u64, PendingCall>,
) -> Result<(), std::io::Error> {
    let mut next = Some(first);
    while let Some(command) = next {
        match command {
            Command::Send(message) => framed.feed(encode(&message)?).await?,
            Command::Call(id, message, call) => {
                pending.insert(id, call);
                framed.feed(encode(&message)?).await?;
            }
            Command::Cancel(id) => {
                pending.remove(&id);
            }
        }
        next = commands.try_recv().ok();
    }
    SinkExt::<Bytes>::flush(framed).await
}

fn encode(message: &PeerMessage) -> Result<Bytes, std::io::Error> {
    millwind_wire::encode(message)
        .map(Bytes::from)
        .map_err(std::io::Error::other)
}

async fn send_message(
    framed: &mut Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>,
    message: &PeerMessage,
) -> Result<(), std::io::Error> {
    framed.send(encode(message)?).await
}

/// Returns the id of the request that a reply answers.
fn reply_request_id(message: &PeerMessage) -> Option<u64> {
    match message {
        PeerMessage::ExecuteReply(reply) => Some(reply.request_id),
        PeerMessage::ResolveReply(reply) => Some(reply.request_id),
        PeerMessage::GroupStatus(status) => Some(status.request_id),
        _ => None,
    }
}
