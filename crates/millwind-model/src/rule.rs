//! The guarding rules, each of which can be switched off.

use clap::ValueEnum;

/// A rule that some property rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, ValueEnum)]
pub enum Rule {
    /// A write is acknowledged only after its confirmation.
    Confirmation,
    /// The confirming majority has received the commit.
    Replicated,
    /// A read is released only when the position covers the token.
    Coverage,
    /// A position of a later term covers only what that term kept.
    BranchPoint,
    /// "Not run" after sending is told only behind a fence in the ledger.
    Fence,
    /// A request with an id is recorded in its own transaction.
    LedgerRow,
    /// A request without an id is not sent again once sent.
    NoRepeatAfterSent,
    /// A configuration document is replaced only by a newer one.
    NewerOnly,
    /// A change names the revision it was made from.
    CompareAndSwap,
    /// A change is recognised by its id when its answer was lost.
    ChangeId,
    /// A node without a fresh contact stops serving.
    Freshness,
    /// A contact passed on counts only with a configuration as new.
    ContactVouches,
    /// The age of a contact counts from when it was asked for.
    ContactFromAsking,
    /// Pins of an earlier process never name a transaction of this one.
    PinEpoch,
    /// A reply is matched by its request id, not by its order.
    ReplyById,
    /// A permit to count on a leader ends with the news that it rests on.
    PermitExpires,
    /// A permit is looked at when an answer is taken in, not only before.
    PermitAtAnswer,
    /// Statements settle only while the permit of before would have lasted.
    SettleWithinPermit,
    /// The age of news counts from when they were asked for.
    NewsFromAsking,
    /// News give permits only to a node that was registered when it asked.
    RegisteredFirst,
    /// The promoter reads the nodes after it has closed the term.
    ListAfterClosing,
    /// Every permit is revoked before the order.
    RevokeBeforeOrder,
    /// A leader counts as stepped down once it has said so.
    StepDownHeard,
    /// That word counts for the life of the leader that gave it.
    StepDownOfLife,
    /// A comparison of positions counts while all who paused for it live on.
    PauseOfLife,
}
