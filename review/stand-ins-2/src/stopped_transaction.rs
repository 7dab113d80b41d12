//! DRAIN: a proxy gets SIGTERM while a session is inside a transaction. The transaction has the
//! first half of `grace-period-s` to end.

use std::time::{Duration, Instant};

use crate::Outcome;
use crate::client::Client;
use crate::common::group::Group;
use crate::deployment::{Deployment, config, route};
use crate::record::Record;

const GROUP: &str = "network-ledger";
const PROXIES: u8 = 3;
/// Half of `grace-period-s`.
const HALF_GRACE: Duration = Duration::from_secs(3);
/// Pause of the client between two statements of the transaction.
const PAUSE: Duration = Duration::from_millis(360);

pub async fn run(record: &Record, has_trouble: bool) -> Outcome {
    let group = Group::new(GROUP, &["i-a", "i-b", "i-c"]);
    let config = config(7, &[route("bookings", "primary", GROUP, 0)], &[GROUP], 50);
    let Some(deployment) = Deployment::start(record, vec![group], true, &config, PROXIES).await else {
        return Outcome::NotRun;
    };
    tokio::time::sleep(Duration::from_secs(10)).await;
    let proxy = &deployment.proxies[0];
    let Some(mut client) = Client::open(proxy.front, "bookings").await else { return Outcome::NotRun };
    for text in ["BEGIN", "WRITE t0 before"] {
        let answer = client.query(text).await;
        let Some(answer) = answer.filter(|answer| answer.is_success()) else { return Outcome::NotRun };
        record.note_at(answer.answered, &format!("{text}: {} state={}", answer.result, answer.state));
    }
    let signalled = Instant::now();
    if has_trouble {
        proxy.signal("-TERM");
        record.note("SIGTERM to the proxy");
    }
    let mut number = 0;
    loop {
        tokio::time::sleep(PAUSE).await;
        number += 1;
        let is_last = signalled.elapsed() + PAUSE > HALF_GRACE;
        let text = match is_last {
            true => "COMMIT".to_owned(),
            false => format!("WRITE t{number} more"),
        };
        let Some(answer) = client.query(&text).await else {
            record.note(&format!("{text}: the connection ended"));
            return if signalled.elapsed() < HALF_GRACE { Outcome::Broken } else { Outcome::NotRun };
        };
        let after = answer.answered.duration_since(signalled);
        record.note_at(answer.answered, &format!("{} ms after: {text}: {} state={}", after.as_millis(), answer.result, answer.state));
        if after > HALF_GRACE {
            return Outcome::NotRun;
        }
        if !answer.is_success() {
            deployment.note_logs(record, &["stop_", "transaction_abandoned"]);
            return Outcome::Broken;
        }
        if is_last {
            return Outcome::Held;
        }
    }
}
