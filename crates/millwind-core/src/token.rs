//! Session tokens, which a client passes from one proxy to another to keep reading its own
//! writes.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::ids::GroupName;
use crate::position::{LogPosition, Position, Term};

/// Maximum length of a token in bytes; longer input is rejected before parsing.
pub const MAXIMUM_TOKEN_BYTES: usize = 200;
const PREFIX: &str = "mw1";

/// The newest position that a session has observed in one group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SessionToken {
    /// Group that the position belongs to.
    pub group: GroupName,
    /// Position that the session's reads must include.
    pub position: Position,
}

impl fmt::Display for SessionToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let term = self.position.term.0;
        let log_position = self.position.log_position.0;
        write!(formatter, "{PREFIX}:{}:{term}:{log_position:x}", self.group)
    }
}

/// The reason why a token could not be parsed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// The token exceeds [`MAXIMUM_TOKEN_BYTES`].
    #[error("session token is longer than {MAXIMUM_TOKEN_BYTES} bytes")]
    TooLong,
    /// The token does not consist of the four fields `mw1:group:term:position`.
    #[error("session token is not of the form mw1:group:term:position")]
    Malformed,
    /// The named field is not a number in its range.
    #[error("session token field {0} is not a number in its range")]
    InvalidField(&'static str),
}

impl FromStr for SessionToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAXIMUM_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        let mut fields = text.split(':');
        let prefix = fields.next();
        let group = fields.next().ok_or(TokenError::Malformed)?;
        let term = fields.next().ok_or(TokenError::Malformed)?;
        let log_position = fields.next().ok_or(TokenError::Malformed)?;
        if prefix != Some(PREFIX) || group.is_empty() || fields.next().is_some() {
            return Err(TokenError::Malformed);
        }
        let term = term.parse().map_err(|_| TokenError::InvalidField("term"))?;
        let log_position =
            u64::from_str_radix(log_position, 16).map_err(|_| TokenError::InvalidField("position"))?;
        Ok(SessionToken {
            group: GroupName::from(group),
            position: Position {
                term: Term(term),
                log_position: LogPosition(log_position),
            },
        })
    }
}
