//! A store wrapper that counts calls by type and outcome.

use std::sync::Arc;
use std::time::Duration;

use millwind_store::{Condition, Listing, Store, StoreError, StoreRevision, Swap, Watch, WatchReport, Write};

use crate::metrics::CallCounts;

/// Wraps a store and counts its calls.
#[derive(Debug)]
pub struct CountedStore<S> {
    store: Arc<S>,
    counts: CallCounts,
}

impl<S> CountedStore<S> {
    /// Creates a wrapper that counts the calls to `store` in `counts`.
    pub fn new(store: Arc<S>, counts: CallCounts) -> Self {
        CountedStore { store, counts }
    }

    fn count<T>(&self, call: &'static str, result: Result<T, StoreError>) -> Result<T, StoreError> {
        self.counts.count(call, outcome(&result));
        result
    }
}

/// Returns the metric label for the outcome of a call.
fn outcome<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::Refused(_)) => "refused",
        Err(StoreError::NoAnswer(_)) => "no_answer",
        Err(StoreError::WatchEnded(_)) => "watch_ended",
        Err(StoreError::Restored { .. }) => "restored",
    }
}

/// Wraps a watch and counts its reports.
#[derive(Debug)]
pub struct CountingWatch<W> {
    watch: W,
    counts: CallCounts,
}

impl<W: Watch> Watch for CountingWatch<W> {
    async fn next(&mut self) -> Result<WatchReport, StoreError> {
        let report = self.watch.next().await;
        self.counts.count("watch", outcome(&report));
        report
    }

    fn limit_wait(&mut self, wait: Duration) {
        self.watch.limit_wait(wait);
    }
}

impl<S: Store> Store for CountedStore<S> {
    type Watch = CountingWatch<S::Watch>;

    async fn list(&self, prefix: &str, idle_timeout: Duration) -> Result<Listing, StoreError> {
        self.count("list", self.store.list(prefix, idle_timeout).await)
    }

    async fn list_serializable(&self, prefix: &str, idle_timeout: Duration) -> Result<Listing, StoreError> {
        self.count(
            "list_serializable",
            self.store.list_serializable(prefix, idle_timeout).await,
        )
    }

    async fn watch(&self, prefix: &str, revision: StoreRevision) -> Result<Self::Watch, StoreError> {
        let watch = self.store.watch(prefix, revision).await?;
        Ok(CountingWatch {
            watch,
            counts: self.counts.clone(),
        })
    }

    async fn swap(&self, conditions: &[Condition], writes: &[Write]) -> Result<Swap, StoreError> {
        self.count("swap", self.store.swap(conditions, writes).await)
    }
}
