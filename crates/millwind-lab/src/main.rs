//! Command line of the lab.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use millwind_lab::deployment::DeploymentName;
use millwind_lab::experiment::{self, Baseline, ExperimentName, ExperimentOptions, Summary};
use millwind_lab::history::History;
use millwind_lab::hollow::{self, HollowSize};
use millwind_lab::instance::{Instance, InstanceSettings};
use millwind_lab::platform::Platform;
use millwind_lab::report::{self, RecordedRun};
use millwind_lab::{demo, overhead};
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
    /// Show a deployment at work: load, failover, every answer checked.
    Demo {
        /// Which user's deployment.
        #[arg(long, value_enum, default_value = "glasfail")]
        deployment: DeploymentName,
        /// Seed of all choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure what the proxy itself costs, without injected latencies.
    Overhead {
        /// Callers of the throughput measurement.
        #[arg(long, default_value_t = 64)]
        callers: usize,
        /// Idle callers of the memory measurement.
        #[arg(long, default_value_t = 2000)]
        idle_callers: usize,
    },
    /// Make an HTML page of the runs recorded in a directory.
    Report {
        /// The directory.
        directory: PathBuf,
    },
    /// Run an experiment; the last line is one JSON object.
    Experiment(ExperimentArguments),
    /// Run the control plane of many nodes in one process.
    Hollow {
        /// Nodes in all.
        #[arg(long, default_value_t = 910)]
        nodes: usize,
        /// Database instances in all.
        #[arg(long, default_value_t = 1300)]
        databases: usize,
        /// Zones.
        #[arg(long, default_value_t = 5)]
        zones: usize,
        /// Regions.
        #[arg(long, default_value_t = 2)]
        regions: usize,
        /// Virtual seconds of steady running.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Seed of all choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print one JSON line only.
        #[arg(long)]
        json: bool,
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

#[derive(Debug, Args)]
struct ExperimentArguments {
    /// The experiment.
    #[arg(value_enum)]
    name: ExperimentName,
    /// Which user's deployment.
    #[arg(long, value_enum, default_value = "glasfail")]
    deployment: DeploymentName,
    /// Seed of all choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of the load, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Callers per tenant.
    #[arg(long, default_value_t = 8)]
    sessions: usize,
    /// Nodes per zone.
    #[arg(long, default_value_t = 1)]
    nodes_per_zone: usize,
    /// Replay lag of replicas, in milliseconds.
    #[arg(long, default_value_t = 50)]
    lag_ms: u64,
    /// Requests between two writes of a session.
    #[arg(long, default_value_t = 5)]
    write_every: u32,
    /// Longest pause of a caller between requests, in milliseconds.
    #[arg(long, default_value_t = 10)]
    think_ms: u64,
    /// Time a statement holds its slot, in microseconds.
    #[arg(long, default_value_t = 1_000)]
    service_us: u64,
    /// Settings to compare with.
    #[arg(long, value_enum)]
    baseline: Option<Baseline>,
    /// Print only the JSON line.
    #[arg(long)]
    json: bool,
    /// Record the run in this directory, for `report`.
    #[arg(long)]
    record: Option<PathBuf>,
}

impl ExperimentArguments {
    fn options(&self, program: PathBuf) -> ExperimentOptions {
        ExperimentOptions {
            program,
            deployment: self.deployment,
            seed: self.seed,
            seconds: self.seconds,
            sessions: self.sessions,
            nodes_per_zone: self.nodes_per_zone,
            lag_ms: self.lag_ms,
            write_every: self.write_every,
            think_ms: self.think_ms,
            service_us: self.service_us,
            baseline: self.baseline,
            verbose: !self.json,
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = Arguments::parse().command;
    // The lab starts its stand-ins and nodes from its own program.
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return fail(&error),
    };
    match command {
        Command::Instance { settings } => run_instance(&settings).await,
        Command::Platform { listen, control } => run_platform(listen, control).await,
        Command::Node { config } => match NodeSettings::read(&config) {
            Ok(settings) => daemon::run(settings).await,
            Err(error) => daemon::refuse(&error.to_string()),
        },
        Command::Demo { deployment, seed } => run_demo(program, deployment, seed).await,
        Command::Overhead {
            callers,
            idle_callers,
        } => run_overhead(program, callers, idle_callers).await,
        Command::Report { directory } => match report::make(&directory) {
            Ok(path) => {
                println!("{}", path.display());
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error),
        },
        Command::Hollow {
            nodes,
            databases,
            zones,
            regions,
            seconds,
            seed,
            json,
        } => {
            let size = HollowSize {
                nodes,
                databases,
                zones,
                regions,
                seconds,
                seed,
            };
            run_hollow(size, json)
        }
        Command::Experiment(arguments) => run_experiment(program, &arguments).await,
        Command::Cluster {
            deployment,
            nodes_per_zone,
        } => run_cluster(program, deployment, nodes_per_zone).await,
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
    let _ = logging::init(log::LevelFilter::Info);
    match Instance::start(settings).await {
        Ok(_instance) => std::future::pending().await,
        Err(error) => fail(&error),
    }
}

async fn run_platform(listen: SocketAddr, control: SocketAddr) -> ExitCode {
    let _ = logging::init(log::LevelFilter::Info);
    match Platform::start(listen, control).await {
        Ok(_platform) => std::future::pending().await,
        Err(error) => fail(&error),
    }
}

fn run_hollow(size: HollowSize, json: bool) -> ExitCode {
    let measured = hollow::run(size);
    let text = if json {
        serde_json::to_string(&measured)
    } else {
        serde_json::to_string_pretty(&measured)
    };
    match text {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string(value) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("millwind-lab: {error}"),
    }
}

fn exit_code(summary: &Summary) -> ExitCode {
    if summary.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run_demo(program: PathBuf, deployment: DeploymentName, seed: u64) -> ExitCode {
    let mut options = ExperimentOptions::new(program, deployment);
    options.seed = seed;
    options.verbose = true;
    match demo::run(&options).await {
        Ok(summary) => {
            print_json(&summary);
            exit_code(&summary)
        }
        Err(error) => fail(&error),
    }
}

async fn run_overhead(program: PathBuf, callers: usize, idle_callers: usize) -> ExitCode {
    match overhead::run(program, callers, idle_callers).await {
        Ok(report) => {
            print_json(&report);
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

async fn run_experiment(program: PathBuf, arguments: &ExperimentArguments) -> ExitCode {
    let (summary, history) = match experiment::run(arguments.name, &arguments.options(program)).await {
        Ok(result) => result,
        Err(error) => return fail(&error),
    };
    if let Some(directory) = &arguments.record
        && let Err(error) = record(directory, &summary, &history)
    {
        return fail(&error);
    }
    print_json(&summary);
    exit_code(&summary)
}

fn record(directory: &Path, summary: &Summary, history: &History) -> std::io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let value = serde_json::to_value(summary).map_err(std::io::Error::other)?;
    let run = RecordedRun::new(value, history);
    let text = serde_json::to_string(&run).map_err(std::io::Error::other)?;
    let baseline = summary.baseline.as_deref().unwrap_or("usual");
    let name = format!(
        "{}-{}-{}-{baseline}.json",
        summary.experiment, summary.deployment, summary.seed
    );
    std::fs::write(directory.join(name), text)
}

async fn run_cluster(program: PathBuf, deployment: DeploymentName, nodes_per_zone: usize) -> ExitCode {
    use millwind_lab::cluster::{Cluster, ClusterOptions};
    use millwind_lab::deployment::Deployment;
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
        println!(
            "instance={} address={}",
            instance.settings.name, instance.settings.listen
        );
    }
    println!(
        "platform={} logs={}",
        cluster.platform_address,
        cluster.directory().display()
    );
    let _ = tokio::signal::ctrl_c().await;
    ExitCode::SUCCESS
}
