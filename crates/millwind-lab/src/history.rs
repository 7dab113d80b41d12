//! History of client requests, and its checks against the database logs.

use std::collections::{BTreeMap, HashMap};

use millwind_core::invariant::Invariant;

use crate::instance::{LoggedTransaction, Statement};

/// Outcome of a write as reported to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Acknowledged,
    /// The write did not run.
    NotRun,
    /// The write ran and was rolled back.
    RolledBack,
    /// The write may or may not have taken effect.
    Unknown,
}

/// One write as observed by a client.
#[derive(Debug, Clone)]
pub struct WriteRecord {
    /// Key of the inserted row, unique within a run.
    pub row_key: String,
    /// Database group of the tenant.
    pub group: String,
    /// Outcome reported to the client.
    pub outcome: WriteOutcome,
    /// Error kind; empty if the request succeeded.
    pub error_kind: String,
    /// Unix time of the answer, in milliseconds.
    pub answered_at_ms: u64,
    /// Latency, in microseconds.
    pub latency_us: u64,
}

/// One read as observed by a client.
#[derive(Debug, Clone)]
pub struct ReadRecord {
    /// Whether the read returned a result.
    pub answered: bool,
    /// Error kind; empty if the request succeeded.
    pub error_kind: String,
    /// Unix time of the answer, in milliseconds.
    pub answered_at_ms: u64,
    /// Latency, in microseconds.
    pub latency_us: u64,
}

/// A violated invariant.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Description of the observed behaviour.
    pub detail: String,
}

impl Violation {
    /// Creates a violation of `invariant`.
    pub fn new(invariant: Invariant, detail: impl Into<String>) -> Self {
        Violation {
            invariant,
            detail: detail.into(),
        }
    }
}

/// All requests and violations that the clients of a run observed.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// All writes.
    pub writes: Vec<WriteRecord>,
    /// All reads.
    pub reads: Vec<ReadRecord>,
    /// Violations that the clients detected in answers.
    pub violations: Vec<Violation>,
}

impl History {
    /// Appends the records of `other`.
    pub fn merge(&mut self, other: History) {
        self.writes.extend(other.writes);
        self.reads.extend(other.reads);
        self.violations.extend(other.violations);
    }

    /// Checks the writes of a group against the log of its current primary and
    /// returns the violations found.
    pub fn check_group(&self, group: &str, log: &[LoggedTransaction]) -> Vec<Violation> {
        let counts = count_row_keys(log);
        let mut violations = Vec::new();
        for write in self.writes.iter().filter(|write| write.group == group) {
            let count = counts.get(write.row_key.as_str()).copied().unwrap_or(0);
            violations.extend(check_write(write, count));
        }
        violations.extend(log.iter().filter_map(check_transaction));
        violations
    }

    /// Returns the number of violations of every invariant, zeros included.
    pub fn violation_counts(violations: &[Violation]) -> BTreeMap<&'static str, usize> {
        let mut counts: BTreeMap<&'static str, usize> = Invariant::ALL
            .iter()
            .map(|invariant| (invariant.name(), 0))
            .collect();
        for violation in violations {
            *counts.entry(violation.invariant.name()).or_default() += 1;
        }
        counts
    }
}

fn check_write(write: &WriteRecord, count: usize) -> Option<Violation> {
    let row_key = &write.row_key;
    if count > 1 {
        return Some(Violation::new(
            Invariant::AtMostOnce,
            format!("{row_key} ran {count} times"),
        ));
    }
    match write.outcome {
        WriteOutcome::Acknowledged if count == 0 => Some(Violation::new(
            Invariant::NoOldPrimaryAcknowledgement,
            format!("{row_key} was acknowledged and is not in the primary's log"),
        )),
        WriteOutcome::NotRun | WriteOutcome::RolledBack if count == 1 => Some(Violation::new(
            Invariant::NotRunIsTrue,
            format!(
                "{row_key} was refused as {} and is in the primary's log",
                write.error_kind
            ),
        )),
        _ => None,
    }
}

/// Returns a violation if a logged transaction contains rows of several client transactions.
fn check_transaction(transaction: &LoggedTransaction) -> Option<Violation> {
    let mut prefixes: Vec<&str> = transaction
        .statements
        .iter()
        .filter_map(inserted_row_key)
        .map(transaction_prefix)
        .collect();
    prefixes.sort_unstable();
    prefixes.dedup();
    if prefixes.len() <= 1 {
        return None;
    }
    Some(Violation::new(
        Invariant::TransactionIsolation,
        format!(
            "transaction at log position {} contains rows of {prefixes:?}",
            transaction.end
        ),
    ))
}

/// Returns the part before the last dot, which all row keys of a client transaction share.
fn transaction_prefix(row_key: &str) -> &str {
    row_key
        .rsplit_once('.')
        .map_or(row_key, |(transaction, _)| transaction)
}

fn count_row_keys(log: &[LoggedTransaction]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for row_key in log
        .iter()
        .flat_map(|entry| &entry.statements)
        .filter_map(inserted_row_key)
    {
        *counts.entry(row_key).or_default() += 1;
    }
    counts
}

/// Returns the row key that a statement inserts into `booking`, if any.
fn inserted_row_key(statement: &Statement) -> Option<&str> {
    if !statement.sql.contains("INSERT INTO booking") {
        return None;
    }
    if let Some(first) = statement.parameters.first() {
        return first.as_deref();
    }
    let (_, values) = statement.sql.split_once("VALUES ('")?;
    values.split_once('\'').map(|(row_key, _)| row_key)
}
