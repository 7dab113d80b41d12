//! One link to an owner: many calls at a time, each with its answer, and a
//! heartbeat while answers are outstanding.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use log::info;
use millwind_core::Instant;
use millwind_wire::forward::{ForwardReply, ForwardRequest, ForwardedAnswer, decode_forward};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::codec::Framed;

use super::doubt::LinkDoubt;
use super::{Transport, write_all};
use crate::clock;
use crate::peers::frames;

/// Between two looks at a link with outstanding answers.
const TICK: Duration = Duration::from_millis(50);
/// Silence after which the owner is asked whether it lives, in milliseconds: a
/// statement's usual time.
const PING_MS: u64 = 100;
/// Silence after which other links are doubted too, in milliseconds: an owner
/// that lives answers the question within a few round trips between regions.
const DOUBT_MS: u64 = 250;
/// Silence after which the link is given up, in milliseconds.
const LOST_MS: u64 = 1_000;
/// Messages written in one go at most.
const BATCH: usize = 64;

/// A link to an owner.
#[derive(Debug)]
pub struct OwnerLink {
    address: SocketAddr,
    outgoing: mpsc::UnboundedSender<ForwardRequest>,
    pending: Mutex<HashMap<u64, oneshot::Sender<ForwardedAnswer>>>,
    numbers: AtomicU64,
    is_closed: AtomicBool,
    is_leaving: AtomicBool,
    /// When the owner last said anything; zero for never.
    heard: watch::Sender<Instant>,
    doubt: Arc<LinkDoubt>,
}

impl OwnerLink {
    /// Serves `stream` in the background; its silence is told to `doubt`.
    pub fn start(address: SocketAddr, stream: TcpStream, doubt: Arc<LinkDoubt>) -> Arc<OwnerLink> {
        let (outgoing, requests) = mpsc::unbounded_channel();
        let link = Arc::new(OwnerLink {
            address,
            outgoing,
            pending: Mutex::new(HashMap::new()),
            numbers: AtomicU64::new(1),
            is_closed: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            heard: watch::Sender::new(Instant::default()),
            doubt,
        });
        let transport = Framed::new(stream, frames());
        tokio::spawn(link.clone().run(transport, requests));
        link
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<ForwardedAnswer>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The owner's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the link takes new calls.
    pub fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::Relaxed)
    }

    /// Whether the owner has told that it stops.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Whether the owner has said anything within the last `most_ms`.
    pub fn was_heard_within(&self, most_ms: u64) -> bool {
        clock::now().millis_since(*self.heard.borrow()) < most_ms
    }

    /// Asks the owner whether it lives; without an answer within `limit` the link
    /// takes no new calls, and its owner is to be reached anew.
    pub async fn prove(&self, limit: Duration) -> bool {
        let asked = clock::now();
        let mut heard = self.heard.subscribe();
        // On a lost link nobody answers.
        let _ = self.outgoing.send(ForwardRequest::Ping);
        let answered = heard.wait_for(|heard| *heard > asked);
        let is_proven = tokio::time::timeout(limit, answered).await.is_ok();
        if !is_proven {
            self.is_closed.store(true, Ordering::Relaxed);
            info!("event=owner_link_unproven owner={}", self.address);
        }
        is_proven
    }

    /// Calls without an answer.
    pub fn outstanding(&self) -> usize {
        self.pending().len()
    }

    /// A number for a call or a lease.
    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a request; the receiver ends without an answer if the link is
    /// lost.
    pub fn call(&self, number: u64, request: ForwardRequest) -> oneshot::Receiver<ForwardedAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.pending().insert(number, sender);
        let is_sent = self.outgoing.send(request).is_ok();
        if !is_sent || !self.is_open() {
            self.pending().remove(&number);
        }
        receiver
    }

    /// The answer to a call is no longer awaited.
    pub fn forget(&self, number: u64) {
        self.pending().remove(&number);
    }

    /// Ends a lease.
    pub fn end(&self, lease: u64) {
        // On a lost link the owner ends all leases itself.
        let _ = self.outgoing.send(ForwardRequest::End { lease });
    }

    async fn run(
        self: Arc<Self>,
        mut transport: Transport,
        requests: mpsc::UnboundedReceiver<ForwardRequest>,
    ) {
        let reason = self.exchange(&mut transport, requests).await;
        self.is_closed.store(true, Ordering::Relaxed);
        let lost = std::mem::take(&mut *self.pending());
        info!(
            "event=owner_link_lost owner={} reason={reason} outstanding={}",
            self.address,
            lost.len()
        );
    }

    /// Passes messages both ways until the link is lost; returns why.
    async fn exchange(
        &self,
        transport: &mut Transport,
        mut requests: mpsc::UnboundedReceiver<ForwardRequest>,
    ) -> &'static str {
        let mut heard = clock::now();
        let mut asked = clock::now();
        let mut batch = Vec::new();
        loop {
            let is_waiting = !self.pending().is_empty();
            tokio::select! {
                count = requests.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return "unused";
                    }
                    if !is_waiting {
                        heard = clock::now();
                    }
                    if write_all(transport, &mut batch).await.is_none() {
                        return "write_failed";
                    }
                }
                message = transport.next() => {
                    let Some(Ok(message)) = message else { return "closed" };
                    heard = clock::now();
                    self.heard.send_replace(heard);
                    if !self.take(&message) {
                        return "malformed";
                    }
                }
                () = tokio::time::sleep(TICK), if is_waiting => {
                    let silent_ms = clock::now().millis_since(heard);
                    if silent_ms > LOST_MS {
                        return "silent";
                    }
                    if silent_ms > DOUBT_MS {
                        self.doubt.raise();
                    }
                    if silent_ms > PING_MS && clock::now().millis_since(asked) > PING_MS {
                        asked = clock::now();
                        batch.push(ForwardRequest::Ping);
                        if write_all(transport, &mut batch).await.is_none() {
                            return "write_failed";
                        }
                    }
                }
            }
        }
    }

    fn take(&self, message: &[u8]) -> bool {
        match decode_forward(message) {
            Ok(ForwardReply::Answer(answer)) => {
                if let Some(sender) = self.pending().remove(&answer.call) {
                    // The asking session may be gone.
                    let _ = sender.send(answer);
                }
                true
            }
            Ok(ForwardReply::Pong) => true,
            Ok(ForwardReply::Leaving) => {
                info!("event=owner_leaving owner={}", self.address);
                self.is_leaving.store(true, Ordering::Relaxed);
                true
            }
            Err(_) => false,
        }
    }
}
