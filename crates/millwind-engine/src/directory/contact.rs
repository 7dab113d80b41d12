//! Health of instances as seen by this node, and what peers report about them.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_core::outlier::StatementHealth;
use millwind_core::warm_up::BORROWING_SETTINGS;

use super::Directory;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::peers::PeerReachability;

/// A new sample enters the moving averages of latency with weight `1 / LATENCY_WEIGHT`.
const LATENCY_WEIGHT: u64 = 8;
/// Initial latency estimate for an instance in this node's zone, in microseconds.
const SAME_ZONE_LATENCY_US: u64 = 10_000;
/// Initial latency estimate for an instance in another zone, in microseconds.
const OTHER_ZONE_LATENCY_US: u64 = 40_000;
/// Time for which reads avoid an instance after a failure, in milliseconds.
const FAILURE_AVOID_MS: u64 = 400;
/// Time for which reads avoid an instance that lagged behind a required position, in
/// milliseconds.
const LAGGING_AVOID_MS: u64 = 100;

/// Health of an instance as observed by this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceHealth {
    /// Time of the last response of any kind.
    pub last_success: Option<Instant>,
    /// When the first request of the current run of failures was sent; none while the
    /// instance responds.
    pub failing_since: Option<Instant>,
    /// Whether the last failure suggests that the process is gone, as a refused or broken
    /// connection does.
    pub is_refusing: bool,
    /// Moving average of statement latency, in microseconds.
    pub latency_us: u64,
    /// Moving average of health check latency, in microseconds; none before the first check.
    pub check_us: Option<u64>,
    /// Whether a peer has reported that it suspects the instance since its last response or
    /// health check.
    pub is_suspected_by_peer: bool,
    /// Outcomes of recent statements, independent of health checks.
    pub statements: StatementHealth,
    /// Reads avoid the instance until this time.
    pub avoid_until: Instant,
}

impl InstanceHealth {
    /// Since when the instance has answered none of its pending statements, once that time
    /// exceeds the limit for its usual latency.
    pub fn unresponsive_since(&self) -> Option<Instant> {
        self.statements.unresponsive_since(clock::now(), self.latency_us)
    }

    /// Whether one more statement may be sent to the instance.
    pub fn admits_statement(&self) -> bool {
        self.statements.admits_statement(clock::now(), self.latency_us)
    }

    /// Whether statements on the instance hang or fail, so that another should be preferred.
    pub fn is_unhealthy(&self) -> bool {
        self.unresponsive_since().is_some() || self.statements.is_outlier(clock::now())
    }
}

impl Directory {
    /// Records what peers reported about an instance.
    pub fn record_peer_reachability(&self, instance: &InstanceName, reachability: PeerReachability) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.peer_report = Some((clock::now(), reachability));
        }
    }

    /// What peers reported about an instance within the last `max_age_ms`.
    pub fn peer_report(&self, instance: &InstanceName, max_age_ms: u64) -> Option<PeerReachability> {
        let state = self.state();
        let (reported_at, reachability) = state.instances.get(instance)?.peer_report?;
        (clock::now().millis_since(reported_at) <= max_age_ms).then_some(reachability)
    }

    /// Whether the most recent requests to an instance all failed; true if the instance is
    /// unknown.
    pub fn is_failing(&self, instance: &InstanceName) -> bool {
        let state = self.state();
        state
            .instances
            .get(instance)
            .is_none_or(|known| known.health.failing_since.is_some())
    }

    /// Makes reads avoid an instance for a short time.
    pub fn avoid(&self, instance: &InstanceName) {
        self.avoid_for(instance, FAILURE_AVOID_MS);
    }

    /// Makes reads avoid a cold instance that has used up its statement rate, until more
    /// statements may be admitted.
    pub fn avoid_while_full(&self, instance: &InstanceName) {
        self.avoid_for(instance, BORROWING_SETTINGS.denied_backoff_ms);
    }

    fn avoid_for(&self, instance: &InstanceName, avoid_ms: u64) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            let until = clock::now().plus_millis(avoid_ms);
            known.health.avoid_until = known.health.avoid_until.max(until);
        }
    }

    /// Records that a statement was sent to `instance`.
    pub fn record_statement_sent(&self, instance: &InstanceName) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.health.statements.record_sent(clock::now());
        }
    }

    /// Records a response of `instance`; `latency_us` is set if it answers a statement.
    pub fn record_response(&self, instance: &InstanceName, latency_us: Option<u64>) {
        let mut state = self.state();
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        let health = &mut known.health;
        health.last_success = Some(clock::now());
        if health.failing_since.take().is_some() {
            info!("event=instance_regained instance={instance}");
        }
        health.is_refusing = false;
        health.is_suspected_by_peer = false;
        if let Some(sample) = latency_us {
            health.statements.record_response(clock::now());
            health.latency_us = (health.latency_us * (LATENCY_WEIGHT - 1) + sample) / LATENCY_WEIGHT;
        }
    }

    /// Records that a health check of `instance` starts.
    pub fn record_check_started(&self, instance: &InstanceName) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.health.is_suspected_by_peer = false;
        }
    }

    /// Records that a health check of `instance` took `micros`.
    pub fn record_check_latency(&self, instance: &InstanceName, micros: u64) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            let mean = known.health.check_us.unwrap_or(micros);
            known.health.check_us = Some((mean * (LATENCY_WEIGHT - 1) + micros) / LATENCY_WEIGHT);
        }
    }

    /// Records that a peer suspects `instance` of having failed.
    pub fn record_peer_suspicion(&self, instance: &InstanceName) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.health.is_suspected_by_peer = true;
        }
    }

    /// Records that a statement on `instance` is no longer pending.
    pub fn record_statement_finished(&self, instance: &InstanceName, was_answered: bool) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.health.statements.record_end(was_answered);
        }
    }

    /// Records the outcome of a statement on `instance`: a success, or a failure that counts
    /// against the instance.
    pub fn record_outcome(&self, instance: &InstanceName, succeeded: bool) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            let statements = &mut known.health.statements;
            if succeeded {
                statements.record_success(clock::now());
            } else {
                statements.record_failure(clock::now());
            }
        }
    }

    /// Restarts the measurement of silence for all instances after this process was
    /// suspended.
    pub fn reset_silence(&self) {
        let now = clock::now();
        for known in self.state().instances.values_mut() {
            known.health.statements.record_response(now);
        }
    }

    /// Records that a request sent to `instance` at `asked` failed. A response that arrived
    /// after `asked` outweighs the failure.
    pub fn record_failure(&self, instance: &InstanceName, asked: Instant, is_refusing: bool) {
        let mut state = self.state();
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        let health = &mut known.health;
        health.avoid_until = clock::now().plus_millis(FAILURE_AVOID_MS);
        if health.last_success.is_some_and(|success| success > asked) {
            return;
        }
        if health.failing_since.is_none() {
            info!("event=instance_failing instance={instance} refusing={is_refusing}");
        }
        health.failing_since.get_or_insert(asked);
        health.is_refusing = is_refusing;
        if is_refusing {
            state.discard_announcements(instance);
        }
    }

    /// Makes reads avoid `instance`, which lagged behind the position that a read requires.
    pub fn avoid_lagging(&self, instance: &InstanceName) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.health.avoid_until = clock::now().plus_millis(LAGGING_AVOID_MS);
        }
    }

    /// The initial health of the instance of `record`, before any request was sent.
    pub(super) fn initial_health(&self, record: &InstanceRecord) -> InstanceHealth {
        let is_same_zone = record.zone.as_str() == self.zone;
        InstanceHealth {
            last_success: None,
            failing_since: None,
            is_refusing: false,
            latency_us: if is_same_zone {
                SAME_ZONE_LATENCY_US
            } else {
                OTHER_ZONE_LATENCY_US
            },
            check_us: None,
            is_suspected_by_peer: false,
            statements: StatementHealth::default(),
            avoid_until: Instant::default(),
        }
    }
}
