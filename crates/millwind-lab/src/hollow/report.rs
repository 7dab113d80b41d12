//! Measurements of a simulation.

use std::collections::BTreeMap;

use serde::Serialize;

use super::SimulationSize;
use super::network::SimulatedNode;

/// Rate of messages of one type.
#[derive(Debug, Clone, Default, Serialize)]
pub struct MessageLoad {
    /// Messages per second.
    pub messages_per_second: f64,
    /// Bytes per second, including transport headers.
    pub bytes_per_second: f64,
}

/// Traffic and CPU use of a node.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Load {
    /// Bytes sent per second.
    pub sent_bytes_per_second: f64,
    /// Bytes received per second.
    pub received_bytes_per_second: f64,
    /// CPU use, in percent of one core.
    pub core_percent: f64,
}

/// Load of all nodes with the same role.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RoleLoad {
    /// Number of nodes.
    pub nodes: usize,
    /// Mean load per node.
    pub mean: Load,
    /// Highest rate of any node, sent and received bytes together.
    pub highest_bytes_per_second: f64,
    /// Mean rate of sent messages per node, by message type.
    pub by_type: BTreeMap<&'static str, MessageLoad>,
}

/// Measurements of a simulation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SimulationReport {
    /// Size of the simulated cluster.
    pub size: Option<SimulationSize>,
    /// Load in steady state, by role.
    pub steady: BTreeMap<&'static str, RoleLoad>,
    /// Memory of the control plane per node, in bytes.
    pub memory_bytes_per_node: u64,
    /// Mean traffic of one configuration change per node, sent and received, in bytes.
    pub change_bytes_mean: f64,
    /// Highest traffic that any node sent per configuration change, in bytes.
    pub change_bytes_highest: f64,
    /// Sorted times from a change in the store until the last live node has the
    /// change, in milliseconds.
    pub change_in_force_ms: Vec<u64>,
    /// The same time, in milliseconds, if all relays of a zone fail just before the
    /// change.
    pub change_relays_lost_ms: u64,
    /// Time from the failure of a node until the last live node detects the
    /// failure, in milliseconds.
    pub death_known_ms: u64,
    /// Bytes of membership and configuration messages that all nodes send after a
    /// node restarts.
    pub restart_bytes: f64,
    /// Time until a restarted node may serve, in milliseconds.
    pub restart_serving_ms: u64,
    /// Highest number of distinct peers that send to one node within the first
    /// second after a restart, each of which would need a connection.
    pub links_opened_in_first_second: usize,
    /// Computed rate at which a new owner opens connections to one instance, per
    /// second, until its pool is full.
    pub pool_connections_per_second: f64,
    /// Nodes of a partitioned zone that stopped serving, and all nodes of the zone.
    pub cut_zone_stopped: (usize, usize),
    /// Nodes of the other zones that kept serving, and all nodes of these zones.
    pub cut_zone_others_serving: (usize, usize),
    /// Increase of the highest number of members that any node considers dead,
    /// during the partition of a zone.
    pub cut_zone_declared_dead: usize,
    /// Serving nodes and all nodes of each region during a partition of the regions.
    pub cut_region_serving: BTreeMap<String, (usize, usize)>,
    /// Serving nodes and all nodes after a platform outage longer than the freshness
    /// bound.
    pub platform_outage_serving: (usize, usize),
    /// Number of watches on the platform.
    pub platform_watches: usize,
    /// Keep-alive calls of all watches to the platform, per second.
    pub platform_calls_per_second: f64,
    /// Instances owned by a node: mean and maximum.
    pub instances_owned: (f64, usize),
    /// Maximum rate of status probes to one idle instance, per second.
    pub probes_at_instance_per_second: f64,
    /// Status probes that an idle node sends per second: mean and maximum.
    pub probes_by_node_per_second: (f64, f64),
    /// Traffic of these probes per node, in bytes per second: mean and maximum.
    pub probe_bytes_per_second: (f64, f64),
    /// Time until the last gateway learns of a new primary, in milliseconds.
    pub primary_known_ms: f64,
    /// Bytes that an owner sends to announce the new primary to all gateways.
    pub primary_known_owner_bytes: u64,
    /// Wall-clock duration of the simulation, in seconds.
    pub wall_seconds: f64,
}

/// Computes the load of nodes with the same role over `seconds`.
pub(super) fn role_load<'a>(nodes: impl Iterator<Item = &'a SimulatedNode>, seconds: f64) -> RoleLoad {
    let mut load = RoleLoad::default();
    for node in nodes {
        load.nodes += 1;
        let sent: u64 = node.sent.values().map(|(_, bytes)| bytes).sum();
        load.mean.sent_bytes_per_second += sent as f64 / seconds;
        load.mean.received_bytes_per_second += node.received.1 as f64 / seconds;
        load.mean.core_percent += node.cpu_time.as_secs_f64() / seconds * 100.0;
        let total_bytes_per_second = (sent + node.received.1) as f64 / seconds;
        load.highest_bytes_per_second = load.highest_bytes_per_second.max(total_bytes_per_second);
        for (message_type, (messages, bytes)) in &node.sent {
            let entry = load.by_type.entry(message_type).or_default();
            entry.messages_per_second += *messages as f64 / seconds;
            entry.bytes_per_second += *bytes as f64 / seconds;
        }
    }
    let node_count = load.nodes.max(1) as f64;
    load.mean.sent_bytes_per_second /= node_count;
    load.mean.received_bytes_per_second /= node_count;
    load.mean.core_percent /= node_count;
    for entry in load.by_type.values_mut() {
        entry.messages_per_second /= node_count;
        entry.bytes_per_second /= node_count;
    }
    load
}
