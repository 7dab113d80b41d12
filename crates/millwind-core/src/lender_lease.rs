//! Which one of the owners of an instance lends places there: the one that holds the
//! word of most of them.
//!
//! An owner gives its word to one lender at a time, for [`WORD_MS`]. The lender counts
//! that time from when it asked, so that no two hold the word of most owners at the
//! same time, also where owners are cut off from each other, stand still or start
//! anew: one that has just started gives no word, since it may have given it before.

use crate::Instant;

/// An owner's word holds for this time, in milliseconds: longer than a few rounds of
/// questions between regions, and short enough that another lender follows within about
/// a second when one is lost.
pub const WORD_MS: u64 = 1_000;
/// A lender asks again when so much of its time is left, in milliseconds.
const RENEW_MS: u64 = 600;
/// An owner that was refused asks again when the words that were given meanwhile are
/// over, and so much later for each owner before it, in milliseconds: a few round trips
/// between regions. Owners that ask at the same moment, each with the other's word, would
/// else renew these for good.
const RANK_PAUSE_MS: u64 = 100;

/// To whom an owner has given its word for an instance.
#[derive(Debug, Clone, Default)]
pub struct Word {
    given: Option<(String, Instant)>,
}

impl Word {
    /// Whether `lender` has the word from now on: nobody else has it.
    pub fn give(&mut self, lender: &str, now: Instant) -> bool {
        let is_taken = self
            .given
            .as_ref()
            .is_some_and(|(holder, until)| holder != lender && now < *until);
        if !is_taken {
            self.given = Some((lender.to_owned(), now.plus_millis(WORD_MS)));
        }
        !is_taken
    }
}

/// Whether an owner may give its word: it has known for long enough that it is one of
/// the owners, so that the word which it, or another in its place, gave before is over.
pub fn may_give(owner_since: Instant, now: Instant) -> bool {
    now.millis_since(owner_since) >= WORD_MS
}

/// Whether `words` are those of most of the owners.
pub fn is_most(words: usize, owners: usize) -> bool {
    words * 2 > owners
}

/// What a lender holds.
#[derive(Debug, Clone, Copy, Default)]
pub struct LenderLease {
    until: Option<Instant>,
    /// The owners were asked in vain, and are not asked before this time.
    ask_after: Option<Instant>,
}

/// What a lender may do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// It lends.
    Held,
    /// It lends, and should ask the owners again.
    Renewing,
    /// It must ask the owners first.
    NotHeld,
}

impl LenderLease {
    /// Where the lease stands.
    pub fn state(&self, now: Instant) -> LeaseState {
        match self.until {
            Some(until) if now.plus_millis(RENEW_MS) < until => LeaseState::Held,
            Some(until) if now < until => LeaseState::Renewing,
            _ => LeaseState::NotHeld,
        }
    }

    /// Whether the owners may be asked.
    pub fn may_ask(&self, now: Instant) -> bool {
        self.ask_after.is_none_or(|after| after <= now)
    }

    /// Takes in the answers of the owners to a question sent at `asked`: `words` of
    /// `owners` gave their word, the lender among them, which has `rank` owners before
    /// it. True if it lends from now on and
    /// did not before: what it had saved up for lending is void, since another may have
    /// lent meanwhile.
    pub fn answered(
        &mut self,
        words: usize,
        owners: usize,
        rank: usize,
        asked: Instant,
        now: Instant,
    ) -> bool {
        let was_held = self.state(now) != LeaseState::NotHeld;
        if !is_most(words, owners) {
            let pause_ms = WORD_MS + rank as u64 * RANK_PAUSE_MS;
            self.ask_after = (!was_held).then(|| now.plus_millis(pause_ms));
            return false;
        }
        self.ask_after = None;
        let until = asked.plus_millis(WORD_MS);
        self.until = Some(self.until.map_or(until, |held| held.max(until)));
        !was_held && self.state(now) != LeaseState::NotHeld
    }
}
