//! The live stream of decisions that operators watch.

use serde::{Deserialize, Serialize};
use tokio::sync::broadcast;

const STREAM_LENGTH: usize = 1_024;

/// A candidate and the reason for its place.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CandidateReason {
    /// The instance.
    pub instance: String,
    /// Why it stands here.
    pub reason: String,
}

/// One decision about one request.
#[derive(Debug, Clone, Serialize)]
pub struct Decision {
    /// The tenant.
    pub tenant: String,
    /// Class of the request, empty for none.
    pub class: String,
    /// `read`, `write`, `begin`, `continue`, `commit`.
    pub kind: &'static str,
    /// Candidates in order, with reasons.
    pub candidates: Vec<CandidateReason>,
    /// Instance that ran it, empty when none did.
    pub chosen: String,
    /// `answered` or the name of the error kind.
    pub result: String,
    /// Time from arrival to answer, in microseconds.
    pub micros: u64,
}

/// Publishes decisions to whoever watches.
#[derive(Debug, Clone)]
pub struct DecisionStream {
    sender: broadcast::Sender<Decision>,
}

impl Default for DecisionStream {
    fn default() -> Self {
        let (sender, _) = broadcast::channel(STREAM_LENGTH);
        DecisionStream { sender }
    }
}

impl DecisionStream {
    /// Whether anybody watches; decisions are put together only then.
    pub fn is_watched(&self) -> bool {
        self.sender.receiver_count() > 0
    }

    /// Publishes a decision.
    pub fn publish(&self, decision: Decision) {
        let _ = self.sender.send(decision);
    }

    /// Starts watching.
    pub fn subscribe(&self) -> broadcast::Receiver<Decision> {
        self.sender.subscribe()
    }
}
