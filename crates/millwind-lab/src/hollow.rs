//! Hollow runs: the real control code of many nodes in one process, with
//! encoded messages over in-memory links and virtual time.
//!
//! Measured per node: messages and bytes by type, processor time spent in the
//! control plane, memory. Events: configuration changes, restarts, the loss of
//! a zone's relays, a zone and a region cut off.

mod network;
mod report;
mod scene;

use serde::Serialize;

pub use report::{HollowReport, Load, MessageLoad, RoleLoad};

/// Size of a hollow run.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct HollowSize {
    /// Nodes in all.
    pub nodes: usize,
    /// Database instances in all, three to a group.
    pub databases: usize,
    /// Zones.
    pub zones: usize,
    /// Regions; zones are dealt out among them.
    pub regions: usize,
    /// Virtual seconds of steady running.
    pub seconds: u64,
    /// Seed of all choices.
    pub seed: u64,
}

/// Runs a hollow deployment of this size.
pub fn run(size: HollowSize) -> HollowReport {
    scene::run(size)
}
