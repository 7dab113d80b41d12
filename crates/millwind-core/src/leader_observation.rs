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
    /// term covers everything of an earlier one that survived.
    pub fn record(&mut self, asked: Instant, position: Position) {
        if position.term < self.newest_term {
            return;
        }
        if position.term > self.newest_term {
            self.entries.clear();
            self.newest_term = position.term;
        }
        self.expire(asked);
        if self
            .entries
            .back()
            .is_some_and(|last| asked < last.asked.plus_millis(RESOLUTION_MS) && self.entries.len() > 1)
        {
            // Between two kept entries nothing is lost: the newest moves on.
            self.replace_newest(asked, position);
            return;
        }
        let index = self.entries.partition_point(|entry| entry.asked <= asked);
        self.entries.insert(index, LeaderObservation { asked, position });
    }

    fn replace_newest(&mut self, asked: Instant, position: Position) {
        let previous = self
            .entries
            .len()
            .checked_sub(2)
            .map(|index| self.entries[index].asked);
        let keeps_spacing = previous.is_some_and(|previous| asked < previous.plus_millis(RESOLUTION_MS));
        if let Some(last) = self.entries.back_mut()
            && asked >= last.asked
            && keeps_spacing
        {
            *last = LeaderObservation { asked, position };
            return;
        }
        let index = self.entries.partition_point(|entry| entry.asked <= asked);
        self.entries.insert(index, LeaderObservation { asked, position });
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

    /// The least position that covers `written`, a commit of some session: the
    /// position itself, or any of a later term, in which the commit either
    /// survived or was rolled back for everyone.
    pub fn covering(&self, written: Position) -> Position {
        match self.entries.front() {
            Some(entry) if entry.position.term > written.term => entry.position,
            _ => written,
        }
    }
}
