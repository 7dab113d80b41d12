//! The control plane of one node: membership, configuration and the right to
//! serve, as one state machine that the daemon and the hollow runs both drive.
//!
//! A few relays per zone watch the platform. They push each change to the
//! nodes of their zone; every node also sends a digest to a relay now and then,
//! so that a lost push is repaired and the node learns how old the zone's
//! contact with the platform is. Relays do the same with relays of the other
//! zones. The platform's load grows with the number of zones, not of nodes.
//!
//! Ages in a report count from when the node asked, never from when the report
//! came: a report that was under way for long must not look fresh.

mod standings;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use millwind_wire::ControlMessage;
use millwind_wire::control::{Digest, MemberRecord, NodeRevision, WireDocument, ZoneReport};

use crate::Instant;
use crate::config_state::ConfigState;
use crate::freshness::{NotServing, ServingGate};
use crate::ids::{NodeName, RegionName, ZoneName};
use crate::membership::{Membership, MembershipTimes, Outgoing};
use crate::owner_table::{OwnerCandidate, OwnerTable};
use crate::placement;

pub use standings::Standing;

/// Between two digests of a node to a relay of its zone, in milliseconds.
pub const DIGEST_INTERVAL_MS: u64 = 2_500;
/// Between two reports of a relay to the other zones, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 1_000;
/// A digest without a report is forgotten after this long.
const DIGEST_LIFETIME_MS: u64 = 10_000;
/// Revisions whose arrival is remembered.
const REMEMBERED_REVISIONS: usize = 256;
/// A digest is unanswered after this long, and a relay of another zone is
/// asked: the own zone's relays may be lost.
const DIGEST_ANSWER_MS: u64 = 800;
/// A member table that differs for this long is sent whole; until then news is
/// still spreading.
const TABLE_PATIENCE_MS: u64 = 15_000;
/// Members of a zone unheard for this long are not candidates for ownership.
pub const ZONE_LIFETIME_MS: u64 = 5_000;
/// A newcomer asks its seeds again after this long without an answer.
const JOIN_INTERVAL_MS: u64 = 500;

/// Zones of this many nodes spare their relays from owning instances.
const SPARING_ZONE_SIZE: usize = 12;

#[derive(Debug, Clone, Copy)]
struct Confirmed {
    revision: u64,
    heard: Instant,
}

/// A digest that waits for its report.
#[derive(Debug, Clone, Copy)]
struct SentDigest {
    sent: Instant,
    /// Sent to the own zone, and not yet tried elsewhere.
    may_try_elsewhere: bool,
}

/// The control plane of one node.
#[derive(Debug, Clone)]
pub struct ControlPlane {
    membership: Membership,
    config: ConfigState,
    gate: ServingGate,
    seeds: Vec<String>,
    confirmed: BTreeMap<String, Confirmed>,
    /// Nodes whose member table differs, and since when.
    differing: BTreeMap<String, Instant>,
    digests: BTreeMap<u64, SentDigest>,
    digest_sequence: u64,
    /// When this node first had a revision or a later one.
    reached: VecDeque<(u64, Instant)>,
    started: Option<Instant>,
    next_digest: Instant,
    next_report: Instant,
    next_join: Instant,
    rotation: usize,
    config_changed: bool,
    /// Whether a member table was received.
    joined: bool,
    /// Hash of the member table that the gate's scope was made from.
    scope_hash: Option<u64>,
}

impl ControlPlane {
    /// A node that knows only itself and the addresses of `seeds`.
    pub fn new(own: MemberRecord, seeds: Vec<String>, times: MembershipTimes, seed: u64) -> Self {
        let zone = ZoneName::from(own.zone.as_str());
        let region = RegionName::from(own.region.as_str());
        ControlPlane {
            gate: ServingGate::new(zone, region),
            membership: Membership::new(own, times, seed),
            config: ConfigState::default(),
            seeds,
            confirmed: BTreeMap::new(),
            differing: BTreeMap::new(),
            digests: BTreeMap::new(),
            digest_sequence: 0,
            reached: VecDeque::new(),
            started: None,
            next_digest: Instant::default(),
            next_report: Instant::default(),
            next_join: Instant::default(),
            rotation: 0,
            config_changed: false,
            joined: false,
            scope_hash: None,
        }
    }

    /// The member table.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The configuration in force.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// True once after the configuration moved.
    pub fn take_config_changed(&mut self) -> bool {
        std::mem::take(&mut self.config_changed)
    }

    /// True once after the member table changed.
    pub fn take_members_changed(&mut self) -> bool {
        self.membership.take_changed()
    }

    /// Marks this node as leaving.
    pub fn leave(&mut self) {
        self.membership.leave();
    }

    /// Says goodbye to all relays: this node has stopped serving.
    pub fn depart(&mut self) -> Vec<Outgoing> {
        let goodbye = self.membership.goodbye();
        let mut out = Vec::new();
        let zones: Vec<String> = self.membership.zones().keys().cloned().collect();
        for relay in zones.iter().flat_map(|zone| self.relays_without_self(zone)) {
            self.send(relay.as_str(), goodbye.clone(), &mut out);
        }
        out
    }

    /// Whether requests may be served at `now`.
    pub fn may_serve(&self, now: Instant) -> Result<(), NotServing> {
        self.gate.may_serve(now, self.config.revision() > 0)
    }

    /// The evidence by which the node may serve.
    pub fn gate(&self) -> &ServingGate {
        &self.gate
    }

    /// Age of the newest contact with the platform, in milliseconds.
    pub fn platform_age_ms(&self, now: Instant) -> u32 {
        self.gate.platform_age_ms(now)
    }

    /// What the zones last reported.
    pub fn zone_reports(&self, now: Instant) -> Vec<ZoneReport> {
        self.gate.reports(now)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.started.get_or_insert(now);
        self.refresh_scope();
        let mut out = self.membership.tick(now);
        self.join_seeds(now, &mut out);
        if now >= self.next_digest {
            self.next_digest = now.plus_millis(DIGEST_INTERVAL_MS);
            self.send_digest(now, &mut out);
        }
        self.chase_digests(now, &mut out);
        if now >= self.next_report {
            self.next_report = now.plus_millis(REPORT_INTERVAL_MS);
            self.send_reports(now, &mut out);
        }
        out
    }

    /// Tells the gate which zones there are, when the member table has changed.
    fn refresh_scope(&mut self) {
        let hash = self.membership.hash();
        if self.scope_hash == Some(hash) {
            return;
        }
        self.scope_hash = Some(hash);
        let zone = &self.membership.own().zone;
        let others = self
            .membership
            .live()
            .filter(|record| record.zone == *zone)
            .count()
            - 1;
        // Before it has been told of the others, a node only seems alone.
        let alone = others == 0 && (self.joined || !self.has_seeds());
        self.gate.set_zones(self.membership.zones(), alone);
    }

    fn has_seeds(&self) -> bool {
        self.seeds
            .iter()
            .any(|seed| *seed != self.membership.own().address)
    }

    fn join_seeds(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let alone = self.membership.live().count() == 1;
        if !alone || now < self.next_join {
            return;
        }
        self.next_join = now.plus_millis(JOIN_INTERVAL_MS);
        for address in &self.seeds {
            if *address != self.membership.own().address {
                out.push(Outgoing {
                    to: NodeName::from(""),
                    address: address.clone(),
                    message: self.membership.join(),
                });
            }
        }
    }

    fn relays_without_self(&self, zone: &str) -> Vec<NodeName> {
        let mut relays = self.membership.relays(zone);
        relays.retain(|relay| relay.as_str() != self.membership.own().node);
        relays
    }

    fn send_digest(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let zone = self.membership.own().zone.clone();
        self.send_digest_to_zone(now, &zone, out);
    }

    /// Sends a digest to one relay of `zone`, to each in turn.
    fn send_digest_to_zone(&mut self, now: Instant, zone: &str, out: &mut Vec<Outgoing>) {
        let relays = self.relays_without_self(zone);
        if relays.is_empty() {
            return;
        }
        self.rotation += 1;
        let relay = &relays[self.rotation % relays.len()];
        self.digest_sequence += 1;
        let digest = SentDigest {
            sent: now,
            may_try_elsewhere: zone == self.membership.own().zone,
        };
        self.digests.insert(self.digest_sequence, digest);
        self.digests
            .retain(|_, digest| now.millis_since(digest.sent) < DIGEST_LIFETIME_MS);
        let message = ControlMessage::ConfigDigest {
            sequence: self.digest_sequence,
            digest: self.config.digest(),
            members_hash: self.membership.hash(),
        };
        self.send(relay.as_str(), message, out);
    }

    /// Tries a relay of another zone for each digest that got no report.
    fn chase_digests(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let mut unanswered = 0;
        for digest in self.digests.values_mut() {
            if digest.may_try_elsewhere && now.millis_since(digest.sent) >= DIGEST_ANSWER_MS {
                digest.may_try_elsewhere = false;
                unanswered += 1;
            }
        }
        if unanswered == 0 {
            return;
        }
        let own = self.membership.own().zone.clone();
        let others: Vec<String> = self
            .membership
            .zones()
            .keys()
            .filter(|zone| **zone != own)
            .cloned()
            .collect();
        if !others.is_empty() {
            self.rotation += 1;
            let zone = others[self.rotation % others.len()].clone();
            self.send_digest_to_zone(now, &zone, out);
        }
    }

    /// A relay asks the relays of the other zones.
    fn send_reports(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        if !self.membership.is_relay() {
            return;
        }
        let own = self.membership.own().zone.clone();
        let zones: Vec<String> = self.membership.zones().keys().cloned().collect();
        for zone in zones.into_iter().filter(|zone| *zone != own) {
            self.send_digest_to_zone(now, &zone, out);
        }
    }

    fn send(&self, to: &str, message: ControlMessage, out: &mut Vec<Outgoing>) {
        if let Some(record) = self.membership.record(to) {
            out.push(Outgoing {
                to: NodeName::from(to),
                address: record.address.clone(),
                message,
            });
        }
    }

    /// Takes in that the platform, asked at `asked`, has shown every change up
    /// to `revision`.
    pub fn platform_heard(&mut self, asked: Instant, revision: u64) {
        if self.config.revision() >= revision {
            self.gate.platform_contact(asked);
        }
    }

    /// Takes in the platform's whole content, asked for at `asked`.
    pub fn platform_snapshot(
        &mut self,
        now: Instant,
        asked: Instant,
        revision: u64,
        documents: &[WireDocument],
    ) -> Vec<Outgoing> {
        let before = self.config.revision();
        let moved = self.config.apply_snapshot(revision, documents);
        self.platform_heard(asked, revision);
        self.after_apply(now, moved, before)
    }

    /// Takes in changes that the platform's watch reported; they are complete
    /// from the revision in force on.
    pub fn platform_changes(
        &mut self,
        now: Instant,
        revision: u64,
        documents: &[WireDocument],
    ) -> Vec<Outgoing> {
        let before = self.config.revision();
        let moved = self.config.apply(before, revision, documents).unwrap_or(false);
        self.after_apply(now, moved, before)
    }

    fn after_apply(&mut self, now: Instant, moved: bool, before: u64) -> Vec<Outgoing> {
        let mut out = Vec::new();
        if !moved {
            return out;
        }
        self.config_changed = true;
        self.reached.push_back((self.config.revision(), now));
        if self.reached.len() > REMEMBERED_REVISIONS {
            self.reached.pop_front();
        }
        self.push_to_zone(before, &mut out);
        out
    }

    /// Pushes what changed after `before` to this relay's share of its zone.
    fn push_to_zone(&self, before: u64, out: &mut Vec<Outgoing>) {
        let own = self.membership.own();
        let relays = self.membership.relays(&own.zone);
        let Some(rank) = relays.iter().position(|relay| relay.as_str() == own.node) else {
            return;
        };
        let delta = self.delta(before);
        for record in self.membership.live() {
            let in_zone = record.zone == own.zone && record.node != own.node;
            let share = placement::score(&record.node, "push") as usize % relays.len();
            if in_zone && share == rank {
                self.send(&record.node, delta.clone(), out);
            }
        }
    }

    fn delta(&self, since: u64) -> ControlMessage {
        ControlMessage::ConfigDelta {
            from: since,
            to: self.config.revision(),
            documents: self.config.changes_since(since),
        }
    }

    /// Takes in a message from `from`.
    pub fn receive(&mut self, now: Instant, from: &str, message: &ControlMessage) -> Vec<Outgoing> {
        match message {
            ControlMessage::ConfigDigest {
                sequence,
                digest,
                members_hash,
            } => self.digest_received(now, from, *sequence, digest, *members_hash),
            ControlMessage::ConfigReport {
                sequence,
                digest,
                platform_age_ms,
                zones,
            } => self.report_received(from, *sequence, digest, *platform_age_ms, zones),
            ControlMessage::ConfigDelta {
                from: since,
                to,
                documents,
            } => self.delta_received(now, from, *since, *to, documents),
            ControlMessage::Applied { revision } => {
                self.confirm(now, from, *revision);
                Vec::new()
            }
            ControlMessage::RevisionsRequest { sequence } => self.revisions_requested(now, from, *sequence),
            ControlMessage::ConfigPull { revision } => {
                let mut out = Vec::new();
                self.send(from, self.delta(*revision), &mut out);
                out
            }
            other => {
                let out = self.membership.receive(now, from, other);
                if matches!(other, ControlMessage::Table { .. }) {
                    self.joined = true;
                    self.scope_hash = None;
                    // A newcomer need not wait a whole interval for its configuration.
                    self.next_digest = now;
                }
                out
            }
        }
    }

    fn confirm(&mut self, now: Instant, node: &str, revision: u64) {
        let entry = self
            .confirmed
            .entry(node.to_owned())
            .or_insert(Confirmed { revision, heard: now });
        entry.revision = entry.revision.max(revision);
        entry.heard = now;
    }

    fn digest_received(
        &mut self,
        now: Instant,
        from: &str,
        sequence: u64,
        digest: &Digest,
        members_hash: u64,
    ) -> Vec<Outgoing> {
        self.confirm(now, from, digest.revision);
        let mut out = Vec::new();
        let report = ControlMessage::ConfigReport {
            sequence,
            digest: self.config.digest(),
            platform_age_ms: self.platform_age_ms(now),
            zones: self.gate.reports(now),
        };
        if digest.revision < self.config.revision() {
            self.send(from, self.delta(digest.revision), &mut out);
        }
        self.send(from, report, &mut out);
        if self.has_long_differed(now, from, members_hash) {
            self.send(from, self.membership.table(), &mut out);
        }
        out
    }

    fn has_long_differed(&mut self, now: Instant, from: &str, members_hash: u64) -> bool {
        if members_hash == self.membership.hash() {
            self.differing.remove(from);
            return false;
        }
        let since = *self.differing.entry(from.to_owned()).or_insert(now);
        let long = now.millis_since(since) >= TABLE_PATIENCE_MS;
        if long {
            self.differing.remove(from);
        }
        long
    }

    fn report_received(
        &mut self,
        from: &str,
        sequence: u64,
        digest: &Digest,
        platform_age_ms: u32,
        zones: &[ZoneReport],
    ) -> Vec<Outgoing> {
        let Some(SentDigest { sent: asked, .. }) = self.digests.remove(&sequence) else {
            return Vec::new();
        };
        for report in zones {
            self.gate.zone_report(asked, report);
        }
        self.adopt_contact(asked, digest, platform_age_ms);
        self.pull_if_different(from, digest)
    }

    /// A peer's contact counts only with a configuration at least as new as
    /// the peer's: the contact vouches for that revision.
    fn adopt_contact(&mut self, asked: Instant, digest: &Digest, platform_age_ms: u32) {
        if self.config.revision() < digest.revision {
            return;
        }
        if let Some(at) = asked.0.checked_sub(u64::from(platform_age_ms) * 1_000) {
            self.gate.platform_contact(Instant(at));
        }
    }

    fn pull_if_different(&self, from: &str, digest: &Digest) -> Vec<Outgoing> {
        let own = self.config.digest();
        let mut out = Vec::new();
        if digest.revision > own.revision {
            let revision = own.revision;
            self.send(from, ControlMessage::ConfigPull { revision }, &mut out);
        } else if digest.revision == own.revision && digest.hash != own.hash {
            // The same revision with other documents: take the whole content.
            self.send(from, ControlMessage::ConfigPull { revision: 0 }, &mut out);
        }
        out
    }

    fn delta_received(
        &mut self,
        now: Instant,
        from: &str,
        since: u64,
        to: u64,
        documents: &[WireDocument],
    ) -> Vec<Outgoing> {
        let before = self.config.revision();
        match self.config.apply(since, to, documents) {
            Ok(moved) => {
                let mut out = self.after_apply(now, moved, before);
                let revision = self.config.revision();
                self.send(from, ControlMessage::Applied { revision }, &mut out);
                if moved {
                    self.send_digest(now, &mut out);
                }
                out
            }
            Err(_) => {
                let mut out = Vec::new();
                self.send(from, ControlMessage::ConfigPull { revision: before }, &mut out);
                out
            }
        }
    }

    fn revisions_requested(&mut self, now: Instant, from: &str, sequence: u64) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let nodes = self.zone_revisions(now);
        self.send(from, ControlMessage::Revisions { sequence, nodes }, &mut out);
        out
    }

    /// Revisions in force in this node's zone, as far as it has heard.
    pub fn zone_revisions(&self, now: Instant) -> Vec<NodeRevision> {
        let own = self.membership.own();
        let mut nodes = vec![NodeRevision {
            node: own.node.clone(),
            revision: self.config.revision(),
            age_ms: 0,
        }];
        for (node, confirmed) in &self.confirmed {
            nodes.push(NodeRevision {
                node: node.clone(),
                revision: confirmed.revision,
                age_ms: u32::try_from(now.millis_since(confirmed.heard)).unwrap_or(u32::MAX),
            });
        }
        nodes
    }

    /// The zones heard lately, the own one included.
    pub fn reachable_zones(&self, now: Instant) -> BTreeSet<String> {
        let own = &self.membership.own().zone;
        self.membership
            .zones()
            .keys()
            .filter(|zone| *zone == own || self.zone_is_heard(now, zone))
            .cloned()
            .collect()
    }

    /// The nodes that may own instances, by the members and zones heard lately.
    pub fn owner_table(&self, now: Instant) -> OwnerTable {
        let own = self.membership.own();
        let reachable = self.reachable_zones(now);
        let alone = self.membership.live().count() == 1;
        let spared = self.spared_relays();
        let candidates = self
            .membership
            .live()
            .filter(|record| record.leaving == 0 || alone && record.node == own.node)
            .filter(|record| !spared.contains(&record.node))
            .filter(|record| reachable.contains(&record.zone))
            .map(|record| OwnerCandidate {
                node: NodeName::from(record.node.as_str()),
                zone: ZoneName::from(record.zone.as_str()),
                region: RegionName::from(record.region.as_str()),
            })
            .collect();
        OwnerTable { candidates }
    }

    /// Relays of zones that are large enough to do without them as owners: a
    /// relay's messages and an owner's probes are not to meet on one node.
    fn spared_relays(&self) -> BTreeSet<String> {
        let zones = self.membership.zones();
        zones
            .keys()
            .filter(|zone| {
                let size = self
                    .membership
                    .live()
                    .filter(|record| record.zone == **zone)
                    .count();
                size >= SPARING_ZONE_SIZE
            })
            .flat_map(|zone| self.membership.relays(zone))
            .map(|relay| relay.0)
            .collect()
    }

    fn zone_is_heard(&self, now: Instant, zone: &str) -> bool {
        let Some(started) = self.started else {
            return true;
        };
        let age = self.gate.zone_age_ms(now, &ZoneName::from(zone));
        age.unwrap_or(now.millis_since(started)) <= ZONE_LIFETIME_MS
    }
}
