//! End-to-end tests with separate processes, a real client library and injected
//! faults. The tests check correctness, not performance.

use std::path::PathBuf;

use millwind_lab::client::connect;
use millwind_lab::cluster::{Cluster, ClusterOptions};
use millwind_lab::deployment::{Deployment, DeploymentName};
use millwind_lab::experiment::{self, ExperimentName, ExperimentOptions, Summary};
use tokio_postgres::{Client, SimpleQueryMessage};

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_millwind-lab"))
}

async fn start_cluster() -> Cluster {
    let mut options = ClusterOptions::new(program());
    options.groups = Some(1);
    options.lag_ms = 100;
    Cluster::start(Deployment::with_name(DeploymentName::Dixie), options)
        .await
        .expect("the deployment starts")
}

async fn run_experiment(name: ExperimentName, seconds: u64) -> Summary {
    let mut options = ExperimentOptions::new(program(), DeploymentName::Dixie);
    options.seconds = seconds;
    options.sessions = 4;
    let (summary, _) = experiment::run(name, &options)
        .await
        .expect("the experiment runs");
    assert!(
        summary.is_clean(),
        "{:?} {:?}",
        summary.violations,
        summary.examples
    );
    assert!(summary.completed_in_window > 0);
    summary
}

fn first_value(messages: &[SimpleQueryMessage]) -> Option<String> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

async fn count(client: &Client, session: &str) -> String {
    let sql = format!("SELECT count(*) FROM booking WHERE session = '{session}'");
    first_value(&client.simple_query(&sql).await.expect("read succeeds")).expect("one row")
}

fn insert(request: &str, session: &str) -> String {
    format!("INSERT INTO booking (request, session, seq) VALUES ('{request}', '{session}', 1)")
}

fn hint(error: &tokio_postgres::Error) -> String {
    error
        .as_db_error()
        .and_then(|error| error.hint())
        .unwrap_or_default()
        .to_owned()
}

/// Runs all checks without faults on one deployment, to save startup time.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_and_transactions_without_faults() {
    let cluster = start_cluster().await;
    let tenant = cluster.deployment.tenant(0);
    let address = |index: usize| cluster.nodes[index].client_address;

    token_gives_read_your_writes_on_another_node(&tenant, address(0), address(1)).await;
    read_your_writes_without_a_token(&tenant, address(0), address(2)).await;
    extended_queries_and_transactions(&tenant, address(0)).await;
    request_id_is_executed_once(&tenant, address(0), address(1)).await;
    rejected_statement_fails_the_transaction(&tenant, address(0)).await;
    rejections_carry_an_error_hint(&tenant, address(0)).await;
}

async fn token_gives_read_your_writes_on_another_node(
    tenant: &str,
    first_node: std::net::SocketAddr,
    second_node: std::net::SocketAddr,
) {
    let (writer, token) = connect(first_node, tenant, None)
        .await
        .expect("connection succeeds");
    for number in 1..=5 {
        writer
            .simple_query(&insert(&format!("roam-{number}"), "roam"))
            .await
            .expect("write succeeds");
        let token = token.get().expect("the node reports a token");
        let (reader, _) = connect(second_node, tenant, Some(&token))
            .await
            .expect("connection succeeds");
        assert_eq!(count(&reader, "roam").await, number.to_string());
    }
}

async fn read_your_writes_without_a_token(
    tenant: &str,
    first_node: std::net::SocketAddr,
    second_node: std::net::SocketAddr,
) {
    let (writer, _) = connect(first_node, tenant, None)
        .await
        .expect("connection succeeds");
    writer
        .simple_query(&insert("bare-1", "bare"))
        .await
        .expect("write succeeds");
    let (reader, _) = connect(second_node, tenant, None)
        .await
        .expect("connection succeeds");
    assert_eq!(count(&reader, "bare").await, "1");
}

async fn extended_queries_and_transactions(tenant: &str, address: std::net::SocketAddr) {
    let (mut client, _) = connect(address, tenant, None).await.expect("connection succeeds");
    let sql = "INSERT INTO booking (request, session, seq) VALUES ($1, $2, 7)";
    let statement = client.prepare(sql).await.expect("prepare succeeds");
    for request in ["ext-1", "ext-2"] {
        let rows = client
            .execute(&statement, &[&request, &"ext"])
            .await
            .expect("execute succeeds");
        assert_eq!(rows, 1);
    }
    let select = client
        .prepare("SELECT seq FROM booking WHERE request = $1")
        .await
        .expect("prepare succeeds");
    let row = client.query_one(&select, &[&"ext-1"]).await.expect("one row");
    assert_eq!(row.get::<_, i64>(0), 7);

    let transaction = client.transaction().await.expect("transaction begins");
    transaction
        .execute(&statement, &[&"ext-3", &"ext"])
        .await
        .expect("execute succeeds");
    transaction.rollback().await.expect("rollback succeeds");
    assert_eq!(count(&client, "ext").await, "2");
    let transaction = client.transaction().await.expect("transaction begins");
    transaction
        .execute(&statement, &[&"ext-4", &"ext"])
        .await
        .expect("execute succeeds");
    transaction.commit().await.expect("commit succeeds");
    assert_eq!(count(&client, "ext").await, "3");
}

async fn request_id_is_executed_once(
    tenant: &str,
    first_node: std::net::SocketAddr,
    second_node: std::net::SocketAddr,
) {
    let sql = format!("{} /*request_id='once-1'*/", insert("once-1", "once"));
    let (first, _) = connect(first_node, tenant, None)
        .await
        .expect("connection succeeds");
    first.simple_query(&sql).await.expect("write succeeds");
    let (second, _) = connect(second_node, tenant, None)
        .await
        .expect("connection succeeds");
    second
        .simple_query(&sql)
        .await
        .expect("the first response is repeated");
    second
        .simple_query("SET millwind.request_id = 'once-1'")
        .await
        .expect("SET succeeds");
    second
        .simple_query(&insert("once-1", "once"))
        .await
        .expect("the first response is repeated");
    assert_eq!(count(&second, "once").await, "1");
}

async fn rejected_statement_fails_the_transaction(tenant: &str, address: std::net::SocketAddr) {
    let (client, _) = connect(address, tenant, None).await.expect("connection succeeds");
    client.simple_query("BEGIN").await.expect("transaction begins");
    client
        .simple_query(&insert("part-1", "part"))
        .await
        .expect("write succeeds");
    let error = client
        .simple_query("LISTEN a")
        .await
        .expect_err("request is rejected");
    assert!(
        hint(&error).starts_with("kind=unsupported effect=not_run"),
        "{}",
        hint(&error)
    );
    let error = client
        .simple_query(&insert("part-2", "part"))
        .await
        .expect_err("statement in a failed transaction is rejected");
    assert!(
        hint(&error).starts_with("kind=transaction_lost effect=rolled_back"),
        "{}",
        hint(&error)
    );
    client
        .simple_query("COMMIT")
        .await
        .expect("COMMIT ends the failed transaction");
    assert_eq!(count(&client, "part").await, "0");
}

async fn rejections_carry_an_error_hint(tenant: &str, address: std::net::SocketAddr) {
    let error = connect(address, "nobody", None)
        .await
        .expect_err("request is rejected");
    assert_eq!(hint(&error), "kind=unknown_tenant effect=not_run repeat=no");
    let error = connect(address, tenant, Some("mw1:x"))
        .await
        .expect_err("request is rejected");
    assert_eq!(hint(&error), "kind=invalid_setting effect=not_run repeat=no");
    let (client, _) = connect(address, tenant, None).await.expect("connection succeeds");
    let error = client
        .simple_query("SET millwind.staleness_ms = 'soon'")
        .await
        .expect_err("request is rejected");
    assert_eq!(hint(&error), "kind=invalid_setting effect=not_run repeat=no");
    let error = client
        .simple_query("SET work_mem = '1MB'")
        .await
        .expect_err("request is rejected");
    assert_eq!(hint(&error), "kind=unsupported effect=not_run repeat=no");
    let error = client
        .simple_query("SELECT nonsense FROM nowhere")
        .await
        .expect_err("unknown table is rejected");
    assert_eq!(
        error.code().map(|code| code.code()),
        Some("42P01"),
        "errors of the database are passed to the client"
    );
    client
        .simple_query("SELECT 1")
        .await
        .expect("the session remains usable");
}

#[tokio::test(flavor = "multi_thread")]
async fn failover_after_killed_primaries() {
    run_experiment(ExperimentName::Failover, 10).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_primary_still_claims_leadership() {
    let summary = run_experiment(ExperimentName::OldPrimary, 10).await;
    assert!(
        summary.notes[0].starts_with("old primary still believed it led: true"),
        "{:?}",
        summary.notes
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn node_killed_under_load() {
    run_experiment(ExperimentName::NodeLoss, 9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_partition() {
    run_experiment(ExperimentName::ZoneCut, 18).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_node_shutdown_leaves_no_unknown_outcome() {
    let summary = run_experiment(ExperimentName::PlannedStop, 16).await;
    assert_eq!(summary.unknown, 0, "{:?}", summary.failures_by_kind);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_is_drained() {
    run_experiment(ExperimentName::LeavingBackEnd, 10).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_config_changes_and_lost_responses() {
    run_experiment(ExperimentName::ConfigRace, 9).await;
    run_experiment(ExperimentName::LostAnswer, 12).await;
}
