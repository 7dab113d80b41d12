//! Configuration of database groups, templates and tenants, and the validated settings
//! derived from it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::confirmation::ConfirmationRule;
use crate::data_residency::AllowedRegions;
use crate::ids::{GroupName, InstanceName, RegionName, TenantName, ZoneName};
use crate::routing::ReadPolicy;

/// Configuration of one database instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// Name, unique within the deployment.
    pub name: InstanceName,
    /// IP address and port of the PostgreSQL listener.
    pub address: std::net::SocketAddr,
    /// Zone that the instance runs in.
    pub zone: ZoneName,
    /// Region that contains the zone.
    pub region: RegionName,
    /// Statements that the instance runs concurrently.
    pub slots: u32,
    /// Connections that the instance accepts.
    pub connections: u32,
    /// Whether the instance is being decommissioned and receives no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Configuration of a replicated database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Name of the group.
    pub name: GroupName,
    /// User that the proxy connects as.
    pub user: String,
    /// Password of that user; empty for none.
    #[serde(default)]
    pub password: String,
    /// Database name sent to the instances.
    pub database: String,
    /// Condition that a majority must meet before a write is acknowledged.
    #[serde(default)]
    pub confirmation: ConfirmationRule,
    /// Instances of the group.
    pub instances: Vec<InstanceSpec>,
}

/// How requests of one class are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class; a request can select the class by name in a comment or setting.
    pub name: String,
    /// Tables whose mention puts a write in this class.
    #[serde(default)]
    pub write_tables: Vec<String>,
    /// Tables whose mention puts a read in this class.
    #[serde(default)]
    pub read_tables: Vec<String>,
    /// Time limit from arrival to response, in milliseconds.
    pub window_ms: u64,
    /// Value of a request that completes within its window; requests of lower value are
    /// evicted first from a full queue.
    #[serde(default = "default_request_value")]
    pub value: u32,
    /// Whether the proxy may retry a write of this class.
    #[serde(default)]
    pub may_repeat: bool,
}

fn default_request_value() -> u32 {
    1
}

/// Parameters that a template can allow its tenants to set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Parameter {
    /// How old the data of a replica read may be, in milliseconds.
    StalenessMs,
    /// How long a read may wait for a replica to catch up, in milliseconds.
    ReplicaWaitMs,
    /// How long a write may wait for a primary, in milliseconds.
    HoldMs,
    /// Weight of the tenant in the distribution of an instance's slots.
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
    /// Value for tenants that do not set the parameter.
    pub default: u64,
    /// Smallest allowed value.
    pub minimum: u64,
    /// Largest allowed value.
    pub maximum: u64,
    /// Unit, as documentation for operators.
    #[serde(default)]
    pub unit: String,
    /// Description, as documentation for operators.
    #[serde(default)]
    pub meaning: String,
}

/// A template that tenants are created from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name of the template.
    pub name: String,
    /// Parameters that tenants may set, with their ranges.
    #[serde(default)]
    pub parameters: BTreeMap<Parameter, ParameterSpec>,
    /// Request classes, first match wins.
    #[serde(default)]
    pub classes: Vec<RequestClass>,
    /// Which instances serve reads.
    #[serde(default)]
    pub read_policy: ReadPolicy,
    /// Regions in which the tenants' statements may run; empty allows all regions.
    #[serde(default, alias = "allowed-regions")]
    pub allowed_regions: Vec<RegionName>,
}

/// A tenant created from a template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant, which clients send as the database name in the startup message.
    pub name: TenantName,
    /// Template that the tenant is created from.
    pub template: String,
    /// Database group that the tenant uses.
    pub group: GroupName,
    /// Password that callers must prove; empty for none.
    #[serde(default)]
    pub password: String,
    /// Values of the template's parameters.
    #[serde(default)]
    pub parameters: BTreeMap<Parameter, u64>,
    /// Regions in which the tenant's statements may run; empty allows all regions that the
    /// template allows.
    #[serde(default, alias = "allowed-regions")]
    pub allowed_regions: Vec<RegionName>,
}

/// The reason why a group, template or tenant was rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TenantError {
    /// The tenant sets a parameter that the template does not allow tenants to set.
    #[error("tenant {tenant}: template {template} does not allow tenants to set parameter {parameter:?}")]
    ParameterNotAllowed {
        /// The tenant.
        tenant: TenantName,
        /// The template.
        template: String,
        /// The parameter.
        parameter: Parameter,
    },
    /// The value of a parameter is outside the template's range.
    #[error("tenant {tenant}: parameter {parameter:?} is {value}, allowed {minimum} to {maximum}")]
    OutOfRange {
        /// The tenant.
        tenant: TenantName,
        /// The parameter.
        parameter: Parameter,
        /// Configured value.
        value: u64,
        /// Smallest allowed value.
        minimum: u64,
        /// Largest allowed value.
        maximum: u64,
    },
    /// A parameter's default is outside the template's own range.
    #[error("template {template}: default of {parameter:?} is outside {minimum} to {maximum}")]
    DefaultOutOfRange {
        /// The template.
        template: String,
        /// The parameter.
        parameter: Parameter,
        /// Smallest allowed value.
        minimum: u64,
        /// Largest allowed value.
        maximum: u64,
    },
    /// A request class has a window of zero.
    #[error("template {template}: class {class}: window_ms must be 1 or more")]
    ZeroWindow {
        /// The template.
        template: String,
        /// The class.
        class: String,
    },
    /// An allowed region contains no instance of the group.
    #[error(
        "tenant {tenant}: no instance of group {group} runs in region {region}; regions with instances: {known}"
    )]
    UnknownRegion {
        /// The tenant.
        tenant: TenantName,
        /// The tenant's group.
        group: GroupName,
        /// The region.
        region: RegionName,
        /// Regions that contain instances of the group.
        known: AllowedRegions,
    },
    /// The allowed regions of the tenant and of its template do not overlap.
    #[error("tenant {tenant}: allowed_regions of tenant and template have no region in common")]
    NoCommonRegion {
        /// The tenant.
        tenant: TenantName,
    },
    /// A field of a group is invalid.
    #[error("group {group}: {field} must be {allowed}")]
    Group {
        /// The group.
        group: GroupName,
        /// Name of the invalid field.
        field: &'static str,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

/// Validated settings of a tenant, as used on the request path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantSettings {
    /// The tenant.
    pub name: TenantName,
    /// Database group that the tenant uses.
    pub group: GroupName,
    /// Password that callers must prove; empty for none.
    pub password: String,
    /// How old the data of a replica read may be, in milliseconds.
    pub staleness_ms: u64,
    /// How long a read may wait for a replica, in milliseconds.
    pub replica_wait_ms: u64,
    /// How long a write may wait for a primary, in milliseconds.
    pub hold_ms: u64,
    /// Weight in fair queueing.
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
    /// Regions in which the tenant's statements may run: the intersection of the tenant's
    /// and the template's allowed regions.
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
    /// Validates the template. Fails if the default of a parameter is outside its range, or
    /// if a request class has a window of zero.
    pub fn check(&self) -> Result<(), TenantError> {
        for (parameter, spec) in &self.parameters {
            if spec.default < spec.minimum || spec.default > spec.maximum {
                return Err(TenantError::DefaultOutOfRange {
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

    /// Returns the settings of `tenant` under this template. Fails if the tenant sets a
    /// parameter that is not allowed or is out of range.
    pub fn settings_for(&self, tenant: &Tenant) -> Result<TenantSettings, TenantError> {
        self.check_parameters(tenant)?;
        let value = |parameter, fallback| {
            let given = tenant.parameters.get(&parameter).copied();
            let default = self.parameters.get(&parameter).map(|spec| spec.default);
            given.or(default).unwrap_or(fallback)
        };
        let saturating_u32 = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
        Ok(TenantSettings {
            name: tenant.name.clone(),
            group: tenant.group.clone(),
            password: tenant.password.clone(),
            staleness_ms: value(Parameter::StalenessMs, DEFAULT_STALENESS_MS),
            replica_wait_ms: value(Parameter::ReplicaWaitMs, DEFAULT_REPLICA_WAIT_MS),
            hold_ms: value(Parameter::HoldMs, DEFAULT_HOLD_MS),
            weight: saturating_u32(value(Parameter::Weight, DEFAULT_WEIGHT)).max(1),
            maximum_clients: saturating_u32(value(Parameter::MaximumClients, DEFAULT_MAXIMUM_CLIENTS)),
            retry_budget_percent: saturating_u32(value(
                Parameter::RetryBudgetPercent,
                DEFAULT_RETRY_BUDGET_PERCENT,
            )),
            default_window_ms: value(Parameter::DefaultWindowMs, DEFAULT_WINDOW_MS).max(1),
            classes: self.classes.clone(),
            read_policy: self.read_policy,
            allowed_regions: AllowedRegions::from_list(self.allowed_regions.iter().cloned())
                .intersection(&AllowedRegions::from_list(tenant.allowed_regions.iter().cloned())),
        })
    }

    fn check_parameters(&self, tenant: &Tenant) -> Result<(), TenantError> {
        for (parameter, value) in &tenant.parameters {
            let spec = self
                .parameters
                .get(parameter)
                .ok_or_else(|| TenantError::ParameterNotAllowed {
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
    /// Validates the group. Fails if the group has no instances, an invalid name, or an
    /// instance with too few slots or connections.
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

/// Minimum number of connections that an instance must accept, for status checks by each
/// possible owner of the group and for the pools of two owners.
pub const MINIMUM_CONNECTIONS: u32 = 8;

impl TenantSettings {
    /// Validates the allowed regions. Fails if no region is allowed, or if an allowed
    /// region contains no instance of the group. This reports a misspelt region name when
    /// the configuration changes, not when the tenant's statements are rejected.
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

    /// Returns the class of a request: the class that the request names, or else the first
    /// class that lists one of the request's tables. Returns `None` if no class matches.
    pub fn class(&self, named: Option<&str>, read: bool, tables: &[String]) -> Option<&RequestClass> {
        if let Some(name) = named {
            return self.classes.iter().find(|class| class.name == name);
        }
        self.classes.iter().find(|class| {
            let class_tables = if read {
                &class.read_tables
            } else {
                &class.write_tables
            };
            class_tables.iter().any(|table| tables.contains(table))
        })
    }
}
