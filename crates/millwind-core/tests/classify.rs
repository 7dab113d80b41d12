//! Statements: only what surely changes nothing counts as a read.

use millwind_core::classify::{StatementKind, classify};
use proptest::prelude::*;

fn kinds(text: &str) -> Vec<StatementKind> {
    classify(text).kinds
}

#[test]
fn plain_queries_are_reads() {
    for text in [
        "SELECT 1",
        "SELECT max(seq) FROM booking WHERE session = 's'",
        "WITH a AS (SELECT 1) SELECT * FROM a",
        "SELECT a FROM b UNION SELECT c FROM d",
        "SHOW server_version",
    ] {
        assert!(classify(text).is_read(), "{text}");
    }
}

#[test]
fn what_may_change_something_is_a_write() {
    for text in [
        "INSERT INTO a VALUES (1)",
        "SELECT * FROM a FOR UPDATE",
        "SELECT nextval('s')",
        "SELECT my_function()",
        "SELECT 1 INTO b FROM a",
        "WITH gone AS (DELETE FROM a RETURNING *) SELECT * FROM gone",
        "SELECT (SELECT set_config('a', 'b', false))",
        "this is not SQL",
        "CREATE TABLE a (b INT)",
    ] {
        assert!(!classify(text).is_read(), "{text}");
    }
}

#[test]
fn transaction_control_is_recognised() {
    assert_eq!(kinds("BEGIN"), [StatementKind::Begin { read_only: false }]);
    assert_eq!(
        kinds("START TRANSACTION READ ONLY"),
        [StatementKind::Begin { read_only: true }]
    );
    assert_eq!(kinds("COMMIT"), [StatementKind::Commit]);
    assert_eq!(kinds("END"), [StatementKind::Commit]);
    assert_eq!(kinds("ROLLBACK"), [StatementKind::Rollback]);
    assert_eq!(kinds("ROLLBACK TO SAVEPOINT a"), [StatementKind::Write]);
}

#[test]
fn settings_of_the_proxy_are_told_from_others() {
    let name = "class".to_owned();
    let value = "setpoint".to_owned();
    assert_eq!(
        kinds("SET millwind.class = 'setpoint'"),
        [StatementKind::SetProxy { name, value }]
    );
    assert!(matches!(
        kinds("SET work_mem = '1MB'")[..],
        [StatementKind::SetSession { .. }]
    ));
    assert_eq!(kinds("SET LOCAL work_mem = '1MB'"), [StatementKind::Write]);
    let name = "session".to_owned();
    assert_eq!(
        kinds("SHOW millwind.session"),
        [StatementKind::ShowProxy { name }]
    );
}

#[test]
fn what_needs_a_session_is_not_carried() {
    for text in [
        "LISTEN a",
        "PREPARE a AS SELECT 1",
        "CREATE TEMP TABLE a (b INT)",
        "COPY a FROM STDIN",
    ] {
        assert_eq!(kinds(text), [StatementKind::Unsupported], "{text}");
    }
}

#[test]
fn comments_carry_tags_and_tables_are_named() {
    let classified = classify("INSERT INTO Booking VALUES (1) /*request_id='a-1',class='booking'*/");
    assert_eq!(classified.tag("request_id"), Some("a-1"));
    assert_eq!(classified.tag("class"), Some("booking"));
    assert_eq!(classified.tables, ["booking"]);
}

#[test]
fn a_tag_inside_a_text_is_no_tag() {
    assert_eq!(classify("SELECT '/*request_id=''x''*/'").tag("request_id"), None);
}

#[test]
fn several_statements_are_all_seen() {
    assert!(!classify("SELECT 1; DELETE FROM a").is_read());
    assert_eq!(kinds("BEGIN; SELECT 1; COMMIT").len(), 3);
    assert_eq!(kinds("  -- nothing\n"), [StatementKind::Empty]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::with_cases(512) })]

    #[test]
    fn any_text_is_classified(text in ".{0,200}") {
        prop_assert!(!classify(&text).kinds.is_empty());
    }

    /// Whatever stands before it, a changing statement makes the text a write.
    #[test]
    fn a_change_is_never_hidden(prefix in "(SELECT [0-9]{1,3}; ?){0,3}", table in "[a-z]{1,8}") {
        let text = format!("{prefix}DELETE FROM t_{table}");
        prop_assert!(!classify(&text).is_read());
    }
}
