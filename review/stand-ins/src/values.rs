//! Case PINNED: an instance turns a part of its requests away, and a statement runs although the
//! session values that were sent before it were not taken.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, new_id};
use crate::deployment::Deployment;
use crate::group::{DCPA_CORE, MEMBERS, SiteRules};

const CLIENTS_PER_PROXY: usize = 4;
/// Share of its requests that the sick instance turns away, in percent.
const BUSY_PERCENT: u64 = 40;

type Values = BTreeMap<String, String>;

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
    let is_over = Arc::new(AtomicBool::new(false));
    let expected: Arc<Mutex<BTreeMap<String, Values>>> = Arc::default();
    let mut clients = Vec::new();
    for proxy in &deployment.proxies {
        for number in 0..CLIENTS_PER_PROXY {
            let (front, record) = (proxy.front, deployment.record.clone());
            let (is_over, expected) = (is_over.clone(), expected.clone());
            let own = format!("{}-{number}", proxy.name);
            clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let client = Client::open(front, "scan", Some(record.clone()));
                    if let Some(client) = client {
                        read_with_values(client, &own, &is_over, &expected);
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            }));
        }
    }
    deployment.pass(Duration::from_secs(3));
    if trouble != "0" {
        deployment.record.line("i-x turns a part of its requests away");
        let mut state = deployment.group.state();
        state.instances.get_mut("i-x").expect("an instance").busy_percent = BUSY_PERCENT;
    }
    deployment.pass(Duration::from_secs(6));
    deployment
        .group
        .state()
        .instances
        .get_mut("i-x")
        .expect("an instance")
        .busy_percent = 0;
    deployment.pass(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    deployment.stop();
    judge(&deployment, &expected.lock().unwrap())
}

/// Sets session values and reads, again and again, until the session ends.
fn read_with_values(
    mut client: Client,
    own: &str,
    is_over: &AtomicBool,
    expected: &Mutex<BTreeMap<String, Values>>,
) {
    let mut values = Values::new();
    for round in 0..20 {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let value = format!("{own}-{round}");
        let Some(answer) = client.query(&new_id(), &format!("SET lang {value}")) else {
            return;
        };
        if answer.result.is_err() {
            return;
        }
        values.insert("lang".to_owned(), value);
        let id = new_id();
        expected.lock().unwrap().insert(id.clone(), values.clone());
        if client.query(&id, "READ thing").is_none() {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn judge(deployment: &Deployment, expected: &BTreeMap<String, Values>) -> Verdict {
    let state = deployment.group.state();
    if state.runs.len() < 100 {
        return Verdict::CouldNotRun(format!("only {} statements ran", state.runs.len()));
    }
    let wrong: Vec<_> = state
        .runs
        .iter()
        .filter(|run| expected.get(&run.id).is_some_and(|values| *values != run.values))
        .collect();
    for run in &wrong {
        deployment.record.line(&format!(
            "PINNED id={} ran at {} with {:?}, its client had {:?}",
            run.id, run.instance, run.values, expected[&run.id]
        ));
    }
    deployment.record.flush();
    match wrong.first() {
        None => Verdict::Held(format!("{} statements ran with their values", state.runs.len())),
        Some(run) => Verdict::Broken(format!(
            "PINNED: {} of {} statements ran with other values, the first is {}",
            wrong.len(),
            state.runs.len(),
            run.id
        )),
    }
}
