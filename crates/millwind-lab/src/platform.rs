//! Simulated key-value service of the platform: an in-memory subset of etcd with
//! a rate limit and injected outages, delays and lost responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use millwind_store::messages::{
    Compare, CompareOperand, CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, Event,
    EventType, KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp, RequestOpKind,
    ResponseHeader, ResponseOp, ResponseOpKind, TxnRequest, TxnResponse, WatchCreateRequest, WatchRequest,
    WatchRequestKind, WatchResponse,
};
use millwind_store::service::{KeyValueServer, KeyValueService, WatchServer, WatchStream};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

/// Injected faults and limits, as accepted by `/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlatformFaults {
    /// Whether all calls fail after a delay and watches deliver nothing.
    #[serde(default)]
    pub outage: bool,
    /// Delay added to every call, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but return an error.
    #[serde(default)]
    pub lose_answers: u32,
    /// Rate limit in calls per second; zero for no limit.
    #[serde(default)]
    pub calls_per_second: u32,
}

/// State of the service, as returned by `/report`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlatformReport {
    /// Current store revision.
    pub revision: i64,
    /// Number of calls, including rejected calls.
    pub calls: u64,
    /// Number of calls rejected by the rate limit.
    pub refused: u64,
    /// Number of watches opened.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    events: Vec<Event>,
    report: PlatformReport,
    window_start: Option<Instant>,
    window_calls: u32,
}

/// The simulated service; clones share all state.
#[derive(Debug, Clone)]
pub struct Platform {
    state: Arc<Mutex<StoreState>>,
    faults: Arc<Mutex<PlatformFaults>>,
    changed: Arc<watch::Sender<i64>>,
}

/// Time until a call fails during an outage or after a lost response.
const FAILURE_DELAY: Duration = Duration::from_secs(5);
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Platform {
    /// Serves the key-value service on `listen` and the control API on `control`.
    /// Fails if an address cannot be bound.
    pub async fn start(listen: SocketAddr, control: SocketAddr) -> std::io::Result<Arc<Platform>> {
        let platform = Arc::new(Platform {
            state: Arc::default(),
            faults: Arc::default(),
            changed: Arc::new(watch::channel(0).0),
        });
        let listener = TcpListener::bind(listen).await?;
        let control_listener = TcpListener::bind(control).await?;
        let server = KeyValueServer::new(platform.clone());
        tokio::spawn(async move {
            let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
            let served = tonic::transport::Server::builder()
                .add_service(server.clone())
                .add_service(WatchServer(server))
                .serve_with_incoming(incoming)
                .await;
            log::error!("event=platform_stopped result={served:?}");
        });
        let router = Router::new()
            .route("/faults", post(set_faults))
            .route("/report", get(report))
            .with_state(platform.clone());
        tokio::spawn(async move {
            let _ = axum::serve(control_listener, router).await;
        });
        Ok(platform)
    }

    fn state(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> PlatformFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies the rate limit, outage and delay; fails if the call must not proceed.
    async fn apply_faults(&self) -> Result<(), Status> {
        let faults = self.faults();
        self.count_call(faults.calls_per_second)?;
        if faults.outage {
            tokio::time::sleep(FAILURE_DELAY).await;
            return Err(Status::unavailable("simulated outage"));
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        Ok(())
    }

    /// Counts a call; fails if the limit of the current second is exceeded.
    fn count_call(&self, limit: u32) -> Result<(), Status> {
        let mut state = self.state();
        state.report.calls += 1;
        let now = Instant::now();
        let window_expired = state
            .window_start
            .is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1));
        if window_expired {
            state.window_start = Some(now);
            state.window_calls = 0;
        }
        state.window_calls += 1;
        if limit > 0 && state.window_calls > limit {
            state.report.refused += 1;
            return Err(Status::resource_exhausted("rate limit exceeded"));
        }
        Ok(())
    }

    /// Fails after a completed write if a lost response is to be simulated.
    async fn maybe_lose_response(&self) -> Result<(), Status> {
        let lose_response = {
            let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
            let lose_response = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            lose_response
        };
        if lose_response {
            tokio::time::sleep(FAILURE_DELAY).await;
            return Err(Status::unavailable("simulated loss of the response"));
        }
        Ok(())
    }
}

async fn set_faults(State(platform): State<Arc<Platform>>, Json(faults): Json<PlatformFaults>) {
    *platform.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
}

async fn report(State(platform): State<Arc<Platform>>) -> Json<PlatformReport> {
    let state = platform.state();
    Json(PlatformReport {
        revision: state.revision,
        ..state.report.clone()
    })
}

impl StoreState {
    fn header(&self) -> Option<ResponseHeader> {
        Some(ResponseHeader {
            revision: self.revision,
            ..ResponseHeader::default()
        })
    }

    fn range(&self, request: &RangeRequest) -> RangeResponse {
        let kvs: Vec<KeyValue> = self
            .keys
            .iter()
            .filter(|(key, _)| in_range(key, &request.key, &request.range_end))
            .map(|(_, kv)| kv.clone())
            .collect();
        RangeResponse {
            header: self.header(),
            count: kvs.len() as i64,
            kvs,
            more: false,
        }
    }

    fn put(&mut self, request: PutRequest, revision: i64) {
        let held = self.keys.get(&request.key);
        let kv = KeyValue {
            create_revision: held.map_or(revision, |kv| kv.create_revision),
            version: held.map_or(1, |kv| kv.version + 1),
            mod_revision: revision,
            key: request.key.clone(),
            value: request.value,
            lease: request.lease,
        };
        self.keys.insert(request.key, kv.clone());
        self.events.push(Event {
            r#type: EventType::Put as i32,
            kv: Some(kv),
        });
    }

    fn delete(&mut self, request: &DeleteRangeRequest, revision: i64) -> i64 {
        let deleted_keys: Vec<Vec<u8>> = self
            .keys
            .keys()
            .filter(|key| in_range(key, &request.key, &request.range_end))
            .cloned()
            .collect();
        for key in &deleted_keys {
            self.keys.remove(key);
            self.events.push(Event {
                r#type: EventType::Delete as i32,
                kv: Some(KeyValue {
                    key: key.clone(),
                    mod_revision: revision,
                    ..KeyValue::default()
                }),
            });
        }
        deleted_keys.len() as i64
    }

    /// Evaluates one condition of a transaction.
    fn compare_holds(&self, compare: &Compare) -> bool {
        let held = self.keys.get(&compare.key);
        let number = |field: fn(&KeyValue) -> i64| held.map_or(0, field);
        let ordering = match (&compare.operand, CompareTarget::try_from(compare.target)) {
            (Some(CompareOperand::ModRevision(wanted)), Ok(CompareTarget::Mod)) => {
                number(|kv| kv.mod_revision).cmp(wanted)
            }
            (Some(CompareOperand::CreateRevision(wanted)), Ok(CompareTarget::Create)) => {
                number(|kv| kv.create_revision).cmp(wanted)
            }
            (Some(CompareOperand::Version(wanted)), Ok(CompareTarget::Version)) => {
                number(|kv| kv.version).cmp(wanted)
            }
            _ => return false,
        };
        match CompareResult::try_from(compare.result) {
            Ok(CompareResult::Equal) => ordering.is_eq(),
            Ok(CompareResult::Greater) => ordering.is_gt(),
            Ok(CompareResult::Less) => ordering.is_lt(),
            Ok(CompareResult::NotEqual) => ordering.is_ne(),
            Err(_) => false,
        }
    }

    /// Returns the events after `revision` in the range of a watch.
    fn events_after(&self, revision: i64, create: &WatchCreateRequest) -> Vec<Event> {
        self.events
            .iter()
            .filter(|event| {
                event.kv.as_ref().is_some_and(|kv| {
                    kv.mod_revision > revision && in_range(&kv.key, &create.key, &create.range_end)
                })
            })
            .cloned()
            .collect()
    }

    fn execute(&mut self, operation: RequestOp, revision: i64) -> ResponseOp {
        let response = operation.request.map(|request| match request {
            RequestOpKind::Range(range) => ResponseOpKind::Range(self.range(&range)),
            RequestOpKind::Put(put) => {
                self.put(put, revision);
                ResponseOpKind::Put(PutResponse { header: None })
            }
            RequestOpKind::DeleteRange(delete) => ResponseOpKind::DeleteRange(DeleteRangeResponse {
                header: None,
                deleted: self.delete(&delete, revision),
            }),
        });
        ResponseOp { response }
    }
}

/// Whether a key is in an etcd range: no end means the key alone, a zero byte
/// means no upper bound.
fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == start,
        [0] => key >= start,
        end => key >= start && key < end,
    }
}

impl KeyValueService for Platform {
    async fn range(&self, request: RangeRequest) -> Result<RangeResponse, Status> {
        self.apply_faults().await?;
        Ok(self.state().range(&request))
    }

    async fn put(&self, request: PutRequest) -> Result<PutResponse, Status> {
        self.apply_faults().await?;
        let (header, revision) = {
            let mut state = self.state();
            state.revision += 1;
            let revision = state.revision;
            state.put(request, revision);
            (state.header(), revision)
        };
        self.changed.send_replace(revision);
        self.maybe_lose_response().await?;
        Ok(PutResponse { header })
    }

    async fn delete_range(&self, request: DeleteRangeRequest) -> Result<DeleteRangeResponse, Status> {
        self.apply_faults().await?;
        let (response, revision) = {
            let mut state = self.state();
            state.revision += 1;
            let revision = state.revision;
            let deleted = state.delete(&request, revision);
            let header = state.header();
            (DeleteRangeResponse { header, deleted }, revision)
        };
        self.changed.send_replace(revision);
        Ok(response)
    }

    async fn txn(&self, request: TxnRequest) -> Result<TxnResponse, Status> {
        self.apply_faults().await?;
        let (response, revision) = {
            let mut state = self.state();
            let succeeded = request.compare.iter().all(|compare| state.compare_holds(compare));
            let operations = if succeeded {
                request.success
            } else {
                request.failure
            };
            let writes = operations
                .iter()
                .any(|operation| !matches!(operation.request, Some(RequestOpKind::Range(_))));
            if writes {
                state.revision += 1;
            }
            let revision = state.revision;
            let responses = operations
                .into_iter()
                .map(|operation| state.execute(operation, revision))
                .collect();
            let header = state.header();
            let response = TxnResponse {
                header,
                succeeded,
                responses,
            };
            (response, revision)
        };
        self.changed.send_replace(revision);
        if response.succeeded {
            self.maybe_lose_response().await?;
        }
        Ok(response)
    }

    async fn watch(&self, mut requests: Streaming<WatchRequest>) -> Result<WatchStream, Status> {
        self.apply_faults().await?;
        let first = requests
            .next()
            .await
            .ok_or_else(|| Status::invalid_argument("watch stream ended before its first request"))??;
        let Some(WatchRequestKind::Create(create)) = first.request else {
            return Err(Status::invalid_argument("first request must create a watch"));
        };
        self.state().report.watches += 1;
        let (sender, receiver) = mpsc::channel(64);
        tokio::spawn(serve_watch(self.clone(), create, requests, sender));
        Ok(Box::pin(ReceiverStream::new(receiver)))
    }
}

/// Serves one watch until the client closes the stream.
async fn serve_watch(
    platform: Platform,
    create: WatchCreateRequest,
    mut requests: Streaming<WatchRequest>,
    sender: mpsc::Sender<Result<WatchResponse, Status>>,
) {
    let mut changed = platform.changed.subscribe();
    let created = WatchResponse {
        header: platform.state().header(),
        created: true,
        ..WatchResponse::default()
    };
    if sender.send(Ok(created)).await.is_err() {
        return;
    }
    let mut sent = create.start_revision - 1;
    loop {
        let progress_requested = tokio::select! {
            request = requests.next() => match request {
                Some(Ok(_)) => true,
                _ => return,
            },
            changed = changed.changed() => {
                if changed.is_err() {
                    return;
                }
                false
            }
        };
        while platform.faults().outage {
            tokio::time::sleep(OUTAGE_POLL_INTERVAL).await;
        }
        let (header, events) = {
            let state = platform.state();
            let events = state.events_after(sent, &create);
            sent = state.revision;
            (state.header(), events)
        };
        let response = |events| WatchResponse {
            header: header.clone(),
            events,
            ..WatchResponse::default()
        };
        if !events.is_empty() && sender.send(Ok(response(events))).await.is_err() {
            return;
        }
        if progress_requested && sender.send(Ok(response(Vec::new()))).await.is_err() {
            return;
        }
    }
}
