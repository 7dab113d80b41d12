//! What the proxy itself costs, without latencies between the processes: time
//! added per statement, statements per second, memory per idle caller.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio_postgres::{Client, NoTls};

use crate::client::connect;
use crate::cluster::{Cluster, ClusterError, ClusterOptions};
use crate::deployment::{Deployment, DeploymentName};
use crate::experiment::ClassLatency;
use crate::process_memory::resident_bytes;

const STATEMENTS: usize = 4_000;
const WARM_UP: usize = 300;
const THROUGHPUT_TIME: Duration = Duration::from_secs(4);
const CONNECTING_AT_ONCE: usize = 50;
const READ: &str = "SELECT count(*) FROM booking WHERE session = 'none'";

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadReport {
    /// Reads straight from an instance.
    pub direct_read_us: ClassLatency,
    /// Reads through the node that owns the instance.
    pub owner_read_us: ClassLatency,
    /// Reads through another node, which forwards them.
    pub forwarded_read_us: ClassLatency,
    /// Median added per read through the owner, in microseconds.
    pub added_p50_us: i64,
    /// 99th percentile added per read through the owner, in microseconds.
    pub added_p99_us: i64,
    /// Median added per read through another node, in microseconds.
    pub forwarded_added_p50_us: i64,
    /// Writes straight to the primary.
    pub direct_write_us: ClassLatency,
    /// Writes through the node that owns the primary, confirmed.
    pub owner_write_us: ClassLatency,
    /// Reads per second through all nodes.
    pub reads_per_second: f64,
    /// Callers of that load.
    pub callers: usize,
    /// Processor time of all nodes per read of that load, in microseconds.
    pub node_cpu_us_per_read: f64,
    /// Memory of a node per idle caller, in bytes.
    pub bytes_per_idle_caller: f64,
    /// Idle callers of that figure.
    pub idle_callers: usize,
}

/// Measures with this program's stand-ins and nodes.
pub async fn run(
    program: PathBuf,
    callers: usize,
    idle_callers: usize,
) -> Result<OverheadReport, ClusterError> {
    let mut options = ClusterOptions::new(program);
    options.flat = true;
    options.service_us = 0;
    options.lag_ms = 0;
    options.groups = Some(1);
    let mut deployment = Deployment::of(DeploymentName::Dixie);
    deployment.slots = 64;
    deployment.connections = 400;
    deployment.connect_ms = 0;
    let cluster = Cluster::start(deployment, options).await?;
    let tenant = cluster.deployment.tenant(0);
    let (leader, _) = cluster.await_leader(&cluster.deployment.group(0), 0).await?;
    let primary = &cluster.instances[leader];
    let zone = primary.zone.clone();
    let near = cluster.nodes.iter().find(|node| node.settings.zone == zone);
    let near = near.map_or(cluster.nodes[0].client_address, |node| node.client_address);
    let replica = cluster
        .instances
        .iter()
        .find(|instance| instance.settings.name != primary.settings.name)
        .map_or(primary, |found| found);
    let replica_node = cluster
        .nodes
        .iter()
        .find(|node| node.settings.zone == replica.zone);
    let replica_address = replica_node.map_or(near, |node| node.client_address);

    let direct = direct_client(replica.settings.listen).await?;
    let (owner, _) = connect(replica_address, &tenant, None).await?;
    let forwarding = forwarding_client(&cluster, &tenant, near).await?;
    let direct_read_us = measure(&direct, READ).await?;
    let owner_read_us = measure(&owner, READ).await?;
    let forwarded_read_us = measure(&forwarding, READ).await?;
    let direct_primary = direct_client(primary.settings.listen).await?;
    let (owner_primary, _) = connect(near, &tenant, None).await?;
    let write = "INSERT INTO booking (request, session, seq) VALUES ('overhead.0', 'overhead', 1)";
    let direct_write_us = measure(&direct_primary, write).await?;
    let owner_write_us = measure(&owner_primary, write).await?;
    let (reads_per_second, node_cpu_us_per_read) = throughput(&cluster, &tenant, callers).await?;
    let bytes_per_idle_caller = idle_memory(&cluster, &tenant, idle_callers).await?;
    let added = |proxied: u64, direct: u64| proxied as i64 - direct as i64;
    Ok(OverheadReport {
        added_p50_us: added(owner_read_us.p50, direct_read_us.p50),
        added_p99_us: added(owner_read_us.p99, direct_read_us.p99),
        forwarded_added_p50_us: added(forwarded_read_us.p50, direct_read_us.p50),
        direct_read_us,
        owner_read_us,
        forwarded_read_us,
        direct_write_us,
        owner_write_us,
        reads_per_second,
        callers,
        node_cpu_us_per_read,
        bytes_per_idle_caller,
        idle_callers,
    })
}

async fn direct_client(address: SocketAddr) -> Result<Client, ClusterError> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("millwind")
        .dbname("any");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// A session that reads on an instance its node does not own: the primary-only
/// way through a node of another zone.
async fn forwarding_client(
    cluster: &Cluster,
    tenant: &str,
    near: SocketAddr,
) -> Result<Client, ClusterError> {
    let other = cluster.nodes.iter().find(|node| node.client_address != near);
    let address = other.map_or(near, |node| node.client_address);
    let (client, _) = connect(address, tenant, None).await?;
    // Inside a transaction every statement goes to the primary's owner.
    client.simple_query("BEGIN").await?;
    Ok(client)
}

async fn measure(client: &Client, statement: &str) -> Result<ClassLatency, ClusterError> {
    for _ in 0..WARM_UP {
        client.simple_query(statement).await?;
    }
    let mut micros = Vec::with_capacity(STATEMENTS);
    for _ in 0..STATEMENTS {
        let started = Instant::now();
        client.simple_query(statement).await?;
        micros.push(started.elapsed().as_micros() as u64);
    }
    Ok(ClassLatency::of(micros.into_iter()))
}

async fn throughput(cluster: &Cluster, tenant: &str, callers: usize) -> Result<(f64, f64), ClusterError> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for index in 0..callers {
        let address = cluster.nodes[index % cluster.nodes.len()].client_address;
        let (client, _) = connect(address, tenant, None).await?;
        let stop = stop.clone();
        tasks.push(tokio::spawn(async move {
            let mut done = 0u64;
            while !stop.load(Ordering::Relaxed) && client.simple_query(READ).await.is_ok() {
                done += 1;
            }
            done
        }));
    }
    let cpu_before = node_cpu(cluster);
    let started = Instant::now();
    tokio::time::sleep(THROUGHPUT_TIME).await;
    let cpu = node_cpu(cluster) - cpu_before;
    let elapsed = started.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    let mut done = 0;
    for task in tasks {
        done += task.await.unwrap_or(0);
    }
    Ok((done as f64 / elapsed, cpu * 1e6 / done.max(1) as f64))
}

/// Processor time of all nodes, in seconds.
fn node_cpu(cluster: &Cluster) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    const USER_FIELD: usize = 11;
    cluster
        .nodes
        .iter()
        .map(|node| {
            let text =
                std::fs::read_to_string(format!("/proc/{}/stat", node.process.id())).unwrap_or_default();
            let after_name = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
            let fields: Vec<f64> = after_name
                .split(' ')
                .filter_map(|field| field.parse().ok().or(Some(0.0)))
                .collect();
            let time = |index: usize| fields.get(index).copied().unwrap_or(0.0);
            (time(USER_FIELD) + time(USER_FIELD + 1)) / TICKS_PER_SECOND
        })
        .sum()
}

async fn idle_memory(cluster: &Cluster, tenant: &str, idle_callers: usize) -> Result<f64, ClusterError> {
    let node = &cluster.nodes[0];
    let before = resident_bytes(&node.process.id().to_string());
    let mut clients = Vec::with_capacity(idle_callers);
    while clients.len() < idle_callers {
        let connecting = (0..CONNECTING_AT_ONCE).map(|_| connect(node.client_address, tenant, None));
        for connected in futures::future::join_all(connecting).await {
            clients.push(connected?);
        }
    }
    for chunk in clients.chunks(CONNECTING_AT_ONCE) {
        let reads = chunk.iter().map(|(client, _)| client.simple_query(READ));
        futures::future::try_join_all(reads).await?;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let after = resident_bytes(&node.process.id().to_string());
    Ok(after.saturating_sub(before) as f64 / clients.len() as f64)
}
