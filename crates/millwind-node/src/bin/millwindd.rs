//! The daemon that runs a millwind node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use log::LevelFilter;
use millwind_node::{NodeSettings, daemon};

/// Database proxy that keeps each client's session consistent.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    /// Settings file (TOML); see config/node.toml.
    #[arg(long)]
    config: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check_config: bool,
    /// Override the node's name.
    #[arg(long)]
    name: Option<String>,
    /// Override the node's zone.
    #[arg(long)]
    zone: Option<String>,
    /// Override the listener address for clients.
    #[arg(long)]
    client_address: Option<SocketAddr>,
    /// Override the listener address for other nodes.
    #[arg(long)]
    peer_address: Option<SocketAddr>,
    /// Override the listener address of the admin API.
    #[arg(long)]
    admin_address: Option<SocketAddr>,
    /// Override the least severe level that is logged.
    #[arg(long)]
    log_level: Option<LevelFilter>,
}

impl Arguments {
    /// Replaces the settings that are given on the command line.
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
        Err(error) => return daemon::fail_startup(&error.to_string()),
    };
    arguments.apply(&mut settings);
    if arguments.check_config {
        return daemon::check_settings(&settings);
    }
    daemon::run(settings).await
}
