//! What the gateway knows of the database groups: who leads, and how far each
//! instance had replayed when it last answered.

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
use crate::peer::{CallError, Patience};

/// Each question for a primary waits this long at an owner.
const SEARCH_WAIT_MS: u32 = 1_000;
/// A failed owner is not asked again before this.
const SEARCH_PAUSE: Duration = Duration::from_millis(25);
/// An instance that failed is left alone this long.
const BAN_MS: u64 = 500;
/// Weight of the newest lag in the running mean, as one in this many.
const LAG_SMOOTHING: u64 = 4;

/// A primary as the gateway knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownPrimary {
    /// The instance.
    pub instance: InstanceName,
    /// Term it leads.
    pub term: Term,
}

#[derive(Debug)]
struct Entry {
    spec: Arc<GroupSpec>,
    hints: Vec<InstanceHint>,
    primary: watch::Sender<Option<KnownPrimary>>,
}

/// What is known of all groups.
#[derive(Debug, Default)]
pub struct Directory {
    groups: Mutex<HashMap<GroupName, Entry>>,
    searching: Mutex<HashSet<GroupName>>,
}

impl Directory {
    fn with<T>(&self, spec: &Arc<GroupSpec>, work: impl FnOnce(&mut Entry) -> T) -> T {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = groups
            .entry(spec.name.clone())
            .or_insert_with(|| Entry::new(spec.clone()));
        if !Arc::ptr_eq(&entry.spec, spec) {
            entry.refresh(spec.clone());
        }
        work(entry)
    }

    /// Hints of all instances.
    pub fn hints(&self, spec: &Arc<GroupSpec>) -> Vec<InstanceHint> {
        self.with(spec, |entry| entry.hints.clone())
    }

    /// The primary, if known.
    pub fn primary(&self, spec: &Arc<GroupSpec>) -> Option<KnownPrimary> {
        self.with(spec, |entry| entry.primary.borrow().clone())
    }

    fn subscribe(&self, spec: &Arc<GroupSpec>) -> watch::Receiver<Option<KnownPrimary>> {
        self.with(spec, |entry| entry.primary.subscribe())
    }

    /// Takes in what rode on an answer of `instance`.
    pub fn learn(&self, spec: &Arc<GroupSpec>, instance: &InstanceName, reply: &ExecuteReply) {
        if reply.held.term == 0 {
            return;
        }
        self.with(spec, |entry| {
            let position = Position::new(reply.held.term, reply.held.log_position);
            if let Some(hint) = entry.hint(instance).filter(|_| reply.lag_ms != u32::MAX) {
                let kept = hint.lag_ms * (LAG_SMOOTHING - 1);
                hint.lag_ms = (kept + u64::from(reply.lag_ms)) / LAG_SMOOTHING;
            }
            let history = history(&reply.history);
            entry.observe(instance, position, history, reply.primary == 1);
        });
    }

    /// Takes in that a request to `instance` failed: it is left alone for a
    /// while, and no longer taken for the primary.
    pub fn failed(&self, spec: &Arc<GroupSpec>, instance: &InstanceName) {
        self.ban(spec, instance);
        self.not_primary(spec, instance);
    }

    /// Takes in that `instance` does not lead.
    pub fn not_primary(&self, spec: &Arc<GroupSpec>, instance: &InstanceName) {
        self.with(spec, |entry| entry.forget_primary(instance));
    }

    /// Takes in that `instance` can serve no read just now.
    pub fn ban(&self, spec: &Arc<GroupSpec>, instance: &InstanceName) {
        self.with(spec, |entry| {
            if let Some(hint) = entry.hint(instance) {
                hint.excluded_until = clock::now().plus_millis(BAN_MS);
            }
        });
    }

    fn learn_status(&self, spec: &Arc<GroupSpec>, status: &GroupStatus) -> bool {
        let history = history(&status.history);
        self.with(spec, |entry| {
            let mut found = false;
            for member in &status.members {
                let instance = InstanceName::from(member.instance.as_str());
                let position = Position::new(member.position.term, member.position.log_position);
                if position.term.0 > 0 {
                    entry.observe(&instance, position, history.clone(), member.primary == 1);
                }
                found |= member.primary == 1;
            }
            found
        })
    }
}

fn history(wire: &[millwind_wire::WireTermStart]) -> Vec<TermStart> {
    wire.iter()
        .map(|entry| TermStart {
            term: Term(entry.term),
            start: LogPosition(entry.start),
        })
        .collect()
}

impl Entry {
    fn new(spec: Arc<GroupSpec>) -> Self {
        let (primary, _) = watch::channel(None);
        let mut entry = Entry {
            spec: spec.clone(),
            hints: Vec::new(),
            primary,
        };
        entry.refresh(spec);
        entry
    }

    fn refresh(&mut self, spec: Arc<GroupSpec>) {
        self.hints = spec
            .instances
            .iter()
            .map(|instance| {
                let held = self.hints.iter().find(|hint| hint.instance == instance.name);
                InstanceHint {
                    instance: instance.name.clone(),
                    zone: instance.zone.clone(),
                    region: instance.region.clone(),
                    primary: held.is_some_and(|hint| hint.primary),
                    position: held.and_then(|hint| hint.position),
                    lag_ms: held.map_or(0, |hint| hint.lag_ms),
                    term_starts: held.map(|hint| hint.term_starts.clone()).unwrap_or_default(),
                    leaving: instance.leaving,
                    excluded_until: held.map_or(Instant::default(), |hint| hint.excluded_until),
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
        let newest = known_term.is_none_or(|term| position.term >= term);
        if let Some(hint) = self.hint(instance) {
            hint.position = Some((clock::now(), position));
            hint.term_starts = history;
            hint.primary = primary && newest;
        }
        if !(primary && newest) {
            return;
        }
        for hint in &mut self.hints {
            hint.primary = hint.instance == *instance;
        }
        let known = KnownPrimary {
            instance: instance.clone(),
            term: position.term,
        };
        self.primary.send_if_modified(|held| {
            let changed = held.as_ref() != Some(&known);
            *held = Some(known);
            changed
        });
    }

    fn forget_primary(&mut self, instance: &InstanceName) {
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

/// The primary, waiting for one to be found until `deadline`.
pub async fn await_primary(
    gateway: &Arc<Gateway>,
    spec: &Arc<GroupSpec>,
    deadline: Instant,
) -> Option<KnownPrimary> {
    if let Some(known) = gateway.directory.primary(spec) {
        return Some(known);
    }
    gateway.metrics.held.inc();
    let mut primary = gateway.directory.subscribe(spec);
    start_search(gateway, spec);
    let found = async {
        loop {
            if let Some(known) = primary.borrow_and_update().clone() {
                return Some(known);
            }
            if primary.changed().await.is_err() {
                return None;
            }
        }
    };
    tokio::time::timeout(clock::until(deadline), found)
        .await
        .ok()
        .flatten()
}

/// Searches for the group's primary, unless a search is running.
fn start_search(gateway: &Arc<Gateway>, spec: &Arc<GroupSpec>) {
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

/// Asks the owners of all the group's instances until one names a primary or
/// nobody waits any more.
async fn search(gateway: &Arc<Gateway>, spec: &Arc<GroupSpec>) {
    loop {
        let mut questions: FuturesUnordered<_> = spec
            .instances
            .iter()
            .map(|instance| ask_owner(gateway, spec, &instance.name))
            .collect();
        while let Some(status) = questions.next().await {
            if status.is_some_and(|status| gateway.directory.learn_status(spec, &status)) {
                return;
            }
        }
        let waiting = gateway
            .directory
            .with(spec, |entry| entry.primary.receiver_count());
        if waiting == 0 {
            return;
        }
        tokio::time::sleep(SEARCH_PAUSE).await;
    }
}

async fn ask_owner(
    gateway: &Arc<Gateway>,
    spec: &Arc<GroupSpec>,
    instance: &InstanceName,
) -> Option<GroupStatus> {
    let instance = spec.instances.iter().find(|entry| entry.name == *instance)?;
    let request = AwaitPrimary {
        request_id: gateway.links.next_request_id(),
        group: spec.name.0.clone(),
        above_term: 0,
        wait_ms: SEARCH_WAIT_MS,
    };
    let (node, address) = match gateway.owner_of(instance)? {
        Owner::This => return Some(gateway.owner.await_primary(request).await),
        Owner::Peer { node, address } => (node, address),
    };
    let limit = Duration::from_millis(u64::from(SEARCH_WAIT_MS) + 500);
    let id = request.request_id;
    let message = PeerMessage::AwaitPrimary(request);
    match gateway
        .links
        .call(address, id, message, limit, Patience::WhileHeard)
        .await
    {
        Ok(PeerMessage::GroupStatus(status)) => Some(status),
        Err(CallError::NotSent) => {
            gateway.avoidance.avoid(&node);
            tokio::time::sleep(SEARCH_PAUSE).await;
            None
        }
        _ => {
            tokio::time::sleep(SEARCH_PAUSE).await;
            None
        }
    }
}
