//! Settings of an engine node and their validation.

use std::net::SocketAddr;

use millwind_core::data_residency::Topology;
use millwind_core::ids::{RegionName, ZoneName};
use millwind_core::warm_up::WarmUpTolerance;
use thiserror::Error;

/// Time within which a zone is evacuated if the deployment has no bound for it, in milliseconds.
pub const DEFAULT_EVACUATION_MS: u64 = 5_000;

/// Settings of a node, independent of the file format that the adapter reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSettings {
    /// Name of the node, unique within the deployment.
    pub name: String,
    /// Zone the node runs in.
    pub zone: String,
    /// Listen address for callers.
    pub client_address: SocketAddr,
    /// Listen address for readiness probes.
    pub ready_address: SocketAddr,
    /// Listen address for metrics.
    pub metrics_address: SocketAddr,
    /// Listen address for other nodes.
    pub peer_address: SocketAddr,
    /// Addresses of peers to contact while no other node is known; may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment is starting for the first time.
    pub is_first_start: bool,
    /// Interval of the instances' heartbeats in the store, in milliseconds.
    pub heartbeat_ms: u64,
    /// Maximum duration of a planned stop, in milliseconds.
    pub grace_ms: u64,
    /// Maximum number of concurrent callers.
    pub maximum_clients: usize,
    /// Minimum time between actions of two different failover owners of a group, in
    /// milliseconds; zero if fencing alone separates them.
    pub duty_lease_ms: u64,
    /// Whether a promotion immediately fences the old leader, and orders with an outdated
    /// token are refused. If not, nodes give up their lead permits before a promotion is
    /// ordered.
    pub promotion_fences: bool,
    /// Time after which an instance that announced its shutdown must receive nothing new,
    /// in milliseconds.
    pub drain_bound_ms: u64,
    /// Time after the acceptance of a configuration within which it must be in force on
    /// all nodes, in milliseconds.
    pub config_bound_ms: u64,
    /// Regions of the deployment's zones, including this node's zone.
    pub topology: Topology,
    /// Link bandwidth of the machine in Mbit/s, or zero if unknown.
    pub link_mbps: u32,
    /// Whether the lead of a group moves to another region if customers' region restrictions
    /// exclude the region of its leader. If not, statements that need the leader are refused.
    pub relocates_leads: bool,
    /// Time after the acceptance of a zone evacuation within which the zone's instances
    /// must stop receiving new work, in milliseconds. `None` if the deployment has no such
    /// bound; zones are then evacuated within [`DEFAULT_EVACUATION_MS`] of reading the request.
    pub evacuation_bound_ms: Option<u64>,
    /// Number of statements allowed to cold instances beyond the configured limits.
    pub warm_up_tolerance: WarmUpTolerance,
}

/// Error for an invalid setting.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{field} is {value}, must be {allowed}")]
pub struct SettingsError {
    /// Name of the setting.
    pub field: &'static str,
    /// Invalid value.
    pub value: String,
    /// Description of the valid values.
    pub allowed: &'static str,
}

impl EngineSettings {
    /// Returns the region of this node, or `None` if the topology does not contain its
    /// zone.
    pub fn region(&self) -> Option<&RegionName> {
        self.topology.region_of(&ZoneName::from(self.zone.as_str()))
    }

    /// Returns the time within which a zone is evacuated, in milliseconds.
    pub fn evacuation_ms(&self) -> u64 {
        self.evacuation_bound_ms.unwrap_or(DEFAULT_EVACUATION_MS)
    }

    /// Validates the ranges of the settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_text("name", &self.name)?;
        check_text("zone", &self.zone)?;
        check_range("heartbeat_ms", self.heartbeat_ms, 50, 600_000, "50 to 600000 ms")?;
        check_range("grace_ms", self.grace_ms, 100, 600_000, "100 to 600000 ms")?;
        let config_bound = self.config_bound_ms;
        check_range("config_bound_ms", config_bound, 500, 600_000, "500 to 600000 ms")?;
        check_range(
            "evacuation_bound_ms",
            self.evacuation_ms(),
            500,
            600_000,
            "500 to 600000 ms",
        )?;
        let overage = self.warm_up_tolerance.overage_percent;
        check_range(
            "warm_up_tolerance.overage_percent",
            overage,
            100,
            10_000,
            "100 to 10000 percent",
        )?;
        let clients = self.maximum_clients as u64;
        check_range("maximum_clients", clients, 1, 1_000_000, "1 to 1000000")
    }
}

fn check_text(field: &'static str, value: &str) -> Result<(), SettingsError> {
    if value.is_empty() || value.len() > 200 {
        return Err(SettingsError {
            field,
            value: format!("{value:?}"),
            allowed: "1 to 200 characters",
        });
    }
    Ok(())
}

fn check_range(
    field: &'static str,
    value: u64,
    minimum: u64,
    maximum: u64,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    if value < minimum || value > maximum {
        return Err(SettingsError {
            field,
            value: value.to_string(),
            allowed,
        });
    }
    Ok(())
}
