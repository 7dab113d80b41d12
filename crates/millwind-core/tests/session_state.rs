//! Tests that a shared connection is brought to a session's state and keeps no values of
//! other sessions.

use std::collections::{BTreeMap, BTreeSet};

use millwind_core::session_state::{
    Access, ConnectionState, PreparationStep, PreparedStatement, SessionState,
};
use proptest::prelude::*;

fn statement(shape: &str) -> PreparedStatement {
    PreparedStatement {
        access: Access::Read,
        text: shape.to_owned(),
    }
}

#[test]
fn shared_names_depend_on_text_and_access() {
    let read = statement("q1");
    let write = PreparedStatement {
        access: Access::Write,
        ..read.clone()
    };
    assert_eq!(read.shared_name(), statement("q1").shared_name());
    assert_ne!(read.shared_name(), write.shared_name());
}

// Guards against names that an instance reads as several fields of a message.
#[test]
fn shared_names_are_short_words() {
    let long = "x".repeat(10_000);
    let texts = ["two words", "two\nlines", "", "q1", "k\u{f6}ln", &long, "#", "\r"];
    let names: BTreeSet<_> = texts.iter().map(|text| statement(text).shared_name()).collect();
    assert_eq!(names.len(), texts.len(), "{names:?}");
    for name in names {
        assert!(
            name.len() <= 66 && name.bytes().all(|byte| byte.is_ascii_graphic()),
            "{name:?}"
        );
    }
}

#[test]
fn a_prepared_connection_needs_no_steps() {
    let mut connection = ConnectionState::default();
    let session = SessionState::default();
    let needed = statement("q1");
    let steps = connection.preparation_steps(&session, Some(&needed));
    assert_eq!(steps, [PreparationStep::Prepare(needed.clone())]);
    connection.apply(&steps[0]);
    assert!(connection.preparation_steps(&session, Some(&needed)).is_empty());
}

fn values() -> impl Strategy<Value = BTreeMap<String, String>> {
    proptest::collection::btree_map("[a-c]", "[0-2]", 0..4)
}

proptest! {
    #[test]
    fn after_all_steps_the_connection_has_exactly_the_sessions_values(
        sessions in proptest::collection::vec((values(), "[x-z]"), 1..12),
    ) {
        let mut connection = ConnectionState::default();
        for (values, shape) in sessions {
            let session = SessionState { values, ..SessionState::default() };
            let needed = statement(&shape);
            for step in connection.preparation_steps(&session, Some(&needed)) {
                connection.apply(&step);
            }
            prop_assert_eq!(&connection.values, &session.values);
            prop_assert!(connection.prepared.contains(&needed));
        }
    }
}
