//! Compares the catalog with a random peer's from time to time, and asks peers
//! about a suspected leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use log::{info, warn};
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_wire::exchange::{ConfigDocument, ExchangeReply, ExchangeRequest, Reach};
use rand::RngExt;

use super::AskError;
use crate::catalog_intake::ConfigSource;
use crate::clock;
use crate::forward;
use crate::node::Engine;
use crate::ports::CatalogCodec;

/// Between two comparisons.
const INTERVAL: Duration = Duration::from_millis(800);
/// Between two comparisons while news are urgent: relays read them as often then, and to
/// ask more often makes 985 nodes that start send questions in vain.
const URGENT_INTERVAL: Duration = Duration::from_millis(300);
/// The same of a node that does not know enough to serve: whom it asks may just have heard.
const STARTING_INTERVAL: Duration = Duration::from_millis(150);
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
            tokio::time::sleep(self.interval()).await;
            if let Some(source) = self.pick() {
                self.compare_and_judge(source).await;
            }
            self.engine.relays.reconsider_source(&self.engine);
        }
    }

    /// Compares with `source`. The age of this node's news is looked at after each
    /// comparison, when they are freshest: in between they grow older than those that
    /// count as fresh, and all nodes would read the store in calm times. Only a long
    /// comparison must not keep the node from seeing that they grow old.
    async fn compare_and_judge(&self, source: Source) {
        let mut comparing = std::pin::pin!(self.compare(source));
        while tokio::time::timeout(INTERVAL, &mut comparing).await.is_err() {
            self.engine.relays.reconsider_source(&self.engine);
        }
    }

    fn interval(&self) -> Duration {
        let (directory, relays) = (&self.engine.directory, &self.engine.relays);
        if !directory.is_complete() || relays.store_age_ms().is_none() {
            return STARTING_INTERVAL;
        }
        match relays.is_polling_urgent(directory) {
            true => URGENT_INTERVAL,
            false => INTERVAL,
        }
    }

    /// Whom to compare with: a relay where this node leaves the store to them
    /// and they have fresh news, else a neighbour.
    fn pick(&self) -> Option<Source> {
        let relays = &self.engine.relays;
        let is_relay = relays.is_relay(&self.engine.registry);
        let relay = match is_relay {
            true => None,
            false => random_of(&relays.relays_to_ask(&self.engine.registry)),
        };
        // A node without fresh news asks neighbours as well: they may hear the
        // store where the relays don't.
        let prefers_neighbour = relays.is_reading_store() && rand::rng().random_bool(0.5);
        match relay {
            Some(address) if !prefers_neighbour => Some(Source {
                address,
                is_relay: true,
            }),
            _ => self.neighbour().map(|address| Source {
                address,
                is_relay: false,
            }),
        }
    }

    /// A random neighbour, or a seed while no peer is known.
    fn neighbour(&self) -> Option<SocketAddr> {
        let zone = &self.engine.settings.zone;
        let neighbours = self
            .engine
            .registry
            .neighbours(zone, NEAR_NEIGHBOURS, FAR_NEIGHBOURS);
        let addresses = match neighbours.is_empty() {
            true => self.engine.peer_addresses(),
            false => neighbours,
        };
        random_of(&addresses)
    }

    async fn compare(&self, source: Source) {
        let address = source.address;
        let request = ExchangeRequest::Catalog {
            config_version: self.engine.config_version(),
            instances_revision: self.engine.catalog_cache.instances_revision(),
            own_revision: self.engine.own_keys.known_revision(),
            evacuations_revision: self.engine.directory.evacuations().revision(),
            as_relay: u8::from(source.is_relay),
        };
        let sent = clock::now();
        let reply = self.engine.peers.ask(address, &request).await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => return self.note_failure(source, sent, &error),
        };
        let ExchangeReply::Catalog {
            config,
            evacuations,
            instances,
            instances_revision,
            own,
            own_revision,
            complete,
            store_age_ms,
            own_age_ms,
        } = reply
        else {
            warn!("event=peer_message_refused peer={address} question=catalog");
            return;
        };
        self.engine.unreachable_peers.answered(address);
        let (instances, own) = match (instances.into_documents(), own.into_documents()) {
            (Ok(instances), Ok(own)) => (instances, own),
            (Err(error), _) | (_, Err(error)) => {
                warn!(
                    "event=peer_message_refused peer={address} question=catalog error={:?}",
                    error.to_string()
                );
                return;
            }
        };
        let documents = config.len() + instances.len() + own.len();
        self.engine.metrics.catalog_comparisons.inc();
        self.engine.metrics.catalog_documents.inc_by(documents as u64);
        if !config.is_empty() || !instances.is_empty() {
            info!(
                "event=catalog_from_peer peer={address} config={} instances={}",
                config.len(),
                instances.len()
            );
        }
        // First the requests: with a configuration the node may serve.
        for listing in &evacuations {
            self.engine.handle_peer_evacuations(listing, sent);
        }
        for document in config {
            self.take_config(address, &document);
        }
        let known = self.engine.catalog_cache.instances_revision();
        for document in &instances {
            let value = (document.removed == 0).then_some(document.value.as_slice());
            self.engine
                .handle_instance_document(&*self.codec, &document.key, value, document.revision);
        }
        if complete == 1 && instances_revision.era > known.era && !known.is_none() {
            // The other node has told all that the store holds since it was restored.
            let present = instances.iter().filter(|document| document.removed == 0);
            let names = present.filter_map(|document| self.codec.instance_name(&document.key));
            self.engine
                .drop_missing_instances(&*self.codec, &names.collect(), instances_revision);
        }
        if complete == 1 {
            self.engine
                .catalog_cache
                .advance_instances_revision(instances_revision);
            self.engine.directory.listing_known();
        }
        self.engine.own_keys.apply_documents(own, own_revision);
        if own_age_ms < u32::MAX {
            let known = clock::minus_millis(sent, u64::from(own_age_ms));
            self.engine.directory.confirm_terms(known);
        }
        let store_age_ms = (store_age_ms < u32::MAX).then_some(u64::from(store_age_ms));
        if let Some(age_ms) = store_age_ms {
            self.engine
                .record_peer_store_contact(clock::minus_millis(sent, age_ms));
        }
        if source.is_relay {
            self.engine.relays.record_relay_answer(address, store_age_ms);
        }
    }

    fn take_config(&self, peer: SocketAddr, config: &ConfigDocument) {
        let known_since = clock::minus_millis(clock::now(), u64::from(config.age_ms));
        match config.document.unpack() {
            Ok(document) => {
                self.engine
                    .handle_config_document(&*self.codec, &document, ConfigSource::Peer, known_since);
            }
            Err(error) => warn!(
                "event=config_refused source=peer peer={peer} version={} error={:?}",
                config.version,
                error.to_string()
            ),
        }
    }

    /// A comparison with `source` that began at `sent` came to nothing.
    fn note_failure(&self, source: Source, sent: Instant, error: &AskError) {
        let address = source.address;
        info!(
            "event=comparison_failed peer={address} relay={} waited_ms={} error={:?}",
            source.is_relay,
            clock::now().millis_since(sent),
            error.to_string()
        );
        self.engine.unreachable_peers.failed(address, sent);
        // A starting node asks nodes that may be starting too.
        if self.engine.directory.is_complete() {
            self.engine.owners.doubt_links();
        }
        if source.is_relay {
            info!("event=relay_unreachable relay={address}");
            match self.engine.directory.is_complete() {
                true => self.engine.relays.avoid(address),
                false => self.engine.relays.avoid_briefly(address),
            }
        }
    }
}

/// A node to compare catalogs with.
#[derive(Debug, Clone, Copy)]
struct Source {
    address: SocketAddr,
    /// It is asked to read the store on this node's behalf.
    is_relay: bool,
}

fn random_of(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    if addresses.is_empty() {
        return None;
    }
    let index = rand::rng().random_range(0..addresses.len());
    Some(addresses[index])
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
            Ok(ExchangeReply::Reach(Reach::Reached)) => testimony.reaching += 1,
            Ok(ExchangeReply::Reach(Reach::Failing)) => testimony.failing += 1,
            _ => {}
        }
    }
    testimony
}

/// Asks some watchers of a group for what its leader reported last, unless this
/// node is asking already.
pub(crate) async fn observe_leader(engine: &Arc<Engine>, group: &GroupName) {
    if let Some(_inquiry) = engine.leader_inquiries.enter(group) {
        ask_leader(engine, group).await;
    }
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
        let Ok(ExchangeReply::Leader { leader }) = reply else {
            continue;
        };
        for report in &leader {
            is_known = true;
            forward::take_leader_report(engine, group, report, sent);
        }
    }
    is_known
}
