//! The control actor: drives the core's control plane and publishes what the
//! request path needs of it.

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

const TICK: Duration = Duration::from_millis(50);

/// What follows from the member table; made anew only when it changes.
#[derive(Debug, Default)]
struct MembersView {
    records: Vec<MemberRecord>,
    addresses: HashMap<String, SocketAddr>,
    relays: Vec<NodeName>,
    is_relay: bool,
    owners: OwnerTable,
    owner_cache: Mutex<HashMap<InstanceName, Option<NodeName>>>,
}

impl MembersView {
    fn new(plane: &ControlPlane) -> Self {
        let membership = plane.membership();
        let records: Vec<MemberRecord> = membership.records().cloned().collect();
        let addresses = records
            .iter()
            .filter_map(|record| Some((record.node.clone(), record.address.parse().ok()?)))
            .collect();
        let zones = membership.zones();
        MembersView {
            addresses,
            relays: zones.keys().flat_map(|zone| membership.relays(zone)).collect(),
            is_relay: membership.is_relay(),
            owners: plane.owner_table(clock::now()),
            owner_cache: Mutex::new(HashMap::new()),
            records,
        }
    }
}

/// What the request path reads of the control plane.
#[derive(Debug, Clone)]
pub struct ControlView {
    own_name: Arc<str>,
    members: Arc<MembersView>,
    gate: ServingGate,
    config: Arc<ConfigState>,
}

impl ControlView {
    /// Whether requests may be served now.
    pub fn may_serve(&self, now: Instant) -> Result<(), NotServing> {
        self.gate.may_serve(now, self.config.revision() > 0)
    }

    /// The node's own name.
    pub fn own_name(&self) -> &str {
        &self.own_name
    }

    /// The node that owns `instance`.
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

    /// The node that owns `instance` when these could not be reached.
    pub fn owner_excluding(
        &self,
        instance: &InstanceName,
        zone: &ZoneName,
        region: &RegionName,
        avoided: &BTreeSet<NodeName>,
    ) -> Option<NodeName> {
        if avoided.is_empty() {
            return self.owner(instance, zone, region);
        }
        self.members
            .owners
            .owner_excluding(instance, zone, region, avoided)
            .cloned()
    }

    /// Peer address of a member.
    pub fn address(&self, node: &str) -> Option<SocketAddr> {
        self.members.addresses.get(node).copied()
    }

    /// Records of all members.
    pub fn members(&self) -> &[MemberRecord] {
        &self.members.records
    }

    /// What the zones last reported.
    pub fn zone_reports(&self) -> Vec<ZoneReport> {
        self.gate.reports(clock::now())
    }

    /// The relays of every zone.
    pub fn relays(&self) -> &[NodeName] {
        &self.members.relays
    }

    /// Whether this node is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        self.members.is_relay
    }

    /// The documents in force.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Age of the newest contact with the platform, in milliseconds.
    pub fn platform_age_ms(&self) -> u32 {
        self.gate.platform_age_ms(clock::now())
    }
}

/// Receivers of what the control actor publishes.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    /// The actor.
    pub actor: Address<ControlActor>,
    /// The control plane as last published.
    pub view: watch::Receiver<Arc<ControlView>>,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<ResolvedConfig>>,
}

impl ControlHandle {
    /// The control plane as last published.
    pub fn view(&self) -> Arc<ControlView> {
        self.view.borrow().clone()
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<ResolvedConfig> {
        self.config.borrow().clone()
    }
}

/// Drives the control plane.
#[derive(xtra::Actor)]
pub struct ControlActor {
    plane: ControlPlane,
    links: Arc<PeerLinks>,
    view: watch::Sender<Arc<ControlView>>,
    config: watch::Sender<Arc<ResolvedConfig>>,
    revisions: BTreeMap<String, (Instant, NodeRevision)>,
    sequence: u64,
    serving: Option<Result<(), NotServing>>,
    reachable_zones: BTreeSet<String>,
}

/// Starts the control actor and its timer.
pub fn start(plane: ControlPlane, links: Arc<PeerLinks>) -> ControlHandle {
    let first = ControlView {
        own_name: Arc::from(plane.membership().own().node.as_str()),
        members: Arc::new(MembersView::new(&plane)),
        gate: plane.gate().clone(),
        config: Arc::new(plane.config().clone()),
    };
    let (view_sender, view) = watch::channel(Arc::new(first));
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
    let ticker = address.clone();
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if ticker.send(Tick).await.is_err() {
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
            view.members = Arc::new(MembersView::new(&self.plane));
        }
        view.gate = self.plane.gate().clone();
        self.view.send_replace(Arc::new(view));
        self.log_serving(now);
    }

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

/// Lets time pass.
struct Tick;

impl Handler<Tick> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self>) {
        let outgoing = self.plane.tick(clock::now());
        self.send_all(outgoing);
        self.publish();
    }
}

/// A control message of a peer.
pub struct FromPeer {
    /// The peer.
    pub peer: Arc<str>,
    /// What it said.
    pub message: ControlMessage,
}

impl Handler<FromPeer> for ControlActor {
    type Return = ();

    async fn handle(&mut self, from: FromPeer, _context: &mut Context<Self>) {
        let now = clock::now();
        if let ControlMessage::Revisions { nodes, .. } = &from.message {
            for node in nodes {
                self.merge_revision(now, node);
            }
            return;
        }
        let outgoing = self.plane.receive(now, &from.peer, &from.message);
        self.send_all(outgoing);
        self.publish();
    }
}

impl ControlActor {
    fn merge_revision(&mut self, now: Instant, node: &NodeRevision) {
        let made = Instant(now.0.saturating_sub(u64::from(node.age_ms) * 1_000));
        let entry = self
            .revisions
            .entry(node.node.clone())
            .or_insert((made, node.clone()));
        entry.1.revision = entry.1.revision.max(node.revision);
        entry.0 = entry.0.max(made);
    }
}

/// News from the platform's store.
pub enum FromPlatform {
    /// The whole content at a revision.
    Snapshot {
        /// When it was asked for.
        asked: Instant,
        /// The revision.
        revision: u64,
        /// The content.
        documents: Vec<WireDocument>,
    },
    /// Changes up to a revision; none for a sign of life.
    Changes {
        /// When a sign of life was asked for.
        asked: Option<Instant>,
        /// The revision.
        revision: u64,
        /// The changes.
        documents: Vec<WireDocument>,
    },
}

impl Handler<FromPlatform> for ControlActor {
    type Return = ();

    async fn handle(&mut self, news: FromPlatform, _context: &mut Context<Self>) {
        let now = clock::now();
        let outgoing = match news {
            FromPlatform::Snapshot {
                asked,
                revision,
                documents,
            } => self.plane.platform_snapshot(now, asked, revision, &documents),
            FromPlatform::Changes {
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

/// Marks the node as leaving.
pub struct Leave;

impl Handler<Leave> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _leave: Leave, _context: &mut Context<Self>) {
        self.plane.leave();
        self.publish();
    }
}

/// Says goodbye: the node has stopped serving.
pub struct Depart;

impl Handler<Depart> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _depart: Depart, _context: &mut Context<Self>) {
        let outgoing = self.plane.announce_departure();
        self.send_all(outgoing);
    }
}

/// Where every node stands with respect to a revision; also asks the relays
/// again, so that the next call knows more.
pub struct AskStandings {
    /// The revision.
    pub revision: u64,
}

impl Handler<AskStandings> for ControlActor {
    type Return = BTreeMap<String, RolloutState>;

    async fn handle(&mut self, ask: AskStandings, _context: &mut Context<Self>) -> Self::Return {
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
            .map(|(name, (made, revision))| {
                let age_ms = u32::try_from(now.millis_since(*made)).unwrap_or(u32::MAX);
                (
                    name.clone(),
                    NodeRevision {
                        age_ms,
                        ..revision.clone()
                    },
                )
            })
            .collect();
        self.plane.rollout_states(now, ask.revision, &reports)
    }
}
