//! What a node borrows of one lender, and those of its callers who wait for that.

use std::sync::{Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::lending::{Admission, Allowance, Loan};
use tokio::sync::Notify;

/// Loans at this node, and those who wait for one.
#[derive(Debug)]
pub(crate) struct Borrower {
    state: Mutex<BorrowerState>,
    /// A question for a loan was answered.
    pub(crate) answered: Notify,
}

#[derive(Debug)]
struct BorrowerState {
    allowance: Allowance,
    waiting: u32,
    is_asking: bool,
}

/// Somebody waits for a loan, until this is dropped.
pub(crate) struct Waiting<'a>(&'a Borrower);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.state().waiting -= 1;
    }
}

impl Borrower {
    /// Nothing is lent yet.
    pub(crate) fn new(allowance: Allowance) -> Self {
        let state = BorrowerState {
            allowance,
            waiting: 0,
            is_asking: false,
        };
        Borrower {
            state: Mutex::new(state),
            answered: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, BorrowerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that a caller asks for an operation.
    pub(crate) fn arrived(&self, now: Instant) {
        self.state().allowance.arrived(now);
    }

    /// Counts one who waits for the next answer.
    pub(crate) fn wait(&self) -> Waiting<'_> {
        self.state().waiting += 1;
        Waiting(self)
    }

    /// Admits one operation if there is a loan for it; true where the caller must ask
    /// for another loan, which it alone does.
    pub(crate) fn try_admit(&self, now: Instant) -> (Admission, bool) {
        let mut state = self.state();
        let admission = state.allowance.admit(now);
        let is_needed = admission == Admission::AskFirst
            || (admission == Admission::Admitted && state.allowance.is_low(now));
        let must_ask = is_needed && !state.is_asking;
        state.is_asking |= must_ask;
        (admission, must_ask)
    }

    /// How much to ask for at `now`.
    pub(crate) fn wanted(&self, now: Instant) -> u32 {
        let mut state = self.state();
        let waiting = state.waiting;
        state.allowance.wanted(waiting, now)
    }

    /// Takes in the answer to a question that was sent at `asked`.
    pub(crate) fn lent(&self, loan: Loan, asked: Instant, now: Instant) {
        let mut state = self.state();
        state.allowance.lent(loan, asked, now);
        state.is_asking = false;
        drop(state);
        self.answered.notify_waiters();
    }
}
