//! Watches the revision in force on every node during an experiment: it must
//! never fall, except that a process that starts anew begins without one.

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

const INTERVAL: Duration = Duration::from_millis(200);

/// A running watcher.
#[derive(Debug)]
pub(crate) struct Watcher {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Violation>>>,
}

/// Starts watching all nodes.
pub(crate) fn start(cluster: &Cluster) -> Watcher {
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = cluster
        .nodes
        .iter()
        .map(|node| {
            let name = node.settings.name.clone();
            tokio::spawn(watch(name, node.settings.admin_address, stop.clone()))
        })
        .collect();
    Watcher { stop, tasks }
}

impl Watcher {
    /// Stops; returns what was seen.
    pub(crate) async fn finish(self) -> Vec<Violation> {
        self.stop.store(true, Ordering::Relaxed);
        let mut violations = Vec::new();
        for task in self.tasks {
            violations.extend(task.await.unwrap_or_default());
        }
        violations
    }
}

async fn watch(name: String, address: SocketAddr, stop: Arc<AtomicBool>) -> Vec<Violation> {
    let mut highest = 0;
    let mut violations = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        if let Ok(Ok(status)) =
            tokio::time::timeout(INTERVAL * 5, http::get::<StatusReport>(address, "/status")).await
        {
            // A node without a configuration serves nobody.
            if status.revision > 0 && status.revision < highest && status.state == "serving" {
                let detail = format!("{name} fell from revision {highest} to {}", status.revision);
                violations.push(Violation::new(Invariant::ConfigurationInForce, detail));
            }
            highest = highest.max(status.revision);
        }
        tokio::time::sleep(INTERVAL).await;
    }
    violations
}
