//! Provokes each error kind and checks the hint that the client receives. The
//! `whole_path` tests cover unknown_tenant, invalid_setting, unsupported,
//! transaction_lost and draining.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use millwind_core::error_kind::ErrorKind;
use millwind_lab::client::connect;
use millwind_lab::cluster::{Cluster, ClusterOptions};
use millwind_lab::deployment::{Deployment, DeploymentName};
use millwind_node::pg::error_answer::hint;
use tokio_postgres::Client;

async fn start_cluster(change: impl FnOnce(&mut ClusterOptions)) -> Cluster {
    let mut options = ClusterOptions::new(PathBuf::from(env!("CARGO_BIN_EXE_millwind-lab")));
    options.groups = Some(1);
    change(&mut options);
    Cluster::start(Deployment::with_name(DeploymentName::Dixie), options)
        .await
        .expect("the deployment starts")
}

fn error_hint(error: &tokio_postgres::Error) -> String {
    let database = error.as_db_error();
    database
        .and_then(|error| error.hint())
        .map_or_else(|| error.to_string(), str::to_owned)
}

fn detail(error: &tokio_postgres::Error) -> String {
    let database = error.as_db_error();
    database
        .and_then(|error| error.detail())
        .unwrap_or_default()
        .to_owned()
}

async fn connect_client(address: SocketAddr, tenant: &str) -> Client {
    let (client, _) = connect(address, tenant, None).await.expect("connection succeeds");
    client
}

fn insert(request: &str) -> String {
    format!("INSERT INTO booking (request, session, seq) VALUES ('{request}', 's', 1)")
}

async fn expect_error(client: &Client, sql: &str, kind: ErrorKind) {
    let error = client.simple_query(sql).await.expect_err(sql);
    assert_eq!(error_hint(&error), hint(kind), "{sql}");
}

fn tenant_text(cluster: &Cluster, extra: &str) -> String {
    format!(
        "name = \"extra\"\ntemplate = \"{}\"\ngroup = \"{}\"\n{extra}",
        cluster.deployment.template_name,
        cluster.deployment.group(0)
    )
}

async fn apply_document(cluster: &mut Cluster, key: &str, text: &str) {
    let revision = cluster.store(0, key, text).await.expect("document is stored");
    cluster
        .wait_until_in_force(0, revision)
        .await
        .expect("revision is in force");
}

#[tokio::test(flavor = "multi_thread")]
async fn authentication_failure_and_client_limit() {
    let mut cluster = start_cluster(|_| {}).await;
    let address = cluster.nodes[0].client_address;
    let text = tenant_text(&cluster, "password = \"secret\"\n");
    apply_document(&mut cluster, "tenant/extra", &text).await;
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("caller")
        .dbname("extra");
    let wrong = config
        .clone()
        .password("guess")
        .connect(tokio_postgres::NoTls)
        .await;
    let error = wrong.err().expect("the wrong password is rejected");
    assert_eq!(error_hint(&error), hint(ErrorKind::AuthenticationFailed));
    let right = config.password("secret").connect(tokio_postgres::NoTls).await;
    let (client, connection) = right.expect("the correct password is accepted");
    tokio::spawn(connection);
    client.simple_query("SELECT 1").await.expect("read succeeds");

    let narrow = format!(
        "name = \"{}\"\n[parameters.maximum_clients]\ndefault = 1\nminimum = 1\nmaximum = 1\n",
        "narrow"
    );
    apply_document(&mut cluster, "template/narrow", &narrow).await;
    let text = format!(
        "name = \"one\"\ntemplate = \"narrow\"\ngroup = \"{}\"\n",
        cluster.deployment.group(0)
    );
    apply_document(&mut cluster, "tenant/one", &text).await;
    let _first = connect(address, "one", None)
        .await
        .expect("the first client is accepted");
    let error = connect(address, "one", None)
        .await
        .expect_err("the second client is rejected");
    assert_eq!(error_hint(&error), hint(ErrorKind::TooManyClients));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_document_error_names_field_and_range() {
    let mut cluster = start_cluster(|_| {}).await;
    let text = tenant_text(&cluster, "[parameters]\nhold_ms = 999999\n");
    let error = cluster
        .store(0, "tenant/extra", &text)
        .await
        .expect_err("request is rejected");
    assert!(
        error.to_string().contains("HoldMs is 999999, allowed 0 to 60000"),
        "{error}"
    );
    let text = tenant_text(&cluster, "colour = \"red\"\n");
    let error = cluster
        .store(0, "tenant/extra", &text)
        .await
        .expect_err("request is rejected");
    assert!(error.to_string().contains("unknown field `colour`"), "{error}");
    let text = tenant_text(&cluster, "").replace("network-ledger-1", "nowhere");
    let error = cluster
        .store(0, "tenant/extra", &text)
        .await
        .expect_err("request is rejected");
    assert!(error.to_string().contains("which does not exist"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn group_without_majority() {
    let mut cluster = start_cluster(|options| options.hold_ms = Some(500)).await;
    let tenant = cluster.deployment.tenant(0);
    let caller = connect_client(cluster.nodes[0].client_address, &tenant).await;
    caller
        .simple_query(&insert("before.0"))
        .await
        .expect("write succeeds");
    let (leader, _) = cluster
        .wait_for_leader(&cluster.deployment.group(0), 0)
        .await
        .expect("the group has a leader");
    let survivor = (leader + 1) % cluster.instances.len();
    for index in 0..cluster.instances.len() {
        if index != survivor {
            cluster.instances[index].process.kill();
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    expect_error(&caller, &insert("none.0"), ErrorKind::NoPrimary).await;
    // A session without a token needs the primary's position as its minimum.
    let fresh = connect_client(cluster.nodes[0].client_address, &tenant).await;
    expect_error(&fresh, "SELECT count(*) FROM booking", ErrorKind::NoPrimary).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lagging_replica() {
    let mut cluster = start_cluster(|options| options.lag_ms = 60_000).await;
    let tenant = cluster.deployment.tenant(0);
    let caller = connect_client(cluster.nodes[0].client_address, &tenant).await;
    caller
        .simple_query(&insert("lag.0"))
        .await
        .expect("write succeeds");
    let group = cluster.deployment.group(0);
    let (leader, _) = cluster
        .wait_for_leader(&group, 0)
        .await
        .expect("the group has a leader");
    // The replicas are stopped and then partitioned, so that none wins an election.
    for index in 0..cluster.instances.len() {
        if index != leader {
            cluster.instances[index]
                .process
                .signal("STOP")
                .expect("SIGSTOP is sent");
        }
    }
    cluster.instances[leader].process.kill();
    for index in 0..cluster.instances.len() {
        if index != leader {
            let control = cluster.instances[index].settings.control;
            cluster.instances[index]
                .process
                .signal("CONT")
                .expect("SIGCONT is sent");
            let cut = serde_json::json!({ "cut": true });
            millwind_lab::http::post(control, "/faults", &cut)
                .await
                .expect("the instance is partitioned");
        }
    }
    let error = caller
        .simple_query("SELECT count(*) FROM booking")
        .await
        .expect_err("no instance has reached the session's position");
    let allowed = [hint(ErrorKind::NoPrimary), hint(ErrorKind::ReplicaBehind)];
    assert!(allowed.contains(&error_hint(&error)), "{}", error_hint(&error));
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_primary_causes_unknown_and_fenced_writes() {
    let cluster = start_cluster(|_| {}).await;
    let tenant = cluster.deployment.tenant(0);
    let group = cluster.deployment.group(0);
    let (leader, report) = cluster
        .wait_for_leader(&group, 0)
        .await
        .expect("the group has a leader");
    let zone = cluster.instances[leader].zone.clone();
    let local_node = cluster
        .nodes
        .iter()
        .find(|node| node.settings.zone == zone)
        .expect("a node in the zone");
    let plain = connect_client(local_node.client_address, &tenant).await;
    let identified = connect_client(local_node.client_address, &tenant).await;
    for caller in [&plain, &identified] {
        caller.simple_query("SELECT 1").await.expect("read succeeds");
    }
    cluster.instances[leader]
        .process
        .signal("STOP")
        .expect("SIGSTOP is sent");
    let sql = format!("{} /*request_id='frozen-1'*/", insert("frozen-1.0"));
    let unknown_sql = insert("frozen-2.0");
    let unknown = plain.simple_query(&unknown_sql);
    let fenced = identified.simple_query(&sql);
    let (unknown, fenced) = tokio::join!(unknown, fenced);
    assert_eq!(
        error_hint(&unknown.expect_err("outcome is unknown")),
        hint(ErrorKind::OutcomeUnknown)
    );
    // A write with a request ID is rolled back if its commit was not sent yet.
    // Otherwise the new primary resolves the outcome.
    let fenced_hint = error_hint(&fenced.expect_err("write is not executed"));
    let allowed = [hint(ErrorKind::RequestFenced), hint(ErrorKind::TransactionLost)];
    assert!(allowed.contains(&fenced_hint), "{fenced_hint}");
    let (_, new) = cluster
        .wait_for_leader(&group, report.term)
        .await
        .expect("the group has a leader");
    assert!(new.term > report.term);
    let again = identified.simple_query(&sql).await;
    if fenced_hint == hint(ErrorKind::RequestFenced) {
        let error = again.expect_err("the request ID stays fenced");
        assert_eq!(error_hint(&error), hint(ErrorKind::RequestFenced));
    } else {
        again.expect("a rolled-back write can be repeated with the same request ID");
    }
    cluster.instances[leader]
        .process
        .signal("CONT")
        .expect("SIGCONT is sent");
}

#[tokio::test(flavor = "multi_thread")]
async fn session_position_discarded_by_failover() {
    let mut cluster = start_cluster(|_| {}).await;
    let tenant = cluster.deployment.tenant(0);
    let group = cluster.deployment.group(0);
    let caller = connect_client(cluster.nodes[0].client_address, &tenant).await;
    caller
        .simple_query(&insert("kept.0"))
        .await
        .expect("write succeeds");
    let (leader, report) = cluster
        .wait_for_leader(&group, 0)
        .await
        .expect("the group has a leader");
    cluster.instances[leader].process.kill();
    cluster
        .wait_for_leader(&group, report.term)
        .await
        .expect("the group has a leader");
    caller
        .simple_query(&insert("later.0"))
        .await
        .expect("write succeeds");
    // The token's position is far beyond the start of the new term.
    let token = format!("mw1:{group}:{}:ffffffff", report.term);
    let (lost, _) = connect(cluster.nodes[1].client_address, &tenant, Some(&token))
        .await
        .expect("connection succeeds");
    expect_error(&lost, "SELECT count(*) FROM booking", ErrorKind::SessionDiscarded).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_instance_exceeds_request_window() {
    let cluster = start_cluster(|options| options.service_us = 300_000).await;
    let tenant = cluster.deployment.tenant(0);
    let mut callers = Vec::new();
    for index in 0..150 {
        let address = cluster.nodes[index % cluster.nodes.len()].client_address;
        callers.push(connect_client(address, &tenant).await);
    }
    let reads = callers.iter().map(|caller| async {
        let mut refused = Vec::new();
        for _ in 0..4 {
            if let Err(error) = caller.simple_query("SELECT count(*) FROM booking").await {
                refused.push((error_hint(&error), detail(&error)));
            }
        }
        refused
    });
    let refused: BTreeSet<(String, String)> = futures::future::join_all(reads)
        .await
        .into_iter()
        .flatten()
        .collect();
    assert!(
        refused
            .iter()
            .any(|(text, _)| *text == hint(ErrorKind::DeadlineTooShort)),
        "{refused:?}"
    );
    let allowed = [ErrorKind::DeadlineTooShort, ErrorKind::QueueFull].map(hint);
    assert!(
        refused.iter().all(|(text, _)| allowed.contains(text)),
        "{refused:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_zone_does_not_serve() {
    let cluster = start_cluster(|_| {}).await;
    let tenant = cluster.deployment.tenant(0);
    let zone = cluster.deployment.zones[0].name;
    let caller = connect_client(cluster.nodes[0].client_address, &tenant).await;
    caller.simple_query("SELECT 1").await.expect("read succeeds");
    cluster.set_zone_partitioned(zone, true);
    tokio::time::sleep(Duration::from_secs(10)).await;
    expect_error(&caller, "SELECT count(*) FROM booking", ErrorKind::NotServing).await;
}
