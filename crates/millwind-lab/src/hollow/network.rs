//! In-memory links with latencies and cuts, and the nodes they connect.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::{Duration, Instant as WallInstant};

use millwind_core::Instant;
use millwind_core::control::ControlPlane;
use millwind_core::membership::Outgoing;
use millwind_wire::{ControlMessage, PeerMessage, decode, encode};

/// Bytes of TCP and IP headers, acknowledgement included, and of the frame's
/// length, per message.
const TRANSPORT_BYTES: u64 = 2 * 52 + 4;
const ZONE_LATENCY_US: u64 = 500;
const REGION_LATENCY_US: u64 = 1_500;
const FAR_LATENCY_US: u64 = 20_000;
/// A node's control actor lets time pass this often.
pub(super) const TICK_MS: u64 = 50;

/// One node with its own accounts.
pub(super) struct HollowNode {
    pub(super) plane: ControlPlane,
    pub(super) zone: String,
    pub(super) region: String,
    pub(super) alive: bool,
    pub(super) busy: Duration,
    pub(super) sent: BTreeMap<&'static str, (u64, u64)>,
    pub(super) received: (u64, u64),
    /// Nodes whose link to this one was opened since the accounts were reset.
    pub(super) links_opened_by: BTreeSet<usize>,
}

struct Delivery {
    from: usize,
    to: usize,
    frame: Vec<u8>,
}

/// All nodes, links and the clock.
pub(super) struct Network {
    pub(super) nodes: Vec<HollowNode>,
    pub(super) now: Instant,
    by_address: HashMap<String, usize>,
    queue: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    deliveries: HashMap<usize, Delivery>,
    next_delivery: usize,
    sequence: u64,
    cut_zones: BTreeSet<String>,
    cut_regions: bool,
}

impl Network {
    pub(super) fn new(nodes: Vec<HollowNode>, start: Instant) -> Self {
        let by_address = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.plane.membership().own().address.clone(), index))
            .collect();
        Network {
            nodes,
            now: start,
            by_address,
            queue: BinaryHeap::new(),
            deliveries: HashMap::new(),
            next_delivery: 0,
            sequence: 0,
            cut_zones: BTreeSet::new(),
            cut_regions: false,
        }
    }

    pub(super) fn cut_zone(&mut self, zone: &str, cut: bool) {
        if cut {
            self.cut_zones.insert(zone.to_owned());
        } else {
            self.cut_zones.remove(zone);
        }
    }

    pub(super) fn cut_regions(&mut self, cut: bool) {
        self.cut_regions = cut;
    }

    pub(super) fn is_cut_from_platform(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        // The platform is reached from the first region.
        self.cut_zones.contains(&node.zone) || self.cut_regions && node.region != self.nodes[0].region
    }

    pub(super) fn latency(&self, from: usize, to: usize) -> Option<u64> {
        let (left, right) = (&self.nodes[from], &self.nodes[to]);
        if left.zone == right.zone {
            return Some(ZONE_LATENCY_US);
        }
        if self.cut_zones.contains(&left.zone) || self.cut_zones.contains(&right.zone) {
            return None;
        }
        if left.region == right.region {
            return Some(REGION_LATENCY_US);
        }
        (!self.cut_regions).then_some(FAR_LATENCY_US)
    }

    /// Runs `work` on a node, on its account, and sends what it says.
    pub(super) fn on_node(
        &mut self,
        index: usize,
        work: impl FnOnce(&mut ControlPlane, Instant) -> Vec<Outgoing>,
    ) {
        let now = self.now;
        let started = WallInstant::now();
        let outgoing = work(&mut self.nodes[index].plane, now);
        let frames: Vec<(usize, &'static str, Vec<u8>)> = outgoing
            .into_iter()
            .filter_map(|message| {
                let to = *self.by_address.get(&message.address)?;
                let kind = kind_of(&message.message);
                let frame = encode(&PeerMessage::Control(message.message)).ok()?;
                Some((to, kind, frame))
            })
            .collect();
        self.nodes[index].busy += started.elapsed();
        for (to, kind, frame) in frames {
            self.post(index, to, kind, frame);
        }
    }

    fn post(&mut self, from: usize, to: usize, kind: &'static str, frame: Vec<u8>) {
        let bytes = frame.len() as u64 + TRANSPORT_BYTES;
        let account = self.nodes[from].sent.entry(kind).or_default();
        account.0 += 1;
        account.1 += bytes;
        let Some(latency) = self.latency(from, to) else {
            return;
        };
        self.sequence += 1;
        self.next_delivery += 1;
        let due = Instant(self.now.0 + latency);
        self.deliveries
            .insert(self.next_delivery, Delivery { from, to, frame });
        self.queue.push(Reverse((due, self.sequence, self.next_delivery)));
    }

    /// Delivers everything due by `until`, and moves the clock there.
    pub(super) fn run_until(&mut self, until: Instant) {
        while let Some(Reverse((due, _, _))) = self.queue.peek() {
            if *due > until {
                break;
            }
            let Some(Reverse((due, _, id))) = self.queue.pop() else {
                break;
            };
            self.now = due;
            if let Some(delivery) = self.deliveries.remove(&id) {
                self.deliver(delivery);
            }
        }
        self.now = until;
    }

    fn deliver(&mut self, delivery: Delivery) {
        let node = &mut self.nodes[delivery.to];
        if !node.alive {
            return;
        }
        node.links_opened_by.insert(delivery.from);
        node.received.0 += 1;
        node.received.1 += delivery.frame.len() as u64 + TRANSPORT_BYTES;
        let from = self.nodes[delivery.from].plane.membership().own().node.clone();
        self.on_node(delivery.to, |plane, now| match decode(&delivery.frame) {
            Ok(PeerMessage::Control(message)) => plane.receive(now, &from, &message),
            _ => Vec::new(),
        });
    }

    /// One tick of every live node.
    pub(super) fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].alive {
                self.on_node(index, |plane, now| {
                    let outgoing = plane.tick(now);
                    // What the daemon's actor also does on every tick.
                    std::hint::black_box(plane.reachable_zones(now));
                    std::hint::black_box(plane.may_serve(now).is_ok());
                    outgoing
                });
            }
        }
    }

    /// Starts all accounts anew.
    pub(super) fn reset_accounts(&mut self) {
        for node in &mut self.nodes {
            node.busy = Duration::ZERO;
            node.sent.clear();
            node.received = (0, 0);
            node.links_opened_by.clear();
        }
    }
}

fn kind_of(message: &ControlMessage) -> &'static str {
    match message {
        ControlMessage::Ping { .. } => "ping",
        ControlMessage::Acknowledge { .. } => "acknowledge",
        ControlMessage::PingRequest { .. } => "ping_request",
        ControlMessage::Join { .. } => "join",
        ControlMessage::Table { .. } => "table",
        ControlMessage::ConfigDigest { .. } => "config_digest",
        ControlMessage::ConfigReport { .. } => "config_report",
        ControlMessage::ConfigDelta { .. } => "config_delta",
        ControlMessage::Applied { .. } => "applied",
        ControlMessage::RevisionsRequest { .. } => "revisions_request",
        ControlMessage::Revisions { .. } => "revisions",
        ControlMessage::ConfigPull { .. } => "config_pull",
    }
}
