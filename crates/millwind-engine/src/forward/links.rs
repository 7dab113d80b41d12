//! Links to owners: opened in the background when first needed, and again
//! after they are lost. A statement waits only while a link is being opened
//! that was not found down before.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use millwind_core::Instant;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::doubt::LinkDoubt;
use super::link::OwnerLink;
use crate::clock;

/// A link opens within this time, or not.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Between the first two tries to open a link; the pause doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two tries.
const MOST_PAUSE: Duration = Duration::from_millis(1_600);
/// A link that nobody has wanted for this time is no longer tried, in
/// milliseconds.
const WANTED_MS: u64 = 5_000;
/// A link on which the owner was heard within this time needs no proof, in
/// milliseconds.
const PROVEN_MS: u64 = 1_000;
/// An owner that lives answers within this time: a few round trips between
/// regions, on a busy machine.
const PROOF_LIMIT: Duration = Duration::from_millis(150);
/// Unacknowledged bytes break a link after this time.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct Slot {
    link: Option<Arc<OwnerLink>>,
    /// A task opens the link.
    is_opening: bool,
    /// The last try failed.
    is_down: bool,
    /// When a statement last wanted the link.
    wanted: Instant,
}

impl Slot {
    fn open_link(&self) -> Option<&Arc<OwnerLink>> {
        self.link.as_ref().filter(|link| link.takes_leases())
    }
}

/// Links by the owner's address.
#[derive(Debug, Default)]
pub(super) struct Links {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
    /// A link was opened, or not.
    settled: Notify,
    /// Whether links can be trusted.
    doubt: Arc<LinkDoubt>,
}

impl Links {
    fn slots(&self) -> MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The usable link with the fewest calls under way among `addresses`; the
    /// first of equals. Links that are missing are opened in the background.
    pub(super) fn best(self: &Arc<Self>, addresses: &[SocketAddr]) -> Option<Arc<OwnerLink>> {
        let mut missing = Vec::new();
        let mut best: Option<Arc<OwnerLink>> = None;
        {
            let mut slots = self.slots();
            for address in addresses {
                let slot = slots.entry(*address).or_default();
                slot.wanted = clock::now();
                match slot.open_link() {
                    Some(link) if link.is_leaving() => {}
                    Some(link) => {
                        let is_better = best
                            .as_ref()
                            .is_none_or(|best| link.outstanding() < best.outstanding());
                        if is_better {
                            best = Some(link.clone());
                        }
                    }
                    None if !slot.is_opening => {
                        slot.is_opening = true;
                        missing.push(*address);
                    }
                    None => {}
                }
            }
        }
        for address in missing {
            tokio::spawn(self.clone().keep_opening(address));
        }
        best
    }

    /// A node gave no answer: links may be cut.
    pub(super) fn doubt(&self) {
        self.doubt.raise();
    }

    /// As [`Links::best`]; while links are doubted, only one on which the owner
    /// was heard lately or answers now.
    pub(super) async fn best_proven(self: &Arc<Self>, addresses: &[SocketAddr]) -> Option<Arc<OwnerLink>> {
        let best = self.best(addresses)?;
        if !self.doubt.is_raised() || best.was_heard_within(PROVEN_MS) {
            return Some(best);
        }
        let open = self.open_links(addresses);
        let heard = open.iter().find(|link| link.was_heard_within(PROVEN_MS));
        if let Some(heard) = heard {
            return Some(heard.clone());
        }
        let mut proofs: FuturesUnordered<_> = open.into_iter().map(|link| self.proven(link)).collect();
        while let Some(proven) = proofs.next().await {
            if proven.is_some() {
                return proven;
            }
        }
        None
    }

    /// The link if its owner proves that it lives; else it is given up here, and
    /// ends with the last lease on it.
    async fn proven(&self, link: Arc<OwnerLink>) -> Option<Arc<OwnerLink>> {
        if link.prove(PROOF_LIMIT).await {
            return Some(link);
        }
        if let Some(slot) = self.slots().get_mut(&link.address()) {
            slot.link.take_if(|held| Arc::ptr_eq(held, &link));
        }
        None
    }

    /// The usable links among `addresses`.
    fn open_links(&self, addresses: &[SocketAddr]) -> Vec<Arc<OwnerLink>> {
        let slots = self.slots();
        let links = addresses
            .iter()
            .filter_map(|address| slots.get(address)?.open_link());
        links.filter(|link| !link.is_leaving()).cloned().collect()
    }

    /// As [`Links::best`], waiting while a link is opened that was not found
    /// down.
    pub(super) async fn await_best(self: &Arc<Self>, addresses: &[SocketAddr]) -> Option<Arc<OwnerLink>> {
        let deadline = tokio::time::Instant::now() + CONNECT_LIMIT;
        loop {
            let settled = self.settled.notified();
            if let Some(link) = self.best(addresses) {
                return Some(link);
            }
            if !self.is_any_opening(addresses) {
                return None;
            }
            tokio::time::timeout_at(deadline, settled).await.ok()?;
        }
    }

    fn is_any_opening(&self, addresses: &[SocketAddr]) -> bool {
        let slots = self.slots();
        addresses.iter().any(|address| {
            slots
                .get(address)
                .is_some_and(|slot| slot.is_opening && !slot.is_down)
        })
    }

    /// Tries to open a link until it is open, or nobody wants it any more.
    async fn keep_opening(self: Arc<Self>, address: SocketAddr) {
        let mut pause = FIRST_PAUSE;
        loop {
            let link = open(address, self.doubt.clone()).await;
            let is_done = self.settle(address, link);
            self.settled.notify_waiters();
            if is_done {
                return;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MOST_PAUSE);
        }
    }

    /// Takes in how a try ended; true if there is nothing left to do.
    fn settle(&self, address: SocketAddr, link: Option<Arc<OwnerLink>>) -> bool {
        let mut slots = self.slots();
        let slot = slots.entry(address).or_default();
        if link.is_some() {
            if slot.is_down {
                info!("event=owner_regained owner={address}");
            }
            slot.link = link;
            slot.is_opening = false;
            slot.is_down = false;
            return true;
        }
        if !slot.is_down {
            info!("event=owner_unreachable owner={address}");
        }
        slot.is_down = true;
        let is_wanted = clock::now().millis_since(slot.wanted) < WANTED_MS;
        if !is_wanted {
            slot.is_opening = false;
            slot.is_down = false;
        }
        !is_wanted
    }
}

async fn open(address: SocketAddr, doubt: Arc<LinkDoubt>) -> Option<Arc<OwnerLink>> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_LIMIT, connecting).await.ok()?.ok()?;
    // Without it small messages wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    Some(OwnerLink::start(address, stream, doubt))
}
