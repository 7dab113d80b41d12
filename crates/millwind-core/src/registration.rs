//! Which process of a node a record in the store speaks for.
//!
//! The key of a record names a node, but lead permits are held by processes, and a node is a
//! series of processes: every restart begins a new one, and a replaced machine begins one at
//! another address while the last one may still run. The store may also carry out a write
//! seconds after the process that sent it has ended. Therefore:
//!
//! - A record speaks only for the process that it names. A process gets lead permits only while
//!   the store holds a record that names it as present.
//! - Every process writes a record of its own before it gets permits. All writes of a record
//!   depend on its last revision, so that late writes of earlier processes, and marks meant for
//!   those, no longer have an effect.
//! - A stop notice ends the permits of the process that it names, and no others. A notice
//!   without a process was written by an older version, perhaps for an earlier process.
//! - A process that listens on an address is the only one there. A replaced record with another
//!   address may be of a process that still runs, so the new record names that address as well.
//!   The process there gets no new permits, and leaves the record to the later process.
//! - Permits expire relative to the time at which a revision was seen first, since an equal
//!   record of another revision is another write.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::lead_permit::PERMIT_MS;

/// Random identifier of one process of a node. A restarted node keeps its name and gets a new
/// identifier.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProcessId(String);

impl ProcessId {
    /// Returns a new random identifier.
    pub fn random() -> Self {
        ProcessId(format!("{:016x}", rand::random::<u64>()))
    }

    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// How a process left the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Departure {
    /// The process announced a planned stop.
    Stopped,
    /// Other nodes could not reach the process for several seconds.
    Unreachable,
}

/// The part of a node's record that is about its processes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Registration {
    /// The process that the record speaks for; `None` where promotions fence, and in records of
    /// older versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process: Option<ProcessId>,
    /// How the process left the deployment, or `None` while it is present.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departure: Option<Departure>,
    /// Addresses of earlier processes of the node that may still run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub predecessors: Vec<SocketAddr>,
}

impl Registration {
    /// Returns the registration of a process that is present.
    pub const fn of(process: Option<ProcessId>) -> Self {
        Registration {
            process,
            departure: None,
            predecessors: Vec::new(),
        }
    }

    /// Returns the process for log lines; `none` without one.
    pub fn process_name(&self) -> &str {
        self.process.as_ref().map_or("none", ProcessId::as_str)
    }

    /// Returns whether the record registers `process`, so that it may get lead permits.
    pub fn registers(&self, process: Option<&ProcessId>) -> bool {
        self.departure.is_none() && self.process.as_ref() == process
    }

    /// Returns whether the record is the stop notice of `process`.
    pub fn is_stop_of(&self, process: Option<&ProcessId>) -> bool {
        self.departure == Some(Departure::Stopped) && self.process.as_ref() == process
    }

    /// Returns whether the process may hold lead permits `seen_ms` milliseconds after this
    /// revision of the record was seen first.
    pub fn may_hold_permits(&self, seen_ms: u64) -> bool {
        match self.departure {
            None => true,
            Some(_) => !self.is_stop_of_named_process() && seen_ms < PERMIT_MS,
        }
    }

    /// Returns the addresses of earlier processes that may hold lead permits `seen_ms`
    /// milliseconds after this revision of the record was seen first.
    pub fn predecessors_with_permits(&self, seen_ms: u64) -> &[SocketAddr] {
        match seen_ms < PERMIT_MS {
            true => &self.predecessors,
            false => &[],
        }
    }

    /// Returns the predecessors of a process at `address` that replaces this record, which has
    /// the address `replaced`.
    pub fn predecessors_of_next(&self, replaced: SocketAddr, address: SocketAddr) -> Vec<SocketAddr> {
        let mut addresses = self.predecessors.clone();
        if !self.is_stop_of_named_process() {
            addresses.push(replaced);
        }
        addresses.retain(|predecessor| *predecessor != address);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns whether the record states the stop of the process that it names.
    fn is_stop_of_named_process(&self) -> bool {
        self.departure == Some(Departure::Stopped) && self.process.is_some()
    }
}
