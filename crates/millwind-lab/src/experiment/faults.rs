//! The failures that experiments bring about.

use std::time::Duration;

use millwind_core::invariant::Invariant;
use millwind_node::admin::{ChangeBody, DocumentRow, StoredBody};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use super::{ExperimentName, ExperimentOptions, FaultReport, WARM_UP};
use crate::client::connect;
use crate::cluster::{Cluster, ClusterError};
use crate::http::{self, HttpError};
use crate::instance::InstanceReport;
use crate::platform::PlatformFaults;

/// A leaving instance must get no new work after this.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// A change must be in force everywhere within this.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(20);
const CONFLICT: u16 = 409;

/// Brings the experiment's failure about and ends it.
pub(super) async fn inject(
    name: ExperimentName,
    cluster: &mut Cluster,
    options: &ExperimentOptions,
) -> Result<FaultReport, ClusterError> {
    let mut report = FaultReport::default();
    let length = Duration::from_secs(options.seconds).saturating_sub(WARM_UP * 2);
    match name {
        ExperimentName::Steady | ExperimentName::Roaming => {}
        ExperimentName::Failover => kill_primaries(cluster, &mut report).await?,
        ExperimentName::OldPrimary => cut_primary(cluster, &mut report).await?,
        ExperimentName::ReplicaLag => lag_replicas(cluster, length).await?,
        ExperimentName::ConnectionRush => rush(cluster, &mut report).await?,
        ExperimentName::NodeLoss => kill_node(cluster).await?,
        ExperimentName::OwnerPause => pause_node(cluster).await?,
        ExperimentName::PlatformOutage => platform_outage(cluster, length, &mut report).await?,
        ExperimentName::LostAnswer => lose_answers(cluster, &mut report).await?,
        ExperimentName::ConfigRace => race(cluster, &mut report).await?,
        ExperimentName::ConfigSpread => spread(cluster, &mut report).await?,
        ExperimentName::ZoneCut => cut_zone(cluster, length, &mut report).await?,
        ExperimentName::PlannedStop => stop_nodes(cluster, &mut report).await?,
        ExperimentName::LeavingBackEnd => leave_back_end(cluster, &mut report).await?,
        ExperimentName::Chaos => chaos(cluster, options, &mut report).await?,
    }
    Ok(report)
}

async fn kill_primaries(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    for index in 0..cluster.groups() {
        kill_primary(cluster, index, report).await?;
    }
    Ok(())
}

async fn kill_primary(
    cluster: &mut Cluster,
    group: usize,
    report: &mut FaultReport,
) -> Result<(), ClusterError> {
    let group = cluster.deployment.group(group);
    let (index, old) = cluster.await_leader(&group, 0).await?;
    cluster.instances[index].process.kill();
    let (_, new) = cluster.await_leader(&group, old.term).await?;
    report.failovers.push((group, new.opened_at_ms));
    cluster.restart_instance(index)
}

async fn cut_primary(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let group = cluster.deployment.group(0);
    let (index, old) = cluster.await_leader(&group, 0).await?;
    let control = cluster.instances[index].settings.control;
    set_cut(control, true).await?;
    let (_, new) = cluster.await_leader(&group, old.term).await?;
    report.failovers.push((group, new.opened_at_ms));
    sleep(Duration::from_secs(3)).await;
    let still: InstanceReport = http::get(control, "/report").await?;
    report.notes.push(format!(
        "old primary still believed it led: {}, end {}",
        still.leads, still.end
    ));
    set_cut(control, false).await
}

async fn set_cut(control: std::net::SocketAddr, cut: bool) -> Result<(), ClusterError> {
    Ok(http::post(control, "/faults", &serde_json::json!({ "cut": cut })).await?)
}

async fn set_lag(cluster: &Cluster, lag_ms: u64) -> Result<(), ClusterError> {
    for instance in &cluster.instances {
        http::post(
            instance.settings.control,
            "/faults",
            &serde_json::json!({ "lag_ms": lag_ms }),
        )
        .await?;
    }
    Ok(())
}

async fn lag_replicas(cluster: &Cluster, length: Duration) -> Result<(), ClusterError> {
    let usual = cluster.options.lag_ms;
    set_lag(cluster, 2_500).await?;
    sleep(length / 2).await;
    set_lag(cluster, usual).await
}

async fn rush(cluster: &Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    const CALLERS: usize = 300;
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let address = cluster.nodes[index % cluster.nodes.len()].client_address;
        let tenant = cluster.deployment.tenant(index % cluster.groups());
        callers.push(tokio::spawn(async move {
            let Ok((client, _)) = connect(address, &tenant, None).await else {
                return 0;
            };
            let mut answered = 0;
            for _ in 0..20 {
                answered += usize::from(client.simple_query("SELECT count(*) FROM booking").await.is_ok());
            }
            answered
        }));
    }
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.unwrap_or(0);
    }
    report
        .notes
        .push(format!("rush: {answered} of {} reads answered", CALLERS * 20));
    for instance in &cluster.instances {
        let seen: InstanceReport = http::get(instance.settings.control, "/report").await?;
        if seen.peak_connections > cluster.deployment.connections {
            report.notes.push(format!(
                "{} saw {} connections, limit {}",
                instance.settings.name, seen.peak_connections, cluster.deployment.connections
            ));
        }
    }
    Ok(())
}

async fn kill_node(cluster: &mut Cluster) -> Result<(), ClusterError> {
    cluster.nodes[0].process.kill();
    sleep(Duration::from_secs(4)).await;
    cluster.restart_node(0)
}

async fn pause_node(cluster: &mut Cluster) -> Result<(), ClusterError> {
    for index in 0..cluster.nodes.len().min(2) {
        cluster.nodes[index].process.signal("STOP")?;
        sleep(Duration::from_secs(3)).await;
        cluster.nodes[index].process.signal("CONT")?;
        sleep(Duration::from_secs(1)).await;
    }
    Ok(())
}

async fn platform_outage(
    cluster: &mut Cluster,
    length: Duration,
    report: &mut FaultReport,
) -> Result<(), ClusterError> {
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(&outage).await?;
    // Longer than the freshness bound, so that only a shared outage explains it.
    sleep(length.max(Duration::from_secs(12))).await;
    for index in 0..cluster.nodes.len() {
        let status = cluster.status(index).await?;
        report
            .notes
            .push(format!("{} in the outage: {}", status.node, status.state));
    }
    cluster.set_platform_faults(&PlatformFaults::default()).await
}

fn tenant_text(cluster: &Cluster, weight: u64) -> String {
    format!(
        "name = \"{}\"\ntemplate = \"{}\"\ngroup = \"{}\"\n[parameters]\nweight = {weight}\n",
        cluster.deployment.tenant(0),
        cluster.deployment.template_name,
        cluster.deployment.group(0)
    )
}

async fn put(
    cluster: &Cluster,
    node: usize,
    change_id: &str,
    expected_revision: Option<u64>,
    weight: u64,
) -> Result<u64, HttpError> {
    let body = ChangeBody {
        change_id: change_id.to_owned(),
        expected_revision,
        body: Some(tenant_text(cluster, weight)),
    };
    let path = format!("/documents/tenant/{}", cluster.deployment.tenant(0));
    let stored: StoredBody = http::put(cluster.nodes[node].settings.admin_address, &path, &body).await?;
    Ok(stored.revision)
}

async fn stored_tenant(cluster: &Cluster, node: usize) -> Result<DocumentRow, ClusterError> {
    let path = format!("/documents/tenant/{}", cluster.deployment.tenant(0));
    Ok(http::get(cluster.nodes[node].settings.admin_address, &path).await?)
}

async fn lose_answers(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let faults = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(&faults).await?;
    let revision = put(cluster, 0, "lost-answer", None, 33).await?;
    let again = put(cluster, 1, "lost-answer", None, 33).await?;
    if revision != again {
        let detail = format!("asked again, the change was stored twice: {revision} and {again}");
        report.violated(Invariant::ConfigurationInForce, detail);
    }
    cluster.await_in_force(0, revision).await
}

async fn race(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let mut conflicts = 0;
    for round in 0..5u64 {
        let seen = stored_tenant(cluster, 0).await?.revision;
        let ids = [format!("race-{round}-a"), format!("race-{round}-b")];
        let first = put(cluster, 0, &ids[0], Some(seen), 20 + round);
        let second = put(cluster, 1, &ids[1], Some(seen), 40 + round);
        let (first, second) = tokio::join!(first, second);
        let stored = [&first, &second].into_iter().flatten().count();
        conflicts += [&first, &second]
            .into_iter()
            .filter(|result| matches!(result, Err(HttpError::Status { status: CONFLICT, .. })))
            .count();
        if stored != 1 {
            let detail = format!("{stored} of two racing changes were stored: {first:?} {second:?}");
            report.violated(Invariant::ConfigurationInForce, detail);
        }
        if let Some(revision) = first.ok().or(second.ok()) {
            cluster.await_in_force(0, revision).await?;
        }
    }
    report.notes.push(format!("5 races, {conflicts} conflicts"));
    Ok(())
}

async fn spread(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let mut slowest = Duration::ZERO;
    for round in 0..5u64 {
        let started = Instant::now();
        let revision = put(cluster, 0, &format!("spread-{round}"), None, 10 + round).await?;
        cluster.await_in_force(0, revision).await?;
        let took = started.elapsed();
        slowest = slowest.max(took);
        if took > IN_FORCE_LIMIT {
            let detail = format!("revision {revision} took {took:?}");
            report.violated(Invariant::ConfigurationInForce, detail);
        }
        for index in 0..cluster.nodes.len() {
            let status = cluster.status(index).await?;
            if status.revision < revision {
                let detail = format!(
                    "{} has {} although {revision} was said in force",
                    status.node, status.revision
                );
                report.violated(Invariant::ConfigurationInForce, detail);
            }
        }
    }
    report.notes.push(format!(
        "slowest change in force after {} ms",
        slowest.as_millis()
    ));
    Ok(())
}

async fn cut_zone(
    cluster: &mut Cluster,
    length: Duration,
    report: &mut FaultReport,
) -> Result<(), ClusterError> {
    let zone = cluster.deployment.zones[0].name;
    cluster.set_zone_cut(zone, true);
    let inside = cluster
        .nodes
        .iter()
        .position(|node| node.settings.zone == zone)
        .unwrap_or(0);
    let outside = cluster
        .nodes
        .iter()
        .position(|node| node.settings.zone != zone)
        .unwrap_or(0);
    let started = Instant::now();
    let revision = put(cluster, outside, "zone-cut", None, 55).await?;
    cluster.await_in_force(outside, revision).await?;
    report.notes.push(format!(
        "change said in force after {} ms",
        started.elapsed().as_millis()
    ));
    // Said in force while a zone is cut off: the zone must not be serving.
    let status = cluster.status(inside).await?;
    report.notes.push(format!(
        "cut-off {}: {} at {}",
        status.node, status.state, status.revision
    ));
    if status.state == "serving" && status.revision < revision {
        let detail = format!(
            "{} serves revision {} although {revision} is in force",
            status.node, status.revision
        );
        report.violated(Invariant::ConfigurationInForce, detail);
    }
    sleep(length.saturating_sub(started.elapsed())).await;
    cluster.set_zone_cut(zone, false);
    await_serving(cluster, inside, report).await
}

async fn await_serving(cluster: &Cluster, node: usize, report: &mut FaultReport) -> Result<(), ClusterError> {
    let started = Instant::now();
    while started.elapsed() < IN_FORCE_LIMIT {
        if cluster
            .status(node)
            .await
            .is_ok_and(|status| status.state == "serving")
        {
            report.notes.push(format!(
                "serving again {} ms after healing",
                started.elapsed().as_millis()
            ));
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(ClusterError::Timeout("a healed node to serve".to_owned()))
}

async fn stop_nodes(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    for index in 0..cluster.nodes.len() {
        let started = Instant::now();
        cluster.nodes[index].process.signal("TERM")?;
        let code = loop {
            if let Some(code) = cluster.nodes[index].process.exit_code() {
                break code;
            }
            sleep(Duration::from_millis(20)).await;
        };
        report.notes.push(format!(
            "{} stopped in {} ms",
            cluster.nodes[index].settings.name,
            started.elapsed().as_millis()
        ));
        if code != 0 {
            let detail = format!("planned stop ended with exit code {code}");
            report.violated(Invariant::PlannedStopCutsNothing, detail);
        }
        cluster.restart_node(index)?;
        await_serving(cluster, index, report).await?;
        sleep(Duration::from_secs(1)).await;
    }
    Ok(())
}

async fn leave_back_end(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let group = cluster.deployment.group(0);
    let (leader, _) = cluster.await_leader(&group, 0).await?;
    let leaving = cluster
        .instances
        .iter()
        .position(|instance| {
            instance.group == group && instance.settings.name != cluster.instances[leader].settings.name
        })
        .unwrap_or(0);
    let name = cluster.instances[leaving].settings.name.clone();
    let control = cluster.instances[leaving].settings.control;
    cluster.list_machine(&name, "", true).await?;
    sleep(LEAVING_LIMIT).await;
    let before: InstanceReport = http::get(control, "/report").await?;
    sleep(Duration::from_secs(3)).await;
    let after: InstanceReport = http::get(control, "/report").await?;
    let new_work = after.statements - before.statements;
    report.notes.push(format!(
        "{name} leaving: {new_work} statements after {LEAVING_LIMIT:?}"
    ));
    if new_work > 0 {
        let detail = format!("{name} got {new_work} statements after {LEAVING_LIMIT:?}");
        report.violated(Invariant::LeavingGetsNoWork, detail);
    }
    cluster.list_machine(&name, "", false).await
}

async fn chaos(
    cluster: &mut Cluster,
    options: &ExperimentOptions,
    report: &mut FaultReport,
) -> Result<(), ClusterError> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let end = Instant::now() + Duration::from_secs(options.seconds).saturating_sub(WARM_UP * 3);
    while Instant::now() < end {
        let group = random.random_range(0..cluster.groups());
        let node = random.random_range(0..cluster.nodes.len());
        match random.random_range(0..7) {
            0 => {
                report.notes.push(format!("chaos: kill primary of group {group}"));
                kill_primary(cluster, group, report).await?;
            }
            1 => {
                report.notes.push("chaos: cut primary".to_owned());
                cut_primary(cluster, report).await?;
            }
            2 => {
                report.notes.push(format!("chaos: kill node {node}"));
                cluster.nodes[node].process.kill();
                sleep(Duration::from_millis(random.random_range(500..3_000))).await;
                cluster.restart_node(node)?;
            }
            3 => {
                report.notes.push(format!(
                    "chaos: pause node {node} and kill primary of group {group}"
                ));
                cluster.nodes[node].process.signal("STOP")?;
                let killed = kill_primary(cluster, group, report).await;
                cluster.nodes[node].process.signal("CONT")?;
                killed?;
            }
            4 => {
                report.notes.push("chaos: replicas lag".to_owned());
                set_lag(cluster, 1_500).await?;
                sleep(Duration::from_secs(2)).await;
                set_lag(cluster, cluster.options.lag_ms).await?;
            }
            5 => {
                let zone = cluster.deployment.zones[random.random_range(0..3)].name;
                report.notes.push(format!("chaos: cut zone {zone}"));
                cluster.set_zone_cut(zone, true);
                sleep(Duration::from_millis(random.random_range(500..4_000))).await;
                cluster.set_zone_cut(zone, false);
            }
            _ => {
                report.notes.push("chaos: platform outage".to_owned());
                let outage = PlatformFaults {
                    outage: true,
                    ..PlatformFaults::default()
                };
                cluster.set_platform_faults(&outage).await?;
                sleep(Duration::from_secs(3)).await;
                cluster.set_platform_faults(&PlatformFaults::default()).await?;
            }
        }
        sleep(Duration::from_millis(random.random_range(300..1_500))).await;
    }
    Ok(())
}
