//! Background task of a link to an owner. It transfers messages in both directions and
//! detects a silent owner while answers are pending.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use log::info;
use millwind_core::Instant;
use millwind_wire::forward::{ForwardReply, ForwardRequest, ForwardedAnswer, LoanReply, decode_forward};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::codec::Framed;

use super::doubt::LinkSuspicion;
use super::{Transport, write_all};
use crate::clock;
use crate::peers::peer_codec;

/// Interval between liveness checks while answers are pending.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Silence in milliseconds after which the owner is pinged.
/// A statement usually takes that long.
const PING_AFTER_MS: u64 = 100;
/// Silence in milliseconds after which all links become suspect. The value exceeds a few
/// round trips between regions, so a live owner has answered the ping by then.
const SUSPECT_AFTER_MS: u64 = 250;
/// Silence in milliseconds after which the link is closed.
const CLOSE_AFTER_MS: u64 = 1_000;
/// Maximum number of messages per write.
const MAX_BATCH: usize = 64;

type AnswerSenders = HashMap<u64, oneshot::Sender<ForwardedAnswer>>;
type LoanSenders = HashMap<u64, oneshot::Sender<LoanReply>>;

/// State shared between a link's task and its handles.
#[derive(Debug)]
pub(super) struct LinkState {
    /// The owner's address.
    pub(super) address: SocketAddr,
    pending: Mutex<AnswerSenders>,
    pending_loans: Mutex<LoanSenders>,
    is_closed: AtomicBool,
    /// Whether the owner has announced its shutdown.
    pub(super) is_leaving: AtomicBool,
    /// Whether the owner failed to answer a probe.
    pub(super) has_failed_probe: AtomicBool,
    /// Time of the last message from the owner, zero before the first.
    pub(super) last_heard: watch::Sender<Instant>,
    suspicion: Arc<LinkSuspicion>,
}

impl LinkState {
    /// Creates the state of an open link.
    pub(super) fn new(address: SocketAddr, suspicion: Arc<LinkSuspicion>) -> Self {
        LinkState {
            address,
            pending: Mutex::default(),
            pending_loans: Mutex::default(),
            is_closed: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            has_failed_probe: AtomicBool::new(false),
            last_heard: watch::Sender::new(Instant::default()),
            suspicion,
        }
    }

    /// Locks the map of unanswered calls.
    pub(super) fn pending(&self) -> MutexGuard<'_, AnswerSenders> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the map of unanswered loan requests.
    pub(super) fn pending_loans(&self) -> MutexGuard<'_, LoanSenders> {
        self.pending_loans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_pending(&self) -> bool {
        !self.pending().is_empty() || !self.pending_loans().is_empty()
    }

    /// Returns whether the link is open.
    pub(super) fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::Relaxed)
    }

    /// Dispatches a message from the owner. Returns false if it cannot be decoded.
    fn handle_message(&self, message: &[u8]) -> bool {
        match decode_forward(message) {
            Ok(ForwardReply::Answer(answer)) => {
                if let Some(sender) = self.pending().remove(&answer.call) {
                    // The session that sent the call may have ended.
                    let _ = sender.send(answer);
                }
                true
            }
            Ok(ForwardReply::Loan(loan)) => {
                if let Some(sender) = self.pending_loans().remove(&loan.call) {
                    // The task that requested the loan may have stopped waiting.
                    let _ = sender.send(loan);
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

/// Runs a link until it is lost or its last handle is dropped.
pub(super) async fn run(
    state: Arc<LinkState>,
    stream: TcpStream,
    requests: mpsc::UnboundedReceiver<ForwardRequest>,
) {
    let transport = Framed::new(stream, peer_codec());
    let mut task = LinkTask {
        last_heard: clock::now(),
        last_ping: clock::now(),
        buffered_bytes: 0,
        state,
        transport,
    };
    let reason = task.relay_messages(requests).await;
    let state = task.state;
    state.is_closed.store(true, Ordering::Relaxed);
    let abandoned = std::mem::take(&mut *state.pending());
    state.pending_loans().clear();
    info!(
        "event=owner_link_lost owner={} reason={reason} outstanding={}",
        state.address,
        abandoned.len()
    );
}

struct LinkTask {
    state: Arc<LinkState>,
    transport: Transport,
    /// Start of the current silence: the last arrival, or the first request after an
    /// idle period.
    last_heard: Instant,
    /// Time of the last ping.
    last_ping: Instant,
    /// Size of the partially received message at the last check.
    buffered_bytes: usize,
}

impl LinkTask {
    /// Transfers messages in both directions until the link ends, and returns the reason.
    async fn relay_messages(
        &mut self,
        mut requests: mpsc::UnboundedReceiver<ForwardRequest>,
    ) -> &'static str {
        let mut batch = Vec::new();
        loop {
            let has_pending = self.state.has_pending();
            tokio::select! {
                count = requests.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return "unused";
                    }
                    if !has_pending {
                        self.last_heard = clock::now();
                    }
                    if write_all(&mut self.transport, &mut batch).await.is_none() {
                        return "write_failed";
                    }
                }
                message = self.transport.next() => {
                    let Some(Ok(message)) = message else { return "closed" };
                    self.last_heard = clock::now();
                    self.state.last_heard.send_replace(self.last_heard);
                    if !self.state.handle_message(&message) {
                        return "malformed";
                    }
                }
                () = tokio::time::sleep(CHECK_INTERVAL), if has_pending => {
                    if let Err(reason) = self.check_liveness().await {
                        return reason;
                    }
                }
            }
        }
    }

    /// Handles silence of the owner while answers are pending. Fails with the reason if the
    /// link is lost.
    async fn check_liveness(&mut self) -> Result<(), &'static str> {
        let now = clock::now();
        // A partially received message also proves that the owner is alive.
        let buffered_before = self.buffered_bytes;
        self.buffered_bytes = self.transport.read_buffer().len();
        if self.buffered_bytes > buffered_before {
            self.last_heard = now;
        }
        let silent_ms = now.millis_since(self.last_heard);
        if silent_ms > CLOSE_AFTER_MS {
            return Err("silent");
        }
        if silent_ms > SUSPECT_AFTER_MS {
            self.state.suspicion.raise();
        }
        if silent_ms > PING_AFTER_MS && now.millis_since(self.last_ping) > PING_AFTER_MS {
            self.last_ping = now;
            let written = write_all(&mut self.transport, &mut vec![ForwardRequest::Ping]).await;
            written.ok_or("write_failed")?;
        }
        Ok(())
    }
}
