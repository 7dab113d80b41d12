//! The system's own keys as nodes tell each other of them.

use std::sync::{Arc, Mutex};

use millwind_engine::own_keys::OwnKeys;
use millwind_engine::store_watch::{CatalogSource, Follower};
use millwind_store::{Entry, Listing, StoreRevision};
use millwind_wire::exchange::{DocumentList, ExchangeReply, StoredDocument, encode_exchange};
use tokio::sync::watch;

/// Notes what it is told.
#[derive(Default)]
struct Witness {
    listings: Mutex<Vec<Listing>>,
    changes: Mutex<Vec<Entry>>,
}

impl Follower for Witness {
    fn name(&self) -> &'static str {
        "witness"
    }

    fn listed(&self, listing: Listing) {
        self.listings.lock().unwrap().push(listing);
    }

    fn changed(&self, entries: Vec<Entry>) {
        self.changes.lock().unwrap().extend(entries);
    }
}

fn own_keys() -> (OwnKeys, Arc<Witness>) {
    let witness = Arc::new(Witness::default());
    let (_, reads_store) = watch::channel(CatalogSource::Store);
    (OwnKeys::new(vec![witness.clone()], reads_store), witness)
}

/// A revision of a store that was never restored.
fn plain(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

fn documents_after(teacher: &OwnKeys, revision: StoreRevision) -> Vec<StoredDocument> {
    teacher.documents_after(revision).into_documents().unwrap()
}

fn entry(key: &str, value: Option<&str>, revision: u64) -> Entry {
    Entry {
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
        revision: plain(revision),
    }
}

fn listing(revision: u64, entries: Vec<Entry>) -> Listing {
    Listing {
        revision: plain(revision),
        entries,
    }
}

#[test]
fn a_node_without_knowledge_takes_a_peers_as_a_listing() {
    let (teacher, _) = own_keys();
    teacher.listed(listing(
        7,
        vec![entry("a", Some("1"), 3), entry("b", Some("2"), 5)],
    ));
    let (pupil, witness) = own_keys();
    pupil.apply_documents(
        documents_after(&teacher, StoreRevision::NONE),
        teacher.known_revision(),
    );
    assert_eq!(pupil.known_revision(), plain(7));
    let listings = witness.listings.lock().unwrap();
    assert_eq!(listings.len(), 1);
    assert_eq!(listings[0].entries.len(), 2);
}

#[test]
fn only_what_changed_is_told_and_told_once() {
    let (teacher, _) = own_keys();
    teacher.listed(listing(7, vec![entry("a", Some("1"), 3)]));
    let (pupil, witness) = own_keys();
    pupil.apply_documents(
        documents_after(&teacher, StoreRevision::NONE),
        teacher.known_revision(),
    );
    teacher.changed(vec![entry("b", Some("2"), 9)]);
    let news = documents_after(&teacher, pupil.known_revision());
    assert_eq!(news.len(), 1);
    pupil.apply_documents(news.clone(), teacher.known_revision());
    pupil.apply_documents(news, teacher.known_revision());
    assert_eq!(
        *witness.changes.lock().unwrap(),
        [entry("b", Some("2"), 9)],
        "told once"
    );
    assert!(documents_after(&teacher, pupil.known_revision()).is_empty());
}

#[test]
fn a_key_that_a_listing_lacks_is_told_as_removed() {
    let (teacher, _) = own_keys();
    teacher.listed(listing(
        7,
        vec![entry("a", Some("1"), 3), entry("b", Some("2"), 5)],
    ));
    let (pupil, witness) = own_keys();
    pupil.apply_documents(
        documents_after(&teacher, StoreRevision::NONE),
        teacher.known_revision(),
    );
    teacher.listed(listing(12, vec![entry("b", Some("2"), 5)]));
    pupil.apply_documents(
        documents_after(&teacher, pupil.known_revision()),
        teacher.known_revision(),
    );
    assert_eq!(*witness.changes.lock().unwrap(), [entry("a", None, 12)]);
}

#[test]
fn an_older_listing_undoes_nothing() {
    let (keys, witness) = own_keys();
    keys.listed(listing(7, vec![entry("a", Some("1"), 3)]));
    keys.changed(vec![entry("a", Some("2"), 9)]);
    keys.listed(listing(8, vec![entry("a", Some("1"), 3)]));
    let listings = witness.listings.lock().unwrap();
    let last = listings.last().unwrap();
    assert_eq!(last.entries, [entry("a", Some("2"), 9)]);
    assert_eq!(keys.known_revision(), plain(9));
}

#[test]
fn a_peer_that_knows_nothing_teaches_nothing() {
    let (pupil, witness) = own_keys();
    pupil.apply_documents(Vec::new(), StoreRevision::NONE);
    assert_eq!(pupil.known_revision(), plain(0));
    assert!(witness.listings.lock().unwrap().is_empty());
}

/// Bytes of an answer that holds `documents`.
fn compressed_bytes(documents: DocumentList) -> usize {
    let answer = ExchangeReply::Catalog {
        config: Vec::new(),
        evacuations: Vec::new(),
        instances: DocumentList::default(),
        instances_revision: StoreRevision::NONE,
        own: documents,
        own_revision: StoreRevision::NONE,
        complete: 0,
        store_age_ms: 0,
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

/// After a common start each of 36 nodes asks a relay for all that it knows.
#[test]
fn a_node_that_knows_nothing_is_told_all_in_a_quarter_of_the_bytes() {
    let (teacher, _) = own_keys();
    teacher.listed(listing(2_000, node_entries(1_000)));
    let plain: usize = node_entries(1_000)
        .iter()
        .map(|entry| entry.key.len() + entry.value.as_ref().map_or(0, Vec::len))
        .sum();
    let travelling = compressed_bytes(teacher.documents_after(StoreRevision::NONE));
    assert!(travelling * 4 < plain, "{travelling} bytes for {plain}");
    assert_eq!(documents_after(&teacher, StoreRevision::NONE).len(), 1_000);
}

#[test]
fn what_changed_since_documents_were_packed_is_told_with_them() {
    let (teacher, _) = own_keys();
    teacher.listed(listing(2_000, node_entries(100)));
    assert_eq!(documents_after(&teacher, StoreRevision::NONE).len(), 100);
    teacher.changed(vec![
        entry("nodes/zone-0/node-0", Some("new"), 2_001),
        entry("nodes/zone-1/node-1", None, 2_002),
    ]);
    let (pupil, witness) = own_keys();
    pupil.apply_documents(
        documents_after(&teacher, StoreRevision::NONE),
        teacher.known_revision(),
    );
    let listings = witness.listings.lock().unwrap();
    let entries = &listings[0].entries;
    assert_eq!(entries.len(), 99);
    let changed = entries.iter().find(|entry| entry.key == "nodes/zone-0/node-0");
    assert_eq!(changed.unwrap().value.as_deref(), Some("new".as_bytes()));
    // Many changes are packed anew, with the same result.
    let renewed = node_entries(100).into_iter().map(|held| Entry {
        revision: plain(held.revision.number + 3_000),
        ..held
    });
    teacher.changed(renewed.collect());
    assert_eq!(documents_after(&teacher, StoreRevision::NONE).len(), 100);
    assert!(documents_after(&teacher, teacher.known_revision()).is_empty());
}

/// The same entry as a store tells it in a later era.
fn in_era(era: u32, held: &Entry) -> Entry {
    Entry {
        revision: StoreRevision::new(era, held.revision.number),
        ..held.clone()
    }
}

#[test]
fn what_a_restored_store_lacks_is_gone_though_its_revisions_went_back() {
    let (keys, witness) = own_keys();
    let (kept, lost) = (entry("a", Some("old"), 40), entry("b", Some("lost"), 60));
    keys.listed(listing(70, vec![entry("a", Some("new"), 65), lost]));
    keys.listed(Listing {
        revision: StoreRevision::new(1, 50),
        entries: vec![in_era(1, &kept)],
    });
    assert_eq!(keys.known_revision(), StoreRevision::new(1, 50));
    let listings = witness.listings.lock().unwrap();
    assert_eq!(listings[1].entries, [in_era(1, &kept)]);
}

/// A node that the store refuses hears of the restore from another one, and a node that
/// has not heard of it teaches nothing any more.
#[test]
fn news_of_a_later_era_replace_all_and_those_of_an_earlier_one_nothing() {
    let (restored, _) = own_keys();
    let kept = in_era(1, &entry("a", Some("old"), 40));
    restored.listed(Listing {
        revision: StoreRevision::new(1, 50),
        entries: vec![kept.clone()],
    });
    let (behind, witness) = own_keys();
    behind.listed(listing(
        70,
        vec![entry("a", Some("new"), 65), entry("b", Some("lost"), 60)],
    ));
    restored.apply_documents(
        documents_after(&behind, restored.known_revision()),
        behind.known_revision(),
    );
    assert_eq!(restored.known_revision(), StoreRevision::new(1, 50));
    behind.apply_documents(
        documents_after(&restored, behind.known_revision()),
        restored.known_revision(),
    );
    assert_eq!(behind.known_revision(), StoreRevision::new(1, 50));
    let listings = witness.listings.lock().unwrap();
    assert_eq!(listings[1].entries, [kept]);
}

/// A listing tells removals at its own revision, which may be that of the newest document;
/// and another node may tell of an older document late.
#[test]
fn a_document_that_is_no_newer_than_those_packed_is_told_as_well() {
    let (teacher, _) = own_keys();
    teacher.listed(listing(100, node_entries(100)));
    let after = plain(40);
    assert_eq!(documents_after(&teacher, StoreRevision::NONE).len(), 100);
    assert_eq!(documents_after(&teacher, after).len(), 60);
    // The store holds one less, as of the revision of the newest.
    let mut present = node_entries(100);
    let gone = present.remove(50);
    teacher.listed(listing(100, present));
    for known in [StoreRevision::NONE, after] {
        let (pupil, witness) = own_keys();
        pupil.apply_documents(documents_after(&teacher, known), teacher.known_revision());
        let listings = witness.listings.lock().unwrap();
        let is_there = listings[0].entries.iter().any(|entry| entry.key == gone.key);
        assert!(!is_there, "{} is told as present after {known}", gone.key);
    }
}
