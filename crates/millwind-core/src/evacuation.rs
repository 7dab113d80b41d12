//! Zones that operators have asked to be emptied: nothing new goes to their
//! instances until the request is taken back.

use std::collections::BTreeMap;

use crate::Instant;
use crate::ids::ZoneName;

/// The zones that are being evacuated, as of one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evacuations {
    /// By zone, when this node first heard of the request.
    since: BTreeMap<ZoneName, Instant>,
    /// Store revision up to which the requests are known; zero for none.
    revision: u64,
}

/// What a newer listing changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationChange {
    /// Zones to be emptied from now on.
    pub begun: Vec<ZoneName>,
    /// Zones that may be used again.
    pub taken_back: Vec<ZoneName>,
}

impl EvacuationChange {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.taken_back.is_empty()
    }
}

impl Evacuations {
    /// Takes in all requests that the store held at `revision`; one that is older
    /// than what is known changes nothing.
    pub fn apply(&mut self, zones: &[ZoneName], revision: u64, now: Instant) -> EvacuationChange {
        if revision < self.revision {
            return EvacuationChange::default();
        }
        self.revision = revision;
        let begun: Vec<_> = zones
            .iter()
            .filter(|zone| !self.includes(zone))
            .cloned()
            .collect();
        let ended = self.since.keys().filter(|zone| !zones.contains(zone));
        let taken_back: Vec<_> = ended.cloned().collect();
        self.since.retain(|zone, _| zones.contains(zone));
        for zone in &begun {
            self.since.insert(zone.clone(), now);
        }
        EvacuationChange { begun, taken_back }
    }

    /// Whether `zone` is being evacuated.
    pub fn includes(&self, zone: &ZoneName) -> bool {
        self.since.contains_key(zone)
    }

    /// Since when this node knows that `zone` is being evacuated; none where it is not.
    pub fn since(&self, zone: &ZoneName) -> Option<Instant> {
        self.since.get(zone).copied()
    }

    /// The zones, each with the time when this node first heard of its request.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, Instant)> {
        self.since.iter().map(|(zone, since)| (zone, *since))
    }

    /// Store revision up to which the requests are known; zero for none.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
