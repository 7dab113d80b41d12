//! Admission control for an instance: a fixed number of execution slots and a bounded,
//! weighted fair queue across tenants. Requests that would miss their deadline are
//! refused without waiting.

use std::collections::{BTreeMap, VecDeque};

use crate::Instant;
use crate::error_kind::ErrorKind;
use crate::ids::TenantName;

/// The newest sample has a weight of one in this many in the moving average of the
/// service time.
const SERVICE_TIME_SMOOTHING: u64 = 8;
/// Virtual time by which a request advances a tenant of weight one.
const VIRTUAL_UNIT: u64 = 1 << 16;

/// Limits of one instance's admission queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub queue_length: usize,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Identifies the request to the caller.
    pub id: u64,
    /// Tenant whose share of the queue the request uses.
    pub tenant: TenantName,
    /// Weight of the tenant in the fair queue; zero counts as one.
    pub weight: u32,
    /// Priority of the request: a full queue evicts requests of lower priority first.
    pub priority: u32,
    /// Time by which the request must be answered.
    pub deadline: Instant,
}

/// Result of a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot and may run now.
    Granted,
    /// The request waits until [`AdmissionQueue::release`] or
    /// [`AdmissionQueue::grant_next`] returns its ticket or reports it as expired, or until
    /// another request evicts it.
    Queued,
    /// The request is refused and must not run.
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
    /// Creates an empty queue with these limits.
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

    /// Number of requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Moving average of the time for which a slot is held, in microseconds.
    pub fn service_time_us(&self) -> u64 {
        self.service_time_us
    }

    /// Requests a slot for `ticket` at `now`.
    ///
    /// If the queue is full, a ticket of higher priority evicts a ticket of the lowest priority,
    /// the newest one of the first tenant that has such tickets. The id of the evicted
    /// ticket is pushed to `evicted`.
    pub fn admit(&mut self, now: Instant, ticket: Ticket, evicted: &mut Vec<u64>) -> Admission {
        if self.running < self.limits.slots {
            self.running += 1;
            return Admission::Granted;
        }
        if self.estimated_completion(now) > ticket.deadline {
            return Admission::Refused(ErrorKind::DeadlineTooShort);
        }
        if self.queued >= self.limits.queue_length && !self.evict_lowest_priority(ticket.priority, evicted) {
            return Admission::Refused(ErrorKind::QueueFull);
        }
        self.enqueue(ticket);
        Admission::Queued
    }

    fn estimated_completion(&self, now: Instant) -> Instant {
        let slots = u64::from(self.limits.slots.max(1));
        let rounds = self.queued as u64 / slots + 1;
        Instant(now.0 + rounds * self.service_time_us)
    }

    fn evict_lowest_priority(&mut self, priority: u32, evicted: &mut Vec<u64>) -> bool {
        let lowest = self
            .tenants
            .iter()
            .flat_map(|(tenant, queue)| {
                queue
                    .waiting
                    .iter()
                    .map(move |ticket| (ticket.priority, tenant.clone()))
            })
            .min();
        let Some((lowest_priority, tenant)) = lowest else {
            return false;
        };
        if lowest_priority >= priority {
            return false;
        }
        let Some(queue) = self.tenants.get_mut(&tenant) else {
            return false;
        };
        let Some(index) = queue
            .waiting
            .iter()
            .rposition(|ticket| ticket.priority == lowest_priority)
        else {
            return false;
        };
        if let Some(ticket) = queue.waiting.remove(index) {
            self.queued -= 1;
            evicted.push(ticket.id);
        }
        true
    }

    fn enqueue(&mut self, ticket: Ticket) {
        let queue = self.tenants.entry(ticket.tenant.clone()).or_default();
        if queue.waiting.is_empty() {
            // An idle tenant does not accumulate credit.
            queue.virtual_time = queue.virtual_time.max(self.virtual_now);
        }
        queue.waiting.push_back(ticket);
        self.queued += 1;
    }

    /// Releases a slot held for `held_us` microseconds and returns the ticket that it
    /// passes to, if any. The ids of tickets that can no longer meet their deadline are
    /// pushed to `expired`.
    pub fn release(&mut self, now: Instant, held_us: u64, expired: &mut Vec<u64>) -> Option<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.update_service_time(held_us);
        self.grant_next(now, expired)
    }

    /// Grants a free slot to the next waiting ticket and returns the ticket; `None` if no
    /// slot is free or no ticket waits. Expired tickets are handled as in
    /// [`Self::release`].
    pub fn grant_next(&mut self, now: Instant, expired: &mut Vec<u64>) -> Option<Ticket> {
        while self.running < self.limits.slots {
            let ticket = self.pop_next()?;
            if ticket.deadline < Instant(now.0 + self.service_time_us) {
                expired.push(ticket.id);
                continue;
            }
            self.running += 1;
            return Some(ticket);
        }
        None
    }

    /// Removes a ticket from the queue; returns false if it was not waiting.
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

    fn update_service_time(&mut self, held_us: u64) {
        let kept = self.service_time_us * (SERVICE_TIME_SMOOTHING - 1);
        self.service_time_us = (kept + held_us) / SERVICE_TIME_SMOOTHING;
    }

    fn pop_next(&mut self) -> Option<Ticket> {
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
