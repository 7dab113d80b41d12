//! Polls the configuration revision of every node during an experiment and
//! reports a violation if a serving node returns to an older revision.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use millwind_core::invariant::Invariant;
use millwind_node::admin::StatusReport;
use tokio::task::JoinHandle;

use crate::cluster::Cluster;
use crate::history::Violation;
use crate::http;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Background tasks that poll the revision of each node.
#[derive(Debug)]
pub(crate) struct RevisionWatcher {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Violation>>>,
}

/// Starts polling all nodes.
pub(crate) fn start(cluster: &Cluster) -> RevisionWatcher {
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = cluster
        .nodes
        .iter()
        .map(|node| {
            let name = node.settings.name.clone();
            tokio::spawn(watch_node(name, node.settings.admin_address, stop.clone()))
        })
        .collect();
    RevisionWatcher { stop, tasks }
}

impl RevisionWatcher {
    /// Stops polling and returns the violations found.
    pub(crate) async fn finish(self) -> Vec<Violation> {
        self.stop.store(true, Ordering::Relaxed);
        let mut violations = Vec::new();
        for task in self.tasks {
            violations.extend(task.await.unwrap_or_default());
        }
        violations
    }
}

async fn watch_node(name: String, address: SocketAddr, stop: Arc<AtomicBool>) -> Vec<Violation> {
    let mut highest = 0;
    let mut violations = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        if let Ok(Ok(status)) =
            tokio::time::timeout(POLL_INTERVAL * 5, http::get::<StatusReport>(address, "/status")).await
        {
            // A restarted node reports revision 0 until it has a configuration.
            if status.revision > 0 && status.revision < highest && status.state == "serving" {
                let detail = format!("{name} went back from revision {highest} to {}", status.revision);
                violations.push(Violation::new(Invariant::ConfigurationInForce, detail));
            }
            highest = highest.max(status.revision);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    violations
}
