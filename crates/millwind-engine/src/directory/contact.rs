//! How instances have answered this node, and what peers say of them.

use log::info;
use millwind_core::Instant;
use millwind_core::ids::InstanceName;
use millwind_core::outlier::StatementHealth;
use millwind_core::warm_up::BORROWING_SETTINGS;

use super::Directory;
use crate::catalog::InstanceRecord;
use crate::clock;
use crate::peers::Testimony;

/// Weight of a new sample in the mean latency, as one part in so many.
const LATENCY_WEIGHT: u64 = 8;
/// Assumed latency of an instance in this node's zone, in microseconds.
const NEAR_LATENCY_US: u64 = 10_000;
/// Assumed latency of an instance elsewhere, in microseconds.
const FAR_LATENCY_US: u64 = 40_000;
/// A failing instance is left alone for this long by reads, in milliseconds.
const AVOID_MS: u64 = 400;
/// An instance that lacked a position is left alone for this long, in
/// milliseconds.
const BEHIND_MS: u64 = 100;

/// How an instance has answered this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Contact {
    /// Last answer of any kind.
    pub last_success: Option<Instant>,
    /// Since when nothing but failures were seen.
    pub failing_since: Option<Instant>,
    /// The last failure was a refused connection.
    pub is_refusing: bool,
    /// Mean time from question to answer, in microseconds.
    pub latency_us: u64,
    /// Mean time of a health check, in microseconds; none before the first.
    pub check_us: Option<u64>,
    /// A peer has asked about it, and it was not heard since.
    pub is_doubted: bool,
    /// How statements end there, whatever its health checks say.
    pub statements: StatementHealth,
    /// Not chosen for reads before this time.
    pub avoid_until: Instant,
}

impl Contact {
    /// Since when statements are under way there and none is answered.
    pub fn unresponsive_since(&self) -> Option<Instant> {
        self.statements.unresponsive_since(clock::now(), self.latency_us)
    }

    /// Whether one more statement may be sent there.
    pub fn admits_statement(&self) -> bool {
        self.statements.admits_statement(clock::now(), self.latency_us)
    }

    /// Whether its statements hang or fail, so that others should serve.
    pub fn is_sick(&self) -> bool {
        self.unresponsive_since().is_some() || self.statements.is_outlier(clock::now())
    }
}

impl Directory {
    /// Peers said this of an instance.
    pub fn heard_of(&self, instance: &InstanceName, testimony: Testimony) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.testimony = Some((clock::now(), testimony));
        }
    }

    /// What peers said of an instance within the last `most_ms`.
    pub fn testimony(&self, instance: &InstanceName, most_ms: u64) -> Option<Testimony> {
        let state = self.state();
        let (heard, testimony) = state.instances.get(instance)?.testimony?;
        (clock::now().millis_since(heard) <= most_ms).then_some(testimony)
    }

    /// Whether the last contacts with an instance have all failed.
    pub fn is_failing(&self, instance: &InstanceName) -> bool {
        let state = self.state();
        state
            .instances
            .get(instance)
            .is_none_or(|known| known.contact.failing_since.is_some())
    }

    /// An instance is left alone by reads for a moment.
    pub fn avoid(&self, instance: &InstanceName) {
        self.avoid_for(instance, AVOID_MS);
    }

    /// A cold instance had no place: reads leave it alone until there may be one.
    pub fn avoid_while_full(&self, instance: &InstanceName) {
        self.avoid_for(instance, BORROWING_SETTINGS.denied_backoff_ms);
    }

    fn avoid_for(&self, instance: &InstanceName, avoid_ms: u64) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            let until = clock::now().plus_millis(avoid_ms);
            known.contact.avoid_until = known.contact.avoid_until.max(until);
        }
    }

    /// A question to `instance` is under way.
    pub fn asked(&self, instance: &InstanceName) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.contact.statements.record_sent(clock::now());
        }
    }

    /// A question to `instance` ended; `latency_us` if it was a statement's.
    pub fn answered(&self, instance: &InstanceName, latency_us: Option<u64>) {
        let mut state = self.state();
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        let contact = &mut known.contact;
        contact.last_success = Some(clock::now());
        if contact.failing_since.take().is_some() {
            info!("event=instance_regained instance={instance}");
        }
        contact.is_refusing = false;
        contact.is_doubted = false;
        if let Some(sample) = latency_us {
            contact.statements.record_response(clock::now());
            contact.latency_us = (contact.latency_us * (LATENCY_WEIGHT - 1) + sample) / LATENCY_WEIGHT;
        }
    }

    /// A health check of `instance` begins.
    pub fn checking(&self, instance: &InstanceName) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.contact.is_doubted = false;
        }
    }

    /// A health check of `instance` took `micros`.
    pub fn checked(&self, instance: &InstanceName, micros: u64) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            let mean = known.contact.check_us.unwrap_or(micros);
            known.contact.check_us = Some((mean * (LATENCY_WEIGHT - 1) + micros) / LATENCY_WEIGHT);
        }
    }

    /// A peer has doubts about `instance`.
    pub fn doubt(&self, instance: &InstanceName) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.contact.is_doubted = true;
        }
    }

    /// A statement on `instance` is no longer under way.
    pub fn settled(&self, instance: &InstanceName, was_answered: bool) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.contact.statements.record_end(was_answered);
        }
    }

    /// A statement on `instance` succeeded, or failed where it should not.
    pub fn statement_ended(&self, instance: &InstanceName, succeeded: bool) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            let statements = &mut known.contact.statements;
            if succeeded {
                statements.record_success(clock::now());
            } else {
                statements.record_failure(clock::now());
            }
        }
    }

    /// This process stood still: silence meanwhile says nothing of instances.
    pub fn forgive_silence(&self) {
        let now = clock::now();
        for known in self.state().instances.values_mut() {
            known.contact.statements.record_response(now);
        }
    }

    /// A question sent to `instance` at `asked` came to nothing.
    pub fn failed(&self, instance: &InstanceName, asked: Instant, is_refusing: bool) {
        let mut state = self.state();
        let Some(known) = state.instances.get_mut(instance) else {
            return;
        };
        let contact = &mut known.contact;
        contact.avoid_until = clock::now().plus_millis(AVOID_MS);
        if contact.last_success.is_some_and(|success| success > asked) {
            return;
        }
        if contact.failing_since.is_none() {
            info!("event=instance_failing instance={instance} refusing={is_refusing}");
        }
        contact.failing_since.get_or_insert(asked);
        contact.is_refusing = is_refusing;
        if is_refusing {
            state.doubt_life(instance);
        }
    }

    /// `instance` lacked a position that a read needs.
    pub fn behind(&self, instance: &InstanceName) {
        if let Some(known) = self.state().instances.get_mut(instance) {
            known.contact.avoid_until = clock::now().plus_millis(BEHIND_MS);
        }
    }

    pub(super) fn new_contact(&self, record: &InstanceRecord) -> Contact {
        let is_near = record.zone.as_str() == self.zone;
        Contact {
            last_success: None,
            failing_since: None,
            is_refusing: false,
            latency_us: if is_near { NEAR_LATENCY_US } else { FAR_LATENCY_US },
            check_us: None,
            is_doubted: false,
            statements: StatementHealth::default(),
            avoid_until: Instant::default(),
        }
    }
}
