//! Tests of statement classification: only statements proven to change nothing are reads.

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
fn possibly_changing_statements_are_writes() {
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
fn transaction_control_is_recognized() {
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
fn proxy_settings_are_distinguished_from_session_settings() {
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
fn statements_requiring_a_session_are_unsupported() {
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
fn comment_tags_and_tables_are_extracted() {
    let classified = classify("INSERT INTO Booking VALUES (1) /*request_id='a-1',class='booking'*/");
    assert_eq!(classified.tag("request_id"), Some("a-1"));
    assert_eq!(classified.tag("class"), Some("booking"));
    assert_eq!(classified.tables, ["booking"]);
}

#[test]
fn tag_in_string_literal_is_ignored() {
    assert_eq!(classify("SELECT '/*request_id=''x''*/'").tag("request_id"), None);
}

#[test]
fn all_statements_are_classified() {
    assert!(!classify("SELECT 1; DELETE FROM a").is_read());
    assert_eq!(kinds("BEGIN; SELECT 1; COMMIT").len(), 3);
    assert_eq!(kinds("  -- nothing\n"), [StatementKind::Empty]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::with_cases(512) })]

    #[test]
    fn any_text_yields_a_kind(text in ".{0,200}") {
        prop_assert!(!classify(&text).kinds.is_empty());
    }

    /// A statement that changes data makes the text a write, whatever precedes it.
    #[test]
    fn changing_statement_makes_text_a_write(prefix in "(SELECT [0-9]{1,3}; ?){0,3}", table in "[a-z]{1,8}") {
        let text = format!("{prefix}DELETE FROM t_{table}");
        prop_assert!(!classify(&text).is_read());
    }
}
