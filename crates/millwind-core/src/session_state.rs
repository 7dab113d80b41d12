//! What a session keeps between statements, and how a shared back-end
//! connection is brought to it.
//!
//! Values and prepared statements belong to the caller's session, while its
//! statements run on connections that other sessions use as well. Before each
//! statement the connection is brought to the session's state with the fewest
//! steps. Prepared statements get names from their meaning, so that sessions
//! which prepare the same statement share it and names never clash.

use std::collections::{BTreeMap, BTreeSet};

/// Whether a prepared statement changes data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Access {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// A prepared statement as its session prepared it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PreparedStatement {
    /// Whether it changes data.
    pub access: Access,
    /// Its text, without a name.
    pub shape: String,
}

impl PreparedStatement {
    /// The name that every shared connection knows it by.
    pub fn shared_name(&self) -> String {
        match self.access {
            Access::Read => format!("r_{}", self.shape),
            Access::Write => format!("w_{}", self.shape),
        }
    }
}

/// What the caller has set and prepared in its session.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SessionState {
    /// Values by name.
    pub values: BTreeMap<String, String>,
    /// Prepared statements by the caller's name.
    pub prepared: BTreeMap<String, PreparedStatement>,
}

/// What a back-end connection holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConnectionState {
    /// Values by name.
    pub values: BTreeMap<String, String>,
    /// Statements prepared there.
    pub prepared: BTreeSet<PreparedStatement>,
}

/// One step that brings a connection nearer to a session's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PreparationStep {
    /// Drop all values and prepared statements.
    Reset,
    /// Set a value.
    Set {
        /// Name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepare a statement under its shared name.
    Prepare(PreparedStatement),
}

impl ConnectionState {
    /// The steps after which a statement of `session` may run here; `needed`
    /// is the prepared statement that it executes, if any.
    pub fn steps_to(
        &self,
        session: &SessionState,
        needed: Option<&PreparedStatement>,
    ) -> Vec<PreparationStep> {
        let has_foreign_value = self.values.keys().any(|name| !session.values.contains_key(name));
        let mut steps = Vec::new();
        if has_foreign_value {
            steps.push(PreparationStep::Reset);
        }
        for (name, value) in &session.values {
            if has_foreign_value || self.values.get(name) != Some(value) {
                steps.push(PreparationStep::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        if let Some(statement) = needed
            && (has_foreign_value || !self.prepared.contains(statement))
        {
            steps.push(PreparationStep::Prepare(statement.clone()));
        }
        steps
    }

    /// Records that `step` succeeded.
    pub fn apply(&mut self, step: &PreparationStep) {
        match step {
            PreparationStep::Reset => *self = ConnectionState::default(),
            PreparationStep::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
            }
            PreparationStep::Prepare(statement) => {
                self.prepared.insert(statement.clone());
            }
        }
    }
}
