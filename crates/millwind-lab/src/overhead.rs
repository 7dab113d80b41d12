//! Overhead of the proxy without simulated network latencies: latency per
//! statement, throughput, and memory per idle client.

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

const MEASURED_STATEMENTS: usize = 4_000;
const WARM_UP_STATEMENTS: usize = 300;
const THROUGHPUT_DURATION: Duration = Duration::from_secs(4);
const CONNECT_CONCURRENCY: usize = 50;
const READ_STATEMENT: &str = "SELECT count(*) FROM booking WHERE session = 'none'";

/// Results of an overhead measurement.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadReport {
    /// Latency of reads sent directly to an instance.
    pub direct_read_us: ClassLatency,
    /// Latency of reads through the node that owns the instance.
    pub owner_read_us: ClassLatency,
    /// Latency of reads that another node forwards to the owner.
    pub forwarded_read_us: ClassLatency,
    /// Difference of the median latencies of reads through the owner and direct
    /// reads, in microseconds.
    pub added_p50_us: i64,
    /// Difference of the 99th percentiles of reads through the owner and direct
    /// reads, in microseconds.
    pub added_p99_us: i64,
    /// Difference of the median latencies of forwarded and direct reads, in
    /// microseconds.
    pub forwarded_added_p50_us: i64,
    /// Latency of writes sent directly to the primary.
    pub direct_write_us: ClassLatency,
    /// Latency of confirmed writes through the node that owns the primary.
    pub owner_write_us: ClassLatency,
    /// Read throughput of all nodes, per second.
    pub reads_per_second: f64,
    /// Number of clients in the throughput measurement.
    pub callers: usize,
    /// CPU time of all nodes per read in the throughput measurement, in microseconds.
    pub node_cpu_us_per_read: f64,
    /// Resident memory of a node per idle client, in bytes.
    pub bytes_per_idle_caller: f64,
    /// Number of idle clients in the memory measurement.
    pub idle_callers: usize,
}

/// Starts a cluster from `program` and measures the overhead of its nodes.
///
/// Fails if the cluster does not start or a statement fails.
pub async fn run(
    program: PathBuf,
    callers: usize,
    idle_callers: usize,
) -> Result<OverheadReport, ClusterError> {
    let mut options = ClusterOptions::new(program);
    options.direct_connections = true;
    options.service_us = 0;
    options.lag_ms = 0;
    options.groups = Some(1);
    let mut deployment = Deployment::with_name(DeploymentName::Dixie);
    deployment.slots = 64;
    deployment.connections = 400;
    deployment.connect_ms = 0;
    let cluster = Cluster::start(deployment, options).await?;
    let tenant = cluster.deployment.tenant(0);
    let (leader, _) = cluster.wait_for_leader(&cluster.deployment.group(0), 0).await?;
    let primary = &cluster.instances[leader];
    let zone = primary.zone.clone();
    let primary_node = cluster.nodes.iter().find(|node| node.settings.zone == zone);
    let primary_node_address =
        primary_node.map_or(cluster.nodes[0].client_address, |node| node.client_address);
    let replica = cluster
        .instances
        .iter()
        .find(|instance| instance.settings.name != primary.settings.name)
        .map_or(primary, |found| found);
    let replica_node = cluster
        .nodes
        .iter()
        .find(|node| node.settings.zone == replica.zone);
    let replica_address = replica_node.map_or(primary_node_address, |node| node.client_address);

    let direct = direct_client(replica.settings.listen).await?;
    let (owner, _) = connect(replica_address, &tenant, None).await?;
    let forwarding = forwarding_client(&cluster, &tenant, primary_node_address).await?;
    let direct_read_us = measure_latency(&direct, READ_STATEMENT).await?;
    let owner_read_us = measure_latency(&owner, READ_STATEMENT).await?;
    let forwarded_read_us = measure_latency(&forwarding, READ_STATEMENT).await?;
    let direct_primary = direct_client(primary.settings.listen).await?;
    let (owner_primary, _) = connect(primary_node_address, &tenant, None).await?;
    let write = "INSERT INTO booking (request, session, seq) VALUES ('overhead.0', 'overhead', 1)";
    let direct_write_us = measure_latency(&direct_primary, write).await?;
    let owner_write_us = measure_latency(&owner_primary, write).await?;
    let (reads_per_second, node_cpu_us_per_read) = measure_throughput(&cluster, &tenant, callers).await?;
    let bytes_per_idle_caller = measure_idle_memory(&cluster, &tenant, idle_callers).await?;
    let added_us = |proxied: u64, direct: u64| proxied as i64 - direct as i64;
    Ok(OverheadReport {
        added_p50_us: added_us(owner_read_us.p50, direct_read_us.p50),
        added_p99_us: added_us(owner_read_us.p99, direct_read_us.p99),
        forwarded_added_p50_us: added_us(forwarded_read_us.p50, direct_read_us.p50),
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

/// Connects through a node other than that of the primary and opens a
/// transaction, so that the node forwards every statement to the owner of the
/// primary.
async fn forwarding_client(
    cluster: &Cluster,
    tenant: &str,
    primary_node_address: SocketAddr,
) -> Result<Client, ClusterError> {
    let other = cluster
        .nodes
        .iter()
        .find(|node| node.client_address != primary_node_address);
    let address = other.map_or(primary_node_address, |node| node.client_address);
    let (client, _) = connect(address, tenant, None).await?;
    client.simple_query("BEGIN").await?;
    Ok(client)
}

async fn measure_latency(client: &Client, statement: &str) -> Result<ClassLatency, ClusterError> {
    for _ in 0..WARM_UP_STATEMENTS {
        client.simple_query(statement).await?;
    }
    let mut micros = Vec::with_capacity(MEASURED_STATEMENTS);
    for _ in 0..MEASURED_STATEMENTS {
        let started = Instant::now();
        client.simple_query(statement).await?;
        micros.push(started.elapsed().as_micros() as u64);
    }
    Ok(ClassLatency::of(micros.into_iter()))
}

async fn measure_throughput(
    cluster: &Cluster,
    tenant: &str,
    callers: usize,
) -> Result<(f64, f64), ClusterError> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for index in 0..callers {
        let address = cluster.nodes[index % cluster.nodes.len()].client_address;
        let (client, _) = connect(address, tenant, None).await?;
        let stop = stop.clone();
        tasks.push(tokio::spawn(async move {
            let mut completed = 0u64;
            while !stop.load(Ordering::Relaxed) && client.simple_query(READ_STATEMENT).await.is_ok() {
                completed += 1;
            }
            completed
        }));
    }
    let cpu_before = node_cpu_seconds(cluster);
    let started = Instant::now();
    tokio::time::sleep(THROUGHPUT_DURATION).await;
    let cpu = node_cpu_seconds(cluster) - cpu_before;
    let elapsed = started.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    let mut completed = 0;
    for task in tasks {
        completed += task.await.unwrap_or(0);
    }
    Ok((completed as f64 / elapsed, cpu * 1e6 / completed.max(1) as f64))
}

/// Returns the CPU time that all nodes have used, in seconds.
fn node_cpu_seconds(cluster: &Cluster) -> f64 {
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

async fn measure_idle_memory(
    cluster: &Cluster,
    tenant: &str,
    idle_callers: usize,
) -> Result<f64, ClusterError> {
    let node = &cluster.nodes[0];
    let before = resident_bytes(&node.process.id().to_string());
    let mut clients = Vec::with_capacity(idle_callers);
    while clients.len() < idle_callers {
        let connecting = (0..CONNECT_CONCURRENCY).map(|_| connect(node.client_address, tenant, None));
        for connected in futures::future::join_all(connecting).await {
            clients.push(connected?);
        }
    }
    for chunk in clients.chunks(CONNECT_CONCURRENCY) {
        let reads = chunk
            .iter()
            .map(|(client, _)| client.simple_query(READ_STATEMENT));
        futures::future::try_join_all(reads).await?;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let after = resident_bytes(&node.process.id().to_string());
    Ok(after.saturating_sub(before) as f64 / clients.len() as f64)
}
