//! Handle of a link to an owner. The link multiplexes concurrent calls and is closed
//! when the last handle is dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::info;
use millwind_wire::forward::{ForwardRequest, ForwardedAnswer, LoanReply, LoanRequest, LoanSubject};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use super::doubt::LinkSuspicion;
use super::link_task::{self, LinkState};
use crate::clock;

/// A multiplexed link to an owner.
#[derive(Debug)]
pub struct OwnerLink {
    /// Queue of the link's task, which ends when the last handle is dropped.
    outgoing: mpsc::UnboundedSender<ForwardRequest>,
    ids: AtomicU64,
    state: Arc<LinkState>,
}

/// Removes a pending loan request when dropped.
struct PendingLoanGuard<'a> {
    link: &'a OwnerLink,
    call: u64,
}

impl Drop for PendingLoanGuard<'_> {
    fn drop(&mut self) {
        self.link.state.pending_loans().remove(&self.call);
    }
}

impl OwnerLink {
    /// Spawns the task of a link over `stream`, which raises `suspicion` if the owner becomes
    /// silent.
    pub fn start(address: SocketAddr, stream: TcpStream, suspicion: Arc<LinkSuspicion>) -> Arc<OwnerLink> {
        let (outgoing, requests) = mpsc::unbounded_channel();
        let state = Arc::new(LinkState::new(address, suspicion));
        tokio::spawn(link_task::run(state.clone(), stream, requests));
        Arc::new(OwnerLink {
            outgoing,
            ids: AtomicU64::new(1),
            state,
        })
    }

    /// Returns the owner's address.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Returns whether new leases may use the link.
    pub fn accepts_leases(&self) -> bool {
        self.state.is_open() && !self.state.has_failed_probe.load(Ordering::Relaxed)
    }

    /// Returns whether the owner has announced its shutdown.
    pub fn is_leaving(&self) -> bool {
        self.state.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns whether a message from the owner arrived within the last `max_age_ms`.
    pub fn heard_within(&self, max_age_ms: u64) -> bool {
        clock::now().millis_since(*self.state.last_heard.borrow()) < max_age_ms
    }

    /// Pings the owner and returns whether a message arrives within `limit`.
    pub async fn answers(&self, limit: Duration) -> bool {
        let asked = clock::now();
        let mut last_heard = self.state.last_heard.subscribe();
        // On a lost link the send fails and the wait below times out.
        let _ = self.outgoing.send(ForwardRequest::Ping);
        let answered = last_heard.wait_for(|last_heard| *last_heard > asked);
        tokio::time::timeout(limit, answered).await.is_ok()
    }

    /// Probes the owner and returns whether it answers within `limit`. After a failed
    /// probe the link takes no new leases. Existing leases continue, because the owner
    /// may only be slow and closing the link could leave the outcome of their transactions
    /// unknown.
    pub async fn probe(&self, limit: Duration) -> bool {
        let is_alive = self.answers(limit).await;
        if !is_alive {
            self.state.has_failed_probe.store(true, Ordering::Relaxed);
            info!("event=owner_link_unproven owner={}", self.address());
        }
        is_alive
    }

    /// Returns the number of unanswered calls.
    pub fn pending_calls(&self) -> usize {
        self.state.pending().len()
    }

    /// Returns a unique ID for a call or a lease on this link.
    pub fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a request and returns the receiver of its answer. The receiver is closed
    /// without an answer if the link is lost.
    pub fn call(&self, id: u64, request: ForwardRequest) -> oneshot::Receiver<ForwardedAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.state.pending().insert(id, sender);
        let is_sent = self.outgoing.send(request).is_ok();
        if !is_sent || !self.state.is_open() {
            self.state.pending().remove(&id);
        }
        receiver
    }

    /// Requests a loan of `wanted` units of `subject`. Returns `None` if the link is lost.
    pub async fn request_loan(&self, subject: LoanSubject, wanted: u32) -> Option<LoanReply> {
        let call = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.state.pending_loans().insert(call, sender);
        let request = ForwardRequest::Borrow(LoanRequest {
            call,
            subject,
            wanted,
        });
        let _guard = PendingLoanGuard { link: self, call };
        if self.outgoing.send(request).is_err() || !self.state.is_open() {
            return None;
        }
        receiver.await.ok()
    }

    /// Stops waiting for the answer to a call.
    pub fn cancel(&self, id: u64) {
        self.state.pending().remove(&id);
    }

    /// Tells the owner to end a lease.
    pub fn end_lease(&self, lease: u64) {
        // On a lost link the owner ends all leases itself.
        let _ = self.outgoing.send(ForwardRequest::End { lease });
    }
}
