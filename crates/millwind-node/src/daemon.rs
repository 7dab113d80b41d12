//! The life of a daemon process: settings in, signals handled, exit code out.

use std::process::ExitCode;

use log::info;
use tokio::signal::unix::{SignalKind, signal};

use crate::settings::NodeSettings;
use crate::{Node, logging};

/// Exit code when settings are refused or a listener cannot be opened.
pub const EXIT_REFUSED: u8 = 2;
/// Exit code when a planned stop had to cut work short.
pub const EXIT_CUT_SHORT: u8 = 3;

/// Says why the process does not start.
pub fn refuse(error: &str) -> ExitCode {
    eprintln!("millwindd: {error}");
    ExitCode::from(EXIT_REFUSED)
}

/// Checks settings without starting anything.
pub fn check(settings: &NodeSettings) -> ExitCode {
    match settings.check() {
        Ok(()) => {
            println!("settings are valid");
            ExitCode::SUCCESS
        }
        Err(error) => refuse(&error.to_string()),
    }
}

/// Runs a node until it is told to stop.
pub async fn run(settings: NodeSettings) -> ExitCode {
    if let Err(error) = logging::init(settings.log_level) {
        return refuse(&error.to_string());
    }
    let mut node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => return refuse(&error.to_string()),
    };
    let (mut terminate, mut interrupt) =
        match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
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
