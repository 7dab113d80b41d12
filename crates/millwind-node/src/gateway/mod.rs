//! The gateway: speaks to callers, decides where each request runs, and keeps
//! each session consistent.

mod accounting;
mod avoidance;
mod batch;
mod caller_settings;
mod directory;
mod dispatch;
mod explain;
mod listener;
mod local_answer;
mod request;
mod residency;
mod session;
mod startup;

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

/// Saved retries per tenant at most.
const RETRY_CEILING: u32 = 50;

/// What all sessions of a node share.
#[derive(Debug)]
pub struct Gateway {
    /// Settings of the node.
    pub settings: Arc<NodeSettings>,
    /// Where the node runs.
    pub locality: Locality,
    /// The control plane.
    pub control: ControlHandle,
    /// Links to peers.
    pub links: Arc<PeerLinks>,
    /// The node's own instances.
    pub owner: Arc<OwnerService>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Decisions for watchers.
    pub decisions: DecisionStream,
    /// What is known of the groups.
    pub(crate) directory: directory::Directory,
    /// Nodes that could not be reached a moment ago.
    pub(crate) avoidance: avoidance::Avoidance,
    draining: watch::Sender<bool>,
    tenants: Mutex<HashMap<TenantName, Arc<TenantRuntime>>>,
    sessions: AtomicUsize,
    accepting: AtomicBool,
}

/// Who owns an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This node.
    This,
    /// Another node.
    Peer {
        /// Its name.
        node: NodeName,
        /// Its peer address.
        address: SocketAddr,
    },
}

/// What sessions of one tenant share on one node.
#[derive(Debug)]
pub(crate) struct TenantRuntime {
    pub(crate) clients: AtomicU32,
    pub(crate) budget: Mutex<RetryBudget>,
}

impl Gateway {
    /// A gateway over the node's parts.
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
            directory: directory::Directory::default(),
            avoidance: avoidance::Avoidance::default(),
            draining,
            tenants: Mutex::default(),
            sessions: AtomicUsize::new(0),
            accepting: AtomicBool::new(true),
        })
    }

    /// Stops taking new callers and lets sessions end.
    pub fn drain(&self) {
        self.accepting.store(false, Ordering::Relaxed);
        self.draining.send_replace(true);
    }

    /// Whether the node is stopping.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Sessions open now.
    pub fn sessions(&self) -> usize {
        self.sessions.load(Ordering::Relaxed)
    }

    /// The node that owns an instance, past those that could not be reached.
    pub(crate) fn owner_of(&self, instance: &InstanceSpec) -> Option<Owner> {
        let view = self.control.view();
        let avoided = self.avoidance.avoided();
        let node = view.owner_excluding(&instance.name, &instance.zone, &instance.region, &avoided)?;
        if node.as_str() == view.own_name() {
            return Some(Owner::This);
        }
        let address = view.address(node.as_str())?;
        Some(Owner::Peer { node, address })
    }

    pub(crate) fn tenant_runtime(&self, tenant: &TenantName, budget_percent: u32) -> Arc<TenantRuntime> {
        let mut tenants = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
        let runtime = tenants.entry(tenant.clone()).or_insert_with(|| {
            Arc::new(TenantRuntime {
                clients: AtomicU32::new(0),
                budget: Mutex::new(RetryBudget::new(budget_percent, RETRY_CEILING)),
            })
        });
        runtime.clone()
    }
}
