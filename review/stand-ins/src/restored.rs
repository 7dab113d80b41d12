//! Entry of issue 41: where nothing fences an old primary, a node that starts after the store came
//! back from an older copy does not know the terms that were closed since.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::Deployment;
use crate::group::{ETBA_CHANNEL, Instance, SERVICE, SiteRules};

const CALM: Duration = Duration::from_secs(4);
const AWAY: Duration = Duration::from_millis(500);
const JUDGED: Duration = Duration::from_secs(6);
const MEMBERS: &[(&str, &str)] = &[("i-y", "hall-a"), ("i-p", "hall-b"), ("i-x", "hall-c")];
/// The first primary.
const OLD: &str = "i-y";

pub fn play(folder: &Path, trouble: &str) -> Verdict {
    let rules = SiteRules {
        bounds: &ETBA_CHANNEL,
        members: MEMBERS,
        sync_replicas: 0,
        is_fenced: false,
        promote_time: Duration::from_millis(300),
    };
    let mut deployment = match Deployment::start(folder, &rules) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    deployment.start_writers(1);
    deployment.pass(CALM);
    let group = deployment.group.clone();
    let change = |change: &dyn Fn(&mut Instance)| {
        change(group.state().instances.get_mut(OLD).expect("an instance"));
    };
    let holder = deployment
        .store
        .get(&format!("millwind/duty/{SERVICE}"))
        .unwrap_or_default();
    let Some(index) = deployment
        .proxies
        .iter()
        .position(|proxy| !holder.contains(&format!("\"holder\":\"{}\"", proxy.name)))
    else {
        return Verdict::CouldNotRun("every node holds the duty".to_owned());
    };
    if trouble != "0" {
        deployment
            .record
            .line("the store is copied; the primary is partitioned from all");
        deployment.store.take_copy();
        let all: Vec<u32> = deployment.proxies.iter().map(|proxy| proxy.id()).collect();
        change(&|instance| {
            instance.is_apart = true;
            instance.cut_from = all.clone();
        });
        let until = Instant::now() + Duration::from_secs(14);
        while group.state().promotions.is_empty() && Instant::now() < until {
            deployment.pass(Duration::from_millis(20));
        }
        deployment.pass(Duration::from_secs(1));
        deployment.record.line("the store is away");
        deployment.store.set_away(true);
        deployment.proxies[index].kill();
        deployment.pass(AWAY);
        deployment.record.line("the store comes back from the copy");
        deployment.store.set_away(false);
        group.tell_again();
        deployment.pass(Duration::from_millis(60));
    } else {
        deployment.proxies[index].kill();
    }
    deployment.proxies[index].start_again();
    deployment.note_proxies();
    let front = deployment.proxies[index].front;
    deployment.start_writers_on(front, 12, Duration::from_millis(5));
    deployment.pass(JUDGED);
    deployment.stop();
    judge(&deployment)
}

fn judge(deployment: &Deployment) -> Verdict {
    let state = deployment.group.state();
    let acknowledged = deployment.acknowledged.lock().unwrap();
    let Some(promotion) = state.promotions.first() else {
        return Verdict::Held("no promotion".to_owned());
    };
    let late = state.committed.iter().filter(|commit| {
        commit.instance == OLD
            && commit.at_ms > promotion.at_ms
            && acknowledged.iter().any(|write| write.id == commit.id)
    });
    let count = late.count();
    deployment.record.flush();
    match count {
        0 => Verdict::Held(format!("{} promotions", state.promotions.len())),
        _ => Verdict::Broken(format!("ONE: {count} writes acknowledged by the old primary")),
    }
}
