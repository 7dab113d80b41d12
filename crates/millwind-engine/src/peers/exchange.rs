//! Synchronizes the catalog with random peers, and queries peers about leaders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use log::{info, warn};
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_wire::exchange::{ConfigDocument, ExchangeReply, ExchangeRequest, Reach};
use rand::RngExt;

use super::PeerRequestError;
use crate::catalog_intake::ConfigSource;
use crate::clock;
use crate::forward;
use crate::node::Engine;
use crate::ports::CatalogCodec;

/// Interval between catalog comparisons.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(800);
/// Comparison interval while catalog updates are urgent. Relays read the store at this interval
/// then, so a shorter one would only add requests that return nothing new.
const URGENT_INTERVAL: Duration = Duration::from_millis(300);
/// Comparison interval of a node that does not yet know enough to serve, since any peer may
/// have received updates in the meantime.
const STARTING_INTERVAL: Duration = Duration::from_millis(150);
/// Number of neighbours in the zone of this node.
const SAME_ZONE_NEIGHBOURS: usize = 4;
/// Number of neighbours in other zones.
const OTHER_ZONE_NEIGHBOURS: usize = 4;
/// Number of peers asked about a suspected leader.
const PEERS_PER_REACH_QUERY: usize = 6;
/// Number of watchers asked for the leader of their group.
const WATCHERS_PER_LEADER_QUERY: usize = 2;

/// Reachability of an instance as reported by peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerReachability {
    /// Number of peers that reach the instance.
    pub reaching: usize,
    /// Number of peers that fail to reach the instance.
    pub failing: usize,
}

/// Periodic catalog exchange of one node with its peers.
pub struct CatalogExchange {
    engine: Arc<Engine>,
    codec: Arc<dyn CatalogCodec>,
}

impl CatalogExchange {
    /// Creates an exchange that decodes catalog documents with `codec`.
    pub fn new(engine: Arc<Engine>, codec: Arc<dyn CatalogCodec>) -> Self {
        CatalogExchange { engine, codec }
    }

    /// Runs the periodic comparison. Never returns.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(self.interval()).await;
            if let Some(source) = self.choose_source() {
                self.compare_and_reconsider_source(source).await;
            }
            self.engine.relays.reconsider_source(&self.engine);
        }
    }

    /// Compares the catalog with `source`, and decides whether this node must read the store.
    /// The decision follows each comparison, when the catalog is freshest; before it, the
    /// catalog may be older than the freshness limit, and all nodes would read the store
    /// without need. A comparison that takes longer than the interval does not delay the
    /// decision.
    async fn compare_and_reconsider_source(&self, source: ComparisonPeer) {
        let mut comparison = std::pin::pin!(self.compare_catalog(source));
        while tokio::time::timeout(COMPARISON_INTERVAL, &mut comparison)
            .await
            .is_err()
        {
            self.engine.relays.reconsider_source(&self.engine);
        }
    }

    fn interval(&self) -> Duration {
        let (directory, relays) = (&self.engine.directory, &self.engine.relays);
        if !directory.is_complete() || relays.instances_as_of().is_none() || !directory.has_had_permits() {
            return STARTING_INTERVAL;
        }
        match relays.is_polling_urgent(directory) {
            true => URGENT_INTERVAL,
            false => COMPARISON_INTERVAL,
        }
    }

    /// Returns the node to compare with: a relay if this node relies on relays and at least one
    /// is usable, otherwise the monitor if this node's configuration is not recent, otherwise a
    /// neighbour.
    fn choose_source(&self) -> Option<ComparisonPeer> {
        let relays = &self.engine.relays;
        let is_relay = relays.is_relay(&self.engine.registry);
        let relay = match is_relay {
            true => None,
            false => choose_random(&relays.relays_to_ask(&self.engine.registry)),
        };
        // A node that reads the store because its relays are stale also asks neighbours, which
        // may reach the store when the relays do not.
        let prefers_neighbour = relays.is_reading_store() && rand::rng().random_bool(0.5);
        match relay {
            Some(address) if !prefers_neighbour => Some(ComparisonPeer {
                address,
                role: PeerRole::Relay,
            }),
            _ => self.choose_monitor().or_else(|| self.choose_neighbour()),
        }
    }

    /// Returns the monitor if this node reads the store and should ask it.
    fn choose_monitor(&self) -> Option<ComparisonPeer> {
        let relays = &self.engine.relays;
        if !relays.is_reading_store() {
            return None;
        }
        let address = relays.monitor_to_ask(&self.engine.registry)?;
        Some(ComparisonPeer {
            address,
            role: PeerRole::Monitor,
        })
    }

    /// Returns a random neighbour, or a seed node while no peer is known.
    fn choose_neighbour(&self) -> Option<ComparisonPeer> {
        let zone = &self.engine.settings.zone;
        let neighbours = self
            .engine
            .registry
            .neighbours(zone, SAME_ZONE_NEIGHBOURS, OTHER_ZONE_NEIGHBOURS);
        let addresses = match neighbours.is_empty() {
            true => self.engine.peer_addresses(),
            false => neighbours,
        };
        let address = choose_random(&addresses)?;
        Some(ComparisonPeer {
            address,
            role: PeerRole::Neighbour,
        })
    }

    async fn compare_catalog(&self, source: ComparisonPeer) {
        let address = source.address;
        let request = ExchangeRequest::Catalog {
            config_version: self.engine.config_version(),
            instances_revision: self.engine.catalog_cache.instances_revision(),
            own_revision: self.engine.own_keys.known_revision(),
            evacuations_revision: self.engine.directory.evacuations().revision(),
            as_relay: u8::from(source.role == PeerRole::Relay),
            as_monitor: u8::from(source.role == PeerRole::Monitor),
        };
        let sent = clock::now();
        let reply = self.engine.peers.ask(address, &request).await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => return self.record_failure(source, sent, &error),
        };
        let ExchangeReply::Catalog {
            config,
            evacuations,
            instances,
            instances_revision,
            own,
            own_revision,
            complete,
            instances_age_ms,
            config_age_ms,
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
        let document_count = config.len() + instances.len() + own.len();
        self.engine.metrics.catalog_comparisons.inc();
        self.engine
            .metrics
            .catalog_documents
            .inc_by(document_count as u64);
        if !config.is_empty() || !instances.is_empty() {
            info!(
                "event=catalog_from_peer peer={address} config={} instances={}",
                config.len(),
                instances.len()
            );
        }
        // Evacuation requests are applied first, because the node may start to serve once it
        // has a configuration.
        for listing in &evacuations {
            self.engine.handle_peer_evacuations(listing, sent);
        }
        for document in config {
            self.apply_config(address, &document);
        }
        let known_revision = self.engine.catalog_cache.instances_revision();
        for document in &instances {
            let value = (document.removed == 0).then_some(document.value.as_slice());
            self.engine
                .handle_instance_document(&*self.codec, &document.key, value, document.revision);
        }
        if complete == 1 && instances_revision.era > known_revision.era && !known_revision.is_none() {
            // The reply lists all instances in the store since its restoration, so all others
            // are gone.
            let present = instances.iter().filter(|document| document.removed == 0);
            let names = present.filter_map(|document| self.codec.instance_name(&document.key));
            self.engine
                .drop_missing_instances(&*self.codec, &names.collect(), instances_revision);
        }
        if complete == 1 {
            self.engine
                .catalog_cache
                .advance_instances_revision(instances_revision);
            self.engine.directory.mark_listing_complete();
        }
        self.engine.own_keys.apply_documents(own, own_revision);
        if own_age_ms < u32::MAX {
            let known_at = clock::minus_millis(sent, u64::from(own_age_ms));
            self.engine.directory.confirm_closed_terms(known_at);
        }
        let instances_age_ms = decode_age_ms(instances_age_ms);
        let config_age_ms = decode_age_ms(config_age_ms);
        let relays = &self.engine.relays;
        if let Some(age_ms) = config_age_ms {
            relays.configuration_read(clock::minus_millis(sent, age_ms));
        }
        if let Some(age_ms) = instances_age_ms {
            self.engine
                .record_peer_instances(clock::minus_millis(sent, age_ms));
        }
        match source.role {
            PeerRole::Relay => relays.record_relay_answer(address, instances_age_ms),
            PeerRole::Monitor => relays.record_monitor_answer(address, config_age_ms),
            PeerRole::Neighbour => {}
        }
    }

    fn apply_config(&self, peer: SocketAddr, config: &ConfigDocument) {
        let known_since = clock::minus_millis(clock::now(), u64::from(config.age_ms));
        match config.document.decompress() {
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

    /// Records that a comparison with `source`, started at `sent`, failed.
    fn record_failure(&self, source: ComparisonPeer, sent: Instant, error: &PeerRequestError) {
        let address = source.address;
        info!(
            "event=comparison_failed peer={address} relay={} waited_ms={} error={:?}",
            source.role == PeerRole::Relay,
            clock::now().millis_since(sent),
            error.to_string()
        );
        self.engine.unreachable_peers.failed(address, sent);
        // A starting node may have asked nodes that are starting too.
        if self.engine.directory.is_complete() {
            self.engine.owners.suspect_links();
        }
        if source.role == PeerRole::Monitor {
            self.engine.relays.avoid(address);
        }
        if source.role == PeerRole::Relay {
            info!("event=relay_unreachable relay={address}");
            match self.engine.directory.is_complete() {
                true => self.engine.relays.avoid(address),
                false => self.engine.relays.avoid_briefly(address),
            }
        }
    }
}

/// The node to compare catalogs with.
#[derive(Debug, Clone, Copy)]
struct ComparisonPeer {
    address: SocketAddr,
    role: PeerRole,
}

/// What a node is asked as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerRole {
    /// Reads the store for this node.
    Relay,
    /// Checks the configuration for the nodes that watch it.
    Monitor,
    Neighbour,
}

/// Decodes an age that [`crate::catalog_cache::encode_age_ms`] has encoded.
fn decode_age_ms(age_ms: u32) -> Option<u64> {
    (age_ms < u32::MAX).then_some(u64::from(age_ms))
}

fn choose_random(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    if addresses.is_empty() {
        return None;
    }
    let index = rand::rng().random_range(0..addresses.len());
    Some(addresses[index])
}

/// Returns at most `count` random addresses.
fn sample(mut addresses: Vec<SocketAddr>, count: usize) -> Vec<SocketAddr> {
    let mut random = rand::rng();
    while addresses.len() > count {
        let index = random.random_range(0..addresses.len());
        addresses.swap_remove(index);
    }
    addresses
}

/// Asks a sample of peers whether they reach `instance`.
pub(crate) async fn query_reachability(engine: &Arc<Engine>, instance: &InstanceName) -> PeerReachability {
    let addresses = sample(engine.witness_addresses(instance), PEERS_PER_REACH_QUERY);
    let request = ExchangeRequest::Reach {
        instance: instance.0.clone(),
    };
    let requests = addresses
        .iter()
        .map(|address| engine.peers.ask(*address, &request));
    let replies = join_all(requests).await;
    let mut reachability = PeerReachability::default();
    for reply in replies {
        match reply {
            Ok(ExchangeReply::Reach(Reach::Reached)) => reachability.reaching += 1,
            Ok(ExchangeReply::Reach(Reach::Failing)) => reachability.failing += 1,
            _ => {}
        }
    }
    reachability
}

/// Asks a sample of the watchers of a group for the last report of its leader, unless such a
/// query is already running.
pub(crate) async fn refresh_leader_report(engine: &Arc<Engine>, group: &GroupName) {
    if let Some(_guard) = engine.leader_queries.enter(group) {
        query_leader(engine, group).await;
    }
}

/// Asks a sample of the watchers of a group for its leader. Returns whether one of them knows
/// it.
pub(crate) async fn query_leader(engine: &Arc<Engine>, group: &GroupName) -> bool {
    let addresses = sample(engine.watcher_addresses(group), WATCHERS_PER_LEADER_QUERY);
    let request = ExchangeRequest::Leader {
        group: group.0.clone(),
    };
    let sent = clock::now();
    let requests = addresses
        .iter()
        .map(|address| engine.peers.ask(*address, &request));
    let mut is_known = false;
    for reply in join_all(requests).await {
        let Ok(ExchangeReply::Leader { leader }) = reply else {
            continue;
        };
        for report in &leader {
            is_known = true;
            forward::record_leader_report(engine, group, report, sent);
        }
    }
    is_known
}
