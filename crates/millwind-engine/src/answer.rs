//! The answer to a caller's statement: success, back-end error or refusal.

use millwind_core::error_kind::ErrorKind;

use crate::backend::ExchangeError;
use crate::statement::BackEndError;

/// The engine's refusal of a statement, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Human-readable detail.
    pub detail: String,
    /// Time after which the caller may retry, in milliseconds; `None` for the default of
    /// the error kind.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Creates a refusal of `kind` with the default retry delay.
    pub fn new(kind: ErrorKind, detail: impl ToString) -> Self {
        Refusal {
            kind,
            detail: detail.to_string(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of `kind` caused by a failed exchange with an instance.
    pub fn from_link_error(kind: ErrorKind, error: ExchangeError) -> Self {
        Refusal {
            retry_after_ms: error.retry_after_ms(),
            ..Refusal::new(kind, error)
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after_ms(self, retry_after_ms: u32) -> Self {
        Refusal {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }
}

/// Why a statement did not succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The engine refused the statement.
    Refused(Refusal),
    /// The back end returned an error, which is passed on unchanged.
    BackEnd(BackEndError),
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Failure::Refused(refusal)
    }
}

impl Failure {
    /// Returns the name used in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Failure::Refused(refusal) => refusal.kind.name(),
            Failure::BackEnd(error) => error.kind.name(),
        }
    }

    /// Returns the human-readable detail.
    pub fn detail(&self) -> &str {
        match self {
            Failure::Refused(refusal) => &refusal.detail,
            Failure::BackEnd(error) => &error.text,
        }
    }
}

/// The result of a successful statement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Success {
    /// Rows, passed on unchanged.
    pub rows: Vec<String>,
    /// The back end's signature; `None` if the engine answered the statement itself.
    pub signature: Option<String>,
}

/// The answer to one statement.
pub type Answer = Result<Success, Failure>;
