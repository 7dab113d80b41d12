//! Zones that operators have asked to be emptied: hearing of the requests, and leaving
//! the zones' instances.
//!
//! Replicas of such a zone get nothing new from the moment at which a node hears of the
//! request. A leader there is used for a part of the bound, in which it is handed over;
//! after it nothing at all is sent there, whoever chose the instance and when.

use millwind_core::Instant;
use millwind_core::data_residency::AllowedRegions;
use millwind_core::eligibility::Ineligible;
use millwind_core::evacuation::{DatedEvacuation, EvacuationChange, EvacuationEvent, Evacuations};
use millwind_core::ids::{GroupName, ZoneName};
use millwind_store::{Entry, Listing, StoreRevision};
use millwind_wire::exchange::{EvacuatedZone, EvacuationListing};

use crate::backend::LinkError;
use crate::catalog::InstanceRecord;
use crate::catalog_cache::write_age;
use crate::clock;
use crate::directory::Known;
use crate::eligibility::InstanceUse;
use crate::execution::AttemptError;
use crate::node::Engine;
use crate::ports::CatalogCodec;

/// Part of the evacuation bound in which a leader of the zone is still used, in
/// percent: 2 s of 5 s, twice what a promotion takes where it takes a second. The rest is
/// for nodes that hear late and for statements under way.
const EVACUATED_LEADER_PERCENT: u64 = 40;
/// Connections that rest to an instance of such a zone where this node checks the
/// leader's health: a check needs one.
const CHECKING_CONNECTIONS: usize = 1;

impl Engine {
    /// Takes in all of the operators' keys. A request that is new here may be as old as
    /// what was known before, since no watch told of it; a node that knew nothing must
    /// count it as over its time.
    pub fn take_evacuation_listing(&self, codec: &dyn CatalogCodec, listing: &Listing) {
        let now = clock::now();
        let oldest_ms = self.settings.evacuation_bound_ms;
        let age_ms = self.relays.store_age_ms().unwrap_or(oldest_ms).min(oldest_ms);
        let since = clock::minus_millis(now, age_ms);
        let present = listing.entries.iter().filter(|entry| entry.value.is_some());
        let requests: Vec<_> = present
            .filter_map(|entry| codec.read_evacuation(&entry.key))
            .map(|zone| DatedEvacuation { zone, since })
            .collect();
        let change = self.directory.apply_evacuations(&requests, listing.revision);
        self.follow_evacuations(&change);
    }

    /// Takes in changes of the operators' keys, as a watch told them.
    pub fn take_evacuation_events(&self, codec: &dyn CatalogCodec, entries: &[Entry]) {
        let read = |entry: &Entry| {
            Some(EvacuationEvent {
                zone: codec.read_evacuation(&entry.key)?,
                is_requested: entry.value.is_some(),
                revision: entry.revision,
            })
        };
        let events: Vec<_> = entries.iter().filter_map(read).collect();
        if !events.is_empty() {
            let change = self.directory.apply_evacuation_events(&events);
            self.follow_evacuations(&change);
        }
    }

    /// Takes in what another node answered to a question sent at `sent`.
    pub fn take_evacuations_of_peer(&self, listing: &EvacuationListing, sent: Instant) {
        let read = |request: &EvacuatedZone| DatedEvacuation {
            zone: ZoneName::from(request.zone.as_str()),
            since: clock::minus_millis(sent, u64::from(request.age_ms)),
        };
        let requests: Vec<_> = listing.zones.iter().map(read).collect();
        let change = self.directory.apply_evacuations(&requests, listing.revision);
        self.follow_evacuations(&change);
    }

    /// The requests as another node is told them which knows them up to `revision`;
    /// empty where it knows as much.
    pub fn evacuations_after(&self, revision: StoreRevision) -> Vec<EvacuationListing> {
        let known = self.directory.evacuations();
        if known.revision() <= revision {
            return Vec::new();
        }
        let now = clock::now();
        let zones = known.zones().map(|(zone, since)| EvacuatedZone {
            zone: zone.as_str().to_owned(),
            age_ms: write_age(Some(now.millis_since(since))),
        });
        vec![EvacuationListing {
            revision: known.revision(),
            zones: zones.collect(),
        }]
    }

    fn follow_evacuations(&self, change: &EvacuationChange) {
        if !change.is_empty() {
            self.leave_evacuated_zones();
            self.wake_monitor();
        }
    }

    /// Closes connections that rest to instances of evacuated zones, and counts what is
    /// still in use there.
    pub fn leave_evacuated_zones(&self) {
        let evacuations = self.directory.evacuations();
        let zones = evacuations.zones().count() as i64;
        let (in_use, leaders) = match zones {
            0 => (0, 0),
            _ => (self.leave_pools(&evacuations), self.evacuated_leaders()),
        };
        self.metrics.evacuated_zones.set(zones);
        self.metrics.evacuated_instances_in_use.set(in_use);
        self.metrics.evacuated_leaders.set(leaders);
    }

    /// Closes what rests in the pools of evacuated zones; how many pools are in use.
    fn leave_pools(&self, evacuations: &Evacuations) -> i64 {
        let mut in_use = 0;
        for pool in self.pools.all() {
            let record = pool.record();
            if !evacuations.includes(&record.zone) {
                continue;
            }
            let kept = match self.watches(&record.group) {
                true => CHECKING_CONNECTIONS,
                false => 0,
            };
            if !self.is_believed_leader(record) || self.is_closed_by_evacuation(record) {
                pool.close_resting(kept);
            }
            in_use += i64::from(pool.connections_in_use() > 0);
        }
        in_use
    }

    /// Groups whose leader stands in an evacuated zone, of those that this node watches:
    /// of the others it may believe what is long over.
    fn evacuated_leaders(&self) -> i64 {
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

    fn is_believed_leader(&self, record: &InstanceRecord) -> bool {
        let leader = self.directory.leader(&record.group);
        leader.is_some_and(|leader| leader.instance == record.name)
    }

    /// Whether the leader of a zone whose evacuation may have been asked for at `since`
    /// must get nothing new any more.
    pub fn is_evacuation_due(&self, since: Instant) -> bool {
        clock::now() >= self.evacuation_due(since)
    }

    fn evacuation_due(&self, since: Instant) -> Instant {
        let bound = self.settings.evacuation_bound_ms;
        since.plus_millis(bound * EVACUATED_LEADER_PERCENT / 100)
    }

    /// Whether nothing at all may be sent to an instance any more, since its zone is
    /// being evacuated.
    pub fn is_closed_by_evacuation(&self, record: &InstanceRecord) -> bool {
        let since = self.directory.evacuated_since(&record.zone);
        since.is_some_and(|since| self.is_evacuation_due(since))
    }

    /// Refuses what is about to be sent to an instance whose zone is being evacuated: it
    /// may have waited long for its turn since the instance was chosen, or be part of a
    /// transaction that was open before. What begins on a replica (`begins_on_replica`)
    /// goes elsewhere at once; the rest has a leader's time.
    pub fn check_evacuation(
        &self,
        record: &InstanceRecord,
        begins_on_replica: bool,
    ) -> Result<(), AttemptError> {
        let Some(since) = self.directory.evacuated_since(&record.zone) else {
            return Ok(());
        };
        match begins_on_replica || self.is_evacuation_due(since) {
            true => Err(AttemptError::Link(LinkError::Ineligible(
                Ineligible::ZoneEvacuated,
            ))),
            false => Ok(()),
        }
    }

    /// Waits until nothing may be sent any more to the instances of a zone.
    pub async fn closed_by_evacuation(&self, zone: &ZoneName) {
        let mut changes = self.directory.evacuation_changes();
        loop {
            let Some(since) = self.directory.evacuated_since(zone) else {
                // The sender lives as long as the node.
                let _ = changes.changed().await;
                continue;
            };
            let due = self.evacuation_due(since);
            if clock::now() >= due {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(clock::until(due)) => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Whether an instance of the group may be used by a statement of a customer that
    /// allows `regions`, though not all can: it may lead soon where the leader's zone is
    /// being evacuated.
    pub fn has_instance_elsewhere(&self, group: &GroupName, regions: &AllowedRegions) -> bool {
        let is_usable = |known: &Known| {
            !known.is_gone
                && known.contact.failing_since.is_none()
                && self.judge_instance(known, InstanceUse::Replica, regions).is_ok()
        };
        self.directory.instances_of(group).iter().any(is_usable)
    }
}
