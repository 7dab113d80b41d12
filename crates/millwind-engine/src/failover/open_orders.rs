//! Promotion orders without an answer, which the promotion service may still carry out.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};

use crate::clock;
use crate::failover_ownership::ObservedOwnership;

/// Time after which an order without an answer is no longer carried out, in milliseconds. The
/// service may carry it out many seconds after it was sent.
const ORDER_LIFETIME_MS: u64 = 15_000;

/// The last order of this node for a group.
#[derive(Debug, Clone)]
pub(super) struct SentOrder {
    instance: InstanceName,
    token: u64,
    sent_at: Instant,
    /// Whether the order, or an earlier one for the same instance, may still be carried out.
    is_open: bool,
}

/// The last orders of this node, by group.
#[derive(Debug, Default)]
pub(super) struct OpenOrders(Mutex<HashMap<GroupName, SentOrder>>);

impl OpenOrders {
    fn orders(&self) -> MutexGuard<'_, HashMap<GroupName, SentOrder>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an order that is about to be sent. Returns the one before.
    pub fn record(&self, group: &GroupName, instance: &InstanceName, token: u64) -> Option<SentOrder> {
        let order = SentOrder {
            instance: instance.clone(),
            token,
            sent_at: clock::now(),
            is_open: true,
        };
        self.orders().insert(group.clone(), order)
    }

    /// Records that the last order was refused without an effect, or not sent. An earlier one may
    /// be open.
    pub fn refuse(&self, group: &GroupName, earlier: Option<SentOrder>) {
        if let Some(order) = self.orders().get_mut(group) {
            let open = earlier.filter(|earlier| earlier.is_open);
            order.is_open = open.is_some();
            if let Some(open) = open {
                order.instance = open.instance;
                order.sent_at = open.sent_at;
            }
        }
    }

    /// Records that the instance that the last order names leads.
    pub fn close(&self, group: &GroupName) {
        if let Some(order) = self.orders().get_mut(group) {
            order.is_open = false;
        }
    }

    /// Returns the instance that an open order of this node names.
    pub fn own_open_order(&self, group: &GroupName) -> Option<InstanceName> {
        let own = self.orders().get(group).cloned()?;
        (own.is_open && is_recent(own.sent_at)).then_some(own.instance)
    }

    /// Returns the instance that an open order names, either one of this process or the last one
    /// of another process as recorded in the store. A process that has just started cannot tell
    /// how old a recorded order is, and takes it for open.
    pub fn open_order(
        &self,
        group: &GroupName,
        recorded: Option<&ObservedOwnership>,
    ) -> Option<InstanceName> {
        let own_token = self.orders().get(group).map_or(0, |order| order.token);
        let recorded = recorded.filter(|ownership| ownership.revision.fencing_token() > own_token);
        let recorded = recorded.filter(|ownership| ownership.record.is_ordered);
        match recorded {
            Some(ownership) if is_recent(ownership.observed_at) => ownership.record.chosen.clone(),
            _ => self.own_open_order(group),
        }
    }
}

fn is_recent(since: Instant) -> bool {
    clock::now().millis_since(since) < ORDER_LIFETIME_MS
}
