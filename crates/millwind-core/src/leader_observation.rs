//! Positions of a group's leader, with the time at which each was asked for.
//!
//! A read that may be `staleness` old is safe on every instance whose log
//! holds a position that the true leader reported to a question asked no
//! earlier than `staleness` before the read arrived: every commit acknowledged
//! before the question was asked lies at or before that position. Only answers
//! that prove leadership may be recorded: a former leader proves nothing.

use std::collections::VecDeque;

use crate::Instant;
use crate::position::{Position, Term};

/// Observations older than this are dropped, in milliseconds.
const HORIZON_MS: u64 = 15_000;
/// Observations asked for within this time of the last one replace it, in
/// milliseconds, so that a busy leader does not fill the memory.
const RESOLUTION_MS: u64 = 25;

/// One position reported by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderObservation {
    /// When the question was sent, on the observer's steady clock.
    pub asked: Instant,
    /// The leader's position in its answer.
    pub position: Position,
}

/// The recent observations of one group's leader.
#[derive(Debug, Clone, Default)]
pub struct LeaderObservations {
    /// Sorted by `asked`; all of the newest term that was seen.
    entries: VecDeque<LeaderObservation>,
    newest_term: Term,
}

impl LeaderObservations {
    /// Records what the leader answered to a question sent at `asked`.
    ///
    /// Observations of older terms are dropped, since a position of a later
    /// term covers everything of an earlier one that survived. So are earlier
    /// observations of a higher position: what a later leader lacks has been
    /// rolled back for everyone.
    pub fn record(&mut self, asked: Instant, position: Position) {
        if position.term < self.newest_term {
            return;
        }
        if position.term > self.newest_term {
            self.entries.clear();
            self.newest_term = position.term;
        }
        self.expire(asked);
        self.entries
            .retain(|entry| entry.asked > asked || entry.position <= position);
        self.thin_out(asked);
        let index = self.entries.partition_point(|entry| entry.asked <= asked);
        self.entries.insert(index, LeaderObservation { asked, position });
    }

    /// Drops the newest entry if it lies close to the one before it and to
    /// `asked`: the ones around it serve as well.
    fn thin_out(&mut self, asked: Instant) {
        let count = self.entries.len();
        if count < 2 {
            return;
        }
        let (before, last) = (self.entries[count - 2].asked, self.entries[count - 1].asked);
        if last <= asked && asked < before.plus_millis(RESOLUTION_MS) {
            self.entries.pop_back();
        }
    }

    fn expire(&mut self, now: Instant) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.asked.plus_millis(HORIZON_MS) < now)
        {
            self.entries.pop_front();
        }
    }

    /// The least position that proves a read safe: that of the oldest question
    /// asked at `not_before` or later.
    pub fn floor(&self, not_before: Instant) -> Option<Position> {
        let index = self.entries.partition_point(|entry| entry.asked < not_before);
        self.entries.get(index).map(|entry| entry.position)
    }

    /// When the newest recorded question was asked.
    pub fn newest(&self) -> Option<LeaderObservation> {
        self.entries.back().copied()
    }

    /// The least position that covers `written`, a commit of some session that
    /// was acknowledged before `acknowledged`: the position itself, or that of
    /// a later leader in which the commit either survived or was rolled back
    /// for everyone.
    pub fn covering(&self, written: Position, acknowledged: Instant) -> Position {
        let later = self
            .entries
            .iter()
            .find(|entry| is_later_history(entry, written, acknowledged));
        later.map_or(written, |entry| entry.position)
    }
}

/// Whether the leader of `entry` must hold `written` unless it was rolled back,
/// and its position alone does not say which.
fn is_later_history(entry: &LeaderObservation, written: Position, acknowledged: Instant) -> bool {
    let lacks_it = entry.asked >= acknowledged && entry.position < written;
    entry.position.term > written.term || lacks_it
}
