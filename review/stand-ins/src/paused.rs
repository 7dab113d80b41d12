//! Replicas are paused for a promotion that does not come about, and nobody lets them receive again.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::group::{DCPA_CORE, MEMBERS, SiteRules};

const CALM: Duration = Duration::from_secs(4);
/// Time for which the primary is down.
const DOWN: Duration = Duration::from_millis(4_000);
/// `recovery-s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
const JUDGED: Duration = Duration::from_secs(10);

pub fn play(folder: &Path, trouble: &str) -> Verdict {
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
    deployment.start_writers(2);
    deployment.pass(CALM);
    let group = deployment.group.clone();
    let before = deployment.acknowledged.lock().unwrap().len();
    if trouble != "0" {
        deployment.record.line("the platform's calls get 503");
        group.state().refuses_orders = true;
        group.crash("i-p");
        deployment.pass(DOWN);
        deployment.record.line("i-p is back");
        group
            .state()
            .instances
            .get_mut("i-p")
            .expect("an instance")
            .is_alive = true;
        deployment.pass(CALM);
        deployment.record.line("the platform takes calls again");
        group.state().refuses_orders = false;
    }
    for index in 0..deployment.proxies.len() {
        deployment.proxies[index].kill();
    }
    deployment.record.line("all proxies are killed");
    deployment.pass(Duration::from_millis(700));
    for index in 0..deployment.proxies.len() {
        deployment.proxies[index].start_again();
    }
    deployment.note_proxies();
    deployment.pass(RECOVERY);
    let counted = deployment.acknowledged.lock().unwrap().len();
    deployment.pass(JUDGED);
    let after = deployment.acknowledged.lock().unwrap().len() - counted;
    deployment.stop();
    let text = format!(
        "{before} writes succeeded in the first {CALM:?}, {after} in {JUDGED:?} after the recovery, {} promotions",
        group.state().promotions.len()
    );
    if after * 4 < before {
        Verdict::Broken(format!("RECOVER: {text}"))
    } else {
        Verdict::Held(text)
    }
}
