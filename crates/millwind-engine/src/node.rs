//! Puts an engine node together, runs it, and stops it as planned.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::{info, warn};
use millwind_core::Instant;
use millwind_core::retry::RetryBudget;
use millwind_store::Store;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::backend::{Pool, Pools};
use crate::catalog::InstanceRecord;
use crate::catalog_cache::CatalogCache;
use crate::catalog_watch::{ConfigFollower, InstanceFollower};
use crate::cold_places::ColdPlaces;
use crate::counted_store::CountedStore;
use crate::directory::{Directory, Known};
use crate::duty::Duties;
use crate::failover::Monitor;
use crate::forward::Owners;
use crate::group_marks::GroupMarks;
use crate::leader_demand::LeaderDemands;
use crate::logging::RequestLog;
use crate::metrics::Metrics;
use crate::own_keys::OwnKeys;
use crate::passed_over::PassedOver;
use crate::peer_reach::{self, PeerReach};
use crate::peers::{self, Exchange, PeerClient};
use crate::ports::{BackEndCodec, CallerCodec, CatalogCodec, Promoter};
use crate::quota::Quotas;
use crate::registration::{Unreached, keep_registered, mark_gone};
use crate::registry::{Departure, NodeRecord, Registry};
use crate::relays::Relays;
use crate::settings::{EngineSettings, SettingsError};
use crate::store_watch::{Follower, StoreContact};
use crate::{clock, listener, readiness, relays, store_watch};

/// Hedged reads per hundred reads.
const HEDGE_PERCENT: u32 = 10;
/// Saved hedged reads at most.
const HEDGE_CEILING: u32 = 20;
/// Between two batches of changes of instances' records.
const INSTANCES_PACE: Duration = Duration::from_millis(1_000);
/// The same with many nodes, which tell each other what they read: this part of
/// the time after which a leaving instance gets nothing new, in percent, and
/// never more than the most.
const SHARED_PACE_PERCENT: u64 = 40;
const MOST_SHARED_PACE_MS: u64 = 4_000;
/// The same while a leader is in doubt.
const URGENT_PACE: Duration = Duration::from_millis(300);
/// Between two looks at instances that are gone, and at the shares.
const HOUSEKEEPING: Duration = Duration::from_millis(500);
/// Share of the grace period after which open transactions are ended.
const TRANSACTION_GRACE_PERCENT: u64 = 45;
/// Share of the grace period after which sessions that never rest are closed.
const BUSY_GRACE_PERCENT: u64 = 60;
/// Share of the grace period after which the process ends in any case.
const LAST_GRACE_PERCENT: u64 = 85;
/// Statements that a stopping node has taken are answered so long before the process
/// ends, in milliseconds: the answer must have left it.
const LAST_ANSWER_MARGIN_MS: u64 = 150;
/// Probes must have failed twice before sessions are closed.
const PROBES_NOTICE: Duration = Duration::from_millis(2_200);
/// A node that stops waits so long for the store to take that, in milliseconds:
/// a few times an answer's usual time between regions.
const SIGN_OFF_MS: u64 = 300;
/// Between two looks at whether it has.
const SIGN_OFF_PAUSE: Duration = Duration::from_millis(10);
/// At the first start of a deployment all nodes register at once: each reads the
/// store only after this time, so that it finds the others. A few times the time
/// within which the platform starts its machines (0.3 s).
const FIRST_START_SETTLE: Duration = Duration::from_millis(1_000);
/// After it the nodes are listed within this time, so that most know by then that
/// relays read the rest: a few times an answer's usual time between regions.
const FIRST_START_LISTING: Duration = Duration::from_millis(300);
/// Taken off the time in which a leaving leader is still used.
const LEAVING_MARGIN_MS: u64 = 1_500;

/// Where the life of the process stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Serving.
    Running,
    /// Stopping as planned, since this time.
    Stopping(Instant),
}

/// What all sessions of a node share.
pub struct Engine {
    /// Settings of the node.
    pub settings: EngineSettings,
    /// What the node believes.
    pub directory: Arc<Directory>,
    /// Protocol towards callers.
    pub caller_codec: Arc<dyn CallerCodec>,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Limits lines about single requests.
    pub request_log: RequestLog,
    /// Reads that may be tried twice.
    pub retry_budget: SharedBudget,
    /// Life of the process.
    pub phase: watch::Sender<Phase>,
    /// The other nodes.
    pub registry: Arc<Registry>,
    /// Connections to the other nodes.
    pub peers: PeerClient,
    /// Documents for peers that cannot read the store.
    pub catalog_cache: CatalogCache,
    /// Documents in the store that cannot be read.
    pub passed_over: PassedOver,
    /// The system's own keys in the store.
    pub own_keys: Arc<OwnKeys>,
    /// The nodes that read the store on behalf of others.
    pub relays: Relays,
    /// Whether the store is heard.
    pub store_contact: Arc<StoreContact>,
    /// Groups whose watchers this node is asking for the leader.
    pub leader_inquiries: Arc<GroupMarks>,
    /// How this node goes, once it does.
    pub departure: watch::Sender<Option<Departure>>,
    /// Nodes that comparisons of the catalog did not reach.
    pub unreached: Unreached,
    /// Groups whose old leader this node is telling to step down.
    pub stepping_down: Arc<GroupMarks>,
    /// The nodes that own connections to instances.
    pub owners: Owners,
    /// What needs the leaders of groups.
    pub leader_demands: LeaderDemands,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Places to arrive at cold instances.
    pub cold_places: ColdPlaces,
    /// Which of the other nodes this one reaches.
    pub peer_reach: PeerReach,
    /// Connections leased to other nodes.
    pub forwarded_leases: AtomicUsize,
    pub(crate) pools: Pools,
    monitor_wake: Notify,
    leader_doubted: Notify,
    sessions: AtomicUsize,
}

/// A retry budget shared by all sessions.
#[derive(Debug)]
pub struct SharedBudget(Mutex<RetryBudget>);

impl SharedBudget {
    /// Records a first attempt.
    pub fn deposit(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).deposit();
    }

    /// Takes one retry if the budget holds one.
    pub fn withdraw(&self) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).withdraw()
    }
}

/// Counts an open session until it is dropped.
pub struct SessionCount(Arc<Engine>);

impl Drop for SessionCount {
    fn drop(&mut self) {
        self.0.sessions.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    /// Version of the configuration in force, zero before the first.
    pub fn config_version(&self) -> u64 {
        self.directory.config().map_or(0, |config| config.version)
    }

    /// Whether the node takes new callers.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Running && self.directory.is_complete() && self.registry.is_listed()
    }

    /// Counts a new session; none when the limit is reached.
    pub fn count_session(self: &Arc<Self>) -> Option<SessionCount> {
        if self.sessions.load(Ordering::Relaxed) >= self.settings.maximum_clients {
            return None;
        }
        self.sessions.fetch_add(1, Ordering::Relaxed);
        self.metrics.sessions.inc();
        Some(SessionCount(self.clone()))
    }

    /// Open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.load(Ordering::Relaxed)
    }

    /// The pool of an instance.
    pub fn pool(&self, record: &InstanceRecord) -> Arc<Pool> {
        self.pools
            .pool(record, self.registry.version(), || self.share_of(record))
    }

    /// The protocol towards back ends.
    pub fn backend_codec(&self) -> &Arc<dyn BackEndCodec> {
        self.pools.codec()
    }

    /// Addresses of the other nodes, or of seeds while none is known.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer_address;
        let known = self
            .registry
            .peers()
            .into_iter()
            .map(|(_, record)| record.peer_address);
        let peers: Vec<_> = known.filter(|address| *address != own).collect();
        if !peers.is_empty() {
            return peers;
        }
        let seeds = self.settings.seeds.iter().copied();
        seeds.filter(|address| *address != own).collect()
    }

    /// Waits until enough is known to serve callers, for `limit` at most.
    pub async fn await_complete(&self, limit: Duration) {
        let deadline = clock::now().plus_millis(limit.as_millis() as u64);
        while !self.directory.is_complete() && clock::now() < deadline {
            self.directory.completed(deadline).await;
        }
    }

    /// Whether a leader still takes new work: one that will end does for a
    /// while, until another takes over.
    pub fn takes_new_work(&self, known: &Known) -> bool {
        let bound = self.settings.drain_bound_ms.saturating_sub(LEAVING_MARGIN_MS);
        known
            .leaving_since
            .is_none_or(|since| clock::now().millis_since(since) < bound)
    }

    /// Waits before the next report of instances' records. With many nodes
    /// each waits longer, since what one reads the others hear from it; but not
    /// while a leader is in doubt.
    pub async fn rest_from_instances(&self) {
        let is_shared = self.directory.config().is_some_and(|config| {
            let mut groups = config.groups.keys();
            groups.any(|group| !self.is_ample(group))
        });
        if !is_shared {
            return tokio::time::sleep(INSTANCES_PACE).await;
        }
        let has_relays = !self.relays.to_ask(&self.registry).is_empty();
        let pace = match has_relays {
            true => Duration::from_millis(self.relays.times().pace_ms),
            false => self.shared_pace(),
        };
        tokio::time::sleep(URGENT_PACE).await;
        if self.relays.are_news_urgent(&self.directory) {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(pace.saturating_sub(URGENT_PACE)) => {}
            () = self.leader_doubted.notified() => {}
        }
    }

    fn shared_pace(&self) -> Duration {
        let part = self.settings.drain_bound_ms * SHARED_PACE_PERCENT / 100;
        Duration::from_millis(part.min(MOST_SHARED_PACE_MS))
    }

    /// A leader is in doubt: its record should be read soon.
    pub fn doubt_leader(&self) {
        self.leader_doubted.notify_waiters();
    }

    /// Asks the monitor to look at the groups now.
    pub fn wake_monitor(&self) {
        self.monitor_wake.notify_one();
    }

    /// Waits until the monitor is asked to look.
    pub async fn monitor_woken(&self) {
        self.monitor_wake.notified().await;
    }

    /// The deadline of a statement that has time until `deadline`. In a planned stop
    /// it ends before the process does: a connection that closes in place of an
    /// answer tells its caller nothing.
    pub fn statement_deadline(&self, deadline: Instant) -> Instant {
        let Phase::Stopping(since) = *self.phase.borrow() else {
            return deadline;
        };
        let process_ms = self.settings.grace_ms * LAST_GRACE_PERCENT / 100;
        deadline.min(since.plus_millis(process_ms.saturating_sub(LAST_ANSWER_MARGIN_MS)))
    }

    /// During a planned stop: waits until a resting session may be closed.
    pub async fn may_close_session(&self, is_in_transaction: bool, resting: Duration) {
        let Phase::Stopping(since) = *self.phase.borrow() else {
            return std::future::pending().await;
        };
        let notice = if is_in_transaction {
            Duration::from_millis(self.settings.grace_ms * TRANSACTION_GRACE_PERCENT / 100)
        } else {
            PROBES_NOTICE.min(Duration::from_millis(self.settings.grace_ms / 2))
        };
        let start = since.plus_millis(notice.as_millis() as u64);
        // A session that never rests is closed between two statements.
        let latest = since.plus_millis(self.settings.grace_ms * BUSY_GRACE_PERCENT / 100);
        let rest = resting.min(clock::until(latest));
        tokio::time::sleep(clock::until(start).max(rest)).await;
    }
}

/// Why a node did not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are not usable.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A listener's address cannot be used.
    #[error("{field} {address}: {source}")]
    Listen {
        /// Field of the settings.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// The adapter's side of the ports.
pub struct Ports<S> {
    /// Protocol towards callers.
    pub caller_codec: Arc<dyn CallerCodec>,
    /// Protocol towards back ends.
    pub backend_codec: Arc<dyn BackEndCodec>,
    /// Documents in the store.
    pub catalog_codec: Arc<dyn CatalogCodec>,
    /// The promotion service.
    pub promoter: Arc<dyn Promoter>,
    /// The store.
    pub store: Arc<S>,
}

impl<S> Ports<S> {
    /// The same with the calls to the store counted in `metrics`.
    fn counted(self, metrics: &Metrics) -> Ports<CountedStore<S>> {
        Ports {
            caller_codec: self.caller_codec,
            backend_codec: self.backend_codec,
            catalog_codec: self.catalog_codec,
            promoter: self.promoter,
            store: Arc::new(CountedStore::new(self.store, metrics.calls.clone())),
        }
    }
}

/// A running node.
pub struct Node {
    /// What its sessions share.
    pub engine: Arc<Engine>,
}

async fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Listen {
            field,
            address,
            source,
        })
}

impl Node {
    /// Starts a node; returns once its listeners accept.
    pub async fn start<S: Store + 'static>(
        settings: EngineSettings,
        ports: Ports<S>,
    ) -> Result<Node, NodeError> {
        settings.check()?;
        let counts = Metrics::default();
        let ports = ports.counted(&counts);
        let clients = listen("client_address", settings.client_address).await?;
        let probes = listen("ready_address", settings.ready_address).await?;
        let peers = listen("peer_address", settings.peer_address).await?;
        let metrics = listen("metrics_address", settings.metrics_address).await?;
        let directory = Arc::new(Directory::new(
            &settings.zone,
            gone_grace_ms(&settings),
            settings.promotion_fences,
        ));
        let duties = Arc::new(Duties::new(
            ports.store.clone(),
            format!("{}duty/", ports.catalog_codec.own_prefix()),
            settings.name.clone(),
            directory.clone(),
        ));
        let engine = new_engine(settings, &ports, counts, directory, duties.clone());
        info!(
            "event=node_started name={} zone={} clients={} peers={}",
            engine.settings.name,
            engine.settings.zone,
            engine.settings.client_address,
            engine.settings.peer_address
        );
        let exchange = Exchange::new(engine.clone(), ports.catalog_codec.clone());
        start_store_watches(&engine, ports, duties);
        tokio::spawn(relays::judge_at_start(engine.clone()));
        tokio::spawn(exchange.run());
        tokio::spawn(peers::serve(peers, engine.clone()));
        tokio::spawn(readiness::serve_probes(probes, engine.clone()));
        tokio::spawn(readiness::serve_metrics(metrics, engine.clone()));
        tokio::spawn(listener::serve(clients, engine.clone()));
        tokio::spawn(housekeeping(engine.clone()));
        tokio::spawn(peer_reach::follow(engine.clone()));
        Ok(Node { engine })
    }

    /// Gives up all permits and says so in the store, so that no promoter waits
    /// for this node.
    async fn sign_off(&self) {
        if self.engine.settings.promotion_fences {
            return;
        }
        self.engine.directory.drop_permits();
        self.engine.departure.send_replace(Some(Departure::Stopped));
        let deadline = clock::now().plus_millis(SIGN_OFF_MS);
        let is_told = || {
            let own = self.engine.registry.own_record().0;
            own.is_some_and(|own| own.departure == Some(Departure::Stopped))
        };
        while !is_told() && clock::now() < deadline {
            tokio::time::sleep(SIGN_OFF_PAUSE).await;
        }
    }

    /// Stops as planned: takes no new callers, lets open work end, closes
    /// resting sessions; true when all had ended in time.
    pub async fn stop(&self) -> bool {
        let since = clock::now();
        info!("event=stop_started sessions={}", self.engine.sessions());
        self.engine.phase.send_replace(Phase::Stopping(since));
        let last = since.plus_millis(self.engine.settings.grace_ms * LAST_GRACE_PERCENT / 100);
        let first = since.plus_millis(PROBES_NOTICE.as_millis() as u64).min(last);
        let mut has_signed_off = false;
        while clock::now() < last {
            let leases = self.engine.forwarded_leases.load(Ordering::Relaxed);
            let is_idle = self.engine.sessions() == 0 && leases == 0;
            if clock::now() >= first && is_idle && !has_signed_off {
                // A session may come meanwhile.
                self.sign_off().await;
                has_signed_off = true;
                continue;
            }
            if is_idle && has_signed_off {
                info!("event=stop_finished ms={}", clock::now().millis_since(since));
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let leases = self.engine.forwarded_leases.load(Ordering::Relaxed);
        warn!(
            "event=stop_cut_short sessions={} leases={leases}",
            self.engine.sessions()
        );
        false
    }
}

/// Two missed heartbeats, but a third of the time in which an instance that
/// left must get nothing new at most.
fn gone_grace_ms(settings: &EngineSettings) -> u64 {
    (settings.heartbeat_ms * 2).min(settings.drain_bound_ms / 3)
}

fn new_engine<S: Store + 'static>(
    settings: EngineSettings,
    ports: &Ports<S>,
    metrics: Metrics,
    directory: Arc<Directory>,
    duties: Arc<Duties<S>>,
) -> Arc<Engine> {
    let nodes_prefix = format!("{}nodes/", ports.catalog_codec.own_prefix());
    let registry = Arc::new(Registry::new(
        nodes_prefix,
        settings.name.clone(),
        directory.clone(),
    ));
    let zones = settings.topology.zone_count();
    let relays = Relays::new(&settings.zone, zones, settings.config_bound_ms);
    let own_followers: Vec<Arc<dyn Follower>> = vec![registry.clone(), duties];
    let own_keys = OwnKeys::new(own_followers, relays.reading()).reading_zone_first(registry.clone());
    Arc::new(Engine {
        directory,
        caller_codec: ports.caller_codec.clone(),
        metrics,
        request_log: RequestLog::default(),
        retry_budget: SharedBudget(Mutex::new(RetryBudget::new(HEDGE_PERCENT, HEDGE_CEILING))),
        phase: watch::Sender::new(Phase::Running),
        registry,
        peers: PeerClient::default(),
        catalog_cache: CatalogCache::default(),
        passed_over: PassedOver::default(),
        own_keys: Arc::new(own_keys),
        relays,
        store_contact: Arc::new(StoreContact::default()),
        leader_inquiries: Arc::default(),
        departure: watch::Sender::new(None),
        unreached: Unreached::default(),
        stepping_down: Arc::default(),
        owners: Owners::new(settings.topology.clone()),
        leader_demands: LeaderDemands::default(),
        quotas: Quotas::default(),
        cold_places: ColdPlaces::default(),
        peer_reach: PeerReach::default(),
        forwarded_leases: AtomicUsize::new(0),
        pools: Pools::new(ports.backend_codec.clone()),
        monitor_wake: Notify::new(),
        leader_doubted: Notify::new(),
        sessions: AtomicUsize::new(0),
        settings,
    })
}

fn start_store_watches<S: Store + 'static>(engine: &Arc<Engine>, ports: Ports<S>, duties: Arc<Duties<S>>) {
    let catalog = &ports.catalog_codec;
    let config = ConfigFollower::new(engine.clone(), catalog.clone());
    let instances = InstanceFollower::new(engine.clone(), catalog.clone());
    let contact = engine.store_contact.clone();
    let (nodes_settle, catalog_settle) = match engine.settings.is_first_start {
        true => (FIRST_START_SETTLE, FIRST_START_SETTLE + FIRST_START_LISTING),
        false => (Duration::ZERO, Duration::ZERO),
    };
    let follow = |prefix: &str, follower: Arc<dyn store_watch::Follower>, settle: Duration| {
        let following =
            store_watch::follow(ports.store.clone(), prefix.to_owned(), follower, contact.clone());
        tokio::spawn(async move {
            tokio::time::sleep(settle).await;
            following.await;
        });
    };
    follow(catalog.operators_prefix(), Arc::new(config), catalog_settle);
    follow(catalog.instances_prefix(), Arc::new(instances), catalog_settle);
    follow(catalog.own_prefix(), engine.own_keys.clone(), nodes_settle);
    let record = NodeRecord {
        peer_address: engine.settings.peer_address,
        zone: engine.settings.zone.clone(),
        link_mbps: engine.settings.link_mbps,
        departure: None,
    };
    let keeper = engine.clone();
    let store = ports.store.clone();
    let departure = engine.departure.subscribe();
    tokio::spawn(async move { keep_registered(&keeper, &*store, record, departure).await });
    if !engine.settings.promotion_fences {
        let marker = engine.clone();
        let store = ports.store.clone();
        tokio::spawn(async move { mark_gone(&marker.registry, &*store, &marker.unreached).await });
    }
    let monitor = Monitor::new(
        engine.clone(),
        duties,
        ports.promoter.clone(),
        ports.catalog_codec.clone(),
    );
    tokio::spawn(monitor.clone().follow_leads());
    tokio::spawn(monitor.run());
}

/// Retires pools of instances that are gone, and follows the number of nodes.
async fn housekeeping(engine: Arc<Engine>) {
    let mut seen = 0;
    loop {
        tokio::time::sleep(HOUSEKEEPING).await;
        engine.follow_cold_instances();
        engine.pools.trim(|record| engine.spare_connections(record));
        engine.leave_evacuated_zones();
        for instance in engine.directory.forget_gone(engine.settings.drain_bound_ms) {
            engine.pools.retire(&instance);
        }
        let version = engine.registry.version();
        if version != seen {
            seen = version;
            engine.pools.set_shares(|record| engine.share_of(record));
        }
    }
}
