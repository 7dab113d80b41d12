//! On whose behalf connections to instances are open.

use millwind_core::ids::TenantName;

/// The one whose statements a connection runs. It never serves another: an
/// instance is told the name when the connection opens, and judges by it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ConnectionUser {
    /// The system itself, and callers that are not told apart.
    System,
    /// A tenant's callers.
    Tenant(TenantName),
}

impl ConnectionUser {
    /// The tenant; none for the system.
    pub fn tenant(&self) -> Option<&TenantName> {
        match self {
            ConnectionUser::System => None,
            ConnectionUser::Tenant(name) => Some(name),
        }
    }

    /// The name in logs.
    pub fn as_str(&self) -> &str {
        self.tenant().map_or("system", TenantName::as_str)
    }
}
