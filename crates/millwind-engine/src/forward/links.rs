//! Pool of links to owners. Links are opened in the background on first use and
//! reopened after they are lost. A statement waits for a link that is being opened
//! unless the previous attempt to open it failed.

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

use super::doubt::LinkSuspicion;
use super::link::OwnerLink;
use crate::clock;

/// Timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the first retry to open a link; doubles with each retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);
/// Time in milliseconds after the last request for a link at which retries stop.
const RETRY_WINDOW_MS: u64 = 5_000;
/// Age in milliseconds up to which a message from the owner makes a probe unnecessary.
const RECENTLY_HEARD_MS: u64 = 1_000;
/// Timeout of a liveness probe, which allows for a few round trips between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// TCP user timeout: a link breaks if sent bytes stay unacknowledged for this time.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct Slot {
    link: Option<Arc<OwnerLink>>,
    /// Whether a task is opening the link.
    is_connecting: bool,
    /// Whether the last attempt to open the link failed.
    is_down: bool,
    /// Time of the last request for the link.
    last_requested: Instant,
}

impl Slot {
    fn usable_link(&self) -> Option<&Arc<OwnerLink>> {
        self.link.as_ref().filter(|link| link.accepts_leases())
    }
}

/// Links to owners, keyed by address.
#[derive(Debug, Default)]
pub(super) struct Links {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
    /// Notified after each attempt to open a link.
    attempt_finished: Notify,
    /// Whether links must be probed before use.
    suspicion: Arc<LinkSuspicion>,
}

impl Links {
    fn slots(&self) -> MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the usable link among `addresses` with the fewest pending calls, the first
    /// of several. Missing links are opened in the background.
    pub(super) fn least_loaded(self: &Arc<Self>, addresses: &[SocketAddr]) -> Option<Arc<OwnerLink>> {
        let mut missing = Vec::new();
        let mut best: Option<Arc<OwnerLink>> = None;
        {
            let mut slots = self.slots();
            for address in addresses {
                let slot = slots.entry(*address).or_default();
                slot.last_requested = clock::now();
                match slot.usable_link() {
                    Some(link) if link.is_leaving() => {}
                    Some(link) => {
                        let is_less_loaded = best
                            .as_ref()
                            .is_none_or(|best| link.pending_calls() < best.pending_calls());
                        if is_less_loaded {
                            best = Some(link.clone());
                        }
                    }
                    None if !slot.is_connecting => {
                        slot.is_connecting = true;
                        missing.push(*address);
                    }
                    None => {}
                }
            }
        }
        for address in missing {
            tokio::spawn(self.clone().connect_with_retry(address));
        }
        best
    }

    /// Marks all links as suspect after a node failed to answer.
    pub(super) fn raise_suspicion(&self) {
        self.suspicion.raise();
    }

    /// Like [`Links::least_loaded`], but while links are suspect only returns one whose
    /// owner has sent a message recently or answers a probe.
    pub(super) async fn least_loaded_live(
        self: &Arc<Self>,
        addresses: &[SocketAddr],
    ) -> Option<Arc<OwnerLink>> {
        let best = self.least_loaded(addresses)?;
        if !self.suspicion.is_raised() || best.heard_within(RECENTLY_HEARD_MS) {
            return Some(best);
        }
        let usable = self.usable_links(addresses);
        let recent = usable.iter().find(|link| link.heard_within(RECENTLY_HEARD_MS));
        if let Some(recent) = recent {
            return Some(recent.clone());
        }
        let mut probes: FuturesUnordered<_> = usable.into_iter().map(|link| self.probe(link)).collect();
        while let Some(live_link) = probes.next().await {
            if live_link.is_some() {
                return live_link;
            }
        }
        None
    }

    /// Returns the link if its owner answers a probe. Otherwise removes the link from the
    /// pool; it closes with its last lease.
    async fn probe(&self, link: Arc<OwnerLink>) -> Option<Arc<OwnerLink>> {
        if link.probe(PROBE_TIMEOUT).await {
            return Some(link);
        }
        if let Some(slot) = self.slots().get_mut(&link.address()) {
            slot.link.take_if(|held| Arc::ptr_eq(held, &link));
        }
        None
    }

    /// Returns the usable links among `addresses`.
    fn usable_links(&self, addresses: &[SocketAddr]) -> Vec<Arc<OwnerLink>> {
        let slots = self.slots();
        let links = addresses
            .iter()
            .filter_map(|address| slots.get(address)?.usable_link());
        links.filter(|link| !link.is_leaving()).cloned().collect()
    }

    /// Like [`Links::least_loaded`], but waits while a link is being opened whose previous
    /// attempt did not fail.
    pub(super) async fn await_least_loaded(
        self: &Arc<Self>,
        addresses: &[SocketAddr],
    ) -> Option<Arc<OwnerLink>> {
        let deadline = tokio::time::Instant::now() + CONNECT_TIMEOUT;
        loop {
            let attempt_finished = self.attempt_finished.notified();
            if let Some(link) = self.least_loaded(addresses) {
                return Some(link);
            }
            if !self.is_any_connecting(addresses) {
                return None;
            }
            tokio::time::timeout_at(deadline, attempt_finished).await.ok()?;
        }
    }

    fn is_any_connecting(&self, addresses: &[SocketAddr]) -> bool {
        let slots = self.slots();
        addresses.iter().any(|address| {
            slots
                .get(address)
                .is_some_and(|slot| slot.is_connecting && !slot.is_down)
        })
    }

    /// Retries opening a link until it succeeds or the link is no longer requested.
    async fn connect_with_retry(self: Arc<Self>, address: SocketAddr) {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let link = connect(address, self.suspicion.clone()).await;
            let is_finished = self.record_attempt(address, link);
            self.attempt_finished.notify_waiters();
            if is_finished {
                return;
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Records the result of an attempt to open a link. Returns whether to stop retrying.
    fn record_attempt(&self, address: SocketAddr, link: Option<Arc<OwnerLink>>) -> bool {
        let mut slots = self.slots();
        let slot = slots.entry(address).or_default();
        if link.is_some() {
            if slot.is_down {
                info!("event=owner_regained owner={address}");
            }
            slot.link = link;
            slot.is_connecting = false;
            slot.is_down = false;
            return true;
        }
        if !slot.is_down {
            info!("event=owner_unreachable owner={address}");
        }
        slot.is_down = true;
        let is_requested = clock::now().millis_since(slot.last_requested) < RETRY_WINDOW_MS;
        if !is_requested {
            slot.is_connecting = false;
            slot.is_down = false;
        }
        !is_requested
    }
}

async fn connect(address: SocketAddr, suspicion: Arc<LinkSuspicion>) -> Option<Arc<OwnerLink>> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .ok()?
        .ok()?;
    // Nagle's algorithm would delay small messages.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    Some(OwnerLink::start(address, stream, suspicion))
}
