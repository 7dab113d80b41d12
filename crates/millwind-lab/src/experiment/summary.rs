//! What an experiment measured, as one JSON object.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{ExperimentName, ExperimentOptions, FaultReport};
use crate::cluster::Cluster;
use crate::deployment::{Deployment, DeploymentName};
use crate::history::{History, Told};
use crate::http;

/// Windows of the shipped templates, in milliseconds.
const WRITE_WINDOW_MS: u64 = 10_000;
const READ_WINDOW_MS: u64 = 2_000;
/// Longest latency a histogram holds, in microseconds.
const LONGEST_MICROS: u64 = 120_000_000;
const EXAMPLES: usize = 5;

/// Median and maximum of failover gaps, in milliseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct GapSummary {
    /// Median; none when there was no failover.
    pub median: Option<u64>,
    /// Maximum; none when there was no failover.
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

/// Latency percentiles of one class, in microseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassLatency {
    /// Requests answered.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
}

impl ClassLatency {
    /// Percentiles of these latencies.
    pub fn of(micros: impl Iterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_MICROS, 3) else {
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

/// What an experiment measured.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// The experiment.
    pub experiment: String,
    /// The deployment.
    pub deployment: String,
    /// The baseline compared with, if any.
    pub baseline: Option<String>,
    /// Seed of all choices.
    pub seed: u64,
    /// Length, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub offered: usize,
    /// Requests completed in their window.
    pub completed_in_window: usize,
    /// Completed requests by value: setpoints double, late reads missed.
    pub score: usize,
    /// Requests refused as not run.
    pub refused_not_run: usize,
    /// Writes undone.
    pub rolled_back: usize,
    /// Writes of unknown outcome.
    pub unknown: usize,
    /// Share of answered reads that replicas served; none when unknown.
    pub replica_read_share: Option<f64>,
    /// Longest time without an acknowledged write around each failover.
    pub failover_gap_ms: GapSummary,
    /// From the new primary accepting writes to the first acknowledged write.
    pub added_failover_gap_ms: GapSummary,
    /// Latencies by class.
    pub latencies_us: BTreeMap<&'static str, ClassLatency>,
    /// Refusals and failures by kind.
    pub failures_by_kind: BTreeMap<String, usize>,
    /// Violations by property.
    pub violations: BTreeMap<&'static str, usize>,
    /// First violations in words.
    pub examples: Vec<String>,
    /// What the fault itself measured.
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
        let (gaps, added) = failover_gaps(history, report);
        let completed_writes = history
            .writes
            .iter()
            .filter(|write| write.told == Told::Acknowledged && write.micros <= WRITE_WINDOW_MS * 1_000)
            .count();
        let completed_reads = history
            .reads
            .iter()
            .filter(|read| read.answered && read.micros <= READ_WINDOW_MS * 1_000)
            .count();
        let write_value = if deployment.name == DeploymentName::Glasfail {
            2
        } else {
            1
        };
        let told = |wanted| history.writes.iter().filter(|write| write.told == wanted).count();
        Summary {
            experiment: value_name(&name),
            deployment: deployment.name.as_str().to_owned(),
            baseline: options.baseline.as_ref().map(value_name),
            seed: options.seed,
            seconds,
            offered: history.writes.len() + history.reads.len(),
            completed_in_window: completed_writes + completed_reads,
            score: completed_writes * write_value + completed_reads,
            refused_not_run: told(Told::NotRun) + history.reads.iter().filter(|read| !read.answered).count(),
            rolled_back: told(Told::RolledBack),
            unknown: told(Told::Unknown),
            replica_read_share,
            failover_gap_ms: GapSummary::of(gaps),
            added_failover_gap_ms: GapSummary::of(added),
            latencies_us: latencies(history),
            failures_by_kind: failures(history),
            violations: History::by_property(&report.violations),
            examples: report
                .violations
                .iter()
                .take(EXAMPLES)
                .map(|violation| format!("{}: {}", violation.invariant, violation.detail))
                .collect(),
            notes: report.notes.clone(),
        }
    }

    /// Whether any property broke.
    pub fn is_clean(&self) -> bool {
        self.violations.values().all(|count| *count == 0)
    }
}

fn value_name(value: &impl clap::ValueEnum) -> String {
    value
        .to_possible_value()
        .map(|possible| possible.get_name().to_owned())
        .unwrap_or_default()
}

/// Gaps around each failover of a group: in all, and after the new primary
/// accepted writes.
fn failover_gaps(history: &History, report: &FaultReport) -> (Vec<u64>, Vec<u64>) {
    let mut gaps = Vec::new();
    let mut added = Vec::new();
    for (group, opened_at_ms) in &report.failovers {
        let mut acknowledged: Vec<u64> = history
            .writes
            .iter()
            .filter(|write| write.group == *group && write.told == Told::Acknowledged)
            .map(|write| write.answered_at_ms)
            .collect();
        acknowledged.sort_unstable();
        let after = acknowledged.iter().find(|at| **at >= *opened_at_ms);
        let before = acknowledged.iter().rev().find(|at| **at < *opened_at_ms);
        if let (Some(before), Some(after)) = (before, after) {
            gaps.push(after - before);
            added.push(after - opened_at_ms);
        }
    }
    (gaps, added)
}

fn latencies(history: &History) -> BTreeMap<&'static str, ClassLatency> {
    let writes = history
        .writes
        .iter()
        .filter(|write| write.told == Told::Acknowledged);
    let reads = history.reads.iter().filter(|read| read.answered);
    BTreeMap::from([
        ("write", ClassLatency::of(writes.map(|write| write.micros))),
        ("read", ClassLatency::of(reads.map(|read| read.micros))),
    ])
}

fn failures(history: &History) -> BTreeMap<String, usize> {
    let writes = history.writes.iter().map(|write| &write.kind);
    let reads = history.reads.iter().map(|read| &read.kind);
    let mut counts = BTreeMap::new();
    for kind in writes.chain(reads).filter(|kind| !kind.is_empty()) {
        *counts.entry(kind.clone()).or_default() += 1;
    }
    counts
}

/// Share of answered reads served by replicas, by the nodes' own metrics.
pub(super) async fn replica_share(cluster: &Cluster) -> Option<f64> {
    let mut replica = 0.0;
    let mut all = 0.0;
    for node in &cluster.nodes {
        let Ok(text) = http::get_text(node.settings.admin_address, "/metrics").await else {
            continue;
        };
        for line in text
            .lines()
            .filter(|line| line.starts_with("millwind_requests_total{"))
        {
            let counted = line.contains("kind=\"read\"") && line.contains("result=\"answered\"");
            let value: f64 = line
                .rsplit(' ')
                .next()
                .and_then(|text| text.parse().ok())
                .unwrap_or(0.0);
            if counted {
                all += value;
                if line.contains("role=\"replica\"") {
                    replica += value;
                }
            }
        }
    }
    (all > 0.0).then(|| replica / all)
}
