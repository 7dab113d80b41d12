//! Simulated database instance: the PostgreSQL protocol over in-memory SQLite,
//! log shipping to replicas with a configurable replay lag, and majority
//! elections with terms.
//!
//! A new primary accepts writes only after a majority has adopted its term;
//! write confirmation relies on this. A partitioned primary keeps its role, and
//! after a timeout commits without waiting for replicas.

mod control;
mod database;
mod election;
mod log_state;
mod replication;
mod rows;
mod session;
mod sql;
mod status;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

pub use control::{InstanceReport, LoggedTransaction};
pub use log_state::{Entry, LogState, Statement};

/// Settings of a simulated instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceSettings {
    /// Instance name, unique within the group.
    pub name: String,
    /// Listen address of the PostgreSQL protocol.
    pub listen: SocketAddr,
    /// Listen address of log shipping and elections.
    pub replication: SocketAddr,
    /// Listen address of the HTTP control API.
    pub control: SocketAddr,
    /// Replication addresses of the other instances.
    pub peers: Vec<Peer>,
    /// Whether the instance starts as the primary of term 1.
    pub initial_primary: bool,
    /// Whether the instance starts empty and copies the log from its peers.
    pub rejoin: bool,
    /// Maximum number of concurrent statements.
    pub slots: usize,
    /// Maximum number of client connections.
    pub connections: u32,
    /// Simulated setup time of a client connection, in milliseconds.
    pub connect_ms: u64,
    /// Simulated execution time of a statement, in microseconds.
    pub service_us: u64,
    /// Replay lag of a replica, in milliseconds.
    pub lag_ms: u64,
    /// Election rank; lower ranks have a shorter election timeout.
    pub rank: u64,
}

/// Another instance of the group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Peer {
    /// Instance name.
    pub name: String,
    /// Replication address.
    pub address: SocketAddr,
}

/// A running simulated instance.
#[derive(Debug)]
pub struct Instance {
    /// Settings that the instance was started with.
    pub settings: InstanceSettings,
    /// Replication log, role and term.
    pub state: LogState,
    /// Held by the one transaction that writes.
    pub write_lock: Arc<tokio::sync::Mutex<()>>,
    /// Limits the number of concurrent statements.
    pub slots: Semaphore,
    /// Currently open client connections, including rejected ones.
    pub connections: AtomicU32,
    /// Highest number of simultaneously open client connections.
    pub peak_connections: AtomicU32,
    /// Number of executed statements, without status queries.
    pub statements: AtomicU64,
}

impl Instance {
    /// Binds the listeners and starts the tasks. Fails if an address cannot be bound.
    pub async fn start(settings: InstanceSettings) -> std::io::Result<Arc<Instance>> {
        let client_listener = TcpListener::bind(settings.listen).await?;
        let replication_listener = TcpListener::bind(settings.replication).await?;
        let control_listener = TcpListener::bind(settings.control).await?;
        let instance = Arc::new(Instance {
            state: LogState::new(&settings),
            write_lock: Arc::new(tokio::sync::Mutex::new(())),
            slots: Semaphore::new(settings.slots),
            connections: AtomicU32::new(0),
            peak_connections: AtomicU32::new(0),
            statements: AtomicU64::new(0),
            settings,
        });
        tokio::spawn(session::serve(client_listener, instance.clone()));
        tokio::spawn(replication::serve(replication_listener, instance.clone()));
        tokio::spawn(control::serve(control_listener, instance.clone()));
        tokio::spawn(election::monitor_leader(instance.clone()));
        tokio::spawn(database::replay_log(instance.clone()));
        for peer in instance.settings.peers.clone() {
            tokio::spawn(replication::ship_log(instance.clone(), peer));
        }
        Ok(instance)
    }

    /// Counts a new connection; returns false if the limit is exceeded.
    fn connection_opened(&self) -> bool {
        let open = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak_connections.fetch_max(open, Ordering::Relaxed);
        open <= self.settings.connections
    }

    fn connection_closed(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
