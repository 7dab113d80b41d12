//! Links to owners, opened when first needed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::info;
use millwind_core::Instant;
use tokio::net::TcpStream;

use super::link::OwnerLink;
use crate::clock;

/// A link opens within this time, or not.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// A node that could not be reached is left alone for this long, in
/// milliseconds.
const DOWN_MS: u64 = 500;
/// Unacknowledged bytes break a link after this time.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

#[derive(Debug, Default)]
struct Slot {
    link: Option<Arc<OwnerLink>>,
    down_until: Instant,
    /// Held by the one that opens the link.
    opening: Arc<tokio::sync::Mutex<()>>,
}

/// Links by the owner's address.
#[derive(Debug, Default)]
pub(super) struct Links {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Links {
    fn slots(&self) -> MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The open link to `address`, if there is one.
    pub(super) fn open_link(&self, address: SocketAddr) -> Option<Arc<OwnerLink>> {
        let slots = self.slots();
        let link = slots.get(&address)?.link.as_ref()?;
        link.is_open().then(|| link.clone())
    }

    /// Whether `address` may be tried: it is linked, or was not found down a
    /// moment ago.
    pub(super) fn may_try(&self, address: SocketAddr) -> bool {
        let slots = self.slots();
        let Some(slot) = slots.get(&address) else {
            return true;
        };
        match &slot.link {
            Some(link) if link.is_open() => !link.is_leaving(),
            _ => clock::now() >= slot.down_until,
        }
    }

    /// Calls without an answer on the link to `address`.
    pub(super) fn outstanding(&self, address: SocketAddr) -> usize {
        self.open_link(address).map_or(0, |link| link.outstanding())
    }

    /// The link to `address`, opened if there is none.
    pub(super) async fn get(&self, address: SocketAddr) -> Option<Arc<OwnerLink>> {
        if let Some(link) = self.open_link(address) {
            return Some(link);
        }
        let opening = self.slots().entry(address).or_default().opening.clone();
        let _held = opening.lock().await;
        if let Some(link) = self.open_link(address) {
            return Some(link);
        }
        if !self.may_try(address) {
            return None;
        }
        let link = open(address).await;
        let mut slots = self.slots();
        let slot = slots.entry(address).or_default();
        if link.is_none() {
            info!("event=owner_unreachable owner={address}");
            slot.down_until = clock::now().plus_millis(DOWN_MS);
        }
        slot.link = link.clone();
        link
    }
}

async fn open(address: SocketAddr) -> Option<Arc<OwnerLink>> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_LIMIT, connecting).await.ok()?.ok()?;
    // Without it small messages wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    Some(OwnerLink::start(address, stream))
}
