//! Decides whether a node may serve: it must know that its configuration is current, or that
//! the configuration platform is unreachable for the other zones too.
//!
//! Nodes pass on each contact with the platform together with its age. A node without a
//! contact younger than [`FRESHNESS_BOUND_MS`] serves only while a majority of the zones in
//! its scope report that they lack a contact too. The scope is the node's region, or all
//! zones if the region has only one. The member table lists the zones. A zone without a
//! recent report does not count towards the majority, and the node's own zone counts only
//! by the report of one of its relays, unless no other node runs there.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use millwind_wire::control::ZoneReport;

use crate::Instant;
use crate::ids::{RegionName, ZoneName};

/// Age of the newest contact above which a node stops serving, in milliseconds, unless the
/// outage is shared.
pub const FRESHNESS_BOUND_MS: u64 = 8_000;
/// Added to the bound before other nodes assume that a node has stopped serving, in
/// milliseconds. Covers differing clock rates and a check that has just passed.
pub const FRESHNESS_MARGIN_MS: u64 = 1_000;
const UNKNOWN_AGE_MS: u32 = u32::MAX;

/// Reason why a node does not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotServing {
    /// The node has never received a configuration.
    NoConfiguration,
    /// The node has no recent contact with the platform, and too few zones report an outage.
    Isolated,
}

impl fmt::Display for NotServing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            NotServing::NoConfiguration => "no_configuration",
            NotServing::Isolated => "isolated",
        })
    }
}

/// The newest report of a zone.
#[derive(Debug, Clone)]
struct StoredReport {
    region: RegionName,
    reported_at: Instant,
    platform_contact: Option<Instant>,
}

/// Evidence for the decision whether a node may serve.
#[derive(Debug, Clone)]
pub struct ServingGate {
    zone: ZoneName,
    region: RegionName,
    platform_contact: Option<Instant>,
    zones: BTreeMap<ZoneName, StoredReport>,
    scope: Scope,
}

/// The zones whose reports count for a node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Scope {
    /// The zones in the scope, including the node's own.
    pub zones: BTreeSet<ZoneName>,
    /// Whether no other node runs in the own zone, so that no relay can report for it.
    pub alone_in_zone: bool,
}

impl ServingGate {
    /// Creates a gate for a node in `zone` of `region` that has received nothing yet.
    pub fn new(zone: ZoneName, region: RegionName) -> Self {
        ServingGate {
            zone,
            region,
            platform_contact: None,
            zones: BTreeMap::new(),
            scope: Scope::default(),
        }
    }

    /// Sets the existing zones and their regions, as the member table lists them.
    pub fn set_zones(&mut self, zones: &BTreeMap<String, String>, alone_in_zone: bool) {
        let in_region = zones.values().filter(|region| **region == self.region.0).count();
        let has_global_scope = in_region <= 1;
        let zones = zones
            .iter()
            .filter(|(_, region)| has_global_scope || **region == self.region.0)
            .map(|(zone, _)| ZoneName::from(zone.as_str()))
            .collect();
        self.scope = Scope { zones, alone_in_zone };
    }

    /// Records a contact with the platform at `at`, made by this node or passed on by a peer
    /// whose configuration is not newer than this node's.
    pub fn record_platform_contact(&mut self, at: Instant) {
        self.platform_contact = self.platform_contact.max(Some(at));
    }

    /// Returns the age of the newest contact in milliseconds, or `u32::MAX` without a contact.
    pub fn platform_age_ms(&self, now: Instant) -> u32 {
        age_ms(now, self.platform_contact)
    }

    /// Records the report of a zone. The ages in the report count from `asked`.
    pub fn record_zone_report(&mut self, asked: Instant, report: &ZoneReport) {
        let reported_at = minus_age(asked, report.age_ms);
        let contact = (report.platform_age_ms != UNKNOWN_AGE_MS)
            .then(|| minus_age(reported_at.unwrap_or_default(), report.platform_age_ms))
            .flatten();
        let Some(reported_at) = reported_at else {
            return;
        };
        let zone = ZoneName::from(report.zone.as_str());
        if self
            .zones
            .get(&zone)
            .is_some_and(|stored| stored.reported_at >= reported_at)
        {
            return;
        }
        self.zones.insert(
            zone,
            StoredReport {
                region: RegionName::from(report.region.as_str()),
                reported_at,
                platform_contact: contact,
            },
        );
    }

    /// Returns the reports to pass on: the own zone's, made now, then those of other zones.
    pub fn reports(&self, now: Instant) -> Vec<ZoneReport> {
        let own = ZoneReport {
            zone: self.zone.0.clone(),
            region: self.region.0.clone(),
            age_ms: 0,
            platform_age_ms: self.platform_age_ms(now),
        };
        let others = self
            .zones
            .iter()
            .filter(|(zone, _)| **zone != self.zone)
            .map(|(zone, stored)| ZoneReport {
                zone: zone.0.clone(),
                region: stored.region.0.clone(),
                age_ms: age_ms(now, Some(stored.reported_at)),
                platform_age_ms: age_ms(stored.reported_at, stored.platform_contact),
            });
        std::iter::once(own).chain(others).collect()
    }

    /// Returns the age of the newest report of `zone`, in milliseconds.
    pub fn zone_age_ms(&self, now: Instant, zone: &ZoneName) -> Option<u64> {
        self.zones
            .get(zone)
            .map(|stored| now.millis_since(stored.reported_at))
    }

    /// Returns whether the node may serve at `now`, or why it may not.
    ///
    /// An accepted configuration change waits for every node that has neither confirmed the
    /// change nor stopped serving by this rule, so the rule must not let a node serve longer
    /// than the other nodes assume.
    pub fn may_serve(&self, now: Instant, has_configuration: bool) -> Result<(), NotServing> {
        if !has_configuration {
            return Err(NotServing::NoConfiguration);
        }
        if u64::from(self.platform_age_ms(now)) <= FRESHNESS_BOUND_MS {
            return Ok(());
        }
        if self.majority_lacks_contact(now) {
            return Ok(());
        }
        Err(NotServing::Isolated)
    }

    /// Returns whether a majority of the zones in scope recently reported that they lack a
    /// contact with the platform.
    fn majority_lacks_contact(&self, now: Instant) -> bool {
        let without_contact = self
            .scope
            .zones
            .iter()
            .filter(|zone| self.zone_lacks_contact(now, zone))
            .count();
        without_contact * 2 > self.scope.zones.len()
    }

    fn zone_lacks_contact(&self, now: Instant, zone: &ZoneName) -> bool {
        if *zone == self.zone && self.scope.alone_in_zone {
            return true;
        }
        let Some(stored) = self.zones.get(zone) else {
            return false;
        };
        let is_recent = now.millis_since(stored.reported_at) <= FRESHNESS_BOUND_MS;
        let has_contact = stored
            .platform_contact
            .is_some_and(|contact| now.millis_since(contact) <= FRESHNESS_BOUND_MS);
        is_recent && !has_contact
    }
}

fn minus_age(now: Instant, age_ms: u32) -> Option<Instant> {
    now.0.checked_sub(u64::from(age_ms) * 1_000).map(Instant)
}

fn age_ms(now: Instant, then: Option<Instant>) -> u32 {
    then.map_or(UNKNOWN_AGE_MS, |then| {
        u32::try_from(now.millis_since(then)).unwrap_or(UNKNOWN_AGE_MS)
    })
}
