//! A link to an owner, as those who use it see it: many calls at a time, each with
//! its answer. It ends with its last holder.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::info;
use millwind_wire::forward::{
    ForwardRequest, ForwardedAnswer, ForwardedBorrowing, ForwardedLoan, ForwardedSubject,
};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use super::doubt::LinkDoubt;
use super::link_task::{self, LinkState};
use crate::clock;

/// A link to an owner.
#[derive(Debug)]
pub struct OwnerLink {
    /// Dropped with the last holder, which ends the link's task.
    outgoing: mpsc::UnboundedSender<ForwardRequest>,
    numbers: AtomicU64,
    state: Arc<LinkState>,
}

/// A question for a loan; forgotten when dropped, answered or not.
struct AwaitedLoan<'a> {
    link: &'a OwnerLink,
    call: u64,
}

impl Drop for AwaitedLoan<'_> {
    fn drop(&mut self) {
        self.link.state.loans().remove(&self.call);
    }
}

impl OwnerLink {
    /// Serves `stream` in the background; its silence is told to `doubt`.
    pub fn start(address: SocketAddr, stream: TcpStream, doubt: Arc<LinkDoubt>) -> Arc<OwnerLink> {
        let (outgoing, requests) = mpsc::unbounded_channel();
        let state = Arc::new(LinkState::new(address, doubt));
        tokio::spawn(link_task::run(state.clone(), stream, requests));
        Arc::new(OwnerLink {
            outgoing,
            numbers: AtomicU64::new(1),
            state,
        })
    }

    /// The owner's address.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Whether new leases may go over it.
    pub fn takes_leases(&self) -> bool {
        self.state.is_open() && !self.state.is_unproven.load(Ordering::Relaxed)
    }

    /// Whether the owner has told that it stops.
    pub fn is_leaving(&self) -> bool {
        self.state.is_leaving.load(Ordering::Relaxed)
    }

    /// Whether the owner has said anything within the last `most_ms`.
    pub fn was_heard_within(&self, most_ms: u64) -> bool {
        clock::now().millis_since(*self.state.heard.borrow()) < most_ms
    }

    /// Whether the owner answers within `limit`.
    pub async fn answers(&self, limit: Duration) -> bool {
        let asked = clock::now();
        let mut heard = self.state.heard.subscribe();
        // On a lost link nobody answers.
        let _ = self.outgoing.send(ForwardRequest::Ping);
        let answered = heard.wait_for(|heard| *heard > asked);
        tokio::time::timeout(limit, answered).await.is_ok()
    }

    /// Asks the owner whether it lives. Without an answer within `limit` the link
    /// takes no new leases; those that it has go on, since the owner may only have
    /// been slow, and a transaction whose link is closed ends with an unknown
    /// outcome.
    pub async fn prove(&self, limit: Duration) -> bool {
        let is_proven = self.answers(limit).await;
        if !is_proven {
            self.state.is_unproven.store(true, Ordering::Relaxed);
            info!("event=owner_link_unproven owner={}", self.address());
        }
        is_proven
    }

    /// Calls without an answer.
    pub fn outstanding(&self) -> usize {
        self.state.pending().len()
    }

    /// A number for a call or a lease.
    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a request; the receiver ends without an answer if the link is
    /// lost.
    pub fn call(&self, number: u64, request: ForwardRequest) -> oneshot::Receiver<ForwardedAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.state.pending().insert(number, sender);
        let is_sent = self.outgoing.send(request).is_ok();
        if !is_sent || !self.state.is_open() {
            self.state.pending().remove(&number);
        }
        receiver
    }

    /// Asks for a loan of `wanted` of `subject`; none if the link is lost.
    pub async fn ask_loan(&self, subject: ForwardedSubject, wanted: u32) -> Option<ForwardedLoan> {
        let call = self.next_number();
        let (sender, receiver) = oneshot::channel();
        self.state.loans().insert(call, sender);
        let request = ForwardRequest::Borrow(ForwardedBorrowing {
            call,
            subject,
            wanted,
        });
        let _awaited = AwaitedLoan { link: self, call };
        if self.outgoing.send(request).is_err() || !self.state.is_open() {
            return None;
        }
        receiver.await.ok()
    }

    /// The answer to a call is no longer awaited.
    pub fn forget(&self, number: u64) {
        self.state.pending().remove(&number);
    }

    /// Ends a lease.
    pub fn end(&self, lease: u64) {
        // On a lost link the owner ends all leases itself.
        let _ = self.outgoing.send(ForwardRequest::End { lease });
    }
}
