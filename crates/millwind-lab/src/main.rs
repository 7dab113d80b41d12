//! Command line of the test harness.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use millwind_lab::deployment::DeploymentName;
use millwind_lab::experiment::{self, Baseline, ExperimentName, ExperimentOptions, Summary};
use millwind_lab::history::History;
use millwind_lab::hollow::{self, SimulationSize};
use millwind_lab::instance::{Instance, InstanceSettings};
use millwind_lab::platform::Platform;
use millwind_lab::report::{self, RecordedRun};
use millwind_lab::{demo, overhead};
use millwind_node::{NodeSettings, daemon, logging};

/// Test harness for millwind: simulators, load generator, experiments.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a simulated database instance.
    Instance {
        /// Settings as JSON.
        #[arg(long)]
        settings: String,
    },
    /// Run the simulated platform.
    Platform {
        /// Listen address of the key-value service.
        #[arg(long)]
        listen: SocketAddr,
        /// Listen address of the control API.
        #[arg(long)]
        control: SocketAddr,
    },
    /// Run a node, as millwindd does.
    Node {
        /// Settings file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Run a deployment under load with a failover, and check every response.
    Demo {
        /// Deployment to start.
        #[arg(long, value_enum, default_value = "glasfail")]
        deployment: DeploymentName,
        /// Seed of the random number generators.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure the overhead of the proxy, without injected latency.
    Overhead {
        /// Concurrent clients in the throughput measurement.
        #[arg(long, default_value_t = 64)]
        callers: usize,
        /// Idle clients in the memory measurement.
        #[arg(long, default_value_t = 2000)]
        idle_callers: usize,
    },
    /// Write an HTML report of the runs recorded in a directory.
    Report {
        /// Directory of recorded runs.
        directory: PathBuf,
    },
    /// Run an experiment; the last line of the output is a JSON object.
    Experiment(ExperimentArguments),
    /// Simulate the control plane of many nodes in one process.
    Hollow {
        /// Total number of nodes.
        #[arg(long, default_value_t = 910)]
        nodes: usize,
        /// Total number of database instances.
        #[arg(long, default_value_t = 1300)]
        databases: usize,
        /// Number of zones.
        #[arg(long, default_value_t = 5)]
        zones: usize,
        /// Number of regions.
        #[arg(long, default_value_t = 2)]
        regions: usize,
        /// Simulated seconds of steady state.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Seed of the random number generators.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print the result as a single JSON line.
        #[arg(long)]
        json: bool,
    },
    /// Start a deployment and keep it running until interrupted.
    Cluster {
        /// Deployment to start.
        #[arg(long, value_enum, default_value = "glasfail")]
        deployment: DeploymentName,
        /// Nodes per zone.
        #[arg(long, default_value_t = 1)]
        nodes_per_zone: usize,
    },
}

#[derive(Debug, Args)]
struct ExperimentArguments {
    /// Experiment to run.
    #[arg(value_enum)]
    name: ExperimentName,
    /// Deployment to start.
    #[arg(long, value_enum, default_value = "glasfail")]
    deployment: DeploymentName,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Client sessions per tenant.
    #[arg(long, default_value_t = 8)]
    sessions: usize,
    /// Nodes per zone.
    #[arg(long, default_value_t = 1)]
    nodes_per_zone: usize,
    /// Replay lag of replicas, in milliseconds.
    #[arg(long, default_value_t = 50)]
    lag_ms: u64,
    /// Interval between the writes of a session, in requests.
    #[arg(long, default_value_t = 5)]
    write_every: u32,
    /// Maximum think time between two requests of a session, in milliseconds.
    #[arg(long, default_value_t = 10)]
    think_ms: u64,
    /// Simulated execution time of a statement, in microseconds.
    #[arg(long, default_value_t = 1_000)]
    service_us: u64,
    /// Baseline settings to run instead of the usual settings.
    #[arg(long, value_enum)]
    baseline: Option<Baseline>,
    /// Suppress progress output; print only the JSON line.
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
    // Simulators and nodes are started as subcommands of this executable.
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return fail(&error),
    };
    match command {
        Command::Instance { settings } => run_instance(&settings).await,
        Command::Platform { listen, control } => run_platform(listen, control).await,
        Command::Node { config } => match NodeSettings::read(&config) {
            Ok(settings) => daemon::run(settings).await,
            Err(error) => daemon::fail_startup(&error.to_string()),
        },
        Command::Demo { deployment, seed } => run_demo(program, deployment, seed).await,
        Command::Overhead {
            callers,
            idle_callers,
        } => run_overhead(program, callers, idle_callers).await,
        Command::Report { directory } => match report::write_index(&directory) {
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
            let size = SimulationSize {
                nodes,
                databases,
                zones,
                regions,
                seconds,
                seed,
            };
            run_simulation(size, json)
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

fn run_simulation(size: SimulationSize, json: bool) -> ExitCode {
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
    let cluster = match Cluster::start(Deployment::with_name(deployment), options).await {
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
