//! Demonstration: runs the failover experiment with progress output and prints a
//! summary table.

use crate::cluster::ClusterError;
use crate::experiment::{self, ExperimentName, ExperimentOptions, Summary};

/// Runs the demonstration; returns the summary, or an error if the experiment
/// could not be run.
pub async fn run(options: &ExperimentOptions) -> Result<Summary, ClusterError> {
    println!(
        "starting the {} deployment: databases, platform, nodes",
        options.deployment.as_str()
    );
    println!("the primary of every group will be killed and restarted during the load");
    let (summary, _) = experiment::run(ExperimentName::Failover, options).await?;
    print_table(&summary);
    Ok(summary)
}

fn print_table(summary: &Summary) {
    let percent = |share: f64| format!("{:.1} %", share * 100.0);
    let gap = |value: Option<u64>| value.map_or("-".to_owned(), |value| format!("{value} ms"));
    let violations: usize = summary.violations.values().sum();
    let rows = [
        ("requests sent", summary.offered.to_string()),
        (
            "completed in their window",
            summary.completed_in_window.to_string(),
        ),
        ("rejected, not run", summary.refused_not_run.to_string()),
        ("rolled back", summary.rolled_back.to_string()),
        ("outcome unknown", summary.unknown.to_string()),
        (
            "reads served by replicas",
            summary.replica_read_share.map_or("-".to_owned(), percent),
        ),
        ("failover gap, median", gap(summary.failover_gap_ms.median)),
        ("failover gap, maximum", gap(summary.failover_gap_ms.max)),
        (
            "added by millwind, median",
            gap(summary.added_failover_gap_ms.median),
        ),
        (
            "added by millwind, maximum",
            gap(summary.added_failover_gap_ms.max),
        ),
        ("property violations", violations.to_string()),
    ];
    println!();
    for (name, value) in rows {
        println!("{name:<34} {value:>10}");
    }
    for (property, count) in &summary.violations {
        println!(
            "  {property:<32} {}",
            if *count == 0 {
                "held".to_owned()
            } else {
                format!("VIOLATED {count} times")
            }
        );
    }
    for example in &summary.examples {
        println!("  {example}");
    }
}
