//! DRAIN: a primary states that it will end while its replicas are down, so that nothing can take
//! over. After `drain-timeout-ms` it must get no more work.

use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::Client;
use crate::common::group::Group;
use crate::deployment::{Deployment, config, route};
use crate::record::Record;

const GROUP: &str = "inventory";
const PROXIES: u8 = 9;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(7_000);
/// How long the replicas are down, as on the sites' days.
const CRASH: Duration = Duration::from_millis(7_000);

pub async fn run(record: &Record, has_trouble: bool) -> Outcome {
    let group = Group::new(GROUP, &["i-a", "i-b", "i-c"]);
    let config = config(7, &[route("rates", "primary", GROUP, 0)], &[GROUP], 23);
    let Some(deployment) = Deployment::start(record, vec![group.clone()], true, &config, PROXIES).await
    else {
        return Outcome::NotRun;
    };
    for proxy in &deployment.proxies {
        tokio::spawn(write_on(proxy.front, proxy.name.clone(), record.clone()));
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    // The proxies have just been told of heartbeats.
    for _ in 0..1_000 {
        let told = deployment.store.instances_told();
        if told.is_some_and(|told| (50..200).contains(&told.elapsed().as_millis())) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let drained = deployment.drain("i-a");
    record.note_at(drained, "the store has taken: i-a is draining");
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    if has_trouble {
        set_dead(&group, true);
        record.note("i-b and i-c crash");
    }
    tokio::time::sleep(CRASH).await;
    set_dead(&group, false);
    record.note("i-b and i-c are back");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let arrivals = group.state().members["i-a"].arrivals.clone();
    let late: Vec<Instant> = arrivals
        .iter()
        .map(|arrival| arrival.arrived)
        .filter(|at| *at > drained + DRAIN_TIMEOUT)
        .collect();
    for at in &late {
        let after = at.duration_since(drained).as_millis();
        record.note_at(
            *at,
            &format!("a client's statement reached i-a {after} ms after the acknowledgement"),
        );
    }
    deployment.note_logs(
        record,
        &[
            "leader_",
            "instance_seen",
            "promotion_ordered",
            "instance_failing",
            "no_successor",
        ],
    );
    record.note(&format!(
        "statements at i-a={} late={}",
        arrivals.len(),
        late.len()
    ));
    if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

fn set_dead(group: &Group, is_dead: bool) {
    for replica in ["i-b", "i-c"] {
        group.set_faults(replica, |faults| faults.dead = is_dead);
    }
}

/// Writes through one proxy all the time.
async fn write_on(address: std::net::SocketAddr, name: String, record: Record) {
    let mut number = 0;
    loop {
        let Some(mut client) = Client::open(address, "rates").await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        loop {
            number += 1;
            let Some(answer) = client.query(&format!("WRITE {name} v{number}")).await else {
                break;
            };
            if !answer.is_success() {
                record.note_at(
                    answer.answered,
                    &format!("{name} write {number}: {}", answer.result),
                );
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
