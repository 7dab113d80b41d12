//! Zone evacuation: applies the operators' evacuation requests and stops using the
//! instances of evacuated zones.
//!
//! Replicas in an evacuated zone get no new statements as soon as a node learns of the
//! request. A leader there is used for a part of the evacuation bound, during which the
//! lead moves to another zone. After that, nothing is sent to the zone, not even
//! statements that were assigned to one of its instances earlier.

use millwind_core::Instant;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::eligibility::IneligibleReason;
use millwind_core::evacuation::{EvacuationChange, EvacuationEvent, EvacuationRequest, Evacuations};
use millwind_core::ids::{GroupName, ZoneName};
use millwind_store::{Entry, Listing, StoreRevision};
use millwind_wire::exchange::{EvacuatedZone, EvacuationListing};

use crate::backend::ExchangeError;
use crate::catalog::InstanceRecord;
use crate::catalog_cache::encode_age_ms;
use crate::clock;
use crate::directory::KnownInstance;
use crate::eligibility::InstanceUse;
use crate::execution::AttemptError;
use crate::node::Engine;
use crate::ports::CatalogCodec;

/// Part of the evacuation bound in which a leader in the zone is still used, in percent. The
/// bound runs from the earliest time at which the zone may have been evacuated. The rest allows
/// for the way to the instance.
const EVACUATED_LEADER_PERCENT: u64 = 75;
/// Idle connections kept to an instance in an evacuated zone if this node checks the
/// health of the group's leader.
const HEALTH_CHECK_CONNECTIONS: usize = 1;

impl Engine {
    /// Applies a complete listing of the operators' keys. A newly found request is dated
    /// back to the last time at which this node knew the store's contents; a node without
    /// such knowledge assumes that the evacuation bound has passed.
    pub fn handle_evacuation_listing(&self, codec: &dyn CatalogCodec, listing: &Listing) {
        let since = self.evacuated_not_before();
        let present = listing.entries.iter().filter(|entry| entry.value.is_some());
        let requests: Vec<_> = present
            .filter_map(|entry| codec.read_evacuation(&entry.key))
            .map(|zone| EvacuationRequest { zone, since })
            .collect();
        let change = self.directory.apply_evacuations(&requests, listing.revision);
        self.handle_evacuation_change(&change);
    }

    /// Returns the earliest time at which an evacuation may have been requested that this node
    /// learns of now.
    fn evacuated_not_before(&self) -> Instant {
        let oldest_ms = self.settings.evacuation_ms();
        let age_ms = self.relays.configuration_age_ms().unwrap_or(oldest_ms);
        clock::minus_millis(clock::now(), age_ms.min(oldest_ms))
    }

    /// Applies changes of the operators' keys reported by a store watch.
    pub fn handle_evacuation_events(&self, codec: &dyn CatalogCodec, entries: &[Entry]) {
        let decode = |entry: &Entry| {
            Some(EvacuationEvent {
                zone: codec.read_evacuation(&entry.key)?,
                is_requested: entry.value.is_some(),
                revision: entry.revision,
            })
        };
        let events: Vec<_> = entries.iter().filter_map(decode).collect();
        if !events.is_empty() {
            let since = self.evacuated_not_before();
            let change = self.directory.apply_evacuation_events(&events, since);
            self.handle_evacuation_change(&change);
        }
    }

    /// Applies the evacuations that another node reported in answer to a request sent at
    /// `sent`.
    pub fn handle_peer_evacuations(&self, listing: &EvacuationListing, sent: Instant) {
        let decode = |request: &EvacuatedZone| EvacuationRequest {
            zone: ZoneName::from(request.zone.as_str()),
            since: clock::minus_millis(sent, u64::from(request.age_ms)),
        };
        let requests: Vec<_> = listing.zones.iter().map(decode).collect();
        let change = self.directory.apply_evacuations(&requests, listing.revision);
        self.handle_evacuation_change(&change);
    }

    /// Returns the evacuation requests for a node that knows them up to `revision`; empty
    /// if that node is up to date.
    pub fn evacuations_after(&self, revision: StoreRevision) -> Vec<EvacuationListing> {
        let known = self.directory.evacuations();
        if known.revision() <= revision {
            return Vec::new();
        }
        let now = clock::now();
        let zones = known.zones().map(|(zone, since)| EvacuatedZone {
            zone: zone.as_str().to_owned(),
            age_ms: encode_age_ms(Some(now.millis_since(since))),
        });
        vec![EvacuationListing {
            revision: known.revision(),
            zones: zones.collect(),
        }]
    }

    fn handle_evacuation_change(&self, change: &EvacuationChange) {
        if !change.is_empty() {
            self.drain_evacuated_zones();
            self.wake_monitor();
        }
    }

    /// Closes idle connections to instances in evacuated zones and updates the evacuation
    /// metrics.
    pub fn drain_evacuated_zones(&self) {
        let evacuations = self.directory.evacuations();
        let zones = evacuations.zones().count() as i64;
        let (in_use, leaders) = match zones {
            0 => (0, 0),
            _ => (self.drain_pools(&evacuations), self.count_evacuated_leaders()),
        };
        self.metrics.evacuated_zones.set(zones);
        self.metrics.evacuated_instances_in_use.set(in_use);
        self.metrics.evacuated_leaders.set(leaders);
    }

    /// Closes idle connections in the pools of evacuated zones and returns the number of
    /// those pools that are still in use.
    fn drain_pools(&self, evacuations: &Evacuations) -> i64 {
        let mut in_use = 0;
        for pool in self.pools.all() {
            let record = pool.record();
            if !evacuations.includes(&record.zone) {
                continue;
            }
            let kept = match self.watches(&record.group) {
                true => HEALTH_CHECK_CONNECTIONS,
                false => 0,
            };
            if !self.is_presumed_leader(record) || self.is_closed_by_evacuation(record) {
                pool.close_idle(kept);
            }
            in_use += i64::from(pool.connections_in_use() > 0);
        }
        in_use
    }

    /// Counts the watched groups whose leader is in an evacuated zone. Other groups are
    /// excluded because this node's knowledge of their leaders may be outdated.
    fn count_evacuated_leaders(&self) -> i64 {
        let Some(config) = self.directory.config() else {
            return 0;
        };
        let watched = config.groups.keys().filter(|group| self.watches(group));
        let leaders = watched.filter_map(|group| {
            let leader = self.directory.leader(group)?;
            self.directory.instance(&leader.instance)
        });
        let evacuated = leaders.filter(|known| self.directory.evacuated_since(&known.record.zone).is_some());
        evacuated.count() as i64
    }

    fn is_presumed_leader(&self, record: &InstanceRecord) -> bool {
        let leader = self.directory.leader(&record.group);
        leader.is_some_and(|leader| leader.instance == record.name)
    }

    /// Returns whether leaders get no new statements any more in a zone whose evacuation
    /// may have been requested at `since`.
    pub fn is_evacuation_due(&self, since: Instant) -> bool {
        clock::now() >= self.leader_use_deadline(since)
    }

    fn leader_use_deadline(&self, since: Instant) -> Instant {
        let bound = self.settings.evacuation_ms();
        since.plus_millis(bound * EVACUATED_LEADER_PERCENT / 100)
    }

    /// Returns whether nothing may be sent to an instance any more because of the
    /// evacuation of its zone.
    pub fn is_closed_by_evacuation(&self, record: &InstanceRecord) -> bool {
        let since = self.directory.evacuated_since(&record.zone);
        since.is_some_and(|since| self.is_evacuation_due(since))
    }

    /// Checks, right before a statement is sent, that the evacuation of the instance's zone
    /// does not forbid it; the evacuation may have started after the instance was chosen.
    /// New work on a replica (`begins_on_replica`) is refused at once, all other statements
    /// after the time allowed for leaders.
    pub fn check_evacuation(
        &self,
        record: &InstanceRecord,
        begins_on_replica: bool,
    ) -> Result<(), AttemptError> {
        let Some(since) = self.directory.evacuated_since(&record.zone) else {
            return Ok(());
        };
        match begins_on_replica || self.is_evacuation_due(since) {
            true => Err(AttemptError::Link(ExchangeError::Ineligible(
                IneligibleReason::ZoneEvacuated,
            ))),
            false => Ok(()),
        }
    }

    /// Waits until nothing may be sent to the instances of a zone any more.
    pub async fn wait_until_zone_closed(&self, zone: &ZoneName) {
        let mut changes = self.directory.evacuation_changes();
        loop {
            let Some(since) = self.directory.evacuated_since(zone) else {
                // The sender lives as long as the node, so this cannot fail.
                let _ = changes.changed().await;
                continue;
            };
            let deadline = self.leader_use_deadline(since);
            if clock::now() >= deadline {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(clock::until(deadline)) => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Returns whether any instance of the group is reachable and may run statements
    /// restricted to `regions`. Such an instance may become leader soon if the zone of the
    /// present leader is being evacuated.
    pub fn has_eligible_instance(&self, group: &GroupName, regions: &AllowedRegions) -> bool {
        let is_usable = |known: &KnownInstance| {
            !known.is_removed
                && known.health.failing_since.is_none()
                && self
                    .check_eligibility(known, InstanceUse::Replica, regions)
                    .is_ok()
        };
        self.directory.instances_of(group).iter().any(is_usable)
    }
}
