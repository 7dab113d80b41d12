//! The events of a hollow run, one after another.

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

use super::HollowSize;
use super::network::{HollowNode, Network, TICK_MS};
use super::report::{HollowReport, role_load};
use crate::process_memory::resident_bytes;

const START: Instant = Instant::from_millis(1_000_000);
const INSTANCES_PER_GROUP: usize = 3;
/// Relays ask the platform for a sign of life this often.
const PLATFORM_INTERVAL_MS: u64 = 1_000;
/// From the store's change to a relay's hearing of it.
const WATCH_LATENCY_MS: u64 = 5;
const SETTLE_MS: u64 = 10_000;
const CHANGES: u64 = 10;
const LIMIT_MS: u64 = 60_000;
/// Longer than the freshness bound and its margin.
const ISOLATION_MS: u64 = 12_000;
/// Status questions per second, idle: to the primary, to an owned replica, and
/// to another instance.
const PRIMARY_PROBES: f64 = 5.0;
const OWNED_PROBES: f64 = 2.0;
const DISTANT_PROBES: f64 = 1.0;
/// A new owner opens an instance's connections one after another, this far
/// apart, each at the cost of the users' databases.
const PREOPEN_PACE_MS: f64 = 5.0;
const CONNECT_MS: f64 = 10.0;
/// TCP and IP headers of a question, its answer and an acknowledgement.
const PROBE_TRANSPORT_BYTES: usize = 3 * 52;
/// While a group has no primary its instances are asked this often.
const SEARCH_INTERVAL_MS: f64 = 10.0;

struct Scene {
    size: HollowSize,
    network: Network,
    revision: u64,
    documents: BTreeMap<String, WireDocument>,
    platform_up: bool,
    next_platform: Instant,
}

/// Runs all events.
pub(super) fn run(size: HollowSize) -> HollowReport {
    let started = WallInstant::now();
    let before = resident_bytes("self");
    let mut scene = Scene::new(size);
    let mut report = HollowReport {
        size: Some(size),
        ..HollowReport::default()
    };
    scene.pass(SETTLE_MS);
    report.memory_bytes_per_node = resident_bytes("self").saturating_sub(before) / size.nodes as u64;
    scene.steady(&mut report);
    scene.ownership(&mut report);
    scene.primary_change(&mut report);
    scene.changes(&mut report);
    scene.death_and_restart(&mut report);
    scene.relays_lost(&mut report);
    scene.zone_cut(&mut report);
    scene.region_cut(&mut report);
    scene.platform_outage(&mut report);
    report.wall_seconds = started.elapsed().as_secs_f64();
    report
}

fn member(size: &HollowSize, index: usize, incarnation: u64) -> MemberRecord {
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

fn hollow_node(size: &HollowSize, index: usize, incarnation: u64) -> HollowNode {
    let own = member(size, index, incarnation);
    let seeds = (0..3).map(|seed| member(size, seed, 1).address).collect();
    HollowNode {
        zone: own.zone.clone(),
        region: own.region.clone(),
        plane: ControlPlane::new(own, seeds, MembershipTimes::default(), size.seed + index as u64),
        alive: true,
        busy: std::time::Duration::ZERO,
        sent: BTreeMap::new(),
        received: (0, 0),
        links_opened_by: BTreeSet::new(),
    }
}

fn document(key: String, revision: u64, body: String) -> WireDocument {
    WireDocument {
        key,
        revision,
        deleted: 0,
        change_id: format!("change-{revision}"),
        body,
    }
}

fn group_body(size: &HollowSize, group: usize) -> String {
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

impl Scene {
    fn new(size: HollowSize) -> Self {
        let nodes = (0..size.nodes)
            .map(|index| hollow_node(&size, index, 1))
            .collect();
        let mut scene = Scene {
            size,
            network: Network::new(nodes, START),
            revision: 0,
            documents: BTreeMap::new(),
            platform_up: true,
            next_platform: START,
        };
        scene.fill_store();
        scene.introduce();
        scene
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
                .insert(key.clone(), document(key, self.revision, body));
            self.revision += 1;
            let key = format!("tenant/tenant-{group}");
            let body = format!("name = \"tenant-{group}\"\ntemplate = \"t\"\ngroup = \"group-{group}\"\n");
            self.documents
                .insert(key.clone(), document(key, self.revision, body));
        }
    }

    /// All nodes know each other and have the configuration, as after a night.
    fn introduce(&mut self) {
        let members: Vec<MemberRecord> = (0..self.size.nodes)
            .map(|index| member(&self.size, index, 1))
            .collect();
        let table = ControlMessage::Table { members };
        let documents: Vec<WireDocument> = self.documents.values().cloned().collect();
        let revision = self.revision;
        for index in 0..self.size.nodes {
            let from = member(&self.size, 0, 1).node;
            self.network
                .on_node(index, |plane, now| plane.receive(now, &from, &table));
            self.network.on_node(index, |plane, now| {
                plane.platform_snapshot(now, now, revision, &documents);
                Vec::new()
            });
        }
    }

    /// Lets virtual time pass.
    fn pass(&mut self, milliseconds: u64) {
        let end = self.network.now.plus_millis(milliseconds);
        while self.network.now < end {
            self.network.tick();
            self.platform_signs();
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
            .map(|(index, node)| (node.plane.membership().own().node.as_str(), index))
            .collect();
        (0..self.size.zones)
            .filter_map(|zone| {
                self.network
                    .nodes
                    .iter()
                    .find(|node| node.alive && node.zone == format!("zone-{zone}"))
            })
            .flat_map(|node| node.plane.membership().relays(&node.zone))
            .filter_map(|relay| by_name.get(relay.as_str()).copied())
            .collect()
    }

    fn platform_signs(&mut self) {
        if self.network.now < self.next_platform || !self.platform_up {
            return;
        }
        self.next_platform = self.network.now.plus_millis(PLATFORM_INTERVAL_MS);
        for relay in self.relays() {
            self.tell_relay(relay);
        }
    }

    /// A relay catches up with the store and hears a sign of life.
    fn tell_relay(&mut self, relay: usize) {
        if !self.network.nodes[relay].alive || self.network.is_cut_from_platform(relay) {
            return;
        }
        let revision = self.revision;
        let held = self.network.nodes[relay].plane.config().revision();
        let changes: Vec<WireDocument> = self
            .documents
            .values()
            .filter(|document| document.revision > held)
            .cloned()
            .collect();
        self.network.on_node(relay, |plane, now| {
            let outgoing = plane.platform_changes(now, revision, &changes);
            plane.record_platform_contact(now, revision);
            outgoing
        });
    }

    fn steady(&mut self, report: &mut HollowReport) {
        self.network.reset_accounts();
        self.pass(self.size.seconds * 1_000);
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
        report.platform_calls_per_second = relays.len() as f64 * 1_000.0 / PLATFORM_INTERVAL_MS as f64;
    }

    /// Who owns what, and what watching it costs, by the nodes' own table.
    fn ownership(&mut self, report: &mut HollowReport) {
        let table = self.network.nodes[0].plane.owner_table(self.network.now);
        let mut owned: HashMap<String, usize> = HashMap::new();
        let mut probes: HashMap<String, f64> = HashMap::new();
        let mut at_instance = 0.0f64;
        for group in 0..self.groups() {
            let mut questions = [0.0; INSTANCES_PER_GROUP];
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
            // The first instance of a group leads it.
            for (node, instances) in monitors {
                for (target, asked) in questions.iter_mut().enumerate() {
                    let rate = match target {
                        0 => PRIMARY_PROBES,
                        target if instances.contains(&target) => OWNED_PROBES,
                        _ => DISTANT_PROBES,
                    };
                    *asked += rate;
                    *probes.entry(node.clone()).or_default() += rate;
                }
            }
            at_instance = questions
                .iter()
                .fold(at_instance, |highest, asked| highest.max(*asked));
        }
        let nodes = self.size.nodes as f64;
        let total: f64 = probes.values().sum();
        let highest = probes.values().fold(0.0f64, |highest, rate| highest.max(*rate));
        report.instances_owned = (
            owned.values().sum::<usize>() as f64 / nodes,
            owned.values().copied().max().unwrap_or(0),
        );
        report.probes_at_instance_per_second = at_instance;
        report.probes_by_node_per_second = (total / nodes, highest);
        let bytes = probe_bytes() as f64;
        report.pool_connections_per_second = 1_000.0 / (PREOPEN_PACE_MS + CONNECT_MS);
        report.probe_bytes_per_second = (total / nodes * bytes, highest * bytes);
    }

    /// One group gets a new primary while every gateway waits for it at the
    /// owner: the owner answers them one after another.
    fn primary_change(&mut self, report: &mut HollowReport) {
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
        let (bytes, work_us) = self.answer_all(&status);
        report.primary_known_owner_bytes = bytes;
        report.primary_known_ms = self.last_to_know_us(work_us) / 1_000.0;
    }

    /// Encodes and decodes every gateway's question and its answer; returns the
    /// answers' bytes and the work for one, in microseconds.
    fn answer_all(&self, status: &GroupStatus) -> (u64, f64) {
        let started = WallInstant::now();
        let mut bytes = 0;
        for gateway in 0..self.size.nodes as u64 {
            let question = PeerMessage::AwaitPrimary(AwaitPrimary {
                request_id: gateway,
                group: "group-0".to_owned(),
                above_term: 0,
                wait_ms: 1_000,
            });
            let asked = encode(&question).unwrap_or_default();
            let _ = decode(&asked);
            let answer = PeerMessage::GroupStatus(GroupStatus {
                request_id: gateway,
                ..status.clone()
            });
            let frame = encode(&answer).unwrap_or_default();
            bytes += frame.len() as u64;
            let _ = decode(&frame);
        }
        (
            bytes,
            started.elapsed().as_secs_f64() * 1e6 / self.size.nodes as f64,
        )
    }

    /// When the last gateway knows, in microseconds after the new primary
    /// accepts writes: each owner asks at its own phase, then answers all
    /// waiting gateways one after another, and the first answer counts.
    fn last_to_know_us(&self, work_us: f64) -> f64 {
        let owners: Vec<(f64, usize)> = (0..INSTANCES_PER_GROUP)
            .filter_map(|instance| {
                let zone = format!("zone-{}", instance % self.size.zones);
                let owner = self.network.nodes.iter().position(|node| node.zone == zone)?;
                let phase = (instance as f64 + 1.0) / INSTANCES_PER_GROUP as f64;
                Some((phase * SEARCH_INTERVAL_MS * 1_000.0, owner))
            })
            .collect();
        let new_primary_zone = owners.get(1).map_or(0, |(_, owner)| *owner);
        let mut last = 0.0f64;
        for gateway in 0..self.size.nodes {
            let first = owners
                .iter()
                .filter_map(|(phase, owner)| {
                    // The question's way to the new primary and back, then the
                    // answer's to the gateway.
                    let asking = 2 * self.network.latency(*owner, new_primary_zone)?;
                    let answer = self.network.latency(*owner, gateway)?;
                    Some(phase + asking as f64 + gateway as f64 * work_us + answer as f64)
                })
                .fold(f64::INFINITY, f64::min);
            last = last.max(first);
        }
        last
    }

    /// Time until `done` holds, in steps of one tick; the limit if it never does.
    fn time_until(&mut self, mut done: impl FnMut(&Network) -> bool) -> u64 {
        let start = self.network.now;
        while self.network.now.millis_since(start) < LIMIT_MS {
            if done(&self.network) {
                return self.network.now.millis_since(start);
            }
            self.network.tick();
            self.platform_signs();
            // Finer than a tick, so that times are not rounded up to it.
            for _ in 0..TICK_MS {
                let next = self.network.now.plus_millis(1);
                self.network.run_until(next);
                if done(&self.network) {
                    return self.network.now.millis_since(start);
                }
            }
        }
        LIMIT_MS
    }

    fn change_once(&mut self) -> u64 {
        self.revision += 1;
        let key = "tenant/tenant-0".to_owned();
        let body = format!(
            "name = \"tenant-0\"\ntemplate = \"t\"\ngroup = \"group-0\"\n# {}\n",
            self.revision
        );
        self.documents
            .insert(key.clone(), document(key, self.revision, body));
        let hears = self.network.now.plus_millis(WATCH_LATENCY_MS);
        self.network.run_until(hears);
        for relay in self.relays() {
            self.tell_relay(relay);
        }
        let revision = self.revision;
        let took = self.time_until(|network| {
            network
                .nodes
                .iter()
                .filter(|node| node.alive)
                .all(|node| node.plane.config().revision() >= revision)
        });
        took + WATCH_LATENCY_MS
    }

    fn changes(&mut self, report: &mut HollowReport) {
        let kinds = ["config_delta", "applied", "config_pull"];
        self.network.reset_accounts();
        for _ in 0..CHANGES {
            let took = self.change_once();
            report.change_in_force_ms.push(took);
            self.pass(1_000);
        }
        report.change_in_force_ms.sort_unstable();
        let costs: Vec<f64> = self
            .network
            .nodes
            .iter()
            .map(|node| {
                let sent: u64 = kinds
                    .iter()
                    .filter_map(|kind| node.sent.get(kind))
                    .map(|(_, bytes)| bytes)
                    .sum();
                sent as f64 / CHANGES as f64
            })
            .collect();
        // Whatever is sent is received: both ways is twice the mean.
        report.change_bytes_mean = 2.0 * costs.iter().sum::<f64>() / costs.len() as f64;
        report.change_bytes_highest = costs.iter().fold(0.0, |highest, cost| highest.max(*cost));
    }

    fn death_and_restart(&mut self, report: &mut HollowReport) {
        let relays = self.relays();
        let victim = (0..self.size.nodes)
            .rev()
            .find(|index| !relays.contains(index))
            .unwrap_or(0);
        let name = self.network.nodes[victim].plane.membership().own().node.clone();
        self.network.nodes[victim].alive = false;
        report.death_known_ms = self.time_until(|network| {
            network.nodes.iter().filter(|node| node.alive).all(|node| {
                node.plane
                    .membership()
                    .record(&name)
                    .is_none_or(|record| record.liveness == Liveness::Dead)
            })
        });
        self.pass(2_000);
        self.network.reset_accounts();
        self.network.nodes[victim] = hollow_node(&self.size, victim, 2);
        self.pass(1_000);
        let opened = self.network.nodes.iter().map(|node| node.links_opened_by.len());
        report.links_opened_in_first_second = opened.max().unwrap_or(0);
        self.network.reset_accounts();
        self.network.nodes[victim] = hollow_node(&self.size, victim, 3);
        report.restart_serving_ms =
            self.time_until(|network| network.nodes[victim].plane.may_serve(network.now).is_ok());
        self.pass(5_000);
        report.restart_bytes = self.sent_of(&["join", "table", "config_pull", "config_delta"]);
    }

    /// Bytes all nodes have sent in messages of these types.
    fn sent_of(&self, kinds: &[&str]) -> f64 {
        let sent = |node: &HollowNode| -> u64 {
            let of_kind = kinds.iter().filter_map(|kind| node.sent.get(kind));
            of_kind.map(|(_, bytes)| *bytes).sum()
        };
        self.network.nodes.iter().map(sent).sum::<u64>() as f64
    }

    fn relays_lost(&mut self, report: &mut HollowReport) {
        let lost: Vec<usize> = self
            .relays()
            .into_iter()
            .filter(|relay| self.network.nodes[*relay].zone == "zone-0")
            .collect();
        for relay in &lost {
            self.network.nodes[*relay].alive = false;
        }
        report.change_relays_lost_ms = self.change_once();
        for relay in lost {
            self.network.nodes[relay] = hollow_node(&self.size, relay, 4);
        }
        self.pass(SETTLE_MS);
    }

    fn serving(&self, chosen: impl Fn(&HollowNode) -> bool) -> (usize, usize) {
        let chosen: Vec<&HollowNode> = self
            .network
            .nodes
            .iter()
            .filter(|node| node.alive && chosen(node))
            .collect();
        let now = self.network.now;
        let serving = chosen
            .iter()
            .filter(|node| node.plane.may_serve(now).is_ok())
            .count();
        (serving, chosen.len())
    }

    fn zone_cut(&mut self, report: &mut HollowReport) {
        let zone = "zone-0".to_owned();
        let before = self.declared_dead();
        self.network.cut_zone(&zone, true);
        self.pass(ISOLATION_MS);
        let (inside, all) = self.serving(|node| node.zone == zone);
        report.cut_zone_stopped = (all - inside, all);
        report.cut_zone_others_serving = self.serving(|node| node.zone != zone);
        report.cut_zone_declared_dead = self.declared_dead().saturating_sub(before);
        self.network.cut_zone(&zone, false);
        self.pass(SETTLE_MS);
    }

    /// Most members any live node holds for dead.
    fn declared_dead(&self) -> usize {
        let dead = |node: &HollowNode| {
            let records = node.plane.membership().records();
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

    fn region_cut(&mut self, report: &mut HollowReport) {
        self.network.cut_regions(true);
        self.pass(ISOLATION_MS);
        for region in 0..self.size.regions {
            let name = format!("region-{region}");
            let serving = self.serving(|node| node.region == name);
            report.cut_region_serving.insert(name, serving);
        }
        self.network.cut_regions(false);
        self.pass(SETTLE_MS);
    }

    fn platform_outage(&mut self, report: &mut HollowReport) {
        self.platform_up = false;
        self.pass(ISOLATION_MS);
        report.platform_outage_serving = self.serving(|_| true);
        self.platform_up = true;
    }
}

/// Bytes of a status question and its answer on the wire.
fn probe_bytes() -> usize {
    let mut question = bytes::BytesMut::new();
    // A constant message always encodes.
    let _ = millwind_node::pg::status::put_status_request(&mut question);
    let row = ["t", "1A/FFFFFFFF", "12", "1\t0/12345\tpromotion\n", "1A/FFFFFFFF"];
    let mut data = bytes::BytesMut::new();
    for value in row {
        data.extend_from_slice(&(value.len() as i32).to_be_bytes());
        data.extend_from_slice(value.as_bytes());
    }
    let mut answer = bytes::BytesMut::new();
    let messages = [
        PgWireBackendMessage::BindComplete(BindComplete::new()),
        PgWireBackendMessage::DataRow(DataRow::new(data, row.len() as i16)),
        PgWireBackendMessage::CommandComplete(CommandComplete::new("SELECT 1".to_owned())),
        PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle)),
    ];
    for message in messages {
        let _ = message.encode(&mut answer);
    }
    question.len() + answer.len() + PROBE_TRANSPORT_BYTES
}
