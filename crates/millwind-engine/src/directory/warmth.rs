//! Which instances are cold.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::{InstanceName, ZoneName};
use millwind_core::warm_up::{WarmUpLimits, WarmUpObservation};

use super::{Directory, Known, State};
use crate::catalog::InstanceRecord;
use crate::clock;

/// What is seen of an instance's warmth when its record is read, after what was seen
/// before.
pub(super) fn sight_of(
    previous: Option<&Known>,
    has_begun_anew: bool,
    record: &InstanceRecord,
    now: Instant,
) -> WarmUpObservation {
    let told_ms = record.warm_up_left_ms;
    let Some(previous) = previous else {
        return WarmUpObservation::first_observed(told_ms, now);
    };
    match has_begun_anew {
        true => WarmUpObservation::restarted(told_ms, now),
        false => previous
            .sight
            .record_reread(told_ms, now)
            .heartbeat_received(record.heartbeat),
    }
}

impl State {
    /// The instances of a zone may be used again, which nobody has used for a while:
    /// they are taken as cold.
    pub(super) fn zone_unused_until(&mut self, zone: &ZoneName, now: Instant) {
        let of_zone = self
            .instances
            .values_mut()
            .filter(|known| known.record.zone == *zone);
        for known in of_zone {
            known.sight = known.sight.resumed_at(now);
        }
    }

    pub(super) fn warm_up_terms(&self, known: &Known) -> Option<WarmUpLimits> {
        let config = self.config.as_ref()?;
        config.groups.get(&known.record.group)?.warm_up
    }
}

impl Directory {
    /// The process of `instance` seems to have ended by what a question asked at `asked`
    /// showed: all connections to it are lost, or none can be opened. Whoever answers
    /// next may have begun just now.
    pub fn doubt_process(&self, instance: &InstanceName, asked: Instant) {
        let mut state = self.state();
        if !state.is_of_present_life(instance, asked) {
            return;
        }
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        if !known.sight.is_termination_suspected() {
            info!(
                "event=instance_process_doubted instance={instance} heard_ms_ago={}",
                clock::now().millis_since(known.heard)
            );
        }
        known.sight = known
            .sight
            .suspect_termination(known.record.heartbeat, clock::now());
    }

    /// The terms under which statements may be sent to an instance; none where it is
    /// warm. One whose record was not read yet is not known here, and gets nothing.
    pub fn cold_terms(&self, instance: &InstanceName) -> Option<WarmUpLimits> {
        let state = self.state();
        let known = state.instances.get(instance)?;
        let terms = state.warm_up_terms(known)?;
        let now = clock::now();
        let warmth = known.sight.warmth(Some(terms), now);
        warmth.is_cold(now).then_some(terms)
    }
}
