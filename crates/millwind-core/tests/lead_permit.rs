//! Permits to count on a leader where a promotion does not take its lead.

use millwind_core::Instant;
use millwind_core::lead_permit::{
    ClosedTerms, PERMIT_MS, Permit, Revocation, SETTLE_MS, may_promote, term_to_close,
};
use millwind_core::position::Term;
use proptest::prelude::*;

const START: Instant = Instant::from_millis(100_000);

#[test]
fn a_permit_ends_with_the_news_it_rests_on() {
    let terms = ClosedTerms::default();
    let last = START.plus_millis(PERMIT_MS - 1);
    assert_eq!(terms.permit(Term(1), last, Some(START)), Permit::Good);
    let after = START.plus_millis(PERMIT_MS);
    assert_eq!(terms.permit(Term(1), after, Some(START)), Permit::Outdated);
    assert_eq!(terms.permit(Term(1), START, None), Permit::Outdated);
}

#[test]
fn a_closed_term_settles_and_then_counts_no_more() {
    let mut terms = ClosedTerms::default();
    assert!(terms.close(Term(3), START, Some(START)));
    assert!(
        !terms.close(Term(3), START.plus_millis(100), Some(START)),
        "known"
    );
    let soon = START.plus_millis(SETTLE_MS - 1);
    assert_eq!(terms.permit(Term(3), soon, Some(START)), Permit::Settling);
    let later = START.plus_millis(SETTLE_MS);
    assert_eq!(terms.permit(Term(3), later, Some(START)), Permit::Closed);
    assert_eq!(terms.permit(Term(4), later, Some(START)), Permit::Good);
}

#[test]
fn a_permit_that_was_handed_back_does_not_settle() {
    let mut terms = ClosedTerms::default();
    terms.close(Term(3), START, Some(START));
    terms.hand_back(Term(3));
    assert_eq!(terms.permit(Term(3), START, Some(START)), Permit::Closed);
}

#[test]
fn a_later_closing_does_not_bring_back_what_was_handed_back() {
    let mut terms = ClosedTerms::default();
    terms.close(Term(3), START, Some(START));
    terms.hand_back(Term(3));
    terms.close(Term(4), START.plus_millis(1_000), Some(START));
    let now = START.plus_millis(1_001);
    assert_eq!(terms.permit(Term(3), now, Some(START)), Permit::Closed);
    assert_eq!(terms.permit(Term(4), now, Some(START)), Permit::Settling);
}

#[test]
fn an_order_of_unknown_outcome_closes_the_term_that_it_may_have_begun() {
    assert_eq!(term_to_close(Term(3), Term(0), false), Term(3));
    assert_eq!(term_to_close(Term(3), Term(3), true), Term(4));
    assert_eq!(term_to_close(Term(5), Term(3), true), Term(5));
}

#[test]
fn a_node_that_learns_late_has_nothing_to_settle() {
    let mut terms = ClosedTerms::default();
    let late = START.plus_millis(PERMIT_MS + 1);
    terms.close(Term(3), late, Some(START));
    assert_eq!(terms.permit(Term(3), late, Some(late)), Permit::Closed);
}

/// What happens to one node and the store around a promotion, by time.
#[derive(Debug, Clone)]
struct History {
    /// Times at which the node's questions to the store were sent; those before
    /// the closing are answered with an open term.
    questions: Vec<u64>,
    closed: u64,
    /// When the promoter asks the node for its permit; none if it is cut off.
    asked: Option<u64>,
    /// When an answer of the old leader reaches the node.
    answer: u64,
}

fn histories() -> impl Strategy<Value = History> {
    let questions = proptest::collection::vec(0..40_000_u64, 0..8);
    let asked = proptest::option::of(0..5_000_u64);
    (questions, 5_000..20_000_u64, asked, 0..60_000_u64).prop_map(|(mut questions, closed, asked, answer)| {
        questions.sort_unstable();
        History {
            questions,
            closed,
            asked: asked.map(|delay| closed + delay),
            answer,
        }
    })
}

/// Whether the node counts the old leader's answer.
fn counts_answer(history: &History) -> bool {
    let at = |millis: u64| START.plus_millis(millis);
    let mut terms = ClosedTerms::default();
    let mut confirmed = None;
    for question in history.questions.iter().filter(|sent| **sent <= history.answer) {
        if *question >= history.closed {
            terms.close(Term(1), at(*question), confirmed);
        }
        confirmed = Some(at(*question));
    }
    if let Some(asked) = history.asked.filter(|asked| *asked <= history.answer) {
        terms.close(Term(1), at(asked), confirmed);
        terms.hand_back(Term(1));
    }
    terms
        .permit(Term(1), at(history.answer), confirmed)
        .covers_answer()
}

/// The first time at which the promoter may order.
fn first_order(history: &History) -> u64 {
    let limit = history.closed + PERMIT_MS;
    let may = |now: u64| {
        let revocation = Revocation {
            closed: START.plus_millis(history.closed),
            missing: usize::from(history.asked.is_none_or(|asked| now < asked)),
            has_stepped_down: false,
        };
        may_promote(START.plus_millis(now), &revocation)
    };
    (history.closed..=limit).find(|now| may(*now)).unwrap_or(limit)
}

proptest! {
    #[test]
    fn no_answer_of_an_old_leader_counts_once_a_promotion_may_be_ordered(history in histories()) {
        if history.answer >= first_order(&history) {
            prop_assert!(!counts_answer(&history));
        }
    }
}
