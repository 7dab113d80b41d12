//! Write confirmation: an answer to a write is released only after a majority
//! of the group, asked after the commit, has shown no higher term.
//!
//! Assumption on the group: a majority of its instances adopts a new term
//! before that term's primary accepts writes. Then a majority that shows no
//! higher term after the commit proves that no newer primary had accepted
//! writes when the commit finished.
//!
//! Where the group's description asks for it, a majority must also have received
//! the commit. Then every later primary, elected from a majority by the most
//! advanced log, holds what was acknowledged.
//!
//! One round of status questions confirms every commit that finished before
//! the round was asked, so the cost stays flat under load.

use std::collections::BTreeMap;

use crate::ids::InstanceName;
use crate::position::{LogPosition, Position, Term};

/// What a majority must show before a commit is confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfirmationRule {
    /// No higher term.
    #[default]
    Term,
    /// The same term, and the commit received.
    Replicated,
}

/// Orders commits and status questions on one node: a question with a higher
/// number than a commit was asked after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Sequence(pub u64);

/// A commit that waits for its confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PendingCommit {
    /// Names the commit to the owner of the tracker.
    pub id: u64,
    /// Position of the commit.
    pub position: Position,
    /// Number drawn after the commit's answer was read.
    pub finished: Sequence,
}

/// What became of a pending commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// A majority shows no higher term: the answer may be released.
    Confirmed,
    /// An instance shows a higher term: the outcome is in doubt.
    Superseded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Shown {
    asked: Sequence,
    term: Term,
    received: LogPosition,
}

/// Tracks status answers of a group and the commits that wait on them.
#[derive(Debug, Clone, Default)]
pub struct ConfirmationTracker {
    members: usize,
    rule: ConfirmationRule,
    next: Sequence,
    shown: BTreeMap<InstanceName, Shown>,
    pending: Vec<PendingCommit>,
}

impl ConfirmationTracker {
    /// A tracker for a group of `members` instances.
    pub fn new(members: usize, rule: ConfirmationRule) -> Self {
        ConfirmationTracker {
            members,
            rule,
            ..Self::default()
        }
    }

    /// Draws the next sequence number, for a finished commit or a question.
    pub fn draw(&mut self) -> Sequence {
        self.next.0 += 1;
        self.next
    }

    /// Registers a finished commit at `position`; the verdict follows by
    /// [`Self::observe`].
    pub fn register(&mut self, id: u64, position: Position) {
        let finished = self.draw();
        self.pending.push(PendingCommit { id, position, finished });
    }

    /// Forgets a commit whose caller gave up.
    pub fn forget(&mut self, id: u64) {
        self.pending.retain(|commit| commit.id != id);
    }

    /// True while some commit waits, so that a round should be asked at once.
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes in that `instance`, in answer to a question numbered `asked`,
    /// showed `term` and had received the log up to `received`; returns the
    /// commits that are decided by it.
    pub fn observe(
        &mut self,
        instance: &InstanceName,
        asked: Sequence,
        term: Term,
        received: LogPosition,
    ) -> Vec<(u64, Verdict)> {
        let shown = Shown { asked, term, received };
        let entry = self.shown.entry(instance.clone()).or_insert(shown);
        if asked >= entry.asked {
            *entry = Shown {
                term: entry.term.max(term),
                ..shown
            };
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
        let term = commit.position.term;
        if self.shown.values().any(|shown| shown.term > term) {
            return Some(Verdict::Superseded);
        }
        let agreeing = self
            .shown
            .values()
            .filter(|shown| shown.asked > commit.finished)
            .filter(|shown| self.holds(shown, commit))
            .count();
        (agreeing * 2 > self.members).then_some(Verdict::Confirmed)
    }

    fn holds(&self, shown: &Shown, commit: &PendingCommit) -> bool {
        match self.rule {
            ConfirmationRule::Term => true,
            ConfirmationRule::Replicated => {
                shown.term == commit.position.term && shown.received >= commit.position.log_position
            }
        }
    }
}
