//! Reference deployments: zones, latencies, database groups, templates and tenants.

use std::time::Duration;

use clap::ValueEnum;

/// Name of a reference deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum DeploymentName {
    /// Glasfáil: greenhouse climate.
    Glasfail,
    /// Dixie Crossdock: pallet network.
    Dixie,
}

impl DeploymentName {
    /// Name as used in reports and tenant names.
    pub const fn as_str(self) -> &'static str {
        match self {
            DeploymentName::Glasfail => "glasfail",
            DeploymentName::Dixie => "dixie",
        }
    }
}

/// A zone of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Zone {
    /// Name of the zone.
    pub name: &'static str,
    /// Region of the zone.
    pub region: &'static str,
}

/// Description of a deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: DeploymentName,
    /// Prefix of group names.
    pub service: &'static str,
    /// Zones of the deployment, one instance of each group per zone.
    pub zones: [Zone; 3],
    /// One-way latency between zones of a region.
    pub zone_latency: Duration,
    /// One-way latency between regions.
    pub region_latency: Duration,
    /// One-way latency to clients.
    pub client_latency: Duration,
    /// Number of database groups.
    pub groups: usize,
    /// Maximum number of concurrent statements per instance.
    pub slots: u32,
    /// Maximum number of connections per instance.
    pub connections: u32,
    /// Simulated setup time of a database connection, in milliseconds.
    pub connect_ms: u64,
    /// Template document as TOML.
    pub template: &'static str,
    /// Name of the template.
    pub template_name: &'static str,
}

impl Deployment {
    /// Returns the deployment of this name.
    pub fn with_name(name: DeploymentName) -> Deployment {
        match name {
            DeploymentName::Glasfail => glasfail(),
            DeploymentName::Dixie => dixie(),
        }
    }

    /// One-way latency between two zones; zero within a zone.
    pub fn latency(&self, left: &str, right: &str) -> Duration {
        let region = |name: &str| {
            self.zones
                .iter()
                .find(|zone| zone.name == name)
                .map(|zone| zone.region)
        };
        if left == right {
            Duration::ZERO
        } else if region(left) == region(right) {
            self.zone_latency
        } else {
            self.region_latency
        }
    }

    /// Name of a group.
    pub fn group(&self, index: usize) -> String {
        format!("{}-{}", self.service, index + 1)
    }

    /// Name of the tenant that uses a group.
    pub fn tenant(&self, index: usize) -> String {
        format!("{}-{}", self.name.as_str(), index + 1)
    }
}

fn glasfail() -> Deployment {
    Deployment {
        name: DeploymentName::Glasfail,
        service: "climate-core",
        zones: [
            Zone {
                name: "naas-hall",
                region: "leinster",
            },
            Zone {
                name: "mallow-hall",
                region: "munster",
            },
            Zone {
                name: "athenry-hall",
                region: "connacht",
            },
        ],
        zone_latency: Duration::from_micros(1_500),
        region_latency: Duration::from_millis(20),
        client_latency: Duration::from_millis(3),
        groups: 3,
        slots: 5,
        connections: 40,
        connect_ms: 10,
        template: include_str!("../../../config/glasfail/template.toml"),
        template_name: "greenhouse",
    }
}

fn dixie() -> Deployment {
    Deployment {
        name: DeploymentName::Dixie,
        service: "network-ledger",
        zones: [
            Zone {
                name: "mobile-hall",
                region: "gulf-coast",
            },
            Zone {
                name: "charlotte-hall",
                region: "piedmont",
            },
            Zone {
                name: "chattanooga-hall",
                region: "tennessee-valley",
            },
        ],
        zone_latency: Duration::from_micros(500),
        region_latency: Duration::from_millis(8),
        client_latency: Duration::from_millis(3),
        groups: 3,
        slots: 10,
        connections: 100,
        connect_ms: 10,
        template: include_str!("../../../config/dixie/template.toml"),
        template_name: "pallet-network",
    }
}
