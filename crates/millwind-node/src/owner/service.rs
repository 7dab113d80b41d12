//! Serves requests on back-end instances, for peers over links and for the node's
//! own gateway by direct calls.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::{info, warn};
use millwind_core::Instant;
use millwind_core::error_kind::ErrorKind;
use millwind_core::ids::{GroupName, InstanceName};
use millwind_core::outcome::RequestProgress;
use millwind_core::placement::owner_connection_cap;
use millwind_core::position::TermStart;
use millwind_core::tenant::{GroupSpec, InstanceSpec};
use millwind_wire::{
    AwaitPrimary, CancelRequest, ExecuteReply, ExecuteRequest, ExecuteResult, GroupStatus, Intent,
    MemberStatus, PeerMessage, ResolveReply, ResolveRequest, ResolveResult, WirePosition, WireTermStart,
};

use super::execute::{BatchReply, Execution, Failure};
use super::ledger;
use super::monitor::{self, MonitorHandle};
use super::pins::PinTable;
use super::pool::{self, PoolHandle, PoolLimits};
use crate::NodeSettings;
use crate::clock;
use crate::control::{ControlHandle, PeerControlMessage};
use crate::peer::{InboundLink, PeerHandler};
use crate::pg::backend::BackendTarget;

/// Link id of requests from the node's own gateway.
pub const LOCAL_LINK: u64 = 0;
/// Interval at which ownership and leaving marks are checked.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(200);
/// Time without use, in milliseconds, after which a group's monitor stops.
const UNUSED_GROUP_MS: u64 = 30_000;
/// Maximum wait of an `AwaitPrimary` request.
const MAXIMUM_PRIMARY_WAIT: Duration = Duration::from_secs(2);

/// The running monitor and pools of one group.
#[derive(Debug)]
struct GroupRuntime {
    spec: Arc<GroupSpec>,
    monitor: MonitorHandle,
    pools: HashMap<InstanceName, PoolHandle>,
    /// Owned instances whose pools have been asked to open idle connections.
    preopened: Vec<InstanceName>,
    /// Time at which a request or an owned instance last used the group.
    last_used: Instant,
}

/// Monitors and pools of the groups in use on this node.
#[derive(Debug, Default)]
pub struct GroupTable {
    groups: Mutex<HashMap<GroupName, GroupRuntime>>,
}

/// Runs requests on back-end instances.
#[derive(Debug)]
pub struct OwnerService {
    settings: Arc<NodeSettings>,
    control: ControlHandle,
    table: GroupTable,
    pins: PinTable,
    running: AtomicU64,
}

impl OwnerService {
    /// Creates a service that starts monitors and pools on first use.
    pub fn start(settings: Arc<NodeSettings>, control: ControlHandle) -> Arc<Self> {
        let service = Arc::new(OwnerService {
            settings,
            control,
            table: GroupTable::default(),
            pins: PinTable::default(),
            running: AtomicU64::new(0),
        });
        tokio::spawn(service.clone().maintain_owned_instances());
        service
    }

    /// Number of running requests and open pinned transactions.
    pub fn load(&self) -> u64 {
        self.running.load(Ordering::Relaxed) + self.pins.len() as u64
    }

    /// The running monitors by group.
    pub fn monitors(&self) -> Vec<(GroupName, MonitorHandle)> {
        let groups = self.table.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups
            .iter()
            .map(|(name, runtime)| (name.clone(), runtime.monitor.clone()))
            .collect()
    }

    /// The running pools by instance.
    pub fn pools(&self) -> Vec<(InstanceName, PoolHandle)> {
        let groups = self.table.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups
            .values()
            .flat_map(|runtime| runtime.pools.iter())
            .map(|(name, pool)| (name.clone(), pool.clone()))
            .collect()
    }

    /// Periodically starts pools of owned instances, passes leaving marks to the
    /// monitors and stops unused groups.
    async fn maintain_owned_instances(self: Arc<Self>) {
        let mut interval = tokio::time::interval(OWNERSHIP_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let config = self.control.config();
            let view = self.control.view();
            for group in config.groups.values() {
                for instance in &group.instances {
                    let owner = view.owner(&instance.name, &instance.zone, &instance.region);
                    if owner.is_some_and(|owner| owner.as_str() == view.own_name()) {
                        self.start_owned_instance(group, instance).await;
                    }
                }
            }
            self.update_leaving().await;
            self.stop_unused_groups();
        }
    }

    /// Drops unused groups and stops their monitors. After ownership changes,
    /// leftover monitors would otherwise exhaust the instances' connections.
    fn stop_unused_groups(&self) {
        let now = clock::now();
        let mut groups = self.table.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.retain(|name, runtime| {
            let has_transactions = runtime.pools.keys().any(|instance| self.pins.count(instance) > 0);
            let in_use = has_transactions || now.millis_since(runtime.last_used) < UNUSED_GROUP_MS;
            if !in_use {
                info!("event=group_released group={name}");
                runtime.monitor.stop();
            }
            in_use
        });
    }

    /// Starts the pool of an owned instance and opens its idle connections once.
    async fn start_owned_instance(&self, group: &Arc<GroupSpec>, instance: &InstanceSpec) {
        let Some(pool) = self.pool(group, &instance.name) else {
            return;
        };
        let first = {
            let mut groups = self.table.groups.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(runtime) = groups.get_mut(&group.name) else {
                return;
            };
            let first = !runtime.preopened.contains(&instance.name);
            if first {
                runtime.preopened.push(instance.name.clone());
            }
            first
        };
        if first {
            info!(
                "event=instance_owned group={} instance={}",
                group.name, instance.name
            );
            tokio::spawn(async move { pool.preopen().await });
        }
    }

    /// Passes changed leaving marks of the configuration to the monitors.
    async fn update_leaving(&self) {
        let config = self.control.config();
        for (name, monitor) in self.monitors() {
            let Some(spec) = config.groups.get(&name) else {
                continue;
            };
            let view = monitor.snapshot();
            let changed: Vec<(InstanceName, bool)> = spec
                .instances
                .iter()
                .map(|instance| (instance.name.clone(), config.is_leaving(&name, &instance.name)))
                .filter(|(instance, leaving)| view.is_leaving(instance) != *leaving)
                .collect();
            if !changed.is_empty() {
                info!("event=leaving_changed group={name} instances={changed:?}");
                monitor.set_leaving(changed).await;
            }
        }
    }

    fn target(&self, group: &GroupSpec, instance: &InstanceSpec) -> BackendTarget {
        BackendTarget {
            address: self.settings.connect_address(instance.address),
            user: group.user.clone(),
            password: group.password.clone(),
            database: group.database.clone(),
        }
    }

    /// Returns the group's monitor. Starts a monitor if none runs or if the group's
    /// specification has changed.
    fn monitor(&self, spec: &Arc<GroupSpec>) -> MonitorHandle {
        let mut groups = self.table.groups.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(runtime) = groups.get_mut(&spec.name) {
            if same_except_leaving(&runtime.spec, spec) {
                runtime.spec = spec.clone();
                runtime.last_used = clock::now();
                return runtime.monitor.clone();
            }
            runtime.monitor.stop();
        }
        let targets = spec
            .instances
            .iter()
            .map(|instance| (instance.name.clone(), self.target(spec, instance)))
            .collect();
        let monitor = monitor::start(spec.name.clone(), spec.confirmation, targets);
        let runtime = GroupRuntime {
            spec: spec.clone(),
            monitor: monitor.clone(),
            pools: HashMap::new(),
            preopened: Vec::new(),
            last_used: clock::now(),
        };
        groups.insert(spec.name.clone(), runtime);
        monitor
    }

    /// Returns the instance's pool, started on first use; none if the group has no
    /// such instance.
    fn pool(&self, spec: &Arc<GroupSpec>, instance: &InstanceName) -> Option<PoolHandle> {
        self.monitor(spec);
        let entry = spec.instances.iter().find(|entry| entry.name == *instance)?;
        let mut groups = self.table.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let runtime = groups.get_mut(&spec.name)?;
        if let Some(pool) = runtime.pools.get(instance) {
            return Some(pool.clone());
        }
        let status_connections = 2 * spec.instances.len() as u32;
        let connections = owner_connection_cap(entry.connections, status_connections);
        let limits = PoolLimits {
            slots: entry.slots.min(connections),
            connections,
        };
        let pool = pool::start(self.target(spec, entry), limits);
        runtime.pools.insert(instance.clone(), pool.clone());
        runtime.monitor.set_owned(instance);
        Some(pool)
    }

    /// Runs a request that arrived on `link`.
    pub async fn execute(&self, link: u64, request: ExecuteRequest) -> ExecuteReply {
        self.running.fetch_add(1, Ordering::Relaxed);
        let result = self.try_execute(link, &request).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        let mut reply = ExecuteReply {
            request_id: request.request_id,
            result: wire_result(result),
            primary: 0,
            held: WirePosition::default(),
            history: Vec::new(),
            lag_ms: 0,
        };
        self.add_routing_hints(&request, &mut reply);
        reply
    }

    async fn try_execute(&self, link: u64, request: &ExecuteRequest) -> Result<BatchReply, Failure> {
        let group = GroupName::from(request.group.as_str());
        let instance = InstanceName::from(request.instance.as_str());
        let config = self.control.config();
        let spec = config.groups.get(&group).ok_or_else(|| {
            Failure::not_sent(ErrorKind::BackEndUnreachable, "the owner does not know the group")
        })?;
        let new_work = !matches!(request.intent, Intent::Continue | Intent::Commit);
        if new_work && config.is_leaving(&group, &instance) {
            return Err(Failure::not_sent(
                ErrorKind::BackEndUnreachable,
                "the instance is leaving",
            ));
        }
        if new_work && self.control.view().may_serve(clock::now()).is_err() {
            return Err(Failure::not_sent(
                ErrorKind::NotServing,
                "the owner is not serving requests",
            ));
        }
        let monitor = self.monitor(spec);
        let pool = self.pool(spec, &instance).ok_or_else(|| {
            Failure::not_sent(
                ErrorKind::BackEndUnreachable,
                "the owner does not know the instance",
            )
        })?;
        let execution = Execution {
            monitor: &monitor,
            pool: &pool,
            pins: &self.pins,
            link,
            instance,
            deadline: clock::now().plus_millis(request.window_ms.into()),
            request,
        };
        execution.run().await
    }

    /// Adds what the monitor knows of the instance, which the gateway uses to
    /// route later requests.
    fn add_routing_hints(&self, request: &ExecuteRequest, reply: &mut ExecuteReply) {
        let group = GroupName::from(request.group.as_str());
        let instance = InstanceName::from(request.instance.as_str());
        let snapshot = {
            let groups = self.table.groups.lock().unwrap_or_else(PoisonError::into_inner);
            groups.get(&group).map(|runtime| runtime.monitor.snapshot())
        };
        let Some(view) = snapshot else { return };
        let now = clock::now();
        let leads = view.primary(now).is_some_and(|(primary, _)| *primary == instance);
        reply.primary = u8::from(leads);
        if let Some((_, status)) = view.status(&instance) {
            reply.held = wire_position(status.position);
            reply.history = wire_history(&status.history);
            let lag = view.staleness_ms(now, status.position, &status.history);
            reply.lag_ms = lag.map_or(u32::MAX, |lag| u32::try_from(lag).unwrap_or(u32::MAX));
        }
    }

    /// Resolves a request whose outcome is unknown.
    pub async fn resolve(&self, request: ResolveRequest) -> ResolveReply {
        let result = self.try_resolve(&request).await.unwrap_or_else(|failure| {
            warn!(
                "event=resolve_failed request_key={} error={:?}",
                request.request_key, failure.detail
            );
            ResolveResult::Unsettled
        });
        ResolveReply {
            request_id: request.request_id,
            result,
        }
    }

    async fn try_resolve(&self, request: &ResolveRequest) -> Result<ResolveResult, Failure> {
        let config = self.control.config();
        let unknown = || {
            Failure::not_sent(
                ErrorKind::BackEndUnreachable,
                "the owner does not know the group or instance",
            )
        };
        let spec = config
            .groups
            .get(&GroupName::from(request.group.as_str()))
            .ok_or_else(unknown)?;
        let instance = InstanceName::from(request.instance.as_str());
        let monitor = self.monitor(spec);
        let pool = self.pool(spec, &instance).ok_or_else(unknown)?;
        let ledger_request = ExecuteRequest {
            request_id: request.request_id,
            intent: Intent::Write,
            tenant: String::new(),
            group: request.group.clone(),
            instance: request.instance.clone(),
            pin: 0,
            window_ms: request.window_ms,
            weight: 1,
            value: u32::MAX,
            token: WirePosition::default(),
            staleness_ms: 0,
            wait_ms: 0,
            request_key: request.request_key.clone(),
            batch: Vec::new(),
        };
        let execution = Execution {
            monitor: &monitor,
            pool: &pool,
            pins: &self.pins,
            link: LOCAL_LINK,
            instance,
            deadline: clock::now().plus_millis(request.window_ms.into()),
            request: &ledger_request,
        };
        ledger::resolve(&execution, &request.request_key).await
    }

    /// Waits for a primary with a term above the requested one, then returns the
    /// group's status. Returns the status without such a primary on timeout.
    pub async fn await_primary(&self, request: AwaitPrimary) -> GroupStatus {
        let group = GroupName::from(request.group.as_str());
        let config = self.control.config();
        let Some(spec) = config.groups.get(&group) else {
            return GroupStatus {
                request_id: request.request_id,
                term: 0,
                members: Vec::new(),
                history: Vec::new(),
            };
        };
        let monitor = self.monitor(spec);
        let limit = Duration::from_millis(request.wait_ms.into()).min(MAXIMUM_PRIMARY_WAIT);
        let wait_until = tokio::time::Instant::now() + limit;
        let mut view = monitor.view.clone();
        loop {
            let has_primary = view
                .borrow_and_update()
                .primary(clock::now())
                .is_some_and(|(_, term)| term.0 > request.above_term);
            if has_primary
                || !matches!(
                    tokio::time::timeout_at(wait_until, view.changed()).await,
                    Ok(Ok(()))
                )
            {
                break;
            }
        }
        group_status(request.request_id, &monitor)
    }

    /// Releases the pin named by the request if it belongs to `link`.
    pub fn cancel(&self, link: u64, request: &CancelRequest) {
        if request.pin > 0 {
            self.pins.release_owned(request.pin, link);
        }
    }
}

/// Whether two specifications differ at most in their leaving marks.
fn same_except_leaving(left: &GroupSpec, right: &GroupSpec) -> bool {
    let without_leaving = |spec: &GroupSpec| {
        let mut spec = spec.clone();
        spec.instances
            .iter_mut()
            .for_each(|instance| instance.leaving = false);
        spec
    };
    without_leaving(left) == without_leaving(right)
}

fn group_status(request_id: u64, monitor: &MonitorHandle) -> GroupStatus {
    let now = clock::now();
    let view = monitor.snapshot();
    let primary = view.primary(now).map(|(name, _)| name.clone());
    let mut history = Vec::new();
    let members = view
        .instances()
        .map(|instance| {
            let status = view.status(instance);
            if let Some((_, status)) = status
                && status.history.len() > history.len()
            {
                history = status.history.clone();
            }
            MemberStatus {
                instance: instance.0.clone(),
                primary: u8::from(primary.as_ref() == Some(instance)),
                position: status
                    .map(|(_, status)| wire_position(status.position))
                    .unwrap_or_default(),
                age_ms: status.map_or(u32::MAX, |(received_at, _)| {
                    u32::try_from(now.millis_since(*received_at)).unwrap_or(u32::MAX)
                }),
            }
        })
        .collect();
    GroupStatus {
        request_id,
        term: view.highest_term().0,
        members,
        history: wire_history(&history),
    }
}

fn wire_position(position: millwind_core::position::Position) -> WirePosition {
    WirePosition {
        term: position.term.0,
        log_position: position.log_position.0,
    }
}

fn wire_history(history: &[TermStart]) -> Vec<WireTermStart> {
    history
        .iter()
        .map(|entry| WireTermStart {
            term: entry.term.0,
            start: entry.start.0,
        })
        .collect()
}

fn wire_result(result: Result<BatchReply, Failure>) -> ExecuteResult {
    match result {
        Ok(reply) => ExecuteResult::Answered {
            position: reply.position.map(wire_position).unwrap_or_default(),
            transaction_status: reply.transaction_status,
            pin: reply.pin,
            batch: reply.messages,
        },
        Err(failure) => ExecuteResult::Failed {
            kind: failure.kind.code(),
            progress: match failure.progress {
                RequestProgress::NotSent => 0,
                RequestProgress::Sent | RequestProgress::Answered => 1,
                RequestProgress::ConfirmedNotApplied => 2,
            },
            detail: failure.detail,
        },
    }
}

/// Passes peer messages to the [`OwnerService`] or the control actor.
#[derive(Debug)]
pub struct PeerService {
    /// Handles requests on instances.
    pub owner: Arc<OwnerService>,
    /// Handles control messages.
    pub control: ControlHandle,
}

impl PeerHandler for PeerService {
    fn handle(&self, link: &InboundLink, message: PeerMessage) {
        let owner = self.owner.clone();
        let link = link.clone();
        match message {
            PeerMessage::Control(message) => {
                let received = PeerControlMessage {
                    peer: link.peer.clone(),
                    message,
                };
                let actor = self.control.actor.clone();
                let _ = futures::FutureExt::now_or_never(actor.send(received).detach());
            }
            PeerMessage::Execute(request) => {
                tokio::spawn(async move {
                    let reply = owner.execute(link.id, request).await;
                    link.reply(PeerMessage::ExecuteReply(reply)).await;
                });
            }
            PeerMessage::Resolve(request) => {
                tokio::spawn(async move {
                    let reply = owner.resolve(request).await;
                    link.reply(PeerMessage::ResolveReply(reply)).await;
                });
            }
            PeerMessage::AwaitPrimary(request) => {
                tokio::spawn(async move {
                    let status = owner.await_primary(request).await;
                    link.reply(PeerMessage::GroupStatus(status)).await;
                });
            }
            PeerMessage::Cancel(request) => owner.cancel(link.id, &request),
            _ => {}
        }
    }

    fn closed(&self, link: &InboundLink) {
        self.owner.pins.release_link(link.id);
    }
}
