//! Summary of an experiment, serialized as one JSON object.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{ExperimentName, ExperimentOptions, FaultReport};
use crate::cluster::Cluster;
use crate::deployment::{Deployment, DeploymentName};
use crate::history::{History, WriteOutcome};
use crate::http;

/// Request time limits of the shipped templates, in milliseconds.
const WRITE_WINDOW_MS: u64 = 10_000;
const READ_WINDOW_MS: u64 = 2_000;
/// Maximum latency that a histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
const MAX_EXAMPLES: usize = 5;

/// Median and maximum of the failover gaps, in milliseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct GapSummary {
    /// Median; `None` without a failover.
    pub median: Option<u64>,
    /// Maximum; `None` without a failover.
    pub max: Option<u64>,
}

impl GapSummary {
    fn of(mut gaps: Vec<u64>) -> Self {
        gaps.sort_unstable();
        GapSummary {
            median: gaps.get(gaps.len() / 2).copied(),
            max: gaps.last().copied(),
        }
    }
}

/// Latency percentiles of one class of requests, in microseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassLatency {
    /// Number of answered requests.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
}

impl ClassLatency {
    /// Computes the percentiles of latencies given in microseconds.
    pub fn of(micros: impl Iterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3) else {
            return ClassLatency::default();
        };
        for value in micros {
            histogram.saturating_record(value.max(1));
        }
        ClassLatency {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.50),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
        }
    }
}

/// Results of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Name of the experiment.
    pub experiment: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the baseline, if one was run.
    pub baseline: Option<String>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Number of requests sent.
    pub offered: usize,
    /// Number of requests completed within their time limit.
    pub completed_in_window: usize,
    /// Number of requests completed within their time limit; in the `glasfail`
    /// deployment a write counts twice.
    pub score: usize,
    /// Number of failed reads and of writes that were refused without running.
    pub refused_not_run: usize,
    /// Number of writes rolled back.
    pub rolled_back: usize,
    /// Number of writes with an unknown outcome.
    pub unknown: usize,
    /// Share of answered reads that replicas served; `None` if the nodes report no
    /// answered reads.
    pub replica_read_share: Option<f64>,
    /// Time without an acknowledged write around each failover.
    pub failover_gap_ms: GapSummary,
    /// Time from the new primary accepting writes to the first acknowledged write.
    pub added_failover_gap_ms: GapSummary,
    /// Latencies of writes and reads.
    pub latencies_us: BTreeMap<&'static str, ClassLatency>,
    /// Number of failed requests by error kind.
    pub failures_by_kind: BTreeMap<String, usize>,
    /// Number of violations by invariant.
    pub violations: BTreeMap<&'static str, usize>,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
    /// Notes taken while the fault was injected.
    pub notes: Vec<String>,
}

impl Summary {
    pub(super) fn new(
        name: ExperimentName,
        options: &ExperimentOptions,
        deployment: &Deployment,
        history: &History,
        report: &FaultReport,
        replica_read_share: Option<f64>,
        seconds: f64,
    ) -> Self {
        let (gaps, added_gaps) = failover_gaps(history, report);
        let completed_writes = history
            .writes
            .iter()
            .filter(|write| {
                write.outcome == WriteOutcome::Acknowledged && write.latency_us <= WRITE_WINDOW_MS * 1_000
            })
            .count();
        let completed_reads = history
            .reads
            .iter()
            .filter(|read| read.answered && read.latency_us <= READ_WINDOW_MS * 1_000)
            .count();
        let write_value = if deployment.name == DeploymentName::Glasfail {
            2
        } else {
            1
        };
        let count_outcome = |wanted| {
            history
                .writes
                .iter()
                .filter(|write| write.outcome == wanted)
                .count()
        };
        Summary {
            experiment: possible_value_name(&name),
            deployment: deployment.name.as_str().to_owned(),
            baseline: options.baseline.as_ref().map(possible_value_name),
            seed: options.seed,
            seconds,
            offered: history.writes.len() + history.reads.len(),
            completed_in_window: completed_writes + completed_reads,
            score: completed_writes * write_value + completed_reads,
            refused_not_run: count_outcome(WriteOutcome::NotRun)
                + history.reads.iter().filter(|read| !read.answered).count(),
            rolled_back: count_outcome(WriteOutcome::RolledBack),
            unknown: count_outcome(WriteOutcome::Unknown),
            replica_read_share,
            failover_gap_ms: GapSummary::of(gaps),
            added_failover_gap_ms: GapSummary::of(added_gaps),
            latencies_us: class_latencies(history),
            failures_by_kind: count_error_kinds(history),
            violations: History::violation_counts(&report.violations),
            examples: report
                .violations
                .iter()
                .take(MAX_EXAMPLES)
                .map(|violation| format!("{}: {}", violation.invariant, violation.detail))
                .collect(),
            notes: report.notes.clone(),
        }
    }

    /// Returns whether no invariant was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.values().all(|count| *count == 0)
    }
}

fn possible_value_name(value: &impl clap::ValueEnum) -> String {
    value
        .to_possible_value()
        .map(|possible| possible.get_name().to_owned())
        .unwrap_or_default()
}

/// Returns two gaps for each failover: from the last acknowledged write before
/// the new primary accepted writes to the first one after, and the part of that
/// gap after the new primary accepted writes.
fn failover_gaps(history: &History, report: &FaultReport) -> (Vec<u64>, Vec<u64>) {
    let mut gaps = Vec::new();
    let mut added_gaps = Vec::new();
    for (group, opened_at_ms) in &report.failovers {
        let mut acknowledged: Vec<u64> = history
            .writes
            .iter()
            .filter(|write| write.group == *group && write.outcome == WriteOutcome::Acknowledged)
            .map(|write| write.answered_at_ms)
            .collect();
        acknowledged.sort_unstable();
        let after = acknowledged.iter().find(|at| **at >= *opened_at_ms);
        let before = acknowledged.iter().rev().find(|at| **at < *opened_at_ms);
        if let (Some(before), Some(after)) = (before, after) {
            gaps.push(after - before);
            added_gaps.push(after - opened_at_ms);
        }
    }
    (gaps, added_gaps)
}

fn class_latencies(history: &History) -> BTreeMap<&'static str, ClassLatency> {
    let writes = history
        .writes
        .iter()
        .filter(|write| write.outcome == WriteOutcome::Acknowledged);
    let reads = history.reads.iter().filter(|read| read.answered);
    BTreeMap::from([
        ("write", ClassLatency::of(writes.map(|write| write.latency_us))),
        ("read", ClassLatency::of(reads.map(|read| read.latency_us))),
    ])
}

fn count_error_kinds(history: &History) -> BTreeMap<String, usize> {
    let writes = history.writes.iter().map(|write| &write.error_kind);
    let reads = history.reads.iter().map(|read| &read.error_kind);
    let mut counts = BTreeMap::new();
    for kind in writes.chain(reads).filter(|kind| !kind.is_empty()) {
        *counts.entry(kind.clone()).or_default() += 1;
    }
    counts
}

/// Returns the share of answered reads that replicas served, from the metrics of
/// the nodes, or `None` if they report no answered reads.
pub(super) async fn measure_replica_read_share(cluster: &Cluster) -> Option<f64> {
    let mut answered_by_replicas = 0.0;
    let mut answered = 0.0;
    for node in &cluster.nodes {
        let Ok(text) = http::get_text(node.settings.admin_address, "/metrics").await else {
            continue;
        };
        for line in text
            .lines()
            .filter(|line| line.starts_with("millwind_requests_total{"))
        {
            let is_answered_read = line.contains("kind=\"read\"") && line.contains("result=\"answered\"");
            let value: f64 = line
                .rsplit(' ')
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0.0);
            if is_answered_read {
                answered += value;
                if line.contains("role=\"replica\"") {
                    answered_by_replicas += value;
                }
            }
        }
    }
    (answered > 0.0).then(|| answered_by_replicas / answered)
}
