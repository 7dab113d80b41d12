//! The system's own keys as nodes tell each other of them.

use std::sync::{Arc, Mutex};

use millwind_engine::own_keys::OwnKeys;
use millwind_engine::store_watch::{Follower, StoreReading};
use millwind_store::{Entry, Listing};
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
    let (_, reads_store) = watch::channel(StoreReading::Reading);
    (OwnKeys::new(vec![witness.clone()], reads_store), witness)
}

fn entry(key: &str, value: Option<&str>, revision: u64) -> Entry {
    Entry {
        key: key.to_owned(),
        value: value.map(|value| value.as_bytes().to_vec()),
        revision,
    }
}

fn listing(revision: u64, entries: Vec<Entry>) -> Listing {
    Listing { revision, entries }
}

#[test]
fn a_node_without_knowledge_takes_a_peers_as_a_listing() {
    let (teacher, _) = own_keys();
    teacher.listed(listing(
        7,
        vec![entry("a", Some("1"), 3), entry("b", Some("2"), 5)],
    ));
    let (pupil, witness) = own_keys();
    pupil.learn(teacher.documents_after(0), teacher.known_revision());
    assert_eq!(pupil.known_revision(), 7);
    let listings = witness.listings.lock().unwrap();
    assert_eq!(listings.len(), 1);
    assert_eq!(listings[0].entries.len(), 2);
}

#[test]
fn only_what_changed_is_told_and_told_once() {
    let (teacher, _) = own_keys();
    teacher.listed(listing(7, vec![entry("a", Some("1"), 3)]));
    let (pupil, witness) = own_keys();
    pupil.learn(teacher.documents_after(0), teacher.known_revision());
    teacher.changed(vec![entry("b", Some("2"), 9)]);
    let news = teacher.documents_after(pupil.known_revision());
    assert_eq!(news.len(), 1);
    pupil.learn(news.clone(), teacher.known_revision());
    pupil.learn(news, teacher.known_revision());
    assert_eq!(
        *witness.changes.lock().unwrap(),
        [entry("b", Some("2"), 9)],
        "told once"
    );
    assert!(teacher.documents_after(pupil.known_revision()).is_empty());
}

#[test]
fn a_key_that_a_listing_lacks_is_told_as_removed() {
    let (teacher, _) = own_keys();
    teacher.listed(listing(
        7,
        vec![entry("a", Some("1"), 3), entry("b", Some("2"), 5)],
    ));
    let (pupil, witness) = own_keys();
    pupil.learn(teacher.documents_after(0), teacher.known_revision());
    teacher.listed(listing(12, vec![entry("b", Some("2"), 5)]));
    pupil.learn(
        teacher.documents_after(pupil.known_revision()),
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
    assert_eq!(keys.known_revision(), 9);
}

#[test]
fn a_peer_that_knows_nothing_teaches_nothing() {
    let (pupil, witness) = own_keys();
    pupil.learn(Vec::new(), 0);
    assert_eq!(pupil.known_revision(), 0);
    assert!(witness.listings.lock().unwrap().is_empty());
}
