//! Tracks how far a request has progressed, and decides from that whether to retry it and
//! which error may be reported.

use crate::error_kind::{Effect, ErrorKind};

/// The progress of a request, as far as its effect on data is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestProgress {
    /// No part of the request was sent to a back end.
    NotSent,
    /// The request was sent, and a back end may have received it.
    Sent,
    /// The back end's transaction is known to be rolled back or discarded.
    ConfirmedNotApplied,
    /// The complete response was read.
    Answered,
}

/// The next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NextStep {
    /// Retry the request, on the same instance or another.
    Retry,
    /// Look up the outcome by the request's id before answering the client.
    ResolveOutcome,
    /// Report an error of this kind to the client.
    Report(ErrorKind),
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
/// [`RequestProgress::NotSent`], at [`RequestProgress::ConfirmedNotApplied`], or for read-only
/// requests. A client may repeat the request after such an error, so a wrong report could apply
/// a write twice.
pub fn next_step_after_failure(
    progress: RequestProgress,
    traits: RequestTraits,
    failure: ErrorKind,
) -> NextStep {
    match progress {
        RequestProgress::NotSent => NextStep::Retry,
        RequestProgress::Sent | RequestProgress::Answered if traits.read_only => NextStep::Retry,
        RequestProgress::ConfirmedNotApplied if traits.may_repeat => NextStep::Retry,
        RequestProgress::ConfirmedNotApplied => NextStep::Report(failure),
        RequestProgress::Sent | RequestProgress::Answered if traits.has_request_id => {
            NextStep::ResolveOutcome
        }
        RequestProgress::Sent | RequestProgress::Answered => NextStep::Report(ErrorKind::OutcomeUnknown),
    }
}

/// Returns whether an error of `kind` correctly describes the effect of a request at
/// `progress`.
pub fn is_accurate_report(progress: RequestProgress, read_only: bool, kind: ErrorKind) -> bool {
    match kind.answer().effect {
        Effect::Unknown => true,
        Effect::NotRun => {
            progress == RequestProgress::NotSent
                || progress == RequestProgress::ConfirmedNotApplied
                || read_only
        }
        Effect::RolledBack => progress != RequestProgress::Answered || read_only,
    }
}
