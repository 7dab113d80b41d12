//! How many connections to an instance this node may hold, which way its
//! statements go, and which groups it watches.

use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::ids::{GroupName, InstanceName};

use crate::backend::ConnectionUser;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::forward::{Carriers, OWNERS, Route, Standing, Way};
use crate::node::Engine;

/// Connections to an instance per node from which on none is scarce.
pub(crate) const AMPLE_SHARE: usize = 3;
/// Connections that a node may hold that stands in for owners, in percent of
/// those that the instance accepts.
const STAND_IN_PERCENT: usize = 10;
/// Nodes that watch a group whether they use it or not.
pub(crate) const WATCHERS: usize = 3;
/// A group counts as used for this time, in milliseconds.
const USED_MS: u64 = 1_500;

impl Engine {
    pub(crate) fn connection_limit(&self, group: &GroupName) -> usize {
        let limits = self.directory.group_limits(group);
        limits.map_or(1, |limits| limits.connections as usize)
    }

    /// An even part of an instance's connections, less the one kept for health
    /// checks.
    pub(crate) fn even_share(&self, group: &GroupName) -> usize {
        (self.connection_limit(group) / self.registry.count()).saturating_sub(1)
    }

    /// Whether connections are so plenty that each node holds its share of
    /// them; else a few nodes own them.
    pub fn is_ample(&self, group: &GroupName) -> bool {
        self.registry.is_listed() && self.even_share(group) >= AMPLE_SHARE
    }

    /// An owner's share of an instance's connections: what is left when each
    /// watcher of the group has one for health checks.
    pub(crate) fn owner_share(&self, group: &GroupName) -> usize {
        let limit = self.connection_limit(group);
        limit.saturating_sub(OWNERS + WATCHERS) / OWNERS
    }

    /// How many connections to an instance this node may hold.
    pub(crate) fn share_of(&self, record: &InstanceRecord) -> usize {
        if self.is_ample(&record.group) {
            return self.even_share(&record.group);
        }
        let limit = self.connection_limit(&record.group);
        let share = match self.owners.standing(&self.registry, record) {
            Standing::Owner => self.owner_share(&record.group),
            Standing::StandIn => limit * STAND_IN_PERCENT / 100,
            Standing::Other => 1,
        };
        share.max(1)
    }

    /// The way of a statement of `user` to an instance; its text travels only to nodes
    /// in `regions`.
    pub async fn route(
        &self,
        record: &InstanceRecord,
        user: &ConnectionUser,
        regions: &AllowedRegions,
    ) -> Route {
        if self.is_ample(&record.group) {
            return Route::Own;
        }
        let is_reached = self
            .directory
            .instance(&record.name)
            .is_none_or(|known| known.contact.failing_since.is_none());
        let way = Way {
            registry: &self.registry,
            record,
            carriers: Carriers {
                regions,
                topology: &self.settings.topology,
            },
            prefers_own: is_reached,
        };
        let route = match user.tenant() {
            Some(tenant) => self.owners.route_of_tenant(&way, tenant).await,
            None => self.owners.route(&way).await,
        };
        if matches!(route, Route::Own) && !self.runs_statements_on(record) {
            self.note_direct_use(record);
        }
        route
    }

    /// No owner was reached: this node uses a connection of its own.
    pub(crate) fn note_direct_use(&self, record: &InstanceRecord) {
        let last = self.directory.last_direct_use(&record.group);
        if last.is_none_or(|used| clock::now().millis_since(used) > USED_MS) {
            info!(
                "event=owners_unreached group={} instance={}",
                record.group, record.name
            );
        }
        self.directory.used_directly(&record.group);
    }

    /// Whether this node runs statements on an instance itself, so that it can
    /// tell an instance that hangs from an owner that is busy.
    pub fn runs_statements_on(&self, record: &InstanceRecord) -> bool {
        self.is_ample(&record.group) || self.owns(record)
    }

    /// Nodes that watch a group, this one apart.
    pub fn watcher_addresses(&self, group: &GroupName) -> Vec<SocketAddr> {
        let mut watchers = self.registry.first_for(group.as_str(), WATCHERS);
        for record in self.watched_instances(group) {
            let ranked = self.owners.ranked(&self.registry, &record);
            watchers.extend(ranked.iter().take(OWNERS).cloned());
        }
        let others = watchers.iter().filter(|watcher| !watcher.is_self);
        let mut addresses: Vec<SocketAddr> = others.map(|watcher| watcher.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// The instances of a group whose owners watch it: its leader, or all while
    /// none is known.
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

    /// Whether this node owns connections to an instance of a group.
    pub fn owns_any_of(&self, group: &GroupName) -> bool {
        let instances = self.directory.instances_of(group);
        instances.iter().any(|known| self.owns(&known.record))
    }

    /// Whether connections belong to tenants: one that is opened ahead of need, or
    /// without a tenant, then serves nobody.
    pub(crate) fn tells_tenants_apart(&self) -> bool {
        let config = self.directory.config();
        config.is_some_and(|config| config.tenants.is_some())
    }

    /// Idle connections that this node keeps to an instance beyond those that were
    /// needed lately. Where they belong to tenants it keeps all: the next statement
    /// of the same tenant then needs no handshake, which takes as much of a slot as
    /// one or two statements (12 ms on the users' sites).
    pub(crate) fn spare_connections(&self, record: &InstanceRecord) -> usize {
        if !self.runs_statements_on(record) {
            return 0;
        }
        if self.tells_tenants_apart() {
            return self.share_of(record);
        }
        1
    }

    /// Nodes that may tell whether an instance is reached.
    pub fn witness_addresses(&self, instance: &InstanceName) -> Vec<SocketAddr> {
        match self.directory.instance(instance) {
            Some(known) if !self.is_ample(&known.record.group) => self.watcher_addresses(&known.record.group),
            _ => self.peer_addresses(),
        }
    }

    /// Whether this node keeps an eye on a group: every group while
    /// connections are plenty; else one whose leader's connections it owns, one
    /// that it uses itself, and one that it is among the first to replace the
    /// leader of. Each of these keeps a connection to the leader, which is not
    /// there for statements.
    pub fn watches(&self, group: &GroupName) -> bool {
        if !self.registry.is_listed() {
            return false;
        }
        if self.is_ample(group) {
            return true;
        }
        let last_use = self.directory.last_direct_use(group);
        if last_use.is_some_and(|used| clock::now().millis_since(used) < USED_MS) {
            return true;
        }
        self.registry.is_among_first(group.as_str(), WATCHERS)
            || self
                .watched_instances(group)
                .iter()
                .any(|record| self.owns(record))
    }
}
