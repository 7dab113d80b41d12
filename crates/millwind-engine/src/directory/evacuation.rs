//! Zones that operators have requested to evacuate, as known to this node.

use log::info;
use millwind_core::Instant;
use millwind_core::evacuation::{EvacuationChange, EvacuationEvent, EvacuationRequest, Evacuations};
use millwind_core::ids::ZoneName;
use millwind_store::StoreRevision;
use tokio::sync::watch;

use super::Directory;
use crate::clock;

impl Directory {
    /// Applies the complete list of evacuation requests that the store held at `revision`.
    pub fn apply_evacuations(
        &self,
        requests: &[EvacuationRequest],
        revision: StoreRevision,
    ) -> EvacuationChange {
        self.change_evacuations(|evacuations, now| evacuations.apply_requests(requests, revision, now))
    }

    /// Applies changes of evacuation requests reported by a watch of the store, none of which
    /// was made before `since`.
    pub fn apply_evacuation_events(&self, events: &[EvacuationEvent], since: Instant) -> EvacuationChange {
        self.change_evacuations(|evacuations, now| evacuations.apply_events(events, since, now))
    }

    fn change_evacuations(
        &self,
        apply: impl FnOnce(&mut Evacuations, Instant) -> EvacuationChange,
    ) -> EvacuationChange {
        let now = clock::now();
        let (change, after) = {
            let mut state = self.state();
            let change = apply(&mut state.evacuations, now);
            // The instances become cold under the same lock, so that no reader sees the zone
            // in use while its instances still count as warm.
            for zone in &change.withdrawn {
                state.mark_zone_cold(zone, now);
            }
            (change, state.evacuations.clone())
        };
        for zone in &change.started {
            let max_age_ms = after.since(zone).map_or(0, |since| now.millis_since(since));
            info!(
                "event=zone_evacuation_heard zone={zone} revision={} asked_ms_ago_at_most={max_age_ms}",
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

    /// The earliest time at which the evacuation of a zone may have been requested; none if
    /// the zone is not being evacuated.
    pub fn evacuated_since(&self, zone: &ZoneName) -> Option<Instant> {
        self.state().evacuations.since(zone)
    }

    /// When this node learned that the evacuation of a zone was cancelled. The instances of the
    /// zone count as cold from that time on.
    pub fn evacuation_cancelled_at(&self, zone: &ZoneName) -> Option<Instant> {
        self.state().evacuations.withdrawn_at(zone)
    }

    /// The zones that are being evacuated.
    pub fn evacuations(&self) -> Evacuations {
        self.state().evacuations.clone()
    }

    /// Subscribes to the number of changes to the evacuated zones.
    pub fn evacuation_changes(&self) -> watch::Receiver<u64> {
        self.evacuation_changes.subscribe()
    }
}
