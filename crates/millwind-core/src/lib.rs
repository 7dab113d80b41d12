//! Decision logic of the millwind database proxy, without I/O.
//!
//! Nothing in this crate opens a socket, reads a clock or spawns a task. Functions take
//! events and the current time, and return actions and reasons; the same input always
//! gives the same output. The daemon, the model checker and the capacity simulations
//! therefore run the same code.

pub mod admission;
pub mod affinity;
pub mod catalog_freshness;
pub mod catalog_relay;
pub mod classify;
pub mod concurrency_limit;
pub mod config_state;
pub mod confirmation;
pub mod connection_queue;
pub mod control;
pub mod credential;
pub mod data_residency;
pub mod eligibility;
pub mod error_kind;
pub mod evacuation;
pub mod failover;
pub mod freshness;
pub mod group_view;
pub mod ids;
pub mod incarnation;
pub mod invariant;
pub mod lead_permit;
pub mod lead_relocation;
pub mod leader_observation;
pub mod lender_lease;
pub mod lending;
pub mod membership;
pub mod outcome;
pub mod outlier;
pub mod owner_ranking;
pub mod owner_table;
pub mod placement;
pub mod position;
pub mod process_continuity;
pub mod quota;
pub mod registration;
pub mod retry;
pub mod routing;
pub mod selection;
pub mod session_commits;
pub mod session_progress;
pub mod session_state;
pub mod successor;
pub mod tenant;
pub mod token;
pub mod warm_up;

/// A point in time, in microseconds on the caller's monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time `millis` milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Instant(millis * 1_000)
    }

    /// Returns the time `millis` milliseconds after this one.
    pub const fn plus_millis(self, millis: u64) -> Self {
        Instant(self.0 + millis * 1_000)
    }

    /// Returns the whole milliseconds since `earlier`, or zero if `earlier` is later.
    pub const fn millis_since(self, earlier: Instant) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000
    }
}
