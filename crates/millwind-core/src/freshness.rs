//! Whether a node may serve: it must know that its configuration is current,
//! or that the platform is out for everyone.
//!
//! Each contact with the platform is passed on with its age. A node without a
//! contact younger than the bound serves only while most zones of its scope
//! say that they lack one too. The scope is the node's region, or all zones
//! when the region has only one. Which zones there are is known from the member
//! table: a zone that was not heard does not agree, and the own zone agrees by
//! the word of one of its relays, not by the node's own.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use millwind_wire::control::ZoneReport;

use crate::Instant;
use crate::ids::{RegionName, ZoneName};

/// A node without a contact or an excuse younger than this stops serving.
pub const FRESHNESS_BOUND_MS: u64 = 8_000;
/// Added to the bound before others count on the node having stopped; covers
/// clock rates that differ and a check that was just passed.
pub const FRESHNESS_MARGIN_MS: u64 = 1_000;
const UNKNOWN_AGE_MS: u32 = u32::MAX;

/// Why a node does not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotServing {
    /// It has never had a configuration.
    NoConfiguration,
    /// It hears neither the platform nor enough zones.
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

#[derive(Debug, Clone)]
struct Heard {
    region: RegionName,
    made: Instant,
    platform_contact: Option<Instant>,
}

/// Keeps the evidence that a node may serve.
#[derive(Debug, Clone)]
pub struct ServingGate {
    zone: ZoneName,
    region: RegionName,
    platform_contact: Option<Instant>,
    zones: BTreeMap<ZoneName, Heard>,
    scope: Scope,
}

/// The zones whose word counts for a node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Scope {
    /// Zones of the scope, the own one included.
    pub zones: BTreeSet<ZoneName>,
    /// No other node runs in the own zone, so that no relay can speak for it.
    pub alone_in_zone: bool,
}

impl ServingGate {
    /// A gate for a node in `zone` of `region` that has heard nothing yet.
    pub fn new(zone: ZoneName, region: RegionName) -> Self {
        ServingGate {
            zone,
            region,
            platform_contact: None,
            zones: BTreeMap::new(),
            scope: Scope::default(),
        }
    }

    /// Takes in the zones there are, with their regions, by the member table.
    pub fn set_zones(&mut self, zones: &BTreeMap<String, String>, alone_in_zone: bool) {
        let in_region = zones.values().filter(|region| **region == self.region.0).count();
        let whole = in_region <= 1;
        let zones = zones
            .iter()
            .filter(|(_, region)| whole || **region == self.region.0)
            .map(|(zone, _)| ZoneName::from(zone.as_str()))
            .collect();
        self.scope = Scope { zones, alone_in_zone };
    }

    /// Takes in a contact with the platform at `at`, own or passed on by a
    /// peer whose configuration is not newer than this node's.
    pub fn platform_contact(&mut self, at: Instant) {
        self.platform_contact = self.platform_contact.max(Some(at));
    }

    /// Age of the newest contact, in milliseconds.
    pub fn platform_age_ms(&self, now: Instant) -> u32 {
        age_ms(now, self.platform_contact)
    }

    /// Takes in what a zone reported; its ages count from `asked`.
    pub fn zone_report(&mut self, asked: Instant, report: &ZoneReport) {
        let made = earlier(asked, report.age_ms);
        let contact = (report.platform_age_ms != UNKNOWN_AGE_MS)
            .then(|| earlier(made.unwrap_or_default(), report.platform_age_ms))
            .flatten();
        let Some(made) = made else {
            return;
        };
        let zone = ZoneName::from(report.zone.as_str());
        if self.zones.get(&zone).is_some_and(|held| held.made >= made) {
            return;
        }
        self.zones.insert(
            zone,
            Heard {
                region: RegionName::from(report.region.as_str()),
                made,
                platform_contact: contact,
            },
        );
    }

    /// Reports to pass on: the own zone's, made now, then those of others.
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
            .map(|(zone, heard)| ZoneReport {
                zone: zone.0.clone(),
                region: heard.region.0.clone(),
                age_ms: age_ms(now, Some(heard.made)),
                platform_age_ms: age_ms(heard.made, heard.platform_contact),
            });
        std::iter::once(own).chain(others).collect()
    }

    /// How long ago anything was heard of `zone`, in milliseconds.
    pub fn zone_age_ms(&self, now: Instant, zone: &ZoneName) -> Option<u64> {
        self.zones.get(zone).map(|heard| now.millis_since(heard.made))
    }

    /// Whether the node may serve at `now`.
    ///
    /// Must hold because an accepted change waits for every node that has
    /// neither confirmed it nor, by this rule, stopped.
    pub fn may_serve(&self, now: Instant, has_configuration: bool) -> Result<(), NotServing> {
        if !has_configuration {
            return Err(NotServing::NoConfiguration);
        }
        if u64::from(self.platform_age_ms(now)) <= FRESHNESS_BOUND_MS {
            return Ok(());
        }
        if self.outage_is_shared(now) {
            return Ok(());
        }
        Err(NotServing::Isolated)
    }

    /// True when most zones of the scope were heard lately and lack a contact
    /// with the platform themselves.
    fn outage_is_shared(&self, now: Instant) -> bool {
        let agreeing = self
            .scope
            .zones
            .iter()
            .filter(|zone| self.agrees(now, zone))
            .count();
        agreeing * 2 > self.scope.zones.len()
    }

    fn agrees(&self, now: Instant, zone: &ZoneName) -> bool {
        if *zone == self.zone && self.scope.alone_in_zone {
            return true;
        }
        let Some(heard) = self.zones.get(zone) else {
            return false;
        };
        let heard_lately = now.millis_since(heard.made) <= FRESHNESS_BOUND_MS;
        let has_contact = heard
            .platform_contact
            .is_some_and(|contact| now.millis_since(contact) <= FRESHNESS_BOUND_MS);
        heard_lately && !has_contact
    }
}

fn earlier(now: Instant, age_ms: u32) -> Option<Instant> {
    now.0.checked_sub(u64::from(age_ms) * 1_000).map(Instant)
}

fn age_ms(now: Instant, then: Option<Instant>) -> u32 {
    then.map_or(UNKNOWN_AGE_MS, |then| {
        u32::try_from(now.millis_since(then)).unwrap_or(UNKNOWN_AGE_MS)
    })
}
