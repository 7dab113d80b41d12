//! What a read must see, and the log position that guarantees it.

use std::sync::Arc;

use millwind_core::Instant;
use millwind_core::ids::GroupName;
use millwind_core::position::Position;

use crate::directory::Written;
use crate::node::Engine;

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
        engine: &Engine,
        group: &GroupName,
        deadline: Instant,
    ) -> Option<Position> {
        let known = self.known_position(engine, group);
        if known.is_some() {
            return known;
        }
        engine.wake_monitor();
        engine
            .directory
            .await_floor(group, self.arrived, self.staleness_ms, self.written, deadline)
            .await
    }
}
