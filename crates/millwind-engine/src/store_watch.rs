//! Follows the platform's store: the operators' configuration, the instances'
//! records, and the system's own keys.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use log::{info, warn};
use millwind_store::{Entry, Listing, Store, StoreError, Watch};

use crate::clock;

/// Between two tries while the store does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Takes in what lies under one prefix of the store.
pub trait Follower: Send + Sync + 'static {
    /// Name in logs.
    fn name(&self) -> &'static str;
    /// The whole prefix was read.
    fn listed(&self, listing: Listing);
    /// Keys have changed, in order.
    fn changed(&self, entries: Vec<Entry>);
    /// The store was heard, though nothing changed.
    fn heard(&self) {}
    /// Waits between two reports, so that changes come in batches.
    fn rest(&self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}

/// Follows `prefix` for the life of the process: lists it, watches it, and
/// lists it again whenever the watch has a gap.
pub async fn follow<S: Store + 'static>(store: Arc<S>, prefix: String, follower: Arc<dyn Follower>) {
    let mut lost_at = None;
    loop {
        let error = match follow_once(&*store, &prefix, &*follower, &mut lost_at).await {
            Ok(()) => continue,
            Err(error) => error,
        };
        if lost_at.is_none() {
            warn!(
                "event=store_lost watch={} error={:?}",
                follower.name(),
                error.to_string()
            );
            lost_at = Some(clock::now());
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn follow_once<S: Store>(
    store: &S,
    prefix: &str,
    follower: &dyn Follower,
    lost_at: &mut Option<millwind_core::Instant>,
) -> Result<(), StoreError> {
    let listing = store.list(prefix).await?;
    let revision = listing.revision;
    follower.listed(listing);
    regained(follower, lost_at);
    let mut watch = store.watch(prefix, revision).await?;
    loop {
        let report = watch.next().await?;
        if report.changes.is_empty() {
            follower.heard();
        } else {
            follower.changed(report.changes);
        }
        follower.rest().await;
    }
}

fn regained(follower: &dyn Follower, lost_at: &mut Option<millwind_core::Instant>) {
    if let Some(lost) = lost_at.take() {
        info!(
            "event=store_regained watch={} outage_ms={}",
            follower.name(),
            clock::now().millis_since(lost)
        );
    }
}
