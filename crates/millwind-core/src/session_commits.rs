//! The commits that a session's later reads must see: the last one in each group that the
//! session wrote to.
//!
//! The number of groups is bounded. Of a commit that is forgotten only the time of its
//! acknowledgement is kept, which suffices: what the group's leader reports in response to a
//! later request covers the commit.

use crate::Instant;
use crate::ids::GroupName;
use crate::position::Position;

/// Maximum number of groups whose commits a session remembers.
pub const MAX_GROUPS: usize = 8;

/// A commit of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionCommit {
    /// Log position of the commit.
    pub position: Position,
    /// A time at or after the acknowledgement of the commit.
    pub acknowledged: Instant,
}

/// What a read in a group must see of its session's commits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnCommits {
    /// The session has not written to the group.
    None,
    /// The commit, and with it all earlier ones in the group.
    Last(SessionCommit),
    /// Commits at unknown positions, the last of which was acknowledged by this time.
    Until(Instant),
}

/// The last commits of a session.
#[derive(Debug, Default)]
pub struct SessionCommits {
    /// At most [`MAX_GROUPS`], the one acknowledged last at the end.
    commits: Vec<(GroupName, SessionCommit)>,
    /// When the last of the forgotten commits was acknowledged.
    forgotten_until: Option<Instant>,
}

impl SessionCommits {
    /// Records a commit in `group`. `position` is `None` if the leader did not report it.
    pub fn record(&mut self, group: &GroupName, position: Option<Position>, acknowledged: Instant) {
        self.commits.retain(|(other, _)| other != group);
        let Some(position) = position else {
            self.forget(acknowledged);
            return;
        };
        if self.commits.len() == MAX_GROUPS {
            let (_, oldest) = self.commits.remove(0);
            self.forget(oldest.acknowledged);
        }
        let commit = SessionCommit {
            position,
            acknowledged,
        };
        self.commits.push((group.clone(), commit));
    }

    fn forget(&mut self, acknowledged: Instant) {
        self.forgotten_until = self.forgotten_until.max(Some(acknowledged));
    }

    /// Returns what a read in `group` must see.
    pub fn in_group(&self, group: &GroupName) -> OwnCommits {
        if let Some((_, commit)) = self.commits.iter().find(|(other, _)| other == group) {
            return OwnCommits::Last(*commit);
        }
        self.forgotten_until.map_or(OwnCommits::None, OwnCommits::Until)
    }
}
