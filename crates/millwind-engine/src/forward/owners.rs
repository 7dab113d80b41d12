//! Which nodes own the connections to an instance, and through which of them
//! a statement goes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use rand::RngExt;

use super::link::OwnerLink;
use super::links::Links;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::registry::{Owner, Registry};

/// Nodes that own connections to an instance.
pub const OWNERS: usize = 3;
/// Nodes that stand in while no owner is reached.
pub const STAND_INS: usize = 2;
/// An owner that does not reach an instance is left alone for it for this
/// long, in milliseconds.
const AVOID_MS: u64 = 400;

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

type Ranked = Arc<Vec<Owner>>;

/// Owners of all instances.
#[derive(Debug, Default)]
pub struct Owners {
    links: Links,
    /// By instance, with the version of the registry that they follow from.
    ranked: Mutex<HashMap<InstanceName, (u64, Ranked)>>,
    avoided: Mutex<HashMap<(SocketAddr, InstanceName), Instant>>,
}

impl Owners {
    /// Owners of `record` and then those that stand in for them.
    pub fn ranked(&self, registry: &Registry, record: &InstanceRecord) -> Ranked {
        let version = registry.version();
        let mut ranked = self.ranked.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((held, owners)) = ranked.get(&record.name)
            && *held == version
        {
            return owners.clone();
        }
        let count = OWNERS + STAND_INS;
        let owners = Arc::new(registry.owners(record.name.as_str(), record.zone.as_str(), OWNERS, count));
        ranked.insert(record.name.clone(), (version, owners.clone()));
        owners
    }

    /// What this node is to `record`.
    pub fn standing(&self, registry: &Registry, record: &InstanceRecord) -> Standing {
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

    /// The way of a statement to `record`. A node that reaches no owner uses
    /// connections of its own.
    pub async fn route(&self, registry: &Registry, record: &InstanceRecord, prefers_own: bool) -> Route {
        let ranked = self.ranked(registry, record);
        let (owners, stand_ins) = ranked.split_at(ranked.len().min(OWNERS));
        if prefers_own && owners.iter().any(|owner| owner.is_self) {
            return Route::Own;
        }
        let mut was_avoided = false;
        for nodes in [owners, stand_ins] {
            let mut tried = Vec::new();
            while let Some(address) = self.pick(nodes, record, &tried, &mut was_avoided) {
                if let Some(link) = self.links.get(address).await {
                    return Route::Through(link);
                }
                tried.push(address);
            }
        }
        if was_avoided {
            Route::Unreachable
        } else {
            Route::Own
        }
    }

    /// The usable one of `nodes` with the fewest calls under way.
    fn pick(
        &self,
        nodes: &[Owner],
        record: &InstanceRecord,
        tried: &[SocketAddr],
        was_avoided: &mut bool,
    ) -> Option<SocketAddr> {
        let mut usable = Vec::new();
        for node in nodes.iter().filter(|node| !node.is_self) {
            let address = node.address;
            if tried.contains(&address) || !self.links.may_try(address) {
                continue;
            }
            if self.is_avoided(address, &record.name) {
                *was_avoided = true;
                continue;
            }
            usable.push(address);
        }
        let offset = rand::rng().random_range(0..usable.len().max(1));
        usable.rotate_left(offset);
        usable
            .into_iter()
            .min_by_key(|address| self.links.outstanding(*address))
    }
}
