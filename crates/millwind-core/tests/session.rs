//! Tests of log positions, session tokens, commit confirmation and error reporting.

use millwind_core::confirmation::{ConfirmationRule, ConfirmationTracker, Sequence, Verdict};
use millwind_core::error_kind::{Effect, ErrorKind};
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::outcome::{
    NextStep, RequestProgress, RequestTraits, is_accurate_report, next_step_after_failure,
};
use millwind_core::position::{Coverage, LogPosition, Position, Term, TermStart, coverage};
use millwind_core::token::{MAXIMUM_TOKEN_BYTES, SessionToken, TokenError};
use proptest::prelude::*;

fn start(term: u64, start: u64) -> TermStart {
    TermStart {
        term: Term(term),
        start: LogPosition(start),
    }
}

#[test]
fn positions_of_the_same_term_are_compared_directly() {
    assert_eq!(
        coverage(Position::new(1, 10), &[], Position::new(1, 10)),
        Coverage::Covered
    );
    assert_eq!(
        coverage(Position::new(1, 9), &[], Position::new(1, 10)),
        Coverage::Behind
    );
}

#[test]
fn an_older_term_never_covers_a_newer_one() {
    assert_eq!(
        coverage(Position::new(1, 999), &[], Position::new(2, 1)),
        Coverage::Behind
    );
}

#[test]
fn a_position_in_a_discarded_tail_is_reported_as_discarded() {
    let history = [start(2, 90)];
    assert_eq!(
        coverage(Position::new(2, 120), &history, Position::new(1, 100)),
        Coverage::Discarded
    );
    assert_eq!(
        coverage(Position::new(2, 120), &history, Position::new(1, 90)),
        Coverage::Covered
    );
}

#[test]
fn a_later_term_without_its_branch_point_covers_nothing() {
    assert_eq!(
        coverage(Position::new(3, 500), &[], Position::new(1, 1)),
        Coverage::Behind
    );
}

#[test]
fn the_lowest_branch_point_decides() {
    let history = [start(2, 100), start(3, 50)];
    assert_eq!(
        coverage(Position::new(3, 500), &history, Position::new(1, 60)),
        Coverage::Discarded
    );
}

#[test]
fn token_errors_name_the_invalid_field() {
    assert_eq!("mw1:g:1".parse::<SessionToken>(), Err(TokenError::Malformed));
    assert_eq!(
        "mw1:g:x:1".parse::<SessionToken>(),
        Err(TokenError::InvalidField("term"))
    );
    assert_eq!(
        "mw1:g:1:zz".parse::<SessionToken>(),
        Err(TokenError::InvalidField("position"))
    );
    let long = "x".repeat(MAXIMUM_TOKEN_BYTES + 1);
    assert_eq!(long.parse::<SessionToken>(), Err(TokenError::TooLong));
}

fn tracker(rule: ConfirmationRule) -> ConfirmationTracker {
    ConfirmationTracker::new(3, rule)
}

fn instance(name: &str) -> InstanceName {
    InstanceName::from(name)
}

#[test]
fn a_commit_received_by_a_majority_is_confirmed() {
    let mut tracker = tracker(ConfirmationRule::Replicated);
    assert_eq!(tracker.register(7, Position::new(1, 100)), None);
    let sequence = tracker.next_sequence();
    let undecided = tracker.record_status(&instance("b"), sequence, Term(1), LogPosition(99));
    assert!(undecided.is_empty());
    assert!(
        tracker
            .record_status(&instance("a"), sequence, Term(1), LogPosition(100))
            .is_empty()
    );
    let decided = tracker.record_status(&instance("b"), sequence, Term(1), LogPosition(100));
    assert_eq!(decided, vec![(7, Verdict::Confirmed)]);
}

#[test]
fn a_commit_already_held_by_a_majority_is_confirmed_on_registration() {
    let mut tracker = tracker(ConfirmationRule::Replicated);
    let sequence = tracker.next_sequence();
    tracker.record_status(&instance("b"), sequence, Term(1), LogPosition(100));
    tracker.record_status(&instance("c"), sequence, Term(1), LogPosition(120));
    assert_eq!(
        tracker.register(7, Position::new(1, 100)),
        Some(Verdict::Confirmed)
    );
}

#[test]
fn a_higher_term_supersedes_a_commit_that_no_majority_holds() {
    let mut tracker = tracker(ConfirmationRule::Replicated);
    tracker.register(7, Position::new(1, 100));
    let sequence = tracker.next_sequence();
    let decided = tracker.record_status(&instance("b"), sequence, Term(2), LogPosition(90));
    assert_eq!(decided, vec![(7, Verdict::Superseded)]);
}

#[test]
fn the_term_rule_counts_only_queries_after_registration() {
    let mut tracker = tracker(ConfirmationRule::Term);
    let early = tracker.next_sequence();
    tracker.record_status(&instance("a"), early, Term(1), LogPosition(0));
    tracker.record_status(&instance("b"), early, Term(1), LogPosition(0));
    assert_eq!(tracker.register(7, Position::new(1, 100)), None);
    let late = tracker.next_sequence();
    assert!(
        tracker
            .record_status(&instance("a"), late, Term(1), LogPosition(0))
            .is_empty()
    );
    let decided = tracker.record_status(&instance("b"), late, Term(1), LogPosition(0));
    assert_eq!(decided, vec![(7, Verdict::Confirmed)]);
}

#[test]
fn an_outdated_response_does_not_replace_a_newer_one() {
    let mut tracker = tracker(ConfirmationRule::Replicated);
    tracker.record_status(&instance("b"), Sequence(9), Term(1), LogPosition(100));
    tracker.record_status(&instance("b"), Sequence(3), Term(1), LogPosition(50));
    tracker.record_status(&instance("c"), Sequence(9), Term(1), LogPosition(100));
    assert_eq!(
        tracker.register(1, Position::new(1, 100)),
        Some(Verdict::Confirmed)
    );
}

#[test]
fn every_error_kind_has_a_unique_code() {
    for (index, kind) in ErrorKind::ALL.into_iter().enumerate() {
        assert_eq!(usize::from(kind.code()), index + 1, "{}", kind.name());
        assert_eq!(ErrorKind::from_code(kind.code()), Some(kind));
        assert_eq!(kind.answer().sqlstate.len(), 5, "{}", kind.name());
    }
    assert_eq!(ErrorKind::from_code(0), None);
}

fn progress() -> impl Strategy<Value = RequestProgress> {
    prop_oneof![
        Just(RequestProgress::NotSent),
        Just(RequestProgress::Sent),
        Just(RequestProgress::ConfirmedNotApplied),
        Just(RequestProgress::Answered),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(1024) })]

    #[test]
    fn a_token_round_trips_through_its_text(group in "[a-z][a-z0-9-]{0,20}", term in any::<u64>(), position in any::<u64>()) {
        let token = SessionToken { group: GroupName::from(group.as_str()), position: Position::new(term, position) };
        prop_assert_eq!(token.to_string().parse::<SessionToken>(), Ok(token));
    }

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in ".{0,300}") {
        let _ = text.parse::<SessionToken>();
        let _ = text.parse::<LogPosition>();
    }

    /// The error reported after a failure matches the effect of the request, and a write is
    /// never retried after it was sent unless its effect is known to be undone.
    #[test]
    fn the_reported_error_matches_the_effect(progress in progress(), read_only: bool, may_repeat: bool, has_request_id: bool) {
        let traits = RequestTraits { read_only, may_repeat, has_request_id };
        match next_step_after_failure(progress, traits, ErrorKind::TransactionLost) {
            NextStep::Report(kind) => {
                prop_assert!(is_accurate_report(progress, read_only, kind));
                prop_assert!(kind.answer().effect != Effect::NotRun || progress != RequestProgress::Sent || read_only);
            }
            NextStep::Retry => {
                let sent = matches!(progress, RequestProgress::Sent | RequestProgress::Answered);
                prop_assert!(!sent || read_only);
            }
            NextStep::ResolveOutcome => prop_assert!(has_request_id),
        }
    }
}
