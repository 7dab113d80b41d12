//! Marks the records of nodes that do not answer, where promotions do not fence the old leader:
//! a promotion waits for their lead permits no longer than these last.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::info;
use millwind_core::Instant;
use millwind_store::Store;

use crate::clock;
use crate::registered_nodes::RegisteredNode;
use crate::registration::write_record;
use crate::registry::{Departure, Registry};

/// Interval between two checks for unreachable nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// A node is marked unreachable when all comparisons failed for this time, in
/// milliseconds. It is longer than a restart and shorter than the validity of a lead
/// permit.
const UNREACHABLE_AFTER_MS: u64 = 5_000;
/// Minimum number of failed comparisons before a node is marked.
const MIN_FAILURES: u32 = 2;

/// Failed comparisons with a node since its last answer.
#[derive(Debug, Clone, Copy)]
struct Failures {
    since: Instant,
    count: u32,
}

/// Peers that did not answer catalog comparisons.
#[derive(Debug, Default)]
pub struct UnreachablePeers(Mutex<HashMap<SocketAddr, Failures>>);

impl UnreachablePeers {
    fn failures(&self) -> MutexGuard<'_, HashMap<SocketAddr, Failures>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Clears the failures of the node at `address` because it answered.
    pub fn answered(&self, address: SocketAddr) {
        self.failures().remove(&address);
    }

    /// Records that the node at `address` did not answer a request sent at `sent`.
    pub fn failed(&self, address: SocketAddr, sent: Instant) {
        let mut failures = self.failures();
        let entry = failures.entry(address).or_insert(Failures {
            since: sent,
            count: 0,
        });
        entry.count += 1;
    }

    /// Removes and returns the nodes that count as unreachable. `record_seen_at` returns when the
    /// record of the process at an address was first seen; failures before that were of an
    /// earlier process.
    fn take_unreachable(&self, record_seen_at: impl Fn(SocketAddr) -> Option<Instant>) -> Vec<SocketAddr> {
        let now = clock::now();
        let is_unreachable = |address: SocketAddr, failures: &Failures| {
            let since = record_seen_at(address).map_or(failures.since, |seen| seen.max(failures.since));
            failures.count >= MIN_FAILURES && now.millis_since(since) >= UNREACHABLE_AFTER_MS
        };
        let mut failures = self.failures();
        let expired: Vec<_> = failures
            .iter()
            .filter(|(address, failures)| is_unreachable(**address, failures))
            .map(|(address, _)| *address)
            .collect();
        failures.retain(|address, _| !expired.contains(address));
        expired
    }
}

/// Marks unreachable nodes for the lifetime of the process.
pub async fn mark_unreachable<S: Store>(registry: &Registry, store: &S, unreachable: &UnreachablePeers) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let record_seen_at = |address| registry.present_at(address).map(|(_, node)| node.record_seen_at);
        for address in unreachable.take_unreachable(record_seen_at) {
            let Some((name, node)) = registry.present_at(address) else {
                continue;
            };
            let RegisteredNode {
                mut record, revision, ..
            } = node;
            info!("event=node_unreachable name={name} address={address}");
            record.registration.departure = Some(Departure::Unreachable);
            write_record(registry, store, &name, record, revision).await;
        }
    }
}
