//! Experiments: a load on a whole deployment, a failure, and the check of all
//! properties from outside.

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
use crate::workload::{self, LiveCounts, Target, WorkloadSettings};

pub use summary::{ClassLatency, GapSummary, Summary};

/// The experiments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ExperimentName {
    /// No failure.
    Steady,
    /// A primary is killed.
    Failover,
    /// A primary is cut off and still believes it leads.
    OldPrimary,
    /// Replicas fall seconds behind.
    ReplicaLag,
    /// Many callers arrive at once.
    ConnectionRush,
    /// Sessions roam all the time.
    Roaming,
    /// A node is killed under load.
    NodeLoss,
    /// A node is frozen and wakes up unaware.
    OwnerPause,
    /// The platform's store is out.
    PlatformOutage,
    /// Answers of the store are lost after taking effect.
    LostAnswer,
    /// Two operators change the same tenant.
    ConfigRace,
    /// A change spreads to every node.
    ConfigSpread,
    /// A zone is cut off from the rest.
    ZoneCut,
    /// Nodes are stopped as planned, one after another.
    PlannedStop,
    /// An instance is marked as leaving.
    LeavingBackEnd,
    /// Several failures at once, at random.
    Chaos,
}

/// Settings to compare with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Baseline {
    /// Every read goes to the primary.
    PrimaryOnly,
    /// Writes are refused at once while there is no primary.
    NoHold,
    /// Writes are confirmed by the term alone.
    TermOnly,
}

/// How to run an experiment.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// Program with the stand-ins and the node.
    pub program: PathBuf,
    /// Which user's deployment.
    pub deployment: DeploymentName,
    /// Seed of all choices.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Callers per tenant.
    pub sessions: usize,
    /// Nodes per zone.
    pub nodes_per_zone: usize,
    /// Replay lag of replicas, in milliseconds.
    pub lag_ms: u64,
    /// Requests between two writes of a session.
    pub write_every: u32,
    /// Longest pause of a caller between requests, in milliseconds.
    pub think_ms: u64,
    /// Time a statement holds its slot, in microseconds.
    pub service_us: u64,
    /// Settings to compare with.
    pub baseline: Option<Baseline>,
    /// Prints what happens as it happens.
    pub verbose: bool,
}

impl ExperimentOptions {
    /// Usual options with this program.
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

/// Load before the failure and after its end.
pub(crate) const WARM_UP: Duration = Duration::from_secs(2);
/// Time for the deployment to settle before the checks.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);

/// What a fault left behind for the summary.
#[derive(Debug, Default)]
pub(crate) struct FaultReport {
    /// Properties that did not hold.
    pub(crate) violations: Vec<Violation>,
    /// Failovers: group, and when its new primary began to accept writes.
    pub(crate) failovers: Vec<(String, u64)>,
    /// Facts worth a line in the summary.
    pub(crate) notes: Vec<String>,
}

impl FaultReport {
    /// Records that a property did not hold.
    pub(crate) fn violated(&mut self, invariant: Invariant, detail: String) {
        self.violations.push(Violation::new(invariant, detail));
    }
}

/// Runs one experiment; returns its summary and history.
pub async fn run(
    name: ExperimentName,
    options: &ExperimentOptions,
) -> Result<(Summary, History), ClusterError> {
    let deployment = Deployment::of(options.deployment);
    let mut cluster = Cluster::start(deployment, options.cluster_options()).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let live = Arc::new(LiveCounts::default());
    let load = workload::run(
        options.workload(name),
        targets(&cluster),
        stop.clone(),
        live.clone(),
    );
    let load = tokio::spawn(load);
    let ticker = options.verbose.then(|| tokio::spawn(show(live)));
    let watcher = watcher::start(&cluster);
    let started = tokio::time::Instant::now();
    tokio::time::sleep(WARM_UP).await;
    let mut report = faults::inject(name, &mut cluster, options).await?;
    let end = started + Duration::from_secs(options.seconds);
    tokio::time::sleep_until(end).await;
    stop.store(true, Ordering::Relaxed);
    let mut history = load.await.unwrap_or_default();
    if let Some(ticker) = ticker {
        ticker.abort();
    }
    report.violations.append(&mut history.violations);
    report.violations.extend(watcher.finish().await);
    report.violations.extend(check_logs(&cluster, &history).await?);
    let share = summary::replica_share(&cluster).await;
    let seconds = started.elapsed().as_secs_f64();
    let summary = Summary::new(
        name,
        options,
        &cluster.deployment,
        &history,
        &report,
        share,
        seconds,
    );
    Ok((summary, history))
}

/// Prints the load's counts every second.
async fn show(live: Arc<LiveCounts>) {
    let started = tokio::time::Instant::now();
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        println!(
            "t={:>3}s acknowledged={} reads={} refused={} unknown={}",
            started.elapsed().as_secs(),
            live.acknowledged.load(Ordering::Relaxed),
            live.reads.load(Ordering::Relaxed),
            live.refused.load(Ordering::Relaxed),
            live.unknown.load(Ordering::Relaxed)
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

/// Checks every group's log once its members agree.
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

/// The leader whose log a majority holds, so that it can no longer change.
async fn settled_leader(cluster: &Cluster, group: &str) -> Result<usize, ClusterError> {
    let give_up = tokio::time::Instant::now() + SETTLE_LIMIT;
    while tokio::time::Instant::now() < give_up {
        if let Some((leader, report)) = cluster.leader(group).await {
            let mut holding = 0;
            for instance in cluster
                .instances
                .iter()
                .filter(|instance| instance.group == group)
            {
                let other =
                    http::get::<crate::instance::InstanceReport>(instance.settings.control, "/report").await;
                holding += usize::from(
                    other.is_ok_and(|other| other.end == report.end && other.term == report.term),
                );
            }
            if holding >= 2 {
                return Ok(leader);
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(ClusterError::Timeout(format!("a settled log of {group}")))
}
