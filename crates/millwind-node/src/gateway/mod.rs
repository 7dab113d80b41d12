//! The gateway serves PostgreSQL clients: it routes each request to an instance
//! and keeps each session consistent.

mod batch;
mod client_settings;
mod directory;
mod dispatch;
mod explain;
mod listener;
mod local_response;
mod request;
mod residency;
mod session;
mod startup;
mod telemetry;
mod unreachable_nodes;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use millwind_core::ids::{NodeName, TenantName};
use millwind_core::retry::RetryBudget;
use millwind_core::routing::Locality;
use millwind_core::tenant::InstanceSpec;
use tokio::sync::watch;

use crate::NodeSettings;
use crate::control::ControlHandle;
use crate::decisions::DecisionStream;
use crate::metrics::Metrics;
use crate::owner::OwnerService;
use crate::peer::PeerLinks;

pub use explain::Explanation;
pub use listener::serve;

/// Maximum number of retries that a tenant's budget can accumulate.
const MAXIMUM_SAVED_RETRIES: u32 = 50;

/// State shared by all client sessions of a node.
#[derive(Debug)]
pub struct Gateway {
    /// Settings of the node.
    pub settings: Arc<NodeSettings>,
    /// Zone and region of the node.
    pub locality: Locality,
    /// Handle to the node's control plane.
    pub control: ControlHandle,
    /// Connections to other nodes.
    pub links: Arc<PeerLinks>,
    /// Executes requests on the instances that this node owns.
    pub owner: Arc<OwnerService>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Live stream of routing decisions.
    pub decisions: DecisionStream,
    /// Last known state of the database groups.
    pub(crate) directory: directory::GroupDirectory,
    /// Nodes that recently could not be reached.
    pub(crate) unreachable_nodes: unreachable_nodes::UnreachableNodes,
    draining: watch::Sender<bool>,
    tenants: Mutex<HashMap<TenantName, Arc<TenantRuntime>>>,
    open_sessions: AtomicUsize,
    accepting: AtomicBool,
}

/// The node that owns an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This node.
    Local,
    /// Another node.
    Peer {
        /// Name of the node.
        node: NodeName,
        /// Peer address of the node.
        address: SocketAddr,
    },
}

/// State shared by all sessions of one tenant on this node.
#[derive(Debug)]
pub(crate) struct TenantRuntime {
    pub(crate) clients: AtomicU32,
    pub(crate) retry_budget: Mutex<RetryBudget>,
}

impl Gateway {
    /// Creates a gateway that accepts clients.
    pub fn new(
        settings: Arc<NodeSettings>,
        control: ControlHandle,
        links: Arc<PeerLinks>,
        owner: Arc<OwnerService>,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        let locality = Locality {
            zone: settings.zone.as_str().into(),
            region: settings.region.as_str().into(),
        };
        let (draining, _) = watch::channel(false);
        Arc::new(Gateway {
            settings,
            locality,
            control,
            links,
            owner,
            metrics,
            decisions: DecisionStream::default(),
            directory: directory::GroupDirectory::default(),
            unreachable_nodes: unreachable_nodes::UnreachableNodes::default(),
            draining,
            tenants: Mutex::default(),
            open_sessions: AtomicUsize::new(0),
            accepting: AtomicBool::new(true),
        })
    }

    /// Stops accepting clients and closes sessions once they are idle.
    pub fn drain(&self) {
        self.accepting.store(false, Ordering::Relaxed);
        self.draining.send_replace(true);
    }

    /// Returns whether [`Gateway::drain`] has been called.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns the number of open client connections.
    pub fn open_session_count(&self) -> usize {
        self.open_sessions.load(Ordering::Relaxed)
    }

    /// Returns the owner of an instance, skipping nodes that recently could not be
    /// reached.
    pub(crate) fn owner_of(&self, instance: &InstanceSpec) -> Option<Owner> {
        let view = self.control.view();
        let unreachable = self.unreachable_nodes.current();
        let node = view.owner_excluding(&instance.name, &instance.zone, &instance.region, &unreachable)?;
        if node.as_str() == view.own_name() {
            return Some(Owner::Local);
        }
        let address = view.address(node.as_str())?;
        Some(Owner::Peer { node, address })
    }

    pub(crate) fn tenant_runtime(&self, tenant: &TenantName, budget_percent: u32) -> Arc<TenantRuntime> {
        let mut tenants = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
        let runtime = tenants.entry(tenant.clone()).or_insert_with(|| {
            Arc::new(TenantRuntime {
                clients: AtomicU32::new(0),
                retry_budget: Mutex::new(RetryBudget::new(budget_percent, MAXIMUM_SAVED_RETRIES)),
            })
        });
        runtime.clone()
    }
}
