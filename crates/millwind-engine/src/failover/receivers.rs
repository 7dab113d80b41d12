//! Finds out whether replicas without a record have ended. A replica that is partitioned from
//! the store loses its record, but may go on receiving commits and let the leader acknowledge
//! them.

use std::collections::HashMap;
use std::sync::Arc;

use futures::future::join_all;
use millwind_core::ids::{GroupName, InstanceName};

use super::health;
use crate::clock;
use crate::directory::KnownInstance;
use crate::node::Engine;
use crate::peers;

/// Checks all replicas without a record in the background.
pub(crate) fn check_removed_receivers(engine: &Arc<Engine>) {
    let mut by_group: HashMap<GroupName, Vec<KnownInstance>> = HashMap::new();
    for known in engine.directory.removed_receivers() {
        let group = known.record.group.clone();
        by_group.entry(group).or_default().push(known);
    }
    for (group, receivers) in by_group {
        if let Some(guard) = engine.receiver_checks.enter(&group) {
            let engine = engine.clone();
            tokio::spawn(async move {
                let checks = receivers.iter().map(|known| check_receiver(&engine, known));
                join_all(checks).await;
                drop(guard);
            });
        }
    }
}

async fn check_receiver(engine: &Arc<Engine>, known: &KnownInstance) {
    let instance = &known.record.name;
    health::probe_instance(engine, &known.record).await;
    if has_ended(engine, instance).await && engine.directory.record_receiver_end(instance) {
        engine.pools.retire(instance);
    }
}

/// Returns whether an instance without a record has ended: this node fails to reach it, no peer
/// reaches it, and either a peer finds it gone too or the drain bound is over. One node alone may
/// be partitioned from the instance.
async fn has_ended(engine: &Arc<Engine>, instance: &InstanceName) -> bool {
    let known = engine.directory.instance(instance);
    let Some(known) = known.filter(|known| known.health.failing_since.is_some()) else {
        return false;
    };
    let bound = engine.settings.drain_bound_ms;
    let is_over = |since| clock::now().millis_since(since) > bound;
    let is_overdue = known.leaving_since.is_some_and(is_over);
    if !is_overdue && !known.health.is_refusing {
        return false;
    }
    let reachability = peers::query_reachability(engine, instance).await;
    let is_confirmed = reachability.failing > 0 || engine.registry.count() <= 1;
    reachability.reaching == 0 && (is_overdue || is_confirmed)
}
