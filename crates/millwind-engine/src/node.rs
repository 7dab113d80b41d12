//! Assembles, runs and stops an engine node.

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
use crate::counted_store::CountedStore;
use crate::directory::{Directory, KnownInstance};
use crate::failover::{self, FailoverMonitor};
use crate::failover_ownership::FailoverOwnership;
use crate::forward::OwnerRouter;
use crate::in_progress_groups::InProgressGroups;
use crate::leader_demand::LeaderDemandTracker;
use crate::logging::RequestLog;
use crate::metrics::Metrics;
use crate::own_keys::SystemKeys;
use crate::peer_reach::{self, PeerReach};
use crate::peers::{self, CatalogExchange, PeerClient};
use crate::ports::{BackEndCodec, CallerCodec, CatalogCodec, Promoter};
use crate::quota::Quotas;
use crate::registration::keep_registered;
use crate::registry::{Departure, NodeRecord, ProcessId, Registration, Registry};
use crate::relays::Relays;
use crate::settings::{EngineSettings, SettingsError};
use crate::store_watch::{Follower, StoreContact};
use crate::unreachable_nodes::{UnreachablePeers, mark_unreachable};
use crate::unreadable_documents::UnreadableDocuments;
use crate::warm_up_credits::WarmUpCredits;
use crate::{clock, listener, readiness, relays, store_watch};

/// Hedged reads allowed per hundred reads.
const HEDGE_PERCENT: u32 = 10;
/// Maximum number of hedged reads saved in the budget.
const HEDGE_BUDGET_MAX: u32 = 20;
/// Interval between two batches of changed instance records.
const INSTANCE_BATCH_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between batches when nodes share a group's connections through owners, in
/// percent of the time after which a draining instance must receive nothing new.
/// [`MAX_SHARED_INTERVAL_MS`] limits the result.
const SHARED_INTERVAL_PERCENT: u64 = 40;
const MAX_SHARED_INTERVAL_MS: u64 = 4_000;
/// Interval between batches while a group's leader is uncertain.
const URGENT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two housekeeping runs.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Percentage of the grace period after which open transactions are ended.
const TRANSACTION_GRACE_PERCENT: u64 = 45;
/// Percentage of the grace period after which sessions that are never idle are closed.
const BUSY_GRACE_PERCENT: u64 = 60;
/// Percentage of the grace period after which the process exits in any case.
const EXIT_GRACE_PERCENT: u64 = 85;
/// Time before the exit of a stopping node by which statements must be answered, in
/// milliseconds, so that the answers can still be sent.
const EXIT_ANSWER_MARGIN_MS: u64 = 150;
/// Minimum time before sessions are closed, so that load balancers see two failed probes
/// first.
const PROBE_FAILURE_DELAY: Duration = Duration::from_millis(2_200);
/// Maximum time that a stopping node waits for the store to accept its departure, in
/// milliseconds.
const DEPARTURE_TIMEOUT_MS: u64 = 300;
/// Interval between two checks for the accepted departure.
const DEPARTURE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before the first read of the store when a deployment starts for the first time,
/// so that each node finds the records of the others.
const FIRST_START_DELAY: Duration = Duration::from_millis(1_000);
/// Time after [`FIRST_START_DELAY`] for listing the nodes before the catalog is read, so
/// that most nodes know the relays by then.
const FIRST_START_LISTING_TIME: Duration = Duration::from_millis(300);
/// Longest wait of a watch call of one node on the system's own keys, in percent of the time
/// within which a configuration must be in force.
const OWN_KEYS_WAIT_PERCENT: u64 = 60;
/// Time before the drain bound after which nothing new is sent to an instance, so that what was
/// sent arrives in time.
const DRAIN_MARGIN_MS: u64 = 1_000;

/// Lifecycle phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The node serves callers.
    Running,
    /// A planned stop began at this time.
    Stopping(Instant),
}

/// State shared by all sessions of a node.
pub struct Engine {
    /// Settings of the node.
    pub settings: EngineSettings,
    /// The node's view of the groups and their instances.
    pub directory: Arc<Directory>,
    /// Protocol spoken with callers.
    pub caller_codec: Arc<dyn CallerCodec>,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Rate limit for log lines about single requests.
    pub request_log: RequestLog,
    /// Budget for hedged reads.
    pub retry_budget: SharedBudget,
    /// Lifecycle phase of the process.
    pub phase: watch::Sender<Phase>,
    /// Registered nodes of the deployment.
    pub registry: Arc<Registry>,
    /// Client for requests to other nodes.
    pub peers: PeerClient,
    /// Catalog documents to share with peers.
    pub catalog_cache: CatalogCache,
    /// Documents in the store that cannot be read.
    pub unreadable_documents: UnreadableDocuments,
    /// Documents under the system's own prefix in the store.
    pub own_keys: Arc<SystemKeys>,
    /// The nodes that read the store on behalf of others.
    pub relays: Relays,
    /// Connectivity of the store.
    pub store_contact: Arc<StoreContact>,
    /// Groups for which this node is asking the watchers about the leader.
    pub leader_queries: Arc<InProgressGroups>,
    /// How this node leaves the deployment, once a stop has started.
    pub departure: watch::Sender<Option<Departure>>,
    /// Peers that did not answer catalog comparisons.
    pub unreachable_peers: UnreachablePeers,
    /// Groups whose old leader this node is asking to step down.
    pub stepping_down: Arc<InProgressGroups>,
    /// Groups whose replicas without a record this node is checking.
    pub receiver_checks: Arc<InProgressGroups>,
    /// The nodes that own connections to instances.
    pub owners: OwnerRouter,
    /// Pending demand for the leaders of groups.
    pub leader_demands: LeaderDemandTracker,
    /// Quotas of tenants.
    pub quotas: Quotas,
    /// Warm-up credits that this node lends and borrows.
    pub warm_up_credits: WarmUpCredits,
    /// Reachability of the other nodes.
    pub peer_reach: PeerReach,
    /// Number of connections leased to other nodes.
    pub forwarded_leases: AtomicUsize,
    pub(crate) pools: Pools,
    monitor_wake: Notify,
    leader_uncertain: Notify,
    sessions: AtomicUsize,
}

/// A retry budget shared by all sessions.
#[derive(Debug)]
pub struct SharedBudget(Mutex<RetryBudget>);

impl SharedBudget {
    /// Credits the budget for one first attempt.
    pub fn deposit(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).deposit();
    }

    /// Takes one retry from the budget; returns false if the budget is empty.
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
    /// Returns the version of the active configuration, or zero if there is none yet.
    pub fn config_version(&self) -> u64 {
        self.directory.config().map_or(0, |config| config.version)
    }

    /// Returns whether the node accepts new callers. A node that needs permits has had some, so
    /// that callers of a starting node do not wait for its registration. A node whose permits
    /// have expired remains ready, since the store is then lost to the other nodes as well.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Running
            && self.directory.is_complete()
            && self.registry.is_listed()
            && self.directory.has_had_permits()
    }

    /// Registers a new session, or returns `None` if the limit on sessions is reached.
    pub fn count_session(self: &Arc<Self>) -> Option<SessionCount> {
        if self.sessions.load(Ordering::Relaxed) >= self.settings.maximum_clients {
            return None;
        }
        self.sessions.fetch_add(1, Ordering::Relaxed);
        self.metrics.sessions.inc();
        Some(SessionCount(self.clone()))
    }

    /// Returns the number of open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.load(Ordering::Relaxed)
    }

    /// Returns the connection pool of an instance.
    pub fn pool(&self, record: &InstanceRecord) -> Arc<Pool> {
        self.pools
            .pool(record, self.registry.version(), || self.connection_share(record))
    }

    /// Returns the protocol spoken with back ends.
    pub fn backend_codec(&self) -> &Arc<dyn BackEndCodec> {
        self.pools.codec()
    }

    /// Returns the addresses of the other nodes, or of the seeds while no other node is
    /// known.
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

    /// Waits until the directory is complete enough to serve callers, or until `limit`
    /// has elapsed.
    pub async fn await_complete(&self, limit: Duration) {
        let deadline = clock::now().plus_millis(limit.as_millis() as u64);
        while !self.directory.is_complete() && clock::now() < deadline {
            self.directory.completed(deadline).await;
        }
    }

    /// Returns whether new work may be sent to an instance at all. A leader that is leaving gets
    /// new work until shortly before its drain bound, so that another can take over.
    ///
    /// The bound runs from the store's acknowledgement, which this node may have read late. An
    /// instance without a record has at least the grace period, since an outage of the store may
    /// have removed the record.
    pub fn takes_new_work(&self, known: &KnownInstance) -> bool {
        let Some(learned) = known.leaving_since else {
            return true;
        };
        let bound_ms = self.settings.drain_bound_ms.saturating_sub(DRAIN_MARGIN_MS);
        let ends = known.leaving_not_before.plus_millis(bound_ms);
        let is_announced = known.record.is_leaving || known.is_undecodable;
        let grace_ends = match is_announced {
            true => Instant::default(),
            false => learned.plus_millis(gone_grace_ms(&self.settings)),
        };
        clock::now() < ends.max(grace_ends)
    }

    /// Waits before the next batch of changed instance records. The wait is longer if nodes
    /// share a group's connections through owners, unless a group's leader is uncertain.
    pub async fn wait_for_instance_batch(&self) {
        let shares_connections = self.directory.config().is_some_and(|config| {
            let mut groups = config.groups.keys();
            groups.any(|group| !self.has_ample_connections(group))
        });
        if !shares_connections {
            return tokio::time::sleep(INSTANCE_BATCH_INTERVAL).await;
        }
        let has_relays = !self.relays.relays_to_ask(&self.registry).is_empty();
        let interval = match has_relays {
            true => Duration::from_millis(self.relays.times().read_interval_ms),
            false => self.shared_interval(),
        };
        tokio::time::sleep(URGENT_INTERVAL).await;
        if self.relays.is_polling_urgent(&self.directory) {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(interval.saturating_sub(URGENT_INTERVAL)) => {}
            () = self.leader_uncertain.notified() => {}
        }
    }

    fn shared_interval(&self) -> Duration {
        let part = self.settings.drain_bound_ms * SHARED_INTERVAL_PERCENT / 100;
        Duration::from_millis(part.min(MAX_SHARED_INTERVAL_MS))
    }

    /// Shortens the current wait of [`Engine::wait_for_instance_batch`], because a group's
    /// leader is uncertain.
    pub fn expedite_instance_batch(&self) {
        self.leader_uncertain.notify_waiters();
    }

    /// Asks the failover monitor to check the groups now.
    pub fn wake_monitor(&self) {
        self.monitor_wake.notify_one();
    }

    /// Waits until the monitor is asked to check the groups.
    pub async fn monitor_woken(&self) {
        self.monitor_wake.notified().await;
    }

    /// Returns the effective deadline of a statement. During a planned stop it lies
    /// before the exit of the process, so that the caller gets an answer instead of a
    /// closed connection.
    pub fn statement_deadline(&self, deadline: Instant) -> Instant {
        let Phase::Stopping(since) = *self.phase.borrow() else {
            return deadline;
        };
        let exit_after_ms = self.settings.grace_ms * EXIT_GRACE_PERCENT / 100;
        deadline.min(since.plus_millis(exit_after_ms.saturating_sub(EXIT_ANSWER_MARGIN_MS)))
    }

    /// Waits until an idle session may be closed by a planned stop; never returns while
    /// no stop is in progress.
    pub async fn wait_until_session_closable(&self, is_in_transaction: bool, idle_time: Duration) {
        let Phase::Stopping(since) = *self.phase.borrow() else {
            return std::future::pending().await;
        };
        let delay = if is_in_transaction {
            Duration::from_millis(self.settings.grace_ms * TRANSACTION_GRACE_PERCENT / 100)
        } else {
            PROBE_FAILURE_DELAY.min(Duration::from_millis(self.settings.grace_ms / 2))
        };
        let earliest = since.plus_millis(delay.as_millis() as u64);
        // A session that is never idle is closed between two statements.
        let latest = since.plus_millis(self.settings.grace_ms * BUSY_GRACE_PERCENT / 100);
        let idle_wait = idle_time.min(clock::until(latest));
        tokio::time::sleep(clock::until(earliest).max(idle_wait)).await;
    }
}

/// Errors that prevent a node from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A listener cannot be bound to its address.
    #[error("{field} {address}: {source}")]
    Listen {
        /// Name of the setting.
        field: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
}

/// Port implementations provided by the adapter.
pub struct Ports<S> {
    /// Protocol spoken with callers.
    pub caller_codec: Arc<dyn CallerCodec>,
    /// Protocol spoken with back ends.
    pub backend_codec: Arc<dyn BackEndCodec>,
    /// Decoder for the documents in the store.
    pub catalog_codec: Arc<dyn CatalogCodec>,
    /// Client of the promotion service.
    pub promoter: Arc<dyn Promoter>,
    /// Client of the store.
    pub store: Arc<S>,
}

impl<S> Ports<S> {
    /// Wraps the store so that its calls are counted in `metrics`.
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
    /// State shared by the node's sessions.
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
    /// Starts a node and returns once its listeners are bound. Fails if the settings are
    /// invalid or a listener cannot be bound.
    pub async fn start<S: Store + 'static>(
        settings: EngineSettings,
        ports: Ports<S>,
    ) -> Result<Node, NodeError> {
        settings.check()?;
        let engine_metrics = Metrics::default();
        let ports = ports.counted(&engine_metrics);
        let clients = listen("client_address", settings.client_address).await?;
        let probes = listen("ready_address", settings.ready_address).await?;
        let peers = listen("peer_address", settings.peer_address).await?;
        let metrics = listen("metrics_address", settings.metrics_address).await?;
        let directory = Arc::new(Directory::new(
            &settings.zone,
            gone_grace_ms(&settings),
            settings.promotion_fences,
        ));
        let process = ProcessId::random();
        let ownership = Arc::new(FailoverOwnership::new(
            ports.store.clone(),
            format!("{}duty/", ports.catalog_codec.own_prefix()),
            settings.name.clone(),
            process.clone(),
            directory.clone(),
        ));
        info!(
            "event=node_started name={} process={} zone={} clients={} peers={}",
            settings.name,
            process.as_str(),
            settings.zone,
            settings.client_address,
            settings.peer_address
        );
        let engine = new_engine(
            settings,
            process,
            &ports,
            engine_metrics,
            directory,
            ownership.clone(),
        );
        let exchange = CatalogExchange::new(engine.clone(), ports.catalog_codec.clone());
        start_store_watches(&engine, ports, ownership);
        tokio::spawn(relays::decide_source_at_start(engine.clone()));
        tokio::spawn(exchange.run());
        tokio::spawn(peers::serve(peers, engine.clone()));
        tokio::spawn(readiness::serve_probes(probes, engine.clone()));
        tokio::spawn(readiness::serve_metrics(metrics, engine.clone()));
        tokio::spawn(listener::serve(clients, engine.clone()));
        tokio::spawn(housekeeping(engine.clone()));
        tokio::spawn(peer_reach::probe_while_queried(engine.clone()));
        Ok(Node { engine })
    }

    /// Gives up all lead permits and records the departure in the store, so that no
    /// promotion waits for this node.
    async fn announce_departure(&self) {
        if self.engine.settings.promotion_fences {
            return;
        }
        self.engine.directory.drop_permits();
        self.engine.departure.send_replace(Some(Departure::Stopped));
        let deadline = clock::now().plus_millis(DEPARTURE_TIMEOUT_MS);
        let registry = &self.engine.registry;
        let is_recorded = || {
            let own = registry.own_record().0;
            own.is_some_and(|own| own.registration.is_stop_of(registry.process()))
        };
        while !is_recorded() && clock::now() < deadline {
            tokio::time::sleep(DEPARTURE_POLL_INTERVAL).await;
        }
    }

    /// Performs a planned stop: rejects new callers, lets open work finish and closes
    /// idle sessions. Returns whether all sessions and leases ended in time.
    pub async fn stop(&self) -> bool {
        let since = clock::now();
        info!("event=stop_started sessions={}", self.engine.sessions());
        self.engine.phase.send_replace(Phase::Stopping(since));
        let exit_at = since.plus_millis(self.engine.settings.grace_ms * EXIT_GRACE_PERCENT / 100);
        let earliest_end = since
            .plus_millis(PROBE_FAILURE_DELAY.as_millis() as u64)
            .min(exit_at);
        let mut has_announced = false;
        while clock::now() < exit_at {
            let leases = self.engine.forwarded_leases.load(Ordering::Relaxed);
            let is_idle = self.engine.sessions() == 0 && leases == 0;
            if clock::now() >= earliest_end && is_idle && !has_announced {
                // A session may start while the departure is announced.
                self.announce_departure().await;
                has_announced = true;
                continue;
            }
            if is_idle && has_announced {
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

/// Returns the time after which an instance without a record counts as removed: two
/// heartbeats, limited to a third of the drain bound.
fn gone_grace_ms(settings: &EngineSettings) -> u64 {
    (settings.heartbeat_ms * 2).min(settings.drain_bound_ms / 3)
}

fn new_engine<S: Store + 'static>(
    settings: EngineSettings,
    process: ProcessId,
    ports: &Ports<S>,
    metrics: Metrics,
    directory: Arc<Directory>,
    ownership: Arc<FailoverOwnership<S>>,
) -> Arc<Engine> {
    let nodes_prefix = format!("{}nodes/", ports.catalog_codec.own_prefix());
    let registry = Arc::new(Registry::new(
        nodes_prefix,
        settings.name.clone(),
        process,
        directory.clone(),
    ));
    let zones = settings.topology.zone_count();
    let mut relays = Relays::new(&settings.zone, zones, settings.config_bound_ms);
    if let Some(bound_ms) = settings.evacuation_bound_ms {
        relays = relays.with_evacuation_bound(bound_ms);
    }
    let own_followers: Vec<Arc<dyn Follower>> = vec![registry.clone(), ownership];
    let own_keys_watch_wait = Duration::from_millis(settings.config_bound_ms * OWN_KEYS_WAIT_PERCENT / 100);
    let mut own_keys = SystemKeys::new(own_followers, relays.reading())
        .with_zone_first(registry.clone())
        .with_max_watch_wait_of_first(own_keys_watch_wait);
    if !settings.promotion_fences {
        own_keys = own_keys.with_quick_start();
    }
    Arc::new(Engine {
        directory,
        caller_codec: ports.caller_codec.clone(),
        metrics,
        request_log: RequestLog::default(),
        retry_budget: SharedBudget(Mutex::new(RetryBudget::new(HEDGE_PERCENT, HEDGE_BUDGET_MAX))),
        phase: watch::Sender::new(Phase::Running),
        registry,
        peers: PeerClient::default(),
        catalog_cache: CatalogCache::default(),
        unreadable_documents: UnreadableDocuments::default(),
        own_keys: Arc::new(own_keys),
        relays,
        store_contact: Arc::new(StoreContact::default()),
        leader_queries: Arc::default(),
        departure: watch::Sender::new(None),
        unreachable_peers: UnreachablePeers::default(),
        stepping_down: Arc::default(),
        receiver_checks: Arc::default(),
        owners: OwnerRouter::new(settings.topology.clone()),
        leader_demands: LeaderDemandTracker::default(),
        quotas: Quotas::default(),
        warm_up_credits: WarmUpCredits::default(),
        peer_reach: PeerReach::default(),
        forwarded_leases: AtomicUsize::new(0),
        pools: Pools::new(ports.backend_codec.clone()),
        monitor_wake: Notify::new(),
        leader_uncertain: Notify::new(),
        sessions: AtomicUsize::new(0),
        settings,
    })
}

fn start_store_watches<S: Store + 'static>(
    engine: &Arc<Engine>,
    ports: Ports<S>,
    ownership: Arc<FailoverOwnership<S>>,
) {
    let catalog = &ports.catalog_codec;
    let config = ConfigFollower::new(engine.clone(), catalog.clone());
    let instances = InstanceFollower::new(engine.clone(), catalog.clone());
    let contact = engine.store_contact.clone();
    let (nodes_delay, catalog_delay) = match engine.settings.is_first_start {
        true => (FIRST_START_DELAY, FIRST_START_DELAY + FIRST_START_LISTING_TIME),
        false => (Duration::ZERO, Duration::ZERO),
    };
    let follow = |prefix: &str, follower: Arc<dyn store_watch::Follower>, delay: Duration| {
        let following =
            store_watch::follow(ports.store.clone(), prefix.to_owned(), follower, contact.clone());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            following.await;
        });
    };
    follow(catalog.operators_prefix(), Arc::new(config), catalog_delay);
    follow(catalog.instances_prefix(), Arc::new(instances), catalog_delay);
    follow(catalog.own_prefix(), engine.own_keys.clone(), nodes_delay);
    let record = NodeRecord {
        peer_address: engine.settings.peer_address,
        zone: engine.settings.zone.clone(),
        link_mbps: engine.settings.link_mbps,
        registration: Registration::of(engine.registry.process().cloned()),
    };
    let registrar = engine.clone();
    let store = ports.store.clone();
    let departure = engine.departure.subscribe();
    tokio::spawn(async move { keep_registered(&registrar, &*store, record, departure).await });
    if !engine.settings.promotion_fences {
        let marker = engine.clone();
        let store = ports.store.clone();
        tokio::spawn(
            async move { mark_unreachable(&marker.registry, &*store, &marker.unreachable_peers).await },
        );
    }
    let monitor = FailoverMonitor::new(
        engine.clone(),
        ownership,
        ports.promoter.clone(),
        ports.catalog_codec.clone(),
    );
    tokio::spawn(monitor.clone().run_relocation());
    tokio::spawn(monitor.run());
}

/// Closes the pools of removed instances, and adjusts connection shares when the
/// set of nodes changes.
async fn housekeeping(engine: Arc<Engine>) {
    let mut seen_version = 0;
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        engine.update_cold_instances();
        engine.pools.trim(|record| engine.spare_connections(record));
        engine.drain_evacuated_zones();
        for instance in engine.directory.drop_removed(engine.settings.drain_bound_ms) {
            engine.pools.retire(&instance);
        }
        failover::check_removed_receivers(&engine);
        let version = engine.registry.version();
        if version != seen_version {
            seen_version = version;
            engine.pools.set_shares(|record| engine.connection_share(record));
        }
    }
}
