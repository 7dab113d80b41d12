//! What this node knows of the zones that operators have asked to be emptied.

use log::info;
use millwind_core::Instant;
use millwind_core::evacuation::{EvacuationChange, EvacuationEvent, EvacuationRequest, Evacuations};
use millwind_core::ids::ZoneName;
use millwind_store::StoreRevision;
use tokio::sync::watch;

use super::Directory;
use crate::clock;

impl Directory {
    /// Takes in all requests to evacuate a zone that the store held at `revision`.
    pub fn apply_evacuations(
        &self,
        requests: &[EvacuationRequest],
        revision: StoreRevision,
    ) -> EvacuationChange {
        self.change_evacuations(|evacuations, now| evacuations.apply_requests(requests, revision, now))
    }

    /// Takes in requests that a watch of the store told as changed.
    pub fn apply_evacuation_events(&self, events: &[EvacuationEvent]) -> EvacuationChange {
        self.change_evacuations(|evacuations, now| evacuations.apply_events(events, now))
    }

    fn change_evacuations(
        &self,
        apply: impl FnOnce(&mut Evacuations, Instant) -> EvacuationChange,
    ) -> EvacuationChange {
        let now = clock::now();
        let (change, after) = {
            let mut state = self.state();
            let change = apply(&mut state.evacuations, now);
            // Under the same lock: nobody may see a zone in use whose instances are
            // not cold yet.
            for zone in &change.withdrawn {
                state.zone_unused_until(zone, now);
            }
            (change, state.evacuations.clone())
        };
        for zone in &change.started {
            let may_be_asked = after.since(zone).map_or(0, |since| now.millis_since(since));
            info!(
                "event=zone_evacuation_heard zone={zone} revision={} asked_ms_ago_at_most={may_be_asked}",
                after.revision()
            );
        }
        for zone in &change.withdrawn {
            info!(
                "event=zone_evacuation_taken_back zone={zone} revision={}",
                after.revision()
            );
        }
        self.completed.notify_waiters();
        if !change.is_empty() {
            self.evacuation_changes.send_modify(|count| *count += 1);
            self.leaders_changed.notify_waiters();
        }
        change
    }

    /// Since when the evacuation of a zone may have been asked for; none where it is not
    /// being evacuated.
    pub fn evacuated_since(&self, zone: &ZoneName) -> Option<Instant> {
        self.state().evacuations.since(zone)
    }

    /// When this node heard that a zone may be used again: its instances were not used
    /// meanwhile, and count as cold from then on.
    pub fn returned_from_evacuation_at(&self, zone: &ZoneName) -> Option<Instant> {
        self.state().evacuations.withdrawn_at(zone)
    }

    /// The zones that are being evacuated.
    pub fn evacuations(&self) -> Evacuations {
        self.state().evacuations.clone()
    }

    /// Tells of each change of the evacuated zones.
    pub fn evacuation_changes(&self) -> watch::Receiver<u64> {
        self.evacuation_changes.subscribe()
    }
}
