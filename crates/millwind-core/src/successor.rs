//! Successor selection: which replica may be promoted without losing an acknowledged commit.
//!
//! With synchronous replication a leader acknowledges a commit once
//! [`SuccessorRequirements::sync_replicas`] replicas have received it. A replica is a safe
//! successor if it holds every commit that was or will be acknowledged before its promotion
//! takes effect. [`choose_successor`] guarantees this under the following conditions:
//!
//! - *Receivers* are all instances except the leader whose receipt may still let the leader
//!   acknowledge a commit. An instance writes its record before it receives anything, so the
//!   records must be read after the other receivers have paused. An instance that registers
//!   after that has received nothing that a failed leader acknowledged. A record that has gone
//!   does not mean that its instance has ended.
//! - A receiver that has answered has paused replication ([`confirms_pause`]) and stays paused
//!   until the promotion takes effect. If fewer than `sync_replicas` receivers have not
//!   answered, the leader can acknowledge nothing more, and one of the answers covers each
//!   acknowledged commit. The replica with the highest position then holds all of them.
//! - *Former receivers* have ended. What they let the leader acknowledge lies at or before any
//!   position that the leader reported later, so a successor that holds such a position holds
//!   their commits too.
//! - An earlier order that may still be carried out can put the replica that it names in the
//!   lead until a later order takes effect. The later order must therefore name the same one.
//!
//! Without synchronous replication a promotion may lose commits, and one answer suffices.

use crate::ids::InstanceName;
use crate::position::{Position, Term};

/// A replica that is a candidate for promotion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Successor {
    /// Name of the replica.
    pub instance: InstanceName,
    /// Position up to which the replica has received the log.
    pub received: Position,
    /// Whether the replica will shut down soon.
    pub is_leaving: bool,
    /// Whether the replica's zone is being evacuated, so that another move would follow.
    pub is_evacuated: bool,
    /// Share of the statements requiring the leader that may run in the replica's region,
    /// in any unit; equal for all candidates if customers allow every region.
    pub servable_share: u64,
    /// Whether the replica has just started and accepts few statements.
    pub is_cold: bool,
    /// Whether an earlier promotion order, which may still be in progress, names the
    /// replica; breaks ties.
    pub is_named_in_order: bool,
    /// Whether the replica runs in the zone of this node; breaks ties.
    pub is_in_own_zone: bool,
    /// Whether an order to promote the replica was rejected. Its position still counts.
    pub is_rejected: bool,
}

/// What a successor must fulfil.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SuccessorRequirements {
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Number of receivers, including those that have answered.
    pub receivers: usize,
    /// For each former receiver, a position that the leader reported after the receiver had
    /// ended; `None` if the leader has not reported any.
    pub former_receivers: Vec<Option<Position>>,
    /// The position up to which commits are known to be acknowledged. A leader that is alive
    /// reports it; `None` if it is unknown.
    pub must_hold: Option<Position>,
    /// The replica that an order names which may still be carried out.
    pub open_order: Option<InstanceName>,
}

impl SuccessorRequirements {
    /// Returns whether the answers of `answered` receivers, the highest of which is
    /// `most_advanced`, cover all acknowledged commits.
    fn are_commits_covered(&self, answered: usize, most_advanced: Position) -> bool {
        let is_uncovered =
            |reported: &&Option<Position>| reported.is_none_or(|position| position > most_advanced);
        let uncovered = self.former_receivers.iter().filter(is_uncovered).count();
        let missing = self.receivers.saturating_sub(answered) + uncovered;
        self.sync_replicas == 0 || missing < self.sync_replicas
    }
}

/// Returns whether a replica that was asked to pause for the term `requested`, and reports the
/// term `reported`, has paused. A replica ignores a pause for a term that is not above its own.
pub fn confirms_pause(reported: Term, requested: Term) -> bool {
    reported < requested
}

/// Why no replica may be promoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoSuccessor {
    /// No replica has answered.
    NoAnswer,
    /// Receivers that have not answered may hold acknowledged commits that the others lack.
    MissingAnswers,
    /// The replica with the highest position does not hold the required one.
    Behind,
    /// The replicas that hold the required position are not the one that an earlier order names.
    OpenOrder,
    /// Orders to promote the replicas that hold the required position were rejected.
    Rejected,
}

impl NoSuccessor {
    /// Name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            NoSuccessor::NoAnswer => "no_answer",
            NoSuccessor::MissingAnswers => "missing_answers",
            NoSuccessor::Behind => "behind",
            NoSuccessor::OpenOrder => "open_order",
            NoSuccessor::Rejected => "rejected",
        }
    }
}

/// Returns the replica to promote, chosen from the receivers that have answered.
///
/// If the leader is alive, `must_hold` is the position that it reported; promoting a
/// replica behind that position would lose acknowledged commits. Replicas at or past it
/// lose nothing, so they are ranked by the share of statements they can serve. Without
/// `must_hold`, replicas are ranked by the log position they have received.
pub fn choose_successor<'a>(
    candidates: &'a [Successor],
    requirements: &SuccessorRequirements,
) -> Result<&'a Successor, NoSuccessor> {
    let positions = candidates.iter().map(|successor| successor.received);
    let most_advanced = positions.max().ok_or(NoSuccessor::NoAnswer)?;
    if !requirements.are_commits_covered(candidates.len(), most_advanced) {
        return Err(NoSuccessor::MissingAnswers);
    }
    let must_hold = requirements.must_hold;
    let is_synchronous = requirements.sync_replicas > 0;
    let is_complete = |successor: &Successor| {
        (!is_synchronous || successor.received == most_advanced)
            && must_hold.is_none_or(|minimum| successor.received >= minimum)
    };
    let open_order = requirements.open_order.as_ref();
    let is_named = |successor: &Successor| open_order.is_none_or(|named| successor.instance == *named);
    let complete = || candidates.iter().filter(|successor| is_complete(successor));
    let accepted = || complete().filter(|successor| !successor.is_rejected);
    accepted()
        .filter(|successor| is_named(successor))
        .max_by_key(|successor| {
            let received_if_lossy = must_hold.is_none().then_some(successor.received);
            let serving_order = (
                !successor.is_evacuated,
                successor.servable_share,
                !successor.is_cold,
            );
            let tie_breakers = (
                successor.received,
                successor.is_named_in_order,
                successor.is_in_own_zone,
            );
            (
                !successor.is_leaving,
                received_if_lossy,
                serving_order,
                tie_breakers,
            )
        })
        .ok_or_else(|| match (complete().next(), accepted().next()) {
            (None, _) => NoSuccessor::Behind,
            (Some(_), None) => NoSuccessor::Rejected,
            (Some(_), Some(_)) => NoSuccessor::OpenOrder,
        })
}
