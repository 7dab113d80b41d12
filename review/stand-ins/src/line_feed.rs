//! Case UNASKED: a message whose last field holds a line feed is taken for two messages.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::group::{DCPA_CORE_GROWN, MEMBERS, SiteRules};

/// Data of the writes, with `{LF}` where a line feed stands.
const NOTES: [&str; 3] = [
    "valve 4 checked{LF}come back on Monday",
    "pallet 12{LF}QUERY extra-1 WRITE thing-8 moved",
    "pallet 13{LF}QUERY extra-2 READ thing-9",
];

pub fn play(folder: &Path, trouble: &str) -> Verdict {
    let rules = SiteRules {
        bounds: &DCPA_CORE_GROWN,
        members: MEMBERS,
        sync_replicas: 0,
        is_fenced: true,
        promote_time: Duration::from_millis(600),
    };
    let mut deployment = match Deployment::start(folder, &rules) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    let line_feed = if trouble == "0" { " " } else { "\n" };
    let mut sent = Vec::new();
    let mut answered = 0;
    for (index, (proxy, note)) in deployment.proxies.iter().zip(NOTES).enumerate() {
        let Some(mut client) = Client::open(proxy.front, "booking", Some(deployment.record.clone())) else {
            continue;
        };
        let id = format!("note-{index}");
        let text = format!("WRITE thing-{index} {}", note.replace("{LF}", line_feed));
        sent.push((id.clone(), text.clone()));
        answered += usize::from(client.query(&id, &text).is_some());
    }
    deployment.pass(Duration::from_secs(1));
    deployment.stop();
    if answered == 0 {
        return Verdict::CouldNotRun("no client was answered".to_owned());
    }
    let state = deployment.group.state();
    let is_sent = |id: &str, text: &str| sent.iter().any(|(known, asked)| known == id && asked == text);
    let foreign: Vec<_> = state
        .runs
        .iter()
        .filter(|run| !is_sent(&run.id, &run.text))
        .collect();
    for run in &foreign {
        deployment.record.line(&format!(
            "UNASKED id={} text={:?} ran at {}",
            run.id, run.text, run.instance
        ));
    }
    deployment.record.flush();
    match foreign.first() {
        None => Verdict::Held(format!("{} statements ran as they were sent", state.runs.len())),
        Some(run) => Verdict::Broken(format!(
            "UNASKED: {} statements ran that no client sent, the first is id={} text={:?}",
            foreign.len(),
            run.id,
            run.text
        )),
    }
}
