//! Starts a deployment as separate processes: the simulated platform, the
//! simulated database instances and the nodes, connected by relays.

mod process;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use millwind_core::config_state::Machine;
use millwind_core::confirmation::ConfirmationRule;
use millwind_core::tenant::{GroupSpec, InstanceSpec, Tenant};
use millwind_node::NodeSettings;
use millwind_node::admin::{ChangeBody, StandingsReport, StatusReport, StoredBody};
use millwind_node::config_watch::KeySpace;
use millwind_store::etcd::EtcdStore;
use millwind_store::{Store, Write};
use thiserror::Error;

use crate::deployment::Deployment;
use crate::http::{self, HttpError};
use crate::instance::{InstanceReport, InstanceSettings, Peer};
use crate::platform::PlatformFaults;
use crate::ports::free_address;
use crate::relay::{EndpointPair, Relays};

pub use process::Process;

/// Relay endpoint name of the platform.
pub const PLATFORM_ENDPOINT: &str = "platform";
/// Relay endpoint name of the clients.
pub const CLIENT_ENDPOINT: &str = "clients";
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Error while starting or controlling a deployment.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// Process, file or socket operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// HTTP request to a process failed.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// Operation on the platform's key-value store failed.
    #[error("{0}")]
    Store(#[from] millwind_store::StoreError),
    /// Expected condition was not met in time.
    #[error("timed out waiting for {0}")]
    Timeout(String),
    /// Statement or connection of a database client failed.
    #[error("client: {0}")]
    Client(#[from] tokio_postgres::Error),
}

/// Options of a deployment run.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Executable with the `node`, `instance` and `platform` subcommands.
    pub program: PathBuf,
    /// Nodes per zone.
    pub nodes_per_zone: usize,
    /// Number of database groups; defaults to the number in the deployment.
    pub groups: Option<usize>,
    /// Replay lag of replicas, in milliseconds.
    pub lag_ms: u64,
    /// Simulated execution time of a statement, in microseconds.
    pub service_us: u64,
    /// Whether processes connect directly, without relays and injected latency.
    pub direct_connections: bool,
    /// Rule by which a write is confirmed before it is acknowledged.
    pub confirmation: ConfirmationRule,
    /// Whether the template's read policy is replaced by `primary_only`.
    pub primary_only: bool,
    /// Overrides the tenants' `hold_ms` parameter, in milliseconds.
    pub hold_ms: Option<u64>,
}

impl ClusterOptions {
    /// Returns the default options for `program`.
    pub fn new(program: PathBuf) -> Self {
        ClusterOptions {
            program,
            nodes_per_zone: 1,
            groups: None,
            lag_ms: 50,
            service_us: 1_000,
            direct_connections: false,
            confirmation: ConfirmationRule::Replicated,
            primary_only: false,
            hold_ms: None,
        }
    }
}

/// A running simulated instance.
#[derive(Debug)]
pub struct InstanceHandle {
    /// Group of the instance.
    pub group: String,
    /// Zone of the instance.
    pub zone: String,
    /// Settings that the process was started with.
    pub settings: InstanceSettings,
    /// Operating system process.
    pub process: Process,
}

/// A running node.
#[derive(Debug)]
pub struct NodeHandle {
    /// Settings that the process was started with.
    pub settings: NodeSettings,
    /// Address for clients, through the relay if there is one.
    pub client_address: SocketAddr,
    /// Operating system process.
    pub process: Process,
}

/// A running deployment.
#[derive(Debug)]
pub struct Cluster {
    /// Description of the deployment.
    pub deployment: Deployment,
    /// Options that the deployment was started with.
    pub options: ClusterOptions,
    /// Relays between zones, clients and platform.
    pub relays: Arc<Relays>,
    /// Database instances.
    pub instances: Vec<InstanceHandle>,
    /// Millwind nodes.
    pub nodes: Vec<NodeHandle>,
    /// Control API address of the simulated platform.
    pub platform_control: SocketAddr,
    /// Key-value service address of the simulated platform.
    pub platform_address: SocketAddr,
    platform: Process,
    directory: PathBuf,
    change_count: u64,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.platform.kill();
        if std::env::var_os("MILLWIND_LAB_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Cluster {
    /// Starts all processes, applies the configuration and creates the tables.
    /// Fails if a process cannot be started or is not ready in time.
    pub async fn start(deployment: Deployment, options: ClusterOptions) -> Result<Cluster, ClusterError> {
        let directory = std::env::temp_dir().join(format!(
            "millwind-lab-{}-{:x}",
            std::process::id(),
            rand::random::<u32>()
        ));
        std::fs::create_dir_all(&directory)?;
        let platform_address = free_address()?;
        let platform_control = free_address()?;
        let platform = Process::spawn(
            &options.program,
            &[
                "platform",
                "--listen",
                &platform_address.to_string(),
                "--control",
                &platform_control.to_string(),
            ],
            &directory.join("platform.log"),
        )?;
        let mut cluster = Cluster {
            deployment,
            options,
            relays: Arc::default(),
            instances: Vec::new(),
            nodes: Vec::new(),
            platform_control,
            platform_address,
            platform,
            directory,
            change_count: 0,
        };
        cluster.start_instances().await?;
        cluster.start_nodes().await?;
        cluster.wait_for_nodes().await?;
        cluster.apply_configuration().await?;
        cluster.create_tables().await?;
        Ok(cluster)
    }

    /// Directory of log and settings files.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Number of database groups.
    pub fn groups(&self) -> usize {
        self.options.groups.unwrap_or(self.deployment.groups)
    }

    /// Address at which a process in `zone` reaches `target` in `target_zone`;
    /// opens a relay if the zones differ.
    async fn dial_address(
        &self,
        zone: &str,
        target_zone: &str,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        if self.options.direct_connections || zone == target_zone {
            return Ok(target);
        }
        let latency = if target_zone == PLATFORM_ENDPOINT {
            self.deployment.zone_latency
        } else {
            self.deployment.latency(zone, target_zone)
        };
        self.relays
            .open(EndpointPair::new(zone, target_zone), target, latency)
            .await
    }

    async fn start_instances(&mut self) -> Result<(), ClusterError> {
        for group in 0..self.groups() {
            let mut addresses = Vec::new();
            for _ in 0..self.deployment.zones.len() {
                addresses.push((free_address()?, free_address()?, free_address()?));
            }
            for index in 0..self.deployment.zones.len() {
                // The zones are rotated so that each group's primary is in another zone.
                let zone = self.deployment.zones[(index + group) % 3];
                let mut peers = Vec::new();
                for (other, (_, replication, _)) in addresses.iter().enumerate() {
                    if other != index {
                        let other_zone = self.deployment.zones[(other + group) % 3];
                        let address = self
                            .dial_address(zone.name, other_zone.name, *replication)
                            .await?;
                        peers.push(Peer {
                            name: self.instance_name(group, other),
                            address,
                        });
                    }
                }
                let (listen, replication, control) = addresses[index];
                let settings = InstanceSettings {
                    name: self.instance_name(group, index),
                    listen,
                    replication,
                    control,
                    peers,
                    initial_primary: index == 0,
                    rejoin: false,
                    slots: self.deployment.slots as usize,
                    connections: self.deployment.connections,
                    connect_ms: self.deployment.connect_ms,
                    service_us: self.options.service_us,
                    lag_ms: self.options.lag_ms,
                    rank: index as u64,
                };
                self.spawn_instance(self.deployment.group(group), zone.name.to_owned(), settings)?;
            }
        }
        for instance in &self.instances {
            let address = instance.settings.control;
            poll_until(&instance.settings.name, || async move {
                http::get::<InstanceReport>(address, "/report").await.is_ok()
            })
            .await?;
        }
        Ok(())
    }

    fn instance_name(&self, group: usize, index: usize) -> String {
        format!("{}-{}", self.deployment.group(group), ["a", "b", "c"][index])
    }

    fn spawn_instance(
        &mut self,
        group: String,
        zone: String,
        settings: InstanceSettings,
    ) -> Result<(), ClusterError> {
        let process = self.spawn_instance_process(&settings)?;
        self.instances.push(InstanceHandle {
            group,
            zone,
            settings,
            process,
        });
        Ok(())
    }

    fn spawn_instance_process(&self, settings: &InstanceSettings) -> Result<Process, ClusterError> {
        let text = serde_json::to_string(settings).map_err(std::io::Error::other)?;
        let log = self.directory.join(format!("{}.log", settings.name));
        Ok(Process::spawn(
            &self.options.program,
            &["instance", "--settings", &text],
            &log,
        )?)
    }

    /// Restarts an instance with an empty log, which is copied from its peers.
    pub fn restart_instance(&mut self, index: usize) -> Result<(), ClusterError> {
        let mut settings = self.instances[index].settings.clone();
        settings.initial_primary = false;
        settings.rejoin = true;
        let process = self.spawn_instance_process(&settings)?;
        self.instances[index].settings = settings;
        self.instances[index].process = process;
        Ok(())
    }

    async fn start_nodes(&mut self) -> Result<(), ClusterError> {
        let mut node_plans = Vec::new();
        for zone in self.deployment.zones {
            for number in 0..self.options.nodes_per_zone {
                let name = format!("{}-n{}", zone.name, number + 1);
                node_plans.push((name, zone, free_address()?, free_address()?, free_address()?));
            }
        }
        self.write_machine_list(
            &node_plans
                .iter()
                .map(|plan| (plan.0.clone(), plan.3))
                .collect::<Vec<_>>(),
        )
        .await?;
        let seeds: Vec<SocketAddr> = node_plans.iter().map(|plan| plan.3).collect();
        for (name, zone, client, peer, admin) in &node_plans {
            let mut dial = std::collections::BTreeMap::new();
            for (_, other_zone, _, other_peer, _) in &node_plans {
                let address = self.dial_address(zone.name, other_zone.name, *other_peer).await?;
                dial.insert(*other_peer, address);
            }
            for instance in &self.instances {
                let listen = instance.settings.listen;
                dial.insert(
                    listen,
                    self.dial_address(zone.name, &instance.zone, listen).await?,
                );
            }
            let settings = NodeSettings {
                name: name.clone(),
                zone: zone.name.to_owned(),
                region: zone.region.to_owned(),
                client_address: *client,
                peer_address: *peer,
                admin_address: *admin,
                platform: vec![
                    self.dial_address(zone.name, PLATFORM_ENDPOINT, self.platform_address)
                        .await?,
                ],
                platform_prefix: "/millwind/".to_owned(),
                seeds: seeds.clone(),
                dial,
                maximum_clients: 20_000,
                drain_ms: 15_000,
                log_level: log::LevelFilter::Info,
            };
            let client_address = if self.options.direct_connections {
                *client
            } else {
                let key = EndpointPair::new(CLIENT_ENDPOINT, name);
                self.relays
                    .open(key, *client, self.deployment.client_latency)
                    .await?
            };
            let process = self.spawn_node_process(&settings)?;
            self.nodes.push(NodeHandle {
                settings,
                client_address,
                process,
            });
        }
        Ok(())
    }

    fn spawn_node_process(&self, settings: &NodeSettings) -> Result<Process, ClusterError> {
        let path = self.directory.join(format!("{}.toml", settings.name));
        let text = toml::to_string(settings).map_err(std::io::Error::other)?;
        std::fs::write(&path, text)?;
        let log = self.directory.join(format!("{}.log", settings.name));
        let config = path.to_string_lossy();
        Ok(Process::spawn(
            &self.options.program,
            &["node", "--config", &config],
            &log,
        )?)
    }

    /// Restarts a node with its previous settings.
    pub fn restart_node(&mut self, index: usize) -> Result<(), ClusterError> {
        let process = self.spawn_node_process(&self.nodes[index].settings)?;
        self.nodes[index].process = process;
        Ok(())
    }

    async fn write_machine_list(&self, machines: &[(String, SocketAddr)]) -> Result<(), ClusterError> {
        for (name, address) in machines {
            self.write_machine_entry(name, &address.to_string(), false)
                .await?;
        }
        Ok(())
    }

    /// Writes an entry of the platform's machine list; retries until the platform
    /// accepts the write, and fails after a timeout.
    pub async fn write_machine_entry(
        &self,
        name: &str,
        address: &str,
        leaving: bool,
    ) -> Result<(), ClusterError> {
        let machine = Machine {
            name: name.to_owned(),
            address: address.to_owned(),
            leaving,
        };
        let text = toml::to_string(&machine).map_err(std::io::Error::other)?;
        let store = EtcdStore::new(&[self.platform_address])?;
        let write = Write {
            key: KeySpace::new("/millwind/").machine(name),
            value: text.into_bytes(),
        };
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            match store.swap(&[], std::slice::from_ref(&write)).await {
                Ok(_) => return Ok(()),
                Err(error) if tokio::time::Instant::now() > deadline => return Err(error.into()),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Waits until every node serves its admin API and lists all nodes.
    async fn wait_for_nodes(&self) -> Result<(), ClusterError> {
        let count = self.nodes.len();
        for node in &self.nodes {
            let address = node.settings.admin_address;
            poll_until(&node.settings.name, || async move {
                http::get::<Vec<millwind_node::admin::NodeRow>>(address, "/nodes")
                    .await
                    .is_ok_and(|rows| rows.len() == count)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns a node's status report.
    pub async fn status(&self, index: usize) -> Result<StatusReport, ClusterError> {
        Ok(http::get(self.nodes[index].settings.admin_address, "/status").await?)
    }

    async fn apply_configuration(&mut self) -> Result<(), ClusterError> {
        let mut revision = 0;
        for index in 0..self.groups() {
            let spec = self.group_spec(index);
            let text = toml::to_string(&spec).map_err(std::io::Error::other)?;
            revision = self.store(0, &format!("group/{}", spec.name), &text).await?;
        }
        let template = self.template_text();
        self.store(
            0,
            &format!("template/{}", self.deployment.template_name),
            &template,
        )
        .await?;
        for index in 0..self.groups() {
            let tenant = self.tenant(index);
            let text = toml::to_string(&tenant).map_err(std::io::Error::other)?;
            revision = self.store(0, &format!("tenant/{}", tenant.name), &text).await?;
        }
        self.wait_until_in_force(0, revision).await
    }

    fn template_text(&self) -> String {
        let mut text = self.deployment.template.to_owned();
        if self.options.primary_only {
            text = text.replace("read_policy = \"replica\"", "read_policy = \"primary_only\"");
        }
        text
    }

    /// Returns the configuration document of a group.
    pub fn group_spec(&self, index: usize) -> GroupSpec {
        let name = self.deployment.group(index);
        let region = |zone: &str| {
            let found = self.deployment.zones.iter().find(|entry| entry.name == zone);
            found.map_or("", |entry| entry.region)
        };
        GroupSpec {
            name: name.as_str().into(),
            user: "millwind".to_owned(),
            password: String::new(),
            database: name.clone(),
            confirmation: self.options.confirmation,
            instances: self
                .instances
                .iter()
                .filter(|instance| instance.group == name)
                .map(|instance| InstanceSpec {
                    name: instance.settings.name.as_str().into(),
                    address: instance.settings.listen,
                    zone: instance.zone.as_str().into(),
                    region: region(&instance.zone).into(),
                    slots: self.deployment.slots,
                    connections: self.deployment.connections,
                    leaving: false,
                })
                .collect(),
        }
    }

    fn tenant(&self, index: usize) -> Tenant {
        let mut parameters = std::collections::BTreeMap::new();
        if let Some(hold_ms) = self.options.hold_ms {
            parameters.insert(millwind_core::tenant::Parameter::HoldMs, hold_ms);
        }
        Tenant {
            name: self.deployment.tenant(index).as_str().into(),
            template: self.deployment.template_name.to_owned(),
            group: self.deployment.group(index).as_str().into(),
            password: String::new(),
            parameters,
            allowed_regions: Vec::new(),
        }
    }

    /// Stores a configuration document through a node; returns its revision.
    pub async fn store(&mut self, node: usize, key: &str, text: &str) -> Result<u64, ClusterError> {
        self.change_count += 1;
        let body = ChangeBody {
            change_id: format!("lab-{}-{}", std::process::id(), self.change_count),
            expected_revision: None,
            body: Some(text.to_owned()),
        };
        let address = self.nodes[node].settings.admin_address;
        let stored: StoredBody = http::put(address, &format!("/documents/{key}"), &body).await?;
        Ok(stored.revision)
    }

    /// Waits until a revision is in force on every live node, as reported by `node`.
    pub async fn wait_until_in_force(&self, node: usize, revision: u64) -> Result<(), ClusterError> {
        let address = self.nodes[node].settings.admin_address;
        poll_until(&format!("revision {revision} to be in force"), || async move {
            http::get::<StandingsReport>(address, &format!("/standings?revision={revision}"))
                .await
                .is_ok_and(|report| report.pending.is_empty())
        })
        .await
    }

    async fn create_tables(&self) -> Result<(), ClusterError> {
        let statements = [
            millwind_node::owner::CREATE_LEDGER,
            "CREATE TABLE IF NOT EXISTS booking (request TEXT, session TEXT, seq INTEGER)",
            "CREATE INDEX IF NOT EXISTS booking_session ON booking (session)",
        ];
        for index in 0..self.groups() {
            let tenant = self.deployment.tenant(index);
            let (client, _) = crate::client::connect(self.nodes[0].client_address, &tenant, None).await?;
            for statement in statements {
                client.simple_query(statement).await?;
            }
        }
        Ok(())
    }

    /// Returns index and report of the group's primary, the one of the highest term
    /// if several instances report that role.
    pub async fn leader(&self, group: &str) -> Option<(usize, InstanceReport)> {
        let mut newest: Option<(usize, InstanceReport)> = None;
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.group != group {
                continue;
            }
            let report: Result<InstanceReport, _> = http::get(instance.settings.control, "/report").await;
            let Ok(report) = report else { continue };
            let newer = newest.as_ref().is_none_or(|(_, held)| report.term > held.term);
            if report.leads && newer {
                newest = Some((index, report));
            }
        }
        newest
    }

    /// Waits until a group has a primary in a term above `term`.
    pub async fn wait_for_leader(
        &self,
        group: &str,
        term: u64,
    ) -> Result<(usize, InstanceReport), ClusterError> {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if let Some((index, report)) = self.leader(group).await
                && report.term > term
            {
                return Ok((index, report));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(ClusterError::Timeout(format!(
            "a leader of group {group} with a term above {term}"
        )))
    }

    /// Sets the faults of the simulated platform.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<(), ClusterError> {
        Ok(http::post(self.platform_control, "/faults", faults).await?)
    }

    /// Starts or ends a partition between a zone and the other zones and platform.
    pub fn set_zone_partitioned(&self, zone: &str, cut: bool) {
        for other in self.deployment.zones {
            if other.name != zone {
                self.relays.set_partitioned(zone, other.name, cut);
            }
        }
        self.relays.set_partitioned(zone, PLATFORM_ENDPOINT, cut);
    }
}

/// Polls `check` until it returns true; fails after a timeout that names `condition`.
async fn poll_until<F, Fut>(condition: &str, mut check: F) -> Result<(), ClusterError>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if check().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(ClusterError::Timeout(condition.to_owned()))
}
