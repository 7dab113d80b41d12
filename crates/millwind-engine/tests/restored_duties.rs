//! Duty records in a store that is repeatedly restored from backups: fencing tokens keep
//! rising, closed terms are written back, and every node can take the duty again.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::Term;
use millwind_core::registration::ProcessId;
use millwind_engine::directory::Directory;
use millwind_engine::failover_ownership::{Claim, FailoverOwnership, FailoverRecord};
use millwind_engine::store_watch::Follower;
use millwind_store::{
    Condition, Entry, Listing, Store, StoreError, StoreRevision, Swap, Watch, WatchReport, Write,
};
use proptest::prelude::*;

const PREFIX: &str = "duty/";

#[derive(Debug, Clone, Default)]
struct StoreContent {
    values: BTreeMap<String, (Vec<u8>, u64)>,
    last_revision: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    content: StoreContent,
    backup: StoreContent,
    era: u32,
    /// Number of writes that get no answer.
    lost_answers: usize,
}

/// An in-memory store that can be backed up and restored.
#[derive(Debug, Default)]
struct RestorableStore(Mutex<StoreState>);

impl RestorableStore {
    fn back_up(&self) {
        let mut state = self.0.lock().unwrap();
        state.backup = state.content.clone();
    }

    fn restore(&self) {
        let mut state = self.0.lock().unwrap();
        state.content = state.backup.clone();
        state.era += 1;
    }

    fn lose_answers(&self, count: usize) {
        self.0.lock().unwrap().lost_answers = count;
    }

    /// Advances the revision as if other clients had written `writes` times.
    fn advance_revision(&self, writes: u64) {
        self.0.lock().unwrap().content.last_revision += writes;
    }

    /// Carries out a write. Returns `None` if it gets no answer.
    fn write(&self, conditions: &[Condition], writes: &[Write]) -> Option<Result<Swap, StoreError>> {
        let mut state = self.0.lock().unwrap();
        let era = state.era;
        for condition in conditions {
            let known = condition.revision;
            if !known.is_none() && known.era != era {
                return Some(Err(StoreError::Restored {
                    known: known.era,
                    present: era,
                }));
            }
            let present = state.content.values.get(&condition.key);
            if present.map_or(0, |(_, number)| *number) != known.number {
                let current = present.map(|(value, number)| Entry {
                    key: condition.key.clone(),
                    value: Some(value.clone()),
                    revision: StoreRevision::new(era, *number),
                });
                return Some(Ok(Swap::Conflict {
                    current: current.into_iter().collect(),
                }));
            }
        }
        state.content.last_revision += 1;
        let number = state.content.last_revision;
        for write in writes {
            state
                .content
                .values
                .insert(write.key.clone(), (write.value.clone(), number));
        }
        if state.lost_answers > 0 {
            state.lost_answers -= 1;
            return None;
        }
        Some(Ok(Swap::Done {
            revision: StoreRevision::new(era, number),
        }))
    }

    fn listing(&self) -> Listing {
        let state = self.0.lock().unwrap();
        let entry = |(key, (value, number)): (&String, &(Vec<u8>, u64))| Entry {
            key: key.clone(),
            value: Some(value.clone()),
            revision: StoreRevision::new(state.era, *number),
        };
        Listing {
            revision: StoreRevision::new(state.era, state.content.last_revision),
            entries: state.content.values.iter().map(entry).collect(),
        }
    }

    fn record(&self, key: &str) -> Option<FailoverRecord> {
        let state = self.0.lock().unwrap();
        let (value, _) = state.content.values.get(key)?;
        Some(serde_json::from_slice(value).unwrap())
    }
}

struct PendingWatch;

impl Watch for PendingWatch {
    async fn next(&mut self) -> Result<WatchReport, StoreError> {
        std::future::pending().await
    }

    fn limit_wait(&mut self, _wait: Duration) {}
}

impl Store for RestorableStore {
    type Watch = PendingWatch;

    async fn list(&self, _prefix: &str, _silence: Duration) -> Result<Listing, StoreError> {
        Ok(self.listing())
    }

    async fn watch(&self, _prefix: &str, _revision: StoreRevision) -> Result<PendingWatch, StoreError> {
        Ok(PendingWatch)
    }

    async fn swap(&self, conditions: &[Condition], writes: &[Write]) -> Result<Swap, StoreError> {
        match self.write(conditions, writes) {
            Some(result) => result,
            None => std::future::pending().await,
        }
    }
}

struct TestNode {
    duties: FailoverOwnership<RestorableStore>,
    directory: Arc<Directory>,
}

fn node(name: &str, store: &Arc<RestorableStore>) -> TestNode {
    let directory = Arc::new(Directory::new("zone", 0, false));
    TestNode {
        duties: FailoverOwnership::new(
            store.clone(),
            PREFIX.to_owned(),
            name.to_owned(),
            ProcessId::random(),
            directory.clone(),
        ),
        directory,
    }
}

/// A step of the test. A `usize` is the index of the node that takes the step.
#[derive(Debug, Clone, Copy)]
enum Step {
    Hold(usize),
    Close(usize, u64),
    Order(usize),
    Relist(usize),
    AdvanceRevision(u64),
    BackUp,
    Restore,
}

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0_usize..2;
    prop_oneof![
        node.clone().prop_map(Step::Hold),
        (node.clone(), 1_u64..20).prop_map(|(node, term)| Step::Close(node, term)),
        node.clone().prop_map(Step::Order),
        node.prop_map(Step::Relist),
        (1_u64..40).prop_map(Step::AdvanceRevision),
        Just(Step::BackUp),
        Just(Step::Restore),
    ]
}

fn replica() -> InstanceName {
    InstanceName::from("replica")
}

async fn run_step(
    nodes: &[TestNode; 2],
    store: &RestorableStore,
    group: &GroupName,
    step: Step,
) -> Option<u64> {
    let attempt = match step {
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
        Step::Relist(node) => {
            nodes[node].duties.listed(store.listing());
            return None;
        }
        Step::AdvanceRevision(writes) => {
            store.advance_revision(writes);
            return None;
        }
        Step::BackUp => {
            store.back_up();
            return None;
        }
        Step::Restore => {
            store.restore();
            return None;
        }
    };
    nodes[attempt.0].duties.take(group, attempt.1).await.ok()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn tokens_rise_and_closed_terms_are_restored(steps in prop::collection::vec(any_step(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        runtime.block_on(async {
            let store = Arc::new(RestorableStore::default());
            let nodes = [node("a", &store), node("b", &store)];
            let group = GroupName::from("ledger");
            let mut newest_token = 0;
            for step in steps {
                if let Some(token) = run_step(&nodes, &store, &group, step).await {
                    prop_assert!(token > newest_token, "token {} after {}", token, newest_token);
                    newest_token = token;
                }
            }
            let known = nodes.iter().map(|node| node.directory.closed_terms(&group).closed());
            let closed = known.max().unwrap();
            // Each node lists the store and writes back the records that the store lost.
            for node in &nodes {
                node.duties.listed(store.listing());
                node.duties.restore(&group).await;
            }
            for node in &nodes {
                node.duties.listed(store.listing());
            }
            let stored = store.record(&format!("{PREFIX}{group}")).map_or(Term(0), |record| record.closed_term);
            prop_assert!(stored >= closed, "term {} is closed, but the store records {}", closed, stored);
            for node in &nodes {
                prop_assert!(node.duties.lost_records().is_empty());
                prop_assert!(node.directory.closed_terms(&group).closed() >= closed);
            }
            // A node can still take the duty, with a higher token.
            let token = nodes[0].duties.take(&group, Claim::Hold).await;
            prop_assert!(token.is_ok_and(|token| token > newest_token));
            Ok(())
        })?;
    }
}

/// Returns the next process of the node `name`, which has read the store.
fn next_process(name: &str, store: &Arc<RestorableStore>) -> TestNode {
    let next = node(name, store);
    next.duties.listed(store.listing());
    next
}

/// Guards against two orders of one token: an order of the former process may still be carried
/// out, and only a higher token fences it.
#[tokio::test]
async fn a_restarted_holder_does_not_use_the_token_of_the_process_before_it() {
    let store = Arc::new(RestorableStore::default());
    let group = GroupName::from("ledger");
    let former = node("a", &store);
    let token = former
        .duties
        .take(&group, Claim::Promote(replica()))
        .await
        .unwrap();
    assert_eq!(former.duties.held_token(&group), Some(token));
    let next = next_process("a", &store);
    assert_eq!(next.duties.held_token(&group), None);
    assert!(next.duties.is_holder(&group));
    next.duties.claim_in_advance(&group).await;
    assert!(next.duties.held_token(&group) > Some(token));
    assert!(!next.duties.needs_claim(&group));
    let record = store.record(&format!("{PREFIX}{group}")).unwrap();
    assert_eq!(
        (record.chosen, record.is_ordered),
        (Some(replica()), true),
        "the order may be open"
    );
}

/// Guards against a token of a claim that the store carried out after the process had ended.
#[tokio::test]
async fn a_late_claim_of_the_process_before_gives_no_token() {
    let store = Arc::new(RestorableStore::default());
    let group = GroupName::from("ledger");
    let next = next_process("a", &store);
    let former = node("a", &store);
    former.duties.take(&group, Claim::Hold).await.unwrap();
    next.duties.listed(store.listing());
    assert_eq!(next.duties.held_token(&group), None);
    assert!(next.duties.needs_claim(&group));
}

#[tokio::test]
async fn a_claim_that_is_read_again_keeps_its_token() {
    let store = Arc::new(RestorableStore::default());
    let group = GroupName::from("ledger");
    let node = next_process("a", &store);
    let token = node.duties.take(&group, Claim::Hold).await.unwrap();
    node.duties.listed(store.listing());
    assert_eq!(node.duties.held_token(&group), Some(token));
}

#[tokio::test]
async fn a_resumed_duty_does_not_hold_up_other_nodes() {
    let store = Arc::new(RestorableStore::default());
    let group = GroupName::from("ledger");
    let former = node("a", &store);
    former
        .duties
        .take(&group, Claim::Promote(replica()))
        .await
        .unwrap();
    next_process("a", &store).duties.claim_in_advance(&group).await;
    let other = next_process("b", &store);
    assert!(!other.duties.has_recent_promotion_by_other(&group));
    assert!(!other.duties.needs_claim(&group));
}

/// Guards against a failover that stands still, because the store has done a claim without an
/// answer and the next attempt takes it for the claim of another node.
#[tokio::test(start_paused = true)]
async fn a_claim_without_an_answer_is_sent_again_and_recognised() {
    let store = Arc::new(RestorableStore::default());
    let group = GroupName::from("ledger");
    let node = next_process("a", &store);
    store.lose_answers(1);
    let started = tokio::time::Instant::now();
    let token = node.duties.take(&group, Claim::Promote(replica())).await.unwrap();
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(token, 1, "one attempt had an effect");
    assert_eq!(node.duties.held_token(&group), Some(token));
}

/// Guards against taking an equal claim of another process of the node for the own one.
#[tokio::test(start_paused = true)]
async fn an_equal_claim_of_the_process_before_is_a_conflict() {
    let store = Arc::new(RestorableStore::default());
    let group = GroupName::from("ledger");
    let next = next_process("a", &store);
    let former = node("a", &store);
    former
        .duties
        .take(&group, Claim::Promote(replica()))
        .await
        .unwrap();
    let claim = next.duties.take(&group, Claim::Promote(replica())).await;
    assert!(claim.is_err(), "{claim:?}");
    assert_eq!(next.duties.held_token(&group), None);
}
