//! Write confirmation: the answer to a write is released only after a majority of the
//! group, queried after the commit, has reported no higher term.
//!
//! This assumes that a majority of the instances adopts a new term before the primary of
//! that term accepts writes. A majority that reports no higher term after the commit then
//! proves that no newer primary had accepted writes when the commit finished.
//!
//! By default the majority must also have received the commit. Every later primary, which
//! a majority elects by the most advanced log, then holds all acknowledged writes. The
//! term check alone does not guarantee this.
//!
//! One round of status requests confirms every commit that it covers, so the number of
//! requests does not grow with the number of writes. An instance that reports the commit
//! must have been queried after it. Status requests may therefore be sent before the
//! primary answers, and most commits are confirmed by the time the answer arrives.

use std::collections::BTreeMap;

use crate::ids::InstanceName;
use crate::position::{LogPosition, Position, Term};

/// The condition that a majority must meet to confirm a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfirmationRule {
    /// The instance reports no higher term. For groups whose instances cannot report the
    /// received log position: a write acknowledged during an election may be lost if the
    /// new primary lacks the end of the old primary's log.
    Term,
    /// The instance reports the term of the commit and has received the commit.
    #[default]
    Replicated,
}

/// Orders commits and status requests on one node: a status request with a higher number
/// than a commit was sent after the commit finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Sequence(pub u64);

/// A commit that awaits confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PendingCommit {
    /// Identifies the commit to the caller.
    pub id: u64,
    /// Log position of the commit.
    pub position: Position,
    /// Sequence number drawn after the primary's answer was read.
    pub sequence: Sequence,
}

/// Outcome of a pending commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// A majority meets the rule; the answer may be released.
    Confirmed,
    /// An instance reported a higher term; the outcome of the commit is unknown.
    Superseded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct InstanceStatus {
    asked: Sequence,
    term: Term,
    received: LogPosition,
}

/// Tracks the latest status of each instance of a group and the commits that await
/// confirmation.
#[derive(Debug, Clone, Default)]
pub struct ConfirmationTracker {
    members: usize,
    rule: ConfirmationRule,
    last_drawn: Sequence,
    statuses: BTreeMap<InstanceName, InstanceStatus>,
    pending: Vec<PendingCommit>,
}

impl ConfirmationTracker {
    /// Creates a tracker for a group of `members` instances.
    pub fn new(members: usize, rule: ConfirmationRule) -> Self {
        ConfirmationTracker {
            members,
            rule,
            ..Self::default()
        }
    }

    /// Draws the next sequence number for a finished commit or a status request.
    pub fn next_sequence(&mut self) -> Sequence {
        self.last_drawn.0 += 1;
        self.last_drawn
    }

    /// Registers a finished commit at `position`. Returns the verdict if the commit can be
    /// decided already; otherwise [`Self::record_status`] returns it later.
    pub fn register(&mut self, id: u64, position: Position) -> Option<Verdict> {
        let sequence = self.next_sequence();
        let commit = PendingCommit {
            id,
            position,
            sequence,
        };
        let verdict = self.verdict(&commit);
        if verdict.is_none() {
            self.pending.push(commit);
        }
        verdict
    }

    /// Stops tracking a commit whose caller no longer waits.
    pub fn forget(&mut self, id: u64) {
        self.pending.retain(|commit| commit.id != id);
    }

    /// Records that `instance`, in reply to the status request numbered `asked`, reported
    /// `term` and the log position `received`. Returns the commits that this decides.
    pub fn record_status(
        &mut self,
        instance: &InstanceName,
        asked: Sequence,
        term: Term,
        received: LogPosition,
    ) -> Vec<(u64, Verdict)> {
        let status = InstanceStatus {
            asked,
            term,
            received,
        };
        let entry = self.statuses.entry(instance.clone()).or_insert(status);
        if asked >= entry.asked {
            *entry = status;
        }
        let mut decided = Vec::new();
        let pending = std::mem::take(&mut self.pending);
        for commit in pending {
            match self.verdict(&commit) {
                Some(verdict) => decided.push((commit.id, verdict)),
                None => self.pending.push(commit),
            }
        }
        decided
    }

    fn verdict(&self, commit: &PendingCommit) -> Option<Verdict> {
        let confirming = self
            .statuses
            .values()
            .filter(|status| self.confirms(status, commit))
            .count();
        if confirming * 2 > self.members {
            return Some(Verdict::Confirmed);
        }
        let superseded = self
            .statuses
            .values()
            .any(|status| status.term > commit.position.term);
        superseded.then_some(Verdict::Superseded)
    }

    fn confirms(&self, status: &InstanceStatus, commit: &PendingCommit) -> bool {
        match self.rule {
            ConfirmationRule::Term => status.asked > commit.sequence && status.term <= commit.position.term,
            // An instance that reports the commit was queried after it.
            ConfirmationRule::Replicated => {
                status.term == commit.position.term && status.received >= commit.position.log_position
            }
        }
    }
}
