//! A node's loans for one resource, and the callers that wait for the next loan.

use std::sync::{Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::lending::{Admission, Allowance, Loan};
use tokio::sync::Notify;

/// The loans of this node for one resource and the callers that wait for more.
#[derive(Debug)]
pub(crate) struct Borrower {
    state: Mutex<BorrowerState>,
    /// Notified when a loan request is answered.
    pub(crate) answered: Notify,
}

#[derive(Debug)]
struct BorrowerState {
    allowance: Allowance,
    waiting: u32,
    is_request_pending: bool,
}

/// Guard that counts one caller as waiting for a loan until it is dropped.
pub(crate) struct WaiterGuard<'a>(&'a Borrower);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.state().waiting -= 1;
    }
}

impl Borrower {
    /// Creates a borrower without loans.
    pub(crate) fn new(allowance: Allowance) -> Self {
        let state = BorrowerState {
            allowance,
            waiting: 0,
            is_request_pending: false,
        };
        Borrower {
            state: Mutex::new(state),
            answered: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, BorrowerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a caller that requests an operation.
    pub(crate) fn count_request(&self, now: Instant) {
        self.state().allowance.count_request(now);
    }

    /// Counts a caller that waits for the next answer, until the guard is dropped.
    pub(crate) fn wait(&self) -> WaiterGuard<'_> {
        self.state().waiting += 1;
        WaiterGuard(self)
    }

    /// Admits one operation if a loan covers it. The returned flag is true if the caller
    /// must request another loan; only one request is in flight at a time.
    pub(crate) fn try_admit(&self, now: Instant) -> (Admission, bool) {
        let mut state = self.state();
        let admission = state.allowance.admit(now);
        let is_needed = admission == Admission::LoanRequired
            || (admission == Admission::Admitted && state.allowance.should_borrow_ahead(now));
        let must_ask = is_needed && !state.is_request_pending;
        state.is_request_pending |= must_ask;
        (admission, must_ask)
    }

    /// Returns the number of operations to request at `now`.
    pub(crate) fn wanted(&self, now: Instant) -> u32 {
        let mut state = self.state();
        let waiting = state.waiting;
        state.allowance.operations_to_request(waiting, now)
    }

    /// Applies the answer to a request sent at `asked` and wakes the waiting callers.
    pub(crate) fn record_answer(&self, loan: Loan, asked: Instant, now: Instant) {
        let mut state = self.state();
        state.allowance.record_loan(loan, asked, now);
        state.is_request_pending = false;
        drop(state);
        self.answered.notify_waiters();
    }
}
