//! Determines which nodes own the connections to an instance, and routes
//! statements to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use millwind_core::Instant;
use millwind_core::affinity;
use millwind_core::data_residency::{AllowedRegions, Topology};
use millwind_core::ids::{InstanceName, TenantName, ZoneName};
use millwind_core::owner_ranking::{OwnerCandidate, OwnerCounts};
use rand::RngExt;

use super::link::OwnerLink;
use super::links::Links;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::registry::{InstanceOwners, Owner, OwnerQuery, Registry};

/// Number of nodes that own connections to an instance.
pub const OWNER_COUNT: usize = 3;
/// Number of backup owners, which are used while no owner is reachable.
pub const BACKUP_OWNER_COUNT: usize = 5;
/// Time in milliseconds for which an owner that failed to reach an instance gets no
/// statements for that instance.
const AVOIDANCE_MS: u64 = 400;

/// Time in milliseconds without a reachable owner after which a node uses its own
/// connections.
const DIRECT_FALLBACK_MS: u64 = 1_000;
/// Time in milliseconds without a failed lookup after which a new period of
/// unreachable owners starts.
const UNREACHED_RESET_MS: u64 = 3_000;

/// Role of this node for the connections to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipRole {
    /// The node owns connections.
    Owner,
    /// The node serves while no owner is reachable.
    BackupOwner,
    /// The node forwards statements to owners.
    Other,
}

/// How a statement reaches its instance.
#[derive(Debug, Clone)]
pub enum Route {
    /// Over a connection of this node.
    Local,
    /// Through the node at the other end of the link.
    Forwarded(Arc<OwnerLink>),
    /// No node that could run the statement is currently reachable or reaches the
    /// instance.
    Unreachable,
}

/// Restricts the nodes that may receive the text of a statement.
#[derive(Debug, Clone, Copy)]
pub struct ForwardingPolicy<'a> {
    /// Regions that the customer allows.
    pub regions: &'a AllowedRegions,
    /// Maps zones to regions.
    pub topology: &'a Topology,
}

impl ForwardingPolicy<'_> {
    fn permits(&self, node: &Owner) -> bool {
        OwnerCandidate::may_forward(self.regions, self.topology, &node.zone)
    }
}

/// Inputs of a routing decision.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// The known nodes.
    pub registry: &'a Registry,
    /// The instance that the statement runs on.
    pub record: &'a InstanceRecord,
    /// Nodes that the statement may be forwarded to.
    pub forwarding_policy: ForwardingPolicy<'a>,
    /// Whether this node uses its own connections if it is an owner.
    pub prefers_local: bool,
}

type RankedNodes = Arc<Vec<Owner>>;

/// Ranked nodes of an instance for statements without region restrictions.
#[derive(Debug, Clone)]
struct UnrestrictedRanking {
    /// Version of the registry that the ranking was computed from.
    version: u64,
    /// Zone of the instance. A recreated instance may have the same name in another zone.
    zone: ZoneName,
    /// Owners and backup owners.
    nodes: Arc<InstanceOwners>,
    /// Owners followed by backup owners, in rank order.
    ranked: RankedNodes,
}

/// Cache key of the ranking for a set of allowed regions. Customers use few distinct
/// sets, so the cache stays small.
type RankingKey = (InstanceName, ZoneName, AllowedRegions);

/// Ranks the owners of instances and routes statements to them.
#[derive(Debug, Default)]
pub struct OwnerRouter {
    links: Arc<Links>,
    /// Maps zones to regions.
    topology: Topology,
    /// Cached rankings for unrestricted statements.
    unrestricted: Mutex<HashMap<InstanceName, UnrestrictedRanking>>,
    /// Cached rankings for restricted statements, with the version of the registry that
    /// each was computed from.
    restricted: Mutex<HashMap<RankingKey, (u64, Arc<InstanceOwners>)>>,
    avoided: Mutex<HashMap<(SocketAddr, InstanceName), Instant>>,
    /// Per instance, the start of the period without a reachable owner and the time of the
    /// last failed lookup.
    unreached_periods: Mutex<HashMap<InstanceName, (Instant, Instant)>>,
}

impl OwnerRouter {
    /// Creates a router with the given mapping of zones to regions.
    pub fn new(topology: Topology) -> Self {
        OwnerRouter {
            topology,
            ..OwnerRouter::default()
        }
    }

    /// Returns the owners of `record` followed by the backup owners.
    pub fn ranked(&self, registry: &Registry, record: &InstanceRecord) -> RankedNodes {
        self.unrestricted_ranking(registry, record).ranked
    }

    /// Returns the cached ranking, recomputed if the registry or the instance's zone has
    /// changed. A cache hit does not copy the rankings, since every forwarded statement
    /// calls this function.
    fn unrestricted_ranking(&self, registry: &Registry, record: &InstanceRecord) -> UnrestrictedRanking {
        let version = registry.version();
        let mut unrestricted = self.unrestricted.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = unrestricted.get(&record.name)
            && cached.version == version
            && cached.zone == record.zone
        {
            return cached.clone();
        }
        let nodes = self.rank(registry, record, &AllowedRegions::Any);
        let ranked = nodes.owners.iter().chain(&nodes.backup_owners).cloned().collect();
        let ranking = UnrestrictedRanking {
            version,
            zone: record.zone.clone(),
            nodes: Arc::new(nodes),
            ranked: Arc::new(ranked),
        };
        unrestricted.insert(record.name.clone(), ranking.clone());
        ranking
    }

    /// Returns the owners and backup owners that may receive the text of the statement. This
    /// node is always permitted, because it already has the text.
    fn permitted_owners(&self, request: &RouteRequest<'_>) -> Arc<InstanceOwners> {
        if request.forwarding_policy.regions.is_any() {
            return self.unrestricted_ranking(request.registry, request.record).nodes;
        }
        let version = request.registry.version();
        let key = (
            request.record.name.clone(),
            request.record.zone.clone(),
            request.forwarding_policy.regions.clone(),
        );
        let mut restricted = self.restricted.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((cached_version, owners)) = restricted.get(&key)
            && *cached_version == version
        {
            return owners.clone();
        }
        let owners = Arc::new(self.rank(
            request.registry,
            request.record,
            request.forwarding_policy.regions,
        ));
        // Drops rankings of other registry versions.
        restricted.retain(|_, (cached_version, _)| *cached_version == version);
        restricted.insert(key, (version, owners.clone()));
        owners
    }

    fn rank(&self, registry: &Registry, record: &InstanceRecord, regions: &AllowedRegions) -> InstanceOwners {
        let query = OwnerQuery {
            instance: &record.name,
            zone: &record.zone,
            topology: &self.topology,
            regions,
        };
        let counts = OwnerCounts {
            owners: OWNER_COUNT,
            backup_owners: BACKUP_OWNER_COUNT,
        };
        registry.owners(&query, counts)
    }

    /// Returns whether this node owns connections to `record`. The full ranking is
    /// only computed if the nodes of the instance's zone don't decide the answer.
    pub fn owns(&self, registry: &Registry, record: &InstanceRecord) -> bool {
        if !registry.is_listed() {
            return false;
        }
        let within = registry.is_owner_within(&record.name, &record.zone, OWNER_COUNT);
        within.unwrap_or_else(|| self.ownership_role(registry, record) == OwnershipRole::Owner)
    }

    /// Returns this node's role for `record`. The role is [`OwnershipRole::Other`] until the
    /// other nodes are known, because the node would otherwise own every instance.
    pub fn ownership_role(&self, registry: &Registry, record: &InstanceRecord) -> OwnershipRole {
        if !registry.is_listed() {
            return OwnershipRole::Other;
        }
        let ranked = self.ranked(registry, record);
        match ranked.iter().position(|owner| owner.is_self) {
            Some(index) if index < OWNER_COUNT => OwnershipRole::Owner,
            Some(_) => OwnershipRole::BackupOwner,
            None => OwnershipRole::Other,
        }
    }

    /// Excludes an owner that failed to reach `instance` from routing for a while.
    pub fn avoid(&self, owner: SocketAddr, instance: &InstanceName) {
        let until = clock::now().plus_millis(AVOIDANCE_MS);
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.retain(|_, until| *until > clock::now());
        avoided.insert((owner, instance.clone()), until);
    }

    fn is_avoided(&self, owner: SocketAddr, instance: &InstanceName) -> bool {
        let avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided
            .get(&(owner, instance.clone()))
            .is_some_and(|until| *until > clock::now())
    }

    /// Marks the links to owners as suspect after a node failed to answer.
    pub fn suspect_links(&self) {
        self.links.raise_suspicion();
    }

    /// Returns a link to the node at `address`, connecting if necessary. Returns `None`
    /// if the node is not reached.
    pub async fn link_to(&self, address: SocketAddr) -> Option<Arc<OwnerLink>> {
        match self.links.least_loaded_live(&[address]).await {
            Some(link) => Some(link),
            None => self.links.await_least_loaded(&[address]).await,
        }
    }

    /// Returns whether the node at `address` has sent a message within the last
    /// `recent_ms`, or answers a ping within `limit`. Returns false if no link is open.
    pub async fn answers(&self, address: SocketAddr, recent_ms: u64, limit: Duration) -> bool {
        match self.links.least_loaded(&[address]) {
            Some(link) => link.heard_within(recent_ms) || link.answers(limit).await,
            None => false,
        }
    }

    /// Chooses the route of a statement. A node that has not reached any owner for a while
    /// uses its own connections.
    pub async fn route(&self, request: &RouteRequest<'_>) -> Route {
        let record = request.record;
        let permitted = self.permitted_owners(request);
        if request.prefers_local && permitted.owners.iter().any(|owner| owner.is_self) {
            return Route::Local;
        }
        if has_no_permitted_nodes(request, &permitted) {
            return Route::Local;
        }
        let mut was_avoided = false;
        let owners = self.available_addresses(&permitted.owners, request, &mut was_avoided);
        let backup_owners = self.available_addresses(&permitted.backup_owners, request, &mut was_avoided);
        let found = match self.links.least_loaded_live(&owners).await {
            Some(link) => Some(link),
            None => self.await_owner_or_backup(&owners, &backup_owners).await,
        };
        if let Some(link) = found {
            self.unreached_periods().remove(&record.name);
            return Route::Forwarded(link);
        }
        if was_avoided || !self.may_connect_directly(&record.name) {
            return Route::Unreachable;
        }
        Route::Local
    }

    /// Chooses the route of a tenant's statement. The tenant's preferred owner comes
    /// first, because it likely still has a connection of this tenant open; other owners
    /// are used while the preferred one is unreachable.
    pub async fn route_for_tenant(&self, request: &RouteRequest<'_>, tenant: &TenantName) -> Route {
        let record = request.record;
        let permitted = self.permitted_owners(request);
        let owners = &permitted.owners;
        let names: Vec<_> = owners.iter().map(|owner| owner.address.to_string()).collect();
        for index in affinity::rendezvous_order(tenant.as_str(), &names) {
            let owner = &owners[index];
            if owner.is_self && request.prefers_local {
                return Route::Local;
            }
            let is_unused = owner.is_self || !request.forwarding_policy.permits(owner);
            if is_unused || self.is_avoided(owner.address, &record.name) {
                continue;
            }
            if let Some(link) = self.links.least_loaded_live(&[owner.address]).await {
                self.unreached_periods().remove(&record.name);
                return Route::Forwarded(link);
            }
        }
        self.route(request).await
    }

    fn unreached_periods(&self) -> MutexGuard<'_, HashMap<InstanceName, (Instant, Instant)>> {
        self.unreached_periods
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no owner has been reached for long enough to use this node's own
    /// connections. The delay keeps nodes that start together from opening connections
    /// before the owners are up.
    fn may_connect_directly(&self, instance: &InstanceName) -> bool {
        let now = clock::now();
        let mut unreached_periods = self.unreached_periods();
        let entry = unreached_periods.entry(instance.clone()).or_insert((now, now));
        if now.millis_since(entry.1) > UNREACHED_RESET_MS {
            entry.0 = now;
        }
        entry.1 = now;
        now.millis_since(entry.0) >= DIRECT_FALLBACK_MS
    }

    /// Waits for a link to an owner, or else to a backup owner. Links to both are opened
    /// concurrently.
    async fn await_owner_or_backup(
        &self,
        owners: &[SocketAddr],
        backup_owners: &[SocketAddr],
    ) -> Option<Arc<OwnerLink>> {
        let backup = self.links.least_loaded_live(backup_owners).await;
        match self.links.await_least_loaded(owners).await {
            Some(link) => Some(link),
            None if backup.is_some() => backup,
            None => self.links.await_least_loaded(backup_owners).await,
        }
    }

    /// Returns the addresses of other nodes that are permitted and not avoided, rotated
    /// by a random offset. Sets `was_avoided` if a node was skipped as avoided.
    fn available_addresses(
        &self,
        nodes: &[Owner],
        request: &RouteRequest<'_>,
        was_avoided: &mut bool,
    ) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        let others = nodes.iter().filter(|node| !node.is_self);
        for node in others.filter(|node| request.forwarding_policy.permits(node)) {
            if self.is_avoided(node.address, &request.record.name) {
                *was_avoided = true;
            } else {
                addresses.push(node.address);
            }
        }
        let offset = rand::rng().random_range(0..addresses.len().max(1));
        addresses.rotate_left(offset);
        addresses
    }
}

/// Returns whether no other node is registered that a restricted statement may be
/// forwarded to, so that this node must use its own connection. The list of nodes must
/// have been stable for a while, since nodes of the allowed regions may be missing
/// from the list right after a cluster start.
fn has_no_permitted_nodes(request: &RouteRequest<'_>, permitted: &InstanceOwners) -> bool {
    let mut nodes = permitted.owners.iter().chain(&permitted.backup_owners);
    let is_restricted = !request.forwarding_policy.regions.is_any();
    is_restricted && nodes.all(|node| node.is_self) && request.registry.unchanged_ms() >= DIRECT_FALLBACK_MS
}
