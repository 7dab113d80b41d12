//! Which nodes own the connections to an instance, and through which of them
//! a statement goes.

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

/// Nodes that own connections to an instance.
pub const OWNERS: usize = 3;
/// Nodes that stand in while no owner is reached.
pub const STAND_INS: usize = 5;
/// An owner that does not reach an instance is left alone for it for this
/// long, in milliseconds.
const AVOID_MS: u64 = 400;

/// A node that reaches no owner for this time uses connections of its own, in
/// milliseconds.
const ALONE_MS: u64 = 1_000;
/// After this time without a need for owners their absence is looked at anew, in
/// milliseconds.
const FORGET_MS: u64 = 3_000;

/// What a node is to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It owns connections.
    Owner,
    /// It stands in for owners.
    StandIn,
    /// Neither.
    Other,
}

/// Which way a statement goes.
#[derive(Debug, Clone)]
pub enum Route {
    /// Over this node's own connections.
    Own,
    /// Through the node at the other end of the link.
    Through(Arc<OwnerLink>),
    /// Every node that could run it has just failed to reach the instance.
    Unreachable,
}

/// The nodes that the text of a statement may travel to.
#[derive(Debug, Clone, Copy)]
pub struct Carriers<'a> {
    /// Regions that the statement's customer allows.
    pub regions: &'a AllowedRegions,
    /// Regions of the zones.
    pub topology: &'a Topology,
}

impl Carriers<'_> {
    fn allow(&self, node: &Owner) -> bool {
        OwnerCandidate::may_forward(self.regions, self.topology, &node.zone)
    }
}

/// What a statement's way follows from.
#[derive(Debug, Clone, Copy)]
pub struct Way<'a> {
    /// The nodes.
    pub registry: &'a Registry,
    /// The instance.
    pub record: &'a InstanceRecord,
    /// Nodes that it may pass.
    pub carriers: Carriers<'a>,
    /// This node uses its own connections where it owns some.
    pub prefers_own: bool,
}

type Ranked = Arc<Vec<Owner>>;

/// The ranking of one instance for statements that may pass all nodes.
#[derive(Debug, Clone)]
struct PlainRanking {
    /// Version of the registry that it follows from.
    version: u64,
    /// Zone of the instance, which may come back under its name in another one.
    zone: ZoneName,
    /// Owners, and those that stand in for them.
    nodes: Arc<InstanceOwners>,
    /// Both, first ones first.
    ranked: Ranked,
}

/// What an instance's ranking follows from: a statement that may not pass all nodes has
/// one of its own. Customers differ in few sets of regions.
type RankingKey = (InstanceName, ZoneName, AllowedRegions);

/// Owners of all instances.
#[derive(Debug, Default)]
pub struct Owners {
    links: Arc<Links>,
    /// Regions of the zones.
    topology: Topology,
    /// The ranking for statements that may pass all nodes, by instance.
    plain: Mutex<HashMap<InstanceName, PlainRanking>>,
    /// The ranking by what other statements may pass, with the version of the registry
    /// that it follows from.
    allowed: Mutex<HashMap<RankingKey, (u64, Arc<InstanceOwners>)>>,
    avoided: Mutex<HashMap<(SocketAddr, InstanceName), Instant>>,
    /// Since when no owner of an instance is reached, and when that was last
    /// found.
    unreached: Mutex<HashMap<InstanceName, (Instant, Instant)>>,
}

impl Owners {
    /// Owners where the zones lie in these regions.
    pub fn new(topology: Topology) -> Self {
        Owners {
            topology,
            ..Owners::default()
        }
    }

    /// Owners of `record` and then those that stand in for them.
    pub fn ranked(&self, registry: &Registry, record: &InstanceRecord) -> Ranked {
        self.plain(registry, record).ranked
    }

    /// Each forwarded statement asks for it: nothing is allocated while it holds.
    fn plain(&self, registry: &Registry, record: &InstanceRecord) -> PlainRanking {
        let version = registry.version();
        let mut plain = self.plain.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(held) = plain.get(&record.name)
            && held.version == version
            && held.zone == record.zone
        {
            return held.clone();
        }
        let nodes = self.find(registry, record, &AllowedRegions::Any);
        let ranked = nodes.owners.iter().chain(&nodes.backup_owners).cloned().collect();
        let found = PlainRanking {
            version,
            zone: record.zone.clone(),
            nodes: Arc::new(nodes),
            ranked: Arc::new(ranked),
        };
        plain.insert(record.name.clone(), found.clone());
        found
    }

    /// Owners of `record`, and those that stand in for them, which the text of a
    /// statement may travel to; this node among them wherever it stands, since the
    /// statement is here already.
    fn allowed(&self, way: &Way<'_>) -> Arc<InstanceOwners> {
        if way.carriers.regions.is_any() {
            return self.plain(way.registry, way.record).nodes;
        }
        let version = way.registry.version();
        let key = (
            way.record.name.clone(),
            way.record.zone.clone(),
            way.carriers.regions.clone(),
        );
        let mut allowed = self.allowed.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((held, owners)) = allowed.get(&key)
            && *held == version
        {
            return owners.clone();
        }
        let owners = Arc::new(self.find(way.registry, way.record, way.carriers.regions));
        // What other versions of the registry or of the terms left behind.
        allowed.retain(|_, (held, _)| *held == version);
        allowed.insert(key, (version, owners.clone()));
        owners
    }

    fn find(&self, registry: &Registry, record: &InstanceRecord, regions: &AllowedRegions) -> InstanceOwners {
        let place = OwnerQuery {
            instance: &record.name,
            zone: &record.zone,
            topology: &self.topology,
            regions,
        };
        let sought = OwnerCounts {
            owners: OWNERS,
            backup_owners: STAND_INS,
        };
        registry.owners(&place, sought)
    }

    /// Whether this node owns connections to `record`. Few nodes are weighed for it: one
    /// of another zone need not be told who does.
    pub fn owns(&self, registry: &Registry, record: &InstanceRecord) -> bool {
        if !registry.is_listed() {
            return false;
        }
        let within = registry.is_owner_within(&record.name, &record.zone, OWNERS);
        within.unwrap_or_else(|| self.standing(registry, record) == Standing::Owner)
    }

    /// What this node is to `record`: nothing before it knows the other nodes,
    /// since it would take itself for the owner of every instance.
    pub fn standing(&self, registry: &Registry, record: &InstanceRecord) -> Standing {
        if !registry.is_listed() {
            return Standing::Other;
        }
        let ranked = self.ranked(registry, record);
        match ranked.iter().position(|owner| owner.is_self) {
            Some(index) if index < OWNERS => Standing::Owner,
            Some(_) => Standing::StandIn,
            None => Standing::Other,
        }
    }

    /// An owner did not reach `instance`.
    pub fn avoid(&self, owner: SocketAddr, instance: &InstanceName) {
        let until = clock::now().plus_millis(AVOID_MS);
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

    /// A node gave no answer: links to owners may be cut.
    pub fn doubt_links(&self) {
        self.links.doubt();
    }

    /// A link to the node at `address`, opened if need be.
    pub async fn link_to(&self, address: SocketAddr) -> Option<Arc<OwnerLink>> {
        match self.links.best_proven(&[address]).await {
            Some(link) => Some(link),
            None => self.links.await_best(&[address]).await,
        }
    }

    /// Whether the node at `address` has said anything over its link within `recent_ms`,
    /// or answers within `limit`; false where no link is open.
    pub async fn answers(&self, address: SocketAddr, recent_ms: u64, limit: Duration) -> bool {
        match self.links.best(&[address]) {
            Some(link) => link.was_heard_within(recent_ms) || link.answers(limit).await,
            None => false,
        }
    }

    /// The way of a statement to its instance. A node that reaches no owner uses
    /// connections of its own.
    pub async fn route(&self, way: &Way<'_>) -> Route {
        let record = way.record;
        let allowed = self.allowed(way);
        if way.prefers_own && allowed.owners.iter().any(|owner| owner.is_self) {
            return Route::Own;
        }
        if is_without_carriers(way, &allowed) {
            return Route::Own;
        }
        let mut was_avoided = false;
        let owners = self.usable(&allowed.owners, way, &mut was_avoided);
        let backup_owners = self.usable(&allowed.backup_owners, way, &mut was_avoided);
        let found = match self.links.best_proven(&owners).await {
            Some(link) => Some(link),
            None => self.await_any(&owners, &backup_owners).await,
        };
        if let Some(link) = found {
            self.unreached().remove(&record.name);
            return Route::Through(link);
        }
        if was_avoided || !self.is_alone(&record.name) {
            return Route::Unreachable;
        }
        Route::Own
    }

    /// The way of a tenant's statement to `record`: through the owner that comes first
    /// for the tenant, so that it finds the connection of the tenant's last statement
    /// open. Only where that one is not reached another owner opens one of its own.
    pub async fn route_of_tenant(&self, way: &Way<'_>, tenant: &TenantName) -> Route {
        let record = way.record;
        let allowed = self.allowed(way);
        let owners = &allowed.owners;
        let names: Vec<_> = owners.iter().map(|owner| owner.address.to_string()).collect();
        for index in affinity::rendezvous_order(tenant.as_str(), &names) {
            let owner = &owners[index];
            if owner.is_self && way.prefers_own {
                return Route::Own;
            }
            let is_unused = owner.is_self || !way.carriers.allow(owner);
            if is_unused || self.is_avoided(owner.address, &record.name) {
                continue;
            }
            if let Some(link) = self.links.best_proven(&[owner.address]).await {
                self.unreached().remove(&record.name);
                return Route::Through(link);
            }
        }
        self.route(way).await
    }

    fn unreached(&self) -> MutexGuard<'_, HashMap<InstanceName, (Instant, Instant)>> {
        self.unreached.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no owner has been reached for a while: after a common start all
    /// nodes would else take connections before the owners are up.
    fn is_alone(&self, instance: &InstanceName) -> bool {
        let now = clock::now();
        let mut unreached = self.unreached();
        let entry = unreached.entry(instance.clone()).or_insert((now, now));
        if now.millis_since(entry.1) > FORGET_MS {
            entry.0 = now;
        }
        entry.1 = now;
        now.millis_since(entry.0) >= ALONE_MS
    }

    /// A link to an owner, else to one that stands in, which are opened at the
    /// same time.
    async fn await_any(&self, owners: &[SocketAddr], backup_owners: &[SocketAddr]) -> Option<Arc<OwnerLink>> {
        let standing_in = self.links.best_proven(backup_owners).await;
        match self.links.await_best(owners).await {
            Some(link) => Some(link),
            None if standing_in.is_some() => standing_in,
            None => self.links.await_best(backup_owners).await,
        }
    }

    /// Addresses of the other ones of `nodes` that may reach the instance, from
    /// a random one on.
    fn usable(&self, nodes: &[Owner], way: &Way<'_>, was_avoided: &mut bool) -> Vec<SocketAddr> {
        let mut usable = Vec::new();
        let others = nodes.iter().filter(|node| !node.is_self);
        for node in others.filter(|node| way.carriers.allow(node)) {
            if self.is_avoided(node.address, &way.record.name) {
                *was_avoided = true;
            } else {
                usable.push(node.address);
            }
        }
        let offset = rand::rng().random_range(0..usable.len().max(1));
        usable.rotate_left(offset);
        usable
    }
}

/// Whether no node that a restricted statement may pass is registered at all. Waiting
/// for one would be in vain: this node uses a connection of its own at once. That makes
/// no herd, since each node holds one such connection at most, and only once the list
/// of nodes has been the same for a while: after a common start the nodes of the
/// allowed regions may just not be listed yet.
fn is_without_carriers(way: &Way<'_>, allowed: &InstanceOwners) -> bool {
    let mut nodes = allowed.owners.iter().chain(&allowed.backup_owners);
    let is_restricted = !way.carriers.regions.is_any();
    is_restricted && nodes.all(|node| node.is_self) && way.registry.unchanged_ms() >= ALONE_MS
}
