//! Session tokens: what a caller carries from one proxy to another so that it
//! goes on reading its own writes.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::ids::GroupName;
use crate::position::{LogPosition, Position, Term};

/// Longest accepted token text in bytes; longer input is refused unread.
pub const MAXIMUM_TOKEN_BYTES: usize = 200;
const PREFIX: &str = "mw1";

/// The newest position a session has been shown, in one group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionToken {
    /// Group the position belongs to.
    pub group: GroupName,
    /// Position the session must see again.
    pub position: Position,
}

impl fmt::Display for SessionToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let term = self.position.term.0;
        let log_position = self.position.log_position.0;
        write!(formatter, "{PREFIX}:{}:{term}:{log_position:x}", self.group)
    }
}

/// Why a token text was refused.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// Longer than any token this program writes.
    #[error("session token is longer than {MAXIMUM_TOKEN_BYTES} bytes")]
    TooLong,
    /// Not the four fields `mw1:group:term:position`.
    #[error("session token is not of the form mw1:group:term:position")]
    Shape,
    /// A field is not a number in its range.
    #[error("session token field {0} is not a number in its range")]
    Field(&'static str),
}

impl FromStr for SessionToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAXIMUM_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        let mut fields = text.split(':');
        let prefix = fields.next();
        let group = fields.next().ok_or(TokenError::Shape)?;
        let term = fields.next().ok_or(TokenError::Shape)?;
        let log_position = fields.next().ok_or(TokenError::Shape)?;
        if prefix != Some(PREFIX) || group.is_empty() || fields.next().is_some() {
            return Err(TokenError::Shape);
        }
        let term = term.parse().map_err(|_| TokenError::Field("term"))?;
        let log_position =
            u64::from_str_radix(log_position, 16).map_err(|_| TokenError::Field("position"))?;
        Ok(SessionToken {
            group: GroupName::from(group),
            position: Position {
                term: Term(term),
                log_position: LogPosition(log_position),
            },
        })
    }
}
