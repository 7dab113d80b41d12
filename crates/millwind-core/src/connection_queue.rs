//! Who gets a connection that becomes free, where each serves one user.
//!
//! Load pattern: an instance has more to do than it can serve, and statements of many
//! tenants wait at the node that holds its connections. Given to the first that
//! waits, nearly every connection is closed and opened anew for another tenant, and
//! the instance spends on that (12 ms of a slot) as much as on the statement itself.
//! Given to the next of the same tenant, it runs one after the other.

/// The first in line gives way until so many went ahead of it: their statements take
/// less time together than its aim leaves it (4 times some 15 ms of 600 ms and more).
/// Those behind it may be passed over as often again while they are not the first.
const MOST_PASSED_OVER: u8 = 4;

/// One that waits for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Lower goes first.
    pub rank: u8,
    /// The connection that becomes free is its user's.
    pub is_same_user: bool,
    /// Others that came later and went first.
    pub passed_over: u8,
}

/// Index of the one that goes next, of those that wait in the order of their ranks and
/// arrival.
pub fn next_in_line(waiting: impl IntoIterator<Item = Waiting>) -> Option<usize> {
    let mut waiting = waiting.into_iter().enumerate();
    let (_, first) = waiting.next()?;
    if first.is_same_user || first.passed_over >= MOST_PASSED_OVER {
        return Some(0);
    }
    let of_its_rank = waiting.take_while(|(_, other)| other.rank == first.rank);
    let mut same_user = of_its_rank.filter(|(_, other)| other.is_same_user);
    Some(same_user.next().map_or(0, |(index, _)| index))
}
