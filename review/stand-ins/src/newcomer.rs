//! Case LOST: a new replica that holds acknowledged commits is not asked, because the node that
//! orders the promotion has not read its entry yet.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::Deployment;
use crate::group::{DCPA_CORE, MEMBERS, SiteRules};
use crate::lost;

const CALM: Duration = Duration::from_secs(3);
/// Time from the moment when the new instance has all commits to the crash of the primary.
const BEFORE_CRASH: Duration = Duration::from_millis(100);
/// Time by which the moment of each further round is later, since nodes read the entries in turns of
/// about a second.
const STEP: Duration = Duration::from_millis(170);
/// Rounds that are played, each with a new deployment, until the rule breaks.
const ROUNDS: usize = 8;
const MAX_TIME: Duration = Duration::from_secs(80);

pub fn play(folder: &Path, trouble: &str) -> Verdict {
    let started = Instant::now();
    let rounds = if trouble == "0" { 1 } else { ROUNDS };
    let mut verdict = play_round(folder, trouble, 0);
    for round in 1..rounds {
        if matches!(verdict, Verdict::Broken(_)) || started.elapsed() > MAX_TIME {
            break;
        }
        println!("round {round}: the rule held");
        verdict = play_round(folder, trouble, round as u32);
    }
    verdict
}

/// Starts an instance in the primary's zone and waits until it has received what is there.
fn start_new_instance(deployment: &Deployment) {
    deployment.record.line("i-n starts, which is to replace i-p");
    let group = deployment.group.clone();
    group.add(&deployment.ip, "i-n", "hall-a", false);
    let has_received = || {
        let state = group.state();
        state.instances["i-n"].log.len() + 20 >= state.instances["i-p"].log.len()
    };
    while !has_received() {
        deployment.pass(Duration::from_millis(2));
    }
}

fn play_round(folder: &Path, trouble: &str, round: u32) -> Verdict {
    let rules = SiteRules {
        bounds: &DCPA_CORE,
        members: MEMBERS,
        sync_replicas: 1,
        is_fenced: true,
        promote_time: Duration::from_millis(600),
    };
    let mut deployment = match Deployment::start(folder, &rules) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    deployment.start_writers(3);
    deployment.pass(CALM + STEP * round);
    let group = deployment.group.clone();
    // With TROUBLE=crash the primary crashes, but is not being replaced.
    if trouble != "0" && trouble != "crash" {
        start_new_instance(&deployment);
    }
    deployment.pass(BEFORE_CRASH);
    if trouble != "0" {
        group.crash("i-p");
    }
    deployment.pass(CALM);
    deployment.stop();
    lost::judge(&deployment)
}
