//! Data residency checks: which instances and nodes a tenant's allowed regions permit.

use millwind_core::eligibility::check_forwarding;
use millwind_core::ids::{InstanceName, NodeName, RegionName};
use millwind_core::tenant::{GroupSpec, TenantSettings};

use super::Gateway;

/// Returns whether the tenant's statements may run on an instance.
pub(super) fn is_allowed(tenant: &TenantSettings, group: &GroupSpec, instance: &InstanceName) -> bool {
    let member = group.instances.iter().find(|member| member.name == *instance);
    tenant.allowed_regions.allows(member.map(|member| &member.region))
}

/// Returns whether the tenant's statement text may be forwarded to another node.
pub(super) fn may_forward_to(gateway: &Gateway, tenant: &TenantSettings, node: &NodeName) -> bool {
    if tenant.allowed_regions.is_any() {
        return true;
    }
    let view = gateway.control.view();
    let record = view.members().iter().find(|record| record.node == node.0);
    let region = record.map(|record| RegionName::from(record.region.as_str()));
    check_forwarding(&tenant.allowed_regions, region.as_ref()).is_ok()
}
