//! How nodes pass the system's own keys on to each other.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use millwind_engine::own_keys::SystemKeys;
use millwind_engine::store_watch::{CatalogSource, Follower};
use millwind_store::{Entry, Listing, StoreRevision};
use millwind_wire::exchange::{DocumentList, ExchangeReply, StoredDocument, encode_exchange};
use tokio::sync::watch;
use tokio::time::Instant;

/// Records all listings and changes that it receives.
#[derive(Default)]
struct RecordingFollower {
    listings: Mutex<Vec<Listing>>,
    changes: Mutex<Vec<Entry>>,
}

impl Follower for RecordingFollower {
    fn name(&self) -> &'static str {
        "recorder"
    }

    fn listed(&self, listing: Listing) {
        self.listings.lock().unwrap().push(listing);
    }

    fn changed(&self, entries: Vec<Entry>) {
        self.changes.lock().unwrap().extend(entries);
    }
}

fn own_keys() -> (SystemKeys, Arc<RecordingFollower>) {
    let follower = Arc::new(RecordingFollower::default());
    let (_, reads_store) = watch::channel(CatalogSource::Store);
    (SystemKeys::new(vec![follower.clone()], reads_store), follower)
}

/// Returns a revision of a store that was never restored.
fn first_era(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

fn documents_after(source: &SystemKeys, revision: StoreRevision) -> Vec<StoredDocument> {
    source.documents_after(revision).into_documents().unwrap()
}

fn entry(key: &str, value: Option<&str>, revision: u64) -> Entry {
    Entry {
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
        revision: first_era(revision),
    }
}

fn listing(revision: u64, entries: Vec<Entry>) -> Listing {
    Listing {
        revision: first_era(revision),
        entries,
    }
}

#[test]
fn a_node_without_documents_takes_those_of_a_peer_as_a_listing() {
    let (source, _) = own_keys();
    source.listed(listing(
        7,
        vec![entry("a", Some("1"), 3), entry("b", Some("2"), 5)],
    ));
    let (target, follower) = own_keys();
    target.apply_documents(
        documents_after(&source, StoreRevision::NONE),
        source.known_revision(),
    );
    assert_eq!(target.known_revision(), first_era(7));
    let listings = follower.listings.lock().unwrap();
    assert_eq!(listings.len(), 1);
    assert_eq!(listings[0].entries.len(), 2);
}

#[test]
fn only_changes_are_passed_on_and_only_once() {
    let (source, _) = own_keys();
    source.listed(listing(7, vec![entry("a", Some("1"), 3)]));
    let (target, follower) = own_keys();
    target.apply_documents(
        documents_after(&source, StoreRevision::NONE),
        source.known_revision(),
    );
    source.changed(vec![entry("b", Some("2"), 9)]);
    let changed_documents = documents_after(&source, target.known_revision());
    assert_eq!(changed_documents.len(), 1);
    target.apply_documents(changed_documents.clone(), source.known_revision());
    target.apply_documents(changed_documents, source.known_revision());
    assert_eq!(
        *follower.changes.lock().unwrap(),
        [entry("b", Some("2"), 9)],
        "the change is passed on once"
    );
    assert!(documents_after(&source, target.known_revision()).is_empty());
}

#[test]
fn a_key_missing_from_a_listing_is_reported_as_removed() {
    let (source, _) = own_keys();
    source.listed(listing(
        7,
        vec![entry("a", Some("1"), 3), entry("b", Some("2"), 5)],
    ));
    let (target, follower) = own_keys();
    target.apply_documents(
        documents_after(&source, StoreRevision::NONE),
        source.known_revision(),
    );
    source.listed(listing(12, vec![entry("b", Some("2"), 5)]));
    target.apply_documents(
        documents_after(&source, target.known_revision()),
        source.known_revision(),
    );
    assert_eq!(*follower.changes.lock().unwrap(), [entry("a", None, 12)]);
}

#[test]
fn an_older_listing_does_not_revert_changes() {
    let (keys, follower) = own_keys();
    keys.listed(listing(7, vec![entry("a", Some("1"), 3)]));
    keys.changed(vec![entry("a", Some("2"), 9)]);
    keys.listed(listing(8, vec![entry("a", Some("1"), 3)]));
    let listings = follower.listings.lock().unwrap();
    let last = listings.last().unwrap();
    assert_eq!(last.entries, [entry("a", Some("2"), 9)]);
    assert_eq!(keys.known_revision(), first_era(9));
}

#[test]
fn an_empty_reply_of_a_peer_changes_nothing() {
    let (target, follower) = own_keys();
    target.apply_documents(Vec::new(), StoreRevision::NONE);
    assert_eq!(target.known_revision(), first_era(0));
    assert!(follower.listings.lock().unwrap().is_empty());
}

/// Returns the encoded size of a catalog reply with `documents`, in bytes.
fn encoded_size(documents: DocumentList) -> usize {
    let answer = ExchangeReply::Catalog {
        config: Vec::new(),
        evacuations: Vec::new(),
        instances: DocumentList::default(),
        instances_revision: StoreRevision::NONE,
        own: documents,
        own_revision: StoreRevision::NONE,
        complete: 0,
        instances_age_ms: 0,
        config_age_ms: 0,
        own_age_ms: 0,
    };
    encode_exchange(&answer).unwrap().len()
}

fn node_entries(count: u64) -> Vec<Entry> {
    let node = |index: u64| {
        let record = format!(
            "{{\"peer_address\":\"10.{}.{}.7:8647\",\"zone\":\"zone-{}\",\"link_mbps\":20}}",
            index / 250,
            index % 250,
            index % 6
        );
        entry(
            &format!("nodes/zone-{}/node-{index}", index % 6),
            Some(&record),
            index + 1,
        )
    };
    (0..count).map(node).collect()
}

/// Bounds the load on a relay that sends all documents to many starting nodes.
#[test]
fn a_full_transfer_takes_less_than_a_quarter_of_the_uncompressed_size() {
    let (source, _) = own_keys();
    source.listed(listing(2_000, node_entries(1_000)));
    let uncompressed: usize = node_entries(1_000)
        .iter()
        .map(|entry| entry.key.len() + entry.value.as_ref().map_or(0, Vec::len))
        .sum();
    let encoded = encoded_size(source.documents_after(StoreRevision::NONE));
    assert!(
        encoded * 4 < uncompressed,
        "{encoded} encoded bytes for {uncompressed} bytes"
    );
    assert_eq!(documents_after(&source, StoreRevision::NONE).len(), 1_000);
}

#[test]
fn changes_after_packing_are_sent_with_the_packed_documents() {
    let (source, _) = own_keys();
    source.listed(listing(2_000, node_entries(100)));
    assert_eq!(documents_after(&source, StoreRevision::NONE).len(), 100);
    source.changed(vec![
        entry("nodes/zone-0/node-0", Some("new"), 2_001),
        entry("nodes/zone-1/node-1", None, 2_002),
    ]);
    let (target, follower) = own_keys();
    target.apply_documents(
        documents_after(&source, StoreRevision::NONE),
        source.known_revision(),
    );
    let listings = follower.listings.lock().unwrap();
    let entries = &listings[0].entries;
    assert_eq!(entries.len(), 99);
    let changed = entries.iter().find(|entry| entry.key == "nodes/zone-0/node-0");
    assert_eq!(changed.unwrap().value.as_deref(), Some("new".as_bytes()));
    // Many changes cause a repack, with the same result.
    let renewed = node_entries(100).into_iter().map(|held| Entry {
        revision: first_era(held.revision.number + 3_000),
        ..held
    });
    source.changed(renewed.collect());
    assert_eq!(documents_after(&source, StoreRevision::NONE).len(), 100);
    assert!(documents_after(&source, source.known_revision()).is_empty());
}

/// Returns the same entry with its revision in `era`.
fn in_era(era: u32, held: &Entry) -> Entry {
    Entry {
        revision: StoreRevision::new(era, held.revision.number),
        ..held.clone()
    }
}

#[test]
fn keys_lost_by_a_restore_are_removed_though_revisions_went_back() {
    let (keys, follower) = own_keys();
    let (kept, lost) = (entry("a", Some("old"), 40), entry("b", Some("lost"), 60));
    keys.listed(listing(70, vec![entry("a", Some("new"), 65), lost]));
    keys.listed(Listing {
        revision: StoreRevision::new(1, 50),
        entries: vec![in_era(1, &kept)],
    });
    assert_eq!(keys.known_revision(), StoreRevision::new(1, 50));
    let listings = follower.listings.lock().unwrap();
    assert_eq!(listings[1].entries, [in_era(1, &kept)]);
}

/// A node without access to the store learns of a restore from a peer, and documents from
/// before the restore are ignored.
#[test]
fn documents_of_a_later_era_replace_all_and_those_of_an_earlier_era_none() {
    let (restored, _) = own_keys();
    let kept = in_era(1, &entry("a", Some("old"), 40));
    restored.listed(Listing {
        revision: StoreRevision::new(1, 50),
        entries: vec![kept.clone()],
    });
    let (outdated, follower) = own_keys();
    outdated.listed(listing(
        70,
        vec![entry("a", Some("new"), 65), entry("b", Some("lost"), 60)],
    ));
    restored.apply_documents(
        documents_after(&outdated, restored.known_revision()),
        outdated.known_revision(),
    );
    assert_eq!(restored.known_revision(), StoreRevision::new(1, 50));
    outdated.apply_documents(
        documents_after(&restored, outdated.known_revision()),
        restored.known_revision(),
    );
    assert_eq!(outdated.known_revision(), StoreRevision::new(1, 50));
    let listings = follower.listings.lock().unwrap();
    assert_eq!(listings[1].entries, [kept]);
}

/// A listing reports removals at its own revision, which may equal that of the newest packed
/// document, and a peer may report an older document late.
#[test]
fn a_change_no_newer_than_the_packed_documents_is_sent_as_well() {
    let (source, _) = own_keys();
    source.listed(listing(100, node_entries(100)));
    let after = first_era(40);
    assert_eq!(documents_after(&source, StoreRevision::NONE).len(), 100);
    assert_eq!(documents_after(&source, after).len(), 60);
    // The next listing lacks one document, at the revision of the newest document.
    let mut present = node_entries(100);
    let gone = present.remove(50);
    source.listed(listing(100, present));
    for known in [StoreRevision::NONE, after] {
        let (target, follower) = own_keys();
        target.apply_documents(documents_after(&source, known), source.known_revision());
        let listings = follower.listings.lock().unwrap();
        let is_present = listings[0].entries.iter().any(|entry| entry.key == gone.key);
        assert!(!is_present, "{} is sent as present after {known}", gone.key);
    }
}

/// Longest time that a node waits for data read after its registration, if it reads the store.
const START_LIMIT: Duration = Duration::from_secs(1);

/// Guards against nodes that start together and wait for their permits until relays have read
/// the store again.
#[tokio::test(start_paused = true)]
async fn a_starting_node_that_needs_permits_reads_changes_again_soon() {
    let (keys, _) = own_keys();
    let keys = keys.with_quick_start();
    let started = Instant::now();
    keys.await_next_batch().await;
    keys.await_next_batch().await;
    assert!(started.elapsed() < START_LIMIT, "{:?}", started.elapsed());
    for _ in 0..8 {
        keys.await_next_batch().await;
    }
    let later = Instant::now();
    keys.await_next_batch().await;
    assert!(later.elapsed() >= START_LIMIT, "batches are long again");
}
