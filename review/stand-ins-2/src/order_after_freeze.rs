//! ONE: a machine that freezes while the store's answer to its claim is on its way, and wakes
//! after another machine has ordered a promotion under a higher token.

use std::time::Duration;

use crate::Outcome;
use crate::client::Client;
use crate::common::group::Group;
use crate::deployment::{Deployment, config, route};
use crate::record::Record;

const GROUP: &str = "inventory";
const PROXIES: u8 = 4;
/// Longest freeze of a machine in the site files.
const FREEZE: Duration = Duration::from_secs(4);

pub async fn run(record: &Record, has_trouble: bool) -> Outcome {
    let group = Group::new(GROUP, &["i-a", "i-b", "i-c"]);
    let config = config(7, &[route("rates", "primary", GROUP, 0)], &[GROUP], 23);
    let Some(deployment) = Deployment::start(record, vec![group.clone()], false, &config, PROXIES).await else {
        return Outcome::NotRun;
    };
    for proxy in &deployment.proxies {
        tokio::spawn(write_on(proxy.front, proxy.name.clone(), record.clone()));
    }
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut held = deployment.store.hold_first(Box::new(|key, value| {
        key.contains("duty/") && value["is_ordered"] == true
    }));
    deployment.drain("i-a");
    record.note("the primary i-a states draining");
    let Ok(Some(claim)) = tokio::time::timeout(Duration::from_secs(15), held.recv()).await else {
        record.note("no claim was written");
        return Outcome::NotRun;
    };
    let holder = claim.value["holder"].as_str().unwrap().to_owned();
    record.note(&format!("store has done the write of {holder}: {}", claim.value));
    let holder = deployment.proxy(&holder);
    if has_trouble {
        holder.signal("-STOP");
        record.note("its machine freezes, the answer is on its way");
    }
    let _ = claim.release.send(());
    if has_trouble {
        tokio::time::sleep(FREEZE).await;
        holder.signal("-CONT");
        record.note("it wakes");
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    let orders = deployment.store.orders();
    let mut highest = 0;
    let mut lower = 0;
    for order in &orders {
        record.note_at(order.at, &format!("order {order:?}"));
        lower += usize::from(order.token < highest);
        highest = highest.max(order.token);
    }
    deployment.note_logs(record, &["duty_", "promotion_ordered", "leader_lost", "permits_revoked", "stood_still", "write_unanswered", "leader_replaced"]);
    record.note(&format!("orders={} with a lower token than an earlier one={lower}", orders.len()));
    match (orders.is_empty(), lower) {
        (true, _) => Outcome::NotRun,
        (false, 0) => Outcome::Held,
        _ => Outcome::Broken,
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
            let Some(answer) = client.query(&format!("WRITE {name} v{number}")).await else { break };
            if !answer.is_success() {
                record.note_at(answer.answered, &format!("{name} write {number}: {}", answer.result));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
