//! The millwind daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use log::{LevelFilter, info};
use millwind_node::{Node, NodeSettings, logging};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when settings are refused or a listener cannot be opened.
const EXIT_REFUSED: u8 = 2;
/// Exit code when a planned stop had to cut work short.
const EXIT_CUT_SHORT: u8 = 3;

/// Database proxy that keeps each caller's session consistent.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    /// Settings file (TOML); see config/node.toml.
    #[arg(long)]
    config: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check_config: bool,
    /// Override: name of the node.
    #[arg(long)]
    name: Option<String>,
    /// Override: zone of the node.
    #[arg(long)]
    zone: Option<String>,
    /// Override: listener for callers.
    #[arg(long)]
    client_address: Option<SocketAddr>,
    /// Override: listener for other nodes.
    #[arg(long)]
    peer_address: Option<SocketAddr>,
    /// Override: listener for operators.
    #[arg(long)]
    admin_address: Option<SocketAddr>,
    /// Override: least severe level that is logged.
    #[arg(long)]
    log_level: Option<LevelFilter>,
}

impl Arguments {
    fn apply(&self, settings: &mut NodeSettings) {
        if let Some(name) = &self.name {
            settings.name.clone_from(name);
        }
        if let Some(zone) = &self.zone {
            settings.zone.clone_from(zone);
        }
        settings.client_address = self.client_address.unwrap_or(settings.client_address);
        settings.peer_address = self.peer_address.unwrap_or(settings.peer_address);
        settings.admin_address = self.admin_address.unwrap_or(settings.admin_address);
        settings.log_level = self.log_level.unwrap_or(settings.log_level);
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut settings = match NodeSettings::read(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => return refuse(&error.to_string()),
    };
    arguments.apply(&mut settings);
    if let Err(error) = settings.check() {
        return refuse(&error.to_string());
    }
    if arguments.check_config {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::start(settings.log_level) {
        return refuse(&error.to_string());
    }
    run(settings).await
}

fn refuse(error: &str) -> ExitCode {
    eprintln!("millwindd: {error}");
    ExitCode::from(EXIT_REFUSED)
}

async fn run(settings: NodeSettings) -> ExitCode {
    let mut node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => return refuse(&error.to_string()),
    };
    let (mut terminate, mut interrupt) = match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
        (Ok(terminate), Ok(interrupt)) => (terminate, interrupt),
        _ => return refuse("signal handlers cannot be installed"),
    };
    tokio::select! {
        _ = terminate.recv() => info!("event=signal name=SIGTERM"),
        _ = interrupt.recv() => info!("event=signal name=SIGINT"),
        () = node.drain_requested() => info!("event=drain_requested"),
    }
    if node.drain().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT_SHORT)
    }
}
