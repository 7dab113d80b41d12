//! Whether a tenant's terms allow an instance, or the node that owns it, by their region.

use millwind_core::eligibility::check_forwarding;
use millwind_core::ids::{InstanceName, NodeName, RegionName};
use millwind_core::tenant::{GroupSpec, TenantSettings};

use super::Gateway;

/// Whether the tenant's statements may run on an instance.
pub(super) fn is_allowed(tenant: &TenantSettings, group: &GroupSpec, instance: &InstanceName) -> bool {
    let entry = group.instances.iter().find(|entry| entry.name == *instance);
    tenant.allowed_regions.allows(entry.map(|entry| &entry.region))
}

/// Whether the text of the tenant's statements may travel to another node.
pub(super) fn may_carry(gateway: &Gateway, tenant: &TenantSettings, node: &NodeName) -> bool {
    if tenant.allowed_regions.is_any() {
        return true;
    }
    let view = gateway.control.view();
    let record = view.members().iter().find(|record| record.node == node.0);
    let region = record.map(|record| RegionName::from(record.region.as_str()));
    check_forwarding(&tenant.allowed_regions, region.as_ref()).is_ok()
}
