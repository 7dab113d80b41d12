//! The configuration in force and the instances that are known.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use millwind_core::credential::KeyDigest;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::{DatabaseName, GroupName, InstanceName, TenantName, ZoneName};
use millwind_core::incarnation::{Incarnation, LifeSigns};
use millwind_core::quota::Quota;
use millwind_core::tenant::TenantSettings;
use millwind_core::warm_up::WarmUpTerms;

/// What the sessions of a database are promised about reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Consistency {
    /// Every read sees every acknowledged commit.
    Primary,
    /// A read may miss commits younger than the database's staleness.
    BoundedStaleness,
    /// As bounded staleness, but a session sees all its own commits.
    ReadYourWrites,
}

/// A database as callers name it, with the terms that its sessions are served on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Database {
    /// Settings that follow from its template.
    pub settings: TenantSettings,
    /// What its reads are promised.
    pub consistency: Consistency,
    /// Time within which an operation should be answered, in milliseconds.
    pub target_latency_ms: u64,
    /// Zero is served first.
    pub priority: u8,
    /// Its callers need no key.
    pub is_public: bool,
    /// Regions in which its statements may run.
    pub allowed_regions: AllowedRegions,
}

/// The tenants whose callers are told apart.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tenants {
    /// Whose a key is.
    pub by_key: HashMap<KeyDigest, TenantName>,
    /// What each may ask for; a tenant without a quota is not limited.
    pub quotas: HashMap<TenantName, Quota>,
    /// Regions in which the statements of each may run; one that is not listed
    /// allows all.
    pub allowed_regions: HashMap<TenantName, AllowedRegions>,
}

/// What is configured for a database group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupLimits {
    /// Connections an instance accepts from all nodes together.
    pub connections: u32,
    /// Replicas that have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// How its instances warm up; none where they may be loaded at once.
    pub warm_up: Option<WarmUpTerms>,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigSnapshot {
    /// Rises with each change.
    pub version: u64,
    /// Databases by name.
    pub databases: HashMap<DatabaseName, Arc<Database>>,
    /// Tenants; none where callers are not told apart.
    pub tenants: Option<Tenants>,
    /// Groups by name.
    pub groups: HashMap<GroupName, GroupLimits>,
    /// A transaction that rests for so long may be ended, in milliseconds.
    pub transaction_idle_ms: u64,
}

impl ConfigSnapshot {
    /// The terms of all databases and tenants on where statements may run.
    pub fn allowed_regions(&self) -> impl Iterator<Item = &AllowedRegions> {
        let of_databases = self.databases.values().map(|database| &database.allowed_regions);
        let of_tenants = self
            .tenants
            .iter()
            .flat_map(|tenants| tenants.allowed_regions.values());
        of_databases.chain(of_tenants)
    }
}

/// An instance as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Its id.
    pub name: InstanceName,
    /// Group it belongs to.
    pub group: GroupName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Statements it runs at the same time.
    pub slots: u32,
    /// It has announced that it will end.
    pub is_leaving: bool,
    /// It sees itself as the leader.
    pub claims_lead: bool,
    /// It is slow for so much longer, by its own word, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Which life of the instance wrote it; none where it does not tell.
    pub incarnation: Option<Incarnation>,
    /// How often this life has written its record, if it tells: begins anew with each
    /// life, so that it orders nothing across lives.
    pub heartbeat: Option<u64>,
}

impl InstanceRecord {
    /// What tells lives of the instance apart.
    pub fn life_signs(&self) -> LifeSigns {
        LifeSigns {
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            address: self.address,
            is_leaving: self.is_leaving,
        }
    }

    /// Whether `later` says the same but for its heartbeat.
    pub fn says_but_for_heartbeat(&self, later: &InstanceRecord) -> bool {
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
