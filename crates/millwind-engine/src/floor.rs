//! What a read must see, and the log position that guarantees it.

use std::sync::Arc;

use millwind_core::Instant;
use millwind_core::ids::GroupName;
use millwind_core::position::Position;

use crate::directory::Written;
use crate::node::Engine;
use crate::{clock, peers};

/// Between two rounds of questions to those who watch a group, in
/// milliseconds.
const OBSERVE_PAUSE_MS: u64 = 60;

/// What a read must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFloor {
    /// Nothing in particular.
    Any,
    /// The log must hold this position.
    Position(Position),
    /// Whoever runs it works the position out of the leader's positions that
    /// it has observed.
    Staleness(StalenessTerms),
}

/// Terms from which a read's position follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessTerms {
    /// A time no earlier than the arrival of the read.
    pub arrived: Instant,
    /// Staleness that it accepts, in milliseconds.
    pub staleness_ms: u64,
    /// The session's last commit.
    pub written: Option<Written>,
}

/// No leader's position became known in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoObservation;

impl ReadFloor {
    /// The position, waiting for an observation until `deadline` if need be.
    pub async fn resolve(
        &self,
        engine: &Arc<Engine>,
        group: &GroupName,
        deadline: Instant,
    ) -> Result<Option<Position>, NoObservation> {
        let terms = match self {
            ReadFloor::Any => return Ok(None),
            ReadFloor::Position(position) => return Ok(Some(*position)),
            ReadFloor::Staleness(terms) => terms,
        };
        let position = terms.await_position(engine, group, deadline).await;
        position.map(Some).ok_or(NoObservation)
    }
}

impl StalenessTerms {
    /// The position, if it follows from what has been observed.
    pub fn known_position(&self, engine: &Engine, group: &GroupName) -> Option<Position> {
        engine
            .directory
            .floor(group, self.arrived, self.staleness_ms, self.written)
    }

    /// The position, waiting for an observation until `deadline`.
    pub async fn await_position(
        &self,
        engine: &Arc<Engine>,
        group: &GroupName,
        deadline: Instant,
    ) -> Option<Position> {
        loop {
            let known = self.known_position(engine, group);
            if known.is_some() {
                return known;
            }
            if engine.watches(group) {
                engine.wake_monitor();
                return self.await_observation(engine, group, deadline).await;
            }
            // Those who watch the group have asked its leader, or will.
            peers::observe_leader(engine, group).await;
            let step = clock::now().plus_millis(OBSERVE_PAUSE_MS).min(deadline);
            let observed = self.await_observation(engine, group, step).await;
            if observed.is_some() || clock::now() >= deadline {
                return observed;
            }
        }
    }

    async fn await_observation(
        &self,
        engine: &Engine,
        group: &GroupName,
        deadline: Instant,
    ) -> Option<Position> {
        engine
            .directory
            .await_floor(group, self.arrived, self.staleness_ms, self.written, deadline)
            .await
    }
}
