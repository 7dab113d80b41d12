//! Assigns instances to owner nodes by rendezvous hashing.
//!
//! Nodes in the instance's zone are preferred, then nodes in its region, then all others.
//! The loss of a node reassigns only the instances that this node owned.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceName, NodeName, RegionName, ZoneName};

/// A node that may own instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The node.
    pub node: &'a NodeName,
    /// Zone that the node runs in.
    pub zone: &'a ZoneName,
    /// Region that contains the zone.
    pub region: &'a RegionName,
}

/// Returns the rendezvous score of `node` for `key`; the node with the highest score is
/// preferred.
pub fn score(node: &str, key: &str) -> u64 {
    let mut text = String::with_capacity(node.len() + key.len() + 1);
    text.push_str(node);
    text.push('/');
    text.push_str(key);
    xxh3_64(text.as_bytes())
}

/// Returns the owner of `instance`, or `None` if there are no candidates.
pub fn owner<'a>(
    instance: &InstanceName,
    zone: &ZoneName,
    region: &RegionName,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<&'a NodeName> {
    let proximity = |candidate: &Candidate<'a>| {
        if candidate.zone == zone {
            2u8
        } else {
            u8::from(candidate.region == region)
        }
    };
    candidates
        .max_by_key(|candidate| {
            let weight = score(candidate.node.as_str(), instance.as_str());
            (proximity(candidate), weight, candidate.node)
        })
        .map(|candidate| candidate.node)
}

/// Returns the number of connections that one owner may open: half of the limit that
/// remains after status checks, and at least one. Two nodes whose membership views differ
/// may both act as owner, and must stay within the limit together.
pub fn owner_connection_cap(connection_limit: u32, status_connections: u32) -> u32 {
    (connection_limit.saturating_sub(status_connections) / 2).max(1)
}

/// Returns the `count` members that act as relays for `key`, highest score first.
pub fn select_relays<'a>(
    key: &str,
    members: impl Iterator<Item = &'a NodeName>,
    count: usize,
) -> Vec<&'a NodeName> {
    let mut scored: Vec<_> = members.map(|node| (score(node.as_str(), key), node)).collect();
    scored.sort_by(|left, right| right.cmp(left));
    scored.truncate(count);
    scored.into_iter().map(|(_, node)| node).collect()
}
