//! Command line of the lab.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use millwind_lab::deployment::DeploymentName;
use millwind_lab::instance::{Instance, InstanceSettings};
use millwind_lab::platform::Platform;
use millwind_node::{NodeSettings, daemon, logging};

/// Scaffolding for millwind: stand-ins, load, experiments.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a stand-in database instance.
    Instance {
        /// Settings as JSON.
        #[arg(long)]
        settings: String,
    },
    /// Run the platform stand-in.
    Platform {
        /// Listener of the key-value service.
        #[arg(long)]
        listen: SocketAddr,
        /// Listener of the lab's control.
        #[arg(long)]
        control: SocketAddr,
    },
    /// Run a node, as millwindd does.
    Node {
        /// Settings file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Start a deployment and leave it running.
    Cluster {
        /// Which user's deployment.
        #[arg(long, value_enum, default_value = "glasfail")]
        deployment: DeploymentName,
        /// Nodes per zone.
        #[arg(long, default_value_t = 1)]
        nodes_per_zone: usize,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Instance { settings } => run_instance(&settings).await,
        Command::Platform { listen, control } => run_platform(listen, control).await,
        Command::Node { config } => match NodeSettings::read(&config) {
            Ok(settings) => daemon::run(settings).await,
            Err(error) => daemon::refuse(&error.to_string()),
        },
        Command::Cluster { deployment, nodes_per_zone } => run_cluster(deployment, nodes_per_zone).await,
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("millwind-lab: {error}");
    ExitCode::FAILURE
}

async fn run_instance(settings: &str) -> ExitCode {
    let settings: InstanceSettings = match serde_json::from_str(settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    let _ = logging::start(log::LevelFilter::Info);
    match Instance::start(settings).await {
        Ok(_instance) => std::future::pending().await,
        Err(error) => fail(&error),
    }
}

async fn run_platform(listen: SocketAddr, control: SocketAddr) -> ExitCode {
    let _ = logging::start(log::LevelFilter::Info);
    match Platform::start(listen, control).await {
        Ok(_platform) => std::future::pending().await,
        Err(error) => fail(&error),
    }
}

async fn run_cluster(deployment: DeploymentName, nodes_per_zone: usize) -> ExitCode {
    use millwind_lab::cluster::{Cluster, ClusterOptions};
    use millwind_lab::deployment::Deployment;
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return fail(&error),
    };
    let mut options = ClusterOptions::new(program);
    options.nodes_per_zone = nodes_per_zone;
    let cluster = match Cluster::start(Deployment::of(deployment), options).await {
        Ok(cluster) => cluster,
        Err(error) => return fail(&error),
    };
    for node in &cluster.nodes {
        println!(
            "node={} clients={} admin={}",
            node.settings.name, node.client_address, node.settings.admin_address
        );
    }
    for instance in &cluster.instances {
        println!("instance={} address={}", instance.settings.name, instance.settings.listen);
    }
    println!("platform={} logs={}", cluster.platform_address, cluster.directory().display());
    let _ = tokio::signal::ctrl_c().await;
    ExitCode::SUCCESS
}
