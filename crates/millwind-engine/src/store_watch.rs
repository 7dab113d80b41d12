//! Follows the platform's store: the operators' configuration, the instances'
//! records, and the system's own keys.

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

/// Between the first two tries while the store does not answer; the pause
/// doubles, since each call is paid for and loads a store in trouble.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// A node that knows nothing yet gives a listing up after this silence, and after
/// twice as long the next time: a store that comes back does not answer what it
/// was asked while it was out. Above the answers of a slow store (0.4 s, a hundred
/// times the usual 4 ms).
const FIRST_LISTING_SILENCE: Duration = Duration::from_millis(500);
/// While its calls are unanswered, a node that knows nothing yet sends another one
/// after this time: the store may be back and answer only new ones.
const FIRST_CALL_PAUSE: Duration = Duration::from_millis(400);
/// Such calls without an answer at the same time at most.
const MOST_FIRST_CALLS: usize = 5;
/// An answer of a watch with fewer changes than this holds all that there were, whatever
/// the store cuts answers at (the users' platform: listings at some 500 entries).
const LEAST_CUT_ANSWER: usize = 100;
/// A starting node waits so long to learn whether it leaves the store to relays
/// before it watches: a few times what listing the nodes takes.
const DECISION_LIMIT: Duration = Duration::from_millis(500);
/// A follower that waits for the one that asks a store which is out asks by itself
/// after this time: what that one reads may be refused alone.
const SENTINEL_PATIENCE: Duration = Duration::from_millis(5_000);
/// Longest pause between two tries.
pub const MOST_PAUSE: Duration = Duration::from_millis(1_500);
/// The same for a node that others tell when the store is heard again.
pub const MOST_PAUSE_BEHIND_RELAYS: Duration = Duration::from_millis(5_000);

/// Whether this node reads the catalog from the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreReading {
    /// Not known yet: it lists the catalog, and does not watch it.
    Undecided,
    /// It reads the store.
    Reading,
    /// Relays read it and tell this node.
    LeftToRelays,
}

/// Whether the store is heard, shared by all followers of a node: the one whose
/// keys change all the time notices an outage and its end, and asks a store that
/// is out on behalf of the others.
#[derive(Debug, Default)]
pub struct StoreContact {
    /// The store is out as far as is known.
    is_lost: watch::Sender<bool>,
    /// Counts the ends of outages, and the needs for fresh news.
    regained: watch::Sender<u64>,
}

impl StoreContact {
    /// The store does not answer, or is not known to.
    pub fn note_lost(&self) {
        self.is_lost.send_replace(true);
    }

    /// An outage is over, or fresh news are needed now: all followers read anew,
    /// since watches may have been lost in silence.
    pub fn note_regained(&self) {
        self.regained.send_modify(|count| *count += 1);
        // Those that wait for this look no more than once.
        self.is_lost.send_replace(false);
    }

    fn is_lost(&self) -> bool {
        *self.is_lost.borrow()
    }

    /// Waits until the store is heard, for `limit` at most.
    async fn heard(&self, limit: Duration) {
        let mut is_lost = self.is_lost.subscribe();
        // The sender lives as long as the node; at the limit the store is asked.
        let _ = tokio::time::timeout(limit, is_lost.wait_for(|is_lost| !is_lost)).await;
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
    /// A smaller prefix within the followed one that a starting node reads first, by a
    /// serializable read: it tells whether the rest is left to relays. None where another
    /// follower finds that out.
    fn part_read_first(&self) -> Option<String> {
        None
    }
    /// That part was read, as it was a moment ago.
    fn part_learned(&self, _listing: Listing) {}
    /// The store was heard, though nothing changed.
    fn heard(&self) {}
    /// A store that was out, by failed calls of this node, answers again; it is
    /// read next.
    fn store_answers(&self) {}
    /// Everything that the store held at `asked` was told, and its changes are
    /// watched.
    fn complete(&self, _asked: Instant) {}
    /// Changes are no longer watched.
    fn unwatched(&self) {}
    /// Whether its keys change so often that it notices an outage on behalf of
    /// all followers.
    fn is_sentinel(&self) -> bool {
        false
    }
    /// Whether this node follows the prefix itself, as it changes; none for
    /// always.
    fn reads(&self) -> Option<watch::Receiver<StoreReading>> {
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

/// How far a follower has come with the store.
#[derive(Debug)]
struct Progress {
    /// The prefix was read at least once, here or by relays.
    has_read: bool,
    /// Since when the store does not answer.
    lost_at: Option<Instant>,
    /// Silence after which the next listing is given up.
    silence: Duration,
    /// Pause after the next failure.
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

    /// Relays have told what lies under the prefix meanwhile.
    fn left_to_relays(&mut self) {
        self.has_read = true;
        self.lost_at = None;
    }

    /// Takes in a failure; the time to wait after it.
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
        // A node that knows nothing yet cannot serve: it asks on.
        if self.has_read {
            self.pause = (pause * 2).min(follower.most_pause());
            self.silence = USUAL_SILENCE;
        } else {
            self.silence = (self.silence * 2).min(USUAL_SILENCE);
        }
        pause.mul_f64(rand::rng().random_range(0.75..1.25))
    }

    /// The store has answered a listing.
    fn heard(&mut self, follower: &dyn Follower, contact: &StoreContact) {
        self.has_read = true;
        let was_lost = regained(follower, &mut self.lost_at);
        if follower.is_sentinel() && (was_lost || contact.is_lost()) {
            contact.note_regained();
        }
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
        // The first reading ends in any case: relays may be starting as well.
        let may_leave = progress.has_read;
        let reading = read_once(&*store, &prefix, &*follower, &contact, &mut progress);
        let read = tokio::select! {
            result = reading => result,
            // The listing may have been lost in silence.
            Ok(()) = regained.changed(), if !follower.is_sentinel() => continue,
            () = until_left(&mut reads), if may_leave => continue,
        };
        let ended = match read {
            Ok(Some(revision)) => tokio::select! {
                result = watch_changes(&*store, &prefix, &*follower, revision) => result,
                // The watch may have been lost in silence.
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

/// Waits while this node leaves the prefix to relays; true if it had to wait.
async fn until_reads(reads: &mut Option<watch::Receiver<StoreReading>>) -> bool {
    let Some(reads) = reads else { return false };
    let has_left = *reads.borrow_and_update() == StoreReading::LeftToRelays;
    // The sender lives as long as the node.
    let _ = reads.wait_for(|reads| *reads != StoreReading::LeftToRelays).await;
    has_left
}

/// Waits until this node leaves the prefix to relays.
async fn until_left(reads: &mut Option<watch::Receiver<StoreReading>>) {
    let Some(reads) = reads else {
        return std::future::pending().await;
    };
    // The sender lives as long as the node.
    let _ = reads.wait_for(|reads| *reads == StoreReading::LeftToRelays).await;
}

/// Whether this node leaves the prefix to relays.
fn is_left(follower: &dyn Follower) -> bool {
    let reads = follower.reads();
    reads.is_some_and(|reads| *reads.borrow() == StoreReading::LeftToRelays)
}

/// Waits until it is known whether this node reads the store, but not for long;
/// true if it leaves it to relays.
async fn leaves_to_relays(follower: &dyn Follower) -> bool {
    let Some(mut reads) = follower.reads() else {
        return false;
    };
    let decided = reads.wait_for(|reads| *reads != StoreReading::Undecided);
    // At the limit it reads the store, whatever follows later.
    let _ = tokio::time::timeout(DECISION_LIMIT, decided).await;
    is_left(follower)
}

/// Lists the prefix; the revision from which its changes are to be watched, or none
/// if they are left to relays.
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
        // What relays tell need not be read: a full listing by each of 985 nodes that
        // start at the same moment is 3.4 GB, half a minute of a link of 1 Gbit/s (by the
        // sizes of 3,000 instances' records, 1,000 groups and as many nodes).
        if leaves_to_relays(follower).await {
            return Ok(None);
        }
    }
    if contact.is_lost() && follower.is_sentinel() && is_first {
        await_store(store, prefix).await?;
    } else if contact.is_lost() && follower.is_sentinel() {
        // The cheapest way to see that the store is back.
        store.list_serializable(prefix, progress.silence).await?;
        // Where the first call is answered the store was not out: the relays are
        // the ones that don't hear it, and waiting for their word would make this
        // node's news a second older.
        if progress.lost_at.is_some() {
            follower.store_answers();
            if leaves_to_relays(follower).await {
                return Ok(None);
            }
        }
        // The others read at the same time: one after the other, a configuration
        // would come a listing later.
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
        // What a cut answer lacks is asked for at once: with a rest in between a node
        // before 3,000 instances would take in 250 heartbeats a second of 600, and fall
        // behind until the store's history is over.
    }
}

/// Asks whether the store is back for a node that cannot serve without: asks again
/// while earlier calls have no answer, and fails once none is under way.
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
