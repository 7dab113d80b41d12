//! Records the attempts of a statement for the request log.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_core::position::Position;

use crate::clock;

/// Maximum number of attempts recorded per statement; further ones are only counted.
const MAX_LOGGED_ATTEMPTS: usize = 8;

/// The outcome of an attempt on one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Attempt {
    instance: InstanceName,
    outcome: &'static str,
    ended_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    started: Instant,
    floor: Option<Position>,
    attempts: Vec<Attempt>,
    count: usize,
}

/// The attempts of a session's current statement, shared by its clones.
#[derive(Debug, Clone, Default)]
pub(super) struct AttemptLog(Arc<Mutex<State>>);

impl AttemptLog {
    /// Creates an empty log for a statement that starts now.
    pub(super) fn begin() -> Self {
        let state = State {
            started: clock::now(),
            ..State::default()
        };
        AttemptLog(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the log position that the read requires.
    pub(super) fn set_floor(&self, floor: Position) {
        self.state().floor = Some(floor);
    }

    /// Records the end of an attempt on `instance`.
    pub(super) fn record(&self, instance: &InstanceName, outcome: &'static str) {
        let mut state = self.state();
        state.count += 1;
        if state.attempts.len() < MAX_LOGGED_ATTEMPTS {
            let ended_ms = clock::now().millis_since(state.started);
            state.attempts.push(Attempt {
                instance: instance.clone(),
                outcome,
                ended_ms,
            });
        }
    }

    /// Returns the number of attempts that have ended.
    pub(super) fn count(&self) -> usize {
        self.state().count
    }
}

impl fmt::Display for AttemptLog {
    /// `floor=TERM:NUMBER attempts=N tried=INSTANCE:OUTCOME@MS,…`
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = self.state();
        match state.floor {
            Some(floor) => write!(formatter, "floor={}:{}", floor.term.0, floor.log_position.0)?,
            None => formatter.write_str("floor=none")?,
        }
        write!(formatter, " attempts={} tried=", state.count)?;
        if state.attempts.is_empty() {
            return formatter.write_str("none");
        }
        for (index, attempt) in state.attempts.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(
                formatter,
                "{comma}{}:{}@{}",
                attempt.instance, attempt.outcome, attempt.ended_ms
            )?;
        }
        Ok(())
    }
}
