//! Positions reported by a group's leader, with the time at which each was requested.
//!
//! A read that may be `staleness` old is safe on every instance whose log holds a position
//! that the true leader reported in response to a request sent no earlier than `staleness`
//! before the read arrived: every commit acknowledged before the request was sent lies at or
//! before that position. Only answers that prove leadership may be recorded, because an
//! answer of a former leader proves nothing.

use std::collections::VecDeque;

use crate::Instant;
use crate::position::{Position, Term};

/// How long observations are kept, in milliseconds.
const RETENTION_MS: u64 = 15_000;
/// An observation is dropped if the ones before and after it were requested within this time
/// of each other, in milliseconds. This bounds the number of observations of a busy leader.
const MIN_INTERVAL_MS: u64 = 25;

/// One position reported by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderObservation {
    /// When the request was sent, on the observer's monotonic clock.
    pub asked: Instant,
    /// The position in the leader's answer.
    pub position: Position,
}

/// Recent observations of one group's leader.
#[derive(Debug, Clone, Default)]
pub struct LeaderObservations {
    /// Observations from the newest known term, sorted by `asked`.
    entries: VecDeque<LeaderObservation>,
    newest_term: Term,
}

impl LeaderObservations {
    /// Records the leader's answer to a request sent at `asked`.
    ///
    /// Drops observations of older terms, since a position in a later term covers everything
    /// from earlier terms that survived. Also drops earlier observations of a higher position:
    /// commits that a later leader lacks have been rolled back for every reader.
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
        self.coalesce_newest(asked);
        let index = self.entries.partition_point(|entry| entry.asked <= asked);
        self.entries.insert(index, LeaderObservation { asked, position });
    }

    /// Drops the newest entry if `asked` follows it and lies close to the entry before it, since
    /// the entries on both sides make it redundant.
    fn coalesce_newest(&mut self, asked: Instant) {
        let count = self.entries.len();
        if count < 2 {
            return;
        }
        let (before, last) = (self.entries[count - 2].asked, self.entries[count - 1].asked);
        if last <= asked && asked < before.plus_millis(MIN_INTERVAL_MS) {
            self.entries.pop_back();
        }
    }

    fn expire(&mut self, now: Instant) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.asked.plus_millis(RETENTION_MS) < now)
        {
            self.entries.pop_front();
        }
    }

    /// Returns the lowest position that proves a read safe: the position of the oldest
    /// observation requested at `not_before` or later. Returns `None` if there is none.
    pub fn floor(&self, not_before: Instant) -> Option<Position> {
        let index = self.entries.partition_point(|entry| entry.asked < not_before);
        self.entries.get(index).map(|entry| entry.position)
    }

    /// Returns the observation that was requested last.
    pub fn newest(&self) -> Option<LeaderObservation> {
        self.entries.back().copied()
    }

    /// Returns the lowest position that covers `written`, a session's commit that was
    /// acknowledged before `acknowledged`. That is `written` itself, or the position of a later
    /// leader under which the commit has either survived or been rolled back for all sessions.
    pub fn covering_position(&self, written: Position, acknowledged: Instant) -> Position {
        let superseding = self
            .entries
            .iter()
            .find(|entry| supersedes(entry, written, acknowledged));
        superseding.map_or(written, |entry| entry.position)
    }
}

/// Returns whether `entry` replaces `written`: its term is later, or its leader reported a
/// lower position in response to a request sent after the acknowledgement.
fn supersedes(entry: &LeaderObservation, written: Position, acknowledged: Instant) -> bool {
    let lacks_written = entry.asked >= acknowledged && entry.position < written;
    entry.position.term > written.term || lacks_written
}
