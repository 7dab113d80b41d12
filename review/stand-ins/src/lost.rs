//! Case LOST: a replica that holds acknowledged commits is left out of the comparison, because
//! its entry in the store has lapsed.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::group::{DCPA_CORE, MEMBERS, SiteRules};

/// Time of undisturbed work before and after the disruptions.
const CALM: Duration = Duration::from_secs(4);
/// Time from the cut to the moment when the other replica receives nothing.
const CUT_BEFORE_LAG: Duration = Duration::from_secs(10);
/// Time for which the other replica has received nothing when the primary crashes.
const LAG_BEFORE_CRASH: Duration = Duration::from_millis(1_500);
/// Time for which the cut and the lag go on after the crash.
const AFTER_CRASH: Duration = Duration::from_millis(4_500);

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
    let has_cut = trouble == "1";
    let has_lag = trouble != "0";
    let group = deployment.group.clone();
    let set = |name: &str, change: &dyn Fn(&mut crate::group::Instance)| {
        change(group.state().instances.get_mut(name).expect("an instance"));
    };
    if has_cut {
        deployment.record.line("i-x is partitioned from the store");
        set("i-x", &|instance| instance.is_cut_from_store = true);
    }
    deployment.pass(CUT_BEFORE_LAG);
    if has_lag {
        deployment.record.line("i-y receives nothing");
        set("i-y", &|instance| instance.is_deaf = true);
    }
    deployment.pass(LAG_BEFORE_CRASH);
    if has_lag {
        group.crash("i-p");
    }
    deployment.pass(AFTER_CRASH);
    deployment.record.line("the disruptions end");
    set("i-x", &|instance| instance.is_cut_from_store = false);
    set("i-y", &|instance| instance.is_deaf = false);
    deployment.pass(CALM);
    deployment.stop();
    judge(&deployment)
}

/// Checks the log of each promoted instance against the commits acknowledged before.
pub fn judge(deployment: &Deployment) -> Verdict {
    let acknowledged = deployment.acknowledged.lock().unwrap().clone();
    if acknowledged.len() < 50 {
        return Verdict::CouldNotRun(format!("only {} writes succeeded", acknowledged.len()));
    }
    let state = deployment.group.state();
    let mut broken = Vec::new();
    for promotion in &state.promotions {
        let holds = |id: &str| promotion.log.iter().any(|commit| commit.id == id);
        let before = acknowledged.iter().filter(|write| write.at_ms < promotion.at_ms);
        let missing: Vec<&str> = before
            .filter(|write| !holds(&write.id))
            .map(|write| write.id.as_str())
            .collect();
        if let Some(first) = missing.first() {
            broken.push(format!(
                "{} was promoted at {} ms without {} acknowledged commits, the first is {first}",
                promotion.instance,
                promotion.at_ms,
                missing.len()
            ));
        }
    }
    for line in &broken {
        deployment.record.line(&format!("LOST {line}"));
    }
    deployment.record.flush();
    if broken.is_empty() {
        return Verdict::Held(format!(
            "{} promotions, {} writes acknowledged",
            state.promotions.len(),
            acknowledged.len()
        ));
    }
    Verdict::Broken(format!("LOST: {}", broken.join("; ")))
}
