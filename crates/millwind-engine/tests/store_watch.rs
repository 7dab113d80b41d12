//! How a follower of the store starts.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use millwind_engine::store_watch::{CatalogSource, Follower, StoreContact, follow};
use millwind_store::{
    Condition, Entry, Listing, Store, StoreError, StoreRevision, Swap, Watch, WatchReport, Write,
};
use tokio::sync::watch;

/// A starting node waits so long for the decision whether it reads the store.
const DECISION_LIMIT: Duration = Duration::from_millis(500);
/// Time that a listing takes.
const LISTING: Duration = Duration::from_millis(100);

/// A store whose listings take their time and whose watches say nothing.
#[derive(Default)]
struct SlowStore {
    watches: Arc<AtomicUsize>,
}

struct SilentWatch(Arc<AtomicUsize>);

impl Watch for SilentWatch {
    async fn next(&mut self) -> Result<WatchReport, StoreError> {
        self.0.fetch_add(1, Ordering::SeqCst);
        std::future::pending().await
    }
}

impl Store for SlowStore {
    type Watch = SilentWatch;

    async fn list(&self, _prefix: &str, _silence: Duration) -> Result<Listing, StoreError> {
        tokio::time::sleep(LISTING).await;
        Ok(Listing {
            revision: StoreRevision::new(0, 1),
            entries: Vec::new(),
        })
    }

    async fn watch(&self, _prefix: &str, _revision: StoreRevision) -> Result<SilentWatch, StoreError> {
        Ok(SilentWatch(self.watches.clone()))
    }

    async fn swap(&self, _conditions: &[Condition], _writes: &[Write]) -> Result<Swap, StoreError> {
        Err(StoreError::Refused("not written to".to_owned()))
    }
}

/// Counts its listings.
struct Counter {
    listings: AtomicUsize,
    reading: watch::Receiver<CatalogSource>,
}

impl Follower for Counter {
    fn name(&self) -> &'static str {
        "counter"
    }

    fn listed(&self, _listing: Listing) {
        self.listings.fetch_add(1, Ordering::SeqCst);
    }

    fn changed(&self, _entries: Vec<Entry>) {}

    fn reads(&self) -> Option<watch::Receiver<CatalogSource>> {
        Some(self.reading.clone())
    }
}

/// A fleet that starts as a whole would else read the whole catalog once for each node.
#[tokio::test(start_paused = true)]
async fn a_node_that_turns_out_to_be_no_relay_in_time_lists_nothing() {
    let (decision, reading) = watch::channel(CatalogSource::Undecided);
    let follower = Arc::new(Counter {
        listings: AtomicUsize::new(0),
        reading,
    });
    let store = Arc::new(SlowStore::default());
    let contact = Arc::new(StoreContact::default());
    tokio::spawn(follow(store, "prefix".to_owned(), follower.clone(), contact));
    tokio::time::sleep(DECISION_LIMIT / 2).await;
    decision.send_replace(CatalogSource::Relays);
    tokio::time::sleep(LISTING * 4 + DECISION_LIMIT).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 0, "listings");
}

#[tokio::test(start_paused = true)]
async fn a_first_listing_is_not_given_up_when_the_node_turns_out_to_be_no_relay() {
    let (decision, reading) = watch::channel(CatalogSource::Undecided);
    let follower = Arc::new(Counter {
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
    tokio::time::sleep(DECISION_LIMIT + LISTING / 2).await;
    decision.send_replace(CatalogSource::Relays);
    tokio::time::sleep(LISTING * 4).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 1, "listings");
    assert_eq!(store.watches.load(Ordering::SeqCst), 0, "watches");
    // It reads on once it has to.
    decision.send_replace(CatalogSource::Store);
    tokio::time::sleep(LISTING * 4).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 2, "listings");
    assert_eq!(store.watches.load(Ordering::SeqCst), 1, "watches");
}

/// A sentinel that leaves the store to relays as soon as it hears that a store which
/// was out answers again.
struct Sentinel {
    listings: AtomicUsize,
    reading: watch::Sender<CatalogSource>,
}

impl Follower for Sentinel {
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

    fn reads(&self) -> Option<watch::Receiver<CatalogSource>> {
        Some(self.reading.subscribe())
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_whose_relays_have_no_news_reads_a_store_that_answers_it_at_once() {
    let follower = Arc::new(Sentinel {
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
    tokio::time::sleep(DECISION_LIMIT + LISTING / 2).await;
    follower.reading.send_replace(CatalogSource::Relays);
    tokio::time::sleep(LISTING * 4).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 1, "listings");
    // Its news have grown old; the store was never out for this node.
    contact.mark_lost();
    follower.reading.send_replace(CatalogSource::Store);
    tokio::time::sleep(LISTING * 4).await;
    assert_eq!(follower.listings.load(Ordering::SeqCst), 2, "listings");
}
