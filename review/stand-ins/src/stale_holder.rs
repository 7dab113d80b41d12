//! Case ONE: a holder that stood still sends its order after another one has sent a later order.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, new_id};
use crate::deployment::Deployment;
use crate::group::{ETBA_CHANNEL, MEMBERS, SERVICE, SiteRules};
use crate::process::{await_stopped, signal};

const CALM: Duration = Duration::from_secs(4);
/// Longest time for which the holder stands still.
const MAX_FREEZE: Duration = Duration::from_secs(8);
/// Clients that keep the holder busy.
const BUSY_CLIENTS: usize = 24;

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
    let Some(holder) = holder(&deployment) else {
        return Verdict::CouldNotRun("no node holds the duty".to_owned());
    };
    deployment.record.line(&format!("{holder} holds the duty"));
    let is_over = Arc::new(AtomicBool::new(false));
    let busy = keep_busy(&deployment, &holder, &is_over);
    deployment.pass(Duration::from_millis(500));
    let frozen: Arc<Mutex<Option<(String, u32)>>> = Arc::default();
    if trouble != "0" {
        freeze_at_claim(&deployment, frozen.clone());
    }
    deployment.record.line("the primary i-p drains");
    let group = deployment.group.clone();
    group
        .state()
        .instances
        .get_mut("i-p")
        .expect("an instance")
        .is_draining = true;
    wake_after_other_order(&deployment, &frozen);
    deployment.pass(CALM);
    is_over.store(true, Ordering::Relaxed);
    for client in busy {
        let _ = client.join();
    }
    deployment.stop();
    judge(&deployment, trouble, &frozen.lock().unwrap())
}

/// Returns the node that holds the failover duty of the service.
fn holder(deployment: &Deployment) -> Option<String> {
    let record = deployment.store.get(&format!("millwind/duty/{SERVICE}"))?;
    field(&record, "holder")
}

fn field(record: &str, name: &str) -> Option<String> {
    let start = record.split_once(&format!("\"{name}\":\""))?.1;
    Some(start.split('"').next()?.to_owned())
}

/// Many clients of one node set session values without a pause.
fn keep_busy(deployment: &Deployment, node: &str, is_over: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
    let proxy = deployment.proxies.iter().find(|proxy| proxy.name == node);
    let Some(front) = proxy.map(|proxy| proxy.front) else {
        return Vec::new();
    };
    let start = |_| {
        let is_over = is_over.clone();
        thread::spawn(move || {
            let Some(mut client) = Client::open(front, "booking", None) else {
                return;
            };
            while !is_over.load(Ordering::Relaxed) && client.query(&new_id(), "SET k1 v1").is_some() {}
        })
    };
    (0..BUSY_CLIENTS).map(start).collect()
}

/// Freezes the node that claims the right to order a promotion, while the store's answer to the
/// claim is on its way. Only the first one is frozen.
fn freeze_at_claim(deployment: &Deployment, frozen: Arc<Mutex<Option<(String, u32)>>>) {
    let processes: Vec<(String, u32)> = deployment
        .proxies
        .iter()
        .map(|proxy| (proxy.name.clone(), proxy.id()))
        .collect();
    let record = deployment.record.clone();
    deployment.store.set_hook(Some(Box::new(move |key, value| {
        record.line(&format!("store took {key} = {value}"));
        let is_claim = key == format!("millwind/duty/{SERVICE}") && value.contains("\"is_ordered\":true");
        let mut frozen = frozen.lock().unwrap();
        if !is_claim || frozen.is_some() {
            return;
        }
        let claimant = field(value, "holder").unwrap_or_default();
        let Some((name, id)) = processes.iter().find(|(name, _)| *name == claimant) else {
            return;
        };
        signal(*id, "-STOP");
        let has_stopped = await_stopped(*id);
        record.line(&format!("{name} stands still: {has_stopped}"));
        *frozen = Some((name.clone(), *id));
    })));
}

/// Lets the frozen node go on once another node has sent an order, or after the longest freeze.
fn wake_after_other_order(deployment: &Deployment, frozen: &Mutex<Option<(String, u32)>>) {
    let until = Instant::now() + Duration::from_secs(6);
    while frozen.lock().unwrap().is_none() && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    let Some((name, id)) = frozen.lock().unwrap().clone() else {
        return;
    };
    let until = Instant::now() + MAX_FREEZE;
    while Instant::now() < until {
        let has_other = deployment
            .group
            .state()
            .orders
            .iter()
            .any(|order| order.holder != name);
        if has_other {
            thread::sleep(Duration::from_millis(700));
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    deployment.record.line(&format!("{name} goes on"));
    signal(id, "-CONT");
}

fn judge(deployment: &Deployment, trouble: &str, frozen: &Option<(String, u32)>) -> Verdict {
    let state = deployment.group.state();
    if state.orders.is_empty() {
        return Verdict::CouldNotRun("no promotion was ordered".to_owned());
    }
    if trouble != "0" && frozen.is_none() {
        return Verdict::CouldNotRun("no node was frozen".to_owned());
    }
    let stale = state.orders.iter().find(|order| order.token < order.seen_before);
    match stale {
        None => Verdict::Held(format!("{} orders, their tokens rise", state.orders.len())),
        Some(order) => {
            let text = format!(
                "{} ordered {} with token {} after token {} was seen",
                order.holder, order.instance, order.token, order.seen_before
            );
            deployment.record.line(&format!("ONE {text}"));
            deployment.record.flush();
            Verdict::Broken(format!("ONE: {text}"))
        }
    }
}
