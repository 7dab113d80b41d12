//! Admission to an instance: a fixed number of slots, a bounded queue shared
//! fairly between tenants by weight, and deadlines that are refused early.

use std::collections::{BTreeMap, VecDeque};

use crate::Instant;
use crate::error_kind::ErrorKind;
use crate::ids::TenantName;

/// Weight of the newest service time in the running mean, as one in this many.
const SERVICE_TIME_SMOOTHING: u64 = 8;
/// Virtual time is counted in this many units per request of weight one.
const VIRTUAL_UNIT: u64 = 1 << 16;

/// Limits of one instance's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Requests that may wait.
    pub queue_length: usize,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Names the request to the owner of the queue.
    pub id: u64,
    /// Tenant whose share it draws on.
    pub tenant: TenantName,
    /// The tenant's weight, at least 1.
    pub weight: u32,
    /// What the request counts for; a setpoint counts double.
    pub value: u32,
    /// When its answer must be there.
    pub deadline: Instant,
}

/// What to do with a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Runs now.
    Granted,
    /// Waits; a later call names it.
    Queued,
    /// Refused, not run.
    Refused(ErrorKind),
}

#[derive(Debug, Default)]
struct TenantQueue {
    waiting: VecDeque<Ticket>,
    virtual_time: u64,
}

/// The slots and the queue of one instance.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: AdmissionLimits,
    running: u32,
    queued: usize,
    virtual_now: u64,
    service_time_us: u64,
    tenants: BTreeMap<TenantName, TenantQueue>,
}

impl AdmissionQueue {
    /// An empty queue with these limits.
    pub fn new(limits: AdmissionLimits) -> Self {
        AdmissionQueue {
            limits,
            running: 0,
            queued: 0,
            virtual_now: 0,
            service_time_us: 0,
            tenants: BTreeMap::new(),
        }
    }

    /// Requests running now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests waiting now.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Running mean of the time a slot is held, in microseconds.
    pub fn service_time_us(&self) -> u64 {
        self.service_time_us
    }

    /// Asks for a slot at `now`.
    ///
    /// A full queue makes room for a request of higher value by refusing the
    /// newest one of the lowest value; `displaced` receives its id.
    pub fn admit(&mut self, now: Instant, ticket: Ticket, displaced: &mut Vec<u64>) -> Admission {
        if self.running < self.limits.slots {
            self.running += 1;
            return Admission::Granted;
        }
        if self.expected_finish(now) > ticket.deadline {
            return Admission::Refused(ErrorKind::WindowTooShort);
        }
        if self.queued >= self.limits.queue_length && !self.displace(ticket.value, displaced) {
            return Admission::Refused(ErrorKind::QueueFull);
        }
        self.enqueue(ticket);
        Admission::Queued
    }

    fn expected_finish(&self, now: Instant) -> Instant {
        let slots = u64::from(self.limits.slots.max(1));
        let rounds = self.queued as u64 / slots + 1;
        Instant(now.0 + rounds * self.service_time_us)
    }

    fn displace(&mut self, value: u32, displaced: &mut Vec<u64>) -> bool {
        let lowest = self
            .tenants
            .iter()
            .flat_map(|(tenant, queue)| {
                queue
                    .waiting
                    .iter()
                    .map(move |ticket| (ticket.value, tenant.clone()))
            })
            .min();
        let Some((lowest_value, tenant)) = lowest else {
            return false;
        };
        if lowest_value >= value {
            return false;
        }
        let Some(queue) = self.tenants.get_mut(&tenant) else {
            return false;
        };
        let Some(index) = queue
            .waiting
            .iter()
            .rposition(|ticket| ticket.value == lowest_value)
        else {
            return false;
        };
        if let Some(ticket) = queue.waiting.remove(index) {
            self.queued -= 1;
            displaced.push(ticket.id);
        }
        true
    }

    fn enqueue(&mut self, ticket: Ticket) {
        let queue = self.tenants.entry(ticket.tenant.clone()).or_default();
        if queue.waiting.is_empty() {
            // An idle tenant must not save up a claim on the past.
            queue.virtual_time = queue.virtual_time.max(self.virtual_now);
        }
        queue.waiting.push_back(ticket);
        self.queued += 1;
    }

    /// Takes back a slot held for `held_us` microseconds and names the ticket
    /// that gets it, if any. Tickets that can no longer finish in their window
    /// are pushed to `expired`.
    pub fn release(&mut self, now: Instant, held_us: u64, expired: &mut Vec<u64>) -> Option<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.learn_service_time(held_us);
        self.grant_next(now, expired)
    }

    /// Gives a free slot to the next waiting ticket, if there are both.
    pub fn grant_next(&mut self, now: Instant, expired: &mut Vec<u64>) -> Option<Ticket> {
        while self.running < self.limits.slots {
            let ticket = self.pop_fairest()?;
            if ticket.deadline < Instant(now.0 + self.service_time_us) {
                expired.push(ticket.id);
                continue;
            }
            self.running += 1;
            return Some(ticket);
        }
        None
    }

    /// Drops a waiting ticket whose caller has gone; true if it was waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        for queue in self.tenants.values_mut() {
            if let Some(index) = queue.waiting.iter().position(|ticket| ticket.id == id) {
                queue.waiting.remove(index);
                self.queued -= 1;
                return true;
            }
        }
        false
    }

    fn learn_service_time(&mut self, held_us: u64) {
        let kept = self.service_time_us * (SERVICE_TIME_SMOOTHING - 1);
        self.service_time_us = (kept + held_us) / SERVICE_TIME_SMOOTHING;
    }

    fn pop_fairest(&mut self) -> Option<Ticket> {
        let queue = self
            .tenants
            .values_mut()
            .filter(|queue| !queue.waiting.is_empty())
            .min_by_key(|queue| queue.virtual_time)?;
        let ticket = queue.waiting.pop_front()?;
        self.queued -= 1;
        self.virtual_now = queue.virtual_time;
        queue.virtual_time += VIRTUAL_UNIT / u64::from(ticket.weight.max(1));
        Some(ticket)
    }
}
