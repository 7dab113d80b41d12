//! Zone evacuations requested by operators. While a zone is being evacuated, its
//! instances receive no new work.

use std::collections::BTreeMap;

use millwind_wire::store_revision::StoreRevision;

use crate::Instant;
use crate::ids::ZoneName;

/// The zones being evacuated as of one revision of the store.
///
/// A request may have been acknowledged before this node learns about it. The start of
/// an evacuation is therefore the earliest time at which it may have been requested, so
/// that a late notification does not delay leaving the zone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evacuations {
    /// Earliest time at which the evacuation of each zone may have been requested.
    since: BTreeMap<ZoneName, Instant>,
    /// Time at which this node learned that the evacuation of a zone was withdrawn.
    withdrawn_at: BTreeMap<ZoneName, Instant>,
    /// Store revision of the known requests; none before the first listing.
    revision: StoreRevision,
}

/// Zones whose evacuation started or ended with an update.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationChange {
    /// Zones whose evacuation has started.
    pub started: Vec<ZoneName>,
    /// Zones whose evacuation was withdrawn.
    pub withdrawn: Vec<ZoneName>,
}

impl EvacuationChange {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty() && self.withdrawn.is_empty()
    }
}

/// A change to one evacuation request, reported by a watch on the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationEvent {
    /// Zone to which the request applies.
    pub zone: ZoneName,
    /// True if the evacuation is requested, false if the request is withdrawn.
    pub is_requested: bool,
    /// Store revision of the change.
    pub revision: StoreRevision,
}

/// An evacuation request and the earliest time at which it may have been made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRequest {
    /// Zone to evacuate.
    pub zone: ZoneName,
    /// Earliest time at which the evacuation may have been requested.
    pub since: Instant,
}

impl Evacuations {
    /// Replaces the known requests by all those in the store at `revision` and returns
    /// the difference. Zones that were not known before are dated `since`. A listing
    /// older than the known revision is ignored.
    pub fn apply(&mut self, zones: &[ZoneName], revision: StoreRevision, since: Instant) -> EvacuationChange {
        let dated: Vec<_> = zones
            .iter()
            .map(|zone| EvacuationRequest {
                zone: zone.clone(),
                since,
            })
            .collect();
        self.apply_requests(&dated, revision, since)
    }

    /// Like [`Evacuations::apply`], but each request carries its own time. Withdrawals are
    /// dated `now`.
    pub fn apply_requests(
        &mut self,
        requests: &[EvacuationRequest],
        revision: StoreRevision,
        now: Instant,
    ) -> EvacuationChange {
        if revision < self.revision {
            return EvacuationChange::default();
        }
        let is_restored = !self.revision.is_none() && self.revision.era < revision.era;
        self.revision = revision;
        // A store restored from a backup may lack active requests, which are written
        // again. Until then they remain in effect.
        let is_active = |zone: &ZoneName| is_restored || requests.iter().any(|request| request.zone == *zone);
        let withdrawn: Vec<_> = self
            .since
            .keys()
            .filter(|zone| !is_active(zone))
            .cloned()
            .collect();
        for zone in &withdrawn {
            self.since.remove(zone);
            self.withdrawn_at.insert(zone.clone(), now);
        }
        let mut started = Vec::new();
        for request in requests {
            if !self.includes(&request.zone) {
                self.withdrawn_at.remove(&request.zone);
                started.push(request.zone.clone());
            }
            let since = self.since.entry(request.zone.clone()).or_insert(request.since);
            *since = (*since).min(request.since);
        }
        EvacuationChange { started, withdrawn }
    }

    /// Applies the changes of one watch notification received at `now`. Requests are dated
    /// `since`, the last time at which this node knew the store's contents. Changes received
    /// before the first listing are ignored, since the other zones are still unknown.
    pub fn apply_events(
        &mut self,
        events: &[EvacuationEvent],
        since: Instant,
        now: Instant,
    ) -> EvacuationChange {
        if !self.is_known() {
            return EvacuationChange::default();
        }
        let mut requests: Vec<_> = self
            .zones()
            .map(|(zone, since)| EvacuationRequest {
                zone: zone.clone(),
                since,
            })
            .collect();
        let mut newest = self.revision;
        // The known listing already includes older changes.
        for event in events.iter().filter(|event| event.revision > self.revision) {
            newest = newest.max(event.revision);
            let is_listed = requests.iter().any(|request| request.zone == event.zone);
            match event.is_requested {
                true if is_listed => {}
                true => requests.push(EvacuationRequest {
                    zone: event.zone.clone(),
                    since,
                }),
                false => requests.retain(|request| request.zone != event.zone),
            }
        }
        self.apply_requests(&requests, newest, now)
    }

    /// Whether a listing of the requests was received.
    pub fn is_known(&self) -> bool {
        !self.revision.is_none()
    }

    /// Time at which this node learned that the evacuation of `zone` was withdrawn; `None`
    /// if `zone` is being evacuated or never was as far as this node knows.
    pub fn withdrawn_at(&self, zone: &ZoneName) -> Option<Instant> {
        self.withdrawn_at.get(zone).copied()
    }

    /// Whether `zone` is being evacuated.
    pub fn includes(&self, zone: &ZoneName) -> bool {
        self.since.contains_key(zone)
    }

    /// Earliest time at which the evacuation of `zone` may have been requested; `None` if
    /// `zone` is not being evacuated.
    pub fn since(&self, zone: &ZoneName) -> Option<Instant> {
        self.since.get(zone).copied()
    }

    /// The zones being evacuated, each with the earliest time of its request.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, Instant)> {
        self.since.iter().map(|(zone, since)| (zone, *since))
    }

    /// Store revision of the known requests; none before the first listing.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }
}
