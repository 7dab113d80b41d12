//! The invariants of the proxy, by name.
//!
//! The model checker, the fuzz tests and the experiments report violations against this
//! common list.

use std::fmt;

/// A property that must hold at all times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A session reads its own writes, even through another proxy.
    ReadYourWrites,
    /// An old primary acknowledges no write.
    NoOldPrimaryAcknowledgement,
    /// Transactions of different callers never share a back-end transaction.
    TransactionIsolation,
    /// Each caller gets the complete answer to its own request.
    WholeOwnAnswer,
    /// A request that is reported as "not run" has not run.
    NotRunIsTrue,
    /// A request that is not safe to repeat runs at most once.
    AtMostOnce,
    /// A leaving back end gets no new work after a few seconds.
    LeavingGetsNoWork,
    /// A planned shutdown interrupts no request.
    PlannedStopCutsNothing,
    /// An accepted configuration is in force on every node and is never reverted.
    ConfigurationInForce,
}

impl Invariant {
    /// All invariants, in order of declaration.
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

    /// Returns the name used in reports and JSON.
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
