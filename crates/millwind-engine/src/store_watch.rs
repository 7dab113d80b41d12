//! Follows the platform's store: the operators' configuration, the instances'
//! records, and the system's own keys.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use log::{info, warn};
use millwind_core::Instant;
use millwind_store::{Entry, Listing, Store, StoreError, Watch};
use rand::RngExt;
use tokio::sync::watch;

use crate::clock;

/// Between the first two tries while the store does not answer; the pause
/// doubles, since each call is paid for and loads a store in trouble.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// A node that knows nothing yet gives a listing up after this time, and after
/// twice as long the next time: a store that comes back does not answer what it
/// was asked while it was out. Above the answers of a slow store (some 0.4 s on
/// the users' days).
const FIRST_LISTING_LIMIT: Duration = Duration::from_millis(500);
/// An answer of a watch with fewer changes than this holds all that there were:
/// the platform cuts listings at some 500 entries.
const LEAST_CUT_ANSWER: usize = 100;
/// Longest time for a listing.
const MOST_LISTING_LIMIT: Duration = Duration::from_millis(2_000);
/// Longest pause between two tries.
pub const MOST_PAUSE: Duration = Duration::from_millis(1_500);
/// The same for a node that others tell when the store is heard again.
pub const MOST_PAUSE_BEHIND_RELAYS: Duration = Duration::from_millis(5_000);

/// Whether the store is heard, shared by all followers of a node: the one whose
/// keys change all the time notices an outage and its end before the others.
#[derive(Debug, Default)]
pub struct StoreContact {
    /// Counts the ends of outages, and the needs for fresh news.
    regained: watch::Sender<u64>,
}

impl StoreContact {
    /// An outage is over: watches may have been lost in silence.
    pub fn note_regained(&self) {
        self.regained.send_modify(|count| *count += 1);
    }

    /// Fresh news are needed now: all followers read anew.
    pub fn refresh(&self) {
        self.regained.send_modify(|count| *count += 1);
    }
}

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
    /// Everything that the store held at `asked` was told.
    fn complete(&self, _asked: Instant) {}
    /// Whether its keys change so often that it notices an outage on behalf of
    /// all followers.
    fn is_sentinel(&self) -> bool {
        false
    }
    /// Whether this node follows the prefix itself, as it changes; none for
    /// always.
    fn reads(&self) -> Option<watch::Receiver<bool>> {
        None
    }
    /// Longest pause between two tries while the store does not answer.
    fn most_pause(&self) -> Duration {
        MOST_PAUSE
    }
    /// Waits between two reports, so that changes come in batches.
    fn rest(&self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}

/// Follows `prefix` for the life of the process: lists it, watches it, and
/// lists it again whenever the watch has a gap.
pub async fn follow<S: Store + 'static>(
    store: Arc<S>,
    prefix: String,
    follower: Arc<dyn Follower>,
    contact: Arc<StoreContact>,
) {
    let mut lost_at = None;
    let mut pause = RETRY_PAUSE;
    let mut has_listed = false;
    let mut listing_limit = FIRST_LISTING_LIMIT;
    let mut reads = follower.reads();
    loop {
        if until_reads(&mut reads, true).await {
            lost_at = None;
        }
        let mut regained = contact.regained.subscribe();
        let following = follow_once(
            &*store,
            &prefix,
            &*follower,
            &contact,
            listing_limit,
            &mut lost_at,
            &mut has_listed,
        );
        let error = tokio::select! {
            result = following => match result {
                Ok(()) => continue,
                Err(error) => error,
            },
            // The watch may have been lost in silence.
            Ok(()) = regained.changed(), if !follower.is_sentinel() => continue,
            _ = until_reads(&mut reads, false) => continue,
        };
        if lost_at.is_none() {
            warn!(
                "event=store_lost watch={} error={:?}",
                follower.name(),
                error.to_string()
            );
            lost_at = Some(clock::now());
            pause = RETRY_PAUSE;
        }
        let jittered = pause.mul_f64(rand::rng().random_range(0.75..1.25));
        tokio::select! {
            () = tokio::time::sleep(jittered) => {}
            Ok(()) = regained.changed(), if !follower.is_sentinel() => {}
            _ = until_reads(&mut reads, false) => {}
        }
        listing_limit = match has_listed {
            true => MOST_LISTING_LIMIT,
            false => (listing_limit * 2).min(MOST_LISTING_LIMIT),
        };
        // A node that knows nothing yet cannot serve: it asks on.
        if has_listed {
            pause = (pause * 2).min(follower.most_pause());
        }
    }
}

/// Waits until this node follows the prefix itself, or no longer does; true if
/// it had to wait.
async fn until_reads(reads: &mut Option<watch::Receiver<bool>>, wanted: bool) -> bool {
    let Some(reads) = reads else {
        return match wanted {
            true => false,
            false => std::future::pending().await,
        };
    };
    let is_now = *reads.borrow_and_update() == wanted;
    // The sender lives as long as the node.
    let _ = reads.wait_for(|reads| *reads == wanted).await;
    !is_now
}

async fn follow_once<S: Store>(
    store: &S,
    prefix: &str,
    follower: &dyn Follower,
    contact: &StoreContact,
    listing_limit: Duration,
    lost_at: &mut Option<Instant>,
    has_listed: &mut bool,
) -> Result<(), StoreError> {
    let asked = clock::now();
    let listing = tokio::time::timeout(listing_limit, store.list(prefix)).await;
    let listing = listing.map_err(|_| StoreError::NoAnswer("listing took too long".to_owned()))??;
    let revision = listing.revision;
    follower.listed(listing);
    follower.complete(asked);
    *has_listed = true;
    if regained(follower, lost_at) && follower.is_sentinel() {
        contact.note_regained();
    }
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
        }
        follower.rest().await;
    }
}

/// Notes that the store is heard; true if it was not before.
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
