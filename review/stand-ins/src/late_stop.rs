//! Case ONE: a node that has started again counts as stopped, because the notice of its former
//! process is done late. A promotion does not wait for its permit, and it goes on with the old
//! primary.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::Deployment;
use crate::group::{ETBA_CHANNEL, MEMBERS, SERVICE, SiteRules};
use crate::process::process_of;

const CALM: Duration = Duration::from_secs(3);
/// Time for which the play goes on after the partition.
const AFTERWARDS: Duration = Duration::from_secs(1);
/// Pause between the end of a process and its start.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time from the beginning of the restarted node's watch to the partition of the primary. The
/// watch waits two seconds, and the node asks again a while after its answer.
const WATCH_BEFORE_CUT: Duration = Duration::from_millis(1_420);
/// Longest time by which a call to the store may be late.
const MAX_LATE: Duration = Duration::from_millis(6_000);
/// Clients that write through the restarted node, and their pause after each statement.
const WRITERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(5);
const CUT: Duration = Duration::from_secs(3);

/// Rounds that are played, each with a new deployment, until the rule breaks. The restarted node may
/// hear of the closed term from another node in time, about one time in three.
const ROUNDS: usize = 6;
/// Time after which no further round begins.
const MAX_TIME: Duration = Duration::from_secs(80);

pub fn play(folder: &Path, trouble: &str) -> Verdict {
    let started = Instant::now();
    let rounds = if trouble == "1" { ROUNDS } else { 1 };
    let mut verdict = play_round(folder, trouble);
    for round in 1..rounds {
        if matches!(verdict, Verdict::Broken(_)) || started.elapsed() > MAX_TIME {
            break;
        }
        println!("round {round}: the rule held");
        verdict = play_round(folder, trouble);
    }
    verdict
}

fn play_round(folder: &Path, trouble: &str) -> Verdict {
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
    let holder = deployment.store.get(&format!("millwind/duty/{SERVICE}"));
    let holder = holder.unwrap_or_default();
    let is_holder = |name: &str| holder.contains(&format!("\"holder\":\"{name}\""));
    let Some(index) = deployment
        .proxies
        .iter()
        .position(|proxy| !is_holder(&proxy.name))
    else {
        return Verdict::CouldNotRun("every node holds the duty".to_owned());
    };
    let late_ms = Arc::new(AtomicU64::new(0));
    // With TROUBLE=cut the primary is partitioned, but no answer of the store is lost.
    let loses_notice = trouble != "0" && trouble != "cut";
    if loses_notice {
        lose_stop_notice(&deployment, &deployment.proxies[index].name.clone(), &late_ms);
    }
    let process = Arc::new(AtomicU32::new(0));
    let has_begun = note_watch(&deployment, &process);
    if trouble != "0" {
        restart(&mut deployment, index, &process);
    }
    let front = deployment.proxies[index].front;
    deployment.start_writers_on(front, WRITERS, PAUSE);
    if trouble != "0" {
        await_watch(&deployment, &has_begun);
        deployment.pass(WATCH_BEFORE_CUT);
        cut_primary(&deployment, index);
        deployment.pass(CUT);
        deployment.record.line("the partition ends");
        let group = deployment.group.clone();
        group
            .state()
            .instances
            .get_mut("i-p")
            .expect("an instance")
            .cut_from
            .clear();
    }
    if trouble == "0" {
        deployment.pass(WATCH_BEFORE_CUT + CUT);
    }
    deployment.pass(AFTERWARDS);
    deployment.stop();
    judge(&deployment, loses_notice, late_ms.load(Ordering::Relaxed))
}

/// Makes the store lose the answer to the node's notice that it stops, and do it when a term is
/// closed.
fn lose_stop_notice(deployment: &Deployment, name: &str, late_ms: &Arc<AtomicU64>) {
    let record = deployment.record.clone();
    let key = format!("/{name}");
    deployment
        .store
        .set_late_filter(Some(Box::new(move |written, value| {
            let is_notice = written.ends_with(&key) && value.contains("\"stopped\"");
            if is_notice {
                record.line(&format!("store does not answer {written} = {value}"));
            }
            is_notice
        })));
    let (record, store) = (deployment.record.clone(), Arc::downgrade(&deployment.store));
    let late_ms = late_ms.clone();
    deployment.store.set_hook(Some(Box::new(move |key, value| {
        record.line(&format!("store took {key} = {value}"));
        let is_closing = key == format!("millwind/duty/{SERVICE}") && !value.contains("\"closed_term\":0");
        let Some(store) = store.upgrade().filter(|_| is_closing) else {
            return;
        };
        for (late, is_done) in store.do_late_calls() {
            record.line(&format!("store does the late call after {late:?}: {is_done}"));
            late_ms.store(late.as_millis() as u64, Ordering::Relaxed);
        }
    })));
}

fn restart(deployment: &mut Deployment, index: usize, process: &AtomicU32) {
    let name = deployment.proxies[index].name.clone();
    deployment.record.line(&format!("{name} gets SIGTERM"));
    deployment.proxies[index].stop();
    deployment.record.line(&format!("{name} has ended"));
    thread::sleep(RESTART_DELAY);
    deployment.proxies[index].start_again();
    process.store(deployment.proxies[index].id(), Ordering::Relaxed);
    deployment.note_proxies();
    deployment.record.line(&format!("{name} starts again"));
}

/// Notes when the process begins its first watch on the system's own keys.
fn note_watch(deployment: &Deployment, process: &Arc<AtomicU32>) -> Arc<AtomicBool> {
    let has_begun = Arc::new(AtomicBool::new(false));
    let (begun, process) = (has_begun.clone(), process.clone());
    let server = deployment.store_address;
    deployment
        .store
        .set_watch_hook(Some(Box::new(move |prefix, peer| {
            let process = process.load(Ordering::Relaxed);
            if prefix != "millwind/" || process == 0 || begun.load(Ordering::Relaxed) {
                return;
            }
            if process_of(peer, server, &[process]).is_some() {
                begun.store(true, Ordering::Relaxed);
            }
        })));
    has_begun
}

fn await_watch(deployment: &Deployment, has_begun: &AtomicBool) {
    let until = Instant::now() + Duration::from_secs(4);
    while !has_begun.load(Ordering::Relaxed) && Instant::now() < until {
        thread::sleep(Duration::from_millis(2));
    }
    deployment.store.set_watch_hook(None);
    deployment.record.line("the restarted node watches the store");
}

/// Partitions the primary from all nodes but one.
fn cut_primary(deployment: &Deployment, spared: usize) {
    let others = deployment.proxies.iter().enumerate();
    let cut: Vec<u32> = others
        .filter(|(index, _)| *index != spared)
        .map(|(_, proxy)| proxy.id())
        .collect();
    deployment.record.line("i-p is partitioned from the other nodes");
    let group = deployment.group.clone();
    group
        .state()
        .instances
        .get_mut("i-p")
        .expect("an instance")
        .cut_from = cut;
}

fn judge(deployment: &Deployment, loses_notice: bool, late_ms: u64) -> Verdict {
    let state = deployment.group.state();
    let acknowledged = deployment.acknowledged.lock().unwrap();
    if acknowledged.len() < 50 {
        return Verdict::CouldNotRun(format!("only {} writes succeeded", acknowledged.len()));
    }
    if loses_notice && (late_ms < 1_000 || late_ms > MAX_LATE.as_millis() as u64) {
        return Verdict::CouldNotRun(format!("the notice was done {late_ms} ms late"));
    }
    let Some(promotion) = state.promotions.first() else {
        return match loses_notice {
            false => Verdict::Held(format!("no promotion, {} writes", acknowledged.len())),
            true => Verdict::CouldNotRun("no promotion".to_owned()),
        };
    };
    let is_acknowledged = |id: &str| acknowledged.iter().any(|write| write.id == id);
    let wrong: Vec<_> = state
        .committed
        .iter()
        .filter(|commit| commit.instance == "i-p" && commit.at_ms > promotion.at_ms)
        .filter(|commit| is_acknowledged(&commit.id))
        .collect();
    for commit in &wrong {
        deployment.record.line(&format!(
            "ONE {} was committed at i-p at {} ms and acknowledged, {} leads since {} ms",
            commit.id, commit.at_ms, promotion.instance, promotion.at_ms
        ));
    }
    let is_sent_after = |id: &str| {
        let mut known = acknowledged.iter();
        known.any(|write| write.id == id && write.sent_ms > promotion.at_ms)
    };
    let sent_after = wrong.iter().filter(|commit| is_sent_after(&commit.id)).count();
    deployment.record.flush();
    match wrong.first() {
        None => Verdict::Held("the old primary's commits were not acknowledged".to_owned()),
        Some(first) => Verdict::Broken(format!(
            "ONE: {} writes were committed at the old primary and acknowledged after {} had the lead ({sent_after} of them also sent after it), the first is {}",
            wrong.len(),
            promotion.instance,
            first.id
        )),
    }
}
