//! Stand-ins of the platform, the database instances and the clients, and the cases that are
//! played with them against the project's own proxies.
//!
//! Usage: `stand-ins CASE FOLDER`, at the root of the repository. It writes `record.txt` into
//! the folder. Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
//! `TROUBLE=0` leaves the disruptions out.

mod client;
mod deployment;
mod group;
mod http;
mod json;
mod late_stop;
mod line_feed;
mod lost;
mod newcomer;
mod open_transaction;
mod paused;
mod process;
mod proxy;
mod record;
mod restored;
mod session;
mod silent_watch;
mod stale_holder;
mod store;
mod values;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand-ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let verdict = match case.as_str() {
        "lost" => lost::play(&folder, &trouble),
        "newcomer" => newcomer::play(&folder, &trouble),
        "late-stop" => late_stop::play(&folder, &trouble),
        "stale-holder" => stale_holder::play(&folder, &trouble),
        "open-transaction" => open_transaction::play(&folder, &trouble),
        "paused" => paused::play(&folder, &trouble),
        "restored" => restored::play(&folder, &trouble),
        "silent-watch" => silent_watch::play(&folder, &trouble),
        "values" => values::play(&folder, &trouble),
        "line-feed" => line_feed::play(&folder, &trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    println!("{text}");
    ExitCode::from(code)
}
