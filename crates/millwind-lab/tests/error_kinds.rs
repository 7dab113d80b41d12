//! Each error kind is brought about, and the caller is told what the table
//! says. Kinds brought about by `whole_path` are not repeated here:
//! unknown_tenant, invalid_setting, unsupported, transaction_lost, draining.

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

async fn cluster(change: impl FnOnce(&mut ClusterOptions)) -> Cluster {
    let mut options = ClusterOptions::new(PathBuf::from(env!("CARGO_BIN_EXE_millwind-lab")));
    options.groups = Some(1);
    change(&mut options);
    Cluster::start(Deployment::of(DeploymentName::Dixie), options)
        .await
        .expect("the deployment starts")
}

fn told(error: &tokio_postgres::Error) -> String {
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

async fn client(address: SocketAddr, tenant: &str) -> Client {
    let (client, _) = connect(address, tenant, None).await.expect("connects");
    client
}

fn insert(request: &str) -> String {
    format!("INSERT INTO booking (request, session, seq) VALUES ('{request}', 's', 1)")
}

async fn expect(client: &Client, sql: &str, kind: ErrorKind) {
    let error = client.simple_query(sql).await.expect_err(sql);
    assert_eq!(told(&error), hint(kind), "{sql}");
}

fn tenant_text(cluster: &Cluster, extra: &str) -> String {
    format!(
        "name = \"extra\"\ntemplate = \"{}\"\ngroup = \"{}\"\n{extra}",
        cluster.deployment.template_name,
        cluster.deployment.group(0)
    )
}

async fn apply(cluster: &mut Cluster, key: &str, text: &str) {
    let revision = cluster.store(0, key, text).await.expect("stored");
    cluster.await_in_force(0, revision).await.expect("in force");
}

#[tokio::test(flavor = "multi_thread")]
async fn authentication_and_limits_of_callers() {
    let mut cluster = cluster(|_| {}).await;
    let address = cluster.nodes[0].client_address;
    let text = tenant_text(&cluster, "password = \"secret\"\n");
    apply(&mut cluster, "tenant/extra", &text).await;
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
    let error = wrong.err().expect("refused");
    assert_eq!(told(&error), hint(ErrorKind::AuthenticationFailed));
    let right = config.password("secret").connect(tokio_postgres::NoTls).await;
    let (client, connection) = right.expect("the right password opens");
    tokio::spawn(connection);
    client.simple_query("SELECT 1").await.expect("reads");

    let narrow = format!(
        "name = \"{}\"\n[parameters.maximum_clients]\ndefault = 1\nminimum = 1\nmaximum = 1\n",
        "narrow"
    );
    apply(&mut cluster, "template/narrow", &narrow).await;
    let text = format!(
        "name = \"one\"\ntemplate = \"narrow\"\ngroup = \"{}\"\n",
        cluster.deployment.group(0)
    );
    apply(&mut cluster, "tenant/one", &text).await;
    let _first = connect(address, "one", None).await.expect("the first is let in");
    let error = connect(address, "one", None)
        .await
        .expect_err("the second is not");
    assert_eq!(told(&error), hint(ErrorKind::TooManyClients));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_document_names_field_and_range() {
    let mut cluster = cluster(|_| {}).await;
    let text = tenant_text(&cluster, "[parameters]\nhold_ms = 999999\n");
    let error = cluster
        .store(0, "tenant/extra", &text)
        .await
        .expect_err("refused");
    assert!(
        error.to_string().contains("HoldMs is 999999, allowed 0 to 60000"),
        "{error}"
    );
    let text = tenant_text(&cluster, "colour = \"red\"\n");
    let error = cluster
        .store(0, "tenant/extra", &text)
        .await
        .expect_err("refused");
    assert!(error.to_string().contains("unknown field `colour`"), "{error}");
    let text = tenant_text(&cluster, "").replace("network-ledger-1", "nowhere");
    let error = cluster
        .store(0, "tenant/extra", &text)
        .await
        .expect_err("refused");
    assert!(error.to_string().contains("which does not exist"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_without_a_majority() {
    let mut cluster = cluster(|options| options.hold_ms = Some(500)).await;
    let tenant = cluster.deployment.tenant(0);
    let caller = client(cluster.nodes[0].client_address, &tenant).await;
    caller.simple_query(&insert("before.0")).await.expect("writes");
    let (leader, _) = cluster
        .await_leader(&cluster.deployment.group(0), 0)
        .await
        .expect("leads");
    let survivor = (leader + 1) % cluster.instances.len();
    for index in 0..cluster.instances.len() {
        if index != survivor {
            cluster.instances[index].process.kill();
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    expect(&caller, &insert("none.0"), ErrorKind::NoPrimary).await;
    // A session without a token needs the primary's word for its floor.
    let fresh = client(cluster.nodes[0].client_address, &tenant).await;
    expect(&fresh, "SELECT count(*) FROM booking", ErrorKind::NoPrimary).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_stays_behind() {
    let mut cluster = cluster(|options| options.lag_ms = 60_000).await;
    let tenant = cluster.deployment.tenant(0);
    let caller = client(cluster.nodes[0].client_address, &tenant).await;
    caller.simple_query(&insert("lag.0")).await.expect("writes");
    let group = cluster.deployment.group(0);
    let (leader, _) = cluster.await_leader(&group, 0).await.expect("leads");
    // Nobody stands for election while replicas cannot reach each other.
    for index in 0..cluster.instances.len() {
        if index != leader {
            cluster.instances[index].process.signal("STOP").expect("stops");
        }
    }
    cluster.instances[leader].process.kill();
    for index in 0..cluster.instances.len() {
        if index != leader {
            let control = cluster.instances[index].settings.control;
            cluster.instances[index].process.signal("CONT").expect("goes on");
            let cut = serde_json::json!({ "cut": true });
            millwind_lab::http::post(control, "/faults", &cut)
                .await
                .expect("is cut");
        }
    }
    let error = caller
        .simple_query("SELECT count(*) FROM booking")
        .await
        .expect_err("no instance covers the session");
    let allowed = [hint(ErrorKind::NoPrimary), hint(ErrorKind::ReplicaBehind)];
    assert!(allowed.contains(&told(&error)), "{}", told(&error));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_primary_leaves_outcomes_to_settle() {
    let cluster = cluster(|_| {}).await;
    let tenant = cluster.deployment.tenant(0);
    let group = cluster.deployment.group(0);
    let (leader, report) = cluster.await_leader(&group, 0).await.expect("leads");
    let zone = cluster.instances[leader].zone.clone();
    let near = cluster
        .nodes
        .iter()
        .find(|node| node.settings.zone == zone)
        .expect("a node");
    let plain = client(near.client_address, &tenant).await;
    let identified = client(near.client_address, &tenant).await;
    for caller in [&plain, &identified] {
        caller.simple_query("SELECT 1").await.expect("reads");
    }
    cluster.instances[leader].process.signal("STOP").expect("stops");
    let sql = format!("{} /*request_id='frozen-1'*/", insert("frozen-1.0"));
    let unknown_sql = insert("frozen-2.0");
    let unknown = plain.simple_query(&unknown_sql);
    let fenced = identified.simple_query(&sql);
    let (unknown, fenced) = tokio::join!(unknown, fenced);
    assert_eq!(
        told(&unknown.expect_err("unknown")),
        hint(ErrorKind::OutcomeUnknown)
    );
    // Before its commit is sent a write with an id is only undone; after, it
    // is settled on the new primary.
    let told_fenced = told(&fenced.expect_err("not run"));
    let allowed = [hint(ErrorKind::RequestFenced), hint(ErrorKind::TransactionLost)];
    assert!(allowed.contains(&told_fenced), "{told_fenced}");
    let (_, new) = cluster.await_leader(&group, report.term).await.expect("leads");
    assert!(new.term > report.term);
    let again = identified.simple_query(&sql).await;
    if told_fenced == hint(ErrorKind::RequestFenced) {
        let error = again.expect_err("fenced for good");
        assert_eq!(told(&error), hint(ErrorKind::RequestFenced));
    } else {
        again.expect("an undone write may be repeated under its id");
    }
    cluster.instances[leader].process.signal("CONT").expect("goes on");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_whose_last_write_was_discarded() {
    let mut cluster = cluster(|_| {}).await;
    let tenant = cluster.deployment.tenant(0);
    let group = cluster.deployment.group(0);
    let caller = client(cluster.nodes[0].client_address, &tenant).await;
    caller.simple_query(&insert("kept.0")).await.expect("writes");
    let (leader, report) = cluster.await_leader(&group, 0).await.expect("leads");
    cluster.instances[leader].process.kill();
    cluster.await_leader(&group, report.term).await.expect("leads");
    caller.simple_query(&insert("later.0")).await.expect("writes");
    // A position far beyond where the new term branched off.
    let token = format!("mw1:{group}:{}:ffffffff", report.term);
    let (lost, _) = connect(cluster.nodes[1].client_address, &tenant, Some(&token))
        .await
        .expect("connects");
    expect(&lost, "SELECT count(*) FROM booking", ErrorKind::SessionDiscarded).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_is_too_slow_for_the_window() {
    let cluster = cluster(|options| options.service_us = 300_000).await;
    let tenant = cluster.deployment.tenant(0);
    let mut callers = Vec::new();
    for index in 0..150 {
        let address = cluster.nodes[index % cluster.nodes.len()].client_address;
        callers.push(client(address, &tenant).await);
    }
    let reads = callers.iter().map(|caller| async {
        let mut refused = Vec::new();
        for _ in 0..4 {
            if let Err(error) = caller.simple_query("SELECT count(*) FROM booking").await {
                refused.push((told(&error), detail(&error)));
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
            .any(|(told, _)| *told == hint(ErrorKind::DeadlineTooShort)),
        "{refused:?}"
    );
    let allowed = [ErrorKind::DeadlineTooShort, ErrorKind::QueueFull].map(hint);
    assert!(
        refused.iter().all(|(told, _)| allowed.contains(told)),
        "{refused:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_cut_off_does_not_serve() {
    let cluster = cluster(|_| {}).await;
    let tenant = cluster.deployment.tenant(0);
    let zone = cluster.deployment.zones[0].name;
    let caller = client(cluster.nodes[0].client_address, &tenant).await;
    caller.simple_query("SELECT 1").await.expect("reads");
    cluster.set_zone_cut(zone, true);
    tokio::time::sleep(Duration::from_secs(10)).await;
    expect(&caller, "SELECT count(*) FROM booking", ErrorKind::NotServing).await;
}
