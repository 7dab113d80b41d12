//! Simulation of large clusters: the control planes of many nodes run in one
//! process and exchange encoded messages over in-memory links in virtual time.
//!
//! The simulation measures messages and bytes by type, CPU time of the control
//! plane, and memory. Its events are configuration changes, a node failure and
//! restarts, the loss of the relays of a zone, a partitioned zone, partitioned
//! regions, and a platform outage.

mod network;
mod report;
mod simulation;

use serde::Serialize;

pub use report::{Load, MessageLoad, RoleLoad, SimulationReport};

/// Size of a simulated cluster.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct SimulationSize {
    /// Total number of nodes.
    pub nodes: usize,
    /// Total number of database instances, three per group.
    pub databases: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions; each region has consecutive zones.
    pub regions: usize,
    /// Virtual duration of the steady-state measurement, in seconds.
    pub seconds: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Simulates a cluster of this size and returns the measurements.
pub fn run(size: SimulationSize) -> SimulationReport {
    simulation::run(size)
}
