//! The control plane of one node: cluster membership, configuration and permission to
//! serve, as a state machine without I/O that the daemon and the simulations drive.
//!
//! A few relays per zone watch the platform and push each change to the nodes of their
//! zone. Every node also sends a digest to a relay at intervals, which repairs lost
//! pushes and tells the node the age of the zone's last contact with the platform. Relays
//! exchange digests with the relays of other zones in the same way. The load on the
//! platform therefore grows with the number of zones rather than nodes.
//!
//! Ages in a report are relative to the time at which the node sent its digest, so that a
//! delayed report does not appear fresh.

mod rollout_state;

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

pub use rollout_state::RolloutState;

/// Interval at which a node sends digests to a relay of its zone, in milliseconds.
pub const DIGEST_INTERVAL_MS: u64 = 2_500;
/// Interval at which a relay sends digests to the other zones, in milliseconds.
pub const ZONE_DIGEST_INTERVAL_MS: u64 = 1_000;
/// Time after which a digest without a report is discarded, in milliseconds.
const DIGEST_LIFETIME_MS: u64 = 10_000;
/// Maximum number of revisions for which the time of arrival is kept.
const MAX_APPLIED_REVISIONS: usize = 256;
/// Time after which an unanswered digest is sent to a relay of another zone, in
/// milliseconds, since all relays of the node's own zone may have failed.
const DIGEST_RETRY_MS: u64 = 800;
/// Time for which a node's member table must differ before it is sent the full table, in
/// milliseconds. Shorter differences are expected while membership updates propagate.
const TABLE_MISMATCH_GRACE_MS: u64 = 15_000;
/// Time without a report from a zone after which its members are no longer candidates
/// for ownership, in milliseconds.
pub const ZONE_LIFETIME_MS: u64 = 5_000;
/// Interval at which a node that knows no other members contacts its seeds, in
/// milliseconds.
const JOIN_INTERVAL_MS: u64 = 500;

/// Minimum number of nodes at which a zone exempts its relays from owning instances.
const RELAY_EXEMPTION_ZONE_SIZE: usize = 12;

/// The highest revision that a node has reported.
#[derive(Debug, Clone, Copy)]
struct ConfirmedRevision {
    revision: u64,
    confirmed_at: Instant,
}

/// A digest whose report is outstanding.
#[derive(Debug, Clone, Copy)]
struct SentDigest {
    sent_at: Instant,
    /// The digest went to the node's own zone and was not yet retried in another one.
    can_retry_elsewhere: bool,
}

/// The control plane of one node; see the module documentation.
#[derive(Debug, Clone)]
pub struct ControlPlane {
    membership: Membership,
    config: ConfigState,
    gate: ServingGate,
    seeds: Vec<String>,
    confirmed: BTreeMap<String, ConfirmedRevision>,
    /// Nodes whose member table differs from this node's, with the time since which it does.
    mismatched_since: BTreeMap<String, Instant>,
    digests: BTreeMap<u64, SentDigest>,
    digest_sequence: u64,
    /// Revisions in the order in which they came into force on this node, with the time.
    applied_revisions: VecDeque<(u64, Instant)>,
    started: Option<Instant>,
    next_digest: Instant,
    next_zone_digest: Instant,
    next_join: Instant,
    relay_rotation: usize,
    config_changed: bool,
    /// Whether another node has sent its member table.
    has_joined: bool,
    /// Hash of the member table from which the serving gate's scope was last derived.
    scope_hash: Option<u64>,
}

impl ControlPlane {
    /// Creates the control plane of a node that knows only itself and the addresses of its
    /// `seeds`; `seed` initializes the random order of membership probes.
    pub fn new(own: MemberRecord, seeds: Vec<String>, times: MembershipTimes, seed: u64) -> Self {
        let zone = ZoneName::from(own.zone.as_str());
        let region = RegionName::from(own.region.as_str());
        ControlPlane {
            gate: ServingGate::new(zone, region),
            membership: Membership::new(own, times, seed),
            config: ConfigState::default(),
            seeds,
            confirmed: BTreeMap::new(),
            mismatched_since: BTreeMap::new(),
            digests: BTreeMap::new(),
            digest_sequence: 0,
            applied_revisions: VecDeque::new(),
            started: None,
            next_digest: Instant::default(),
            next_zone_digest: Instant::default(),
            next_join: Instant::default(),
            relay_rotation: 0,
            config_changed: false,
            has_joined: false,
            scope_hash: None,
        }
    }

    /// Returns the member table.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Returns whether the configuration changed since the last call.
    pub fn take_config_changed(&mut self) -> bool {
        std::mem::take(&mut self.config_changed)
    }

    /// Returns whether the member table changed since the last call.
    pub fn take_members_changed(&mut self) -> bool {
        self.membership.take_changed()
    }

    /// Marks this node as leaving in the member table.
    pub fn leave(&mut self) {
        self.membership.leave();
    }

    /// Announces to all relays that this node has stopped serving.
    pub fn announce_departure(&mut self) -> Vec<Outgoing> {
        let message = self.membership.stopped_message();
        let mut out = Vec::new();
        let zones: Vec<String> = self.membership.zones().keys().cloned().collect();
        for relay in zones.iter().flat_map(|zone| self.relays_without_self(zone)) {
            self.send(relay.as_str(), message.clone(), &mut out);
        }
        out
    }

    /// Checks whether this node may serve requests at `now`.
    pub fn may_serve(&self, now: Instant) -> Result<(), NotServing> {
        self.gate.may_serve(now, self.config.revision() > 0)
    }

    /// Returns the serving gate, which tracks contact with the platform and other zones.
    pub fn gate(&self) -> &ServingGate {
        &self.gate
    }

    /// Returns the age of the most recent contact with the platform, in milliseconds.
    pub fn platform_age_ms(&self, now: Instant) -> u32 {
        self.gate.platform_age_ms(now)
    }

    /// Returns the most recent report of each zone.
    pub fn zone_reports(&self, now: Instant) -> Vec<ZoneReport> {
        self.gate.reports(now)
    }

    /// Advances the timers to `now` and returns the messages that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.started.get_or_insert(now);
        self.refresh_scope();
        let mut out = self.membership.tick(now);
        self.join_seeds(now, &mut out);
        if now >= self.next_digest {
            self.next_digest = now.plus_millis(DIGEST_INTERVAL_MS);
            self.send_digest(now, &mut out);
        }
        self.retry_unanswered_digests(now, &mut out);
        if now >= self.next_zone_digest {
            self.next_zone_digest = now.plus_millis(ZONE_DIGEST_INTERVAL_MS);
            self.send_digests_to_other_zones(now, &mut out);
        }
        out
    }

    /// Passes the known zones to the serving gate if the member table has changed.
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
        // A node that has not joined yet knows no other members, so it cannot conclude that
        // it is the only node of its zone.
        let alone = others == 0 && (self.has_joined || !self.has_seeds());
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
                    message: self.membership.join_message(),
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

    /// Sends a digest to one relay of `zone`, selected by rotation.
    fn send_digest_to_zone(&mut self, now: Instant, zone: &str, out: &mut Vec<Outgoing>) {
        let relays = self.relays_without_self(zone);
        if relays.is_empty() {
            return;
        }
        self.relay_rotation += 1;
        let relay = &relays[self.relay_rotation % relays.len()];
        self.digest_sequence += 1;
        let digest = SentDigest {
            sent_at: now,
            can_retry_elsewhere: zone == self.membership.own().zone,
        };
        self.digests.insert(self.digest_sequence, digest);
        self.digests
            .retain(|_, digest| now.millis_since(digest.sent_at) < DIGEST_LIFETIME_MS);
        let message = ControlMessage::ConfigDigest {
            sequence: self.digest_sequence,
            digest: self.config.digest(),
            members_hash: self.membership.hash(),
        };
        self.send(relay.as_str(), message, out);
    }

    /// Sends a digest to a relay of another zone if a digest to the node's own zone has not
    /// been answered in time.
    fn retry_unanswered_digests(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let mut unanswered = 0;
        for digest in self.digests.values_mut() {
            if digest.can_retry_elsewhere && now.millis_since(digest.sent_at) >= DIGEST_RETRY_MS {
                digest.can_retry_elsewhere = false;
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
            self.relay_rotation += 1;
            let zone = others[self.relay_rotation % others.len()].clone();
            self.send_digest_to_zone(now, &zone, out);
        }
    }

    /// Sends a digest to each of the other zones if this node is a relay.
    fn send_digests_to_other_zones(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
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

    /// Records a contact with the platform that was requested at `asked` and is complete up
    /// to `revision`. Ignored if the configuration in force is older.
    pub fn record_platform_contact(&mut self, asked: Instant, revision: u64) {
        if self.config.revision() >= revision {
            self.gate.record_platform_contact(asked);
        }
    }

    /// Applies the platform's full content, which was requested at `asked`, and returns the
    /// messages that distribute it.
    pub fn platform_snapshot(
        &mut self,
        now: Instant,
        asked: Instant,
        revision: u64,
        documents: &[WireDocument],
    ) -> Vec<Outgoing> {
        let before = self.config.revision();
        let is_changed = self.config.apply_snapshot(revision, documents);
        self.record_platform_contact(asked, revision);
        self.after_apply(now, is_changed, before)
    }

    /// Applies changes reported by a watch on the platform and returns the messages that
    /// distribute them. The changes are complete from the revision in force to `revision`.
    pub fn platform_changes(
        &mut self,
        now: Instant,
        revision: u64,
        documents: &[WireDocument],
    ) -> Vec<Outgoing> {
        let before = self.config.revision();
        let is_changed = self.config.apply(before, revision, documents).unwrap_or(false);
        self.after_apply(now, is_changed, before)
    }

    fn after_apply(&mut self, now: Instant, is_changed: bool, before: u64) -> Vec<Outgoing> {
        let mut out = Vec::new();
        if !is_changed {
            return out;
        }
        self.config_changed = true;
        self.applied_revisions.push_back((self.config.revision(), now));
        if self.applied_revisions.len() > MAX_APPLIED_REVISIONS {
            self.applied_revisions.pop_front();
        }
        self.push_to_zone(before, &mut out);
        out
    }

    /// Sends the changes after `before` to this relay's share of the nodes in its zone.
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

    /// Handles a message from the node `from` and returns the messages to send.
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
                    self.has_joined = true;
                    self.scope_hash = None;
                    // A node that has just joined requests its configuration immediately.
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
            .or_insert(ConfirmedRevision {
                revision,
                confirmed_at: now,
            });
        entry.revision = entry.revision.max(revision);
        entry.confirmed_at = now;
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
        if self.has_persistent_mismatch(now, from, members_hash) {
            self.send(from, self.membership.table_message(), &mut out);
        }
        out
    }

    fn has_persistent_mismatch(&mut self, now: Instant, from: &str, members_hash: u64) -> bool {
        if members_hash == self.membership.hash() {
            self.mismatched_since.remove(from);
            return false;
        }
        let since = *self.mismatched_since.entry(from.to_owned()).or_insert(now);
        let is_persistent = now.millis_since(since) >= TABLE_MISMATCH_GRACE_MS;
        if is_persistent {
            self.mismatched_since.remove(from);
        }
        is_persistent
    }

    fn report_received(
        &mut self,
        from: &str,
        sequence: u64,
        digest: &Digest,
        platform_age_ms: u32,
        zones: &[ZoneReport],
    ) -> Vec<Outgoing> {
        let Some(SentDigest { sent_at: asked, .. }) = self.digests.remove(&sequence) else {
            return Vec::new();
        };
        for report in zones {
            self.gate.record_zone_report(asked, report);
        }
        self.adopt_platform_contact(asked, digest, platform_age_ms);
        self.pull_if_different(from, digest)
    }

    /// Adopts a peer's contact with the platform. The contact proves that the peer's
    /// revision is current, so it does not count if this node's revision is older.
    fn adopt_platform_contact(&mut self, asked: Instant, digest: &Digest, platform_age_ms: u32) {
        if self.config.revision() < digest.revision {
            return;
        }
        if let Some(at) = asked.0.checked_sub(u64::from(platform_age_ms) * 1_000) {
            self.gate.record_platform_contact(Instant(at));
        }
    }

    fn pull_if_different(&self, from: &str, digest: &Digest) -> Vec<Outgoing> {
        let own = self.config.digest();
        let mut out = Vec::new();
        if digest.revision > own.revision {
            let revision = own.revision;
            self.send(from, ControlMessage::ConfigPull { revision }, &mut out);
        } else if digest.revision == own.revision && digest.hash != own.hash {
            // The documents differ although the revision is the same, so all are requested.
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
            Ok(is_changed) => {
                let mut out = self.after_apply(now, is_changed, before);
                let revision = self.config.revision();
                self.send(from, ControlMessage::Applied { revision }, &mut out);
                if is_changed {
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

    /// Returns the revision of this node and those that other nodes have reported to it.
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
                age_ms: u32::try_from(now.millis_since(confirmed.confirmed_at)).unwrap_or(u32::MAX),
            });
        }
        nodes
    }

    /// Returns this node's own zone and the zones with a recent report.
    pub fn reachable_zones(&self, now: Instant) -> BTreeSet<String> {
        let own = &self.membership.own().zone;
        self.membership
            .zones()
            .keys()
            .filter(|zone| *zone == own || self.is_zone_reachable(now, zone))
            .cloned()
            .collect()
    }

    /// Returns the nodes that may own instances: live members of reachable zones that are
    /// neither leaving nor exempt.
    pub fn owner_table(&self, now: Instant) -> OwnerTable {
        let own = self.membership.own();
        let reachable = self.reachable_zones(now);
        let alone = self.membership.live().count() == 1;
        let exempt = self.exempt_relays();
        let candidates = self
            .membership
            .live()
            .filter(|record| record.leaving == 0 || alone && record.node == own.node)
            .filter(|record| !exempt.contains(&record.node))
            .filter(|record| reachable.contains(&record.zone))
            .map(|record| OwnerCandidate {
                node: NodeName::from(record.node.as_str()),
                zone: ZoneName::from(record.zone.as_str()),
                region: RegionName::from(record.region.as_str()),
            })
            .collect();
        OwnerTable { candidates }
    }

    /// Returns the relays of zones that are large enough to assign instances to other
    /// nodes. This separates the load of relaying from that of probing instances.
    fn exempt_relays(&self) -> BTreeSet<String> {
        let zones = self.membership.zones();
        zones
            .keys()
            .filter(|zone| {
                let size = self
                    .membership
                    .live()
                    .filter(|record| record.zone == **zone)
                    .count();
                size >= RELAY_EXEMPTION_ZONE_SIZE
            })
            .flat_map(|zone| self.membership.relays(zone))
            .map(|relay| relay.0)
            .collect()
    }

    fn is_zone_reachable(&self, now: Instant, zone: &str) -> bool {
        let Some(started) = self.started else {
            return true;
        };
        let age = self.gate.zone_age_ms(now, &ZoneName::from(zone));
        age.unwrap_or(now.millis_since(started)) <= ZONE_LIFETIME_MS
    }
}
