//! The order in which statements get turns to run at one instance.

use std::sync::Arc;
use std::time::Duration;

use millwind_core::concurrency_limit::ExecutionEnd;
use millwind_engine::backend::turns::{ExecutionSlot, StatementAdmission};
use millwind_engine::backend::{ExchangeError, Urgency};
use millwind_engine::clock;
use tokio::sync::mpsc;

const SLOTS: u32 = 2;

async fn take(turns: &Arc<StatementAdmission>, urgency: Urgency) -> Result<ExecutionSlot, ExchangeError> {
    let deadline = clock::now().plus_millis(1_000);
    turns.acquire(urgency, deadline, deadline).await
}

/// Takes all available turns.
async fn take_all(turns: &Arc<StatementAdmission>) -> Vec<ExecutionSlot> {
    let mut taken = Vec::new();
    for _ in 0..SLOTS {
        taken.push(take(turns, Urgency::Priority(1)).await.unwrap());
    }
    taken
}

/// Runs enough turns of `millis` for the mean turn time to approach that value.
async fn set_mean_turn_time(turns: &Arc<StatementAdmission>, millis: u64) {
    for _ in 0..60 {
        let turn = take(turns, Urgency::Priority(1)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(millis)).await;
        turn.end(ExecutionEnd::Ran);
    }
}

#[tokio::test]
async fn the_most_urgent_statement_gets_the_next_turn() {
    let turns = StatementAdmission::new(SLOTS);
    let mut taken = take_all(&turns).await;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let urgencies = [Urgency::Priority(2), Urgency::Priority(0), Urgency::InTransaction];
    for urgency in urgencies {
        let (turns, sender) = (turns.clone(), sender.clone());
        tokio::spawn(async move {
            let turn = take(&turns, urgency).await.unwrap();
            sender.send(urgency).unwrap();
            turn.end(ExecutionEnd::Ran);
        });
        tokio::task::yield_now().await;
    }
    taken.pop().unwrap().end(ExecutionEnd::Ran);
    for expected in [Urgency::InTransaction, Urgency::Priority(0), Urgency::Priority(2)] {
        assert_eq!(receiver.recv().await, Some(expected));
    }
}

#[tokio::test]
async fn a_statement_that_would_miss_its_deadline_is_refused_at_once() {
    let turns = StatementAdmission::new(SLOTS);
    set_mean_turn_time(&turns, 20).await;
    let _taken = take_all(&turns).await;
    let started = clock::now();
    let deadline = clock::now().plus_millis(5);
    let refused = turns.acquire(Urgency::Priority(1), deadline, deadline).await;
    assert_eq!(refused.err(), Some(ExchangeError::QueueTimeout));
    let deadline = clock::now().plus_millis(5);
    let in_transaction = turns.acquire(Urgency::InTransaction, deadline, deadline);
    assert_eq!(in_transaction.await.err(), Some(ExchangeError::QueueTimeout));
    assert!(
        clock::now().millis_since(started) >= 5,
        "a statement of an open transaction waits until its deadline"
    );
}

#[tokio::test]
async fn a_turn_of_a_timed_out_statement_goes_to_the_next() {
    let turns = StatementAdmission::new(SLOTS);
    let mut taken = take_all(&turns).await;
    let deadline = clock::now().plus_millis(10);
    let timed_out = turns.acquire(Urgency::Priority(0), deadline, deadline);
    assert!(timed_out.await.is_err());
    taken.pop().unwrap().end(ExecutionEnd::Rejected);
    taken.pop().unwrap().end(ExecutionEnd::Unknown);
    assert!(take(&turns, Urgency::Priority(1)).await.is_ok());
}

#[tokio::test]
async fn a_late_statement_waits_behind_a_statement_that_can_be_in_time() {
    let turns = StatementAdmission::new(SLOTS);
    set_mean_turn_time(&turns, 20).await;
    let mut taken = take_all(&turns).await;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let deadline = clock::now().plus_millis(2_000);
    for (name, target_ms) in [("late", 1), ("in time", 500)] {
        let (turns, sender) = (turns.clone(), sender.clone());
        let target = clock::now().plus_millis(target_ms);
        tokio::spawn(async move {
            let turn = turns
                .acquire(Urgency::Priority(1), target, deadline)
                .await
                .unwrap();
            sender.send(name).unwrap();
            turn.end(ExecutionEnd::Ran);
        });
        tokio::task::yield_now().await;
    }
    taken.pop().unwrap().end(ExecutionEnd::Ran);
    assert_eq!(receiver.recv().await, Some("in time"));
    assert_eq!(receiver.recv().await, Some("late"));
}
