//! Starts the services of a node and drains the node on a planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use millwind_core::control::ControlPlane;
use millwind_core::membership::MembershipTimes;
use millwind_store::StoreError;
use millwind_store::etcd::EtcdStore;
use millwind_wire::Hello;
use millwind_wire::control::{Liveness, MemberRecord};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::admin::{self, AdminState};
use crate::clock;
use crate::config_watch::{self, KeySpace};
use crate::control::{self, ControlHandle, Depart, Leave};
use crate::gateway::{self, Gateway};
use crate::metrics::Metrics;
use crate::owner::{OwnerService, PeerService};
use crate::peer::{self, PeerLinks};
use crate::settings::{NodeSettings, SettingsError};

/// Interval at which a draining node checks its remaining load.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the leaving mark to reach the peers before the load is checked.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(1_500);

/// Time for the departure messages to be sent before the process exits.
const DEPARTURE_FLUSH_TIME: Duration = Duration::from_millis(100);

/// The reason why a node did not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A listener cannot be bound to its address.
    #[error("{field} {address}: {source}")]
    Listen {
        /// Settings field that holds the address.
        field: &'static str,
        /// Address that cannot be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The client of the platform's store cannot be created.
    #[error("platform: {0}")]
    Platform(#[from] StoreError),
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    settings: Arc<NodeSettings>,
    gateway: Arc<Gateway>,
    control: ControlHandle,
    drain_requests: mpsc::Receiver<()>,
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Listen {
            field,
            address,
            source,
        })
}

impl Node {
    /// Starts a node and returns once its listeners are bound. Fails if the settings
    /// are invalid or a listener cannot be bound.
    pub async fn start(mut settings: NodeSettings) -> Result<Node, NodeError> {
        settings.check()?;
        let clients = bind("client_address", settings.client_address).await?;
        let peers = bind("peer_address", settings.peer_address).await?;
        let operators = bind("admin_address", settings.admin_address).await?;
        settings.client_address = local_address(&clients, settings.client_address);
        settings.peer_address = local_address(&peers, settings.peer_address);
        settings.admin_address = local_address(&operators, settings.admin_address);
        let settings = Arc::new(settings);
        let (gateway, control) = start_services(&settings, clients, peers);
        let drain_requests = start_administration(&settings, operators, &gateway, &control)?;
        info!(
            "event=node_started node={} zone={} region={} clients={} peers={} admin={}",
            settings.name,
            settings.zone,
            settings.region,
            settings.client_address,
            settings.peer_address,
            settings.admin_address
        );
        Ok(Node {
            settings,
            gateway,
            control,
            drain_requests,
        })
    }

    /// The settings, with the addresses that the listeners are bound to.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// The node's gateway.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Handle to the control actor.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Waits until an operator asks the node to drain.
    pub async fn drain_requested(&mut self) {
        if self.drain_requests.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// Drains the node: rejects new clients, gives up its instances and waits for
    /// open work. Returns true if all work ended within `drain_ms`.
    pub async fn drain(&self) -> bool {
        info!("event=drain_started node={}", self.settings.name);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(self.settings.drain_ms);
        let _ = self.control.actor.send(Leave).await;
        self.gateway.drain();
        tokio::time::sleep(LEAVE_PROPAGATION_TIME.min(Duration::from_millis(self.settings.drain_ms / 2)))
            .await;
        while tokio::time::Instant::now() < deadline {
            if self.gateway.open_session_count() == 0 && self.gateway.owner.load() == 0 {
                let _ = self.control.actor.send(Depart).await;
                tokio::time::sleep(DEPARTURE_FLUSH_TIME).await;
                info!("event=drain_finished node={}", self.settings.name);
                return true;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        warn!(
            "event=drain_cut_short node={} sessions={} owner_load={}",
            self.settings.name,
            self.gateway.open_session_count(),
            self.gateway.owner.load()
        );
        false
    }
}

/// Starts the services for clients and peers.
fn start_services(
    settings: &Arc<NodeSettings>,
    clients: TcpListener,
    peers: TcpListener,
) -> (Arc<Gateway>, ControlHandle) {
    let incarnation = clock::unix_millis();
    let hello = Hello {
        node: settings.name.clone(),
        incarnation,
    };
    let links = PeerLinks::new(hello, Box::new(NodeSettings::clone(settings)));
    let control = control::start(control_plane(settings, incarnation), links.clone());
    let owner = OwnerService::start(settings.clone(), control.clone());
    let service = PeerService {
        owner: owner.clone(),
        control: control.clone(),
    };
    tokio::spawn(peer::serve(peers, Arc::new(service)));
    let metrics = Arc::new(Metrics::default());
    let gateway = Gateway::new(settings.clone(), control.clone(), links, owner, metrics);
    tokio::spawn(gateway::serve(clients, gateway.clone()));
    (gateway, control)
}

/// Starts the admin API and the watch on the platform's configuration.
fn start_administration(
    settings: &NodeSettings,
    operators: TcpListener,
    gateway: &Arc<Gateway>,
    control: &ControlHandle,
) -> Result<mpsc::Receiver<()>, NodeError> {
    let store = EtcdStore::new(&settings.platform)?;
    let keys = KeySpace::new(&settings.platform_prefix);
    tokio::spawn(config_watch::run(store.clone(), keys.clone(), control.clone()));
    let (drain, drain_requests) = mpsc::channel(1);
    let state = Arc::new(AdminState {
        gateway: gateway.clone(),
        store,
        keys,
        drain,
    });
    tokio::spawn(async move {
        if let Err(error) = axum::serve(operators, admin::router(state)).await {
            warn!("event=admin_stopped error={error:?}");
        }
    });
    Ok(drain_requests)
}

/// The address a listener is bound to, which differs from the configured address
/// if that has port zero.
fn local_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

fn control_plane(settings: &NodeSettings, incarnation: u64) -> ControlPlane {
    let own = MemberRecord {
        node: settings.name.clone(),
        address: settings.peer_address.to_string(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        incarnation,
        liveness: Liveness::Alive,
        leaving: 0,
    };
    let seeds = settings.seeds.iter().map(ToString::to_string).collect();
    ControlPlane::new(own, seeds, MembershipTimes::default(), rand::random())
}
