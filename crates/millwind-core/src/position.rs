//! Positions in a group's replicated log, and whether one covers another.
//!
//! In PostgreSQL's words a term is a timeline id and a log position an LSN.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A group's term: it rises by an election and never falls.
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

/// A log position that is not two hexadecimal halves with a slash between.
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

/// A place in a group's history: a term and a log position within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    /// Term in which the position was read.
    pub term: Term,
    /// Position in that term's log.
    pub log_position: LogPosition,
}

impl Position {
    /// Builds a position from plain numbers.
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

/// Where a term branched off its predecessor's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TermStart {
    /// The term that began.
    pub term: Term,
    /// Everything below this position was kept from earlier terms.
    pub start: LogPosition,
}

/// Whether an instance at one position holds everything up to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Coverage {
    /// Everything up to the wanted position is there.
    Covered,
    /// Not yet, but it can still arrive.
    Behind,
    /// The wanted position was in a tail that a later term discarded.
    Discarded,
}

/// Decides whether an instance that reports `held` and the term starts
/// `history` holds everything up to `wanted`.
///
/// Must hold because reads are released on it: an answer of `Covered` means
/// that a session which saw `wanted` sees at least that much again.
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
            // Without the branch point nothing is known of the older term.
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
