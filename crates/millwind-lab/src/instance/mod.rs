//! Stand-in of one database instance: PostgreSQL's protocol over in-memory
//! SQLite, a log shipped to replicas with a settable replay lag, terms, and an
//! election by majority.
//!
//! A new primary accepts writes only after a majority has adopted its term,
//! which is the assumption that write confirmation rests on. A primary that is
//! cut off goes on believing that it leads, and after a time-out commits alone.

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

/// Settings of a stand-in instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: String,
    /// Listener for the PostgreSQL protocol.
    pub listen: SocketAddr,
    /// Listener for log shipping.
    pub replication: SocketAddr,
    /// Listener for the lab's control.
    pub control: SocketAddr,
    /// Where to reach the other instances' log shipping.
    pub peers: Vec<Peer>,
    /// Starts as the primary of term 1.
    pub initial_primary: bool,
    /// Starts empty and takes everything from the others.
    pub rejoin: bool,
    /// Statements it runs at the same time.
    pub slots: usize,
    /// Connections it accepts.
    pub connections: u32,
    /// Cost of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Time a statement holds its slot, in microseconds.
    pub service_us: u64,
    /// Replay lag of a replica, in milliseconds.
    pub lag_ms: u64,
    /// Rank in the group; lower ranks stand for election sooner.
    pub rank: u64,
}

/// Another instance of the group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where to reach its log shipping.
    pub address: SocketAddr,
}

/// A running stand-in instance.
#[derive(Debug)]
pub struct Instance {
    /// Settings.
    pub settings: InstanceSettings,
    /// Log, role and term.
    pub state: LogState,
    /// Serializes writers.
    pub write_lock: Arc<tokio::sync::Mutex<()>>,
    /// Statement slots.
    pub slots: Semaphore,
    /// Connections open.
    pub connections: AtomicU32,
    /// Most connections open at the same time.
    pub peak_connections: AtomicU32,
    /// Statements run, status questions left out.
    pub statements: AtomicU64,
}

impl Instance {
    /// Starts the instance's listeners and tasks.
    pub async fn start(settings: InstanceSettings) -> std::io::Result<Arc<Instance>> {
        let clients = TcpListener::bind(settings.listen).await?;
        let replication = TcpListener::bind(settings.replication).await?;
        let operators = TcpListener::bind(settings.control).await?;
        let instance = Arc::new(Instance {
            state: LogState::new(&settings),
            write_lock: Arc::new(tokio::sync::Mutex::new(())),
            slots: Semaphore::new(settings.slots),
            connections: AtomicU32::new(0),
            peak_connections: AtomicU32::new(0),
            statements: AtomicU64::new(0),
            settings,
        });
        tokio::spawn(session::serve(clients, instance.clone()));
        tokio::spawn(replication::serve(replication, instance.clone()));
        tokio::spawn(control::serve(operators, instance.clone()));
        tokio::spawn(election::run(instance.clone()));
        tokio::spawn(database::replay(instance.clone()));
        for peer in instance.settings.peers.clone() {
            tokio::spawn(replication::ship(instance.clone(), peer));
        }
        Ok(instance)
    }

    fn connection_opened(&self) -> bool {
        let open = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak_connections.fetch_max(open, Ordering::Relaxed);
        open <= self.settings.connections
    }

    fn connection_closed(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
