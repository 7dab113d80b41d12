//! The protocol rules, each of which can be disabled.

use clap::ValueEnum;

/// A protocol rule that at least one invariant depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, ValueEnum)]
pub enum Rule {
    /// A write is acknowledged only after its confirmation.
    Confirmation,
    /// Only instances that have received the commit count towards its confirmation.
    Replicated,
    /// A read is answered only at a position that covers the session's token.
    Coverage,
    /// A position of a later term covers only the log entries that this term kept.
    BranchPoint,
    /// A sent write is reported as "not run" only after a fence in the ledger.
    Fence,
    /// A request with an id is recorded in the ledger in the same transaction.
    LedgerRow,
    /// A request without an id is not resent after its answer is lost.
    NoRepeatAfterSent,
    /// A configuration document is replaced only by a newer revision.
    NewerOnly,
    /// A change states the revision that it is based on.
    CompareAndSwap,
    /// A change that is retried after a lost answer is recognised by its id.
    ChangeId,
    /// A node without recent contact to the platform stops serving.
    Freshness,
    /// A contact counts only if the node has the configuration revision that it vouches for.
    ContactVouches,
    /// The age of a contact is measured from its request.
    ContactFromAsking,
    /// A pin of an earlier owner process never matches a transaction of the current process.
    PinEpoch,
    /// A reply is matched by its request id, not by its order of arrival.
    ReplyById,
    /// A permit expires with the last confirmation of closed terms.
    PermitExpires,
    /// A permit is checked when the answer arrives, not only when the request is sent.
    PermitAtAnswer,
    /// Answers after the closing of a term count only while the former permit would have lasted.
    SettleWithinPermit,
    /// The age of a confirmation of closed terms is measured from its request.
    NewsFromAsking,
    /// A confirmation gives a permit only if the node was registered at the request.
    RegisteredFirst,
    /// A node's record registers only the process that wrote it.
    RecordOfProcess,
    /// A write of a node's record depends on the last revision of the record.
    ConditionalRecord,
    /// The promoter lists the nodes after it has closed the term.
    ListAfterClosing,
    /// Every permit is revoked or has expired before the promotion.
    RevokeBeforeOrder,
    /// A leader counts as stepped down only after it has confirmed the step-down.
    StepDownHeard,
    /// A confirmed step-down holds only for the incarnation that confirmed it.
    StepDownOfLife,
    /// A paused position counts only while the replica has not restarted since.
    PauseOfLife,
}
