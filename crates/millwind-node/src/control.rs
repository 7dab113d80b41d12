//! The control actor: drives the control plane of `millwind-core` and publishes
//! snapshots of its state for the request path.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::{info, warn};
use millwind_core::Instant;
use millwind_core::config_state::{ConfigState, ResolvedConfig};
use millwind_core::control::{ControlPlane, RolloutState};
use millwind_core::freshness::{NotServing, ServingGate};
use millwind_core::ids::{InstanceName, NodeName, RegionName, ZoneName};
use millwind_core::membership::Outgoing;
use millwind_core::owner_table::OwnerTable;
use millwind_wire::control::{MemberRecord, NodeRevision, WireDocument, ZoneReport};
use millwind_wire::{ControlMessage, PeerMessage};
use tokio::sync::watch;
use xtra::prelude::*;

use crate::clock;
use crate::peer::PeerLinks;

/// Interval at which the control plane's timers run.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Data derived from the member table, rebuilt when members or reachable zones
/// change.
#[derive(Debug, Default)]
struct MembershipView {
    records: Vec<MemberRecord>,
    addresses: HashMap<String, SocketAddr>,
    relays: Vec<NodeName>,
    is_relay: bool,
    owners: OwnerTable,
    owner_cache: Mutex<HashMap<InstanceName, Option<NodeName>>>,
}

impl MembershipView {
    fn new(plane: &ControlPlane) -> Self {
        let membership = plane.membership();
        let records: Vec<MemberRecord> = membership.records().cloned().collect();
        let addresses = records
            .iter()
            .filter_map(|record| Some((record.node.clone(), record.address.parse().ok()?)))
            .collect();
        let zones = membership.zones();
        MembershipView {
            addresses,
            relays: zones.keys().flat_map(|zone| membership.relays(zone)).collect(),
            is_relay: membership.is_relay(),
            owners: plane.owner_table(clock::now()),
            owner_cache: Mutex::new(HashMap::new()),
            records,
        }
    }
}

/// A snapshot of the control plane for the request path.
#[derive(Debug, Clone)]
pub struct ControlView {
    own_name: Arc<str>,
    members: Arc<MembershipView>,
    gate: ServingGate,
    config: Arc<ConfigState>,
}

impl ControlView {
    /// Fails with the reason if requests must not be served at `now`.
    pub fn may_serve(&self, now: Instant) -> Result<(), NotServing> {
        self.gate.may_serve(now, self.config.revision() > 0)
    }

    /// The node's own name.
    pub fn own_name(&self) -> &str {
        &self.own_name
    }

    /// The node that owns `instance`; none if no node can.
    pub fn owner(&self, instance: &InstanceName, zone: &ZoneName, region: &RegionName) -> Option<NodeName> {
        let mut cache = self
            .members
            .owner_cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(owner) = cache.get(instance) {
            return owner.clone();
        }
        let owner = self.members.owners.owner(instance, zone, region).cloned();
        cache.insert(instance.clone(), owner.clone());
        owner
    }

    /// The node that owns `instance` when the nodes in `excluded` are left out.
    pub fn owner_excluding(
        &self,
        instance: &InstanceName,
        zone: &ZoneName,
        region: &RegionName,
        excluded: &BTreeSet<NodeName>,
    ) -> Option<NodeName> {
        if excluded.is_empty() {
            return self.owner(instance, zone, region);
        }
        self.members
            .owners
            .owner_excluding(instance, zone, region, excluded)
            .cloned()
    }

    /// Advertised peer address of a member.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.members.addresses.get(node).copied()
    }

    /// Records of all members.
    pub fn members(&self) -> &[MemberRecord] {
        &self.members.records
    }

    /// Latest report of each zone.
    pub fn zone_reports(&self) -> Vec<ZoneReport> {
        self.gate.reports(clock::now())
    }

    /// Configuration relays of all zones.
    pub fn relays(&self) -> &[NodeName] {
        &self.members.relays
    }

    /// Whether this node is a configuration relay of its zone.
    pub fn is_relay(&self) -> bool {
        self.members.is_relay
    }

    /// Configuration documents in force.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Time since the latest contact with the platform, in milliseconds.
    pub fn platform_age_ms(&self) -> u32 {
        self.gate.platform_age_ms(clock::now())
    }
}

/// Handle to the control actor and to the state that it publishes.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    /// Address of the control actor.
    pub actor: Address<ControlActor>,
    /// Latest snapshot of the control plane.
    pub view: watch::Receiver<Arc<ControlView>>,
    /// Resolved configuration in force.
    pub config: watch::Receiver<Arc<ResolvedConfig>>,
}

impl ControlHandle {
    /// The latest snapshot of the control plane.
    pub fn view(&self) -> Arc<ControlView> {
        self.view.borrow().clone()
    }

    /// The resolved configuration in force.
    pub fn config(&self) -> Arc<ResolvedConfig> {
        self.config.borrow().clone()
    }
}

/// Feeds messages and timer ticks to the control plane and publishes its state.
#[derive(xtra::Actor)]
pub struct ControlActor {
    plane: ControlPlane,
    links: Arc<PeerLinks>,
    view: watch::Sender<Arc<ControlView>>,
    config: watch::Sender<Arc<ResolvedConfig>>,
    /// Configuration revision reported by each node, with the time of the report.
    revisions: BTreeMap<String, (Instant, NodeRevision)>,
    sequence: u64,
    serving: Option<Result<(), NotServing>>,
    reachable_zones: BTreeSet<String>,
}

/// Starts the control actor and the timer that drives it.
pub fn start(plane: ControlPlane, links: Arc<PeerLinks>) -> ControlHandle {
    let initial = ControlView {
        own_name: Arc::from(plane.membership().own().node.as_str()),
        members: Arc::new(MembershipView::new(&plane)),
        gate: plane.gate().clone(),
        config: Arc::new(plane.config().clone()),
    };
    let (view_sender, view) = watch::channel(Arc::new(initial));
    let (config_sender, config) = watch::channel(Arc::new(ResolvedConfig::default()));
    let actor = ControlActor {
        plane,
        links,
        view: view_sender,
        config: config_sender,
        revisions: BTreeMap::new(),
        sequence: 0,
        serving: None,
        reachable_zones: BTreeSet::new(),
    };
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let timer = address.clone();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if timer.send(Tick).await.is_err() {
                return;
            }
        }
    });
    ControlHandle {
        actor: address,
        view,
        config,
    }
}

impl ControlActor {
    fn send_all(&mut self, outgoing: Vec<Outgoing>) {
        for message in outgoing {
            if let Ok(address) = message.address.parse() {
                self.links.send(address, PeerMessage::Control(message.message));
            }
        }
    }

    /// Publishes a new snapshot, and the configuration if it has changed.
    fn publish(&mut self) {
        let now = clock::now();
        let mut view = ControlView::clone(&self.view.borrow());
        if self.plane.take_config_changed() {
            self.publish_config();
            view.config = Arc::new(self.plane.config().clone());
        }
        let reachable = self.plane.reachable_zones(now);
        if self.plane.take_members_changed() || reachable != self.reachable_zones {
            self.reachable_zones = reachable;
            view.members = Arc::new(MembershipView::new(&self.plane));
        }
        view.gate = self.plane.gate().clone();
        self.view.send_replace(Arc::new(view));
        self.log_serving(now);
    }

    /// Logs when the node starts or stops serving.
    fn log_serving(&mut self, now: Instant) {
        let serving = self.plane.may_serve(now);
        if self.serving == Some(serving) {
            return;
        }
        self.serving = Some(serving);
        match serving {
            Ok(()) => info!(
                "event=serving_started revision={}",
                self.plane.config().revision()
            ),
            Err(reason) => warn!("event=serving_stopped reason={reason}"),
        }
    }

    /// Resolves the configuration documents and publishes the result. A document
    /// that does not resolve is logged.
    fn publish_config(&mut self) {
        let previous = self.config.borrow().clone();
        let (resolved, errors) = self.plane.config().resolve(&previous);
        for error in errors {
            warn!("event=document_refused error={:?}", error.to_string());
        }
        info!(
            "event=config_in_force revision={} groups={} tenants={}",
            resolved.revision,
            resolved.groups.len(),
            resolved.tenants.len()
        );
        self.config.send_replace(Arc::new(resolved));
    }
}

/// Runs the control plane's timers.
struct Tick;

impl Handler<Tick> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self>) {
        let outgoing = self.plane.tick(clock::now());
        self.send_all(outgoing);
        self.publish();
    }
}

/// A control message received from a peer.
pub struct PeerControlMessage {
    /// Name of the peer.
    pub peer: Arc<str>,
    /// Received message.
    pub message: ControlMessage,
}

impl Handler<PeerControlMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, received: PeerControlMessage, _context: &mut Context<Self>) {
        let now = clock::now();
        if let ControlMessage::Revisions { nodes, .. } = &received.message {
            for node in nodes {
                self.merge_revision(now, node);
            }
            return;
        }
        let outgoing = self.plane.receive(now, &received.peer, &received.message);
        self.send_all(outgoing);
        self.publish();
    }
}

impl ControlActor {
    /// Keeps the highest revision and the latest report time of a node.
    fn merge_revision(&mut self, now: Instant, node: &NodeRevision) {
        let reported_at = Instant(now.0.saturating_sub(u64::from(node.age_ms) * 1_000));
        let entry = self
            .revisions
            .entry(node.node.clone())
            .or_insert((reported_at, node.clone()));
        entry.1.revision = entry.1.revision.max(node.revision);
        entry.0 = entry.0.max(reported_at);
    }
}

/// An update from the platform's configuration store.
pub enum PlatformUpdate {
    /// All documents at a revision.
    Snapshot {
        /// Time at which the snapshot was requested.
        asked: Instant,
        /// Store revision of the snapshot.
        revision: u64,
        /// All documents at the revision.
        documents: Vec<WireDocument>,
    },
    /// Documents changed up to a revision; empty if the store only confirms that
    /// it is reachable.
    Changes {
        /// Time at which the store was asked to confirm its revision, if it was.
        asked: Option<Instant>,
        /// Latest store revision.
        revision: u64,
        /// Changed documents.
        documents: Vec<WireDocument>,
    },
}

impl Handler<PlatformUpdate> for ControlActor {
    type Return = ();

    async fn handle(&mut self, update: PlatformUpdate, _context: &mut Context<Self>) {
        let now = clock::now();
        let outgoing = match update {
            PlatformUpdate::Snapshot {
                asked,
                revision,
                documents,
            } => self.plane.platform_snapshot(now, asked, revision, &documents),
            PlatformUpdate::Changes {
                asked,
                revision,
                documents,
            } => {
                let outgoing = self.plane.platform_changes(now, revision, &documents);
                if let Some(asked) = asked {
                    self.plane.record_platform_contact(asked, revision);
                }
                outgoing
            }
        };
        self.send_all(outgoing);
        self.publish();
    }
}

/// Marks the node as leaving, so that it gets no new work.
pub struct Leave;

impl Handler<Leave> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _leave: Leave, _context: &mut Context<Self>) {
        self.plane.leave();
        self.publish();
    }
}

/// Tells the peers that the node has stopped.
pub struct Depart;

impl Handler<Depart> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _depart: Depart, _context: &mut Context<Self>) {
        let outgoing = self.plane.announce_departure();
        self.send_all(outgoing);
    }
}

/// Returns the standing of every node with respect to a revision. Also requests
/// the nodes' revisions from the relays; the answers count in later calls.
pub struct GetStandings {
    /// Configuration revision to report on.
    pub revision: u64,
}

impl Handler<GetStandings> for ControlActor {
    type Return = BTreeMap<String, RolloutState>;

    async fn handle(&mut self, query: GetStandings, _context: &mut Context<Self>) -> Self::Return {
        let now = clock::now();
        self.sequence += 1;
        let request = ControlMessage::RevisionsRequest {
            sequence: self.sequence,
        };
        let view = self.view.borrow().clone();
        for relay in view.relays() {
            if let Some(address) = view.address(relay.as_str()) {
                self.links.send(address, PeerMessage::Control(request.clone()));
            }
        }
        for node in self.plane.zone_revisions(now) {
            self.merge_revision(now, &node);
        }
        let reports = self
            .revisions
            .iter()
            .map(|(name, (reported_at, revision))| {
                let age_ms = u32::try_from(now.millis_since(*reported_at)).unwrap_or(u32::MAX);
                (
                    name.clone(),
                    NodeRevision {
                        age_ms,
                        ..revision.clone()
                    },
                )
            })
            .collect();
        self.plane.rollout_states(now, query.revision, &reports)
    }
}
