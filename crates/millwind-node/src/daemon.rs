//! Runs a node as a daemon process: checks settings, handles signals and returns
//! the exit code.

use std::process::ExitCode;

use log::info;
use tokio::signal::unix::{SignalKind, signal};

use crate::settings::NodeSettings;
use crate::{Node, logging};

/// Exit code if the settings are invalid or the node cannot start.
pub const EXIT_STARTUP_FAILED: u8 = 2;
/// Exit code if the drain timed out with work still open.
pub const EXIT_DRAIN_TIMEOUT: u8 = 3;

/// Prints the error that prevents startup and returns the exit code.
pub fn fail_startup(error: &str) -> ExitCode {
    eprintln!("millwindd: {error}");
    ExitCode::from(EXIT_STARTUP_FAILED)
}

/// Checks the settings without starting a node.
pub fn check_settings(settings: &NodeSettings) -> ExitCode {
    match settings.check() {
        Ok(()) => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Err(error) => fail_startup(&error.to_string()),
    }
}

/// Runs a node until a signal or an operator stops it, then drains it.
pub async fn run(settings: NodeSettings) -> ExitCode {
    if let Err(error) = logging::init(settings.log_level) {
        return fail_startup(&error.to_string());
    }
    let mut node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => return fail_startup(&error.to_string()),
    };
    let (mut terminate, mut interrupt) =
        match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
            (Ok(terminate), Ok(interrupt)) => (terminate, interrupt),
            _ => return fail_startup("signal handlers cannot be installed"),
        };
    tokio::select! {
        _ = terminate.recv() => info!("event=signal name=SIGTERM"),
        _ = interrupt.recv() => info!("event=signal name=SIGINT"),
        () = node.drain_requested() => info!("event=drain_requested"),
    }
    if node.drain().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_DRAIN_TIMEOUT)
    }
}
