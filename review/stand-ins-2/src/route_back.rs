//! STALE: a session writes on a `read_your_writes` route, whose service changes and changes back
//! while one replica receives nothing. The session must still see its write.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::Outcome;
use crate::client::{Answer, Client};
use crate::common::group::Group;
use crate::deployment::{Deployment, config, route};
use crate::record::Record;

const FIRST: &str = "ledger-one";
const SECOND: &str = "ledger-two";
const HOST: &str = "scans";
/// The replicas of the first service, in the zones of the second and the third proxy.
const REPLICAS: [&str; 2] = ["i-b", "i-c"];
/// `max-staleness-ms` of the route, as on the sheets. Reads that begin later than this after the
/// write are not judged.
const STALENESS: Duration = Duration::from_millis(2_500);
const PROXIES: u8 = 3;
/// Sessions that do the same, each in a row with a change of the configuration of its own.
const ROUNDS: u64 = 5;

fn config_with(version: u64, service: &str) -> Value {
    let routes = [route(HOST, "read_your_writes", service, 2_500)];
    config(version, &routes, &[FIRST, SECOND], 50)
}

pub async fn run(record: &Record, has_trouble: bool) -> Outcome {
    let first = Group::new(FIRST, &["i-a", "i-b", "i-c"]);
    let second = Group::new(SECOND, &["j-a", "j-b", "j-c"]);
    let groups = vec![first.clone(), second];
    let started = Deployment::start(record, groups, true, &config_with(7, FIRST), PROXIES).await;
    let Some(deployment) = started else {
        return Outcome::NotRun;
    };
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut stale = 0;
    let mut judged = 0;
    for round in 0..ROUNDS {
        let version = 10 + round * 10;
        // The replica is in the zone of the proxy that has the same place in the order.
        let proxy = &deployment.proxies[1 + round as usize % REPLICAS.len()];
        let Some(mut client) = Client::open(proxy.front, HOST).await else {
            return Outcome::NotRun;
        };
        // The replica in the zone of the proxy receives nothing until the round ends.
        let lagging = REPLICAS[round as usize % REPLICAS.len()];
        first.set_ignores_replication(lagging, has_trouble);
        let thing = format!("t{round}");
        let Some(written) = ask(record, &mut client, &format!("WRITE {thing} mine")).await else {
            return Outcome::NotRun;
        };
        if !written.is_success() {
            return Outcome::NotRun;
        }
        if has_trouble {
            let taken = deployment.store.put("op/config", &config_with(version, SECOND));
            record.note_at(taken, "configuration: the route goes to the second service");
            // A write of the session in the second service, once the route leads there.
            if !write_in_second(record, &mut client, &deployment.groups[1], &thing).await {
                return Outcome::NotRun;
            }
            let taken = deployment
                .store
                .put("op/config", &config_with(version + 3, FIRST));
            record.note_at(taken, "configuration: the route goes to the first service again");
        }
        while written.answered.elapsed() < STALENESS - Duration::from_millis(50) {
            let ran_before = first.executions().len();
            let Some(read) = ask(record, &mut client, &format!("READ {thing}")).await else {
                return Outcome::NotRun;
            };
            let ran_in_first = first.executions()[ran_before..]
                .iter()
                .find(|run| run.request == read.id)
                .cloned();
            if let (Some(run), true) = (ran_in_first, read.is_success()) {
                judged += 1;
                let lacks = read.rows != ["mine"];
                if lacks && read.sent.duration_since(written.answered) < STALENESS {
                    stale += 1;
                    record.note_at(read.answered, &format!(
                        "STALE: read {} ran on {}, whose log lacks the session's commit {}, acknowledged {} ms before it was sent",
                        read.id, run.instance, written.id, read.sent.duration_since(written.answered).as_millis()
                    ));
                }
            }
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        first.set_ignores_replication(lagging, false);
        tokio::time::sleep(Duration::from_millis(3_000)).await;
    }
    record.note(&format!(
        "reads in the first service={judged} of them stale={stale}"
    ));
    match (judged, stale) {
        (0, _) => Outcome::NotRun,
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Writes until an instance of the second service runs the write; false after two seconds.
async fn write_in_second(record: &Record, client: &mut Client, second: &Group, thing: &str) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        let Some(read) = ask(record, client, &format!("READ {thing}")).await else {
            return false;
        };
        let has_moved = second.executions().iter().any(|run| run.request == read.id);
        if has_moved {
            let written = ask(record, client, &format!("WRITE {thing} other")).await;
            return written.is_some_and(|written| written.is_success());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

async fn ask(record: &Record, client: &mut Client, text: &str) -> Option<Answer> {
    let answer = client.query(text).await?;
    record.note_at(answer.sent, &format!("sent {} {text}", answer.id));
    record.note_at(
        answer.answered,
        &format!("answered {} rows={:?} {}", answer.id, answer.rows, answer.result),
    );
    Some(answer)
}
