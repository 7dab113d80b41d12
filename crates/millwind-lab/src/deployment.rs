//! The two users' deployments: zones, latencies, database groups, templates
//! and tenants, with the sizes of their brief.

use std::time::Duration;

use clap::ValueEnum;

/// Which user's deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum DeploymentName {
    /// Glasfáil: greenhouse climate.
    Glasfail,
    /// Dixie Crossdock: pallet network.
    Dixie,
}

impl DeploymentName {
    /// The name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            DeploymentName::Glasfail => "glasfail",
            DeploymentName::Dixie => "dixie",
        }
    }
}

/// A zone and its region.
#[derive(Debug, Clone, Copy)]
pub struct Zone {
    /// Name of the zone.
    pub name: &'static str,
    /// Its region.
    pub region: &'static str,
}

/// A deployment's description.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Which one.
    pub name: DeploymentName,
    /// Prefix of group names.
    pub service: &'static str,
    /// Its zones.
    pub zones: [Zone; 3],
    /// One-way latency between zones of a region.
    pub zone_latency: Duration,
    /// One-way latency between regions.
    pub region_latency: Duration,
    /// One-way latency to clients.
    pub client_latency: Duration,
    /// Groups.
    pub groups: usize,
    /// Statements an instance runs at the same time.
    pub slots: u32,
    /// Connections an instance accepts.
    pub connections: u32,
    /// Cost of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Template documents.
    pub template: &'static str,
    /// Name of the template.
    pub template_name: &'static str,
}

impl Deployment {
    /// The deployment of this name.
    pub fn of(name: DeploymentName) -> Deployment {
        match name {
            DeploymentName::Glasfail => glasfail(),
            DeploymentName::Dixie => dixie(),
        }
    }

    /// One-way latency between two zones.
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
