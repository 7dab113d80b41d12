//! What callers saw, and the checks of it against the databases' own logs.

use std::collections::{BTreeMap, HashMap};

use millwind_core::invariant::Invariant;

use crate::instance::{LoggedTransaction, Statement};

/// What a caller was told of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// It took effect.
    Acknowledged,
    /// It was not run.
    NotRun,
    /// It ran and was undone.
    RolledBack,
    /// Nothing certain.
    Unknown,
}

/// One write as a caller saw it.
#[derive(Debug, Clone)]
pub struct WriteRecord {
    /// Marks its row.
    pub request: String,
    /// Group it went to.
    pub group: String,
    /// What the caller was told.
    pub told: Told,
    /// Error kind in the hint, if any.
    pub kind: String,
    /// When the answer came, in milliseconds since 1970.
    pub answered_at_ms: u64,
    /// Time from sending to answer, in microseconds.
    pub micros: u64,
}

/// One read as a caller saw it.
#[derive(Debug, Clone)]
pub struct ReadRecord {
    /// Whether it was answered.
    pub answered: bool,
    /// Error kind in the hint, if any.
    pub kind: String,
    /// When the answer came, in milliseconds since 1970.
    pub answered_at_ms: u64,
    /// Time from sending to answer, in microseconds.
    pub micros: u64,
}

/// A property that did not hold.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The property.
    pub invariant: Invariant,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    /// A violation with what was seen.
    pub fn new(invariant: Invariant, detail: impl Into<String>) -> Self {
        Violation {
            invariant,
            detail: detail.into(),
        }
    }
}

/// Everything callers saw in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Writes.
    pub writes: Vec<WriteRecord>,
    /// Reads.
    pub reads: Vec<ReadRecord>,
    /// Violations the callers saw themselves.
    pub violations: Vec<Violation>,
}

impl History {
    /// Adds another history.
    pub fn merge(&mut self, other: History) {
        self.writes.extend(other.writes);
        self.reads.extend(other.reads);
        self.violations.extend(other.violations);
    }

    /// Checks the writes of a group against the log of its present primary.
    pub fn check_group(&self, group: &str, log: &[LoggedTransaction]) -> Vec<Violation> {
        let counts = count_requests(log);
        let mut violations = Vec::new();
        for write in self.writes.iter().filter(|write| write.group == group) {
            let count = counts.get(write.request.as_str()).copied().unwrap_or(0);
            violations.extend(check_write(write, count));
        }
        violations.extend(log.iter().filter_map(check_transaction));
        violations
    }

    /// Violations by property name.
    pub fn by_property(violations: &[Violation]) -> BTreeMap<&'static str, usize> {
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
    let request = &write.request;
    if count > 1 {
        return Some(Violation::new(
            Invariant::AtMostOnce,
            format!("{request} ran {count} times"),
        ));
    }
    match write.told {
        Told::Acknowledged if count == 0 => Some(Violation::new(
            Invariant::NoOldPrimaryAcknowledgement,
            format!("{request} was acknowledged and is not in the primary's log"),
        )),
        Told::NotRun | Told::RolledBack if count == 1 => Some(Violation::new(
            Invariant::NotRunIsTrue,
            format!(
                "{request} was refused as {} and is in the primary's log",
                write.kind
            ),
        )),
        _ => None,
    }
}

/// A logged transaction must hold rows of one caller's transaction only.
fn check_transaction(transaction: &LoggedTransaction) -> Option<Violation> {
    let mut owners: Vec<&str> = transaction
        .statements
        .iter()
        .filter_map(marked_request)
        .map(transaction_of)
        .collect();
    owners.sort_unstable();
    owners.dedup();
    if owners.len() <= 1 {
        return None;
    }
    Some(Violation::new(
        Invariant::TransactionIsolation,
        format!("one transaction at {} holds rows of {owners:?}", transaction.end),
    ))
}

/// Requests of one transaction share everything before the last dot.
fn transaction_of(request: &str) -> &str {
    request
        .rsplit_once('.')
        .map_or(request, |(transaction, _)| transaction)
}

fn count_requests(log: &[LoggedTransaction]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for request in log
        .iter()
        .flat_map(|entry| &entry.statements)
        .filter_map(marked_request)
    {
        *counts.entry(request).or_default() += 1;
    }
    counts
}

/// The request that a booking statement marks.
fn marked_request(statement: &Statement) -> Option<&str> {
    if !statement.sql.contains("INSERT INTO booking") {
        return None;
    }
    if let Some(first) = statement.parameters.first() {
        return first.as_deref();
    }
    let (_, values) = statement.sql.split_once("VALUES ('")?;
    values.split_once('\'').map(|(request, _)| request)
}
