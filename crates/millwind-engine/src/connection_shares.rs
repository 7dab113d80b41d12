//! The share of each instance's connections that this node may hold, the route of its
//! statements, and the groups that it watches.

use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::{GroupName, InstanceName};

use crate::backend::ConnectionUser;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::forward::{ForwardingPolicy, OWNER_COUNT, OwnershipRole, Route, RouteRequest};
use crate::node::Engine;

/// Even share of connections per node at which every node holds its own share.
pub(crate) const AMPLE_CONNECTION_SHARE: usize = 3;
/// Share of an instance's connections that each backup owner may hold, in
/// percent.
const BACKUP_OWNER_PERCENT: usize = 10;
/// Number of nodes that watch a group whether or not they use it.
pub(crate) const WATCHERS: usize = 3;
/// Time for which a group counts as used after a direct use, in milliseconds.
const RECENT_USE_MS: u64 = 1_500;

impl Engine {
    pub(crate) fn connection_limit(&self, group: &GroupName) -> usize {
        let limits = self.directory.group_limits(group);
        limits.map_or(1, |limits| limits.connections as usize)
    }

    /// Returns each node's number of connections if all nodes share equally, less one that is
    /// reserved for health checks.
    pub(crate) fn even_share(&self, group: &GroupName) -> usize {
        (self.connection_limit(group) / self.registry.count()).saturating_sub(1)
    }

    /// Returns whether each node holds its own share of the connections to the instances
    /// of a group. Otherwise a few nodes own them.
    pub fn has_ample_connections(&self, group: &GroupName) -> bool {
        self.registry.is_listed() && self.even_share(group) >= AMPLE_CONNECTION_SHARE
    }

    /// Returns an owner's share of an instance's connections, after reserving one health
    /// check connection for each watcher of the group.
    pub(crate) fn owner_share(&self, group: &GroupName) -> usize {
        let limit = self.connection_limit(group);
        limit.saturating_sub(OWNER_COUNT + WATCHERS) / OWNER_COUNT
    }

    /// Returns the number of connections to an instance that this node may hold; at least
    /// one.
    pub(crate) fn connection_share(&self, record: &InstanceRecord) -> usize {
        if self.has_ample_connections(&record.group) {
            return self.even_share(&record.group);
        }
        let limit = self.connection_limit(&record.group);
        let share = match self.owners.ownership_role(&self.registry, record) {
            OwnershipRole::Owner => self.owner_share(&record.group),
            OwnershipRole::BackupOwner => limit * BACKUP_OWNER_PERCENT / 100,
            OwnershipRole::Other => 1,
        };
        share.max(1)
    }

    /// Selects the route of a statement of `user` to an instance. The statement is forwarded
    /// only through nodes in `regions`.
    pub async fn route(
        &self,
        record: &InstanceRecord,
        user: &ConnectionUser,
        regions: &AllowedRegions,
    ) -> Route {
        if self.has_ample_connections(&record.group) {
            return Route::Local;
        }
        let is_reachable = self
            .directory
            .instance(&record.name)
            .is_none_or(|known| known.health.failing_since.is_none());
        let request = RouteRequest {
            registry: &self.registry,
            record,
            forwarding_policy: ForwardingPolicy {
                regions,
                topology: &self.settings.topology,
            },
            prefers_local: is_reachable,
        };
        let route = match user.tenant() {
            Some(tenant) => self.owners.route_for_tenant(&request, tenant).await,
            None => self.owners.route(&request).await,
        };
        if matches!(route, Route::Local) && !self.runs_statements_on(record) {
            self.record_direct_use(record);
        }
        route
    }

    /// Records that this node uses its own connection because no owner is reachable.
    pub(crate) fn record_direct_use(&self, record: &InstanceRecord) {
        let last = self.directory.last_direct_use(&record.group);
        if last.is_none_or(|used| clock::now().millis_since(used) > RECENT_USE_MS) {
            info!(
                "event=owners_unreached group={} instance={}",
                record.group, record.name
            );
        }
        self.directory.record_direct_use(&record.group);
    }

    /// Returns whether this node runs statements on an instance itself, so that it can
    /// distinguish an unresponsive instance from a busy owner.
    pub fn runs_statements_on(&self, record: &InstanceRecord) -> bool {
        self.has_ample_connections(&record.group) || self.owns(record)
    }

    /// Returns the addresses of the other nodes that watch a group.
    pub fn watcher_addresses(&self, group: &GroupName) -> Vec<SocketAddr> {
        let mut watchers = self.registry.top_nodes_for(group.as_str(), WATCHERS);
        for record in self.watched_instances(group) {
            let ranked = self.owners.ranked(&self.registry, &record);
            watchers.extend(ranked.iter().take(OWNER_COUNT).cloned());
        }
        let others = watchers.iter().filter(|watcher| !watcher.is_self);
        let mut addresses: Vec<SocketAddr> = others.map(|watcher| watcher.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the instances whose owners watch the group: its leader, or all instances
    /// while no leader is known.
    pub(crate) fn watched_instances(&self, group: &GroupName) -> Vec<Arc<InstanceRecord>> {
        let leader = self.directory.leader(group);
        let known = leader.and_then(|leader| self.directory.instance(&leader.instance));
        match known {
            Some(known) => vec![known.record],
            None => self
                .directory
                .instances_of(group)
                .into_iter()
                .map(|known| known.record)
                .collect(),
        }
    }

    pub(crate) fn owns(&self, record: &InstanceRecord) -> bool {
        self.owners.owns(&self.registry, record)
    }

    /// Returns whether this node owns connections to any instance of a group.
    pub fn owns_any_of(&self, group: &GroupName) -> bool {
        let instances = self.directory.instances_of(group);
        instances.iter().any(|known| self.owns(&known.record))
    }

    /// Returns whether connections are authenticated per tenant. A connection opened in
    /// advance, without a tenant, then cannot serve any statement.
    pub(crate) fn has_tenant_connections(&self) -> bool {
        let config = self.directory.config();
        config.is_some_and(|config| config.tenants.is_some())
    }

    /// Returns the number of idle connections that this node keeps to an instance beyond
    /// the recent demand. Connections that belong to tenants are all kept, because a new
    /// handshake costs the instance as much as a statement.
    /// It takes 12 ms of a slot on the users' sites.
    pub(crate) fn spare_connections(&self, record: &InstanceRecord) -> usize {
        if !self.runs_statements_on(record) {
            return 0;
        }
        if self.has_tenant_connections() {
            return self.connection_share(record);
        }
        1
    }

    /// Returns the addresses of nodes that may know whether an instance is reachable.
    pub fn witness_addresses(&self, instance: &InstanceName) -> Vec<SocketAddr> {
        match self.directory.instance(instance) {
            Some(known) if !self.has_ample_connections(&known.record.group) => {
                self.watcher_addresses(&known.record.group)
            }
            _ => self.peer_addresses(),
        }
    }

    /// Returns whether this node monitors a group. With an ample share of connections, it
    /// monitors every group. Otherwise it monitors the groups whose leader's connections it
    /// owns, the groups it has recently used directly, and the groups for which it is among
    /// the first candidates to replace the leader. Monitoring takes one connection to the
    /// leader, which is not used for statements.
    pub fn watches(&self, group: &GroupName) -> bool {
        if !self.registry.is_listed() {
            return false;
        }
        if self.has_ample_connections(group) {
            return true;
        }
        let last_use = self.directory.last_direct_use(group);
        if last_use.is_some_and(|used| clock::now().millis_since(used) < RECENT_USE_MS) {
            return true;
        }
        self.registry.is_among_first(group.as_str(), WATCHERS)
            || self
                .watched_instances(group)
                .iter()
                .any(|record| self.owns(record))
    }
}
