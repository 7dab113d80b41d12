//! Watches one database group: asks every instance for its status, keeps the
//! view, and confirms writes.

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

/// The primary is asked this often when nothing waits on it.
const PRIMARY_INTERVAL: Duration = Duration::from_millis(200);
/// A replica this node owns is asked this often.
const OWNED_INTERVAL: Duration = Duration::from_millis(500);
/// Other instances are asked this often.
const DISTANT_INTERVAL: Duration = Duration::from_millis(1_000);
/// While a read waits for a replica, it is asked this often.
const AWAITED_INTERVAL: Duration = Duration::from_millis(10);
/// Between two tries to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// While the group shows no primary it is asked this often.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);
/// While commits are on their way, instances are asked this often.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(5);
/// An instance that does not answer within this is unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Status questions in flight on one connection at most.
const MAXIMUM_IN_FLIGHT: usize = 8;

/// The view as last published.
pub type GroupSnapshot = Arc<GroupView>;

/// Access to a group's monitor.
#[derive(Debug, Clone)]
pub struct MonitorHandle {
    actor: Address<MonitorActor>,
    /// The view, changing with every status.
    pub view: watch::Receiver<GroupSnapshot>,
    commits: Arc<Commits>,
    probes: Arc<Vec<JoinHandle<()>>>,
}

impl MonitorHandle {
    /// Confirms a commit at `position` that has finished; none when the monitor
    /// is gone or gives no verdict before `limit`.
    pub async fn confirm(&self, position: Position, limit: Duration) -> Option<Verdict> {
        let (id, receiver) = self.actor.send(Confirm { position }).await.ok()?;
        match tokio::time::timeout(limit, receiver).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => {
                let _ = self.actor.send(Forget { id }).await;
                None
            }
        }
    }

    /// Announces a commit, so that the questions which confirm it run ahead of
    /// the primary's answer; end it with the commit.
    pub fn expect_commit(&self) -> ExpectedCommit {
        self.commits.count.fetch_add(1, Ordering::Relaxed);
        self.commits.wake_all();
        ExpectedCommit {
            commits: self.commits.clone(),
        }
    }

    /// Takes in a status that rode on another answer.
    pub async fn observe(&self, instance: &InstanceName, status: InstanceStatus) {
        let _ = self
            .actor
            .send(Observed {
                instance: instance.clone(),
                asked: None,
                status,
            })
            .await;
    }

    /// Marks an instance as one this node owns.
    pub fn set_owned(&self, instance: &InstanceName) {
        if let Some(index) = self.index(instance) {
            self.commits.interests[index].owned.store(true, Ordering::Relaxed);
        }
    }

    fn index(&self, instance: &InstanceName) -> Option<usize> {
        self.snapshot().instances().position(|name| name == instance)
    }

    /// Announces a read that waits for an instance to catch up.
    pub fn await_instance(&self, instance: &InstanceName) -> Option<AwaitedInstance> {
        let index = self.index(instance)?;
        let interest = &self.commits.interests[index];
        interest.awaited.fetch_add(1, Ordering::Relaxed);
        interest.wake.notify_one();
        Some(AwaitedInstance {
            commits: self.commits.clone(),
            index,
        })
    }

    /// Marks instances as leaving.
    pub async fn set_leaving(&self, leaving: Vec<(InstanceName, bool)>) {
        let _ = self.actor.send(SetLeaving { leaving }).await;
    }

    /// The view as last published.
    pub fn snapshot(&self) -> GroupSnapshot {
        self.view.borrow().clone()
    }

    /// Ends the probes.
    pub fn stop(&self) {
        for probe in self.probes.iter() {
            probe.abort();
        }
    }
}

/// Keeps the view of one group.
#[derive(xtra::Actor)]
struct MonitorActor {
    group: GroupName,
    view: GroupView,
    tracker: ConfirmationTracker,
    waiting: HashMap<u64, oneshot::Sender<Verdict>>,
    next_id: u64,
    published: watch::Sender<GroupSnapshot>,
    commits: Arc<Commits>,
    primary: Option<(InstanceName, Term)>,
}

/// Commits on their way to their confirmation. While there are any, instances
/// are asked often, ahead of the primary's answer.
#[derive(Debug)]
struct Commits {
    count: AtomicUsize,
    interests: Vec<Interest>,
}

/// What this node wants of one instance.
#[derive(Debug, Default)]
struct Interest {
    /// Asks the instance now.
    wake: Notify,
    /// This node owns the instance.
    owned: AtomicBool,
    /// Reads that wait for the instance to catch up.
    awaited: AtomicUsize,
}

/// Held while a read waits for an instance to catch up.
#[derive(Debug)]
pub struct AwaitedInstance {
    commits: Arc<Commits>,
    index: usize,
}

impl Drop for AwaitedInstance {
    fn drop(&mut self) {
        self.commits.interests[self.index]
            .awaited
            .fetch_sub(1, Ordering::Relaxed);
    }
}

impl Commits {
    fn wake_all(&self) {
        for interest in &self.interests {
            interest.wake.notify_one();
        }
    }

    fn are_expected(&self) -> bool {
        self.count.load(Ordering::Relaxed) > 0
    }
}

/// Held while a commit is on its way.
#[derive(Debug)]
pub struct ExpectedCommit {
    commits: Arc<Commits>,
}

impl Drop for ExpectedCommit {
    fn drop(&mut self) {
        self.commits.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts watching a group.
pub fn start(
    group: GroupName,
    rule: ConfirmationRule,
    mut targets: Vec<(InstanceName, BackendTarget)>,
) -> MonitorHandle {
    // The view lists instances by name; probes are numbered alike.
    targets.sort_by(|left, right| left.0.cmp(&right.0));
    let view = GroupView::new(targets.iter().map(|(name, _)| name.clone()));
    let (published, receiver) = watch::channel(Arc::new(view.clone()));
    let commits = Arc::new(Commits {
        count: AtomicUsize::new(0),
        interests: targets.iter().map(|_| Interest::default()).collect(),
    });
    let actor = MonitorActor {
        group,
        view,
        tracker: ConfirmationTracker::new(targets.len(), rule),
        waiting: HashMap::new(),
        next_id: 0,
        published,
        commits: commits.clone(),
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
                commits: commits.clone(),
                monitor: address.clone(),
                view: receiver.clone(),
            };
            tokio::spawn(probe.run())
        })
        .collect();
    MonitorHandle {
        actor: address,
        view: receiver,
        commits,
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
                    // Questions planned for later are asked now.
                    self.commits.wake_all();
                }
            }
            self.primary = primary;
        }
        self.published.send_replace(Arc::new(self.view.clone()));
    }

    fn decide(&mut self, decided: Vec<(u64, Verdict)>) {
        for (id, verdict) in decided {
            if let Some(waiter) = self.waiting.remove(&id) {
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

    async fn handle(&mut self, confirm: Confirm, _context: &mut Context<Self>) -> Self::Return {
        self.next_id += 1;
        let id = self.next_id;
        let (sender, receiver) = oneshot::channel();
        match self.tracker.register(id, confirm.position) {
            Some(verdict) => {
                let _ = sender.send(verdict);
            }
            None => {
                self.waiting.insert(id, sender);
                self.commits.wake_all();
            }
        }
        (id, receiver)
    }
}

struct Forget {
    id: u64,
}

impl Handler<Forget> for MonitorActor {
    type Return = ();

    async fn handle(&mut self, forget: Forget, _context: &mut Context<Self>) {
        self.tracker.forget(forget.id);
        self.waiting.remove(&forget.id);
    }
}

struct DrawSequence;

impl Handler<DrawSequence> for MonitorActor {
    type Return = Sequence;

    async fn handle(&mut self, _draw: DrawSequence, _context: &mut Context<Self>) -> Sequence {
        self.tracker.next_sequence()
    }
}

struct Observed {
    instance: InstanceName,
    asked: Option<Sequence>,
    status: InstanceStatus,
}

impl Handler<Observed> for MonitorActor {
    type Return = ();

    async fn handle(&mut self, observed: Observed, _context: &mut Context<Self>) {
        let term = observed.status.position.term;
        let received = observed.status.received;
        self.view
            .observe(clock::now(), &observed.instance, observed.status);
        if let Some(asked) = observed.asked {
            let decided = self
                .tracker
                .record_status(&observed.instance, asked, term, received);
            self.decide(decided);
        }
        self.publish();
    }
}

struct Unreachable {
    instance: InstanceName,
    error: String,
}

impl Handler<Unreachable> for MonitorActor {
    type Return = ();

    async fn handle(&mut self, lost: Unreachable, _context: &mut Context<Self>) {
        if self.view.status(&lost.instance).is_some() {
            warn!(
                "event=instance_unreachable group={} instance={} error={:?}",
                self.group, lost.instance, lost.error
            );
        }
        self.view.mark_unreachable(&lost.instance);
        self.publish();
    }
}

struct SetLeaving {
    leaving: Vec<(InstanceName, bool)>,
}

impl Handler<SetLeaving> for MonitorActor {
    type Return = ();

    async fn handle(&mut self, set: SetLeaving, _context: &mut Context<Self>) {
        for (instance, leaving) in &set.leaving {
            self.view.set_leaving(instance, *leaving);
        }
        self.publish();
    }
}

/// Asks one instance for its status, over and over.
struct Probe {
    instance: InstanceName,
    target: BackendTarget,
    index: usize,
    commits: Arc<Commits>,
    monitor: Address<MonitorActor>,
    view: watch::Receiver<GroupSnapshot>,
}

impl Probe {
    async fn run(self) {
        loop {
            let error = match BackendConnection::connect(&self.target, CONNECT_TIMEOUT).await {
                Ok(connection) => self.ask_until_lost(connection).await,
                Err(error) => error.to_string(),
            };
            let lost = Unreachable {
                instance: self.instance.clone(),
                error,
            };
            if self.monitor.send(lost).await.is_err() {
                return;
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    fn interval(&self) -> Duration {
        if self.commits.are_expected() {
            return CONFIRM_INTERVAL;
        }
        let interest = &self.commits.interests[self.index];
        if interest.awaited.load(Ordering::Relaxed) > 0 {
            return AWAITED_INTERVAL;
        }
        match self.view.borrow().primary(clock::now()) {
            None => SEARCH_INTERVAL,
            Some((primary, _)) if *primary == self.instance => PRIMARY_INTERVAL,
            Some(_) if interest.owned.load(Ordering::Relaxed) => OWNED_INTERVAL,
            Some(_) => DISTANT_INTERVAL,
        }
    }

    /// Whether a status came lately by another way, so that asking is needless.
    fn is_needless(&self) -> bool {
        if self.commits.are_expected() {
            return false;
        }
        // Before the view is borrowed: it must not be borrowed twice.
        let interval = self.interval().as_millis();
        let view = self.view.borrow();
        let heard = view.status(&self.instance).map(|(heard, _)| *heard);
        heard.is_some_and(|heard| u128::from(clock::now().millis_since(heard)) < interval / 2)
    }

    /// Asks until the connection is lost; returns why.
    async fn ask_until_lost(&self, mut connection: BackendConnection) -> String {
        let mut in_flight = InFlight::new();
        let mut next_ask = tokio::time::Instant::now();
        loop {
            let oldest = in_flight.front().map(|(_, sent)| *sent);
            let give_up = oldest.unwrap_or_else(tokio::time::Instant::now) + PROBE_TIMEOUT;
            let may_ask = in_flight.len() < MAXIMUM_IN_FLIGHT;
            let may_ask_ahead = in_flight.is_empty() || self.commits.are_expected();
            let step = tokio::select! {
                answer = connection.next_answer(), if !in_flight.is_empty() => {
                    self.take_answer(answer, &mut in_flight).await.map(|()| false)
                }
                () = tokio::time::sleep_until(give_up), if oldest.is_some() => {
                    Err("no answer to the status question".to_owned())
                }
                () = self.commits.interests[self.index].wake.notified(), if may_ask => Ok(true),
                () = tokio::time::sleep_until(next_ask), if may_ask && may_ask_ahead => {
                    next_ask = tokio::time::Instant::now() + self.interval();
                    Ok(!self.is_needless())
                }
            };
            let asks = match step {
                Ok(asks) => asks,
                Err(error) => return error,
            };
            if asks {
                if let Err(error) = self.ask(&mut connection, &mut in_flight).await {
                    return error;
                }
                next_ask = tokio::time::Instant::now() + self.interval();
            }
        }
    }

    async fn ask(&self, connection: &mut BackendConnection, in_flight: &mut InFlight) -> Result<(), String> {
        let mut question = bytes::BytesMut::new();
        put_status_request(&mut question).map_err(|error| error.to_string())?;
        let asked = self
            .monitor
            .send(DrawSequence)
            .await
            .map_err(|error| error.to_string())?;
        connection
            .send(&question)
            .await
            .map_err(|error| error.to_string())?;
        in_flight.push_back((asked, tokio::time::Instant::now()));
        Ok(())
    }

    async fn take_answer(
        &self,
        answer: Result<Answer, BackendError>,
        in_flight: &mut InFlight,
    ) -> Result<(), String> {
        let answer = answer.map_err(|error| error.to_string())?;
        let status = parse_status(&answer).map_err(|error| error.to_string())?;
        let observed = Observed {
            instance: self.instance.clone(),
            asked: in_flight.pop_front().map(|(asked, _)| asked),
            status,
        };
        self.monitor
            .send(observed)
            .await
            .map_err(|error| error.to_string())
    }
}

/// Questions without an answer yet, oldest first, and when they were sent.
type InFlight = VecDeque<(Sequence, tokio::time::Instant)>;
