//! Write confirmation: an answer to a write is released only after a majority
//! of the group, asked after the commit, has shown no higher term.
//!
//! Assumption on the group: a majority of its instances adopts a new term
//! before that term's primary accepts writes. Then a majority that shows no
//! higher term after the commit proves that no newer primary had accepted
//! writes when the commit finished.
//!
//! Unless the group's description says otherwise, the majority must also have
//! received the commit. Then every later primary, elected from a majority by the
//! most advanced log, holds what was acknowledged. The model checker shows that
//! the term alone does not give this.
//!
//! One round of status questions confirms every commit that it covers, so the
//! cost stays flat under load. An instance that shows the commit itself was
//! certainly asked after it; questions may therefore run ahead of the primary's
//! answer, and most commits are confirmed by the time that answer comes.

use std::collections::BTreeMap;

use crate::ids::InstanceName;
use crate::position::{LogPosition, Position, Term};

/// What a majority must show before a commit is confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfirmationRule {
    /// No higher term. Only for groups whose instances cannot say how far they
    /// have received the log: a write acknowledged while an election is under
    /// way may then be lost with the old primary's tail.
    Term,
    /// The same term, and the commit received.
    #[default]
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

    /// Registers a finished commit at `position`. The verdict is returned if it
    /// is already known, else it follows by [`Self::observe`].
    pub fn register(&mut self, id: u64, position: Position) -> Option<Verdict> {
        let finished = self.draw();
        let commit = PendingCommit {
            id,
            position,
            finished,
        };
        let verdict = self.verdict(&commit);
        if verdict.is_none() {
            self.pending.push(commit);
        }
        verdict
    }

    /// Forgets a commit whose caller gave up.
    pub fn forget(&mut self, id: u64) {
        self.pending.retain(|commit| commit.id != id);
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
        let shown = Shown {
            asked,
            term,
            received,
        };
        let entry = self.shown.entry(instance.clone()).or_insert(shown);
        if asked >= entry.asked {
            *entry = shown;
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
        let agreeing = self
            .shown
            .values()
            .filter(|shown| self.holds(shown, commit))
            .count();
        if agreeing * 2 > self.members {
            return Some(Verdict::Confirmed);
        }
        let superseded = self.shown.values().any(|shown| shown.term > commit.position.term);
        superseded.then_some(Verdict::Superseded)
    }

    fn holds(&self, shown: &Shown, commit: &PendingCommit) -> bool {
        match self.rule {
            ConfirmationRule::Term => shown.asked > commit.finished && shown.term <= commit.position.term,
            // Whoever shows the commit was asked after it.
            ConfirmationRule::Replicated => {
                shown.term == commit.position.term && shown.received >= commit.position.log_position
            }
        }
    }
}
