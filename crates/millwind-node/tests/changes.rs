//! Changes of the configuration against a store that loses answers, refuses
//! calls, and is changed by somebody else meanwhile.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use millwind_node::admin_change::{Change, ChangeError, change};
use millwind_node::config_watch::KeySpace;
use millwind_store::{
    Condition, Entry, Listing, Store, StoreError, StoreRevision, Swap, Watch, WatchReport, Write,
};

const TEMPLATE: &str = "name = \"t\"\n[parameters.weight]\ndefault = 1\nminimum = 1\nmaximum = 10\n";

#[derive(Default)]
struct Content {
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    /// Swaps that take effect without an answer.
    lose_answers: u32,
    /// Calls that are refused.
    refuse: u32,
    /// Changes by somebody else, each just before a swap.
    interfere: Vec<Write>,
    swaps: u32,
}

#[derive(Default)]
struct MemoryStore {
    content: Mutex<Content>,
}

struct NoWatch;

impl Watch for NoWatch {
    async fn next(&mut self) -> Result<WatchReport, StoreError> {
        Err(StoreError::WatchEnded("not watched".into()))
    }
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
        if content.refuse > 0 {
            content.refuse -= 1;
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
        if let Some(write) = content.interfere.pop() {
            content.write(&[write]);
        }
        let held = |key: &str| content.keys.get(key).map_or(0, |(_, revision)| *revision);
        if conditions
            .iter()
            .any(|condition| held(&condition.key) != condition.revision.number)
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
async fn a_lost_answer_is_recognised() {
    let store = MemoryStore::default();
    store.content().lose_answers = 1;
    let first = change(&store, &keys(), &template("c1", None))
        .await
        .expect("stored");
    let again = change(&store, &keys(), &template("c1", None))
        .await
        .expect("stored");
    assert_eq!(first, again);
    assert_eq!(store.content().swaps, 1, "the change was written once");
}

#[tokio::test(start_paused = true)]
async fn two_changes_from_the_same_revision_conflict() {
    let store = MemoryStore::default();
    let seen = change(&store, &keys(), &template("c0", None))
        .await
        .expect("stored");
    change(&store, &keys(), &template("c1", Some(seen)))
        .await
        .expect("stored");
    let error = change(&store, &keys(), &template("c2", Some(seen)))
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
async fn a_change_elsewhere_only_makes_it_check_again() {
    let store = MemoryStore::default();
    change(&store, &keys(), &template("c0", None))
        .await
        .expect("stored");
    let head = Write {
        key: keys().change_guard(),
        value: b"somebody".to_vec(),
    };
    store.content().interfere = vec![head];
    change(&store, &keys(), &template("c1", None))
        .await
        .expect("stored");
    assert_eq!(
        store.content().swaps,
        3,
        "one swap failed on the head key and was tried again"
    );
}

#[tokio::test(start_paused = true)]
async fn what_is_not_there_cannot_be_deleted() {
    let store = MemoryStore::default();
    let deleted = Change {
        body: None,
        ..template("c1", None)
    };
    let error = change(&store, &keys(), &deleted).await.expect_err("refused");
    assert_eq!(error.to_string(), "template/t: there is no such document");
    assert_eq!(store.content().swaps, 0);
}

#[tokio::test(start_paused = true)]
async fn refusals_are_paced_and_then_told_as_not_changed() {
    let store = MemoryStore::default();
    store.content().refuse = 3;
    change(&store, &keys(), &template("c1", None))
        .await
        .expect("stored after a while");
    store.content().refuse = u32::MAX;
    let error = change(&store, &keys(), &template("c2", None))
        .await
        .expect_err("unavailable");
    assert!(matches!(error, ChangeError::Unavailable(_)), "{error}");
}

#[tokio::test(start_paused = true)]
async fn what_others_rest_on_is_not_narrowed_or_deleted() {
    let store = MemoryStore::default();
    change(&store, &keys(), &template("c0", None))
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
        change(&store, &keys(), &wanted).await.expect("stored");
    }
    let narrowed = Change {
        body: Some(TEMPLATE.replace("maximum = 10", "maximum = 5")),
        ..template("c1", None)
    };
    let error = change(&store, &keys(), &narrowed).await.expect_err("refused");
    assert!(
        error.to_string().contains("Weight is 9, allowed 1 to 5"),
        "{error}"
    );
    let deleted = Change {
        body: None,
        ..template("c2", None)
    };
    let error = change(&store, &keys(), &deleted).await.expect_err("refused");
    assert!(
        error
            .to_string()
            .contains("template names \"t\", which does not exist"),
        "{error}"
    );
}
