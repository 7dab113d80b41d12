//! The state of a client session, and the steps that apply it to a shared back-end
//! connection.
//!
//! Session values and prepared statements belong to the client's session, while its
//! statements run on connections shared with other sessions. Before each statement, the
//! connection is brought to the session's state with as few steps as possible. The name of
//! a prepared statement on a shared connection is derived from its content, so that
//! sessions which prepare the same statement share it and names never collide.

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest, Sha256};

/// Whether a prepared statement changes data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Access {
    /// The statement only reads.
    Read,
    /// The statement writes.
    Write,
}

/// Longest text that is part of a shared name, in bytes. Longer texts are represented by a
/// digest.
const MAX_NAMED_TEXT_BYTES: usize = 64;

/// A prepared statement as defined by a session.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PreparedStatement {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// The statement's text without its name.
    pub text: String,
}

impl PreparedStatement {
    /// Returns the name of the statement on shared connections, which is a single field of a
    /// message: it has no blanks and is short. Statements of different text or access have
    /// different names.
    pub fn shared_name(&self) -> String {
        let access = match self.access {
            Access::Read => 'r',
            Access::Write => 'w',
        };
        match is_short_word(&self.text) {
            true => format!("{access}_{}", self.text),
            false => format!("{access}#{}", hex_digest(&self.text)),
        }
    }
}

fn is_short_word(text: &str) -> bool {
    text.len() <= MAX_NAMED_TEXT_BYTES && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn hex_digest(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The values and prepared statements of a client session.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SessionState {
    /// Values by name.
    pub values: BTreeMap<String, String>,
    /// Prepared statements by the client's name for them.
    pub prepared: BTreeMap<String, PreparedStatement>,
}

/// The values and prepared statements present on a back-end connection.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConnectionState {
    /// Values by name.
    pub values: BTreeMap<String, String>,
    /// Statements prepared on the connection.
    pub prepared: BTreeSet<PreparedStatement>,
}

/// A step that prepares a connection for a session's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PreparationStep {
    /// Discard all values and prepared statements.
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
    /// Returns the steps required before a statement of `session` may run on this
    /// connection. `needed` is the prepared statement that it executes, if any.
    ///
    /// A value that the session does not set requires a reset, which prevents state from
    /// leaking between sessions.
    pub fn preparation_steps(
        &self,
        session: &SessionState,
        needed: Option<&PreparedStatement>,
    ) -> Vec<PreparationStep> {
        let must_reset = self.values.keys().any(|name| !session.values.contains_key(name));
        let mut steps = Vec::new();
        if must_reset {
            steps.push(PreparationStep::Reset);
        }
        for (name, value) in &session.values {
            if must_reset || self.values.get(name) != Some(value) {
                steps.push(PreparationStep::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        if let Some(statement) = needed
            && (must_reset || !self.prepared.contains(statement))
        {
            steps.push(PreparationStep::Prepare(statement.clone()));
        }
        steps
    }

    /// Updates the connection's state after `step` succeeded.
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
