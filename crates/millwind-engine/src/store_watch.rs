//! Follows key prefixes of the store: the operators' configuration, the instances'
//! records and the system's own keys.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use log::{debug, info, warn};
use millwind_core::Instant;
use millwind_store::{Entry, Listing, Store, StoreError, StoreRevision, USUAL_SILENCE, Watch};
use rand::RngExt;
use tokio::sync::watch;

use crate::clock;

/// Delay before the first retry while the store does not answer. Later delays double,
/// because each call adds load to a store in trouble.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Timeout of a follower's first listing, doubled after each failure up to
/// [`USUAL_SILENCE`]. A store that recovers from an outage does not answer earlier calls,
/// so the first calls are abandoned early.
const FIRST_LISTING_SILENCE: Duration = Duration::from_millis(500);
/// Interval between parallel probe calls of a node without data. A store that recovers
/// may answer only new calls.
const FIRST_CALL_PAUSE: Duration = Duration::from_millis(400);
/// Maximum number of probe calls in flight.
const MOST_FIRST_CALLS: usize = 5;
/// The store may truncate watch responses with at least this many changes; a shorter
/// response is complete.
const LEAST_CUT_ANSWER: usize = 100;
/// Maximum time that a starting node waits for the decision whether it reads the store or
/// relies on relays.
const DECISION_LIMIT: Duration = Duration::from_millis(500);
/// Maximum time that a follower waits for the sentinel to reach the store before it calls
/// the store itself. The store may refuse the sentinel's calls alone.
const SENTINEL_PATIENCE: Duration = Duration::from_millis(5_000);
/// Maximum delay between two retries.
pub const MOST_PAUSE: Duration = Duration::from_millis(1_500);
/// Maximum delay between two retries on a node that relays inform when the store has
/// recovered.
pub const MOST_PAUSE_BEHIND_RELAYS: Duration = Duration::from_millis(5_000);

/// Where this node reads the catalog from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreReading {
    /// Not decided yet: the node lists the catalog but does not watch it.
    Undecided,
    /// The node reads the store.
    Reading,
    /// The node receives the catalog from relays.
    LeftToRelays,
}

/// Connectivity of the store, shared by all followers of a node. The sentinel, whose keys
/// change most often, detects an outage and its end, and probes the store on behalf of
/// the other followers.
#[derive(Debug, Default)]
pub struct StoreContact {
    /// Whether the store is presumed unreachable.
    is_lost: watch::Sender<bool>,
    /// Incremented when an outage ends or fresh data is needed.
    regained: watch::Sender<u64>,
}

impl StoreContact {
    /// Records that the store does not answer, or may not answer.
    pub fn note_lost(&self) {
        self.is_lost.send_replace(true);
    }

    /// Makes all followers read again after an outage or when fresh data is needed, since
    /// a watch may have been lost without an error.
    pub fn note_regained(&self) {
        self.regained.send_modify(|count| *count += 1);
        // Wakes followers after the counter has changed, so that each of them reads only
        // once.
        self.is_lost.send_replace(false);
    }

    fn is_lost(&self) -> bool {
        *self.is_lost.borrow()
    }

    /// Waits until the store is reachable, or until `limit` has elapsed.
    async fn heard(&self, limit: Duration) {
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
    fn part_read_first(&self) -> Option<String> {
        None
    }
    /// Handles the listing of the initial prefix, which may be slightly out of date.
    fn part_learned(&self, _listing: Listing) {}
    /// Called when the store answers a watch without changes.
    fn heard(&self) {}
    /// Called when the store answers again after this node's calls had failed, before the
    /// prefix is read.
    fn store_answers(&self) {}
    /// Called when everything that the store held at `asked` was delivered and changes
    /// are being watched.
    fn complete(&self, _asked: Instant) {}
    /// Called when changes are no longer watched.
    fn unwatched(&self) {}
    /// Returns whether the keys change often enough to detect an outage on behalf of all
    /// followers.
    fn is_sentinel(&self) -> bool {
        false
    }
    /// Returns a receiver of where the node reads the prefix from, or `None` if it always
    /// reads the store.
    fn reads(&self) -> Option<watch::Receiver<StoreReading>> {
        None
    }
    /// Returns the maximum delay between two retries while the store does not answer.
    fn most_pause(&self) -> Duration {
        MOST_PAUSE
    }
    /// Waits between two watch responses, so that changes arrive in batches.
    fn rest(&self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}

/// State of a follower across listings and watches.
#[derive(Debug)]
struct Progress {
    /// Whether the prefix was read at least once, by this node or by relays.
    has_read: bool,
    /// Time at which the store stopped answering.
    lost_at: Option<Instant>,
    /// Timeout of the next listing.
    silence: Duration,
    /// Delay after the next failure.
    pause: Duration,
}

impl Progress {
    const fn new() -> Self {
        Progress {
            has_read: false,
            lost_at: None,
            silence: FIRST_LISTING_SILENCE,
            pause: RETRY_PAUSE,
        }
    }

    /// Records that relays delivered the prefix.
    fn left_to_relays(&mut self) {
        self.has_read = true;
        self.lost_at = None;
    }

    /// Records a failed call and returns the delay before the next one.
    fn failed(&mut self, follower: &dyn Follower, error: &StoreError) -> Duration {
        if self.lost_at.is_none() {
            warn!(
                "event=store_lost watch={} error={:?}",
                follower.name(),
                error.to_string()
            );
            self.lost_at = Some(clock::now());
            self.pause = RETRY_PAUSE;
        }
        let pause = self.pause;
        // A node without data cannot serve callers, so it keeps the shortest delay.
        if self.has_read {
            self.pause = (pause * 2).min(follower.most_pause());
            self.silence = USUAL_SILENCE;
        } else {
            self.silence = (self.silence * 2).min(USUAL_SILENCE);
        }
        pause.mul_f64(rand::rng().random_range(0.75..1.25))
    }

    /// Records a successful listing.
    fn heard(&mut self, follower: &dyn Follower, contact: &StoreContact) {
        self.has_read = true;
        let was_lost = regained(follower, &mut self.lost_at);
        if follower.is_sentinel() && (was_lost || contact.is_lost()) {
            contact.note_regained();
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
    let mut progress = Progress::new();
    let mut reads = follower.reads();
    loop {
        follower.unwatched();
        if until_reads(&mut reads).await {
            progress.left_to_relays();
        }
        if contact.is_lost() && !follower.is_sentinel() {
            contact.heard(SENTINEL_PATIENCE).await;
        }
        let mut regained = contact.regained.subscribe();
        // The first listing is never cancelled, because the relays may be starting too.
        let may_leave = progress.has_read;
        let reading = read_once(&*store, &prefix, &*follower, &contact, &mut progress);
        let read = tokio::select! {
            result = reading => result,
            // The listing may have been lost without an error.
            Ok(()) = regained.changed(), if !follower.is_sentinel() => continue,
            () = until_left(&mut reads), if may_leave => continue,
        };
        let ended = match read {
            Ok(Some(revision)) => tokio::select! {
                result = watch_changes(&*store, &prefix, &*follower, revision) => result,
                // The watch may have been lost without an error.
                Ok(()) = regained.changed(), if !follower.is_sentinel() => Ok(()),
                () = until_left(&mut reads) => Ok(()),
            },
            Ok(None) => Ok(()),
            Err(error) => Err(error),
        };
        follower.unwatched();
        let Err(error) = ended else { continue };
        let pause = progress.failed(&*follower, &error);
        if follower.is_sentinel() {
            contact.note_lost();
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            Ok(()) = regained.changed(), if !follower.is_sentinel() => {}
            () = until_left(&mut reads) => {}
        }
    }
}

/// Waits while relays deliver the prefix. Returns whether they did when called.
async fn until_reads(reads: &mut Option<watch::Receiver<StoreReading>>) -> bool {
    let Some(reads) = reads else { return false };
    let has_left = *reads.borrow_and_update() == StoreReading::LeftToRelays;
    // The sender lives as long as the node.
    let _ = reads.wait_for(|reads| *reads != StoreReading::LeftToRelays).await;
    has_left
}

/// Waits until relays deliver the prefix.
async fn until_left(reads: &mut Option<watch::Receiver<StoreReading>>) {
    let Some(reads) = reads else {
        return std::future::pending().await;
    };
    // The sender lives as long as the node.
    let _ = reads.wait_for(|reads| *reads == StoreReading::LeftToRelays).await;
}

/// Returns whether relays deliver the prefix.
fn is_left(follower: &dyn Follower) -> bool {
    let reads = follower.reads();
    reads.is_some_and(|reads| *reads.borrow() == StoreReading::LeftToRelays)
}

/// Waits for a limited time for the decision where this node reads the catalog from.
/// Returns whether relays deliver it.
async fn leaves_to_relays(follower: &dyn Follower) -> bool {
    let Some(mut reads) = follower.reads() else {
        return false;
    };
    let decided = reads.wait_for(|reads| *reads != StoreReading::Undecided);
    // After the timeout the node reads the store, whatever is decided later.
    let _ = tokio::time::timeout(DECISION_LIMIT, decided).await;
    is_left(follower)
}

/// Lists the prefix. Returns the revision from which to watch its changes, or `None` if
/// relays deliver them.
async fn read_once<S: Store>(
    store: &S,
    prefix: &str,
    follower: &dyn Follower,
    contact: &StoreContact,
    progress: &mut Progress,
) -> Result<Option<StoreRevision>, StoreError> {
    let is_first = !progress.has_read;
    if is_first {
        if let Some(part) = follower.part_read_first() {
            let listing = store.list_serializable(&part, progress.silence).await?;
            follower.part_learned(listing);
        }
        // Nodes behind relays skip the full listing: the link to the store would be
        // saturated if all nodes of a large deployment listed it at the same time.
        if leaves_to_relays(follower).await {
            return Ok(None);
        }
    }
    if contact.is_lost() && follower.is_sentinel() && is_first {
        await_store(store, prefix).await?;
    } else if contact.is_lost() && follower.is_sentinel() {
        // A serializable read is the cheapest check that the store has recovered.
        store.list_serializable(prefix, progress.silence).await?;
        // If the first call succeeds, the store was never down and only the relays have
        // lost it. Waiting for the relays would then delay fresh data.
        if progress.lost_at.is_some() {
            follower.store_answers();
            if leaves_to_relays(follower).await {
                return Ok(None);
            }
        }
        // Lets the other followers read in parallel, since sequential listings would
        // delay the configuration.
        progress.heard(follower, contact);
    }
    let asked = clock::now();
    let listing = store.list(prefix, progress.silence).await?;
    let revision = listing.revision;
    follower.listed(listing);
    follower.complete(asked);
    progress.heard(follower, contact);
    Ok((!is_left(follower)).then_some(revision))
}

/// Watches the prefix for changes after `revision` until the watch is lost.
async fn watch_changes<S: Store>(
    store: &S,
    prefix: &str,
    follower: &dyn Follower,
    revision: StoreRevision,
) -> Result<(), StoreError> {
    let mut watch = store.watch(prefix, revision).await?;
    loop {
        let asked = clock::now();
        let report = watch.next().await?;
        let is_whole = report.changes.len() < LEAST_CUT_ANSWER;
        if report.changes.is_empty() {
            follower.heard();
        } else {
            follower.changed(report.changes);
        }
        if is_whole {
            follower.complete(asked);
            follower.rest().await;
        }
        // After a truncated response the rest is requested without a pause, since a node
        // with many instances would otherwise fall behind until the store compacts the
        // revisions that it still needs.
    }
}

/// Probes the store on behalf of a node without data. Returns when any call succeeds;
/// fails when a call fails and no other is in flight.
async fn await_store<S: Store>(store: &S, prefix: &str) -> Result<(), StoreError> {
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
            () = tokio::time::sleep_until(next_call), if calls.len() < MOST_FIRST_CALLS => {
                calls.push(store.list_serializable(prefix, USUAL_SILENCE));
                next_call += FIRST_CALL_PAUSE;
            }
        }
    }
}

/// Ends an outage. Returns whether there was one.
fn regained(follower: &dyn Follower, lost_at: &mut Option<Instant>) -> bool {
    let was_lost = lost_at.take();
    if let Some(lost) = was_lost {
        info!(
            "event=store_regained watch={} outage_ms={}",
            follower.name(),
            clock::now().millis_since(lost)
        );
    }
    was_lost.is_some()
}
