//! The pool of one instance: its admission queue and its idle connections.

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
/// Waiting requests per slot.
const QUEUE_PER_SLOT: usize = 64;
/// Between two connections that are opened ahead of need.
const PREOPEN_PACE: Duration = Duration::from_millis(5);

/// Limits of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Statements at the same time.
    pub slots: u32,
    /// Connections in all, pinned ones included.
    pub connections: u32,
}

/// Access to a pool.
#[derive(Debug, Clone)]
pub struct PoolHandle {
    actor: Address<PoolActor>,
    target: Arc<BackendTarget>,
    next_ticket: Arc<AtomicU64>,
    /// Limits of the pool.
    pub limits: PoolLimits,
}

type Grant = Result<Option<BackendConnection>, ErrorKind>;

/// Keeps one instance's queue and idle connections.
#[derive(xtra::Actor)]
struct PoolActor {
    queue: AdmissionQueue,
    idle: Vec<BackendConnection>,
    keep_idle: usize,
    waiting: HashMap<u64, oneshot::Sender<Grant>>,
}

/// Starts a pool.
pub fn start(target: BackendTarget, limits: PoolLimits) -> PoolHandle {
    let admission = AdmissionLimits {
        slots: limits.slots,
        queue_length: limits.slots as usize * QUEUE_PER_SLOT,
    };
    let actor = PoolActor {
        queue: AdmissionQueue::new(admission),
        idle: Vec::new(),
        keep_idle: limits.slots as usize,
        waiting: HashMap::new(),
    };
    PoolHandle {
        actor: xtra::spawn_tokio(actor, Mailbox::unbounded()),
        target: Arc::new(target),
        next_ticket: Arc::new(AtomicU64::new(1)),
        limits,
    }
}

impl PoolHandle {
    /// Waits for a slot until the ticket's deadline. The ticket gets a number of
    /// the pool's own: numbers of requests repeat between links.
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
                let _ = self.actor.send(Abandon { id }).await;
                // Granted in the same moment: the slot must go back.
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
            since: clock::now(),
            released: false,
        }
    }

    /// Takes back a connection that is idle and wholly read, without a slot.
    pub async fn deposit(&self, connection: BackendConnection) {
        let _ = self.actor.send(Deposit { connection }).await;
    }

    /// Opens connections ahead of need, one after another.
    pub async fn preopen(&self) {
        for _ in 0..self.limits.slots {
            match BackendConnection::connect(&self.target, CONNECT_TIMEOUT).await {
                Ok(connection) => {
                    let _ = self.actor.send(Deposit { connection }).await;
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
            tokio::time::sleep(PREOPEN_PACE).await;
        }
    }

    /// How to reach the instance.
    pub fn target(&self) -> &BackendTarget {
        &self.target
    }

    /// Opens a connection outside the queue.
    pub async fn connect(&self) -> Result<BackendConnection, BackendError> {
        BackendConnection::connect(&self.target, CONNECT_TIMEOUT).await
    }

    /// Requests running and waiting.
    pub async fn load(&self) -> (u32, usize) {
        self.actor.send(Load).await.unwrap_or_default()
    }
}

/// A slot of the instance, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    pool: PoolHandle,
    connection: Option<BackendConnection>,
    since: Instant,
    released: bool,
}

impl Slot {
    /// The connection to use: an idle one, or a new one.
    pub async fn connection(&mut self) -> Result<BackendConnection, BackendError> {
        if let Some(connection) = self.connection.take()
            && connection.is_usable()
        {
            return Ok(connection);
        }
        self.pool.connect().await
    }

    /// Gives the slot back with a connection that is idle and wholly read.
    pub fn finish(mut self, connection: BackendConnection) {
        self.release(Some(connection));
    }

    fn release(&mut self, connection: Option<BackendConnection>) {
        if self.released {
            return;
        }
        self.released = true;
        let held_us = clock::now().0.saturating_sub(self.since.0);
        // Queued at once: the mailbox is unbounded.
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
        let Some(waiter) = self.waiting.remove(&id) else {
            self.keep(connection);
            return;
        };
        if let Err(Ok(unused)) = waiter.send(Ok(connection)) {
            // The caller has gone between the grant and now.
            self.keep(unused);
            self.release_slot(0);
        }
    }

    fn refuse(&mut self, id: u64, kind: ErrorKind) {
        if let Some(waiter) = self.waiting.remove(&id) {
            let _ = waiter.send(Err(kind));
        }
    }

    fn keep(&mut self, connection: Option<BackendConnection>) {
        if let Some(connection) = connection
            && self.idle.len() < self.keep_idle
        {
            self.idle.push(connection);
        }
    }

    fn release_slot(&mut self, held_us: u64) {
        let mut expired = Vec::new();
        let next = self.queue.release(clock::now(), held_us, &mut expired);
        for id in expired {
            self.refuse(id, ErrorKind::DeadlineTooShort);
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
        self.waiting.insert(id, sender);
        let mut displaced = Vec::new();
        let admission = self.queue.admit(clock::now(), admit.ticket, &mut displaced);
        for id in displaced {
            self.refuse(id, ErrorKind::QueueFull);
        }
        match admission {
            Admission::Granted => self.grant(id),
            Admission::Queued => {}
            Admission::Refused(kind) => self.refuse(id, kind),
        }
        receiver
    }
}

struct Abandon {
    id: u64,
}

impl Handler<Abandon> for PoolActor {
    type Return = ();

    async fn handle(&mut self, abandon: Abandon, _context: &mut Context<Self>) {
        if self.queue.cancel(abandon.id) {
            self.waiting.remove(&abandon.id);
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
        self.keep(release.connection);
        self.release_slot(release.held_us);
    }
}

struct Deposit {
    connection: BackendConnection,
}

impl Handler<Deposit> for PoolActor {
    type Return = ();

    async fn handle(&mut self, deposit: Deposit, _context: &mut Context<Self>) {
        self.keep(Some(deposit.connection));
    }
}

struct Load;

impl Handler<Load> for PoolActor {
    type Return = (u32, usize);

    async fn handle(&mut self, _load: Load, _context: &mut Context<Self>) -> Self::Return {
        (self.queue.running(), self.queue.queued())
    }
}
