//! The whole path as separate processes: stand-ins, platform and nodes, real
//! clients, and failures. Checked are properties only, never speeds.

use std::path::PathBuf;

use millwind_lab::client::connect;
use millwind_lab::cluster::{Cluster, ClusterOptions};
use millwind_lab::deployment::{Deployment, DeploymentName};
use millwind_lab::experiment::{self, ExperimentName, ExperimentOptions, Summary};
use tokio_postgres::{Client, SimpleQueryMessage};

fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_millwind-lab"))
}

async fn small_cluster() -> Cluster {
    let mut options = ClusterOptions::new(program());
    options.groups = Some(1);
    options.lag_ms = 100;
    Cluster::start(Deployment::of(DeploymentName::Dixie), options)
        .await
        .expect("the deployment starts")
}

async fn run(name: ExperimentName, seconds: u64) -> Summary {
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
    first_value(&client.simple_query(&sql).await.expect("reads")).expect("one row")
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

/// One deployment serves all the checks that break nothing, one after another:
/// starting it is what takes the time.
#[tokio::test(flavor = "multi_thread")]
async fn a_healthy_deployment() {
    let cluster = small_cluster().await;
    let tenant = cluster.deployment.tenant(0);
    let address = |index: usize| cluster.nodes[index].client_address;

    reads_its_own_write_elsewhere(&tenant, address(0), address(1)).await;
    without_a_token_too(&tenant, address(0), address(2)).await;
    extended_statements_and_transactions(&tenant, address(0)).await;
    a_request_id_runs_once(&tenant, address(0), address(1)).await;
    a_refused_statement_fails_the_transaction(&tenant, address(0)).await;
    refusals_say_what_they_mean(&tenant, address(0)).await;
}

async fn reads_its_own_write_elsewhere(
    tenant: &str,
    here: std::net::SocketAddr,
    there: std::net::SocketAddr,
) {
    let (writer, token) = connect(here, tenant, None).await.expect("connects");
    for number in 1..=5 {
        writer
            .simple_query(&insert(&format!("roam-{number}"), "roam"))
            .await
            .expect("writes");
        let token = token.get().expect("a token is reported");
        let (reader, _) = connect(there, tenant, Some(&token)).await.expect("connects");
        assert_eq!(count(&reader, "roam").await, number.to_string());
    }
}

async fn without_a_token_too(tenant: &str, here: std::net::SocketAddr, there: std::net::SocketAddr) {
    let (writer, _) = connect(here, tenant, None).await.expect("connects");
    writer
        .simple_query(&insert("bare-1", "bare"))
        .await
        .expect("writes");
    let (reader, _) = connect(there, tenant, None).await.expect("connects");
    assert_eq!(count(&reader, "bare").await, "1");
}

async fn extended_statements_and_transactions(tenant: &str, address: std::net::SocketAddr) {
    let (mut client, _) = connect(address, tenant, None).await.expect("connects");
    let sql = "INSERT INTO booking (request, session, seq) VALUES ($1, $2, 7)";
    let statement = client.prepare(sql).await.expect("prepares");
    for request in ["ext-1", "ext-2"] {
        let rows = client
            .execute(&statement, &[&request, &"ext"])
            .await
            .expect("executes");
        assert_eq!(rows, 1);
    }
    let select = client
        .prepare("SELECT seq FROM booking WHERE request = $1")
        .await
        .expect("prepares");
    let row = client.query_one(&select, &[&"ext-1"]).await.expect("one row");
    assert_eq!(row.get::<_, i64>(0), 7);

    let transaction = client.transaction().await.expect("begins");
    transaction
        .execute(&statement, &[&"ext-3", &"ext"])
        .await
        .expect("executes");
    transaction.rollback().await.expect("rolls back");
    assert_eq!(count(&client, "ext").await, "2");
    let transaction = client.transaction().await.expect("begins");
    transaction
        .execute(&statement, &[&"ext-4", &"ext"])
        .await
        .expect("executes");
    transaction.commit().await.expect("commits");
    assert_eq!(count(&client, "ext").await, "3");
}

async fn a_request_id_runs_once(tenant: &str, here: std::net::SocketAddr, there: std::net::SocketAddr) {
    let sql = format!("{} /*request_id='once-1'*/", insert("once-1", "once"));
    let (first, _) = connect(here, tenant, None).await.expect("connects");
    first.simple_query(&sql).await.expect("writes");
    let (second, _) = connect(there, tenant, None).await.expect("connects");
    second.simple_query(&sql).await.expect("gets the first answer");
    second
        .simple_query("SET millwind.request_id = 'once-1'")
        .await
        .expect("sets");
    second
        .simple_query(&insert("once-1", "once"))
        .await
        .expect("gets the first answer");
    assert_eq!(count(&second, "once").await, "1");
}

async fn a_refused_statement_fails_the_transaction(tenant: &str, address: std::net::SocketAddr) {
    let (client, _) = connect(address, tenant, None).await.expect("connects");
    client.simple_query("BEGIN").await.expect("begins");
    client
        .simple_query(&insert("part-1", "part"))
        .await
        .expect("writes");
    let error = client.simple_query("LISTEN a").await.expect_err("refused");
    assert!(
        hint(&error).starts_with("kind=unsupported effect=not_run"),
        "{}",
        hint(&error)
    );
    let error = client
        .simple_query(&insert("part-2", "part"))
        .await
        .expect_err("ignored");
    assert!(
        hint(&error).starts_with("kind=transaction_lost effect=rolled_back"),
        "{}",
        hint(&error)
    );
    client.simple_query("COMMIT").await.expect("ends");
    assert_eq!(count(&client, "part").await, "0");
}

async fn refusals_say_what_they_mean(tenant: &str, address: std::net::SocketAddr) {
    let error = connect(address, "nobody", None).await.expect_err("refused");
    assert_eq!(hint(&error), "kind=unknown_tenant effect=not_run repeat=no");
    let error = connect(address, tenant, Some("mw1:x"))
        .await
        .expect_err("refused");
    assert_eq!(hint(&error), "kind=invalid_setting effect=not_run repeat=no");
    let (client, _) = connect(address, tenant, None).await.expect("connects");
    let error = client
        .simple_query("SET millwind.staleness_ms = 'soon'")
        .await
        .expect_err("refused");
    assert_eq!(hint(&error), "kind=invalid_setting effect=not_run repeat=no");
    let error = client
        .simple_query("SET work_mem = '1MB'")
        .await
        .expect_err("refused");
    assert_eq!(hint(&error), "kind=unsupported effect=not_run repeat=no");
    let error = client
        .simple_query("SELECT nonsense FROM nowhere")
        .await
        .expect_err("fails");
    assert_eq!(
        error.code().map(|code| code.code()),
        Some("42P01"),
        "the back end's own errors pass through"
    );
    client
        .simple_query("SELECT 1")
        .await
        .expect("the session goes on");
}

#[tokio::test(flavor = "multi_thread")]
async fn primaries_are_killed() {
    run(ExperimentName::Failover, 10).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_primary_is_cut_off_and_believes_it_leads() {
    let summary = run(ExperimentName::OldPrimary, 10).await;
    assert!(
        summary.notes[0].starts_with("old primary still believed it led: true"),
        "{:?}",
        summary.notes
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_killed_under_load() {
    run(ExperimentName::NodeLoss, 9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_cut_off() {
    run(ExperimentName::ZoneCut, 18).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_are_stopped_as_planned() {
    let summary = run(ExperimentName::PlannedStop, 16).await;
    assert_eq!(summary.unknown, 0, "{:?}", summary.failures_by_kind);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_leaves() {
    run(ExperimentName::LeavingBackEnd, 10).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_operators_race_and_an_answer_is_lost() {
    run(ExperimentName::ConfigRace, 9).await;
    run(ExperimentName::LostAnswer, 12).await;
}
