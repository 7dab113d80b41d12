//! Live stream of routing decisions for operators.

use serde::{Deserialize, Serialize};
use tokio::sync::broadcast;

const CHANNEL_CAPACITY: usize = 1_024;

/// A candidate instance and the reason for its rank.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CandidateReason {
    /// Name of the instance.
    pub instance: String,
    /// Reason for the rank, or for the exclusion, of the instance.
    pub reason: String,
}

/// The routing decision for one request.
#[derive(Debug, Clone, Serialize)]
pub struct Decision {
    /// Name of the tenant.
    pub tenant: String,
    /// Class of the request; empty for none.
    pub class: String,
    /// `read`, `write`, `begin`, `continue`, `commit`.
    pub kind: &'static str,
    /// Candidates in order of rank, with reasons.
    pub candidates: Vec<CandidateReason>,
    /// Instance that executed the request; empty for none.
    pub chosen: String,
    /// `answered` or the name of the error kind.
    pub result: String,
    /// Time from arrival to response, in microseconds.
    pub micros: u64,
}

/// Publishes decisions to all subscribers.
#[derive(Debug, Clone)]
pub struct DecisionStream {
    sender: broadcast::Sender<Decision>,
}

impl Default for DecisionStream {
    fn default() -> Self {
        let (sender, _) = broadcast::channel(CHANNEL_CAPACITY);
        DecisionStream { sender }
    }
}

impl DecisionStream {
    /// Returns whether there are subscribers; callers build decisions only then.
    pub fn is_watched(&self) -> bool {
        self.sender.receiver_count() > 0
    }

    /// Sends a decision to the current subscribers.
    pub fn publish(&self, decision: Decision) {
        let _ = self.sender.send(decision);
    }

    /// Subscribes to decisions published from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<Decision> {
        self.sender.subscribe()
    }
}
