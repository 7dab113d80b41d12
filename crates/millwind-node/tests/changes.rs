//! Configuration changes against a store that loses answers, rejects calls or is
//! written concurrently.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use millwind_node::admin_change::{Change, ChangeError, store_change};
use millwind_node::config_watch::KeySpace;
use millwind_store::{
    Condition, Entry, Listing, Store, StoreError, StoreRevision, Swap, Watch, WatchReport, Write,
};

const TEMPLATE: &str = "name = \"t\"\n[parameters.weight]\ndefault = 1\nminimum = 1\nmaximum = 10\n";

#[derive(Default)]
struct Content {
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    /// Number of next swaps that take effect but return no answer.
    lose_answers: u32,
    /// Number of next list calls that are rejected.
    reject: u32,
    /// Concurrent writes, each applied just before a swap.
    concurrent_writes: Vec<Write>,
    swaps: u32,
}

#[derive(Default)]
struct MemoryStore {
    content: Mutex<Content>,
}

/// A watch that ends at once; changes do not use watches.
struct NoWatch;

impl Watch for NoWatch {
    async fn next(&mut self) -> Result<WatchReport, StoreError> {
        Err(StoreError::WatchEnded("not watched".into()))
    }

    fn limit_wait(&mut self, _wait: Duration) {}
}

impl MemoryStore {
    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Content {
    fn write(&mut self, writes: &[Write]) {
        self.revision += 1;
        let revision = self.revision;
        for write in writes {
            self.keys
                .insert(write.key.clone(), (write.value.clone(), revision));
        }
    }
}

impl Store for MemoryStore {
    type Watch = NoWatch;

    async fn list(&self, prefix: &str, _silence: Duration) -> Result<Listing, StoreError> {
        let mut content = self.content();
        if content.reject > 0 {
            content.reject -= 1;
            return Err(StoreError::Refused("rate limit".into()));
        }
        let entries = content
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (value, revision))| Entry {
                key: key.clone(),
                value: Some(value.clone()),
                revision: StoreRevision::new(0, *revision),
            })
            .collect();
        Ok(Listing {
            revision: StoreRevision::new(0, content.revision),
            entries,
        })
    }

    async fn watch(&self, _prefix: &str, _revision: StoreRevision) -> Result<NoWatch, StoreError> {
        Ok(NoWatch)
    }

    async fn swap(&self, conditions: &[Condition], writes: &[Write]) -> Result<Swap, StoreError> {
        let mut content = self.content();
        content.swaps += 1;
        if let Some(write) = content.concurrent_writes.pop() {
            content.write(&[write]);
        }
        let current_revision_of = |key: &str| content.keys.get(key).map_or(0, |(_, revision)| *revision);
        if conditions
            .iter()
            .any(|condition| current_revision_of(&condition.key) != condition.revision.number)
        {
            return Ok(Swap::Conflict { current: Vec::new() });
        }
        content.write(writes);
        if content.lose_answers > 0 {
            content.lose_answers -= 1;
            return Err(StoreError::NoAnswer("lost".into()));
        }
        Ok(Swap::Done {
            revision: StoreRevision::new(0, content.revision),
        })
    }
}

fn keys() -> KeySpace {
    KeySpace::new("/m/")
}

fn template(change_id: &str, expected_revision: Option<u64>) -> Change {
    Change {
        key: "template/t".to_owned(),
        change_id: change_id.to_owned(),
        expected_revision,
        body: Some(TEMPLATE.to_owned()),
    }
}

#[tokio::test(start_paused = true)]
async fn a_retry_after_a_lost_answer_stores_nothing_new() {
    let store = MemoryStore::default();
    store.content().lose_answers = 1;
    let first = store_change(&store, &keys(), &template("c1", None))
        .await
        .expect("stored");
    let again = store_change(&store, &keys(), &template("c1", None))
        .await
        .expect("stored");
    assert_eq!(first, again);
    assert_eq!(store.content().swaps, 1, "the change was written once");
}

#[tokio::test(start_paused = true)]
async fn two_changes_from_the_same_revision_conflict() {
    let store = MemoryStore::default();
    let seen = store_change(&store, &keys(), &template("c0", None))
        .await
        .expect("stored");
    store_change(&store, &keys(), &template("c1", Some(seen)))
        .await
        .expect("stored");
    let error = store_change(&store, &keys(), &template("c2", Some(seen)))
        .await
        .expect_err("conflict");
    let ChangeError::Conflict {
        current_revision,
        current,
        wanted,
    } = error
    else {
        panic!("{error}");
    };
    assert!(current_revision > seen);
    assert_eq!((current.as_str(), wanted.as_str()), (TEMPLATE, TEMPLATE));
}

#[tokio::test(start_paused = true)]
async fn a_change_of_another_document_causes_a_retry() {
    let store = MemoryStore::default();
    store_change(&store, &keys(), &template("c0", None))
        .await
        .expect("stored");
    let head = Write {
        key: keys().change_guard(),
        value: b"another change".to_vec(),
    };
    store.content().concurrent_writes = vec![head];
    store_change(&store, &keys(), &template("c1", None))
        .await
        .expect("stored");
    assert_eq!(
        store.content().swaps,
        3,
        "one swap failed on the head key and was tried again"
    );
}

#[tokio::test(start_paused = true)]
async fn deleting_a_missing_document_fails() {
    let store = MemoryStore::default();
    let deleted = Change {
        body: None,
        ..template("c1", None)
    };
    let error = store_change(&store, &keys(), &deleted)
        .await
        .expect_err("refused");
    assert_eq!(error.to_string(), "template/t: there is no such document");
    assert_eq!(store.content().swaps, 0);
}

#[tokio::test(start_paused = true)]
async fn rejected_calls_are_retried_until_the_time_limit() {
    let store = MemoryStore::default();
    store.content().reject = 3;
    store_change(&store, &keys(), &template("c1", None))
        .await
        .expect("stored after retries");
    store.content().reject = u32::MAX;
    let error = store_change(&store, &keys(), &template("c2", None))
        .await
        .expect_err("unavailable");
    assert!(matches!(error, ChangeError::Unavailable(_)), "{error}");
}

#[tokio::test(start_paused = true)]
async fn a_template_in_use_cannot_be_narrowed_or_deleted() {
    let store = MemoryStore::default();
    store_change(&store, &keys(), &template("c0", None))
        .await
        .expect("stored");
    let group = "name = \"g\"\nuser = \"u\"\ndatabase = \"d\"\n[[instances]]\nname = \"i\"\naddress = \"127.0.0.1:1\"\nzone = \"z\"\nregion = \"r\"\nslots = 1\nconnections = 8\n";
    let tenant = "name = \"n\"\ntemplate = \"t\"\ngroup = \"g\"\n[parameters]\nweight = 9\n";
    for (key, body) in [("group/g", group), ("tenant/n", tenant)] {
        let wanted = Change {
            key: key.to_owned(),
            change_id: key.to_owned(),
            expected_revision: None,
            body: Some(body.to_owned()),
        };
        store_change(&store, &keys(), &wanted).await.expect("stored");
    }
    let narrowed = Change {
        body: Some(TEMPLATE.replace("maximum = 10", "maximum = 5")),
        ..template("c1", None)
    };
    let error = store_change(&store, &keys(), &narrowed)
        .await
        .expect_err("refused");
    assert!(
        error.to_string().contains("Weight is 9, allowed 1 to 5"),
        "{error}"
    );
    let deleted = Change {
        body: None,
        ..template("c2", None)
    };
    let error = store_change(&store, &keys(), &deleted)
        .await
        .expect_err("refused");
    assert!(
        error
            .to_string()
            .contains("template names \"t\", which does not exist"),
        "{error}"
    );
}
