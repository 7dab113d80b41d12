//! Monitors one database group: polls the status of every instance, publishes the
//! group view and confirms commits.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use log::{info, warn};
use millwind_core::confirmation::{ConfirmationRule, ConfirmationTracker, Sequence, Verdict};
use millwind_core::group_view::{GroupView, InstanceStatus};
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::{Position, Term};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinHandle;
use xtra::prelude::*;

use crate::clock;
use crate::pg::answer::Answer;
use crate::pg::backend::{BackendConnection, BackendError, BackendTarget};
use crate::pg::status::{parse_status, put_status_request};

/// Polling interval of the primary when no commit or read waits for a status.
const PRIMARY_INTERVAL: Duration = Duration::from_millis(200);
/// Polling interval of replicas that this node owns.
const OWNED_INTERVAL: Duration = Duration::from_millis(500);
/// Polling interval of replicas that other nodes own.
const UNOWNED_INTERVAL: Duration = Duration::from_millis(1_000);
/// Polling interval of a replica while a read waits for it to catch up.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between connection attempts.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Polling interval of all instances while the group has no known primary.
const NO_PRIMARY_INTERVAL: Duration = Duration::from_millis(10);
/// Polling interval of all instances while commits are pending.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which an instance that has not answered counts as unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of status queries in flight on one connection.
const MAXIMUM_IN_FLIGHT: usize = 8;

/// An immutable copy of a group's view.
pub type GroupSnapshot = Arc<GroupView>;

/// Handle to the monitor of a group.
#[derive(Debug, Clone)]
pub struct MonitorHandle {
    actor: Address<MonitorActor>,
    /// The latest view, updated with every status received.
    pub view: watch::Receiver<GroupSnapshot>,
    demand: Arc<PollingDemand>,
    probes: Arc<Vec<JoinHandle<()>>>,
}

impl MonitorHandle {
    /// Waits for the verdict on a finished commit at `position`. Returns none if
    /// the monitor has stopped or `limit` passes first.
    pub async fn confirm(&self, position: Position, limit: Duration) -> Option<Verdict> {
        let (id, receiver) = self.actor.send(Confirm { position }).await.ok()?;
        match tokio::time::timeout(limit, receiver).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => {
                let _ = self.actor.send(CancelConfirm { id }).await;
                None
            }
        }
    }

    /// Polls instances at the confirmation interval until the returned guard is
    /// dropped. Taken before a commit is sent, so that status answers are already
    /// under way when the primary answers.
    pub fn announce_commit(&self) -> CommitAnnouncement {
        self.demand.pending_commits.fetch_add(1, Ordering::Relaxed);
        self.demand.wake_all();
        CommitAnnouncement {
            demand: self.demand.clone(),
        }
    }

    /// Records a status that was received along with a batch.
    pub async fn observe(&self, instance: &InstanceName, status: InstanceStatus) {
        let _ = self
            .actor
            .send(ObservedStatus {
                instance: instance.clone(),
                sequence: None,
                status,
            })
            .await;
    }

    /// Marks an instance as owned by this node.
    pub fn set_owned(&self, instance: &InstanceName) {
        if let Some(index) = self.index(instance) {
            self.demand.by_instance[index]
                .owned
                .store(true, Ordering::Relaxed);
        }
    }

    fn index(&self, instance: &InstanceName) -> Option<usize> {
        self.snapshot().instances().position(|name| name == instance)
    }

    /// Polls an instance at the catch-up interval until the returned guard is
    /// dropped. Returns none if the group has no such instance.
    pub fn begin_catch_up_wait(&self, instance: &InstanceName) -> Option<CatchUpWait> {
        let index = self.index(instance)?;
        let instance_demand = &self.demand.by_instance[index];
        instance_demand.waiting_reads.fetch_add(1, Ordering::Relaxed);
        instance_demand.wake.notify_one();
        Some(CatchUpWait {
            demand: self.demand.clone(),
            index,
        })
    }

    /// Sets or clears the leaving mark of instances.
    pub async fn set_leaving(&self, leaving: Vec<(InstanceName, bool)>) {
        let _ = self.actor.send(SetLeaving { leaving }).await;
    }

    /// The latest view.
    pub fn snapshot(&self) -> GroupSnapshot {
        self.view.borrow().clone()
    }

    /// Stops polling.
    pub fn stop(&self) {
        for probe in self.probes.iter() {
            probe.abort();
        }
    }
}

/// Maintains the view of one group and its unconfirmed commits.
#[derive(xtra::Actor)]
struct MonitorActor {
    group: GroupName,
    view: GroupView,
    tracker: ConfirmationTracker,
    waiters: HashMap<u64, oneshot::Sender<Verdict>>,
    next_id: u64,
    published: watch::Sender<GroupSnapshot>,
    demand: Arc<PollingDemand>,
    primary: Option<(InstanceName, Term)>,
}

/// What requires probes to poll more often; shared by the probes and the guards.
#[derive(Debug)]
struct PollingDemand {
    /// Number of commits that were announced and are not yet confirmed.
    pending_commits: AtomicUsize,
    by_instance: Vec<InstanceDemand>,
}

/// Polling requirements of one instance.
#[derive(Debug, Default)]
struct InstanceDemand {
    /// Triggers a status query at once.
    wake: Notify,
    /// Whether this node owns the instance.
    owned: AtomicBool,
    /// Number of reads that wait for the instance to catch up.
    waiting_reads: AtomicUsize,
}

/// Guard that is held while a read waits for an instance to catch up.
#[derive(Debug)]
pub struct CatchUpWait {
    demand: Arc<PollingDemand>,
    index: usize,
}

impl Drop for CatchUpWait {
    fn drop(&mut self) {
        self.demand.by_instance[self.index]
            .waiting_reads
            .fetch_sub(1, Ordering::Relaxed);
    }
}

impl PollingDemand {
    fn wake_all(&self) {
        for instance_demand in &self.by_instance {
            instance_demand.wake.notify_one();
        }
    }

    fn has_pending_commits(&self) -> bool {
        self.pending_commits.load(Ordering::Relaxed) > 0
    }
}

/// Guard that is held until a commit is confirmed or has failed.
#[derive(Debug)]
pub struct CommitAnnouncement {
    demand: Arc<PollingDemand>,
}

impl Drop for CommitAnnouncement {
    fn drop(&mut self) {
        self.demand.pending_commits.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts the monitor of a group and a probe for each instance.
pub fn start(
    group: GroupName,
    rule: ConfirmationRule,
    mut targets: Vec<(InstanceName, BackendTarget)>,
) -> MonitorHandle {
    // `GroupView` sorts instances by name, and probe indices follow its order.
    targets.sort_by(|left, right| left.0.cmp(&right.0));
    let view = GroupView::new(targets.iter().map(|(name, _)| name.clone()));
    let (published, receiver) = watch::channel(Arc::new(view.clone()));
    let demand = Arc::new(PollingDemand {
        pending_commits: AtomicUsize::new(0),
        by_instance: targets.iter().map(|_| InstanceDemand::default()).collect(),
    });
    let actor = MonitorActor {
        group,
        view,
        tracker: ConfirmationTracker::new(targets.len(), rule),
        waiters: HashMap::new(),
        next_id: 0,
        published,
        demand: demand.clone(),
        primary: None,
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let probes = targets
        .into_iter()
        .enumerate()
        .map(|(index, (instance, target))| {
            let probe = Probe {
                instance,
                target,
                index,
                demand: demand.clone(),
                monitor: address.clone(),
                view: receiver.clone(),
            };
            tokio::spawn(probe.run())
        })
        .collect();
    MonitorHandle {
        actor: address,
        view: receiver,
        demand,
        probes: Arc::new(probes),
    }
}

impl MonitorActor {
    fn publish(&mut self) {
        let now = clock::now();
        let primary = self.view.primary(now).map(|(name, term)| (name.clone(), term));
        if primary != self.primary {
            match &primary {
                Some((instance, term)) => {
                    info!(
                        "event=primary_found group={} instance={instance} term={term}",
                        self.group
                    );
                }
                None => {
                    warn!("event=primary_lost group={}", self.group);
                    // Probes query at once instead of after their interval.
                    self.demand.wake_all();
                }
            }
            self.primary = primary;
        }
        self.published.send_replace(Arc::new(self.view.clone()));
    }

    /// Sends verdicts to the commits that wait for them.
    fn deliver_verdicts(&mut self, verdicts: Vec<(u64, Verdict)>) {
        for (id, verdict) in verdicts {
            if let Some(waiter) = self.waiters.remove(&id) {
                let _ = waiter.send(verdict);
            }
        }
    }
}

struct Confirm {
    position: Position,
}

impl Handler<Confirm> for MonitorActor {
    type Return = (u64, oneshot::Receiver<Verdict>);

    async fn handle(&mut self, commit: Confirm, _context: &mut Context<Self>) -> Self::Return {
        self.next_id += 1;
        let id = self.next_id;
        let (sender, receiver) = oneshot::channel();
        match self.tracker.register(id, commit.position) {
            Some(verdict) => {
                let _ = sender.send(verdict);
            }
            None => {
                self.waiters.insert(id, sender);
                self.demand.wake_all();
            }
        }
        (id, receiver)
    }
}

struct CancelConfirm {
    id: u64,
}

impl Handler<CancelConfirm> for MonitorActor {
    type Return = ();

    async fn handle(&mut self, cancel: CancelConfirm, _context: &mut Context<Self>) {
        self.tracker.forget(cancel.id);
        self.waiters.remove(&cancel.id);
    }
}

struct NextSequence;

impl Handler<NextSequence> for MonitorActor {
    type Return = Sequence;

    async fn handle(&mut self, _next: NextSequence, _context: &mut Context<Self>) -> Sequence {
        self.tracker.next_sequence()
    }
}

struct ObservedStatus {
    instance: InstanceName,
    sequence: Option<Sequence>,
    status: InstanceStatus,
}

impl Handler<ObservedStatus> for MonitorActor {
    type Return = ();

    async fn handle(&mut self, observed: ObservedStatus, _context: &mut Context<Self>) {
        let term = observed.status.position.term;
        let received = observed.status.received;
        self.view
            .observe(clock::now(), &observed.instance, observed.status);
        if let Some(sequence) = observed.sequence {
            let verdicts = self
                .tracker
                .record_status(&observed.instance, sequence, term, received);
            self.deliver_verdicts(verdicts);
        }
        self.publish();
    }
}

struct InstanceUnreachable {
    instance: InstanceName,
    error: String,
}

impl Handler<InstanceUnreachable> for MonitorActor {
    type Return = ();

    async fn handle(&mut self, unreachable: InstanceUnreachable, _context: &mut Context<Self>) {
        if self.view.status(&unreachable.instance).is_some() {
            warn!(
                "event=instance_unreachable group={} instance={} error={:?}",
                self.group, unreachable.instance, unreachable.error
            );
        }
        self.view.mark_unreachable(&unreachable.instance);
        self.publish();
    }
}

struct SetLeaving {
    leaving: Vec<(InstanceName, bool)>,
}

impl Handler<SetLeaving> for MonitorActor {
    type Return = ();

    async fn handle(&mut self, update: SetLeaving, _context: &mut Context<Self>) {
        for (instance, leaving) in &update.leaving {
            self.view.set_leaving(instance, *leaving);
        }
        self.publish();
    }
}

/// Polls the status of one instance and reconnects when the connection fails.
struct Probe {
    instance: InstanceName,
    target: BackendTarget,
    index: usize,
    demand: Arc<PollingDemand>,
    monitor: Address<MonitorActor>,
    view: watch::Receiver<GroupSnapshot>,
}

impl Probe {
    async fn run(self) {
        loop {
            let error = match BackendConnection::connect(&self.target, CONNECT_TIMEOUT).await {
                Ok(connection) => self.poll_until_disconnected(connection).await,
                Err(error) => error.to_string(),
            };
            let unreachable = InstanceUnreachable {
                instance: self.instance.clone(),
                error,
            };
            if self.monitor.send(unreachable).await.is_err() {
                return;
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    fn interval(&self) -> Duration {
        if self.demand.has_pending_commits() {
            return CONFIRM_INTERVAL;
        }
        let instance_demand = &self.demand.by_instance[self.index];
        if instance_demand.waiting_reads.load(Ordering::Relaxed) > 0 {
            return CATCH_UP_INTERVAL;
        }
        match self.view.borrow().primary(clock::now()) {
            None => NO_PRIMARY_INTERVAL,
            Some((primary, _)) if *primary == self.instance => PRIMARY_INTERVAL,
            Some(_) if instance_demand.owned.load(Ordering::Relaxed) => OWNED_INTERVAL,
            Some(_) => UNOWNED_INTERVAL,
        }
    }

    /// Whether a batch delivered a status so recently that the next query can be
    /// skipped.
    fn is_status_recent(&self) -> bool {
        if self.demand.has_pending_commits() {
            return false;
        }
        // `interval` borrows the view itself, so this call must precede the borrow
        // below: nested borrows of a watch channel can deadlock.
        let interval = self.interval().as_millis();
        let view = self.view.borrow();
        let received_at = view.status(&self.instance).map(|(received_at, _)| *received_at);
        received_at
            .is_some_and(|received_at| u128::from(clock::now().millis_since(received_at)) < interval / 2)
    }

    /// Polls until the connection fails; returns the error.
    async fn poll_until_disconnected(&self, mut connection: BackendConnection) -> String {
        let mut in_flight = InFlight::new();
        let mut next_poll = tokio::time::Instant::now();
        loop {
            let oldest = in_flight.front().map(|(_, sent)| *sent);
            let answer_deadline = oldest.unwrap_or_else(tokio::time::Instant::now) + PROBE_TIMEOUT;
            let has_capacity = in_flight.len() < MAXIMUM_IN_FLIGHT;
            let may_poll = in_flight.is_empty() || self.demand.has_pending_commits();
            let step = tokio::select! {
                answer = connection.next_answer(), if !in_flight.is_empty() => {
                    self.handle_answer(answer, &mut in_flight).await.map(|()| false)
                }
                () = tokio::time::sleep_until(answer_deadline), if oldest.is_some() => {
                    Err("status query timed out".to_owned())
                }
                () = self.demand.by_instance[self.index].wake.notified(), if has_capacity => Ok(true),
                () = tokio::time::sleep_until(next_poll), if has_capacity && may_poll => {
                    next_poll = tokio::time::Instant::now() + self.interval();
                    Ok(!self.is_status_recent())
                }
            };
            let should_query = match step {
                Ok(should_query) => should_query,
                Err(error) => return error,
            };
            if should_query {
                if let Err(error) = self.send_query(&mut connection, &mut in_flight).await {
                    return error;
                }
                next_poll = tokio::time::Instant::now() + self.interval();
            }
        }
    }

    async fn send_query(
        &self,
        connection: &mut BackendConnection,
        in_flight: &mut InFlight,
    ) -> Result<(), String> {
        let mut query = bytes::BytesMut::new();
        put_status_request(&mut query).map_err(|error| error.to_string())?;
        let sequence = self
            .monitor
            .send(NextSequence)
            .await
            .map_err(|error| error.to_string())?;
        connection.send(&query).await.map_err(|error| error.to_string())?;
        in_flight.push_back((sequence, tokio::time::Instant::now()));
        Ok(())
    }

    async fn handle_answer(
        &self,
        answer: Result<Answer, BackendError>,
        in_flight: &mut InFlight,
    ) -> Result<(), String> {
        let answer = answer.map_err(|error| error.to_string())?;
        let status = parse_status(&answer).map_err(|error| error.to_string())?;
        let observed = ObservedStatus {
            instance: self.instance.clone(),
            sequence: in_flight.pop_front().map(|(sequence, _)| sequence),
            status,
        };
        self.monitor
            .send(observed)
            .await
            .map_err(|error| error.to_string())
    }
}

/// Status queries without an answer, oldest first, with their send times.
type InFlight = VecDeque<(Sequence, tokio::time::Instant)>;
