//! A planned stop ends an open transaction before the first half of the grace period is over.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, new_id};
use crate::deployment::Deployment;
use crate::group::{DCPA_CORE, MEMBERS, SiteRules};
use crate::process::signal;

/// Half of `grace-period-s`.
const FIRST_HALF: Duration = Duration::from_millis(3_000);
/// When the transaction's statements are sent, counted from the SIGTERM.
const STATEMENTS: [Duration; 2] = [Duration::from_millis(1_000), Duration::from_millis(2_000)];
const COMMIT: Duration = Duration::from_millis(2_900);

pub fn play(folder: &Path, trouble: &str) -> Verdict {
    let rules = SiteRules {
        bounds: &DCPA_CORE,
        members: MEMBERS,
        sync_replicas: 0,
        is_fenced: true,
        promote_time: Duration::from_millis(600),
    };
    let mut deployment = match Deployment::start(folder, &rules) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    let front = deployment.proxies[0].front;
    let Some(mut client) = Client::open(front, "booking", Some(deployment.record.clone())) else {
        return Verdict::CouldNotRun("no session".to_owned());
    };
    let begun = client.query(&new_id(), "BEGIN").is_some()
        && client
            .query(&new_id(), "WRITE thing-0 a")
            .is_some_and(|answer| answer.result.is_ok());
    if !begun {
        return Verdict::CouldNotRun("no transaction".to_owned());
    }
    let stopped = Instant::now();
    if trouble != "0" {
        deployment.record.line("front-1 gets SIGTERM");
        signal(deployment.proxies[0].id(), "-TERM");
    }
    let wait = |until: Duration| std::thread::sleep(until.saturating_sub(stopped.elapsed()));
    for at in STATEMENTS {
        wait(at);
        let answer = client.query(&new_id(), "WRITE thing-1 b");
        if answer.is_none_or(|answer| answer.result.is_err()) {
            return Verdict::CouldNotRun("a statement failed before the commit".to_owned());
        }
    }
    wait(COMMIT);
    let sent = stopped.elapsed();
    let answer = client.query(&new_id(), "COMMIT");
    deployment.stop();
    if sent > FIRST_HALF {
        return Verdict::CouldNotRun("the commit was sent late".to_owned());
    }
    match answer {
        Some(answer) if answer.result.is_ok() => {
            Verdict::Held(format!("committed {sent:?} after the SIGTERM"))
        }
        answer => Verdict::Broken(format!(
            "DRAIN: the commit sent {sent:?} after the SIGTERM got {:?}",
            answer.map(|answer| answer.result)
        )),
    }
}
