//! What a hollow run measured.

use std::collections::BTreeMap;

use serde::Serialize;

use super::HollowSize;
use super::network::HollowNode;

/// Messages and bytes per second of one type.
#[derive(Debug, Clone, Default, Serialize)]
pub struct MessageLoad {
    /// Messages per second.
    pub messages_per_second: f64,
    /// Bytes per second, transport included.
    pub bytes_per_second: f64,
}

/// Load of a node.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Load {
    /// Bytes sent per second.
    pub sent_bytes_per_second: f64,
    /// Bytes received per second.
    pub received_bytes_per_second: f64,
    /// Share of a core, in percent.
    pub core_percent: f64,
}

/// Load of the nodes with one role.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RoleLoad {
    /// Nodes with the role.
    pub nodes: usize,
    /// Mean over them.
    pub mean: Load,
    /// Highest sum of bytes both ways per second of any one of them.
    pub highest_bytes_per_second: f64,
    /// Sent, by message type.
    pub by_type: BTreeMap<&'static str, MessageLoad>,
}

/// What a hollow run measured.
#[derive(Debug, Clone, Default, Serialize)]
pub struct HollowReport {
    /// Size of the run.
    pub size: Option<HollowSize>,
    /// Steady running, by role.
    pub steady: BTreeMap<&'static str, RoleLoad>,
    /// Control memory per node, in bytes.
    pub memory_bytes_per_node: u64,
    /// Bytes one configuration change costs a node, both ways: mean and highest.
    pub change_bytes_mean: f64,
    /// Highest of any node.
    pub change_bytes_highest: f64,
    /// From a change in the store to in force on the last live node, in
    /// milliseconds, sorted.
    pub change_in_force_ms: Vec<u64>,
    /// The same with all relays of a zone lost the moment before.
    pub change_relays_lost_ms: u64,
    /// From the death of a node to the last live node's knowing, in milliseconds.
    pub death_known_ms: u64,
    /// Bytes of member tables and configuration that a node's restart costs all
    /// nodes together.
    pub restart_bytes: f64,
    /// Time until a restarted node may serve, in milliseconds.
    pub restart_serving_ms: u64,
    /// Most links opened to one node within a second, when all are opened anew
    /// as far as messages need them.
    pub links_opened_in_first_second: usize,
    /// Connections a new owner opens to one instance per second, by the pool's
    /// pace; no more than its slots in all.
    pub pool_connections_per_second: f64,
    /// Nodes of a cut-off zone that stopped serving, of all its nodes.
    pub cut_zone_stopped: (usize, usize),
    /// Nodes elsewhere that went on serving meanwhile, of all others.
    pub cut_zone_others_serving: (usize, usize),
    /// Nodes declared dead by others while a zone was cut off.
    pub cut_zone_declared_dead: usize,
    /// Nodes serving in each region while the regions were cut.
    pub cut_region_serving: BTreeMap<String, (usize, usize)>,
    /// Nodes serving after a platform outage longer than the freshness bound.
    pub platform_outage_serving: (usize, usize),
    /// Watches on the platform.
    pub platform_watches: usize,
    /// Calls per second to the platform: signs of life of all watches.
    pub platform_calls_per_second: f64,
    /// Instances owned by a node: mean and highest.
    pub instances_owned: (f64, usize),
    /// Status questions per second at one instance, highest, idle.
    pub probes_at_instance_per_second: f64,
    /// Status questions per second by one node: mean and highest, idle.
    pub probes_by_node_per_second: (f64, f64),
    /// Bytes per second of these by a node: mean and highest.
    pub probe_bytes_per_second: (f64, f64),
    /// Time until the last of all gateways knows a new primary, in milliseconds.
    pub primary_known_ms: f64,
    /// Bytes the announcement costs its owner.
    pub primary_known_owner_bytes: u64,
    /// Wall-clock seconds of the run.
    pub wall_seconds: f64,
}

/// The load of nodes with one role.
pub(super) fn role_load<'a>(nodes: impl Iterator<Item = &'a HollowNode>, seconds: f64) -> RoleLoad {
    let mut load = RoleLoad::default();
    for node in nodes {
        load.nodes += 1;
        let sent: u64 = node.sent.values().map(|(_, bytes)| bytes).sum();
        load.mean.sent_bytes_per_second += sent as f64 / seconds;
        load.mean.received_bytes_per_second += node.received.1 as f64 / seconds;
        load.mean.core_percent += node.busy.as_secs_f64() / seconds * 100.0;
        let both = (sent + node.received.1) as f64 / seconds;
        load.highest_bytes_per_second = load.highest_bytes_per_second.max(both);
        for (kind, (messages, bytes)) in &node.sent {
            let entry = load.by_type.entry(kind).or_default();
            entry.messages_per_second += *messages as f64 / seconds;
            entry.bytes_per_second += *bytes as f64 / seconds;
        }
    }
    let count = load.nodes.max(1) as f64;
    load.mean.sent_bytes_per_second /= count;
    load.mean.received_bytes_per_second /= count;
    load.mean.core_percent /= count;
    for entry in load.by_type.values_mut() {
        entry.messages_per_second /= count;
        entry.bytes_per_second /= count;
    }
    load
}
