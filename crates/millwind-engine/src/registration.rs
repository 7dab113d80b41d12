//! Maintains the record of this process in the store.
//!
//! Where promotions do not fence the old leader, a promotion waits until every node that
//! may hold a lead permit has answered or its permit has expired. A node announces a
//! planned stop in its record. Peers whose catalog comparisons with a node keep failing
//! mark it as unreachable. A marked node that is still running rewrites its record, and
//! gets new permits only from data read after that.

use std::time::Duration;

use log::{info, warn};
use millwind_core::lead_permit::PERMIT_MS;
use millwind_store::{Condition, Store, StoreRevision, Swap, Write};
use tokio::sync::watch;

use crate::node::Engine;
use crate::registry::{Departure, NodeRecord, Registry};
use crate::resent_writes;

/// Delay before this node's record is written again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Maintains the record of this process in the store until the process ends, and rewrites it
/// when others change it. Once `departure` is set, the record carries it.
pub async fn keep_registered<S: Store>(
    engine: &Engine,
    store: &S,
    record: NodeRecord,
    mut departure: watch::Receiver<Option<Departure>>,
) {
    let registry = &engine.registry;
    if !engine.settings.is_first_start {
        // A record of an earlier process usually exists after a restart.
        registry.await_listed().await;
    }
    let mut own = OwnRecord {
        record,
        registered: StoreRevision::NONE,
        without_predecessors: StoreRevision::NONE,
    };
    loop {
        own.record.registration.departure = *departure.borrow_and_update();
        let (known, revision) = registry.own_record();
        let wanted = own.next(known.as_ref(), revision);
        let has_predecessors = !wanted.registration.predecessors.is_empty();
        if known.as_ref() == Some(&wanted) && registry.is_own_record_readable() {
            if registry.is_registered() && own.registered != revision {
                own.registered = revision;
                request_permits(engine);
            }
            tokio::select! {
                () = registry.own_record_replaced(revision) => {}
                Ok(()) = departure.changed() => {}
                () = permits_expired(), if has_predecessors => own.without_predecessors = revision,
            }
        } else if let Some(later) = known.filter(|known| own.is_superseded_by(known, revision)) {
            warn!(
                "event=node_superseded name={} address={} process={}",
                registry.own_name(),
                later.peer_address,
                later.registration.process_name()
            );
            registry.own_record_replaced(revision).await;
        } else {
            tokio::select! {
                () = write_own_record(registry, store, wanted, revision) => {}
                // The store may carry out a write without an answer.
                () = registry.own_record_replaced(revision) => {}
                Ok(()) = departure.changed() => {}
            }
        }
    }
}

/// The record of this process, and what the store has held of it.
struct OwnRecord {
    record: NodeRecord,
    /// The last revision that registered this process; none if none has.
    registered: StoreRevision,
    /// The revision whose predecessors no longer have permits.
    without_predecessors: StoreRevision,
}

impl OwnRecord {
    /// Returns the record with which this process replaces `known`, which has `revision`.
    fn next(&self, known: Option<&NodeRecord>, revision: StoreRevision) -> NodeRecord {
        let mut next = self.record.clone();
        // Where promotions fence there are no permits, and records do not name processes.
        let Some(known) = known.filter(|_| next.registration.process.is_some()) else {
            return next;
        };
        if revision == self.without_predecessors {
            return next;
        }
        next.registration.predecessors = match known.registration.process == next.registration.process {
            true => known.registration.predecessors.clone(),
            false => known
                .registration
                .predecessors_of_next(known.peer_address, next.peer_address),
        };
        next
    }

    /// Returns whether `known` is the record of a process that has taken over this node's name
    /// at another address after this process was registered. A store that was restored from a
    /// backup may hold an earlier record.
    fn is_superseded_by(&self, known: &NodeRecord, revision: StoreRevision) -> bool {
        let has_registered = !self.registered.is_none() && self.registered.era == revision.era;
        let is_present = known.registration.departure.is_none();
        has_registered && is_present && known.peer_address != self.record.peer_address
    }
}

/// Writes the record of this process once, and waits before the next attempt after a failure. A
/// conflict reveals a newer record, which is replaced without a delay.
async fn write_own_record<S: Store>(
    registry: &Registry,
    store: &S,
    wanted: NodeRecord,
    revision: StoreRevision,
) {
    let is_written = write_record(registry, store, registry.own_name(), wanted, revision).await;
    if !is_written && registry.own_record().1 == revision {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Waits until permits that exist now have expired.
async fn permits_expired() {
    tokio::time::sleep(Duration::from_millis(PERMIT_MS)).await;
}

/// Makes the node read the store again after its registration. Lead permits require data that
/// is read after that.
fn request_permits(engine: &Engine) {
    if !engine.settings.promotion_fences {
        engine.store_contact.request_reread();
    }
}

/// Replaces a node's record if its revision is still `revision`. Returns whether the
/// store accepted the write.
pub(crate) async fn write_record<S: Store>(
    registry: &Registry,
    store: &S,
    name: &str,
    record: NodeRecord,
    revision: StoreRevision,
) -> bool {
    let key = registry.key(&record.zone, name);
    let write = Write {
        key: key.clone(),
        // Serialization of a node record cannot fail.
        value: serde_json::to_vec(&record).unwrap_or_default(),
    };
    match resent_writes::swap(store, &[Condition { key, revision }], &[write]).await {
        Ok(Swap::Done { revision }) => {
            info!(
                "event=node_registered name={name} process={} revision={revision} departure={:?}",
                record.registration.process_name(),
                record.registration.departure
            );
            registry.record_written(name, record, revision);
            true
        }
        Ok(Swap::Conflict { current }) => {
            registry.apply(current);
            false
        }
        Err(error) => {
            warn!(
                "event=node_not_registered name={name} error={:?}",
                error.to_string()
            );
            false
        }
    }
}
