//! FailoverOwnership before a store that is restored from older copies, again and again: tokens rise,
//! closed terms are written again by whoever knows them, and nobody is shut out for good.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::Term;
use millwind_engine::directory::Directory;
use millwind_engine::failover_ownership::{Claim, FailoverOwnership, FailoverRecord};
use millwind_engine::store_watch::Follower;
use millwind_store::{
    Condition, Entry, Listing, Store, StoreError, StoreRevision, Swap, Watch, WatchReport, Write,
};
use proptest::prelude::*;

const PREFIX: &str = "duty/";

#[derive(Debug, Clone, Default)]
struct Content {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    counter: u64,
}

#[derive(Debug, Default)]
struct Held {
    content: Content,
    copy: Content,
    era: u32,
}

/// A store that can be copied and restored.
#[derive(Debug, Default)]
struct RestoredStore(Mutex<Held>);

impl RestoredStore {
    fn copy(&self) {
        let mut held = self.0.lock().unwrap();
        held.copy = held.content.clone();
    }

    fn restore(&self) {
        let mut held = self.0.lock().unwrap();
        held.content = held.copy.clone();
        held.era += 1;
    }

    /// Other writers' changes move the counter on.
    fn written_elsewhere(&self, writes: u64) {
        self.0.lock().unwrap().content.counter += writes;
    }

    fn listing(&self) -> Listing {
        let held = self.0.lock().unwrap();
        let entry = |(key, (value, number)): (&String, &(Vec<u8>, u64))| Entry {
            key: key.clone(),
            value: Some(value.clone()),
            revision: StoreRevision::new(held.era, *number),
        };
        Listing {
            revision: StoreRevision::new(held.era, held.content.counter),
            entries: held.content.items.iter().map(entry).collect(),
        }
    }

    fn record(&self, key: &str) -> Option<FailoverRecord> {
        let held = self.0.lock().unwrap();
        let (value, _) = held.content.items.get(key)?;
        Some(serde_json::from_slice(value).unwrap())
    }
}

struct NoWatch;

impl Watch for NoWatch {
    async fn next(&mut self) -> Result<WatchReport, StoreError> {
        std::future::pending().await
    }
}

impl Store for RestoredStore {
    type Watch = NoWatch;

    async fn list(&self, _prefix: &str, _silence: Duration) -> Result<Listing, StoreError> {
        Ok(self.listing())
    }

    async fn watch(&self, _prefix: &str, _revision: StoreRevision) -> Result<NoWatch, StoreError> {
        Ok(NoWatch)
    }

    async fn swap(&self, conditions: &[Condition], writes: &[Write]) -> Result<Swap, StoreError> {
        let mut held = self.0.lock().unwrap();
        let era = held.era;
        for condition in conditions {
            let known = condition.revision;
            if !known.is_none() && known.era != era {
                return Err(StoreError::Restored {
                    known: known.era,
                    present: era,
                });
            }
            let present = held.content.items.get(&condition.key);
            if present.map_or(0, |(_, number)| *number) != known.number {
                let current = present.map(|(value, number)| Entry {
                    key: condition.key.clone(),
                    value: Some(value.clone()),
                    revision: StoreRevision::new(era, *number),
                });
                return Ok(Swap::Conflict {
                    current: current.into_iter().collect(),
                });
            }
        }
        held.content.counter += 1;
        let number = held.content.counter;
        for write in writes {
            held.content
                .items
                .insert(write.key.clone(), (write.value.clone(), number));
        }
        Ok(Swap::Done {
            revision: StoreRevision::new(era, number),
        })
    }
}

struct TestNode {
    duties: FailoverOwnership<RestoredStore>,
    directory: Arc<Directory>,
}

fn node(name: &str, store: &Arc<RestoredStore>) -> TestNode {
    let directory = Arc::new(Directory::new("zone", 0, false));
    TestNode {
        duties: FailoverOwnership::new(
            store.clone(),
            PREFIX.to_owned(),
            name.to_owned(),
            directory.clone(),
        ),
        directory,
    }
}

/// What happens, by which of the nodes.
#[derive(Debug, Clone, Copy)]
enum Step {
    Hold(usize),
    Close(usize, u64),
    Order(usize),
    Hear(usize),
    WrittenElsewhere(u64),
    Copy,
    Restore,
}

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0_usize..2;
    prop_oneof![
        node.clone().prop_map(Step::Hold),
        (node.clone(), 1_u64..20).prop_map(|(node, term)| Step::Close(node, term)),
        node.clone().prop_map(Step::Order),
        node.prop_map(Step::Hear),
        (1_u64..40).prop_map(Step::WrittenElsewhere),
        Just(Step::Copy),
        Just(Step::Restore),
    ]
}

fn replica() -> InstanceName {
    InstanceName::from("replica")
}

async fn play(nodes: &[TestNode; 2], store: &RestoredStore, group: &GroupName, step: Step) -> Option<u64> {
    let claimed = match step {
        Step::Hold(node) => (node, Claim::Hold),
        Step::Order(node) => (node, Claim::Promote(replica())),
        Step::Close(node, term) => {
            let claim = Claim::CloseTerm {
                chosen: replica(),
                term: Term(term),
                retired: None,
            };
            (node, claim)
        }
        Step::Hear(node) => {
            nodes[node].duties.listed(store.listing());
            return None;
        }
        Step::WrittenElsewhere(writes) => {
            store.written_elsewhere(writes);
            return None;
        }
        Step::Copy => {
            store.copy();
            return None;
        }
        Step::Restore => {
            store.restore();
            return None;
        }
    };
    nodes[claimed.0].duties.take(group, claimed.1).await.ok()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn tokens_rise_and_closed_terms_come_back(steps in prop::collection::vec(any_step(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let store = Arc::new(RestoredStore::default());
            let nodes = [node("a", &store), node("b", &store)];
            let group = GroupName::from("ledger");
            let mut newest = 0;
            for step in steps {
                if let Some(token) = play(&nodes, &store, &group, step).await {
                    prop_assert!(token > newest, "token {} after {}", token, newest);
                    newest = token;
                }
            }
            let known = nodes.iter().map(|node| node.directory.closed_terms(&group).closed());
            let closed = known.max().unwrap();
            // Each hears the store, and writes again what it lacks.
            for node in &nodes {
                node.duties.listed(store.listing());
                node.duties.restore(&group).await;
            }
            for node in &nodes {
                node.duties.listed(store.listing());
            }
            let held = store.record(&format!("{PREFIX}{group}")).map_or(Term(0), |record| record.closed_term);
            prop_assert!(held >= closed, "term {} is closed, the store holds {}", closed, held);
            for node in &nodes {
                prop_assert!(node.duties.lost_records().is_empty());
                prop_assert!(node.directory.closed_terms(&group).closed() >= closed);
            }
            // Nobody is shut out.
            let token = nodes[0].duties.take(&group, Claim::Hold).await;
            prop_assert!(token.is_ok_and(|token| token > newest));
            Ok(())
        })?;
    }
}
