//! Selection of the waiting request that receives a free connection, where each connection
//! belongs to one database user.
//!
//! While an instance is overloaded, requests of many tenants wait for its connections. In
//! strict order of arrival almost every connection would be closed and reopened for
//! another user, which costs the instance about as much as a statement. Requests of the
//! connection's user are therefore preferred, within limits that prevent starvation.

/// Number of later requests that may overtake the head of the queue. Requests behind the
/// head may be overtaken more often, because they also wait for the head.
/// The statements that overtake take less time together than the target latency of the head
/// leaves: 4 times some 15 ms, of 600 ms and more.
const MAX_OVERTAKES: u8 = 4;

/// A request that waits for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Priority; lower ranks are served first.
    pub rank: u8,
    /// Whether the free connection belongs to the request's user.
    pub is_same_user: bool,
    /// Number of later requests that have overtaken this one.
    pub overtaken_count: u8,
}

/// Returns the index of the request to serve next; `None` if no request waits. `waiting`
/// must be ordered by rank and then by arrival.
pub fn select_next(waiting: impl IntoIterator<Item = WaitingRequest>) -> Option<usize> {
    let mut waiting = waiting.into_iter().enumerate();
    let (_, first) = waiting.next()?;
    if first.is_same_user || first.overtaken_count >= MAX_OVERTAKES {
        return Some(0);
    }
    let same_rank = waiting.take_while(|(_, other)| other.rank == first.rank);
    let mut same_user = same_rank.filter(|(_, other)| other.is_same_user);
    Some(same_user.next().map_or(0, |(index, _)| index))
}
