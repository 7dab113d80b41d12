//! When a store follower lists and watches its prefix, depending on `CatalogSource`.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use millwind_engine::store_watch::{CatalogSource, Follower, StoreContact, follow};
use millwind_store::{
    Condition, Entry, Listing, Store, StoreError, StoreRevision, Swap, Watch, WatchReport, Write,
};
use tokio::sync::watch;

/// Longest time that a follower waits for `CatalogSource` to be decided before it lists.
const DECISION_LIMIT: Duration = Duration::from_millis(500);
/// Duration of a listing.
const LISTING_TIME: Duration = Duration::from_millis(100);

/// A store with slow listings and with watches that never report.
#[derive(Default)]
struct SlowStore {
    watches: Arc<AtomicUsize>,
}

struct PendingWatch(Arc<AtomicUsize>);

impl Watch for PendingWatch {
    async fn next(&mut self) -> Result<WatchReport, StoreError> {
        self.0.fetch_add(1, Ordering::SeqCst);
        std::future::pending().await
    }

    fn limit_wait(&mut self, _wait: Duration) {}
}

impl Store for SlowStore {
    type Watch = PendingWatch;

    async fn list(&self, _prefix: &str, _silence: Duration) -> Result<Listing, StoreError> {
        tokio::time::sleep(LISTING_TIME).await;
        Ok(Listing {
            revision: StoreRevision::new(0, 1),
            entries: Vec::new(),
        })
    }

    async fn watch(&self, _prefix: &str, _revision: StoreRevision) -> Result<PendingWatch, StoreError> {
        Ok(PendingWatch(self.watches.clone()))
    }

    async fn swap(&self, _conditions: &[Condition], _writes: &[Write]) -> Result<Swap, StoreError> {
        Err(StoreError::Refused("the test store is read-only".to_owned()))
    }
}

/// Counts the listings that it receives.
struct CountingFollower {
    listings: AtomicUsize,
    reading: watch::Receiver<CatalogSource>,
}

impl Follower for CountingFollower {
    fn name(&self) -> &'static str {
        "counter"
    }

    fn listed(&self, _listing: Listing) {
        self.listings.fetch_add(1, Ordering::SeqCst);
    }

    fn changed(&self, _entries: Vec<Entry>) {}

    fn catalog_source(&self) -> Option<watch::Receiver<CatalogSource>> {
        Some(self.reading.clone())
    }
}

/// Guards against one catalog listing per node when all nodes of a fleet start together.
#[tokio::test(start_paused = true)]
async fn a_node_decided_not_to_be_a_relay_within_the_limit_lists_nothing() {
    let (reading_sender, reading) = watch::channel(CatalogSource::Undecided);
    let follower = Arc::new(CountingFollower {
        listings: AtomicUsize::new(0),
        reading,
    });
    let store = Arc::new(SlowStore::default());
    let contact = Arc::new(StoreContact::default());
    tokio::spawn(follow(store, "prefix".to_owned(), follower.clone(), contact));
    tokio::time::sleep(DECISION_LIMIT / 2).await;
    reading_sender.send_replace(CatalogSource::Relays);
    tokio::time::sleep(LISTING_TIME * 4 + DECISION_LIMIT).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 0, "listings");
}

#[tokio::test(start_paused = true)]
async fn a_first_listing_completes_after_reading_is_left_to_relays() {
    let (reading_sender, reading) = watch::channel(CatalogSource::Undecided);
    let follower = Arc::new(CountingFollower {
        listings: AtomicUsize::new(0),
        reading,
    });
    let store = Arc::new(SlowStore::default());
    let contact = Arc::new(StoreContact::default());
    tokio::spawn(follow(
        store.clone(),
        "prefix".to_owned(),
        follower.clone(),
        contact,
    ));
    tokio::time::sleep(DECISION_LIMIT + LISTING_TIME / 2).await;
    reading_sender.send_replace(CatalogSource::Relays);
    tokio::time::sleep(LISTING_TIME * 4).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 1, "listings");
    assert_eq!(store.watches.load(Ordering::SeqCst), 0, "watches");
    // The follower lists and watches once the node has to read the store.
    reading_sender.send_replace(CatalogSource::Store);
    tokio::time::sleep(LISTING_TIME * 4).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 2, "listings");
    assert_eq!(store.watches.load(Ordering::SeqCst), 1, "watches");
}

/// A sentinel that leaves reading to relays when the store becomes available again.
struct SentinelFollower {
    listings: AtomicUsize,
    reading: watch::Sender<CatalogSource>,
}

impl Follower for SentinelFollower {
    fn name(&self) -> &'static str {
        "sentinel"
    }

    fn listed(&self, _listing: Listing) {
        self.listings.fetch_add(1, Ordering::SeqCst);
    }

    fn changed(&self, _entries: Vec<Entry>) {}

    fn is_sentinel(&self) -> bool {
        true
    }

    fn store_answers(&self) {
        self.reading.send_replace(CatalogSource::Relays);
    }

    fn catalog_source(&self) -> Option<watch::Receiver<CatalogSource>> {
        Some(self.reading.subscribe())
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_with_outdated_relays_reads_an_available_store_at_once() {
    let follower = Arc::new(SentinelFollower {
        listings: AtomicUsize::new(0),
        reading: watch::Sender::new(CatalogSource::Undecided),
    });
    let contact = Arc::new(StoreContact::default());
    tokio::spawn(follow(
        Arc::new(SlowStore::default()),
        "prefix".to_owned(),
        follower.clone(),
        contact.clone(),
    ));
    tokio::time::sleep(DECISION_LIMIT + LISTING_TIME / 2).await;
    follower.reading.send_replace(CatalogSource::Relays);
    tokio::time::sleep(LISTING_TIME * 4).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 1, "listings");
    // The relays' data is outdated, while this node's own calls to the store never failed.
    contact.mark_lost();
    follower.reading.send_replace(CatalogSource::Store);
    tokio::time::sleep(LISTING_TIME * 4).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 2, "listings");
}
