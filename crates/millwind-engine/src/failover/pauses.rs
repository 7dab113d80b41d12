//! Replicas that stopped receiving so that their positions could be compared. A replica
//! that begins anew has forgotten it: it receives, and a commit may be acknowledged by
//! it that the chosen successor lacks.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;

use crate::backend::PooledConnection;
use crate::directory::{Directory, Known};

/// One replica that was told to pause.
struct Pause {
    instance: InstanceName,
    /// Since when its life is known.
    life_began: Option<Instant>,
    /// Where it answered; ends with the life that did.
    connection: PooledConnection,
}

/// The pauses that a comparison of positions rests on. Empty where it rests on none.
#[derive(Default)]
pub(super) struct Pauses(Vec<Pause>);

impl Pauses {
    /// The instance that was `known` before it was asked has paused, as it told on
    /// `connection`. What is known since may be of a later life, which has not paused.
    pub fn add(&mut self, known: &Known, connection: PooledConnection) {
        self.0.push(Pause {
            instance: known.record.name.clone(),
            life_began: known.life_began,
            connection,
        });
    }

    /// Whether all who paused are still the ones who did: each replica's connection is
    /// open, and its record tells of no other life.
    pub fn hold(&self, directory: &Directory) -> bool {
        self.0.iter().all(|pause| pause.holds(directory))
    }
}

impl Pause {
    fn holds(&self, directory: &Directory) -> bool {
        let is_connected = self.connection.is_alive();
        let is_same_life = directory.life_began(&self.instance) == self.life_began;
        if !is_connected || !is_same_life {
            let instance = &self.instance;
            info!(
                "event=pause_forgotten instance={instance} connected={is_connected} same_life={is_same_life}"
            );
        }
        is_connected && is_same_life
    }
}
