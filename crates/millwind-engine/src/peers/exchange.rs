//! Compares the catalog with a random peer's from time to time, and asks peers
//! about a suspected leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use log::info;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_wire::exchange::{ExchangeReply, ExchangeRequest, Reach};
use rand::RngExt;

use crate::clock;
use crate::forward;
use crate::node::Engine;
use crate::ports::CatalogCodec;

/// Between two comparisons.
const INTERVAL: Duration = Duration::from_millis(800);
/// Between two comparisons while this node does not know enough to serve.
const URGENT_INTERVAL: Duration = Duration::from_millis(150);
/// Neighbours in a node's own zone.
const NEAR_NEIGHBOURS: usize = 4;
/// Neighbours in other zones.
const FAR_NEIGHBOURS: usize = 4;
/// Peers asked about a suspected leader.
const WITNESSES: usize = 6;
/// Watchers of a group asked who leads it.
const LEADER_QUESTIONS: usize = 2;

/// What peers say of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Testimony {
    /// Peers that reach it.
    pub reaching: usize,
    /// Peers that don't.
    pub failing: usize,
}

/// The exchange of one node with its peers.
pub struct Exchange {
    engine: Arc<Engine>,
    codec: Arc<dyn CatalogCodec>,
}

impl Exchange {
    /// An exchange that reads documents with `codec`.
    pub fn new(engine: Arc<Engine>, codec: Arc<dyn CatalogCodec>) -> Self {
        Exchange { engine, codec }
    }

    /// Compares catalogs for the life of the process.
    pub async fn run(self) {
        loop {
            let interval = if self.engine.directory.is_complete() {
                INTERVAL
            } else {
                URGENT_INTERVAL
            };
            tokio::time::sleep(interval).await;
            if let Some(address) = self.pick() {
                self.compare(address).await;
            }
        }
    }

    /// A random neighbour, or a seed while no peer is known.
    fn pick(&self) -> Option<SocketAddr> {
        let zone = &self.engine.settings.zone;
        let neighbours = self
            .engine
            .registry
            .neighbours(zone, NEAR_NEIGHBOURS, FAR_NEIGHBOURS);
        let addresses = match neighbours.is_empty() {
            true => self.engine.peer_addresses(),
            false => neighbours,
        };
        if addresses.is_empty() {
            return None;
        }
        let index = rand::rng().random_range(0..addresses.len());
        Some(addresses[index])
    }

    async fn compare(&self, address: SocketAddr) {
        let request = ExchangeRequest::Catalog {
            config_version: self.engine.config_version(),
            instances_revision: self.engine.catalog_cache.instances_revision(),
            nodes_revision: self.engine.registry.known_revision(),
        };
        let reply = self.engine.peers.ask(address, &request).await;
        let Some(ExchangeReply::Catalog {
            config,
            instances,
            nodes,
            nodes_revision,
            complete,
        }) = reply
        else {
            return;
        };
        if !config.is_empty() || !instances.is_empty() {
            info!(
                "event=catalog_from_peer peer={address} config={} instances={}",
                config.len(),
                instances.len()
            );
        }
        for document in config {
            self.engine.take_config(&*self.codec, &document.value, "peer");
        }
        for document in &instances {
            let value = (document.removed == 0).then_some(document.value.as_slice());
            self.engine
                .take_instance(&*self.codec, &document.key, value, document.revision);
        }
        if complete == 1 {
            self.engine.directory.listing_known();
        }
        self.engine.registry.learn(&nodes, nodes_revision);
    }
}

/// At most `count` of the addresses, at random.
fn some_of(mut addresses: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
    let mut random = rand::rng();
    while addresses.len() > count {
        let index = random.random_range(0..addresses.len());
        addresses.swap_remove(index);
    }
    addresses
}

/// Asks some peers whether they reach `instance`.
pub(crate) async fn ask_witnesses(engine: &Arc<Engine>, instance: &InstanceName) -> Testimony {
    let addresses = some_of(engine.witness_addresses(instance), WITNESSES);
    let request = ExchangeRequest::Reach {
        instance: instance.0.clone(),
    };
    let questions = addresses
        .iter()
        .map(|address| engine.peers.ask(*address, &request));
    let replies = join_all(questions).await;
    let mut testimony = Testimony::default();
    for reply in replies {
        match reply {
            Some(ExchangeReply::Reach(Reach::Reached)) => testimony.reaching += 1,
            Some(ExchangeReply::Reach(Reach::Failing)) => testimony.failing += 1,
            _ => {}
        }
    }
    testimony
}

/// Asks some watchers of a group who leads it; true if one of them knows.
pub(crate) async fn ask_leader(engine: &Arc<Engine>, group: &GroupName) -> bool {
    let addresses = some_of(engine.watcher_addresses(group), LEADER_QUESTIONS);
    let request = ExchangeRequest::Leader {
        group: group.0.clone(),
    };
    let sent = clock::now();
    let questions = addresses
        .iter()
        .map(|address| engine.peers.ask(*address, &request));
    let mut is_known = false;
    for reply in join_all(questions).await {
        let Some(ExchangeReply::Leader { leader }) = reply else {
            continue;
        };
        for report in &leader {
            is_known = true;
            forward::take_leader_report(engine, group, report, sent);
        }
    }
    is_known
}
