//! Positions in a group's replicated log, and the test whether one position covers another.
//!
//! In PostgreSQL terms, a term corresponds to a timeline id and a log position to an LSN.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The number of a group's term. Each election increases the term; it never decreases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Term(pub u64);

/// A byte position in the log of one term (an LSN).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:X}/{:X}", self.0 >> 32, self.0 & 0xffff_ffff)
    }
}

/// The error for a log position text that is not two hexadecimal halves separated by a
/// slash.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("log position {0:?} is not of the form X/Y with hexadecimal halves of at most 8 digits")]
pub struct ParseLogPositionError(pub String);

impl FromStr for LogPosition {
    type Err = ParseLogPositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseLogPositionError(text.to_owned());
        let (high, low) = text.split_once('/').ok_or_else(error)?;
        let high = u32::from_str_radix(high, 16).map_err(|_| error())?;
        let low = u32::from_str_radix(low, 16).map_err(|_| error())?;
        Ok(LogPosition(u64::from(high) << 32 | u64::from(low)))
    }
}

/// A position in a group's log: a term and a log position within that term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    /// Term that the log position belongs to.
    pub term: Term,
    /// Position in the log of that term.
    pub log_position: LogPosition,
}

impl Position {
    /// Creates a position from a term number and a byte position.
    pub const fn new(term: u64, log_position: u64) -> Self {
        Position {
            term: Term(term),
            log_position: LogPosition(log_position),
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.term, self.log_position)
    }
}

/// The point at which a term's log branched off from its predecessor's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TermStart {
    /// The term that starts here.
    pub term: Term,
    /// Start of the term; the log before this position is inherited from earlier terms.
    pub start: LogPosition,
}

/// Whether an instance holds the log up to a given position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Coverage {
    /// The instance holds the log up to the position.
    Covered,
    /// The instance does not hold the position yet, but may still receive it.
    Behind,
    /// The position belongs to a log tail that a later term discarded.
    Discarded,
}

/// Determines whether an instance at position `held` with the term starts `history` holds
/// the log up to `wanted`.
///
/// Reads are released on [`Coverage::Covered`], so this result must guarantee that a
/// session which has observed `wanted` never reads older data.
pub fn coverage(held: Position, history: &[TermStart], wanted: Position) -> Coverage {
    if held.term < wanted.term {
        return Coverage::Behind;
    }
    if held.term > wanted.term {
        let later_starts = history
            .iter()
            .filter(|entry| entry.term > wanted.term && entry.term <= held.term)
            .map(|entry| entry.start);
        match later_starts.min() {
            // Without the branch point, it is unknown how much of the older term was kept.
            None => return Coverage::Behind,
            Some(start) if start < wanted.log_position => return Coverage::Discarded,
            Some(_) => {}
        }
    }
    if held.log_position >= wanted.log_position {
        Coverage::Covered
    } else {
        Coverage::Behind
    }
}
