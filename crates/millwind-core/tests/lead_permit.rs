//! Tests of permits to accept a leader's answers on a platform that does not fence on promotion.

use millwind_core::Instant;
use millwind_core::lead_permit::{
    ClosedTerms, DRAIN_MS, LeadPermit, PERMIT_MS, Revocation, may_promote, term_to_close,
};
use millwind_core::position::Term;
use proptest::prelude::*;

const START: Instant = Instant::from_millis(100_000);

#[test]
fn a_permit_expires_without_a_recent_read_of_closed_terms() {
    let terms = ClosedTerms::default();
    let last = START.plus_millis(PERMIT_MS - 1);
    assert_eq!(terms.permit(Term(1), last, Some(START)), LeadPermit::Valid);
    let after = START.plus_millis(PERMIT_MS);
    assert_eq!(terms.permit(Term(1), after, Some(START)), LeadPermit::Expired);
    assert_eq!(terms.permit(Term(1), START, None), LeadPermit::Expired);
}

#[test]
fn a_closed_term_drains_and_then_no_longer_counts() {
    let mut terms = ClosedTerms::default();
    assert!(terms.close(Term(3), START, Some(START)));
    assert!(
        !terms.close(Term(3), START.plus_millis(100), Some(START)),
        "closing a closed term again must return false"
    );
    let soon = START.plus_millis(DRAIN_MS - 1);
    assert_eq!(terms.permit(Term(3), soon, Some(START)), LeadPermit::Draining);
    let later = START.plus_millis(DRAIN_MS);
    assert_eq!(terms.permit(Term(3), later, Some(START)), LeadPermit::Closed);
    assert_eq!(terms.permit(Term(4), later, Some(START)), LeadPermit::Valid);
}

#[test]
fn a_permit_that_was_handed_back_does_not_drain() {
    let mut terms = ClosedTerms::default();
    terms.close(Term(3), START, Some(START));
    terms.return_permits(Term(3));
    assert_eq!(terms.permit(Term(3), START, Some(START)), LeadPermit::Closed);
}

#[test]
fn closing_a_later_term_does_not_restore_a_handed_back_permit() {
    let mut terms = ClosedTerms::default();
    terms.close(Term(3), START, Some(START));
    terms.return_permits(Term(3));
    terms.close(Term(4), START.plus_millis(1_000), Some(START));
    let now = START.plus_millis(1_001);
    assert_eq!(terms.permit(Term(3), now, Some(START)), LeadPermit::Closed);
    assert_eq!(terms.permit(Term(4), now, Some(START)), LeadPermit::Draining);
}

#[test]
fn an_order_of_unknown_outcome_closes_the_term_that_it_may_have_started() {
    assert_eq!(term_to_close(Term(3), Term(0), false), Term(3));
    assert_eq!(term_to_close(Term(3), Term(3), true), Term(4));
    assert_eq!(term_to_close(Term(5), Term(3), true), Term(5));
}

#[test]
fn a_permit_that_expired_before_the_closing_does_not_drain() {
    let mut terms = ClosedTerms::default();
    let late = START.plus_millis(PERMIT_MS + 1);
    terms.close(Term(3), late, Some(START));
    assert_eq!(terms.permit(Term(3), late, Some(late)), LeadPermit::Closed);
}

/// Event times of one node and the store around a promotion, in milliseconds.
#[derive(Debug, Clone)]
struct History {
    /// When the node sent its reads of the closed terms; reads sent before `closed` find the
    /// term open.
    store_reads: Vec<u64>,
    closed: u64,
    /// When the promoting node asks for the permit to be handed back; `None` if this
    /// node is partitioned.
    asked: Option<u64>,
    /// When an answer of the old leader reaches this node.
    answer: u64,
}

fn histories() -> impl Strategy<Value = History> {
    let store_reads = proptest::collection::vec(0..40_000_u64, 0..8);
    let asked = proptest::option::of(0..5_000_u64);
    (store_reads, 5_000..20_000_u64, asked, 0..60_000_u64).prop_map(
        |(mut store_reads, closed, asked, answer)| {
            store_reads.sort_unstable();
            History {
                store_reads,
                closed,
                asked: asked.map(|delay| closed + delay),
                answer,
            }
        },
    )
}

/// Returns whether the node accepts the old leader's answer.
fn accepts_answer(history: &History) -> bool {
    let at = |millis: u64| START.plus_millis(millis);
    let mut terms = ClosedTerms::default();
    let mut last_read = None;
    for read in history.store_reads.iter().filter(|sent| **sent <= history.answer) {
        if *read >= history.closed {
            terms.close(Term(1), at(*read), last_read);
        }
        last_read = Some(at(*read));
    }
    if let Some(asked) = history.asked.filter(|asked| *asked <= history.answer) {
        terms.close(Term(1), at(asked), last_read);
        terms.return_permits(Term(1));
    }
    terms
        .permit(Term(1), at(history.answer), last_read)
        .covers_answer()
}

/// Returns the earliest time at which the promotion may be ordered.
fn earliest_promotion(history: &History) -> u64 {
    let limit = history.closed + PERMIT_MS;
    let may_order = |now: u64| {
        let revocation = Revocation {
            closed: START.plus_millis(history.closed),
            missing: usize::from(history.asked.is_none_or(|asked| now < asked)),
            has_stepped_down: false,
        };
        may_promote(START.plus_millis(now), &revocation)
    };
    (history.closed..=limit)
        .find(|now| may_order(*now))
        .unwrap_or(limit)
}

proptest! {
    #[test]
    fn no_answer_of_an_old_leader_counts_once_a_promotion_may_be_ordered(history in histories()) {
        if history.answer >= earliest_promotion(&history) {
            prop_assert!(!accepts_answer(&history));
        }
    }
}
