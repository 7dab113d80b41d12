//! What the stand-in needs to know of a statement's text.

use millwind_node::pg::status::STATUS_QUERY;

/// Splits a text at semicolons outside quotes and comments.
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

pub(super) fn first_word(sql: &str) -> String {
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

pub(super) fn is_control(sql: &str) -> bool {
    sql == STATUS_QUERY
        || matches!(
            first_word(sql).as_str(),
            "BEGIN" | "START" | "COMMIT" | "END" | "ROLLBACK" | "ABORT" | "SET"
        )
}
