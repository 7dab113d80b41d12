//! Users of connections to instances.

use millwind_core::ids::TenantName;

/// The user for whom a connection is open. A connection never changes its user, since the
/// instance receives the name only at startup.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ConnectionUser {
    /// This system itself, and callers that are not distinguished by tenant.
    System,
    /// The callers of a tenant.
    Tenant(TenantName),
}

impl ConnectionUser {
    /// The tenant; none for the system user.
    pub fn tenant(&self) -> Option<&TenantName> {
        match self {
            ConnectionUser::System => None,
            ConnectionUser::Tenant(name) => Some(name),
        }
    }

    /// The user name used in logs.
    pub fn as_str(&self) -> &str {
        self.tenant().map_or("system", TenantName::as_str)
    }
}
