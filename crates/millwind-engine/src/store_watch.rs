//! Follows key prefixes of the store: the operators' configuration, the instances'
//! records and the system's own keys.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use log::{debug, info, warn};
use millwind_core::Instant;
use millwind_store::{
    DEFAULT_IDLE_TIMEOUT, Entry, Listing, Store, StoreError, StoreRevision, Watch, WatchReport,
};
use rand::RngExt;
use tokio::sync::watch;

use crate::clock;

/// Delay before the first retry while the store does not answer. Later delays double,
/// because each call adds load to a store in trouble.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a follower's first listing, doubled after each failure up to
/// [`DEFAULT_IDLE_TIMEOUT`]. A store that recovers from an outage does not answer earlier calls,
/// so the first calls are abandoned early.
const FIRST_LISTING_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between parallel probe calls of a node without data. A store that recovers
/// may answer only new calls.
const PROBE_CALL_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of probe calls in flight.
const MAX_PROBE_CALLS: usize = 5;
/// Wait of a watch call that only checks whether there are changes.
const CHECK_WAIT: Duration = Duration::from_millis(1);
/// The store may truncate watch responses with at least this many changes; a shorter
/// response is complete.
/// The users' platform cuts listings at some 500 entries.
const MIN_TRUNCATED_CHANGES: usize = 100;
/// Maximum time that a starting node waits for the decision whether it reads the store or
/// relies on relays.
const SOURCE_DECISION_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that a follower waits for the sentinel to reach the store before it calls
/// the store itself. The store may refuse the sentinel's calls alone.
const SENTINEL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum delay between two retries.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum delay between two retries on a node that relays inform when the store has
/// recovered.
pub const MAX_RETRY_DELAY_BEHIND_RELAYS: Duration = Duration::from_millis(5_000);

/// Where this node reads the catalog from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CatalogSource {
    /// Not decided yet: the node lists the catalog but does not watch it.
    Undecided,
    /// The node reads the store.
    Store,
    /// The node receives the catalog from relays.
    Relays,
}

/// Connectivity of the store, shared by all followers of a node. The sentinel, whose keys
/// change most often, detects an outage and its end, and probes the store on behalf of
/// the other followers.
#[derive(Debug, Default)]
pub struct StoreContact {
    /// Whether the store is presumed unreachable.
    is_lost: watch::Sender<bool>,
    /// Incremented when an outage ends or fresh data is needed.
    reread_count: watch::Sender<u64>,
}

impl StoreContact {
    /// Records that the store does not answer, or may not answer.
    pub fn mark_lost(&self) {
        self.is_lost.send_replace(true);
    }

    /// Makes all followers read again after an outage or when fresh data is needed, since
    /// a watch may have been lost without an error.
    pub fn request_reread(&self) {
        self.reread_count.send_modify(|count| *count += 1);
        // Wakes followers after the counter has changed, so that each of them reads only
        // once.
        self.is_lost.send_replace(false);
    }

    fn is_lost(&self) -> bool {
        *self.is_lost.borrow()
    }

    /// Waits until the store is reachable, or until `limit` has elapsed.
    async fn await_reachable(&self, limit: Duration) {
        let mut is_lost = self.is_lost.subscribe();
        // The sender lives as long as the node. After the timeout the follower calls the
        // store itself.
        let _ = tokio::time::timeout(limit, is_lost.wait_for(|is_lost| !is_lost)).await;
    }
}

/// Receives the contents and changes of one key prefix.
pub trait Follower: Send + Sync + 'static {
    /// Returns the name used in log lines.
    fn name(&self) -> &'static str;
    /// Handles a complete listing of the prefix.
    fn listed(&self, listing: Listing);
    /// Handles changed keys, in order.
    fn changed(&self, entries: Vec<Entry>);
    /// Returns a shorter prefix that a starting node reads first, with a serializable
    /// read, to decide whether relays deliver the rest; `None` if another follower reads
    /// the data for that decision.
    fn initial_prefix(&self) -> Option<String> {
        None
    }
    /// Handles the listing of the initial prefix, which may be slightly out of date.
    fn initial_prefix_listed(&self, _listing: Listing) {}
    /// Called when the store answers a watch without changes.
    fn watch_answered(&self) {}
    /// Called when the store answers again after this node's calls had failed, before the
    /// prefix is read.
    fn store_answers(&self) {}
    /// Called when everything that the store held at `asked` was delivered and changes
    /// are being watched.
    fn complete(&self, _asked: Instant) {}
    /// Called when changes are no longer watched.
    fn watch_stopped(&self) {}
    /// Returns whether the keys change often enough to detect an outage on behalf of all
    /// followers.
    fn is_sentinel(&self) -> bool {
        false
    }
    /// Returns a receiver of where the node reads the prefix from, or `None` if it always
    /// reads the store.
    fn catalog_source(&self) -> Option<watch::Receiver<CatalogSource>> {
        None
    }
    /// Returns the maximum delay between two retries while the store does not answer.
    fn max_retry_delay(&self) -> Duration {
        MAX_RETRY_DELAY
    }
    /// Completes when the data is so old that the watch may have been lost without an error.
    fn outdated(&self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::pending())
    }
    /// Returns the longest time that the next watch call may wait for a change. A watch that
    /// was lost without an error goes unnoticed for little more than that.
    fn max_watch_wait(&self) -> Duration {
        Duration::MAX
    }
    /// Waits between two watch responses, so that changes arrive in batches.
    fn await_next_batch(&self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}

/// State of a follower across listings and watches.
#[derive(Debug)]
struct FollowState {
    /// Whether the prefix was read at least once, by this node or by relays.
    has_read: bool,
    /// Time at which the store stopped answering.
    outage_since: Option<Instant>,
    /// Timeout of the next listing.
    listing_timeout: Duration,
    /// Delay after the next failure.
    retry_delay: Duration,
}

impl FollowState {
    const fn new() -> Self {
        FollowState {
            has_read: false,
            outage_since: None,
            listing_timeout: FIRST_LISTING_TIMEOUT,
            retry_delay: INITIAL_RETRY_DELAY,
        }
    }

    /// Records that relays delivered the prefix.
    fn mark_relayed(&mut self) {
        self.has_read = true;
        self.outage_since = None;
    }

    /// Records a failed call and returns the delay before the next one.
    fn record_failure(&mut self, follower: &dyn Follower, error: &StoreError) -> Duration {
        if self.outage_since.is_none() {
            warn!(
                "event=store_lost watch={} error={:?}",
                follower.name(),
                error.to_string()
            );
            self.outage_since = Some(clock::now());
            self.retry_delay = INITIAL_RETRY_DELAY;
        }
        let delay = self.retry_delay;
        // A node without data cannot serve callers, so it keeps the shortest delay.
        if self.has_read {
            self.retry_delay = (delay * 2).min(follower.max_retry_delay());
            self.listing_timeout = DEFAULT_IDLE_TIMEOUT;
        } else {
            self.listing_timeout = (self.listing_timeout * 2).min(DEFAULT_IDLE_TIMEOUT);
        }
        delay.mul_f64(rand::rng().random_range(0.75..1.25))
    }

    /// Records a successful listing.
    fn record_success(&mut self, follower: &dyn Follower, contact: &StoreContact) {
        self.has_read = true;
        let was_lost = end_outage(follower, &mut self.outage_since);
        if follower.is_sentinel() && (was_lost || contact.is_lost()) {
            contact.request_reread();
        }
    }
}

/// Lists and watches `prefix` for the lifetime of the process, and lists it again when
/// the watch is interrupted.
pub async fn follow<S: Store + 'static>(
    store: Arc<S>,
    prefix: String,
    follower: Arc<dyn Follower>,
    contact: Arc<StoreContact>,
) {
    let mut state = FollowState::new();
    let mut source = follower.catalog_source();
    loop {
        follower.watch_stopped();
        if wait_while_relayed(&mut source).await {
            state.mark_relayed();
        }
        if contact.is_lost() && !follower.is_sentinel() {
            contact.await_reachable(SENTINEL_TIMEOUT).await;
        }
        let mut reread_count = contact.reread_count.subscribe();
        // Relays do not cancel the first listing, because they may be starting too.
        let may_cancel = state.has_read;
        let listing = list_prefix(&*store, &prefix, &*follower, &contact, &mut state);
        let read = tokio::select! {
            result = listing => result,
            // The listing may have been lost without an error.
            Ok(()) = reread_count.changed(), if !follower.is_sentinel() => continue,
            () = wait_until_relayed(&mut source), if may_cancel => continue,
        };
        let outcome = match read {
            Ok(Some(revision)) => tokio::select! {
                result = watch_changes(&*store, &prefix, &*follower, &contact, revision) => result,
                // The watch may have been lost without an error.
                Ok(()) = reread_count.changed(), if !follower.is_sentinel() => Ok(()),
                () = wait_until_relayed(&mut source) => Ok(()),
            },
            Ok(None) => Ok(()),
            Err(error) => Err(error),
        };
        follower.watch_stopped();
        let Err(error) = outcome else { continue };
        let delay = state.record_failure(&*follower, &error);
        if follower.is_sentinel() {
            contact.mark_lost();
        }
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            Ok(()) = reread_count.changed(), if !follower.is_sentinel() => {}
            () = wait_until_relayed(&mut source) => {}
        }
    }
}

/// Waits while relays deliver the prefix. Returns whether they did when called.
async fn wait_while_relayed(source: &mut Option<watch::Receiver<CatalogSource>>) -> bool {
    let Some(source) = source else { return false };
    let was_relayed = *source.borrow_and_update() == CatalogSource::Relays;
    // The sender lives as long as the node.
    let _ = source.wait_for(|source| *source != CatalogSource::Relays).await;
    was_relayed
}

/// Waits until relays deliver the prefix.
async fn wait_until_relayed(source: &mut Option<watch::Receiver<CatalogSource>>) {
    let Some(source) = source else {
        return std::future::pending().await;
    };
    // The sender lives as long as the node.
    let _ = source.wait_for(|source| *source == CatalogSource::Relays).await;
}

/// Returns whether relays deliver the prefix.
fn is_relayed(follower: &dyn Follower) -> bool {
    let source = follower.catalog_source();
    source.is_some_and(|source| *source.borrow() == CatalogSource::Relays)
}

/// Waits for a limited time for the decision where this node reads the catalog from.
/// Returns whether relays deliver it.
async fn await_source_decision(follower: &dyn Follower) -> bool {
    let Some(mut source) = follower.catalog_source() else {
        return false;
    };
    let decided = source.wait_for(|source| *source != CatalogSource::Undecided);
    // After the timeout the node reads the store, whatever is decided later.
    let _ = tokio::time::timeout(SOURCE_DECISION_TIMEOUT, decided).await;
    is_relayed(follower)
}

/// Lists the prefix. Returns the revision from which to watch its changes, or `None` if
/// relays deliver them.
async fn list_prefix<S: Store>(
    store: &S,
    prefix: &str,
    follower: &dyn Follower,
    contact: &StoreContact,
    state: &mut FollowState,
) -> Result<Option<StoreRevision>, StoreError> {
    let is_first = !state.has_read;
    if is_first {
        if let Some(initial) = follower.initial_prefix() {
            let listing = store.list_serializable(&initial, state.listing_timeout).await?;
            follower.initial_prefix_listed(listing);
        }
        // Nodes behind relays skip the full listing: the link to the store would be
        // saturated if all nodes of a large deployment listed it at the same time.
        if await_source_decision(follower).await {
            return Ok(None);
        }
    }
    if contact.is_lost() && follower.is_sentinel() && is_first {
        probe_store(store, prefix).await?;
    } else if contact.is_lost() && follower.is_sentinel() {
        // A serializable read is the cheapest check that the store has recovered.
        store.list_serializable(prefix, state.listing_timeout).await?;
        // If the first call succeeds, the store was never down and only the relays have
        // lost it. Waiting for the relays would then delay fresh data.
        if state.outage_since.is_some() {
            follower.store_answers();
            if await_source_decision(follower).await {
                return Ok(None);
            }
        }
        // Lets the other followers read in parallel, since sequential listings would
        // delay the configuration.
        state.record_success(follower, contact);
    }
    let asked = clock::now();
    let listing = store.list(prefix, state.listing_timeout).await?;
    let revision = listing.revision;
    follower.listed(listing);
    follower.complete(asked);
    state.record_success(follower, contact);
    Ok((!is_relayed(follower)).then_some(revision))
}

/// Watches the prefix for changes after `revision` until the watch is lost.
async fn watch_changes<S: Store>(
    store: &S,
    prefix: &str,
    follower: &dyn Follower,
    contact: &StoreContact,
    mut revision: StoreRevision,
) -> Result<(), StoreError> {
    let mut watch = store.watch(prefix, revision).await?;
    loop {
        let asked = clock::now();
        watch.limit_wait(follower.max_watch_wait());
        let (report, asked) = tokio::select! {
            report = watch.next() => (report?, asked),
            (report, asked) = await_missed_changes(store, prefix, follower, contact, revision) => {
                info!("event=watch_silent watch={} revision={}", follower.name(), report.revision);
                watch = store.watch(prefix, report.revision).await?;
                (report, asked)
            }
        };
        revision = report.revision;
        let is_complete = report.changes.len() < MIN_TRUNCATED_CHANGES;
        if report.changes.is_empty() {
            follower.watch_answered();
        } else {
            follower.changed(report.changes);
        }
        if is_complete {
            follower.complete(asked);
            follower.await_next_batch().await;
        }
        // After a truncated response the rest is requested without a pause, since a node
        // with many instances would otherwise fall behind until the store compacts the
        // revisions that it still needs.
    }
}

/// Checks the prefix beside a waiting watch whenever the follower's data is outdated, since the
/// connection of the watch may have gone silent. Returns changes after `revision` that the watch
/// has not reported, and when they were asked for.
///
/// A failed check does not end the watch: the sentinel detects an outage of the store.
async fn await_missed_changes<S: Store>(
    store: &S,
    prefix: &str,
    follower: &dyn Follower,
    contact: &StoreContact,
    mut revision: StoreRevision,
) -> (WatchReport, Instant) {
    let mut retry_delay = INITIAL_RETRY_DELAY;
    loop {
        follower.outdated().await;
        if contact.is_lost() {
            contact.await_reachable(SENTINEL_TIMEOUT).await;
        }
        let asked = clock::now();
        match check_for_changes(store, prefix, revision).await {
            Ok(report) if report.changes.is_empty() => {
                revision = report.revision;
                retry_delay = INITIAL_RETRY_DELAY;
                follower.complete(asked);
            }
            Ok(report) => return (report, asked),
            Err(error) => {
                debug!(
                    "event=check_failed watch={} error={:?}",
                    follower.name(),
                    error.to_string()
                );
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(follower.max_retry_delay());
            }
        }
    }
}

/// Asks for the changes after `revision` that the store already has.
async fn check_for_changes<S: Store>(
    store: &S,
    prefix: &str,
    revision: StoreRevision,
) -> Result<WatchReport, StoreError> {
    let mut check = store.watch(prefix, revision).await?;
    check.limit_wait(CHECK_WAIT);
    check.next().await
}

/// Probes the store on behalf of a node without data. Returns when any call succeeds;
/// fails when a call fails and no other is in flight.
async fn probe_store<S: Store>(store: &S, prefix: &str) -> Result<(), StoreError> {
    let mut calls = FuturesUnordered::new();
    let mut next_call = tokio::time::Instant::now();
    loop {
        tokio::select! {
            biased;
            Some(ended) = calls.next() => match ended {
                Ok(_) => return Ok(()),
                Err(error) if calls.is_empty() => return Err(error),
                Err(error) => debug!("event=store_still_lost error={:?}", error.to_string()),
            },
            () = tokio::time::sleep_until(next_call), if calls.len() < MAX_PROBE_CALLS => {
                calls.push(store.list_serializable(prefix, DEFAULT_IDLE_TIMEOUT));
                next_call += PROBE_CALL_INTERVAL;
            }
        }
    }
}

/// Ends an outage. Returns whether there was one.
fn end_outage(follower: &dyn Follower, outage_since: &mut Option<Instant>) -> bool {
    let was_lost = outage_since.take();
    if let Some(lost) = was_lost {
        info!(
            "event=store_regained watch={} outage_ms={}",
            follower.name(),
            clock::now().millis_since(lost)
        );
    }
    was_lost.is_some()
}
