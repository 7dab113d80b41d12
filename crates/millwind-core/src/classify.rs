//! Classification of SQL statements for routing. A statement that cannot be parsed or
//! proven to be a read counts as a write.

use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, Ident, Query, Set, SetExpr, Statement, TransactionAccessMode, TransactionMode, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer, Whitespace};

/// Length in bytes above which a statement text is not parsed and counts as a write.
pub const MAX_PARSED_BYTES: usize = 64 * 1024;

/// Functions without side effects.
const READ_ONLY_FUNCTIONS: &[&str] = &[
    "abs",
    "array_agg",
    "avg",
    "ceil",
    "char_length",
    "coalesce",
    "concat",
    "count",
    "current_date",
    "current_timestamp",
    "date_trunc",
    "floor",
    "greatest",
    "json_agg",
    "least",
    "length",
    "lower",
    "ltrim",
    "max",
    "min",
    "now",
    "nullif",
    "pg_is_in_recovery",
    "round",
    "row_number",
    "rtrim",
    "string_agg",
    "substr",
    "substring",
    "sum",
    "to_char",
    "trim",
    "upper",
    "version",
];

/// The kind of a statement as far as routing is concerned.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StatementKind {
    /// Changes nothing.
    Read,
    /// Changes something, or cannot be proven not to.
    Write,
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is declared `READ ONLY`.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Changes a setting of the proxy itself.
    SetProxy {
        /// Name without the `millwind.` prefix.
        name: String,
        /// Value as text.
        value: String,
    },
    /// Changes a session setting of the back end, which transaction pooling cannot preserve.
    SetSession {
        /// Name of the setting.
        name: String,
    },
    /// Shows a setting of the proxy itself.
    ShowProxy {
        /// Name without the `millwind.` prefix.
        name: String,
    },
    /// Requires a dedicated back-end session or a protocol that the proxy does not implement.
    Unsupported,
    /// Contains only white space and comments.
    Empty,
}

/// The result of classifying a statement text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Classified {
    /// The kind of each statement; a text that cannot be parsed is one `Write`.
    pub kinds: Vec<StatementKind>,
    /// `key='value'` pairs from comments, in order of appearance.
    pub tags: Vec<(String, String)>,
    /// Names of the tables that the statements refer to, in lower case.
    pub tables: Vec<String>,
}

impl Classified {
    /// Whether there are statements and all of them are reads.
    pub fn is_read(&self) -> bool {
        !self.kinds.is_empty() && self.kinds.iter().all(|kind| *kind == StatementKind::Read)
    }

    /// Returns the value of the first comment tag with this key.
    pub fn tag(&self, key: &str) -> Option<&str> {
        self.tags
            .iter()
            .find(|(name, _)| name == key)
            .map(|(_, value)| value.as_str())
    }
}

/// Classifies a statement text.
pub fn classify(text: &str) -> Classified {
    if text.len() > MAX_PARSED_BYTES {
        return unparsed();
    }
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, text).tokenize() else {
        return unparsed();
    };
    let tags = comment_tags(&tokens);
    let parsed = Parser::new(&dialect).with_tokens(tokens).parse_statements();
    let Ok(statements) = parsed else {
        return Classified { tags, ..unparsed() };
    };
    let mut tables = Vec::new();
    for statement in &statements {
        let mut collector = TableCollector { tables: &mut tables };
        let _ = statement.visit(&mut collector);
    }
    let kinds = if statements.is_empty() {
        vec![StatementKind::Empty]
    } else {
        statements.iter().map(statement_kind).collect()
    };
    Classified { kinds, tags, tables }
}

fn unparsed() -> Classified {
    Classified {
        kinds: vec![StatementKind::Write],
        ..Classified::default()
    }
}

fn comment_tags(tokens: &[Token]) -> Vec<(String, String)> {
    tokens
        .iter()
        .filter_map(|token| match token {
            Token::Whitespace(Whitespace::MultiLineComment(comment)) => Some(comment),
            _ => None,
        })
        .flat_map(|comment| comment.split(','))
        .filter_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            let value = value.trim().strip_prefix('\'')?.strip_suffix('\'')?;
            Some((key.trim().to_owned(), value.to_owned()))
        })
        .collect()
}

struct TableCollector<'a> {
    tables: &'a mut Vec<String>,
}

impl Visitor for TableCollector<'_> {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &sqlparser::ast::ObjectName) -> ControlFlow<()> {
        self.tables.push(relation.to_string().to_lowercase());
        ControlFlow::Continue(())
    }
}

fn statement_kind(statement: &Statement) -> StatementKind {
    match statement {
        Statement::Query(query) if is_read_only(query) => StatementKind::Read,
        Statement::ShowVariable { variable } => show_kind(variable),
        Statement::Copy { .. }
        | Statement::LISTEN { .. }
        | Statement::UNLISTEN { .. }
        | Statement::Prepare { .. }
        | Statement::Execute { .. }
        | Statement::Deallocate { .. }
        | Statement::Declare { .. }
        | Statement::Discard { .. } => StatementKind::Unsupported,
        Statement::CreateTable(table) if table.temporary => StatementKind::Unsupported,
        Statement::StartTransaction { modes, .. } => StatementKind::Begin {
            read_only: modes.contains(&TransactionMode::AccessMode(TransactionAccessMode::ReadOnly)),
        },
        Statement::Commit { chain: false, .. } => StatementKind::Commit,
        Statement::Rollback {
            chain: false,
            savepoint: None,
            ..
        } => StatementKind::Rollback,
        Statement::Set(set) => set_kind(set),
        _ => StatementKind::Write,
    }
}

fn show_kind(variable: &[Ident]) -> StatementKind {
    let names: Vec<String> = variable.iter().map(|part| part.value.to_lowercase()).collect();
    match names.split_first() {
        Some((first, rest)) if first == "millwind" => StatementKind::ShowProxy { name: rest.join(".") },
        _ => match names.join(".").strip_prefix("millwind.") {
            Some(name) => StatementKind::ShowProxy {
                name: name.to_owned(),
            },
            None => StatementKind::Read,
        },
    }
}

fn set_kind(set: &Set) -> StatementKind {
    let Set::SingleAssignment {
        scope,
        variable,
        values,
        ..
    } = set
    else {
        return StatementKind::SetSession {
            name: set.to_string(),
        };
    };
    if matches!(scope, Some(sqlparser::ast::ContextModifier::Local)) {
        // The setting ends with the transaction, so transaction pooling preserves it.
        return StatementKind::Write;
    }
    let name = variable.to_string().to_lowercase();
    match name.strip_prefix("millwind.") {
        Some(setting) => StatementKind::SetProxy {
            name: setting.to_owned(),
            value: values.iter().map(unquote).collect::<Vec<_>>().join(","),
        },
        None => StatementKind::SetSession { name },
    }
}

fn unquote(expression: &Expr) -> String {
    let text = expression.to_string();
    let inner = text.strip_prefix('\'').and_then(|rest| rest.strip_suffix('\''));
    inner.map_or(text.clone(), str::to_owned)
}

fn is_read_only(query: &Query) -> bool {
    let mut check = ReadOnlyCheck;
    query.visit(&mut check).is_continue()
}

/// Stops visiting a query at the first part that may have side effects.
struct ReadOnlyCheck;

impl Visitor for ReadOnlyCheck {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let locks = !query.locks.is_empty();
        if locks || !is_read_only_body(&query.body) {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        if let Expr::Function(function) = expression {
            let name = function.name.to_string().to_lowercase();
            if !READ_ONLY_FUNCTIONS.contains(&name.as_str()) {
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }
}

fn is_read_only_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::SetOperation { left, right, .. } => is_read_only_body(left) && is_read_only_body(right),
        _ => false,
    }
}
