//! The task of a link to an owner: passes messages both ways, and a heartbeat while
//! answers are outstanding.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use log::info;
use millwind_core::Instant;
use millwind_wire::forward::{ForwardReply, ForwardRequest, ForwardedAnswer, ForwardedLoan, decode_forward};
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

type Pending = HashMap<u64, oneshot::Sender<ForwardedAnswer>>;
type PendingLoans = HashMap<u64, oneshot::Sender<ForwardedLoan>>;

/// What a link's task shares with those who use the link.
#[derive(Debug)]
pub(super) struct LinkState {
    /// The owner's address.
    pub(super) address: SocketAddr,
    pending: Mutex<Pending>,
    loans: Mutex<PendingLoans>,
    is_closed: AtomicBool,
    /// The owner has told that it stops.
    pub(super) is_leaving: AtomicBool,
    /// The owner gave no answer when it was asked whether it lives.
    pub(super) is_unproven: AtomicBool,
    /// When the owner last said anything; zero for never.
    pub(super) heard: watch::Sender<Instant>,
    doubt: Arc<LinkDoubt>,
}

impl LinkState {
    /// A link that is open.
    pub(super) fn new(address: SocketAddr, doubt: Arc<LinkDoubt>) -> Self {
        LinkState {
            address,
            pending: Mutex::default(),
            loans: Mutex::default(),
            is_closed: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            is_unproven: AtomicBool::new(false),
            heard: watch::Sender::new(Instant::default()),
            doubt,
        }
    }

    /// Calls that wait for their answers.
    pub(super) fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Questions for loans that wait for their answers.
    pub(super) fn loans(&self) -> MutexGuard<'_, PendingLoans> {
        self.loans.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_waiting(&self) -> bool {
        !self.pending().is_empty() || !self.loans().is_empty()
    }

    /// Whether calls go through.
    pub(super) fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::Relaxed)
    }

    /// Takes in a message; false if it cannot be read.
    fn take(&self, message: &[u8]) -> bool {
        match decode_forward(message) {
            Ok(ForwardReply::Answer(answer)) => {
                if let Some(sender) = self.pending().remove(&answer.call) {
                    // The asking session may be gone.
                    let _ = sender.send(answer);
                }
                true
            }
            Ok(ForwardReply::Loan(loan)) => {
                if let Some(sender) = self.loans().remove(&loan.call) {
                    // The asking task may have gone on without it.
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

/// Serves a link until it is lost, or nobody holds it any more.
pub(super) async fn run(
    state: Arc<LinkState>,
    stream: TcpStream,
    requests: mpsc::UnboundedReceiver<ForwardRequest>,
) {
    let transport = Framed::new(stream, frames());
    let mut task = LinkTask {
        heard: clock::now(),
        asked: clock::now(),
        received_bytes: 0,
        state,
        transport,
    };
    let reason = task.pass_messages(requests).await;
    let state = task.state;
    state.is_closed.store(true, Ordering::Relaxed);
    let lost = std::mem::take(&mut *state.pending());
    state.loans().clear();
    info!(
        "event=owner_link_lost owner={} reason={reason} outstanding={}",
        state.address,
        lost.len()
    );
}

struct LinkTask {
    state: Arc<LinkState>,
    transport: Transport,
    /// When anything last arrived, or an answer was first awaited.
    heard: Instant,
    /// When the owner was last asked whether it lives.
    asked: Instant,
    /// Bytes of an unfinished message at the last look.
    received_bytes: usize,
}

impl LinkTask {
    /// Passes messages both ways until the link is lost; returns why.
    async fn pass_messages(&mut self, mut requests: mpsc::UnboundedReceiver<ForwardRequest>) -> &'static str {
        let mut batch = Vec::new();
        loop {
            let is_waiting = self.state.is_waiting();
            tokio::select! {
                count = requests.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return "unused";
                    }
                    if !is_waiting {
                        self.heard = clock::now();
                    }
                    if write_all(&mut self.transport, &mut batch).await.is_none() {
                        return "write_failed";
                    }
                }
                message = self.transport.next() => {
                    let Some(Ok(message)) = message else { return "closed" };
                    self.heard = clock::now();
                    self.state.heard.send_replace(self.heard);
                    if !self.state.take(&message) {
                        return "malformed";
                    }
                }
                () = tokio::time::sleep(TICK), if is_waiting => {
                    if let Err(reason) = self.look().await {
                        return reason;
                    }
                }
            }
        }
    }

    /// Looks for silence while answers are awaited; fails with the reason why the
    /// link is lost.
    async fn look(&mut self) -> Result<(), &'static str> {
        let now = clock::now();
        // A long answer arrives in parts: an owner that sends one lives.
        let received_before = self.received_bytes;
        self.received_bytes = self.transport.read_buffer().len();
        if self.received_bytes > received_before {
            self.heard = now;
        }
        let silent_ms = now.millis_since(self.heard);
        if silent_ms > LOST_MS {
            return Err("silent");
        }
        if silent_ms > DOUBT_MS {
            self.state.doubt.raise();
        }
        if silent_ms > PING_MS && now.millis_since(self.asked) > PING_MS {
            self.asked = now;
            let written = write_all(&mut self.transport, &mut vec![ForwardRequest::Ping]).await;
            written.ok_or("write_failed")?;
        }
        Ok(())
    }
}
