//! What was tried for one statement, for the log.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_core::position::Position;

use crate::clock;

/// Attempts kept of one statement; later ones are only counted.
const KEPT_ATTEMPTS: usize = 8;

/// One attempt on one instance.
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

/// The attempts of the statement that a session is at.
#[derive(Debug, Clone, Default)]
pub(super) struct Trail(Arc<Mutex<State>>);

impl Trail {
    /// The trail of a statement that begins now.
    pub(super) fn begin() -> Self {
        let state = State {
            started: clock::now(),
            ..State::default()
        };
        Trail(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The position that the read needs.
    pub(super) fn needs(&self, floor: Position) {
        self.state().floor = Some(floor);
    }

    /// An attempt on `instance` ended.
    pub(super) fn tried(&self, instance: &InstanceName, outcome: &'static str) {
        let mut state = self.state();
        state.count += 1;
        if state.attempts.len() < KEPT_ATTEMPTS {
            let ended_ms = clock::now().millis_since(state.started);
            state.attempts.push(Attempt {
                instance: instance.clone(),
                outcome,
                ended_ms,
            });
        }
    }

    /// Attempts that ended.
    pub(super) fn count(&self) -> usize {
        self.state().count
    }
}

impl fmt::Display for Trail {
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
