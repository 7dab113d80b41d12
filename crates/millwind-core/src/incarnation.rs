//! Lives of instances: one may start again under the name that it had, and then
//! knows nothing of before.

use std::fmt;
use std::net::SocketAddr;

/// One life of an instance, told by the time of its start in milliseconds since
/// 1970 by its own clock. Only good for telling lives apart: clocks may jump, so a
/// later life may have a lower number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// What the records of an instance tell of its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifeSigns {
    /// The life, where the record tells it.
    pub incarnation: Option<Incarnation>,
    /// How often this life has written its record, where it tells.
    pub heartbeat: Option<u64>,
    /// Where it listens.
    pub address: SocketAddr,
    /// It has announced that it will end.
    pub is_leaving: bool,
}

/// What shows that an instance began anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeEvidence {
    /// Its record names another life, or names one where the former named none.
    Incarnation,
    /// Its heartbeats are counted anew.
    Heartbeat,
    /// It listens elsewhere.
    Address,
    /// It had announced its end, and takes work again.
    Returned,
}

impl LifeEvidence {
    /// The name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            LifeEvidence::Incarnation => "incarnation",
            LifeEvidence::Heartbeat => "heartbeat",
            LifeEvidence::Address => "address",
            LifeEvidence::Returned => "returned",
        }
    }
}

/// What shows that `later`, written after `former` by the store's order, comes from
/// another life; none where both come from the same.
///
/// Answers an instance that crashes and is back within one heartbeat: neither a
/// missing record nor a refused connection need ever be seen. Only a different
/// incarnation counts, not a higher one, since clocks jump. A record that tells no
/// incarnation is judged by what a process cannot do: count its heartbeats back, move
/// to another address, or take its announced end back. Taking one life for two costs
/// some beliefs that are soon learnt again; taking two for one loses commits.
pub fn began_anew(former: &LifeSigns, later: &LifeSigns) -> Option<LifeEvidence> {
    if former.incarnation != later.incarnation {
        return Some(LifeEvidence::Incarnation);
    }
    if former.incarnation.is_some() {
        return None;
    }
    if former.address != later.address {
        return Some(LifeEvidence::Address);
    }
    if former.is_leaving && !later.is_leaving {
        return Some(LifeEvidence::Returned);
    }
    let counts_back = matches!((former.heartbeat, later.heartbeat), (Some(held), Some(new)) if new < held);
    counts_back.then_some(LifeEvidence::Heartbeat)
}
