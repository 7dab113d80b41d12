//! Membership: which nodes are alive, found by pings within a zone and spread
//! by news that rides on them.
//!
//! A node pings one peer of its zone per interval, so its cost does not grow
//! with the deployment. Only a node's own zone declares it dead, so a zone
//! that is cut off does not declare the rest dead. A node's incarnation beats
//! every older word about it, so a paused or restarted node is never held to
//! what was said before. Relays carry news between zones.

use std::collections::BTreeMap;

use millwind_wire::ControlMessage;
use millwind_wire::control::{Liveness, MemberRecord};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Instant;
use crate::ids::NodeName;
use crate::placement;

/// Fewest relays per zone; relays watch the platform and carry news between
/// zones.
pub const MINIMUM_RELAYS: usize = 3;
/// A zone has one relay for this many nodes, if that is more.
pub const NODES_PER_RELAY: usize = 36;
const UPDATES_PER_MESSAGE: usize = 6;
const INDIRECT_PROBES: usize = 2;

/// Times of the failure detector, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTimes {
    /// Between two pings of a node.
    pub ping_interval_ms: u64,
    /// Until a ping is tried through others.
    pub acknowledge_timeout_ms: u64,
    /// From suspect to dead.
    pub suspect_ms: u64,
    /// Until a dead member is forgotten.
    pub forget_ms: u64,
}

impl Default for MembershipTimes {
    fn default() -> Self {
        MembershipTimes {
            ping_interval_ms: 500,
            acknowledge_timeout_ms: 200,
            suspect_ms: 1_500,
            forget_ms: 120_000,
        }
    }
}

/// A message to another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver.
    pub to: NodeName,
    /// Its peer address.
    pub address: String,
    /// What to say.
    pub message: ControlMessage,
}

#[derive(Debug, Clone)]
struct Member {
    record: MemberRecord,
    since: Instant,
}

#[derive(Debug, Clone)]
struct Probe {
    sequence: u64,
    target: String,
    sent: Instant,
    indirect: bool,
    may_suspect: bool,
}

#[derive(Debug, Clone)]
struct Relayed {
    sequence: u64,
    origin: String,
    origin_sequence: u64,
    sent: Instant,
}

/// Whether what was heard is news to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Spread {
    Yes,
    No,
}

#[derive(Debug, Clone)]
struct News {
    record: MemberRecord,
    sends_left: usize,
}

/// The member table of one node and its failure detector.
#[derive(Debug, Clone)]
pub struct Membership {
    own: MemberRecord,
    times: MembershipTimes,
    members: BTreeMap<String, Member>,
    probes: Vec<Probe>,
    relayed: Vec<Relayed>,
    news: Vec<News>,
    /// Zones with their regions.
    zones: BTreeMap<String, String>,
    order: Vec<String>,
    next_ping: Instant,
    sequence: u64,
    hash: u64,
    changed: bool,
    random: ChaCha8Rng,
}

impl Membership {
    /// A table that holds only the node itself.
    pub fn new(own: MemberRecord, times: MembershipTimes, seed: u64) -> Self {
        let hash = record_hash(&own);
        Membership {
            times,
            members: BTreeMap::new(),
            probes: Vec::new(),
            relayed: Vec::new(),
            news: Vec::new(),
            zones: BTreeMap::from([(own.zone.clone(), own.region.clone())]),
            own,
            order: Vec::new(),
            next_ping: Instant::default(),
            sequence: 0,
            hash,
            changed: true,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Hash over the table, to compare with another node's.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// True once after the table changed.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Records of all members, the node itself first.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.members.values().map(|member| &member.record))
    }

    /// Members not believed dead, the node itself included.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| record.liveness != Liveness::Dead)
    }

    /// The record of a member, if known.
    pub fn record(&self, node: &str) -> Option<&MemberRecord> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.members.get(node).map(|member| &member.record)
    }

    /// The relays of `zone`, best first, out of its live members.
    pub fn relays(&self, zone: &str) -> Vec<NodeName> {
        let names: Vec<NodeName> = self
            .live()
            .filter(|record| record.zone == zone && record.leaving == 0)
            .map(|record| NodeName::from(record.node.as_str()))
            .collect();
        let count = MINIMUM_RELAYS.max(names.len() / NODES_PER_RELAY);
        placement::relays(zone, names.iter(), count)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Whether this node is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        self.relays(&self.own.zone)
            .iter()
            .any(|relay| relay.as_str() == self.own.node)
    }

    /// The zones known, with their regions.
    pub fn zones(&self) -> &BTreeMap<String, String> {
        &self.zones
    }

    /// Marks the node itself as leaving, and tells the others.
    pub fn leave(&mut self) {
        self.own.leaving = 1;
        self.raise_incarnation(self.own.incarnation);
    }

    /// The node's own word that it has stopped.
    pub fn goodbye(&self) -> ControlMessage {
        ControlMessage::Table {
            members: vec![MemberRecord {
                incarnation: self.own.incarnation + 1,
                liveness: Liveness::Dead,
                leaving: 1,
                ..self.own.clone()
            }],
        }
    }

    fn raise_incarnation(&mut self, seen: u64) {
        self.hash ^= record_hash(&self.own);
        self.own.incarnation = seen.max(self.own.incarnation) + 1;
        self.own.liveness = Liveness::Alive;
        self.hash ^= record_hash(&self.own);
        let own = self.own.clone();
        self.spread(own);
        self.changed = true;
    }

    /// The message with which a newcomer introduces itself to a seed.
    pub fn join(&self) -> ControlMessage {
        ControlMessage::Join {
            record: self.own.clone(),
        }
    }

    /// The whole table as a message.
    pub fn table(&self) -> ControlMessage {
        ControlMessage::Table {
            members: self.records().cloned().collect(),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.chase_probes(now, &mut out);
        self.age_members(now);
        if now >= self.next_ping {
            self.next_ping = now.plus_millis(self.times.ping_interval_ms);
            self.ping_in_zone(now, &mut out);
            self.ping_other_zone(now, &mut out);
        }
        let lifetime = self.times.ping_interval_ms * 4;
        self.relayed
            .retain(|relayed| now.millis_since(relayed.sent) < lifetime);
        out
    }

    fn ping_in_zone(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(target) = self.next_in_order() else {
            return;
        };
        self.ping(now, target, true, out);
    }

    fn next_in_order(&mut self) -> Option<String> {
        for _ in 0..2 {
            while let Some(candidate) = self.order.pop() {
                let alive = self
                    .members
                    .get(&candidate)
                    .is_some_and(|member| member.record.liveness != Liveness::Dead);
                if alive {
                    return Some(candidate);
                }
            }
            self.order = self
                .members
                .values()
                .filter(|member| member.record.zone == self.own.zone)
                .filter(|member| member.record.liveness != Liveness::Dead)
                .map(|member| member.record.node.clone())
                .collect();
            self.order.shuffle(&mut self.random);
        }
        None
    }

    fn ping_other_zone(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        if !self.is_relay() {
            return;
        }
        let others: Vec<String> = self
            .live()
            .filter(|record| record.zone != self.own.zone)
            .map(|record| record.node.clone())
            .collect();
        if others.is_empty() {
            return;
        }
        let index = self.random.random_range(0..others.len());
        self.ping(now, others[index].clone(), false, out);
    }

    fn ping(&mut self, now: Instant, target: String, may_suspect: bool, out: &mut Vec<Outgoing>) {
        self.sequence += 1;
        let sequence = self.sequence;
        let updates = self.take_news();
        self.send(&target, ControlMessage::Ping { sequence, updates }, out);
        self.probes.push(Probe {
            sequence,
            target,
            sent: now,
            indirect: false,
            may_suspect,
        });
    }

    fn send(&self, to: &str, message: ControlMessage, out: &mut Vec<Outgoing>) {
        if let Some(record) = self.record(to) {
            out.push(Outgoing {
                to: NodeName::from(to),
                address: record.address.clone(),
                message,
            });
        }
    }

    fn chase_probes(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let probes = std::mem::take(&mut self.probes);
        for mut probe in probes {
            let waited = now.millis_since(probe.sent);
            if waited >= self.times.ping_interval_ms {
                if probe.may_suspect {
                    self.suspect(now, &probe.target);
                }
                continue;
            }
            if waited >= self.times.acknowledge_timeout_ms && !probe.indirect && probe.may_suspect {
                probe.indirect = true;
                self.probe_through_others(&probe, out);
            }
            self.probes.push(probe);
        }
    }

    fn probe_through_others(&mut self, probe: &Probe, out: &mut Vec<Outgoing>) {
        let mut helpers: Vec<String> = self
            .members
            .values()
            .filter(|member| member.record.zone == self.own.zone)
            .filter(|member| member.record.liveness == Liveness::Alive && member.record.node != probe.target)
            .map(|member| member.record.node.clone())
            .collect();
        helpers.shuffle(&mut self.random);
        for helper in helpers.iter().take(INDIRECT_PROBES) {
            let request = ControlMessage::PingRequest {
                sequence: probe.sequence,
                target: probe.target.clone(),
            };
            self.send(helper, request, out);
        }
    }

    fn suspect(&mut self, now: Instant, target: &str) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        if member.record.liveness == Liveness::Alive {
            let mut record = member.record.clone();
            record.liveness = Liveness::Suspect;
            self.merge(now, record, Spread::Yes);
        }
    }

    fn age_members(&mut self, now: Instant) {
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        for member in self.members.values() {
            let age = now.millis_since(member.since);
            match member.record.liveness {
                Liveness::Suspect if age >= self.times.suspect_ms && member.record.zone == self.own.zone => {
                    dead.push(member.record.clone());
                }
                Liveness::Dead if age >= self.times.forget_ms => {
                    forgotten.push(member.record.node.clone());
                }
                _ => {}
            }
        }
        for mut record in dead {
            record.liveness = Liveness::Dead;
            self.merge(now, record, Spread::Yes);
        }
        if forgotten.is_empty() {
            return;
        }
        for node in forgotten {
            if let Some(member) = self.members.remove(&node) {
                self.hash ^= record_hash(&member.record);
                self.changed = true;
            }
        }
        self.zones = self
            .records()
            .map(|record| (record.zone.clone(), record.region.clone()))
            .collect();
    }

    /// Takes in a message from `from`.
    pub fn receive(&mut self, now: Instant, from: &str, message: &ControlMessage) -> Vec<Outgoing> {
        let mut out = Vec::new();
        match message {
            ControlMessage::Ping { sequence, updates } => {
                self.merge_all(now, updates);
                let updates = self.take_news();
                let reply = ControlMessage::Acknowledge {
                    sequence: *sequence,
                    updates,
                };
                self.send(from, reply, &mut out);
            }
            ControlMessage::Acknowledge { sequence, updates } => {
                self.merge_all(now, updates);
                self.acknowledged(*sequence, &mut out);
            }
            ControlMessage::PingRequest { sequence, target } => {
                self.ping_for(now, from, *sequence, target, &mut out);
            }
            ControlMessage::Join { record } => {
                self.merge(now, record.clone(), Spread::Yes);
                let table = self.table();
                self.send(from, table, &mut out);
            }
            ControlMessage::Table { members } => {
                for record in members {
                    // Known to the sender already: not news to spread.
                    self.merge(now, record.clone(), Spread::No);
                }
            }
            _ => {}
        }
        out
    }

    fn acknowledged(&mut self, sequence: u64, out: &mut Vec<Outgoing>) {
        self.probes.retain(|probe| probe.sequence != sequence);
        let Some(index) = self
            .relayed
            .iter()
            .position(|relayed| relayed.sequence == sequence)
        else {
            return;
        };
        let relayed = self.relayed.swap_remove(index);
        let reply = ControlMessage::Acknowledge {
            sequence: relayed.origin_sequence,
            updates: Vec::new(),
        };
        self.send(&relayed.origin, reply, out);
    }

    fn ping_for(
        &mut self,
        now: Instant,
        origin: &str,
        origin_sequence: u64,
        target: &str,
        out: &mut Vec<Outgoing>,
    ) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.relayed.push(Relayed {
            sequence,
            origin: origin.to_owned(),
            origin_sequence,
            sent: now,
        });
        let ping = ControlMessage::Ping {
            sequence,
            updates: Vec::new(),
        };
        self.send(target, ping, out);
    }

    fn merge_all(&mut self, now: Instant, records: &[MemberRecord]) {
        for record in records {
            self.merge(now, record.clone(), Spread::Yes);
        }
    }

    /// Takes in what is said of a member; news is spread further.
    ///
    /// Must hold because a paused or restarted node's old word never wins: a
    /// higher incarnation replaces all, an equal one only adds suspicion.
    fn merge(&mut self, now: Instant, record: MemberRecord, spread: Spread) {
        if record.node == self.own.node {
            if record.liveness != Liveness::Alive && record.incarnation >= self.own.incarnation {
                self.raise_incarnation(record.incarnation);
            }
            return;
        }
        let merged = match self.members.get(&record.node) {
            None if record.liveness == Liveness::Dead => return,
            None => record,
            Some(held) => match combine(&held.record, &record) {
                Some(combined) => combined,
                None => return,
            },
        };
        if let Some(held) = self.members.get(&merged.node) {
            self.hash ^= record_hash(&held.record);
        }
        self.hash ^= record_hash(&merged);
        self.changed = true;
        if spread == Spread::Yes {
            self.spread(merged.clone());
        }
        self.zones.insert(merged.zone.clone(), merged.region.clone());
        self.members.insert(
            merged.node.clone(),
            Member {
                record: merged,
                since: now,
            },
        );
    }

    fn spread(&mut self, record: MemberRecord) {
        let members = (self.members.len() + 2) as u32;
        let sends_left = 3 * (u32::BITS - members.leading_zeros()) as usize;
        self.news.retain(|news| news.record.node != record.node);
        self.news.push(News { record, sends_left });
    }

    /// The news that has been sent least often goes first.
    fn take_news(&mut self) -> Vec<MemberRecord> {
        self.news.sort_by_key(|news| std::cmp::Reverse(news.sends_left));
        let mut taken = Vec::new();
        for news in self.news.iter_mut().take(UPDATES_PER_MESSAGE) {
            news.sends_left -= 1;
            taken.push(news.record.clone());
        }
        self.news.retain(|news| news.sends_left > 0);
        taken
    }
}

/// The record that results from hearing `heard` while holding `held`; none
/// when nothing changes.
fn combine(held: &MemberRecord, heard: &MemberRecord) -> Option<MemberRecord> {
    if heard.incarnation < held.incarnation {
        return None;
    }
    if heard.incarnation > held.incarnation {
        return Some(heard.clone());
    }
    let liveness = held.liveness.max(heard.liveness);
    let leaving = held.leaving.max(heard.leaving);
    if liveness == held.liveness && leaving == held.leaving {
        return None;
    }
    Some(MemberRecord {
        liveness,
        leaving,
        ..held.clone()
    })
}

fn record_hash(record: &MemberRecord) -> u64 {
    let state = u64::from(record.leaving) << 8 | record.liveness as u64;
    xxh3_64_with_seed(record.node.as_bytes(), record.incarnation << 16 | state)
}
