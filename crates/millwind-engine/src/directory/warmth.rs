//! Tracks which instances are cold and limited in their statement rate.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::{InstanceName, ZoneName};
use millwind_core::warm_up::{WarmUpLimits, WarmUpObservation};

use super::{Directory, KnownInstance, State};
use crate::catalog::InstanceRecord;
use crate::clock;

/// The warm-up observations of an instance after its record was read, based on those of
/// `previous`.
pub(super) fn observe_warm_up(
    previous: Option<&KnownInstance>,
    has_restarted: bool,
    record: &InstanceRecord,
    now: Instant,
) -> WarmUpObservation {
    let warm_up_left_ms = record.warm_up_left_ms;
    let Some(previous) = previous else {
        return WarmUpObservation::first_observed(warm_up_left_ms, now);
    };
    match has_restarted {
        true => WarmUpObservation::restarted(warm_up_left_ms, now),
        false => previous
            .warm_up_observation
            .record_reread(warm_up_left_ms, now)
            .heartbeat_received(record.heartbeat),
    }
}

impl State {
    /// Marks the instances of a zone as cold from `now` on, after the end of an evacuation
    /// during which they were not used.
    pub(super) fn mark_zone_cold(&mut self, zone: &ZoneName, now: Instant) {
        let of_zone = self
            .instances
            .values_mut()
            .filter(|known| known.record.zone == *zone);
        for known in of_zone {
            known.warm_up_observation = known.warm_up_observation.resumed_at(now);
        }
    }

    /// The warm-up settings of the instance's group; none if the group has none.
    pub(super) fn warm_up_limits_of(&self, known: &KnownInstance) -> Option<WarmUpLimits> {
        let config = self.config.as_ref()?;
        config.groups.get(&known.record.group)?.warm_up
    }
}

impl Directory {
    /// Records that the process of `instance` may have ended, as shown by a request sent at
    /// `asked`: all connections to it are lost, or none can be opened. A new process may answer
    /// next, so the instance counts as cold unless its records show that the process survived.
    pub fn record_possible_restart(&self, instance: &InstanceName, asked: Instant) {
        let mut state = self.state();
        if !state.is_from_current_incarnation(instance, asked) {
            return;
        }
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        if !known.warm_up_observation.is_termination_suspected() {
            info!(
                "event=instance_process_doubted instance={instance} heard_ms_ago={}",
                clock::now().millis_since(known.last_seen)
            );
        }
        known.warm_up_observation = known
            .warm_up_observation
            .suspect_termination(known.record.heartbeat, clock::now());
    }

    /// The warm-up limits for statements sent to an instance; none if the instance is warm or
    /// unknown.
    pub fn warm_up_limits(&self, instance: &InstanceName) -> Option<WarmUpLimits> {
        let state = self.state();
        let known = state.instances.get(instance)?;
        let limits = state.warm_up_limits_of(known)?;
        let now = clock::now();
        let status = known.warm_up_observation.status(Some(limits), now);
        status.is_cold(now).then_some(limits)
    }
}
