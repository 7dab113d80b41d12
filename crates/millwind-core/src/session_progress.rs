//! How far a session has read and written in the group that it uses.

use crate::ids::GroupName;
use crate::position::Position;
use crate::token::SessionToken;

/// The positions that a session has seen and written. They belong to one group each: a session
/// whose tenant moves to another group starts again there.
#[derive(Debug, Default)]
pub struct SessionProgress {
    token: Option<SessionToken>,
    /// The session's last write. The token may be ahead of it because of reads; a failover may
    /// discard the difference.
    last_write: Option<SessionToken>,
    reported: Option<SessionToken>,
}

impl SessionProgress {
    /// Returns the progress of a session whose client presented `token`.
    pub fn with_token(token: Option<SessionToken>) -> Self {
        SessionProgress {
            last_write: token.clone(),
            token,
            reported: None,
        }
    }

    /// Replaces the progress by a token that the client presented, which may stand for a write.
    pub fn present(&mut self, token: SessionToken) {
        self.last_write = Some(token.clone());
        self.token = Some(token);
    }

    /// Returns the session's token.
    pub fn token(&self) -> Option<&SessionToken> {
        self.token.as_ref()
    }

    /// Returns the position that reads in `group` must include, or `None` if the session has no
    /// token of that group.
    pub fn position_in(&self, group: &GroupName) -> Option<Position> {
        position_in(self.token.as_ref(), group)
    }

    /// Records that the session has seen `position` in `group`.
    pub fn advance(&mut self, group: &GroupName, position: Position) {
        advance(&mut self.token, group, position);
    }

    /// Records a write of the session at `position` in `group`.
    pub fn record_write(&mut self, group: &GroupName, position: Position) {
        advance(&mut self.last_write, group, position);
    }

    /// Starts in `group` at the primary's current position, which covers everything that the
    /// session has written there.
    pub fn start_in(&mut self, group: &GroupName, position: Position) {
        let token = SessionToken {
            group: group.clone(),
            position,
        };
        self.present(token);
    }

    /// Moves the token back to the session's last write in `group`. Returns its position, or
    /// `None` if the token is not ahead of it.
    pub fn return_to_last_write(&mut self, group: &GroupName) -> Option<Position> {
        let written = position_in(self.last_write.as_ref(), group)?;
        if self.position_in(group)? <= written {
            return None;
        }
        self.token.clone_from(&self.last_write);
        Some(written)
    }

    /// Returns the token if the client has not been told of it.
    pub fn take_unreported(&mut self) -> Option<&SessionToken> {
        if self.token == self.reported {
            return None;
        }
        self.reported.clone_from(&self.token);
        self.token.as_ref()
    }
}

fn position_in(token: Option<&SessionToken>, group: &GroupName) -> Option<Position> {
    let token = token.filter(|token| token.group == *group)?;
    Some(token.position)
}

fn advance(token: &mut Option<SessionToken>, group: &GroupName, position: Position) {
    if position_in(token.as_ref(), group).is_none_or(|current| position > current) {
        *token = Some(SessionToken {
            group: group.clone(),
            position,
        });
    }
}
