//! Simulated network with latencies and partitions, and the nodes on it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::{Duration, Instant as WallInstant};

use millwind_core::Instant;
use millwind_core::control::ControlPlane;
use millwind_core::membership::Outgoing;
use millwind_wire::{ControlMessage, PeerMessage, decode, encode};

/// Bytes per message for the frame length and for the TCP and IP headers of the
/// message and its acknowledgement.
const TRANSPORT_OVERHEAD_BYTES: u64 = 2 * 52 + 4;
const INTRA_ZONE_LATENCY_US: u64 = 500;
const INTRA_REGION_LATENCY_US: u64 = 1_500;
const INTER_REGION_LATENCY_US: u64 = 20_000;
/// Interval between ticks of the control plane.
pub(super) const TICK_MS: u64 = 50;

/// A control plane with traffic counters and CPU time.
pub(super) struct SimulatedNode {
    pub(super) control_plane: ControlPlane,
    pub(super) zone: String,
    pub(super) region: String,
    pub(super) alive: bool,
    pub(super) cpu_time: Duration,
    /// Messages and bytes sent, by message type.
    pub(super) sent: BTreeMap<&'static str, (u64, u64)>,
    /// Messages and bytes received.
    pub(super) received: (u64, u64),
    /// Nodes that sent a message to this node since the last counter reset.
    pub(super) connected_peers: BTreeSet<usize>,
}

struct Delivery {
    from: usize,
    to: usize,
    frame: Vec<u8>,
}

/// All nodes, messages in flight and the virtual clock.
pub(super) struct Network {
    pub(super) nodes: Vec<SimulatedNode>,
    pub(super) now: Instant,
    by_address: HashMap<String, usize>,
    queue: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    deliveries: HashMap<usize, Delivery>,
    next_delivery: usize,
    sequence: u64,
    partitioned_zones: BTreeSet<String>,
    regions_partitioned: bool,
}

impl Network {
    pub(super) fn new(nodes: Vec<SimulatedNode>, start: Instant) -> Self {
        let by_address = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.control_plane.membership().own().address.clone(), index))
            .collect();
        Network {
            nodes,
            now: start,
            by_address,
            queue: BinaryHeap::new(),
            deliveries: HashMap::new(),
            next_delivery: 0,
            sequence: 0,
            partitioned_zones: BTreeSet::new(),
            regions_partitioned: false,
        }
    }

    pub(super) fn set_zone_partitioned(&mut self, zone: &str, partitioned: bool) {
        if partitioned {
            self.partitioned_zones.insert(zone.to_owned());
        } else {
            self.partitioned_zones.remove(zone);
        }
    }

    pub(super) fn set_regions_partitioned(&mut self, partitioned: bool) {
        self.regions_partitioned = partitioned;
    }

    pub(super) fn is_partitioned_from_platform(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        // The platform is in the region of the first node.
        self.partitioned_zones.contains(&node.zone)
            || self.regions_partitioned && node.region != self.nodes[0].region
    }

    pub(super) fn latency(&self, from: usize, to: usize) -> Option<u64> {
        let (left, right) = (&self.nodes[from], &self.nodes[to]);
        if left.zone == right.zone {
            return Some(INTRA_ZONE_LATENCY_US);
        }
        if self.partitioned_zones.contains(&left.zone) || self.partitioned_zones.contains(&right.zone) {
            return None;
        }
        if left.region == right.region {
            return Some(INTRA_REGION_LATENCY_US);
        }
        (!self.regions_partitioned).then_some(INTER_REGION_LATENCY_US)
    }

    /// Runs `operation` on the control plane of a node, adds the elapsed time to
    /// the CPU time of the node, and sends the returned messages.
    pub(super) fn run_on_node(
        &mut self,
        index: usize,
        operation: impl FnOnce(&mut ControlPlane, Instant) -> Vec<Outgoing>,
    ) {
        let now = self.now;
        let started = WallInstant::now();
        let outgoing = operation(&mut self.nodes[index].control_plane, now);
        let frames: Vec<(usize, &'static str, Vec<u8>)> = outgoing
            .into_iter()
            .filter_map(|message| {
                let to = *self.by_address.get(&message.address)?;
                let message_type = message_type_name(&message.message);
                let frame = encode(&PeerMessage::Control(message.message)).ok()?;
                Some((to, message_type, frame))
            })
            .collect();
        self.nodes[index].cpu_time += started.elapsed();
        for (to, message_type, frame) in frames {
            self.send(index, to, message_type, frame);
        }
    }

    fn send(&mut self, from: usize, to: usize, message_type: &'static str, frame: Vec<u8>) {
        let bytes = frame.len() as u64 + TRANSPORT_OVERHEAD_BYTES;
        let counter = self.nodes[from].sent.entry(message_type).or_default();
        counter.0 += 1;
        counter.1 += bytes;
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

    /// Delivers all messages due by `until` and advances the clock to `until`.
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
        node.connected_peers.insert(delivery.from);
        node.received.0 += 1;
        node.received.1 += delivery.frame.len() as u64 + TRANSPORT_OVERHEAD_BYTES;
        let from = self.nodes[delivery.from]
            .control_plane
            .membership()
            .own()
            .node
            .clone();
        self.run_on_node(delivery.to, |control_plane, now| match decode(&delivery.frame) {
            Ok(PeerMessage::Control(message)) => control_plane.receive(now, &from, &message),
            _ => Vec::new(),
        });
    }

    /// Ticks the control plane of every live node.
    pub(super) fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].alive {
                self.run_on_node(index, |control_plane, now| {
                    let outgoing = control_plane.tick(now);
                    // The control actor of a real node also evaluates these on every tick.
                    std::hint::black_box(control_plane.reachable_zones(now));
                    std::hint::black_box(control_plane.may_serve(now).is_ok());
                    outgoing
                });
            }
        }
    }

    /// Resets the counters of all nodes.
    pub(super) fn reset_counters(&mut self) {
        for node in &mut self.nodes {
            node.cpu_time = Duration::ZERO;
            node.sent.clear();
            node.received = (0, 0);
            node.connected_peers.clear();
        }
    }
}

fn message_type_name(message: &ControlMessage) -> &'static str {
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
