//! Tracks replicas that paused replication so that their positions can be compared. A restarted
//! replica loses its pause and may acknowledge commits that the chosen successor lacks.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;

use crate::backend::PooledConnection;
use crate::directory::{Directory, KnownInstance};

/// A replica that paused replication.
struct PausedReplica {
    instance: InstanceName,
    /// When its incarnation was first seen; `None` for the first incarnation.
    incarnation: Option<Instant>,
    /// The connection on which the replica confirmed the pause. The connection closes when that
    /// incarnation ends.
    connection: PooledConnection,
}

/// The replicas whose pauses keep a comparison of positions valid; empty if the comparison
/// needs none.
#[derive(Default)]
pub(super) struct PausedReplicas(Vec<PausedReplica>);

impl PausedReplicas {
    /// Adds a replica that confirmed the pause on `connection`. `known` must date from before
    /// the request: a later state may describe a new incarnation, which has not paused.
    pub fn add(&mut self, known: &KnownInstance, connection: PooledConnection) {
        self.0.push(PausedReplica {
            instance: known.record.name.clone(),
            incarnation: known.incarnation_seen_at,
            connection,
        });
    }

    /// Adds the replicas in `other`.
    pub fn extend(&mut self, other: PausedReplicas) {
        self.0.extend(other.0);
    }

    /// Returns whether all replicas are still paused: their connections are open and no new
    /// incarnation is known.
    pub fn are_all_paused(&self, directory: &Directory) -> bool {
        self.0.iter().all(|replica| replica.is_still_paused(directory))
    }
}

impl PausedReplica {
    fn is_still_paused(&self, directory: &Directory) -> bool {
        let is_connected = self.connection.is_alive();
        let is_same_incarnation = directory.incarnation_seen_at(&self.instance) == self.incarnation;
        if !is_connected || !is_same_incarnation {
            let instance = &self.instance;
            info!(
                "event=pause_forgotten instance={instance} connected={is_connected} same_life={is_same_incarnation}"
            );
        }
        is_connected && is_same_incarnation
    }
}
