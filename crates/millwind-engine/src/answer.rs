//! What a caller is told.

use millwind_core::error_kind::ErrorKind;

use crate::backend::LinkError;
use crate::statement::BackEndError;

/// A statement that the engine gives up, with the truth about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind from the closed list.
    pub kind: ErrorKind,
    /// Detail for people.
    pub detail: String,
    /// When the caller may come back, in milliseconds; none for what the table says
    /// of the kind.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// A refusal of `kind`.
    pub fn new(kind: ErrorKind, detail: impl ToString) -> Self {
        Refusal {
            kind,
            detail: detail.to_string(),
            retry_after_ms: None,
        }
    }

    /// A refusal of `kind` since an exchange with an instance came to nothing.
    pub fn of_link(kind: ErrorKind, error: LinkError) -> Self {
        Refusal {
            retry_after_ms: error.retry_after_ms(),
            ..Refusal::new(kind, error)
        }
    }

    /// The same with the time after which the caller may come back.
    pub fn after_ms(self, retry_after_ms: u32) -> Self {
        Refusal {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }
}

/// Why a statement got no success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The engine gave it up.
    Refused(Refusal),
    /// The back end's own error, passed on unchanged.
    BackEnd(BackEndError),
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Failure::Refused(refusal)
    }
}

impl Failure {
    /// The name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Failure::Refused(refusal) => refusal.kind.name(),
            Failure::BackEnd(error) => error.kind.name(),
        }
    }

    /// Detail for people.
    pub fn detail(&self) -> &str {
        match self {
            Failure::Refused(refusal) => &refusal.detail,
            Failure::BackEnd(error) => &error.text,
        }
    }
}

/// A statement's success.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Success {
    /// Rows, unchanged.
    pub rows: Vec<String>,
    /// The back end's signature; none where the engine answered itself.
    pub signature: Option<String>,
}

/// The answer to one statement.
pub type Answer = Result<Success, Failure>;
