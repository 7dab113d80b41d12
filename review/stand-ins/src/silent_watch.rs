//! Entry of issue 42: the nodes' watches of the configuration alone fall silent.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, new_id};
use crate::deployment::{Deployment, configuration};
use crate::group::{DCPA_CORE, MEMBERS, SiteRules};

/// `contact-ms` of the site, with some slack.
const CONTACT: Duration = Duration::from_millis(5_500);
/// `config-apply-ms` of the site.
const APPLY: Duration = Duration::from_millis(3_000);
const JUDGED: Duration = Duration::from_secs(20);

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
    deployment.pass(Duration::from_secs(3));
    let front = deployment.proxies[0].front;
    let Some(mut client) = Client::open(front, "lookup", Some(deployment.record.clone())) else {
        return Verdict::CouldNotRun("no session".to_owned());
    };
    if trouble != "0" {
        deployment
            .record
            .line("the watches of the configuration fall silent");
        deployment.store.silence_configuration_watches();
        deployment.pass(CONTACT);
    }
    deployment
        .record
        .line("version 8 without the route of lookup is acknowledged");
    deployment.store.put("op/config", &configuration(8, 0));
    let acknowledged = Instant::now();
    let mut last = None;
    while acknowledged.elapsed() < JUDGED {
        let sent = acknowledged.elapsed();
        match client.query(&new_id(), "READ thing") {
            Some(answer) if answer.result.is_ok() => last = Some(sent),
            _ => break,
        }
        deployment.pass(Duration::from_millis(50));
    }
    deployment.stop();
    match last {
        Some(last) if last > APPLY => Verdict::Broken(format!(
            "CONFIG: a request sent {last:?} after the acknowledgement ran with the dropped route"
        )),
        last => Verdict::Held(format!(
            "the last request with the dropped route was sent after {last:?}"
        )),
    }
}
