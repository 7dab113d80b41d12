//! Zones that operators have asked to be emptied: nothing new goes to their
//! instances until the request is taken back.

use std::collections::BTreeMap;

use millwind_wire::store_revision::StoreRevision;

use crate::Instant;
use crate::ids::ZoneName;

/// The zones that are being evacuated, as of one revision of the store.
///
/// A request may have been acknowledged before this node heard of it: a zone counts
/// from the time since when it may have been asked for, so that a node that hears late
/// is not late in leaving the zone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evacuations {
    /// By zone, since when its evacuation may have been asked for, as far as this node
    /// knows.
    since: BTreeMap<ZoneName, Instant>,
    /// By zone that may be used again, when this node heard that it may.
    returned: BTreeMap<ZoneName, Instant>,
    /// Store revision up to which the requests are known; none where they are not.
    revision: StoreRevision,
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

/// A change of one request, as a watch of the store tells of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationEvent {
    /// The zone.
    pub zone: ZoneName,
    /// It is asked for; else taken back.
    pub is_requested: bool,
    /// Store revision of the change.
    pub revision: StoreRevision,
}

/// One request with the time since when it may have been made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatedEvacuation {
    /// The zone.
    pub zone: ZoneName,
    /// Since when it may have been asked for.
    pub since: Instant,
}

impl Evacuations {
    /// Takes in all requests that the store held at `revision`; one that is older
    /// than what is known changes nothing. Those that are new here may have been made
    /// at `since`.
    pub fn apply(&mut self, zones: &[ZoneName], revision: StoreRevision, since: Instant) -> EvacuationChange {
        let dated: Vec<_> = zones
            .iter()
            .map(|zone| DatedEvacuation {
                zone: zone.clone(),
                since,
            })
            .collect();
        self.apply_dated(&dated, revision, since)
    }

    /// As [`Evacuations::apply`], where each request has a date of its own; `now` dates
    /// those that were taken back.
    pub fn apply_dated(
        &mut self,
        requests: &[DatedEvacuation],
        revision: StoreRevision,
        now: Instant,
    ) -> EvacuationChange {
        if revision < self.revision {
            return EvacuationChange::default();
        }
        let is_restored = !self.revision.is_none() && self.revision.era < revision.era;
        self.revision = revision;
        // A store that was restored may lack requests that are still asked for: they are
        // written again, and hold until then.
        let is_asked = |zone: &ZoneName| is_restored || requests.iter().any(|request| request.zone == *zone);
        let taken_back: Vec<_> = self
            .since
            .keys()
            .filter(|zone| !is_asked(zone))
            .cloned()
            .collect();
        for zone in &taken_back {
            self.since.remove(zone);
            self.returned.insert(zone.clone(), now);
        }
        let mut begun = Vec::new();
        for request in requests {
            if !self.includes(&request.zone) {
                self.returned.remove(&request.zone);
                begun.push(request.zone.clone());
            }
            let since = self.since.entry(request.zone.clone()).or_insert(request.since);
            // Whoever heard of it earlier knows better.
            *since = (*since).min(request.since);
        }
        EvacuationChange { begun, taken_back }
    }

    /// Takes in changes that a watch told at `now`, all of one report. Before a listing
    /// they say nothing of the other zones, and change nothing.
    pub fn apply_events(&mut self, events: &[EvacuationEvent], now: Instant) -> EvacuationChange {
        if !self.is_known() {
            return EvacuationChange::default();
        }
        let mut requests: Vec<_> = self
            .zones()
            .map(|(zone, since)| DatedEvacuation {
                zone: zone.clone(),
                since,
            })
            .collect();
        let mut newest = self.revision;
        // What is older is part of what is known already.
        for event in events.iter().filter(|event| event.revision > self.revision) {
            newest = newest.max(event.revision);
            let is_listed = requests.iter().any(|request| request.zone == event.zone);
            match event.is_requested {
                true if is_listed => {}
                true => requests.push(DatedEvacuation {
                    zone: event.zone.clone(),
                    since: now,
                }),
                false => requests.retain(|request| request.zone != event.zone),
            }
        }
        self.apply_dated(&requests, newest, now)
    }

    /// Whether the requests are known as of some revision of the store.
    pub fn is_known(&self) -> bool {
        !self.revision.is_none()
    }

    /// When this node heard that `zone` may be used again; none where it was not
    /// evacuated as far as it knows, or is.
    pub fn returned_at(&self, zone: &ZoneName) -> Option<Instant> {
        self.returned.get(zone).copied()
    }

    /// Whether `zone` is being evacuated.
    pub fn includes(&self, zone: &ZoneName) -> bool {
        self.since.contains_key(zone)
    }

    /// Since when the evacuation of `zone` may have been asked for; none where it is not.
    pub fn since(&self, zone: &ZoneName) -> Option<Instant> {
        self.since.get(zone).copied()
    }

    /// The zones, each with the time since when its evacuation may have been asked for.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, Instant)> {
        self.since.iter().map(|(zone, since)| (zone, *since))
    }

    /// Store revision up to which the requests are known; none where they are not.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }
}
