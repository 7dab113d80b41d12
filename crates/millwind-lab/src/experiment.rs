//! Fault experiments: a client load on a complete deployment, an injected
//! fault, and checks of all invariants.

mod faults;
mod summary;
mod watcher;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::ValueEnum;
use millwind_core::confirmation::ConfirmationRule;
use millwind_core::invariant::Invariant;

use crate::cluster::{Cluster, ClusterError, ClusterOptions};
use crate::deployment::{Deployment, DeploymentName};
use crate::history::{History, Violation};
use crate::http;
use crate::instance::LoggedTransaction;
use crate::workload::{self, LiveCounters, Target, WorkloadSettings};

pub use summary::{ClassLatency, GapSummary, Summary};

/// Experiment to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ExperimentName {
    /// No fault is injected.
    Steady,
    /// The primary of every group is killed, one group after another.
    Failover,
    /// A primary is partitioned from its group and still considers itself primary.
    OldPrimary,
    /// Replay on replicas lags by seconds.
    ReplicaLag,
    /// Many clients connect at once.
    ConnectionRush,
    /// Sessions switch nodes frequently.
    Roaming,
    /// A node is killed under load and restarted.
    NodeLoss,
    /// Nodes are suspended and resumed, one after another.
    OwnerPause,
    /// The configuration store of the platform is unavailable.
    PlatformOutage,
    /// A write to the configuration store takes effect, but its answer is lost.
    LostAnswer,
    /// Two concurrent changes update the same tenant.
    ConfigRace,
    /// Configuration changes propagate to every node.
    ConfigSpread,
    /// A zone is partitioned from the other zones.
    ZoneCut,
    /// Nodes are stopped gracefully and restarted, one after another.
    PlannedStop,
    /// An instance is marked as leaving.
    LeavingBackEnd,
    /// Faults chosen at random are injected one after another.
    Chaos,
}

/// Proxy settings that serve as a baseline for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Baseline {
    /// All reads go to the primary.
    PrimaryOnly,
    /// Writes fail immediately while a group has no primary.
    NoHold,
    /// Writes are confirmed by the term only.
    TermOnly,
}

/// Options of an experiment.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// Executable that runs the nodes, simulated instances and simulated platform.
    pub program: PathBuf,
    /// Deployment to start.
    pub deployment: DeploymentName,
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Number of client sessions per tenant.
    pub sessions: usize,
    /// Number of nodes per zone.
    pub nodes_per_zone: usize,
    /// Replay lag of replicas, in milliseconds.
    pub lag_ms: u64,
    /// Every `write_every`-th request of a session is a write.
    pub write_every: u32,
    /// Maximum think time between requests of a session, in milliseconds.
    pub think_ms: u64,
    /// Execution time of a statement on an instance, in microseconds.
    pub service_us: u64,
    /// Baseline to run instead of the usual settings.
    pub baseline: Option<Baseline>,
    /// Prints the request counters every second.
    pub verbose: bool,
}

impl ExperimentOptions {
    /// Returns the default options.
    pub fn new(program: PathBuf, deployment: DeploymentName) -> Self {
        ExperimentOptions {
            program,
            deployment,
            seed: 1,
            seconds: 12,
            sessions: 8,
            nodes_per_zone: 1,
            lag_ms: 50,
            write_every: 5,
            think_ms: 10,
            service_us: 1_000,
            baseline: None,
            verbose: false,
        }
    }

    fn cluster_options(&self) -> ClusterOptions {
        let mut options = ClusterOptions::new(self.program.clone());
        options.nodes_per_zone = self.nodes_per_zone;
        options.lag_ms = self.lag_ms;
        options.service_us = self.service_us;
        match self.baseline {
            Some(Baseline::PrimaryOnly) => options.primary_only = true,
            Some(Baseline::NoHold) => options.hold_ms = Some(0),
            Some(Baseline::TermOnly) => options.confirmation = ConfirmationRule::Term,
            None => {}
        }
        options
    }

    fn workload(&self, name: ExperimentName) -> WorkloadSettings {
        let mut workload = WorkloadSettings {
            seed: self.seed,
            sessions: self.sessions,
            write_every: self.write_every,
            think_ms: self.think_ms,
            ..WorkloadSettings::default()
        };
        if name == ExperimentName::Roaming {
            workload.roam_every = 3;
        }
        workload
    }
}

/// Duration of the load before the fault and after its end.
pub(crate) const WARM_UP: Duration = Duration::from_secs(2);
/// Timeout for the replicas of a group to converge before its log is checked.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Observations made while a fault was injected.
#[derive(Debug, Default)]
pub(crate) struct FaultReport {
    /// Violated invariants.
    pub(crate) violations: Vec<Violation>,
    /// Group, and Unix time in milliseconds at which its new primary began to accept writes.
    pub(crate) failovers: Vec<(String, u64)>,
    /// Notes for the summary.
    pub(crate) notes: Vec<String>,
}

impl FaultReport {
    /// Records a violation of `invariant`.
    pub(crate) fn record_violation(&mut self, invariant: Invariant, detail: String) {
        self.violations.push(Violation::new(invariant, detail));
    }
}

/// Runs one experiment and returns its summary and history.
///
/// Fails if the deployment does not start, the fault cannot be injected, or the
/// logs do not converge in time.
pub async fn run(
    name: ExperimentName,
    options: &ExperimentOptions,
) -> Result<(Summary, History), ClusterError> {
    let deployment = Deployment::with_name(options.deployment);
    let mut cluster = Cluster::start(deployment, options.cluster_options()).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let counters = Arc::new(LiveCounters::default());
    let load = workload::run(
        options.workload(name),
        targets(&cluster),
        stop.clone(),
        counters.clone(),
    );
    let load = tokio::spawn(load);
    let printer = options.verbose.then(|| tokio::spawn(print_counters(counters)));
    let watcher = watcher::start(&cluster);
    let started = tokio::time::Instant::now();
    tokio::time::sleep(WARM_UP).await;
    let mut report = faults::inject(name, &mut cluster, options).await?;
    let end = started + Duration::from_secs(options.seconds);
    tokio::time::sleep_until(end).await;
    stop.store(true, Ordering::Relaxed);
    let mut history = load.await.unwrap_or_default();
    if let Some(printer) = printer {
        printer.abort();
    }
    report.violations.append(&mut history.violations);
    report.violations.extend(watcher.finish().await);
    report.violations.extend(check_logs(&cluster, &history).await?);
    let replica_read_share = summary::measure_replica_read_share(&cluster).await;
    let seconds = started.elapsed().as_secs_f64();
    let summary = Summary::new(
        name,
        options,
        &cluster.deployment,
        &history,
        &report,
        replica_read_share,
        seconds,
    );
    Ok((summary, history))
}

/// Prints the request counters every second.
async fn print_counters(counters: Arc<LiveCounters>) {
    let started = tokio::time::Instant::now();
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        println!(
            "t={:>3}s acknowledged={} reads={} refused={} unknown={}",
            started.elapsed().as_secs(),
            counters.acknowledged.load(Ordering::Relaxed),
            counters.reads.load(Ordering::Relaxed),
            counters.refused.load(Ordering::Relaxed),
            counters.unknown.load(Ordering::Relaxed)
        );
    }
}

fn targets(cluster: &Cluster) -> Vec<Target> {
    (0..cluster.groups())
        .map(|index| Target {
            nodes: cluster.nodes.iter().map(|node| node.client_address).collect(),
            tenant: cluster.deployment.tenant(index),
            group: cluster.deployment.group(index),
        })
        .collect()
}

/// Checks the history against the log of every group, once the log has converged.
async fn check_logs(cluster: &Cluster, history: &History) -> Result<Vec<Violation>, ClusterError> {
    let mut violations = Vec::new();
    for index in 0..cluster.groups() {
        let group = cluster.deployment.group(index);
        let leader = settled_leader(cluster, &group).await?;
        let control = cluster.instances[leader].settings.control;
        let log: Vec<LoggedTransaction> = http::get(control, "/log").await?;
        violations.extend(history.check_group(&group, &log));
    }
    Ok(violations)
}

/// Waits until two members of a group report the same log end and term, and
/// returns the index of the leader. Fails after [`SETTLE_TIMEOUT`].
async fn settled_leader(cluster: &Cluster, group: &str) -> Result<usize, ClusterError> {
    let deadline = tokio::time::Instant::now() + SETTLE_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if let Some((leader, report)) = cluster.leader(group).await {
            let mut matching = 0;
            for instance in cluster
                .instances
                .iter()
                .filter(|instance| instance.group == group)
            {
                let other =
                    http::get::<crate::instance::InstanceReport>(instance.settings.control, "/report").await;
                matching += usize::from(
                    other.is_ok_and(|other| other.end == report.end && other.term == report.term),
                );
            }
            if matching >= 2 {
                return Ok(leader);
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(ClusterError::Timeout(format!("the log of {group} to converge")))
}
