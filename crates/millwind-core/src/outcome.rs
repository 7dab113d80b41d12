//! Tracks how far a request has progressed, and decides from that whether to retry it and
//! which error may be reported.

use crate::error_kind::{Effect, ErrorKind};

/// The progress of a request, as far as its effect on data is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Progress {
    /// No part of the request was sent to a back end.
    NotSent,
    /// The request was sent, and a back end may have received it.
    Sent,
    /// The back end's transaction is known to be rolled back or discarded.
    ProvenUndone,
    /// The complete response was read.
    Answered,
}

/// The next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Retry the request, on the same instance or another.
    RunAgain,
    /// Look up the outcome by the request's id before answering the client.
    Resolve,
    /// Report an error of this kind to the client.
    Tell(ErrorKind),
}

/// Properties of a request that determine how a failure is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestTraits {
    /// Whether the request only reads.
    pub read_only: bool,
    /// Whether the request's class allows the proxy to retry a write.
    pub may_repeat: bool,
    /// Whether the client supplied a request id.
    pub has_request_id: bool,
}

/// Returns the next step after an attempt failed with `failure`.
///
/// Invariant: an error kind whose effect is [`Effect::NotRun`] is reported only at
/// [`Progress::NotSent`], at [`Progress::ProvenUndone`], or for read-only requests. A
/// client may repeat the request after such an error, so a wrong report could apply a write
/// twice.
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

/// Returns whether an error of `kind` correctly describes the effect of a request at
/// `progress`.
pub fn is_accurate_report(progress: Progress, read_only: bool, kind: ErrorKind) -> bool {
    match kind.answer().effect {
        Effect::Unknown => true,
        Effect::NotRun => progress == Progress::NotSent || progress == Progress::ProvenUndone || read_only,
        Effect::RolledBack => progress != Progress::Answered || read_only,
    }
}
