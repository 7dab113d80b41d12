//! Lead permits: whether a node may still accept a leader's answers on a platform that
//! does not fence the old leader on promotion.
//!
//! On a fencing platform the old leader refuses writes from the moment of a promotion.
//! Without fencing, an old leader that is partitioned from the new one keeps acknowledging
//! writes, so every node must stop accepting its answers before the promotion is ordered.
//! There are three ways to achieve this, cheapest first:
//!
//! - any node that reaches the old leader tells it to step down;
//! - every node hands back its permit for the term on request;
//! - the permit of a node that cannot be asked expires: a permit is valid only while the
//!   node has read the complete list of closed terms from the store within [`PERMIT_MS`].
//!
//! The promoting node first writes to the store that the term is closed. It orders the
//! promotion once the old leader has stepped down, all permits have been handed back, or
//! all outstanding permits have expired ([`may_promote`]).
//!
//! A permit covers answers: a leader's answer counts if the permit for its term is valid
//! when the node receives the answer. A write whose answer arrives later has an unknown
//! outcome.
//!
//! All times are on the monotonic clock of the node that holds the permit; only durations
//! are compared between nodes.

use crate::Instant;
use crate::position::Term;

/// How long a permit stays valid after the node last read all closed terms from the store,
/// in milliseconds. The value exceeds common store outages plus the polling interval,
/// because a node without a valid permit stops serving writes. A promotion waits this long
/// only if both the old leader and some permit holder are unreachable.
pub const PERMIT_MS: u64 = 10_000;
/// How long answers to statements in flight are still accepted after a term closes, in
/// milliseconds: longer than most statements take, and much shorter than [`PERMIT_MS`].
pub const DRAIN_MS: u64 = 400;

/// Validity of a node's permit for a leader's term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadPermit {
    /// Answers count, and new statements may be sent.
    Valid,
    /// The term is being closed: answers still count, but no new statements may be sent.
    Draining,
    /// The term is closed: answers no longer count.
    Closed,
    /// The node has not read the closed terms from the store recently enough.
    Expired,
}

impl LeadPermit {
    /// Returns whether an answer that arrives now counts.
    pub const fn covers_answer(self) -> bool {
        matches!(self, LeadPermit::Valid | LeadPermit::Draining)
    }
}

/// One node's knowledge of the closed terms of one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ClosedTerms {
    /// The newest closed term; all earlier terms are closed too.
    newest_closed: Term,
    /// When this node learnt of the newest closed term.
    closed_at: Instant,
    /// Until when answers to statements in flight count.
    draining_until: Instant,
    /// The newest term whose permit was handed back; earlier permits were handed back too.
    handed_back: Term,
}

impl ClosedTerms {
    /// Records that `term` and all earlier terms are closed. Returns false if that was already
    /// known.
    ///
    /// `last_read` is when this node last read all closed terms before this call. If the permit
    /// has expired since then, answers in flight no longer count, because the promotion may
    /// already have been ordered.
    pub fn close(&mut self, term: Term, now: Instant, last_read: Option<Instant>) -> bool {
        if term <= self.newest_closed {
            return false;
        }
        self.newest_closed = term;
        self.closed_at = now;
        let permit_end = last_read.map_or(now, |last_read| last_read.plus_millis(PERMIT_MS));
        self.draining_until = now.plus_millis(DRAIN_MS).min(permit_end);
        true
    }

    /// Gives up the permits for `term` and all earlier terms.
    pub fn return_permits(&mut self, term: Term) {
        self.handed_back = self.handed_back.max(term);
    }

    /// Returns the newest closed term.
    pub const fn closed(&self) -> Term {
        self.newest_closed
    }

    /// Returns when this node learnt of the newest closed term if `term` is closed, or `None`
    /// if `term` is open.
    pub fn closed_since(&self, term: Term) -> Option<Instant> {
        (term <= self.newest_closed).then_some(self.closed_at)
    }

    /// Returns the permit for a leader of `term` at `now`, on a node that last read all closed
    /// terms at `last_read`.
    pub fn permit(&self, term: Term, now: Instant, last_read: Option<Instant>) -> LeadPermit {
        if !are_permits_valid(now, last_read) {
            return LeadPermit::Expired;
        }
        if term > self.newest_closed {
            return LeadPermit::Valid;
        }
        let is_draining = term > self.handed_back && now < self.draining_until;
        match is_draining {
            true => LeadPermit::Draining,
            false => LeadPermit::Closed,
        }
    }
}

/// Returns whether a read of all closed terms at `last_read` keeps permits valid at `now`.
pub fn are_permits_valid(now: Instant, last_read: Option<Instant>) -> bool {
    last_read.is_some_and(|last_read| now < last_read.plus_millis(PERMIT_MS))
}

/// Progress of revoking the permits for a closed term, as the promoting node knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Revocation {
    /// A time no earlier than the write that closed the term.
    pub closed: Instant,
    /// Number of nodes that may hold a permit and have not handed it back.
    pub missing: usize,
    /// Whether the old leader has confirmed that it stepped down.
    pub has_stepped_down: bool,
}

/// Returns whether the promotion may be ordered.
pub fn may_promote(now: Instant, revocation: &Revocation) -> bool {
    revocation.has_stepped_down || revocation.missing == 0 || now >= revocation.closed.plus_millis(PERMIT_MS)
}

/// Returns the term to close before another replica is promoted: the newest term that is
/// known to have had a leader, or that an order of unknown outcome may have started.
pub fn term_to_close(newest_known: Term, closed_before: Term, has_open_order: bool) -> Term {
    let by_order = Term(closed_before.0 + u64::from(has_open_order));
    newest_known.max(closed_before).max(by_order)
}
