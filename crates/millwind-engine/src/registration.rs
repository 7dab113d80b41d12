//! Keeps this node's record in the store, and marks those of nodes that have
//! gone.
//!
//! Where promotions don't fence, a promoter must hear from every node that may
//! hold a permit to count on leaders, or wait until permits run out. A node that
//! stops as planned says so; one that is not reached for a while is marked by
//! the nodes that compare catalogs with it. A marked node that lives sees the
//! mark, writes its record anew, and gets permits by news that are later.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use log::{info, warn};
use millwind_core::Instant;
use millwind_store::{Condition, Store, StoreRevision, Swap, Write};
use tokio::sync::watch;

use crate::clock;
use crate::node::Engine;
use crate::registry::{Departure, NodeRecord, Registry};

/// Between two tries to write this node's record.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Between two looks at nodes that are not reached.
const LOOK_PAUSE: Duration = Duration::from_millis(1_000);
/// A node that no comparison has reached for this time is marked, in
/// milliseconds: longer than a restart takes, shorter than a permit lasts.
const UNREACHED_MS: u64 = 5_000;
/// Comparisons that must have failed in that time.
const LEAST_FAILURES: u32 = 2;

/// Failed comparisons with a node since the last one that it answered.
#[derive(Debug, Clone, Copy)]
struct Failures {
    since: Instant,
    count: u32,
}

/// Nodes that comparisons of the catalog did not reach.
#[derive(Debug, Default)]
pub struct Unreached(Mutex<HashMap<SocketAddr, Failures>>);

impl Unreached {
    fn failures(&self) -> MutexGuard<'_, HashMap<SocketAddr, Failures>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The node at `address` answered.
    pub fn answered(&self, address: SocketAddr) {
        self.failures().remove(&address);
    }

    /// The node at `address` gave no answer to a question sent at `sent`.
    pub fn failed(&self, address: SocketAddr, sent: Instant) {
        let mut failures = self.failures();
        let entry = failures.entry(address).or_insert(Failures {
            since: sent,
            count: 0,
        });
        entry.count += 1;
    }

    /// Takes out the nodes that have been silent for long enough.
    fn take_gone(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let is_gone = |failures: &Failures| {
            failures.count >= LEAST_FAILURES && now.millis_since(failures.since) >= UNREACHED_MS
        };
        let mut failures = self.failures();
        let gone: Vec<_> = failures
            .iter()
            .filter(|(_, failures)| is_gone(failures))
            .map(|(address, _)| *address)
            .collect();
        failures.retain(|_, failures| !is_gone(failures));
        gone
    }
}

/// Keeps this node's record in the store for the life of the process; once
/// `departure` says how it goes, with that. Each change of the record by others
/// is undone.
pub async fn keep_registered<S: Store>(
    engine: &Engine,
    store: &S,
    record: NodeRecord,
    mut departure: watch::Receiver<Option<Departure>>,
) {
    let registry = &engine.registry;
    if !engine.settings.is_first_start {
        // A restarted node's record is mostly there already.
        registry.await_listed().await;
    }
    loop {
        let wanted = NodeRecord {
            departure: *departure.borrow_and_update(),
            ..record.clone()
        };
        let (held, revision) = registry.own_record();
        if held.as_ref() == Some(&wanted) {
            tokio::select! {
                () = registry.own_changed() => {}
                Ok(()) = departure.changed() => {}
            }
            continue;
        }
        let is_present = wanted.departure.is_none();
        if !write(registry, store, registry.own_name(), wanted, revision).await {
            // A record that was not known is replaced at once.
            let is_news = registry.own_record().1 != revision;
            if !is_news {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        } else if is_present && !engine.settings.promotion_fences {
            // Only news of after the registration give permits.
            engine.store_contact.note_regained();
        }
    }
}

/// Marks nodes that are not reached, for the life of the process.
pub async fn mark_gone<S: Store>(registry: &Registry, store: &S, unreached: &Unreached) {
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        for address in unreached.take_gone() {
            let Some((name, record, revision)) = registry.present_at(address) else {
                continue;
            };
            info!("event=node_unreachable name={name} address={address}");
            let marked = NodeRecord {
                departure: Some(Departure::Unreachable),
                ..record
            };
            write(registry, store, &name, marked, revision).await;
        }
    }
}

/// Writes a node's record in place of that of `revision`; true if the store has
/// taken it.
async fn write<S: Store>(
    registry: &Registry,
    store: &S,
    name: &str,
    record: NodeRecord,
    revision: StoreRevision,
) -> bool {
    let key = registry.key(&record.zone, name);
    let write = Write {
        key: key.clone(),
        // A record of texts always has a form.
        value: serde_json::to_vec(&record).unwrap_or_default(),
    };
    match store.swap(&[Condition { key, revision }], &[write]).await {
        Ok(Swap::Done { revision }) => {
            info!(
                "event=node_registered name={name} revision={revision} departure={:?}",
                record.departure
            );
            registry.written(name, record, revision);
            true
        }
        Ok(Swap::Conflict { current }) => {
            registry.apply(current);
            false
        }
        Err(error) => {
            warn!(
                "event=node_not_registered name={name} error={:?}",
                error.to_string()
            );
            false
        }
    }
}
