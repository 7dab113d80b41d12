//! The minimum log position of a read, and how it follows from the read's consistency.

use std::sync::Arc;

use millwind_core::Instant;
use millwind_core::ids::GroupName;
use millwind_core::position::Position;
use millwind_core::session_commits::{OwnCommits, SessionCommit};

use crate::node::Engine;
use crate::{clock, peers};

/// Interval between two rounds of requests to the nodes that watch a group, in
/// milliseconds.
const OBSERVATION_RETRY_MS: u64 = 60;

/// The minimum log position that an instance must have applied to serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MinimumReadPosition {
    /// Any position.
    Any,
    /// At least this position.
    Position(Position),
    /// A position that the executing node derives from the leader positions it has
    /// observed.
    Staleness(StalenessBound),
}

/// The parameters from which the minimum position of a read is derived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBound {
    /// A time at or after the arrival of the read.
    pub arrived: Instant,
    /// Staleness that the read accepts, in milliseconds.
    pub staleness_ms: u64,
    /// The last commit of the session in the group.
    pub written: Option<SessionCommit>,
}

/// No sufficiently recent position of the leader was observed before the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoObservation;

impl MinimumReadPosition {
    /// Returns the minimum position, or `None` if any position is sufficient. Waits for an
    /// observation of the leader until `deadline` if necessary, and fails without one.
    pub async fn resolve(
        &self,
        engine: &Arc<Engine>,
        group: &GroupName,
        deadline: Instant,
    ) -> Result<Option<Position>, NoObservation> {
        let bound = match self {
            MinimumReadPosition::Any => return Ok(None),
            MinimumReadPosition::Position(position) => return Ok(Some(*position)),
            MinimumReadPosition::Staleness(bound) => bound,
        };
        let position = bound.await_position(engine, group, deadline).await;
        position.map(Some).ok_or(NoObservation)
    }
}

impl StalenessBound {
    /// Returns the bound of a read that arrived at `arrived`, accepts a staleness of
    /// `staleness_ms` and must see `own`.
    ///
    /// Commits at unknown positions are covered by what the leader reports after them, so the
    /// read then accepts no more staleness than the time since.
    pub fn new(arrived: Instant, staleness_ms: u64, own: OwnCommits) -> Self {
        let (staleness_ms, written) = match own {
            OwnCommits::None => (staleness_ms, None),
            OwnCommits::Last(commit) => (staleness_ms, Some(commit)),
            OwnCommits::Until(acknowledged) => (staleness_ms.min(arrived.millis_since(acknowledged)), None),
        };
        StalenessBound {
            arrived,
            staleness_ms,
            written,
        }
    }

    /// Returns the minimum position if it follows from the observations so far.
    pub fn known_position(&self, engine: &Engine, group: &GroupName) -> Option<Position> {
        engine
            .directory
            .floor(group, self.arrived, self.staleness_ms, self.written)
    }

    /// Returns the minimum position, waiting for an observation until `deadline`, or `None`
    /// if no observation is made in time.
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
            // The nodes that watch the group query its leader regularly.
            peers::refresh_leader_report(engine, group).await;
            let retry_at = clock::now().plus_millis(OBSERVATION_RETRY_MS).min(deadline);
            let observed = self.await_observation(engine, group, retry_at).await;
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
