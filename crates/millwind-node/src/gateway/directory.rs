//! Last known state of the database groups: the primary, and the position and
//! replication lag that each instance last reported.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use millwind_core::Instant;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::position::{LogPosition, Position, Term, TermStart};
use millwind_core::routing::InstanceHint;
use millwind_core::tenant::GroupSpec;
use millwind_wire::{AwaitPrimary, ExecuteReply, GroupStatus, PeerMessage};
use tokio::sync::watch;

use super::{Gateway, Owner};
use crate::clock;
use crate::peer::{CallError, OnSilence};

/// How long an owner may wait for a primary before it replies to a query.
const SEARCH_WAIT_MS: u32 = 1_000;
/// Delay before an owner is queried again.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(25);
/// How long an instance that failed is excluded from reads.
const BAN_MS: u64 = 500;
/// Divisor of the moving average of lag: a new sample has weight `1 / LAG_SMOOTHING`.
const LAG_SMOOTHING: u64 = 4;

/// The last known primary of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPrimary {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Term in which the instance is primary.
    pub term: Term,
}

#[derive(Debug)]
struct GroupState {
    spec: Arc<GroupSpec>,
    hints: Vec<InstanceHint>,
    primary: watch::Sender<Option<KnownPrimary>>,
}

/// Last known state of all groups.
#[derive(Debug, Default)]
pub struct GroupDirectory {
    groups: Mutex<HashMap<GroupName, GroupState>>,
    searching: Mutex<HashSet<GroupName>>,
}

impl GroupDirectory {
    fn with_group<T>(&self, spec: &Arc<GroupSpec>, update: impl FnOnce(&mut GroupState) -> T) -> T {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let group = groups
            .entry(spec.name.clone())
            .or_insert_with(|| GroupState::new(spec.clone()));
        if !Arc::ptr_eq(&group.spec, spec) {
            group.update_spec(spec.clone());
        }
        update(group)
    }

    /// Returns the last known state of each instance in the group.
    pub fn hints(&self, spec: &Arc<GroupSpec>) -> Vec<InstanceHint> {
        self.with_group(spec, |group| group.hints.clone())
    }

    /// Returns the primary, if known.
    pub fn primary(&self, spec: &Arc<GroupSpec>) -> Option<KnownPrimary> {
        self.with_group(spec, |group| group.primary.borrow().clone())
    }

    fn subscribe(&self, spec: &Arc<GroupSpec>) -> watch::Receiver<Option<KnownPrimary>> {
        self.with_group(spec, |group| group.primary.subscribe())
    }

    /// Updates position, lag and role of `instance` from a reply.
    pub fn record_reply(&self, spec: &Arc<GroupSpec>, instance: &InstanceName, reply: &ExecuteReply) {
        if reply.held.term == 0 {
            return;
        }
        self.with_group(spec, |group| {
            let position = Position::new(reply.held.term, reply.held.log_position);
            if let Some(hint) = group.hint(instance).filter(|_| reply.lag_ms != u32::MAX) {
                let weighted = hint.lag_ms * (LAG_SMOOTHING - 1);
                hint.lag_ms = (weighted + u64::from(reply.lag_ms)) / LAG_SMOOTHING;
            }
            let history = term_history(&reply.history);
            group.observe(instance, position, history, reply.primary == 1);
        });
    }

    /// Bans `instance` and clears it as the primary after a failed request.
    pub fn record_failure(&self, spec: &Arc<GroupSpec>, instance: &InstanceName) {
        self.ban(spec, instance);
        self.clear_primary(spec, instance);
    }

    /// Clears the known primary if it is `instance`.
    pub fn clear_primary(&self, spec: &Arc<GroupSpec>, instance: &InstanceName) {
        self.with_group(spec, |group| group.clear_primary(instance));
    }

    /// Excludes `instance` from reads for [`BAN_MS`].
    pub fn ban(&self, spec: &Arc<GroupSpec>, instance: &InstanceName) {
        self.with_group(spec, |group| {
            if let Some(hint) = group.hint(instance) {
                hint.excluded_until = clock::now().plus_millis(BAN_MS);
            }
        });
    }

    fn record_group_status(&self, spec: &Arc<GroupSpec>, status: &GroupStatus) -> bool {
        let history = term_history(&status.history);
        self.with_group(spec, |group| {
            let mut found = false;
            for member in &status.members {
                let instance = InstanceName::from(member.instance.as_str());
                let position = Position::new(member.position.term, member.position.log_position);
                if position.term.0 > 0 {
                    group.observe(&instance, position, history.clone(), member.primary == 1);
                }
                found |= member.primary == 1;
            }
            found
        })
    }
}

fn term_history(wire: &[millwind_wire::WireTermStart]) -> Vec<TermStart> {
    wire.iter()
        .map(|entry| TermStart {
            term: Term(entry.term),
            start: LogPosition(entry.start),
        })
        .collect()
}

impl GroupState {
    fn new(spec: Arc<GroupSpec>) -> Self {
        let (primary, _) = watch::channel(None);
        let mut group = GroupState {
            spec: spec.clone(),
            hints: Vec::new(),
            primary,
        };
        group.update_spec(spec);
        group
    }

    fn update_spec(&mut self, spec: Arc<GroupSpec>) {
        self.hints = spec
            .instances
            .iter()
            .map(|instance| {
                let previous = self.hints.iter().find(|hint| hint.instance == instance.name);
                InstanceHint {
                    instance: instance.name.clone(),
                    zone: instance.zone.clone(),
                    region: instance.region.clone(),
                    primary: previous.is_some_and(|hint| hint.primary),
                    position: previous.and_then(|hint| hint.position),
                    lag_ms: previous.map_or(0, |hint| hint.lag_ms),
                    term_starts: previous.map(|hint| hint.term_starts.clone()).unwrap_or_default(),
                    leaving: instance.leaving,
                    excluded_until: previous.map_or(Instant::default(), |hint| hint.excluded_until),
                }
            })
            .collect();
        self.spec = spec;
    }

    fn hint(&mut self, instance: &InstanceName) -> Option<&mut InstanceHint> {
        self.hints.iter_mut().find(|hint| hint.instance == *instance)
    }

    fn observe(
        &mut self,
        instance: &InstanceName,
        position: Position,
        history: Vec<TermStart>,
        primary: bool,
    ) {
        let known_term = self.primary.borrow().as_ref().map(|known| known.term);
        let is_current = known_term.is_none_or(|term| position.term >= term);
        if let Some(hint) = self.hint(instance) {
            hint.position = Some((clock::now(), position));
            hint.term_starts = history;
            hint.primary = primary && is_current;
        }
        if !(primary && is_current) {
            return;
        }
        for hint in &mut self.hints {
            hint.primary = hint.instance == *instance;
        }
        let known = KnownPrimary {
            instance: instance.clone(),
            term: position.term,
        };
        self.primary.send_if_modified(|current| {
            let changed = current.as_ref() != Some(&known);
            *current = Some(known);
            changed
        });
    }

    fn clear_primary(&mut self, instance: &InstanceName) {
        let is_known = self
            .primary
            .borrow()
            .as_ref()
            .is_some_and(|known| known.instance == *instance);
        if is_known {
            self.primary.send_replace(None);
        }
        if let Some(hint) = self.hint(instance) {
            hint.primary = false;
        }
    }
}

/// Returns the primary, waiting until `deadline` if none is known.
pub async fn wait_for_primary(
    gateway: &Arc<Gateway>,
    spec: &Arc<GroupSpec>,
    deadline: Instant,
) -> Option<KnownPrimary> {
    if let Some(known) = gateway.directory.primary(spec) {
        return Some(known);
    }
    gateway.metrics.held.inc();
    let mut primary = gateway.directory.subscribe(spec);
    spawn_search(gateway, spec);
    let primary_found = async {
        loop {
            if let Some(known) = primary.borrow_and_update().clone() {
                return Some(known);
            }
            if primary.changed().await.is_err() {
                return None;
            }
        }
    };
    tokio::time::timeout(clock::time_until(deadline), primary_found)
        .await
        .ok()
        .flatten()
}

/// Starts a search for the group's primary unless one is running.
fn spawn_search(gateway: &Arc<Gateway>, spec: &Arc<GroupSpec>) {
    let mut searching = gateway
        .directory
        .searching
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if !searching.insert(spec.name.clone()) {
        return;
    }
    let gateway = gateway.clone();
    let spec = spec.clone();
    tokio::spawn(async move {
        search(&gateway, &spec).await;
        gateway
            .directory
            .searching
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&spec.name);
    });
}

/// Queries the owners of all instances in the group until one reports a primary or
/// no request waits for one.
async fn search(gateway: &Arc<Gateway>, spec: &Arc<GroupSpec>) {
    loop {
        let mut queries: FuturesUnordered<_> = spec
            .instances
            .iter()
            .map(|instance| query_owner(gateway, spec, &instance.name))
            .collect();
        while let Some(status) = queries.next().await {
            if status.is_some_and(|status| gateway.directory.record_group_status(spec, &status)) {
                return;
            }
        }
        let waiting = gateway
            .directory
            .with_group(spec, |group| group.primary.receiver_count());
        if waiting == 0 {
            return;
        }
        tokio::time::sleep(SEARCH_RETRY_DELAY).await;
    }
}

async fn query_owner(
    gateway: &Arc<Gateway>,
    spec: &Arc<GroupSpec>,
    instance: &InstanceName,
) -> Option<GroupStatus> {
    let instance = spec.instances.iter().find(|member| member.name == *instance)?;
    let request = AwaitPrimary {
        request_id: gateway.links.next_request_id(),
        group: spec.name.0.clone(),
        above_term: 0,
        wait_ms: SEARCH_WAIT_MS,
    };
    let (node, address) = match gateway.owner_of(instance)? {
        Owner::Local => return Some(gateway.owner.await_primary(request).await),
        Owner::Peer { node, address } => (node, address),
    };
    let limit = Duration::from_millis(u64::from(SEARCH_WAIT_MS) + 500);
    let id = request.request_id;
    let message = PeerMessage::AwaitPrimary(request);
    match gateway
        .links
        .call(address, id, message, limit, OnSilence::FailCall)
        .await
    {
        Ok(PeerMessage::GroupStatus(status)) => Some(status),
        Err(CallError::NotSent) => {
            gateway.unreachable_nodes.mark(&node);
            tokio::time::sleep(SEARCH_RETRY_DELAY).await;
            None
        }
        _ => {
            tokio::time::sleep(SEARCH_RETRY_DELAY).await;
            None
        }
    }
}
