//! Connection pool of one instance: an admission queue and idle connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::FutureExt;
use log::debug;
use millwind_core::Instant;
use millwind_core::admission::{Admission, AdmissionLimits, AdmissionQueue, Ticket};
use millwind_core::error_kind::ErrorKind;
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::clock;
use crate::pg::backend::{BackendConnection, BackendError, BackendTarget};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of queued requests per slot.
const QUEUE_PER_SLOT: usize = 64;
/// Pause between connections that are opened in advance.
const PREOPEN_INTERVAL: Duration = Duration::from_millis(5);

/// Concurrency limits of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum number of batches running at the same time.
    pub slots: u32,
    /// Maximum number of connections, including pinned ones.
    pub connections: u32,
}

/// Handle to a pool.
#[derive(Debug, Clone)]
pub struct PoolHandle {
    actor: Address<PoolActor>,
    target: Arc<BackendTarget>,
    next_ticket: Arc<AtomicU64>,
    /// Concurrency limits.
    pub limits: PoolLimits,
}

/// The answer to an admission request: a slot, with an idle connection if one
/// exists, or the reason for rejection.
type Grant = Result<Option<BackendConnection>, ErrorKind>;

/// Owns the admission queue and the idle connections.
#[derive(xtra::Actor)]
struct PoolActor {
    queue: AdmissionQueue,
    idle: Vec<BackendConnection>,
    maximum_idle: usize,
    waiters: HashMap<u64, oneshot::Sender<Grant>>,
}

/// Starts a pool without connections.
pub fn start(target: BackendTarget, limits: PoolLimits) -> PoolHandle {
    let admission = AdmissionLimits {
        slots: limits.slots,
        queue_length: limits.slots as usize * QUEUE_PER_SLOT,
    };
    let actor = PoolActor {
        queue: AdmissionQueue::new(admission),
        idle: Vec::new(),
        maximum_idle: limits.slots as usize,
        waiters: HashMap::new(),
    };
    PoolHandle {
        actor: xtra::spawn_tokio(actor, Mailbox::unbounded()),
        target: Arc::new(target),
        next_ticket: Arc::new(AtomicU64::new(1)),
        limits,
    }
}

impl PoolHandle {
    /// Waits for a slot until the ticket's deadline. The ticket's id is replaced by
    /// one unique in the pool, because links number their requests independently.
    pub async fn acquire(&self, mut ticket: Ticket) -> Result<Slot, ErrorKind> {
        let id = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        ticket.id = id;
        let deadline = ticket.deadline;
        let mut granted = self
            .actor
            .send(Admit { ticket })
            .await
            .map_err(|_| ErrorKind::BackEndUnreachable)?;
        match tokio::time::timeout(clock::time_until(deadline), &mut granted).await {
            Ok(Ok(grant)) => Ok(self.slot(grant?)),
            Ok(Err(_)) => Err(ErrorKind::BackEndUnreachable),
            Err(_) => {
                let _ = self.actor.send(CancelAdmission { id }).await;
                // The slot may have been granted before the cancellation arrived.
                if let Ok(Ok(connection)) = granted.try_recv() {
                    drop(self.slot(connection));
                }
                Err(ErrorKind::DeadlineTooShort)
            }
        }
    }

    fn slot(&self, connection: Option<BackendConnection>) -> Slot {
        Slot {
            pool: self.clone(),
            connection,
            acquired_at: clock::now(),
            released: false,
        }
    }

    /// Returns a connection that holds no slot. The connection must be idle and its
    /// answers read completely.
    pub async fn return_connection(&self, connection: BackendConnection) {
        let _ = self.actor.send(ReturnConnection { connection }).await;
    }

    /// Opens one idle connection per slot, in sequence; stops at the first failure.
    pub async fn preopen(&self) {
        for _ in 0..self.limits.slots {
            match BackendConnection::connect(&self.target, CONNECT_TIMEOUT).await {
                Ok(connection) => {
                    let _ = self.actor.send(ReturnConnection { connection }).await;
                }
                Err(error) => {
                    debug!(
                        "event=preopen_failed address={} error={:?}",
                        self.target.address,
                        error.to_string()
                    );
                    return;
                }
            }
            tokio::time::sleep(PREOPEN_INTERVAL).await;
        }
    }

    /// Address and credentials of the instance.
    pub fn target(&self) -> &BackendTarget {
        &self.target
    }

    /// Opens a connection without a slot.
    pub async fn connect(&self) -> Result<BackendConnection, BackendError> {
        BackendConnection::connect(&self.target, CONNECT_TIMEOUT).await
    }

    /// Numbers of running and queued requests.
    pub async fn load(&self) -> (u32, usize) {
        self.actor.send(GetLoad).await.unwrap_or_default()
    }
}

/// Permission to run one batch on the instance; released when dropped.
#[derive(Debug)]
pub struct Slot {
    pool: PoolHandle,
    connection: Option<BackendConnection>,
    acquired_at: Instant,
    released: bool,
}

impl Slot {
    /// Returns the idle connection that came with the slot, or opens a new one.
    pub async fn connection(&mut self) -> Result<BackendConnection, BackendError> {
        if let Some(connection) = self.connection.take()
            && connection.is_usable()
        {
            return Ok(connection);
        }
        self.pool.connect().await
    }

    /// Releases the slot and returns its connection, which must be idle and its
    /// answers read completely.
    pub fn finish(mut self, connection: BackendConnection) {
        self.release(Some(connection));
    }

    fn release(&mut self, connection: Option<BackendConnection>) {
        if self.released {
            return;
        }
        self.released = true;
        let held_us = clock::now().0.saturating_sub(self.acquired_at.0);
        // The mailbox is unbounded, so the first poll enqueues the message.
        let _ = self
            .pool
            .actor
            .send(Release { connection, held_us })
            .detach()
            .now_or_never();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let unused = self.connection.take();
        self.release(unused);
    }
}

impl PoolActor {
    fn take_idle(&mut self) -> Option<BackendConnection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    fn grant(&mut self, id: u64) {
        let connection = self.take_idle();
        let Some(waiter) = self.waiters.remove(&id) else {
            self.store_idle(connection);
            return;
        };
        if let Err(Ok(unused)) = waiter.send(Ok(connection)) {
            // The request was cancelled before the grant reached it.
            self.store_idle(unused);
            self.release_slot(0);
        }
    }

    fn reject(&mut self, id: u64, kind: ErrorKind) {
        if let Some(waiter) = self.waiters.remove(&id) {
            let _ = waiter.send(Err(kind));
        }
    }

    /// Keeps a connection for reuse, or closes it if enough are idle.
    fn store_idle(&mut self, connection: Option<BackendConnection>) {
        if let Some(connection) = connection
            && self.idle.len() < self.maximum_idle
        {
            self.idle.push(connection);
        }
    }

    fn release_slot(&mut self, held_us: u64) {
        let mut expired = Vec::new();
        let next = self.queue.release(clock::now(), held_us, &mut expired);
        for id in expired {
            self.reject(id, ErrorKind::DeadlineTooShort);
        }
        if let Some(ticket) = next {
            self.grant(ticket.id);
        }
    }
}

struct Admit {
    ticket: Ticket,
}

impl Handler<Admit> for PoolActor {
    type Return = oneshot::Receiver<Grant>;

    async fn handle(&mut self, admit: Admit, _context: &mut Context<Self>) -> Self::Return {
        let (sender, receiver) = oneshot::channel();
        let id = admit.ticket.id;
        self.waiters.insert(id, sender);
        let mut displaced = Vec::new();
        let admission = self.queue.admit(clock::now(), admit.ticket, &mut displaced);
        for id in displaced {
            self.reject(id, ErrorKind::QueueFull);
        }
        match admission {
            Admission::Granted => self.grant(id),
            Admission::Queued => {}
            Admission::Refused(kind) => self.reject(id, kind),
        }
        receiver
    }
}

struct CancelAdmission {
    id: u64,
}

impl Handler<CancelAdmission> for PoolActor {
    type Return = ();

    async fn handle(&mut self, cancel: CancelAdmission, _context: &mut Context<Self>) {
        if self.queue.cancel(cancel.id) {
            self.waiters.remove(&cancel.id);
        }
    }
}

struct Release {
    connection: Option<BackendConnection>,
    held_us: u64,
}

impl Handler<Release> for PoolActor {
    type Return = ();

    async fn handle(&mut self, release: Release, _context: &mut Context<Self>) {
        self.store_idle(release.connection);
        self.release_slot(release.held_us);
    }
}

struct ReturnConnection {
    connection: BackendConnection,
}

impl Handler<ReturnConnection> for PoolActor {
    type Return = ();

    async fn handle(&mut self, returned: ReturnConnection, _context: &mut Context<Self>) {
        self.store_idle(Some(returned.connection));
    }
}

struct GetLoad;

impl Handler<GetLoad> for PoolActor {
    type Return = (u32, usize);

    async fn handle(&mut self, _get: GetLoad, _context: &mut Context<Self>) -> Self::Return {
        (self.queue.running(), self.queue.queued())
    }
}
