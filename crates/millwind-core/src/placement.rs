//! Which node owns an instance: rendezvous hashing over the live nodes of its
//! zone, then its region, then anywhere.
//!
//! Losing one node moves only that node's instances.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceName, NodeName, RegionName, ZoneName};

/// A node that may own instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The node.
    pub node: &'a NodeName,
    /// Zone it runs in.
    pub zone: &'a ZoneName,
    /// Region of that zone.
    pub region: &'a RegionName,
}

/// The rendezvous score of `node` for `key`; the highest score wins.
pub fn score(node: &str, key: &str) -> u64 {
    let mut text = String::with_capacity(node.len() + key.len() + 1);
    text.push_str(node);
    text.push('/');
    text.push_str(key);
    xxh3_64(text.as_bytes())
}

/// The owner of `instance`, or none when there is no candidate at all.
pub fn owner<'a>(
    instance: &InstanceName,
    zone: &ZoneName,
    region: &RegionName,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<&'a NodeName> {
    let nearness = |candidate: &Candidate<'a>| {
        if candidate.zone == zone {
            2u8
        } else {
            u8::from(candidate.region == region)
        }
    };
    candidates
        .max_by_key(|candidate| {
            let weight = score(candidate.node.as_str(), instance.as_str());
            (nearness(candidate), weight, candidate.node)
        })
        .map(|candidate| candidate.node)
}

/// Connections one owner may open when two nodes may both believe that they
/// own the instance: half the limit, less what status checks need.
pub fn owner_connection_cap(connection_limit: u32, status_connections: u32) -> u32 {
    (connection_limit.saturating_sub(status_connections) / 2).max(1)
}

/// The `count` members that act as relays for a key, best first.
pub fn relays<'a>(key: &str, members: impl Iterator<Item = &'a NodeName>, count: usize) -> Vec<&'a NodeName> {
    let mut scored: Vec<_> = members.map(|node| (score(node.as_str(), key), node)).collect();
    scored.sort_by(|left, right| right.cmp(left));
    scored.truncate(count);
    scored.into_iter().map(|(_, node)| node).collect()
}
