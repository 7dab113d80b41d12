//! Lease that allows one owner of an instance at a time to lend warm-up credits for it: the
//! owner that holds the votes of a majority of the owners.
//!
//! Each owner votes for one lender at a time, and a vote is valid for [`VOTE_MS`]. The
//! lender counts that time from when it sent the request, so no two lenders hold a majority
//! at the same time, even if owners are partitioned, paused or restarted. A restarted owner
//! does not vote at first, because it may have voted before the restart.

use crate::Instant;

/// How long a vote is valid, in milliseconds: longer than a few round trips between regions,
/// and short enough that another owner takes over within about a second if the lender fails.
pub const VOTE_MS: u64 = 1_000;
/// Remaining lease time below which the lender asks for votes again, in milliseconds.
const RENEW_BEFORE_MS: u64 = 600;
/// Extra delay per rank before an owner without a majority asks again, in milliseconds: a
/// few round trips between regions. Without this delay, owners that ask at the same moment
/// while holding each other's votes could block each other forever.
const RANK_BACKOFF_MS: u64 = 100;

/// An owner's vote for the lender of an instance.
#[derive(Debug, Clone, Default)]
pub struct LenderVote {
    granted: Option<(String, Instant)>,
}

impl LenderVote {
    /// Votes for `lender` unless a vote for another lender is still valid. Returns whether
    /// `lender` has the vote.
    pub fn grant(&mut self, lender: &str, now: Instant) -> bool {
        let is_taken = self
            .granted
            .as_ref()
            .is_some_and(|(holder, until)| holder != lender && now < *until);
        if !is_taken {
            self.granted = Some((lender.to_owned(), now.plus_millis(VOTE_MS)));
        }
        !is_taken
    }
}

/// Returns whether an owner may vote: it has been an owner for at least [`VOTE_MS`], so any
/// earlier vote of this owner or of its predecessor has expired.
pub fn may_vote(owner_since: Instant, now: Instant) -> bool {
    now.millis_since(owner_since) >= VOTE_MS
}

/// Returns whether `votes` are a majority of `owners`.
pub fn is_majority(votes: usize, owners: usize) -> bool {
    votes * 2 > owners
}

/// The lease, as the lender knows it.
#[derive(Debug, Clone, Copy, Default)]
pub struct LenderLease {
    until: Option<Instant>,
    /// After a failed request for votes: when the owners may be asked again.
    ask_not_before: Option<Instant>,
}

/// What the lease allows the lender to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// The lender may lend.
    Held,
    /// The lender may lend, and should ask the owners for their votes again.
    Renewing,
    /// The lender must obtain a majority before it lends.
    NotHeld,
}

impl LenderLease {
    /// Returns the state of the lease at `now`.
    pub fn state(&self, now: Instant) -> LeaseState {
        match self.until {
            Some(until) if now.plus_millis(RENEW_BEFORE_MS) < until => LeaseState::Held,
            Some(until) if now < until => LeaseState::Renewing,
            _ => LeaseState::NotHeld,
        }
    }

    /// Returns whether the owners may be asked for their votes.
    pub fn may_ask(&self, now: Instant) -> bool {
        self.ask_not_before.is_none_or(|after| after <= now)
    }

    /// Records the result of a vote request sent at `asked`: `votes` of `owners` voted for this
    /// lender, its own vote included. `rank` is the number of owners that come before this one.
    ///
    /// Returns true if the lease was newly obtained. The lender must then discard what its budget
    /// has accumulated, because another owner may have lent in the meantime.
    pub fn record_votes(
        &mut self,
        votes: usize,
        owners: usize,
        rank: usize,
        asked: Instant,
        now: Instant,
    ) -> bool {
        let was_held = self.state(now) != LeaseState::NotHeld;
        if !is_majority(votes, owners) {
            let backoff_ms = VOTE_MS + rank as u64 * RANK_BACKOFF_MS;
            self.ask_not_before = (!was_held).then(|| now.plus_millis(backoff_ms));
            return false;
        }
        self.ask_not_before = None;
        let until = asked.plus_millis(VOTE_MS);
        self.until = Some(self.until.map_or(until, |current| current.max(until)));
        !was_held && self.state(now) != LeaseState::NotHeld
    }
}
