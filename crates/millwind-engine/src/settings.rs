//! Checked settings of an engine node.

use std::net::SocketAddr;

use millwind_core::data_residency::Topology;
use millwind_core::ids::{RegionName, ZoneName};
use millwind_core::warm_up::WarmUpTolerance;
use thiserror::Error;

/// Settings of a node, from whatever file the adapter read them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSettings {
    /// Name, unique over the deployment.
    pub name: String,
    /// Zone it runs in.
    pub zone: String,
    /// Listener for callers.
    pub client_address: SocketAddr,
    /// Listener for readiness probes.
    pub ready_address: SocketAddr,
    /// Listener for metrics.
    pub metrics_address: SocketAddr,
    /// Listener for other nodes.
    pub peer_address: SocketAddr,
    /// Peer addresses to ask first; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// The deployment starts for the first time, with all its nodes.
    pub is_first_start: bool,
    /// Interval of the instances' heartbeats in the store, in milliseconds.
    pub heartbeat_ms: u64,
    /// Longest time a planned stop may take, in milliseconds.
    pub grace_ms: u64,
    /// Callers accepted at the same time.
    pub maximum_clients: usize,
    /// Two holders of the promotion duty must not act within this time of
    /// each other, in milliseconds; zero where fencing alone decides.
    pub duty_lease_ms: u64,
    /// A promotion takes the lead from the old leader at that moment, and an
    /// order under an old token is refused. Where it does not, nodes stop
    /// counting on the old leader before a promotion is ordered.
    pub promotion_fences: bool,
    /// An instance that announced its end must get nothing new after this
    /// time, in milliseconds.
    pub drain_bound_ms: u64,
    /// A configuration must be in force everywhere within this time after the
    /// operators were told that it is accepted, in milliseconds.
    pub config_bound_ms: u64,
    /// Regions of the deployment's zones, this node's own among them.
    pub topology: Topology,
    /// What the machine's link carries, in Mbit/s; zero where it is not told.
    pub link_mbps: u32,
    /// The lead of a group is handed over to another region where customers' terms
    /// exclude the one that it stands in; else statements that need it are refused.
    pub relocates_leads: bool,
    /// Nothing new reaches an instance of a zone so long after the operators were
    /// told that its evacuation is accepted, in milliseconds.
    pub evacuation_bound_ms: u64,
    /// Statements that cold instances are let have beyond their group's terms.
    pub warm_up_tolerance: WarmUpTolerance,
}

/// Why settings are refused.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{field} is {value}, must be {allowed}")]
pub struct SettingsError {
    /// Field at fault.
    pub field: &'static str,
    /// Its value.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}

impl EngineSettings {
    /// Region of this node; none where its zone is not among those of the settings.
    pub fn region(&self) -> Option<&RegionName> {
        self.topology.region_of(&ZoneName::from(self.zone.as_str()))
    }

    /// Checks every field against its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_text("name", &self.name)?;
        check_text("zone", &self.zone)?;
        check_range("heartbeat_ms", self.heartbeat_ms, 50, 600_000, "50 to 600000 ms")?;
        check_range("grace_ms", self.grace_ms, 100, 600_000, "100 to 600000 ms")?;
        let config_bound = self.config_bound_ms;
        check_range("config_bound_ms", config_bound, 500, 600_000, "500 to 600000 ms")?;
        let evacuation_bound = self.evacuation_bound_ms;
        check_range(
            "evacuation_bound_ms",
            evacuation_bound,
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
