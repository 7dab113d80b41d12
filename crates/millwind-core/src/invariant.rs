//! The nine properties that must always hold, by name.
//!
//! The model checker, the fuzz tests and the experiments all report against
//! this one list, so that a report can say what was checked where.

use std::fmt;

/// A property that must hold at all times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A session reads its own writes, also through another proxy.
    ReadYourWrites,
    /// No write is acknowledged by an old primary.
    NoOldPrimaryAcknowledgement,
    /// Transactions of different callers never share a back-end transaction.
    TransactionIsolation,
    /// Each caller gets the whole answer to its own request.
    WholeOwnAnswer,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving back end gets no new work after a few seconds.
    LeavingGetsNoWork,
    /// A planned stop cuts no request.
    PlannedStopCutsNothing,
    /// An accepted configuration is in force everywhere and never reverts.
    ConfigurationInForce,
}

impl Invariant {
    /// Every property, in the order of the users' brief.
    pub const ALL: [Invariant; 9] = [
        Invariant::ReadYourWrites,
        Invariant::NoOldPrimaryAcknowledgement,
        Invariant::TransactionIsolation,
        Invariant::WholeOwnAnswer,
        Invariant::NotRunIsTrue,
        Invariant::AtMostOnce,
        Invariant::LeavingGetsNoWork,
        Invariant::PlannedStopCutsNothing,
        Invariant::ConfigurationInForce,
    ];

    /// The name used in reports and JSON.
    pub const fn name(self) -> &'static str {
        match self {
            Invariant::ReadYourWrites => "read_your_writes",
            Invariant::NoOldPrimaryAcknowledgement => "no_old_primary_acknowledgement",
            Invariant::TransactionIsolation => "transaction_isolation",
            Invariant::WholeOwnAnswer => "whole_own_answer",
            Invariant::NotRunIsTrue => "not_run_is_true",
            Invariant::AtMostOnce => "at_most_once",
            Invariant::LeavingGetsNoWork => "leaving_gets_no_work",
            Invariant::PlannedStopCutsNothing => "planned_stop_cuts_nothing",
            Invariant::ConfigurationInForce => "configuration_in_force",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
