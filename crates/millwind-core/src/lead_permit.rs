//! Whether a node may count on a group's leader where a promotion does not take
//! the lead from the old one.
//!
//! Some platforms fence: at the moment of a promotion the old leader refuses
//! writes. Where the platform does not, an old leader that is cut off from the
//! new one goes on acknowledging. Nodes must then stop counting on it before
//! the promotion is ordered. Three means do that, cheapest first:
//!
//! - the old leader itself is told to step down, by any node that reaches it;
//! - every node hands its permit for the term back when it is asked to;
//! - a node that cannot be asked loses its permit by time: a permit is good only
//!   while the node has heard, within [`PERMIT_MS`], all that the store holds of
//!   closed terms.
//!
//! So a promoter first writes to the store that a term is closed, and orders the
//! promotion once one of the three holds for every node ([`may_promote`]). What
//! a permit covers is the *answer*: an answer of a leader counts if the permit
//! for its term is good when the answer is taken in. A write whose answer comes
//! later is of unknown outcome.
//!
//! All times are of the holder's own steady clock; only durations are compared
//! between nodes.

use crate::Instant;
use crate::position::Term;

/// A permit is good for so long after the node's last complete news of closed
/// terms, in milliseconds. Longer than the outages of the store that are common
/// (up to 6 s, plus the time between two questions to it), since
/// without news every node stops serving writes; it is waited out only where the
/// old leader and some node can both not be reached.
pub const PERMIT_MS: u64 = 10_000;
/// Statements under way when a term closes may still be answered for so long, in
/// milliseconds: longer than most statements take, far shorter than a permit.
pub const SETTLE_MS: u64 = 400;

/// Whether a leader's answer counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// It counts, and new statements may be sent.
    Good,
    /// It counts, but nothing new may be sent: the term is being closed.
    Settling,
    /// The term is closed.
    Closed,
    /// Nothing was heard of closed terms for too long.
    Outdated,
}

impl Permit {
    /// Whether an answer that arrives now counts.
    pub const fn covers_answer(self) -> bool {
        matches!(self, Permit::Good | Permit::Settling)
    }
}

/// What one node knows of the closed terms of one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ClosedTerms {
    /// This term and all before it are closed.
    closed: Term,
    /// When this node learnt so.
    since: Instant,
    /// Answers to statements under way count until then.
    settles_until: Instant,
    /// Permits for this term and all before it were handed back.
    handed_back: Term,
}

impl ClosedTerms {
    /// Takes in that `term` and all before it are closed; false if that was
    /// known.
    ///
    /// `confirmed` tells of the news before this one. A node that had lost its
    /// permit by time meanwhile has nothing to settle: the promotion may have
    /// been ordered.
    pub fn close(&mut self, term: Term, now: Instant, confirmed: Option<Instant>) -> bool {
        if term <= self.closed {
            return false;
        }
        self.closed = term;
        self.since = now;
        let permit_end = confirmed.map_or(now, |confirmed| confirmed.plus_millis(PERMIT_MS));
        self.settles_until = now.plus_millis(SETTLE_MS).min(permit_end);
        true
    }

    /// Gives up the permits for `term` and all before it.
    pub fn hand_back(&mut self, term: Term) {
        self.handed_back = self.handed_back.max(term);
    }

    /// The newest closed term.
    pub const fn closed(&self) -> Term {
        self.closed
    }

    /// When this node learnt that `term` is closed; none if it is open.
    pub fn closed_since(&self, term: Term) -> Option<Instant> {
        (term <= self.closed).then_some(self.since)
    }

    /// The permit for a leader of `term`, at `now`, on a node whose news of
    /// closed terms were complete at `confirmed`.
    pub fn permit(&self, term: Term, now: Instant, confirmed: Option<Instant>) -> Permit {
        if !is_confirmed(now, confirmed) {
            return Permit::Outdated;
        }
        if term > self.closed {
            return Permit::Good;
        }
        let may_settle = term > self.handed_back && now < self.settles_until;
        match may_settle {
            true => Permit::Settling,
            false => Permit::Closed,
        }
    }
}

/// Whether news that were complete at `confirmed` still carry a permit.
pub fn is_confirmed(now: Instant, confirmed: Option<Instant>) -> bool {
    confirmed.is_some_and(|confirmed| now < confirmed.plus_millis(PERMIT_MS))
}

/// What a promoter knows of the permits for a term that it has closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Revocation {
    /// A time no earlier than the write that closed the term.
    pub closed: Instant,
    /// Nodes that may hold a permit and have not handed it back.
    pub missing: usize,
    /// The old leader has said that it leads no longer.
    pub has_stepped_down: bool,
}

/// Whether a promotion may be ordered.
pub fn may_promote(now: Instant, revocation: &Revocation) -> bool {
    revocation.has_stepped_down || revocation.missing == 0 || now >= revocation.closed.plus_millis(PERMIT_MS)
}

/// The term to close before another replica is promoted: the newest that is
/// known to have led, or may lead by an order whose outcome is unknown.
pub fn term_to_close(newest_known: Term, closed_before: Term, has_open_order: bool) -> Term {
    let by_order = Term(closed_before.0 + u64::from(has_open_order));
    newest_known.max(closed_before).max(by_order)
}
