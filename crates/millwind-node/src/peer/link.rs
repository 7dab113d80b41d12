//! Outbound links: one per peer address, opened when first used.

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
/// A link with calls in flight is probed this often.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// A link with calls in flight that is silent this long gets no further calls:
/// they have truthfully not been sent, and another owner can take them.
const SUSPICION_LIMIT: Duration = Duration::from_millis(600);
/// A link with calls in flight that is silent this long is dropped.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
const QUEUE_LENGTH: usize = 1_024;

/// Why a call got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// The message was not given to the link: the peer has not seen it.
    #[error("peer not reachable")]
    NotSent,
    /// The link broke, or no reply came in time: the peer may have seen it.
    #[error("link to peer lost")]
    Lost,
}

type CallReply = oneshot::Sender<Result<PeerMessage, CallError>>;

/// How long a call waits on a link that has fallen silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// Until its own limit: its outcome matters, and the peer may still answer.
    UntilLimit,
    /// While the peer is heard: it can be run elsewhere instead.
    WhileHeard,
}

/// A call that waits for its reply.
struct PendingCall {
    patience: Patience,
    reply: CallReply,
}

enum Command {
    Send(PeerMessage),
    Call(u64, PeerMessage, PendingCall),
    Forget(u64),
}

#[derive(Debug, Clone)]
struct Link {
    commands: mpsc::Sender<Command>,
    silent: Arc<AtomicBool>,
}

/// All outbound links of a node.
#[derive(Debug)]
pub struct PeerLinks {
    hello: Hello,
    dial: Box<dyn DialMap>,
    links: Mutex<HashMap<SocketAddr, Link>>,
    next_request: AtomicU64,
}

/// Maps an advertised address to the one to dial.
pub trait DialMap: Send + Sync + std::fmt::Debug {
    /// The address to dial.
    fn dial_address(&self, advertised: SocketAddr) -> SocketAddr;
}

impl DialMap for crate::NodeSettings {
    fn dial_address(&self, advertised: SocketAddr) -> SocketAddr {
        crate::NodeSettings::dial_address(self, advertised)
    }
}

impl PeerLinks {
    /// No links yet; each will open with `hello`.
    pub fn new(hello: Hello, dial: Box<dyn DialMap>) -> Arc<Self> {
        Arc::new(PeerLinks {
            hello,
            dial,
            links: Mutex::new(HashMap::new()),
            next_request: AtomicU64::new(1),
        })
    }

    /// A request id, unique over this process.
    pub fn next_request_id(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a message that expects no reply; dropped when the peer cannot be
    /// reached or its queue is full.
    pub fn send(self: &Arc<Self>, address: SocketAddr, message: PeerMessage) {
        let _ = self.link(address).commands.try_send(Command::Send(message));
    }

    /// Sends a request and waits for the reply that carries its id.
    pub async fn call(
        self: &Arc<Self>,
        address: SocketAddr,
        request_id: u64,
        message: PeerMessage,
        limit: Duration,
        patience: Patience,
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
            let _ = link.commands.try_send(Command::Forget(request_id));
        }
        match outcome {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(CallError::Lost),
        }
    }

    fn link(self: &Arc<Self>, address: SocketAddr) -> Link {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&address)
            && !link.commands.is_closed()
        {
            return link.clone();
        }
        let (commands, receiver) = mpsc::channel(QUEUE_LENGTH);
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

async fn run_link(
    address: SocketAddr,
    hello: Hello,
    mut commands: mpsc::Receiver<Command>,
    silent: Arc<AtomicBool>,
) {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connected else {
        refuse_queued(&mut commands);
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, frame_codec());
    if feed(&mut framed, &PeerMessage::Hello(hello)).await.is_err() {
        return;
    }
    let mut pending: HashMap<u64, PendingCall> = HashMap::new();
    let mut last_heard = tokio::time::Instant::now();
    // Bytes of an unfinished message at the last probe.
    let mut received_bytes = 0;
    let mut probe = tokio::time::interval(KEEP_ALIVE_INTERVAL);
    probe.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = commands.recv() => {
                let Some(command) = command else { return };
                if pending.is_empty() {
                    last_heard = tokio::time::Instant::now();
                }
                if run_commands(command, &mut commands, &mut framed, &mut pending).await.is_err() {
                    return;
                }
            }
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else { return };
                last_heard = tokio::time::Instant::now();
                silent.store(false, Ordering::Relaxed);
                let Ok(message) = millwind_wire::decode(&frame) else { return };
                if let Some(call) = request_id(&message).and_then(|id| pending.remove(&id)) {
                    let _ = call.reply.send(Ok(message));
                }
            }
            _ = probe.tick(), if !pending.is_empty() => {
                pending.retain(|_, call| !call.reply.is_closed());
                // A large result arrives in parts: a peer that sends one lives.
                let received_before = received_bytes;
                received_bytes = framed.read_buffer().len();
                if received_bytes > received_before {
                    last_heard = tokio::time::Instant::now();
                }
                if last_heard.elapsed() > SUSPICION_LIMIT {
                    silent.store(true, Ordering::Relaxed);
                    // Dropped with their reply senders, which tells their callers.
                    pending.retain(|_, call| call.patience == Patience::UntilLimit);
                }
                if last_heard.elapsed() > SILENCE_LIMIT {
                    return;
                }
                if feed(&mut framed, &PeerMessage::KeepAlive).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Nothing was written: what is queued has truthfully not been sent.
fn refuse_queued(commands: &mut mpsc::Receiver<Command>) {
    commands.close();
    while let Ok(command) = commands.try_recv() {
        if let Command::Call(_, _, call) = command {
            let _ = call.reply.send(Err(CallError::NotSent));
        }
    }
}

/// Writes a command and those already queued behind it, then flushes once.
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
            Command::Forget(id) => {
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

async fn feed(
    framed: &mut Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>,
    message: &PeerMessage,
) -> Result<(), std::io::Error> {
    framed.send(encode(message)?).await
}

/// The request a reply belongs to.
fn request_id(message: &PeerMessage) -> Option<u64> {
    match message {
        PeerMessage::ExecuteReply(reply) => Some(reply.request_id),
        PeerMessage::ResolveReply(reply) => Some(reply.request_id),
        PeerMessage::GroupStatus(status) => Some(status.request_id),
        _ => None,
    }
}
