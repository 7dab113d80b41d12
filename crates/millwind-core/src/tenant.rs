//! Database groups, templates and tenants: what operators write, and the
//! checked settings that follow from it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::confirmation::ConfirmationRule;
use crate::data_residency::AllowedRegions;
use crate::ids::{GroupName, InstanceName, RegionName, TenantName, ZoneName};
use crate::routing::ReadPolicy;

/// One database instance as operators describe it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// Name, unique over the deployment.
    pub name: InstanceName,
    /// IP number and port of its PostgreSQL listener.
    pub address: std::net::SocketAddr,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Statements it runs at the same time.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Leaving instances get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A replicated database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Name of the group.
    pub name: GroupName,
    /// User the proxy connects as.
    pub user: String,
    /// Password of that user; empty for none.
    #[serde(default)]
    pub password: String,
    /// Database name sent to the instances.
    pub database: String,
    /// What a majority must show before a write is acknowledged.
    #[serde(default)]
    pub confirmation: ConfirmationRule,
    /// Its instances.
    pub instances: Vec<InstanceSpec>,
}

/// How requests of one class are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class; a request may name it in a comment or setting.
    pub name: String,
    /// Tables whose mention puts a write in this class.
    #[serde(default)]
    pub write_tables: Vec<String>,
    /// Tables whose mention puts a read in this class.
    #[serde(default)]
    pub read_tables: Vec<String>,
    /// Time from arrival to answer, in milliseconds.
    pub window_ms: u64,
    /// What a request completed in its window counts for.
    #[serde(default = "one")]
    pub value: u32,
    /// Whether the proxy may run a write of this class again.
    #[serde(default)]
    pub may_repeat: bool,
}

fn one() -> u32 {
    1
}

/// The settings a template may open to its tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Parameter {
    /// How old the data of a replica read may be, in milliseconds.
    StalenessMs,
    /// How long a read may wait for a replica to catch up, in milliseconds.
    ReplicaWaitMs,
    /// How long a write may wait for a primary, in milliseconds.
    HoldMs,
    /// Share of the instance's slots relative to other tenants.
    Weight,
    /// Client connections per node.
    MaximumClients,
    /// Retries per hundred first attempts.
    RetryBudgetPercent,
    /// Window of requests without a class, in milliseconds.
    DefaultWindowMs,
}

/// Default and allowed range of one parameter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ParameterSpec {
    /// Value for tenants that set none.
    pub default: u64,
    /// Smallest allowed value.
    pub minimum: u64,
    /// Largest allowed value.
    pub maximum: u64,
    /// Unit, for people.
    #[serde(default)]
    pub unit: String,
    /// What it does, for people.
    #[serde(default)]
    pub meaning: String,
}

/// A template from which tenants are made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name of the template.
    pub name: String,
    /// Parameters that tenants may set, with ranges.
    #[serde(default)]
    pub parameters: BTreeMap<Parameter, ParameterSpec>,
    /// Request classes, first match wins.
    #[serde(default)]
    pub classes: Vec<RequestClass>,
    /// Which instances serve reads.
    #[serde(default)]
    pub read_policy: ReadPolicy,
    /// Regions in which statements of its tenants may run; empty for all.
    #[serde(default, alias = "allowed-regions")]
    pub allowed_regions: Vec<RegionName>,
}

/// A tenant made from a template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name; callers give it as the database in their startup message.
    pub name: TenantName,
    /// Template it is made from.
    pub template: String,
    /// Database group it uses.
    pub group: GroupName,
    /// Password callers must prove; empty for none.
    #[serde(default)]
    pub password: String,
    /// Values for the template's parameters.
    #[serde(default)]
    pub parameters: BTreeMap<Parameter, u64>,
    /// Regions in which its statements may run; empty for all that its template
    /// allows.
    #[serde(default, alias = "allowed-regions")]
    pub allowed_regions: Vec<RegionName>,
}

/// Why a template or tenant was refused.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TenantError {
    /// A parameter the template does not open.
    #[error("tenant {tenant}: parameter {parameter:?} is not opened by template {template}")]
    NotOpened {
        /// The tenant.
        tenant: TenantName,
        /// The template.
        template: String,
        /// The parameter.
        parameter: Parameter,
    },
    /// A value outside the template's range.
    #[error("tenant {tenant}: parameter {parameter:?} is {value}, allowed {minimum} to {maximum}")]
    OutOfRange {
        /// The tenant.
        tenant: TenantName,
        /// The parameter.
        parameter: Parameter,
        /// Value given.
        value: u64,
        /// Smallest allowed value.
        minimum: u64,
        /// Largest allowed value.
        maximum: u64,
    },
    /// A template whose default lies outside its own range.
    #[error("template {template}: default of {parameter:?} is outside {minimum} to {maximum}")]
    BadDefault {
        /// The template.
        template: String,
        /// The parameter.
        parameter: Parameter,
        /// Smallest allowed value.
        minimum: u64,
        /// Largest allowed value.
        maximum: u64,
    },
    /// A request class with a window of zero.
    #[error("template {template}: class {class}: window_ms must be 1 or more")]
    ZeroWindow {
        /// The template.
        template: String,
        /// The class.
        class: String,
    },
    /// Terms name a region in which the group has no instance.
    #[error("tenant {tenant}: no instance of group {group} runs in region {region}, but in {known}")]
    UnknownRegion {
        /// The tenant.
        tenant: TenantName,
        /// Its group.
        group: GroupName,
        /// The region.
        region: RegionName,
        /// Regions of the group's instances.
        known: AllowedRegions,
    },
    /// A tenant and its template allow no region in common.
    #[error("tenant {tenant}: allowed_regions of tenant and template have no region in common")]
    NoCommonRegion {
        /// The tenant.
        tenant: TenantName,
    },
    /// A group without instances, or with an unusable one.
    #[error("group {group}: {field} must be {allowed}")]
    Group {
        /// The group.
        group: GroupName,
        /// Field at fault.
        field: &'static str,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// Checked settings of a tenant, ready for use on the request path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantSettings {
    /// The tenant.
    pub name: TenantName,
    /// Database group it uses.
    pub group: GroupName,
    /// Password callers must prove; empty for none.
    pub password: String,
    /// How old the data of a replica read may be, in milliseconds.
    pub staleness_ms: u64,
    /// How long a read may wait for a replica, in milliseconds.
    pub replica_wait_ms: u64,
    /// How long a write may wait for a primary, in milliseconds.
    pub hold_ms: u64,
    /// Weight in the fair queues.
    pub weight: u32,
    /// Client connections per node.
    pub maximum_clients: u32,
    /// Retries per hundred first attempts.
    pub retry_budget_percent: u32,
    /// Window of requests without a class, in milliseconds.
    pub default_window_ms: u64,
    /// Request classes, first match wins.
    pub classes: Vec<RequestClass>,
    /// Which instances serve reads.
    pub read_policy: ReadPolicy,
    /// Regions in which its statements may run, by its own terms and its template's.
    pub allowed_regions: AllowedRegions,
}

const DEFAULT_STALENESS_MS: u64 = 5_000;
const DEFAULT_REPLICA_WAIT_MS: u64 = 400;
const DEFAULT_HOLD_MS: u64 = 15_000;
const DEFAULT_WEIGHT: u64 = 1;
const DEFAULT_MAXIMUM_CLIENTS: u64 = 10_000;
const DEFAULT_RETRY_BUDGET_PERCENT: u64 = 20;
const DEFAULT_WINDOW_MS: u64 = 5_000;

impl Template {
    /// Checks the template by itself.
    pub fn check(&self) -> Result<(), TenantError> {
        for (parameter, spec) in &self.parameters {
            if spec.default < spec.minimum || spec.default > spec.maximum {
                return Err(TenantError::BadDefault {
                    template: self.name.clone(),
                    parameter: *parameter,
                    minimum: spec.minimum,
                    maximum: spec.maximum,
                });
            }
        }
        match self.classes.iter().find(|class| class.window_ms == 0) {
            Some(class) => Err(TenantError::ZeroWindow {
                template: self.name.clone(),
                class: class.name.clone(),
            }),
            None => Ok(()),
        }
    }

    /// The settings of `tenant` under this template.
    pub fn settings_for(&self, tenant: &Tenant) -> Result<TenantSettings, TenantError> {
        self.check_values(tenant)?;
        let value = |parameter, fallback| {
            let given = tenant.parameters.get(&parameter).copied();
            let default = self.parameters.get(&parameter).map(|spec| spec.default);
            given.or(default).unwrap_or(fallback)
        };
        let narrow = |wide: u64| u32::try_from(wide).unwrap_or(u32::MAX);
        Ok(TenantSettings {
            name: tenant.name.clone(),
            group: tenant.group.clone(),
            password: tenant.password.clone(),
            staleness_ms: value(Parameter::StalenessMs, DEFAULT_STALENESS_MS),
            replica_wait_ms: value(Parameter::ReplicaWaitMs, DEFAULT_REPLICA_WAIT_MS),
            hold_ms: value(Parameter::HoldMs, DEFAULT_HOLD_MS),
            weight: narrow(value(Parameter::Weight, DEFAULT_WEIGHT)).max(1),
            maximum_clients: narrow(value(Parameter::MaximumClients, DEFAULT_MAXIMUM_CLIENTS)),
            retry_budget_percent: narrow(value(Parameter::RetryBudgetPercent, DEFAULT_RETRY_BUDGET_PERCENT)),
            default_window_ms: value(Parameter::DefaultWindowMs, DEFAULT_WINDOW_MS).max(1),
            classes: self.classes.clone(),
            read_policy: self.read_policy,
            allowed_regions: AllowedRegions::from_list(self.allowed_regions.iter().cloned())
                .both(&AllowedRegions::from_list(tenant.allowed_regions.iter().cloned())),
        })
    }

    fn check_values(&self, tenant: &Tenant) -> Result<(), TenantError> {
        for (parameter, value) in &tenant.parameters {
            let spec = self
                .parameters
                .get(parameter)
                .ok_or_else(|| TenantError::NotOpened {
                    tenant: tenant.name.clone(),
                    template: self.name.clone(),
                    parameter: *parameter,
                })?;
            if *value < spec.minimum || *value > spec.maximum {
                return Err(TenantError::OutOfRange {
                    tenant: tenant.name.clone(),
                    parameter: *parameter,
                    value: *value,
                    minimum: spec.minimum,
                    maximum: spec.maximum,
                });
            }
        }
        Ok(())
    }
}

impl GroupSpec {
    /// Checks the group by itself.
    pub fn check(&self) -> Result<(), TenantError> {
        let fail = |field, allowed| {
            Err(TenantError::Group {
                group: self.name.clone(),
                field,
                allowed,
            })
        };
        if self.instances.is_empty() {
            return fail("instances", "one or more");
        }
        if self.name.as_str().is_empty() || self.name.as_str().contains(':') {
            return fail("name", "non-empty and without ':'");
        }
        if self.instances.iter().any(|instance| instance.slots == 0) {
            return fail("slots", "1 or more");
        }
        if self
            .instances
            .iter()
            .any(|instance| instance.connections < MINIMUM_CONNECTIONS)
        {
            return fail("connections", "8 or more");
        }
        Ok(())
    }
}

/// Fewest connections an instance must accept: status checks of each possible
/// owner of the group, and two owners' pools.
pub const MINIMUM_CONNECTIONS: u32 = 8;

impl TenantSettings {
    /// Checks the allowed regions against those of the group's instances. A name that is
    /// misspelt would else be found only when the tenant's statements are refused.
    pub fn check_regions(&self, group: &GroupSpec) -> Result<(), TenantError> {
        let AllowedRegions::Only(regions) = &self.allowed_regions else {
            return Ok(());
        };
        if regions.is_empty() {
            let tenant = self.name.clone();
            return Err(TenantError::NoCommonRegion { tenant });
        }
        let known: BTreeSet<_> = group.instances.iter().map(|entry| entry.region.clone()).collect();
        match regions.iter().find(|region| !known.contains(*region)) {
            None => Ok(()),
            Some(region) => Err(TenantError::UnknownRegion {
                tenant: self.name.clone(),
                group: self.group.clone(),
                region: region.clone(),
                known: AllowedRegions::Only(known),
            }),
        }
    }

    /// The class of a request: the one it names, else the first whose tables
    /// it mentions.
    pub fn class(&self, named: Option<&str>, read: bool, tables: &[String]) -> Option<&RequestClass> {
        if let Some(name) = named {
            return self.classes.iter().find(|class| class.name == name);
        }
        self.classes.iter().find(|class| {
            let wanted = if read {
                &class.read_tables
            } else {
                &class.write_tables
            };
            wanted.iter().any(|table| tables.contains(table))
        })
    }
}
