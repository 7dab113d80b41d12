//! Faults that experiments inject.

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

/// An instance that is marked as leaving must receive no statements after this time.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// A change must be in force on every node, and a reconnected node must serve, within this time.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(20);
const HTTP_CONFLICT: u16 = 409;

/// Injects the fault of an experiment, removes the fault, and returns the observations.
pub(super) async fn inject(
    name: ExperimentName,
    cluster: &mut Cluster,
    options: &ExperimentOptions,
) -> Result<FaultReport, ClusterError> {
    let mut report = FaultReport::default();
    let fault_duration = Duration::from_secs(options.seconds).saturating_sub(WARM_UP * 2);
    match name {
        ExperimentName::Steady | ExperimentName::Roaming => {}
        ExperimentName::Failover => kill_primaries(cluster, &mut report).await?,
        ExperimentName::OldPrimary => isolate_primary(cluster, &mut report).await?,
        ExperimentName::ReplicaLag => delay_replicas(cluster, fault_duration).await?,
        ExperimentName::ConnectionRush => connect_many_clients(cluster, &mut report).await?,
        ExperimentName::NodeLoss => kill_and_restart_node(cluster).await?,
        ExperimentName::OwnerPause => suspend_nodes(cluster).await?,
        ExperimentName::PlatformOutage => platform_outage(cluster, fault_duration, &mut report).await?,
        ExperimentName::LostAnswer => lose_store_answer(cluster, &mut report).await?,
        ExperimentName::ConfigRace => race_changes(cluster, &mut report).await?,
        ExperimentName::ConfigSpread => propagate_changes(cluster, &mut report).await?,
        ExperimentName::ZoneCut => isolate_zone(cluster, fault_duration, &mut report).await?,
        ExperimentName::PlannedStop => stop_nodes_gracefully(cluster, &mut report).await?,
        ExperimentName::LeavingBackEnd => mark_instance_leaving(cluster, &mut report).await?,
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
    let (index, old) = cluster.wait_for_leader(&group, 0).await?;
    cluster.instances[index].process.kill();
    let (_, new) = cluster.wait_for_leader(&group, old.term).await?;
    report.failovers.push((group, new.opened_at_ms));
    cluster.restart_instance(index)
}

async fn isolate_primary(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let group = cluster.deployment.group(0);
    let (index, old) = cluster.wait_for_leader(&group, 0).await?;
    let control = cluster.instances[index].settings.control;
    set_isolated(control, true).await?;
    let (_, new) = cluster.wait_for_leader(&group, old.term).await?;
    report.failovers.push((group, new.opened_at_ms));
    sleep(Duration::from_secs(3)).await;
    let old_primary: InstanceReport = http::get(control, "/report").await?;
    report.notes.push(format!(
        "old primary still believed it led: {}, end {}",
        old_primary.leads, old_primary.end
    ));
    set_isolated(control, false).await
}

async fn set_isolated(control: std::net::SocketAddr, isolated: bool) -> Result<(), ClusterError> {
    Ok(http::post(control, "/faults", &serde_json::json!({ "cut": isolated })).await?)
}

async fn set_replay_lag(cluster: &Cluster, lag_ms: u64) -> Result<(), ClusterError> {
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

async fn delay_replicas(cluster: &Cluster, fault_duration: Duration) -> Result<(), ClusterError> {
    let configured_lag_ms = cluster.options.lag_ms;
    set_replay_lag(cluster, 2_500).await?;
    sleep(fault_duration / 2).await;
    set_replay_lag(cluster, configured_lag_ms).await
}

async fn connect_many_clients(cluster: &Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    const CLIENTS: usize = 300;
    let mut callers = Vec::new();
    for index in 0..CLIENTS {
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
    report.notes.push(format!(
        "connection rush: {answered} of {} reads answered",
        CLIENTS * 20
    ));
    for instance in &cluster.instances {
        let instance_report: InstanceReport = http::get(instance.settings.control, "/report").await?;
        if instance_report.peak_connections > cluster.deployment.connections {
            report.notes.push(format!(
                "{} had {} connections, limit {}",
                instance.settings.name, instance_report.peak_connections, cluster.deployment.connections
            ));
        }
    }
    Ok(())
}

async fn kill_and_restart_node(cluster: &mut Cluster) -> Result<(), ClusterError> {
    cluster.nodes[0].process.kill();
    sleep(Duration::from_secs(4)).await;
    cluster.restart_node(0)
}

async fn suspend_nodes(cluster: &mut Cluster) -> Result<(), ClusterError> {
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
    fault_duration: Duration,
    report: &mut FaultReport,
) -> Result<(), ClusterError> {
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(&outage).await?;
    // The outage exceeds the freshness bound, so nodes keep serving only if they
    // detect that most zones have lost the platform.
    sleep(fault_duration.max(Duration::from_secs(12))).await;
    for index in 0..cluster.nodes.len() {
        let status = cluster.status(index).await?;
        report
            .notes
            .push(format!("{} during the outage: {}", status.node, status.state));
    }
    cluster.set_platform_faults(&PlatformFaults::default()).await
}

fn tenant_document(cluster: &Cluster, weight: u64) -> String {
    format!(
        "name = \"{}\"\ntemplate = \"{}\"\ngroup = \"{}\"\n[parameters]\nweight = {weight}\n",
        cluster.deployment.tenant(0),
        cluster.deployment.template_name,
        cluster.deployment.group(0)
    )
}

async fn put_tenant(
    cluster: &Cluster,
    node: usize,
    change_id: &str,
    expected_revision: Option<u64>,
    weight: u64,
) -> Result<u64, HttpError> {
    let body = ChangeBody {
        change_id: change_id.to_owned(),
        expected_revision,
        body: Some(tenant_document(cluster, weight)),
    };
    let path = format!("/documents/tenant/{}", cluster.deployment.tenant(0));
    let stored: StoredBody = http::put(cluster.nodes[node].settings.admin_address, &path, &body).await?;
    Ok(stored.revision)
}

async fn stored_tenant(cluster: &Cluster, node: usize) -> Result<DocumentRow, ClusterError> {
    let path = format!("/documents/tenant/{}", cluster.deployment.tenant(0));
    Ok(http::get(cluster.nodes[node].settings.admin_address, &path).await?)
}

async fn lose_store_answer(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let faults = PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(&faults).await?;
    let revision = put_tenant(cluster, 0, "lost-answer", None, 33).await?;
    let retried_revision = put_tenant(cluster, 1, "lost-answer", None, 33).await?;
    if revision != retried_revision {
        let detail =
            format!("a retried change was stored twice: revisions {revision} and {retried_revision}");
        report.record_violation(Invariant::ConfigurationInForce, detail);
    }
    cluster.wait_until_in_force(0, revision).await
}

async fn race_changes(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let mut conflicts = 0;
    for round in 0..5u64 {
        let expected = stored_tenant(cluster, 0).await?.revision;
        let ids = [format!("race-{round}-a"), format!("race-{round}-b")];
        let first = put_tenant(cluster, 0, &ids[0], Some(expected), 20 + round);
        let second = put_tenant(cluster, 1, &ids[1], Some(expected), 40 + round);
        let (first, second) = tokio::join!(first, second);
        let stored = [&first, &second].into_iter().flatten().count();
        conflicts += [&first, &second]
            .into_iter()
            .filter(|result| {
                matches!(
                    result,
                    Err(HttpError::Status {
                        status: HTTP_CONFLICT,
                        ..
                    })
                )
            })
            .count();
        if stored != 1 {
            let detail = format!("{stored} of two concurrent changes were stored: {first:?} {second:?}");
            report.record_violation(Invariant::ConfigurationInForce, detail);
        }
        if let Some(revision) = first.ok().or(second.ok()) {
            cluster.wait_until_in_force(0, revision).await?;
        }
    }
    report
        .notes
        .push(format!("5 concurrent updates, {conflicts} conflicts"));
    Ok(())
}

async fn propagate_changes(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let mut slowest = Duration::ZERO;
    for round in 0..5u64 {
        let started = Instant::now();
        let revision = put_tenant(cluster, 0, &format!("spread-{round}"), None, 10 + round).await?;
        cluster.wait_until_in_force(0, revision).await?;
        let elapsed = started.elapsed();
        slowest = slowest.max(elapsed);
        if elapsed > PROPAGATION_TIMEOUT {
            let detail = format!("revision {revision} was in force after {elapsed:?}");
            report.record_violation(Invariant::ConfigurationInForce, detail);
        }
        for index in 0..cluster.nodes.len() {
            let status = cluster.status(index).await?;
            if status.revision < revision {
                let detail = format!(
                    "{} has revision {} although {revision} was reported in force",
                    status.node, status.revision
                );
                report.record_violation(Invariant::ConfigurationInForce, detail);
            }
        }
    }
    report.notes.push(format!(
        "slowest change in force after {} ms",
        slowest.as_millis()
    ));
    Ok(())
}

async fn isolate_zone(
    cluster: &mut Cluster,
    fault_duration: Duration,
    report: &mut FaultReport,
) -> Result<(), ClusterError> {
    let zone = cluster.deployment.zones[0].name;
    cluster.set_zone_partitioned(zone, true);
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
    let revision = put_tenant(cluster, outside, "zone-cut", None, 55).await?;
    cluster.wait_until_in_force(outside, revision).await?;
    report.notes.push(format!(
        "change reported in force after {} ms",
        started.elapsed().as_millis()
    ));
    // The change was reported in force during the partition, so a node in the
    // isolated zone must not serve an older revision.
    let status = cluster.status(inside).await?;
    report.notes.push(format!(
        "isolated {}: {} at revision {}",
        status.node, status.state, status.revision
    ));
    if status.state == "serving" && status.revision < revision {
        let detail = format!(
            "{} serves revision {} although {revision} is in force",
            status.node, status.revision
        );
        report.record_violation(Invariant::ConfigurationInForce, detail);
    }
    sleep(fault_duration.saturating_sub(started.elapsed())).await;
    cluster.set_zone_partitioned(zone, false);
    await_serving(cluster, inside, report).await
}

async fn await_serving(cluster: &Cluster, node: usize, report: &mut FaultReport) -> Result<(), ClusterError> {
    let started = Instant::now();
    while started.elapsed() < PROPAGATION_TIMEOUT {
        if cluster
            .status(node)
            .await
            .is_ok_and(|status| status.state == "serving")
        {
            report.notes.push(format!(
                "serving again {} ms after the fault",
                started.elapsed().as_millis()
            ));
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(ClusterError::Timeout("a node to serve after a fault".to_owned()))
}

async fn stop_nodes_gracefully(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
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
            let detail = format!("graceful stop ended with exit code {code}");
            report.record_violation(Invariant::PlannedStopCutsNothing, detail);
        }
        cluster.restart_node(index)?;
        await_serving(cluster, index, report).await?;
        sleep(Duration::from_secs(1)).await;
    }
    Ok(())
}

async fn mark_instance_leaving(cluster: &mut Cluster, report: &mut FaultReport) -> Result<(), ClusterError> {
    let group = cluster.deployment.group(0);
    let (leader, _) = cluster.wait_for_leader(&group, 0).await?;
    let leaving = cluster
        .instances
        .iter()
        .position(|instance| {
            instance.group == group && instance.settings.name != cluster.instances[leader].settings.name
        })
        .unwrap_or(0);
    let name = cluster.instances[leaving].settings.name.clone();
    let control = cluster.instances[leaving].settings.control;
    cluster.write_machine_entry(&name, "", true).await?;
    sleep(DRAIN_TIMEOUT).await;
    let before: InstanceReport = http::get(control, "/report").await?;
    sleep(Duration::from_secs(3)).await;
    let after: InstanceReport = http::get(control, "/report").await?;
    let new_statements = after.statements - before.statements;
    report.notes.push(format!(
        "{name} leaving: {new_statements} statements after {DRAIN_TIMEOUT:?}"
    ));
    if new_statements > 0 {
        let detail = format!("{name} got {new_statements} statements after {DRAIN_TIMEOUT:?}");
        report.record_violation(Invariant::LeavingGetsNoWork, detail);
    }
    cluster.write_machine_entry(&name, "", false).await
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
                report.notes.push("chaos: isolate primary".to_owned());
                isolate_primary(cluster, report).await?;
            }
            2 => {
                report.notes.push(format!("chaos: kill node {node}"));
                cluster.nodes[node].process.kill();
                sleep(Duration::from_millis(random.random_range(500..3_000))).await;
                cluster.restart_node(node)?;
            }
            3 => {
                report.notes.push(format!(
                    "chaos: suspend node {node} and kill primary of group {group}"
                ));
                cluster.nodes[node].process.signal("STOP")?;
                let kill_result = kill_primary(cluster, group, report).await;
                cluster.nodes[node].process.signal("CONT")?;
                kill_result?;
            }
            4 => {
                report.notes.push("chaos: delay replicas".to_owned());
                set_replay_lag(cluster, 1_500).await?;
                sleep(Duration::from_secs(2)).await;
                set_replay_lag(cluster, cluster.options.lag_ms).await?;
            }
            5 => {
                let zone = cluster.deployment.zones[random.random_range(0..3)].name;
                report.notes.push(format!("chaos: isolate zone {zone}"));
                cluster.set_zone_partitioned(zone, true);
                sleep(Duration::from_millis(random.random_range(500..4_000))).await;
                cluster.set_zone_partitioned(zone, false);
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
