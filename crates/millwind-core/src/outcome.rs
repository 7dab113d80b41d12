//! How far a request has got, and what may truthfully be said about it.

use crate::error_kind::{Effect, ErrorKind};

/// The life of one request, as far as its effect is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Progress {
    /// No back end has been given any byte of it.
    NotSent,
    /// A back end may have it.
    Sent,
    /// The back end's transaction is proven rolled back or discarded.
    ProvenUndone,
    /// Its whole answer was read.
    Answered,
}

/// What may be done with a request after an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Run it again, here or elsewhere.
    RunAgain,
    /// Look its request id up before saying anything.
    Resolve,
    /// Tell the caller this kind now.
    Tell(ErrorKind),
}

/// Facts about the request that decide its fate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestTraits {
    /// True for statements that change nothing.
    pub read_only: bool,
    /// True when the tenant's class lets the proxy repeat it.
    pub may_repeat: bool,
    /// True when the caller gave a request id.
    pub has_request_id: bool,
}

/// Decides what follows a failed attempt of kind `failure`.
///
/// Must hold because `Tell(kind)` with a kind whose effect is
/// [`Effect::NotRun`] is only returned from [`Progress::NotSent`],
/// [`Progress::ProvenUndone`], or for statements that change nothing.
pub fn after_failure(progress: Progress, traits: RequestTraits, failure: ErrorKind) -> NextStep {
    match progress {
        Progress::NotSent => NextStep::RunAgain,
        Progress::Sent | Progress::Answered if traits.read_only => NextStep::RunAgain,
        Progress::ProvenUndone if traits.may_repeat => NextStep::RunAgain,
        Progress::ProvenUndone => NextStep::Tell(failure),
        Progress::Sent | Progress::Answered if traits.has_request_id => NextStep::Resolve,
        Progress::Sent | Progress::Answered => NextStep::Tell(ErrorKind::OutcomeUnknown),
    }
}

/// Whether `kind` may be told to the caller at `progress`.
pub fn is_truthful(progress: Progress, read_only: bool, kind: ErrorKind) -> bool {
    match kind.answer().effect {
        Effect::Unknown => true,
        Effect::NotRun => progress == Progress::NotSent || progress == Progress::ProvenUndone || read_only,
        Effect::RolledBack => progress != Progress::Answered || read_only,
    }
}
