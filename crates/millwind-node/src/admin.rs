//! The admin API: status, configuration and metrics over HTTP.

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use futures::StreamExt;
use millwind_core::config_state::DocumentKind;
use millwind_core::control::RolloutState;
use millwind_core::routing::ReadPolicy;
use millwind_store::Store;
use millwind_wire::control::Liveness;
use serde::{Deserialize, Serialize};

use crate::admin_change::{Change, ChangeError, store_change};
use crate::clock;
use crate::config_watch::KeySpace;
use crate::control::GetStandings;
use crate::gateway::Gateway;

/// State shared by the request handlers.
#[derive(Debug)]
pub struct AdminState<S> {
    /// The node's gateway.
    pub gateway: Arc<Gateway>,
    /// The platform's store.
    pub store: S,
    /// Keys of the documents in the store.
    pub keys: KeySpace,
    /// Requests a drain of the node.
    pub drain: tokio::sync::mpsc::Sender<()>,
}

type SharedState<S> = State<Arc<AdminState<S>>>;

/// The routes of the admin API.
pub fn router<S: Store + 'static>(state: Arc<AdminState<S>>) -> Router {
    Router::new()
        .route("/status", get(status::<S>))
        .route("/ready", get(ready::<S>))
        .route("/nodes", get(nodes::<S>))
        .route("/groups", get(groups::<S>))
        .route("/pools", get(pools::<S>))
        .route("/tenants", get(tenants::<S>))
        .route("/documents/{kind}", get(list_documents::<S>))
        .route(
            "/documents/{kind}/{name}",
            get(get_document::<S>).put(put_document::<S>),
        )
        .route("/standings", get(standings::<S>))
        .route("/explain", post(explain::<S>))
        .route("/drain", post(drain::<S>))
        .route("/decisions", get(decisions::<S>))
        .route("/metrics", get(metrics::<S>))
        .with_state(state)
}

/// A summary of the node's state.
#[derive(Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the node.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node.
    pub region: String,
    /// `serving`, `draining`, or the reason why the node does not serve.
    pub state: String,
    /// Configuration revision in force.
    pub revision: u64,
    /// Time since the latest contact with the platform, in milliseconds.
    pub platform_age_ms: u32,
    /// Whether the node is a configuration relay of its zone.
    pub relay: bool,
    /// Number of client sessions.
    pub sessions: usize,
    /// Number of running requests and open transactions that the node serves as
    /// owner.
    pub owner_load: u64,
    /// Latest report of each zone.
    pub zones: Vec<ZoneRow>,
}

/// The latest report of a zone.
#[derive(Debug, Serialize, Deserialize)]
pub struct ZoneRow {
    /// Name of the zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Age of the report, in milliseconds.
    pub age_ms: u32,
    /// Time between the zone's latest contact with the platform and the report, in
    /// milliseconds.
    pub platform_age_ms: u32,
}

async fn status<S: Store>(State(state): SharedState<S>) -> Json<StatusReport> {
    let gateway = &state.gateway;
    let view = gateway.control.view();
    let serving_state = match view.may_serve(clock::now()) {
        _ if gateway.is_draining() => "draining".to_owned(),
        Ok(()) => "serving".to_owned(),
        Err(reason) => reason.to_string(),
    };
    let zones = view
        .zone_reports()
        .into_iter()
        .map(|report| ZoneRow {
            zone: report.zone,
            region: report.region,
            age_ms: report.age_ms,
            platform_age_ms: report.platform_age_ms,
        })
        .collect();
    Json(StatusReport {
        node: gateway.settings.name.clone(),
        zone: gateway.settings.zone.clone(),
        region: gateway.settings.region.clone(),
        state: serving_state,
        revision: gateway.control.config().revision,
        platform_age_ms: view.platform_age_ms(),
        relay: view.is_relay(),
        sessions: gateway.open_session_count(),
        owner_load: gateway.owner.load(),
        zones,
    })
}

async fn ready<S: Store>(State(state): SharedState<S>) -> Response {
    let gateway = &state.gateway;
    match gateway.control.view().may_serve(clock::now()) {
        Ok(()) if !gateway.is_draining() => (StatusCode::OK, "ready\n").into_response(),
        Ok(()) => (StatusCode::SERVICE_UNAVAILABLE, "draining\n").into_response(),
        Err(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response(),
    }
}

/// A cluster member as this node sees it.
#[derive(Debug, Serialize, Deserialize)]
pub struct NodeRow {
    /// Name of the member.
    pub node: String,
    /// Zone of the member.
    pub zone: String,
    /// Region of the member.
    pub region: String,
    /// Advertised peer address.
    pub address: String,
    /// `alive`, `suspect` or `dead`.
    pub liveness: String,
    /// Whether the member is leaving and gets no new work.
    pub leaving: bool,
    /// Incarnation number, which grows with each restart.
    pub incarnation: u64,
}

async fn nodes<S: Store>(State(state): SharedState<S>) -> Json<Vec<NodeRow>> {
    let view = state.gateway.control.view();
    let rows = view.members().iter().map(|record| NodeRow {
        node: record.node.clone(),
        zone: record.zone.clone(),
        region: record.region.clone(),
        address: record.address.clone(),
        liveness: match record.liveness {
            Liveness::Alive => "alive",
            Liveness::Suspect => "suspect",
            Liveness::Dead => "dead",
        }
        .to_owned(),
        leaving: record.leaving == 1,
        incarnation: record.incarnation,
    });
    Json(rows.collect())
}

/// A back-end instance as this node sees it.
#[derive(Debug, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Database group.
    pub group: String,
    /// Name of the instance.
    pub instance: String,
    /// Zone of the instance.
    pub zone: String,
    /// Node that owns the instance; empty if there is none.
    pub owner: String,
    /// `primary`, `replica` or `unknown`.
    pub role: String,
    /// Log position, formatted as `term:position`; empty if unknown.
    pub position: String,
    /// Replication lag behind the primary, in milliseconds.
    pub lag_ms: Option<u64>,
    /// Whether the instance is leaving and gets no new work.
    pub leaving: bool,
}

async fn groups<S: Store>(State(state): SharedState<S>) -> Json<Vec<InstanceRow>> {
    let gateway = &state.gateway;
    let config = gateway.control.config();
    let view = gateway.control.view();
    let monitors: BTreeMap<_, _> = gateway.owner.monitors().into_iter().collect();
    let now = clock::now();
    let mut rows = Vec::new();
    for (name, spec) in &config.groups {
        let snapshot = monitors.get(name).map(|monitor| monitor.snapshot());
        for instance in &spec.instances {
            let owner = view.owner(&instance.name, &instance.zone, &instance.region);
            let status = snapshot.as_ref().and_then(|group| group.status(&instance.name));
            let primary = snapshot
                .as_ref()
                .and_then(|group| group.primary(now))
                .is_some_and(|(primary, _)| *primary == instance.name);
            let role = match status {
                None => "unknown",
                Some(_) if primary => "primary",
                Some(_) => "replica",
            };
            let lag_ms = snapshot
                .as_ref()
                .zip(status)
                .and_then(|(group, (_, status))| group.staleness_ms(now, status.position, &status.history));
            rows.push(InstanceRow {
                group: name.0.clone(),
                instance: instance.name.0.clone(),
                zone: instance.zone.0.clone(),
                owner: owner.map(|owner| owner.0).unwrap_or_default(),
                role: role.to_owned(),
                position: status
                    .map(|(_, status)| status.position.to_string())
                    .unwrap_or_default(),
                lag_ms,
                leaving: config.is_leaving(name, &instance.name),
            });
        }
    }
    Json(rows)
}

/// The connection pool of an instance on this node.
#[derive(Debug, Serialize, Deserialize)]
pub struct PoolRow {
    /// Name of the instance.
    pub instance: String,
    /// Maximum number of batches running at the same time.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: usize,
}

async fn pools<S: Store>(State(state): SharedState<S>) -> Json<Vec<PoolRow>> {
    let mut rows = Vec::new();
    for (instance, pool) in state.gateway.owner.pools() {
        let (running, queued) = pool.load().await;
        rows.push(PoolRow {
            instance: instance.0,
            slots: pool.limits.slots,
            connections: pool.limits.connections,
            running,
            queued,
        });
    }
    Json(rows)
}

/// The effective settings of a tenant.
#[derive(Debug, Serialize, Deserialize)]
pub struct TenantRow {
    /// Name of the tenant.
    pub tenant: String,
    /// Database group of the tenant.
    pub group: String,
    /// Maximum staleness of reads, in milliseconds.
    pub staleness_ms: u64,
    /// Maximum wait for a replica to catch up, in milliseconds.
    pub replica_wait_ms: u64,
    /// Maximum wait for a primary, in milliseconds.
    pub hold_ms: u64,
    /// Weight in the admission queues.
    pub weight: u32,
    /// Policy that selects the instances for reads.
    pub read_policy: ReadPolicy,
    /// Regions in which the tenant's statements may run; `any` for all.
    pub allowed_regions: String,
}

async fn tenants<S: Store>(State(state): SharedState<S>) -> Json<Vec<TenantRow>> {
    let config = state.gateway.control.config();
    let rows = config.tenants.values().map(|settings| TenantRow {
        tenant: settings.name.0.clone(),
        group: settings.group.0.clone(),
        staleness_ms: settings.staleness_ms,
        replica_wait_ms: settings.replica_wait_ms,
        hold_ms: settings.hold_ms,
        weight: settings.weight,
        read_policy: settings.read_policy,
        allowed_regions: settings.allowed_regions.to_string(),
    });
    Json(rows.collect())
}

/// A configuration document.
#[derive(Debug, Serialize, Deserialize)]
pub struct DocumentRow {
    /// Kind and name, as `kind/name`.
    pub key: String,
    /// Revision of the latest change.
    pub revision: u64,
    /// Content as TOML.
    pub body: String,
}

/// The body of an error response.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Error message.
    pub error: String,
    /// On a conflict, the document's current revision.
    #[serde(default)]
    pub current_revision: Option<u64>,
    /// On a conflict, the document's current content.
    #[serde(default)]
    pub current: Option<String>,
    /// On a conflict, the rejected content.
    #[serde(default)]
    pub wanted: Option<String>,
}

fn error_response(status: StatusCode, error: String) -> Response {
    let body = ErrorBody {
        error,
        current_revision: None,
        current: None,
        wanted: None,
    };
    (status, Json(body)).into_response()
}

fn unknown_kind(kind: &str) -> Response {
    let error = format!("kind {kind:?} is not one of group, template, tenant");
    error_response(StatusCode::NOT_FOUND, error)
}

async fn list_documents<S: Store>(State(state): SharedState<S>, Path(kind): Path<String>) -> Response {
    let Some(kind) = DocumentKind::from_name(&kind) else {
        return unknown_kind(&kind);
    };
    let view = state.gateway.control.view();
    let rows: Vec<DocumentRow> = view
        .config()
        .of_kind(kind)
        .map(|document| DocumentRow {
            key: document.key.clone(),
            revision: document.revision,
            body: document.body.clone(),
        })
        .collect();
    Json(rows).into_response()
}

async fn get_document<S: Store>(
    State(state): SharedState<S>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    let Some(kind) = DocumentKind::from_name(&kind) else {
        return unknown_kind(&kind);
    };
    let view = state.gateway.control.view();
    match view.config().document(&kind.key(&name)) {
        Some(document) => Json(DocumentRow {
            key: document.key.clone(),
            revision: document.revision,
            body: document.body.clone(),
        })
        .into_response(),
        None => error_response(StatusCode::NOT_FOUND, format!("no {} named {name}", kind.name())),
    }
}

/// The body of a request to change a document.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Identifies the change, so that a repeated request is not applied twice.
    pub change_id: String,
    /// Revision that the change is based on; none for the revision stored now.
    #[serde(default)]
    pub expected_revision: Option<u64>,
    /// New content as TOML; none to delete the document.
    #[serde(default)]
    pub body: Option<String>,
}

/// The response to a stored change.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredBody {
    /// Revision that the change created.
    pub revision: u64,
}

async fn put_document<S: Store>(
    State(state): SharedState<S>,
    Path((kind, name)): Path<(String, String)>,
    Json(body): Json<ChangeBody>,
) -> Response {
    let kind = match DocumentKind::from_name(&kind) {
        Some(kind) if kind != DocumentKind::Machine => kind,
        _ => return unknown_kind(&kind),
    };
    if body.change_id.is_empty() {
        return error_response(StatusCode::BAD_REQUEST, "change_id must not be empty".to_owned());
    }
    let requested = Change {
        key: kind.key(&name),
        change_id: body.change_id,
        expected_revision: body.expected_revision,
        body: body.body,
    };
    match store_change(&state.store, &state.keys, &requested).await {
        Ok(revision) => Json(StoredBody { revision }).into_response(),
        Err(error) => change_error(error),
    }
}

fn change_error(error: ChangeError) -> Response {
    let text = error.to_string();
    match error {
        ChangeError::Invalid(_) => error_response(StatusCode::UNPROCESSABLE_ENTITY, text),
        ChangeError::NotFound(_) => error_response(StatusCode::NOT_FOUND, text),
        ChangeError::Unavailable(_) => error_response(StatusCode::SERVICE_UNAVAILABLE, text),
        ChangeError::Unknown { .. } => error_response(StatusCode::GATEWAY_TIMEOUT, text),
        ChangeError::Conflict {
            current_revision,
            current,
            wanted,
        } => {
            let body = ErrorBody {
                error: text,
                current_revision: Some(current_revision),
                current: Some(current),
                wanted: Some(wanted),
            };
            (StatusCode::CONFLICT, Json(body)).into_response()
        }
    }
}

/// Query parameters of `/standings`.
#[derive(Debug, Deserialize)]
pub struct StandingsQuery {
    /// Revision to report on.
    pub revision: u64,
}

/// The rollout state of a configuration revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct StandingsReport {
    /// Number of nodes that have the revision in force.
    pub in_force: usize,
    /// Number of nodes without the revision that have stopped serving.
    pub stopped: usize,
    /// Names of nodes not known to have the revision or to have stopped.
    pub pending: Vec<String>,
}

async fn standings<S: Store>(State(state): SharedState<S>, Query(query): Query<StandingsQuery>) -> Response {
    let standings_query = GetStandings {
        revision: query.revision,
    };
    let Ok(standings) = state.gateway.control.actor.send(standings_query).await else {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "node is stopping".to_owned());
    };
    let count = |wanted| standings.values().filter(|standing| **standing == wanted).count();
    Json(StandingsReport {
        in_force: count(RolloutState::InForce),
        stopped: count(RolloutState::Stopped),
        pending: standings
            .iter()
            .filter(|(_, standing)| **standing == RolloutState::Pending)
            .map(|(node, _)| node.clone())
            .collect(),
    })
    .into_response()
}

/// The body of a request to explain a routing decision.
#[derive(Debug, Serialize, Deserialize)]
pub struct ExplainBody {
    /// Name of the tenant.
    pub tenant: String,
    /// SQL statement to explain.
    pub statement: String,
}

async fn explain<S: Store>(State(state): SharedState<S>, Json(body): Json<ExplainBody>) -> Response {
    match state.gateway.explain(&body.tenant, &body.statement) {
        Some(explanation) => Json(explanation).into_response(),
        None => error_response(StatusCode::NOT_FOUND, format!("no tenant named {}", body.tenant)),
    }
}

async fn drain<S: Store>(State(state): SharedState<S>) -> StatusCode {
    let _ = state.drain.try_send(());
    StatusCode::ACCEPTED
}

async fn decisions<S: Store>(State(state): SharedState<S>) -> Response {
    let receiver = state.gateway.decisions.subscribe();
    let stream = futures::stream::unfold(receiver, |mut receiver| async move {
        loop {
            match receiver.recv().await {
                Ok(decision) => {
                    let mut line = serde_json::to_string(&decision).unwrap_or_default();
                    line.push('\n');
                    return Some((Ok::<_, std::convert::Infallible>(line), receiver));
                }
                Err(tokio::sync::broadcast::error::RecvError::Lagged(_)) => {}
                Err(tokio::sync::broadcast::error::RecvError::Closed) => return None,
            }
        }
    });
    Body::from_stream(stream.boxed()).into_response()
}

async fn metrics<S: Store>(State(state): SharedState<S>) -> String {
    state.gateway.metrics.encode()
}
