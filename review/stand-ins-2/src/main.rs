//! Drivers of the cases of the second review. The first argument names the case, the second the
//! folder for its record. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. `TROUBLE=0` leaves the disruption out.

#![allow(dead_code, reason = "the project's stand-ins have more than the cases use")]

mod client;
mod common;
mod deployment;
mod draining_primary;
mod process;
mod record;
mod route_back;
mod silent_watch;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use tokio::signal::unix::{SignalKind, signal};

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = (arguments[1].clone(), PathBuf::from(&arguments[2]));
    let record = Record::new(&folder);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.note(&format!("case={case} trouble={has_trouble}"));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(async {
        let running = async {
            match case.as_str() {
                "draining-primary" => draining_primary::run(&record, has_trouble).await,
                "route-back" => route_back::run(&record, has_trouble).await,
                "silent-watch" => silent_watch::run(&record, has_trouble).await,
                _ => Outcome::NotRun,
            }
        };
        // A case that is dropped ends its processes.
        tokio::select! {
            outcome = running => outcome,
            () = tokio::time::sleep(TIME_LIMIT) => Outcome::NotRun,
            () = ended_from_outside() => Outcome::NotRun,
        }
    });
    let (name, code) = match outcome {
        Outcome::Held => ("held", 0),
        Outcome::Broken => ("broken", 1),
        Outcome::NotRun => ("not run", 2),
    };
    record.note(&format!("result={name}"));
    println!("{case}: {name}");
    runtime.shutdown_background();
    ExitCode::from(code)
}

/// Waits for a signal to end.
async fn ended_from_outside() {
    let mut terminate = signal(SignalKind::terminate()).unwrap();
    let mut interrupt = signal(SignalKind::interrupt()).unwrap();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
