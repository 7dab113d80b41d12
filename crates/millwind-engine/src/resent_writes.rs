//! Conditional writes to the store that are sent again when they get no answer.

use std::time::Duration;

use log::info;
use millwind_store::{Condition, Store, StoreError, Swap, Write};

/// Time after which the first attempt without an answer is sent again; several round trips
/// between regions. It doubles with each attempt.
const FIRST_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of attempts, which take 2.1 s in total.
const MAX_ATTEMPTS: u32 = 3;

/// Writes to the store if the conditions hold, and sends the write again when it gets no
/// answer. All attempts have the same conditions, which the first one that has an effect
/// invalidates. If that one got no answer, the result is a conflict with its own values.
///
/// Fails with [`StoreError::NoAnswer`] if no attempt gets an answer; the store may still carry
/// out one of them.
pub async fn swap<S: Store>(
    store: &S,
    conditions: &[Condition],
    writes: &[Write],
) -> Result<Swap, StoreError> {
    let mut timeout = FIRST_TIMEOUT;
    for _ in 1..MAX_ATTEMPTS {
        match tokio::time::timeout(timeout, store.swap(conditions, writes)).await {
            Ok(result) => return result,
            Err(_) => info!(
                "event=write_unanswered key={} ms={}",
                writes.first().map_or("none", |write| &write.key),
                timeout.as_millis()
            ),
        }
        timeout *= 2;
    }
    let last = tokio::time::timeout(timeout, store.swap(conditions, writes)).await;
    last.unwrap_or_else(|_| Err(StoreError::NoAnswer(format!("timed out {MAX_ATTEMPTS} times"))))
}
