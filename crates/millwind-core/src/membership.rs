//! Membership and failure detection: nodes detect failures by pings within their zone, and
//! membership updates are piggybacked on the pings and acknowledgements.
//!
//! A node pings one peer of its zone per interval, so its load does not grow with the
//! deployment. Only a node's own zone declares it dead, so a partitioned zone does not
//! declare the other zones dead. A record with a higher incarnation overrides every earlier
//! record of the node, so a paused or restarted node can refute outdated records about
//! itself. Relays carry updates between zones.

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

/// Minimum number of relays per zone. Relays watch the platform and carry updates between
/// zones.
pub const MIN_RELAYS: usize = 3;
/// A zone has one relay per this many nodes, if that is more than [`MIN_RELAYS`].
pub const NODES_PER_RELAY: usize = 36;
const UPDATES_PER_MESSAGE: usize = 6;
const INDIRECT_PROBES: usize = 2;

/// Timing of the failure detector, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTimes {
    /// Time between two pings of a node.
    pub ping_interval_ms: u64,
    /// Time without an acknowledgement until a ping is tried through other nodes.
    pub acknowledge_timeout_ms: u64,
    /// Time until a suspect member is declared dead.
    pub suspect_ms: u64,
    /// Time until a dead member is removed from the table.
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

/// A message to send to another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiving node.
    pub to: NodeName,
    /// Address of the receiver's peer listener.
    pub address: String,
    /// The message.
    pub message: ControlMessage,
}

#[derive(Debug, Clone)]
struct Member {
    record: MemberRecord,
    updated_at: Instant,
}

#[derive(Debug, Clone)]
struct Probe {
    sequence: u64,
    target: String,
    sent: Instant,
    indirect: bool,
    may_suspect: bool,
}

/// A ping that this node sends on behalf of another node.
#[derive(Debug, Clone)]
struct IndirectPing {
    sequence: u64,
    requester: String,
    requester_sequence: u64,
    sent: Instant,
}

/// Whether a received record is passed on to other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Spread {
    Yes,
    No,
}

#[derive(Debug, Clone)]
struct PendingUpdate {
    record: MemberRecord,
    sends_left: usize,
}

/// One node's member table and failure detector.
#[derive(Debug, Clone)]
pub struct Membership {
    own: MemberRecord,
    times: MembershipTimes,
    members: BTreeMap<String, Member>,
    probes: Vec<Probe>,
    indirect_pings: Vec<IndirectPing>,
    pending_updates: Vec<PendingUpdate>,
    /// The known zones with their regions.
    zones: BTreeMap<String, String>,
    ping_order: Vec<String>,
    next_ping: Instant,
    sequence: u64,
    hash: u64,
    changed: bool,
    rng: ChaCha8Rng,
}

impl Membership {
    /// Creates a table that holds only the node itself.
    pub fn new(own: MemberRecord, times: MembershipTimes, seed: u64) -> Self {
        let hash = record_hash(&own);
        Membership {
            times,
            members: BTreeMap::new(),
            probes: Vec::new(),
            indirect_pings: Vec::new(),
            pending_updates: Vec::new(),
            zones: BTreeMap::from([(own.zone.clone(), own.region.clone())]),
            own,
            ping_order: Vec::new(),
            next_ping: Instant::default(),
            sequence: 0,
            hash,
            changed: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns a hash of the table, to compare with another node's.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns whether the table has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Iterates over the records of all members, starting with the node itself.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.members.values().map(|member| &member.record))
    }

    /// Iterates over the members that are not considered dead, including the node itself.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records().filter(|record| record.liveness != Liveness::Dead)
    }

    /// Returns the record of a member, if known.
    pub fn record(&self, node: &str) -> Option<&MemberRecord> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.members.get(node).map(|member| &member.record)
    }

    /// Returns the relays of `zone`, highest ranked first, chosen from its live members that are
    /// not leaving.
    pub fn relays(&self, zone: &str) -> Vec<NodeName> {
        let names: Vec<NodeName> = self
            .live()
            .filter(|record| record.zone == zone && record.leaving == 0)
            .map(|record| NodeName::from(record.node.as_str()))
            .collect();
        let count = MIN_RELAYS.max(names.len() / NODES_PER_RELAY);
        placement::select_relays(zone, names.iter(), count)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Returns whether this node is a relay of its zone.
    pub fn is_relay(&self) -> bool {
        self.relays(&self.own.zone)
            .iter()
            .any(|relay| relay.as_str() == self.own.node)
    }

    /// Returns the known zones with their regions.
    pub fn zones(&self) -> &BTreeMap<String, String> {
        &self.zones
    }

    /// Marks this node as leaving and queues the update for other nodes.
    pub fn leave(&mut self) {
        self.own.leaving = 1;
        self.raise_incarnation(self.own.incarnation);
    }

    /// Returns the message by which this node announces that it has stopped.
    pub fn stopped_message(&self) -> ControlMessage {
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
        self.queue_update(own);
        self.changed = true;
    }

    /// Returns the message by which a new node introduces itself to a seed.
    pub fn join_message(&self) -> ControlMessage {
        ControlMessage::Join {
            record: self.own.clone(),
        }
    }

    /// Returns a message with the whole table.
    pub fn table_message(&self) -> ControlMessage {
        ControlMessage::Table {
            members: self.records().cloned().collect(),
        }
    }

    /// Advances the timers to `now` and returns the messages to send.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.check_probes(now, &mut out);
        self.expire_members(now);
        if now >= self.next_ping {
            self.next_ping = now.plus_millis(self.times.ping_interval_ms);
            self.ping_in_zone(now, &mut out);
            self.ping_other_zone(now, &mut out);
        }
        let lifetime = self.times.ping_interval_ms * 4;
        self.indirect_pings
            .retain(|ping| now.millis_since(ping.sent) < lifetime);
        out
    }

    fn ping_in_zone(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let Some(target) = self.next_ping_target() else {
            return;
        };
        self.ping(now, target, true, out);
    }

    fn next_ping_target(&mut self) -> Option<String> {
        for _ in 0..2 {
            while let Some(candidate) = self.ping_order.pop() {
                let alive = self
                    .members
                    .get(&candidate)
                    .is_some_and(|member| member.record.liveness != Liveness::Dead);
                if alive {
                    return Some(candidate);
                }
            }
            self.ping_order = self
                .members
                .values()
                .filter(|member| member.record.zone == self.own.zone)
                .filter(|member| member.record.liveness != Liveness::Dead)
                .map(|member| member.record.node.clone())
                .collect();
            self.ping_order.shuffle(&mut self.rng);
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
        let index = self.rng.random_range(0..others.len());
        self.ping(now, others[index].clone(), false, out);
    }

    fn ping(&mut self, now: Instant, target: String, may_suspect: bool, out: &mut Vec<Outgoing>) {
        self.sequence += 1;
        let sequence = self.sequence;
        let updates = self.take_updates();
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

    fn check_probes(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
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
                self.request_indirect_pings(&probe, out);
            }
            self.probes.push(probe);
        }
    }

    fn request_indirect_pings(&mut self, probe: &Probe, out: &mut Vec<Outgoing>) {
        let mut intermediaries: Vec<String> = self
            .members
            .values()
            .filter(|member| member.record.zone == self.own.zone)
            .filter(|member| member.record.liveness == Liveness::Alive && member.record.node != probe.target)
            .map(|member| member.record.node.clone())
            .collect();
        intermediaries.shuffle(&mut self.rng);
        for intermediary in intermediaries.iter().take(INDIRECT_PROBES) {
            let request = ControlMessage::PingRequest {
                sequence: probe.sequence,
                target: probe.target.clone(),
            };
            self.send(intermediary, request, out);
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

    fn expire_members(&mut self, now: Instant) {
        let mut dead = Vec::new();
        let mut forgotten = Vec::new();
        for member in self.members.values() {
            let age = now.millis_since(member.updated_at);
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

    /// Handles a message from `from` and returns the messages to send.
    pub fn receive(&mut self, now: Instant, from: &str, message: &ControlMessage) -> Vec<Outgoing> {
        let mut out = Vec::new();
        match message {
            ControlMessage::Ping { sequence, updates } => {
                self.merge_all(now, updates);
                let updates = self.take_updates();
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
                self.ping_on_behalf(now, from, *sequence, target, &mut out);
            }
            ControlMessage::Join { record } => {
                self.merge(now, record.clone(), Spread::Yes);
                let table = self.table_message();
                self.send(from, table, &mut out);
            }
            ControlMessage::Table { members } => {
                for record in members {
                    // The sender has these records already and spreads them itself.
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
            .indirect_pings
            .iter()
            .position(|ping| ping.sequence == sequence)
        else {
            return;
        };
        let ping = self.indirect_pings.swap_remove(index);
        let reply = ControlMessage::Acknowledge {
            sequence: ping.requester_sequence,
            updates: Vec::new(),
        };
        self.send(&ping.requester, reply, out);
    }

    fn ping_on_behalf(
        &mut self,
        now: Instant,
        requester: &str,
        requester_sequence: u64,
        target: &str,
        out: &mut Vec<Outgoing>,
    ) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.indirect_pings.push(IndirectPing {
            sequence,
            requester: requester.to_owned(),
            requester_sequence,
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

    /// Merges a received record into the table and, with [`Spread::Yes`], queues the result for
    /// other nodes.
    ///
    /// A record with a higher incarnation replaces the stored record, and one with a lower
    /// incarnation is ignored. With the same incarnation only liveness and leaving can advance, so
    /// outdated records of a paused or restarted node have no effect.
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
            Some(stored) => match merge_records(&stored.record, &record) {
                Some(combined) => combined,
                None => return,
            },
        };
        if let Some(stored) = self.members.get(&merged.node) {
            self.hash ^= record_hash(&stored.record);
        }
        self.hash ^= record_hash(&merged);
        self.changed = true;
        if spread == Spread::Yes {
            self.queue_update(merged.clone());
        }
        self.zones.insert(merged.zone.clone(), merged.region.clone());
        self.members.insert(
            merged.node.clone(),
            Member {
                record: merged,
                updated_at: now,
            },
        );
    }

    fn queue_update(&mut self, record: MemberRecord) {
        let members = (self.members.len() + 2) as u32;
        let sends_left = 3 * (u32::BITS - members.leading_zeros()) as usize;
        self.pending_updates
            .retain(|update| update.record.node != record.node);
        self.pending_updates.push(PendingUpdate { record, sends_left });
    }

    /// Takes the updates for the next message, those sent least often first.
    fn take_updates(&mut self) -> Vec<MemberRecord> {
        self.pending_updates
            .sort_by_key(|update| std::cmp::Reverse(update.sends_left));
        let mut taken = Vec::new();
        for update in self.pending_updates.iter_mut().take(UPDATES_PER_MESSAGE) {
            update.sends_left -= 1;
            taken.push(update.record.clone());
        }
        self.pending_updates.retain(|update| update.sends_left > 0);
        taken
    }
}

/// Returns the record that results from merging `received` into `stored`, or `None` if
/// nothing changes.
fn merge_records(stored: &MemberRecord, received: &MemberRecord) -> Option<MemberRecord> {
    if received.incarnation < stored.incarnation {
        return None;
    }
    if received.incarnation > stored.incarnation {
        return Some(received.clone());
    }
    let liveness = stored.liveness.max(received.liveness);
    let leaving = stored.leaving.max(received.leaving);
    if liveness == stored.liveness && leaving == stored.leaving {
        return None;
    }
    Some(MemberRecord {
        liveness,
        leaving,
        ..stored.clone()
    })
}

fn record_hash(record: &MemberRecord) -> u64 {
    let state = u64::from(record.leaving) << 8 | record.liveness as u64;
    xxh3_64_with_seed(record.node.as_bytes(), record.incarnation << 16 | state)
}
