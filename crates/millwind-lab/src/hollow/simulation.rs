//! Events of the simulation and their measurements.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant as WallInstant;

use millwind_core::Instant;
use millwind_core::control::ControlPlane;
use millwind_core::membership::MembershipTimes;
use millwind_wire::control::{Liveness, MemberRecord, WireDocument};
use millwind_wire::{
    AwaitPrimary, ControlMessage, GroupStatus, MemberStatus, PeerMessage, WirePosition, decode, encode,
};

use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::response::{CommandComplete, ReadyForQuery, TransactionStatus};

use super::SimulationSize;
use super::network::{Network, SimulatedNode, TICK_MS};
use super::report::{SimulationReport, role_load};
use crate::process_memory::resident_bytes;

const START: Instant = Instant::from_millis(1_000_000);
const INSTANCES_PER_GROUP: usize = 3;
/// Interval of the keep-alive calls from relays to the platform.
const PLATFORM_POLL_INTERVAL_MS: u64 = 1_000;
/// Delay from a change in the store until its relays are notified.
const WATCH_LATENCY_MS: u64 = 5;
const SETTLE_MS: u64 = 10_000;
const CHANGE_COUNT: u64 = 10;
const WAIT_TIMEOUT_MS: u64 = 60_000;
/// Duration of partitions and outages, longer than the freshness bound and its margin.
const PARTITION_MS: u64 = 12_000;
/// Status probes per second of an idle owner to the primary, to an owned replica,
/// and to any other instance of the group.
const PRIMARY_PROBE_RATE: f64 = 5.0;
const OWNED_PROBE_RATE: f64 = 2.0;
const OTHER_PROBE_RATE: f64 = 1.0;
/// Pause of a new owner between two connections to an instance. Opening each
/// connection takes [`CONNECT_MS`].
const PREOPEN_PAUSE_MS: f64 = 5.0;
const CONNECT_MS: f64 = 10.0;
/// TCP and IP headers of a probe, its response and an acknowledgement.
const PROBE_TRANSPORT_BYTES: usize = 3 * 52;
/// Interval of status probes to the instances of a group without a primary.
const PRIMARY_SEARCH_INTERVAL_MS: f64 = 10.0;

struct Simulation {
    size: SimulationSize,
    network: Network,
    revision: u64,
    documents: BTreeMap<String, WireDocument>,
    platform_up: bool,
    next_platform_poll: Instant,
}

/// Simulates all events and returns the measurements.
pub(super) fn run(size: SimulationSize) -> SimulationReport {
    let started = WallInstant::now();
    let before = resident_bytes("self");
    let mut simulation = Simulation::new(size);
    let mut report = SimulationReport {
        size: Some(size),
        ..SimulationReport::default()
    };
    simulation.advance(SETTLE_MS);
    report.memory_bytes_per_node = resident_bytes("self").saturating_sub(before) / size.nodes as u64;
    simulation.measure_steady_state(&mut report);
    simulation.measure_ownership(&mut report);
    simulation.measure_primary_change(&mut report);
    simulation.measure_changes(&mut report);
    simulation.measure_failure_and_restart(&mut report);
    simulation.measure_relay_loss(&mut report);
    simulation.measure_zone_partition(&mut report);
    simulation.measure_region_partition(&mut report);
    simulation.measure_platform_outage(&mut report);
    report.wall_seconds = started.elapsed().as_secs_f64();
    report
}

fn member_record(size: &SimulationSize, index: usize, incarnation: u64) -> MemberRecord {
    let zone = index % size.zones;
    let region = zone * size.regions / size.zones;
    MemberRecord {
        node: format!("node-{index:04}"),
        address: format!("127.{}.{}.{}:7432", zone + 1, index / 250, index % 250),
        zone: format!("zone-{zone}"),
        region: format!("region-{region}"),
        incarnation,
        liveness: Liveness::Alive,
        leaving: 0,
    }
}

fn new_node(size: &SimulationSize, index: usize, incarnation: u64) -> SimulatedNode {
    let own = member_record(size, index, incarnation);
    let seeds = (0..3).map(|seed| member_record(size, seed, 1).address).collect();
    SimulatedNode {
        zone: own.zone.clone(),
        region: own.region.clone(),
        control_plane: ControlPlane::new(own, seeds, MembershipTimes::default(), size.seed + index as u64),
        alive: true,
        cpu_time: std::time::Duration::ZERO,
        sent: BTreeMap::new(),
        received: (0, 0),
        connected_peers: BTreeSet::new(),
    }
}

fn wire_document(key: String, revision: u64, body: String) -> WireDocument {
    WireDocument {
        key,
        revision,
        deleted: 0,
        change_id: format!("change-{revision}"),
        body,
    }
}

fn group_body(size: &SimulationSize, group: usize) -> String {
    let mut body = format!("name = \"group-{group}\"\nuser = \"millwind\"\ndatabase = \"group-{group}\"\n");
    for member in 0..INSTANCES_PER_GROUP {
        let zone = (group + member) % size.zones;
        let region = zone * size.regions / size.zones;
        body.push_str(&format!(
            "[[instances]]\nname = \"group-{group}-{member}\"\naddress = \"127.0.0.1:5432\"\nzone = \"zone-{zone}\"\nregion = \"region-{region}\"\nslots = 10\nconnections = 100\n"
        ));
    }
    body
}

impl Simulation {
    fn new(size: SimulationSize) -> Self {
        let nodes = (0..size.nodes).map(|index| new_node(&size, index, 1)).collect();
        let mut simulation = Simulation {
            size,
            network: Network::new(nodes, START),
            revision: 0,
            documents: BTreeMap::new(),
            platform_up: true,
            next_platform_poll: START,
        };
        simulation.fill_store();
        simulation.initialize_nodes();
        simulation
    }

    fn groups(&self) -> usize {
        self.size.databases.div_ceil(INSTANCES_PER_GROUP)
    }

    fn fill_store(&mut self) {
        for group in 0..self.groups() {
            self.revision += 1;
            let key = format!("group/group-{group}");
            let body = group_body(&self.size, group);
            self.documents
                .insert(key.clone(), wire_document(key, self.revision, body));
            self.revision += 1;
            let key = format!("tenant/tenant-{group}");
            let body = format!("name = \"tenant-{group}\"\ntemplate = \"t\"\ngroup = \"group-{group}\"\n");
            self.documents
                .insert(key.clone(), wire_document(key, self.revision, body));
        }
    }

    /// Gives every node the complete membership table and configuration.
    fn initialize_nodes(&mut self) {
        let members: Vec<MemberRecord> = (0..self.size.nodes)
            .map(|index| member_record(&self.size, index, 1))
            .collect();
        let table = ControlMessage::Table { members };
        let documents: Vec<WireDocument> = self.documents.values().cloned().collect();
        let revision = self.revision;
        for index in 0..self.size.nodes {
            let from = member_record(&self.size, 0, 1).node;
            self.network.run_on_node(index, |control_plane, now| {
                control_plane.receive(now, &from, &table)
            });
            self.network.run_on_node(index, |control_plane, now| {
                control_plane.platform_snapshot(now, now, revision, &documents);
                Vec::new()
            });
        }
    }

    /// Advances virtual time, with ticks and keep-alive calls.
    fn advance(&mut self, milliseconds: u64) {
        let end = self.network.now.plus_millis(milliseconds);
        while self.network.now < end {
            self.network.tick();
            self.poll_platform();
            let next = self.network.now.plus_millis(TICK_MS);
            self.network.run_until(next);
        }
    }

    fn relays(&self) -> Vec<usize> {
        let by_name: HashMap<&str, usize> = self
            .network
            .nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.control_plane.membership().own().node.as_str(), index))
            .collect();
        (0..self.size.zones)
            .filter_map(|zone| {
                self.network
                    .nodes
                    .iter()
                    .find(|node| node.alive && node.zone == format!("zone-{zone}"))
            })
            .flat_map(|node| node.control_plane.membership().relays(&node.zone))
            .filter_map(|relay| by_name.get(relay.as_str()).copied())
            .collect()
    }

    fn poll_platform(&mut self) {
        if self.network.now < self.next_platform_poll || !self.platform_up {
            return;
        }
        self.next_platform_poll = self.network.now.plus_millis(PLATFORM_POLL_INTERVAL_MS);
        for relay in self.relays() {
            self.update_relay(relay);
        }
    }

    /// Sends a relay all changes it lacks and a keep-alive, if the relay can reach
    /// the platform.
    fn update_relay(&mut self, relay: usize) {
        if !self.network.nodes[relay].alive || self.network.is_partitioned_from_platform(relay) {
            return;
        }
        let revision = self.revision;
        let relay_revision = self.network.nodes[relay].control_plane.config().revision();
        let changes: Vec<WireDocument> = self
            .documents
            .values()
            .filter(|document| document.revision > relay_revision)
            .cloned()
            .collect();
        self.network.run_on_node(relay, |control_plane, now| {
            let outgoing = control_plane.platform_changes(now, revision, &changes);
            control_plane.record_platform_contact(now, revision);
            outgoing
        });
    }

    fn measure_steady_state(&mut self, report: &mut SimulationReport) {
        self.network.reset_counters();
        self.advance(self.size.seconds * 1_000);
        let seconds = self.size.seconds as f64;
        let relays = self.relays();
        let indexed = || self.network.nodes.iter().enumerate();
        let relay_nodes = indexed()
            .filter(|(index, _)| relays.contains(index))
            .map(|(_, node)| node);
        report.steady.insert("relay", role_load(relay_nodes, seconds));
        let members = indexed()
            .filter(|(index, _)| !relays.contains(index))
            .map(|(_, node)| node);
        report.steady.insert("member", role_load(members, seconds));
        report.platform_watches = relays.len();
        report.platform_calls_per_second = relays.len() as f64 * 1_000.0 / PLATFORM_POLL_INTERVAL_MS as f64;
    }

    /// Computes the owned instances and the probe load from the owner table of a node.
    fn measure_ownership(&mut self, report: &mut SimulationReport) {
        let table = self.network.nodes[0].control_plane.owner_table(self.network.now);
        let mut owned: HashMap<String, usize> = HashMap::new();
        let mut probes: HashMap<String, f64> = HashMap::new();
        let mut max_rate_at_instance = 0.0f64;
        for group in 0..self.groups() {
            let mut probe_rates = [0.0; INSTANCES_PER_GROUP];
            let mut monitors: BTreeMap<String, Vec<usize>> = BTreeMap::new();
            for instance in 0..INSTANCES_PER_GROUP {
                let zone = (group + instance) % self.size.zones;
                let region = zone * self.size.regions / self.size.zones;
                let name = format!("group-{group}-{instance}");
                let owner = table.owner(
                    &name.as_str().into(),
                    &format!("zone-{zone}").as_str().into(),
                    &format!("region-{region}").as_str().into(),
                );
                if let Some(owner) = owner {
                    *owned.entry(owner.0.clone()).or_default() += 1;
                    monitors.entry(owner.0.clone()).or_default().push(instance);
                }
            }
            // The first instance of a group is its primary.
            for (node, instances) in monitors {
                for (target, rate_at_target) in probe_rates.iter_mut().enumerate() {
                    let rate = match target {
                        0 => PRIMARY_PROBE_RATE,
                        target if instances.contains(&target) => OWNED_PROBE_RATE,
                        _ => OTHER_PROBE_RATE,
                    };
                    *rate_at_target += rate;
                    *probes.entry(node.clone()).or_default() += rate;
                }
            }
            max_rate_at_instance = probe_rates
                .iter()
                .fold(max_rate_at_instance, |highest, rate| highest.max(*rate));
        }
        let nodes = self.size.nodes as f64;
        let total: f64 = probes.values().sum();
        let highest = probes.values().fold(0.0f64, |highest, rate| highest.max(*rate));
        report.instances_owned = (
            owned.values().sum::<usize>() as f64 / nodes,
            owned.values().copied().max().unwrap_or(0),
        );
        report.probes_at_instance_per_second = max_rate_at_instance;
        report.probes_by_node_per_second = (total / nodes, highest);
        let bytes = probe_exchange_bytes() as f64;
        report.pool_connections_per_second = 1_000.0 / (PREOPEN_PAUSE_MS + CONNECT_MS);
        report.probe_bytes_per_second = (total / nodes * bytes, highest * bytes);
    }

    /// Computes the cost of announcing a new primary to all gateways, which wait for
    /// the primary at its owners and are answered one after another.
    fn measure_primary_change(&mut self, report: &mut SimulationReport) {
        let status = GroupStatus {
            request_id: 0,
            term: 2,
            members: (0..INSTANCES_PER_GROUP)
                .map(|instance| MemberStatus {
                    instance: format!("group-0-{instance}"),
                    primary: u8::from(instance == 1),
                    position: WirePosition {
                        term: 2,
                        log_position: 1 << 40,
                    },
                    age_ms: 10,
                })
                .collect(),
            history: Vec::new(),
        };
        let (bytes, processing_us) = self.exchange_group_status(&status);
        report.primary_known_owner_bytes = bytes;
        report.primary_known_ms = self.last_notification_us(processing_us) / 1_000.0;
    }

    /// Encodes and decodes the request of every gateway and its response. Returns the
    /// bytes of all responses and the mean processing time per gateway, in
    /// microseconds.
    fn exchange_group_status(&self, status: &GroupStatus) -> (u64, f64) {
        let started = WallInstant::now();
        let mut bytes = 0;
        for gateway in 0..self.size.nodes as u64 {
            let request = PeerMessage::AwaitPrimary(AwaitPrimary {
                request_id: gateway,
                group: "group-0".to_owned(),
                above_term: 0,
                wait_ms: 1_000,
            });
            let request_frame = encode(&request).unwrap_or_default();
            let _ = decode(&request_frame);
            let response = PeerMessage::GroupStatus(GroupStatus {
                request_id: gateway,
                ..status.clone()
            });
            let response_frame = encode(&response).unwrap_or_default();
            bytes += response_frame.len() as u64;
            let _ = decode(&response_frame);
        }
        (
            bytes,
            started.elapsed().as_secs_f64() * 1e6 / self.size.nodes as f64,
        )
    }

    /// Returns the time from the new primary accepting writes until the last gateway
    /// has a response, in microseconds. Each owner probes at its own phase and then
    /// responds to the gateways one after another; a gateway uses the first response.
    fn last_notification_us(&self, processing_us: f64) -> f64 {
        let owners: Vec<(f64, usize)> = (0..INSTANCES_PER_GROUP)
            .filter_map(|instance| {
                let zone = format!("zone-{}", instance % self.size.zones);
                let owner = self.network.nodes.iter().position(|node| node.zone == zone)?;
                let phase = (instance as f64 + 1.0) / INSTANCES_PER_GROUP as f64;
                Some((phase * PRIMARY_SEARCH_INTERVAL_MS * 1_000.0, owner))
            })
            .collect();
        let node_near_new_primary = owners.get(1).map_or(0, |(_, owner)| *owner);
        let mut last = 0.0f64;
        for gateway in 0..self.size.nodes {
            let first_response_us = owners
                .iter()
                .filter_map(|(phase, owner)| {
                    // Round trip of the probe, then the response to the gateway.
                    let probe_us = 2 * self.network.latency(*owner, node_near_new_primary)?;
                    let response_us = self.network.latency(*owner, gateway)?;
                    Some(phase + probe_us as f64 + gateway as f64 * processing_us + response_us as f64)
                })
                .fold(f64::INFINITY, f64::min);
            last = last.max(first_response_us);
        }
        last
    }

    /// Returns the virtual time in milliseconds until `done` holds, or [`WAIT_TIMEOUT_MS`]
    /// if it does not hold by then.
    fn measure_time_until(&mut self, mut done: impl FnMut(&Network) -> bool) -> u64 {
        let start = self.network.now;
        while self.network.now.millis_since(start) < WAIT_TIMEOUT_MS {
            if done(&self.network) {
                return self.network.now.millis_since(start);
            }
            self.network.tick();
            self.poll_platform();
            // Steps of one millisecond avoid rounding the result up to a tick.
            for _ in 0..TICK_MS {
                let next = self.network.now.plus_millis(1);
                self.network.run_until(next);
                if done(&self.network) {
                    return self.network.now.millis_since(start);
                }
            }
        }
        WAIT_TIMEOUT_MS
    }

    fn apply_change(&mut self) -> u64 {
        self.revision += 1;
        let key = "tenant/tenant-0".to_owned();
        let body = format!(
            "name = \"tenant-0\"\ntemplate = \"t\"\ngroup = \"group-0\"\n# {}\n",
            self.revision
        );
        self.documents
            .insert(key.clone(), wire_document(key, self.revision, body));
        let observed_at = self.network.now.plus_millis(WATCH_LATENCY_MS);
        self.network.run_until(observed_at);
        for relay in self.relays() {
            self.update_relay(relay);
        }
        let revision = self.revision;
        let elapsed_ms = self.measure_time_until(|network| {
            network
                .nodes
                .iter()
                .filter(|node| node.alive)
                .all(|node| node.control_plane.config().revision() >= revision)
        });
        elapsed_ms + WATCH_LATENCY_MS
    }

    fn measure_changes(&mut self, report: &mut SimulationReport) {
        let message_types = ["config_delta", "applied", "config_pull"];
        self.network.reset_counters();
        for _ in 0..CHANGE_COUNT {
            let elapsed_ms = self.apply_change();
            report.change_in_force_ms.push(elapsed_ms);
            self.advance(1_000);
        }
        report.change_in_force_ms.sort_unstable();
        let costs: Vec<f64> = self
            .network
            .nodes
            .iter()
            .map(|node| {
                let sent: u64 = message_types
                    .iter()
                    .filter_map(|message_type| node.sent.get(message_type))
                    .map(|(_, bytes)| bytes)
                    .sum();
                sent as f64 / CHANGE_COUNT as f64
            })
            .collect();
        // Every sent byte is also received, so the mean of both is twice the sent mean.
        report.change_bytes_mean = 2.0 * costs.iter().sum::<f64>() / costs.len() as f64;
        report.change_bytes_highest = costs.iter().fold(0.0, |highest, cost| highest.max(*cost));
    }

    fn measure_failure_and_restart(&mut self, report: &mut SimulationReport) {
        let relays = self.relays();
        let victim = (0..self.size.nodes)
            .rev()
            .find(|index| !relays.contains(index))
            .unwrap_or(0);
        let name = self.network.nodes[victim]
            .control_plane
            .membership()
            .own()
            .node
            .clone();
        self.network.nodes[victim].alive = false;
        report.death_known_ms = self.measure_time_until(|network| {
            network.nodes.iter().filter(|node| node.alive).all(|node| {
                node.control_plane
                    .membership()
                    .record(&name)
                    .is_none_or(|record| record.liveness == Liveness::Dead)
            })
        });
        self.advance(2_000);
        self.network.reset_counters();
        self.network.nodes[victim] = new_node(&self.size, victim, 2);
        self.advance(1_000);
        let opened = self.network.nodes.iter().map(|node| node.connected_peers.len());
        report.links_opened_in_first_second = opened.max().unwrap_or(0);
        self.network.reset_counters();
        self.network.nodes[victim] = new_node(&self.size, victim, 3);
        report.restart_serving_ms = self
            .measure_time_until(|network| network.nodes[victim].control_plane.may_serve(network.now).is_ok());
        self.advance(5_000);
        report.restart_bytes = self.sent_bytes_of_types(&["join", "table", "config_pull", "config_delta"]);
    }

    /// Returns the bytes that all nodes have sent in messages of these types.
    fn sent_bytes_of_types(&self, message_types: &[&str]) -> f64 {
        let sent = |node: &SimulatedNode| -> u64 {
            let of_types = message_types
                .iter()
                .filter_map(|message_type| node.sent.get(message_type));
            of_types.map(|(_, bytes)| *bytes).sum()
        };
        self.network.nodes.iter().map(sent).sum::<u64>() as f64
    }

    fn measure_relay_loss(&mut self, report: &mut SimulationReport) {
        let lost: Vec<usize> = self
            .relays()
            .into_iter()
            .filter(|relay| self.network.nodes[*relay].zone == "zone-0")
            .collect();
        for relay in &lost {
            self.network.nodes[*relay].alive = false;
        }
        report.change_relays_lost_ms = self.apply_change();
        for relay in lost {
            self.network.nodes[relay] = new_node(&self.size, relay, 4);
        }
        self.advance(SETTLE_MS);
    }

    fn count_serving(&self, chosen: impl Fn(&SimulatedNode) -> bool) -> (usize, usize) {
        let chosen: Vec<&SimulatedNode> = self
            .network
            .nodes
            .iter()
            .filter(|node| node.alive && chosen(node))
            .collect();
        let now = self.network.now;
        let serving = chosen
            .iter()
            .filter(|node| node.control_plane.may_serve(now).is_ok())
            .count();
        (serving, chosen.len())
    }

    fn measure_zone_partition(&mut self, report: &mut SimulationReport) {
        let zone = "zone-0".to_owned();
        let before = self.max_declared_dead();
        self.network.set_zone_partitioned(&zone, true);
        self.advance(PARTITION_MS);
        let (inside, all) = self.count_serving(|node| node.zone == zone);
        report.cut_zone_stopped = (all - inside, all);
        report.cut_zone_others_serving = self.count_serving(|node| node.zone != zone);
        report.cut_zone_declared_dead = self.max_declared_dead().saturating_sub(before);
        self.network.set_zone_partitioned(&zone, false);
        self.advance(SETTLE_MS);
    }

    /// Returns the highest number of members that any live node considers dead.
    fn max_declared_dead(&self) -> usize {
        let dead = |node: &SimulatedNode| {
            let records = node.control_plane.membership().records();
            records.filter(|record| record.liveness == Liveness::Dead).count()
        };
        self.network
            .nodes
            .iter()
            .filter(|node| node.alive)
            .map(dead)
            .max()
            .unwrap_or(0)
    }

    fn measure_region_partition(&mut self, report: &mut SimulationReport) {
        self.network.set_regions_partitioned(true);
        self.advance(PARTITION_MS);
        for region in 0..self.size.regions {
            let name = format!("region-{region}");
            let serving = self.count_serving(|node| node.region == name);
            report.cut_region_serving.insert(name, serving);
        }
        self.network.set_regions_partitioned(false);
        self.advance(SETTLE_MS);
    }

    fn measure_platform_outage(&mut self, report: &mut SimulationReport) {
        self.platform_up = false;
        self.advance(PARTITION_MS);
        report.platform_outage_serving = self.count_serving(|_| true);
        self.platform_up = true;
    }
}

/// Returns the bytes of a status probe and its response, including transport headers.
fn probe_exchange_bytes() -> usize {
    let mut request = bytes::BytesMut::new();
    // Encoding constant messages cannot fail.
    let _ = millwind_node::pg::status::put_status_request(&mut request);
    let row = ["t", "1A/FFFFFFFF", "12", "1\t0/12345\tpromotion\n", "1A/FFFFFFFF"];
    let mut data = bytes::BytesMut::new();
    for value in row {
        data.extend_from_slice(&(value.len() as i32).to_be_bytes());
        data.extend_from_slice(value.as_bytes());
    }
    let mut response = bytes::BytesMut::new();
    let messages = [
        PgWireBackendMessage::BindComplete(BindComplete::new()),
        PgWireBackendMessage::DataRow(DataRow::new(data, row.len() as i16)),
        PgWireBackendMessage::CommandComplete(CommandComplete::new("SELECT 1".to_owned())),
        PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle)),
    ];
    for message in messages {
        let _ = message.encode(&mut response);
    }
    request.len() + response.len() + PROBE_TRANSPORT_BYTES
}
