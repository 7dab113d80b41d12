//! CONFIG: connections to the store that were idle go silent. Seconds later a configuration moves
//! the route of one database to another service, and drops that of another database.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Outcome;
use crate::client::{Answer, Client};
use crate::common::group::Group;
use crate::deployment::{Deployment, config, route};
use crate::record::Record;

const FIRST: &str = "ledger-one";
const SECOND: &str = "ledger-two";
/// Database whose route moves to the second service.
const MOVED: &str = "bookings";
/// Database whose route is dropped.
const DROPPED: &str = "parcels";
const PROXIES: u8 = 6;
/// `contact-ms` of the deployment, and half a second.
const CONTACT: Duration = Duration::from_millis(5_500);
/// `config-apply-ms` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Connections that have carried nothing for this long go silent.
const IDLE: Duration = Duration::from_secs(4);
/// Time for which the driver observes the deployment after the move.
const OBSERVED: Duration = Duration::from_secs(24);

pub async fn run(record: &Record, has_trouble: bool) -> Outcome {
    let (first, second) = (
        Group::new(FIRST, &["i-a", "i-b", "i-c"]),
        Group::new(SECOND, &["j-a", "j-b", "j-c"]),
    );
    let before = config(
        7,
        &[
            route(MOVED, "primary", FIRST, 0),
            route(DROPPED, "primary", FIRST, 0),
        ],
        &[FIRST, SECOND],
        50,
    );
    let after = config(10, &[route(MOVED, "primary", SECOND, 0)], &[FIRST, SECOND], 50);
    let groups = vec![first.clone(), second.clone()];
    let Some(deployment) = Deployment::start(record, groups, true, &before, PROXIES).await else {
        return Outcome::NotRun;
    };
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    for proxy in &deployment.proxies {
        for database in [MOVED, DROPPED] {
            tokio::spawn(write_on(
                proxy.front,
                database,
                proxy.name.clone(),
                answers.clone(),
            ));
        }
    }
    tokio::time::sleep(Duration::from_secs(24)).await;
    if has_trouble {
        let (silent, open) = deployment.store.silence_idle(IDLE);
        record.note(&format!(
            "connections to the store that were idle for {} s go silent: {silent}; others: {open}",
            IDLE.as_secs()
        ));
    }
    tokio::time::sleep(CONTACT).await;
    let acknowledged = deployment.store.put("op/config", &after);
    record.note_at(
        acknowledged,
        "the store has taken version 10: one route goes to the second service, the other is dropped",
    );
    tokio::time::sleep(OBSERVED).await;
    let in_first: std::collections::BTreeSet<String> =
        first.executions().into_iter().map(|run| run.request).collect();
    let in_second = second.executions().len();
    let mut late = 0;
    let mut last = Duration::ZERO;
    for (writer, answer) in answers.lock().unwrap().iter() {
        let after = answer.sent.saturating_duration_since(acknowledged);
        if after > CONFIG_APPLY && in_first.contains(&answer.id) {
            late += 1;
            last = last.max(after);
            record.note_at(
                answer.sent,
                &format!(
                    "{writer}: write {}, sent {} ms after the acknowledgement, ran in the first service: {}",
                    answer.id,
                    after.as_millis(),
                    answer.result
                ),
            );
        }
    }
    deployment.note_logs(record, &["config_applied", "store_lost", "store_regained"]);
    record.note(&format!("writes in the first service after the bound={late}, the last {} ms after; runs in the second={in_second}", last.as_millis()));
    match (in_second, late) {
        (0, 0) => Outcome::NotRun,
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Writes through one proxy all the time.
async fn write_on(
    address: std::net::SocketAddr,
    database: &str,
    name: String,
    answers: Arc<Mutex<Vec<(String, Answer)>>>,
) {
    let mut number = 0;
    loop {
        let Some(mut client) = Client::open(address, database).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        loop {
            number += 1;
            let Some(answer) = client.query(&format!("WRITE {name} v{number}")).await else {
                break;
            };
            answers
                .lock()
                .unwrap()
                .push((format!("{database} on {name}"), answer));
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}
