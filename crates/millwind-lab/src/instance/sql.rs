//! Lexical helpers for SQL text.

use millwind_node::pg::status::STATUS_QUERY;

/// Splits SQL text at semicolons outside quotes. Comments are not recognized.
pub(super) fn split_statements(text: &str) -> Vec<String> {
    let mut statements = Vec::new();
    let mut current = String::new();
    let mut quote = None;
    for character in text.chars() {
        match quote {
            None if character == ';' => {
                statements.push(std::mem::take(&mut current));
                continue;
            }
            None if character == '\'' || character == '"' => quote = Some(character),
            Some(open) if open == character => quote = None,
            _ => {}
        }
        current.push(character);
    }
    statements.push(current);
    statements.retain(|statement| !statement.trim().is_empty());
    statements
}

/// First keyword of a statement in upper case, after leading block comments.
pub(super) fn first_keyword(sql: &str) -> String {
    let mut rest = sql.trim_start();
    while let Some(comment) = rest.strip_prefix("/*") {
        rest = comment
            .split_once("*/")
            .map_or("", |(_, after)| after)
            .trim_start();
    }
    rest.split(|character: char| !character.is_ascii_alphabetic())
        .next()
        .unwrap_or_default()
        .to_uppercase()
}

/// Whether the session handles the statement without SQLite: status query,
/// transaction control or `SET`.
pub(super) fn is_session_command(sql: &str) -> bool {
    sql == STATUS_QUERY
        || matches!(
            first_keyword(sql).as_str(),
            "BEGIN" | "START" | "COMMIT" | "END" | "ROLLBACK" | "ABORT" | "SET"
        )
}
