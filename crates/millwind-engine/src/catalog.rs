//! The data model of the catalog: the configuration and the instance records.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use millwind_core::credential::KeyDigest;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::{DatabaseName, GroupName, InstanceName, TenantName, ZoneName};
use millwind_core::incarnation::{Incarnation, RestartSigns};
use millwind_core::quota::Quota;
use millwind_core::tenant::TenantSettings;
use millwind_core::warm_up::WarmUpLimits;

/// The read consistency of a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Consistency {
    /// Every read sees every acknowledged commit.
    Primary,
    /// A read may miss commits younger than the database's staleness.
    BoundedStaleness,
    /// As bounded staleness, but a session sees all its own commits.
    ReadYourWrites,
}

/// The configuration of a database under the name that callers use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Database {
    /// Settings derived from the template of the database.
    pub settings: TenantSettings,
    /// Consistency of reads.
    pub consistency: Consistency,
    /// Target response time of an operation, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Regions in which statements may run.
    pub allowed_regions: AllowedRegions,
}

/// The configured tenants.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tenants {
    /// Tenant that each key belongs to.
    pub by_key: HashMap<KeyDigest, TenantName>,
    /// Quota of each tenant; a tenant without a quota is not limited.
    pub quotas: HashMap<TenantName, Quota>,
    /// Regions in which the statements of each tenant may run; a tenant that is not listed
    /// allows all regions.
    pub allowed_regions: HashMap<TenantName, AllowedRegions>,
}

/// The configuration of a database group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupLimits {
    /// Number of connections that an instance accepts from all nodes together.
    pub connections: u32,
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Rate limit for instances that have just started; `None` if they may be fully loaded
    /// at once.
    pub warm_up: Option<WarmUpLimits>,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigSnapshot {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Databases by name.
    pub databases: HashMap<DatabaseName, Arc<Database>>,
    /// Tenants; `None` if callers are not authenticated as tenants.
    pub tenants: Option<Tenants>,
    /// Groups by name.
    pub groups: HashMap<GroupName, GroupLimits>,
    /// Idle time after which a transaction may be aborted, in milliseconds.
    pub transaction_idle_ms: u64,
}

impl ConfigSnapshot {
    /// Returns the region restrictions of all databases and tenants.
    pub fn allowed_regions(&self) -> impl Iterator<Item = &AllowedRegions> {
        let database_regions = self.databases.values().map(|database| &database.allowed_regions);
        let tenant_regions = self
            .tenants
            .iter()
            .flat_map(|tenants| tenants.allowed_regions.values());
        database_regions.chain(tenant_regions)
    }
}

/// The record that an instance publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Unique name of the instance.
    pub name: InstanceName,
    /// Group that the instance belongs to.
    pub group: GroupName,
    /// Address on which the instance listens.
    pub address: SocketAddr,
    /// Zone in which the instance runs.
    pub zone: ZoneName,
    /// Maximum number of statements that run concurrently.
    pub slots: u32,
    /// Whether the instance has announced its shutdown.
    pub is_leaving: bool,
    /// Whether the instance considers itself the leader.
    pub claims_lead: bool,
    /// Remaining warm-up time that the instance reports, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Incarnation of the process that wrote the record, if reported.
    pub incarnation: Option<Incarnation>,
    /// Number of writes of the record by this incarnation, if reported. The counter restarts
    /// with the process, so it does not order records of different incarnations.
    pub heartbeat: Option<u64>,
}

impl InstanceRecord {
    /// Returns the fields that distinguish incarnations of the instance.
    pub fn restart_signs(&self) -> RestartSigns {
        RestartSigns {
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            address: self.address,
            is_leaving: self.is_leaving,
        }
    }

    /// Returns whether `later` is equal to this record except for the heartbeat.
    pub fn equals_except_heartbeat(&self, later: &InstanceRecord) -> bool {
        let InstanceRecord {
            name,
            group,
            address,
            zone,
            slots,
            is_leaving,
            claims_lead,
            warm_up_left_ms,
            incarnation,
            heartbeat: _,
        } = self;
        *name == later.name
            && *group == later.group
            && *address == later.address
            && *zone == later.zone
            && *slots == later.slots
            && *is_leaving == later.is_leaving
            && *claims_lead == later.claims_lead
            && *warm_up_left_ms == later.warm_up_left_ms
            && *incarnation == later.incarnation
    }
}
