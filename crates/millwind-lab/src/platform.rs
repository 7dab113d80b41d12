//! Stand-in of the platform's key-value service: the etcd subset in memory,
//! with a rate limit, outages, slowness and lost answers.

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

/// Faults and limits, set by the lab.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlatformFaults {
    /// No call is answered and watches are silent.
    #[serde(default)]
    pub outage: bool,
    /// Every call takes this much longer, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// This many writes take effect without an answer.
    #[serde(default)]
    pub lose_answers: u32,
    /// Calls per second; zero for no limit.
    #[serde(default)]
    pub calls_per_second: u32,
}

/// What the lab reads of the stand-in.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlatformReport {
    /// Store revision.
    pub revision: i64,
    /// Calls in all.
    pub calls: u64,
    /// Calls refused by the rate limit.
    pub refused: u64,
    /// Watches opened.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct Content {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    events: Vec<Event>,
    report: PlatformReport,
    window_start: Option<Instant>,
    window_calls: u32,
}

/// The stand-in; clones share everything.
#[derive(Debug, Clone)]
pub struct Platform {
    content: Arc<Mutex<Content>>,
    faults: Arc<Mutex<PlatformFaults>>,
    changed: Arc<watch::Sender<i64>>,
}

/// How long a call hangs in an outage before it fails.
const OUTAGE_HANG: Duration = Duration::from_secs(5);
const OUTAGE_CHECK: Duration = Duration::from_millis(50);

impl Platform {
    /// Starts the service on `listen` and its control on `control`.
    pub async fn start(listen: SocketAddr, control: SocketAddr) -> std::io::Result<Arc<Platform>> {
        let platform = Arc::new(Platform {
            content: Arc::default(),
            faults: Arc::default(),
            changed: Arc::new(watch::channel(0).0),
        });
        let listener = TcpListener::bind(listen).await?;
        let operators = TcpListener::bind(control).await?;
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
            let _ = axum::serve(operators, router).await;
        });
        Ok(platform)
    }

    fn content(&self) -> std::sync::MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> PlatformFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What every call suffers first.
    async fn suffer(&self) -> Result<(), Status> {
        let faults = self.faults();
        self.count(faults.calls_per_second)?;
        if faults.outage {
            tokio::time::sleep(OUTAGE_HANG).await;
            return Err(Status::unavailable("outage"));
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        Ok(())
    }

    fn count(&self, limit: u32) -> Result<(), Status> {
        let mut content = self.content();
        content.report.calls += 1;
        let now = Instant::now();
        let fresh = content
            .window_start
            .is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1));
        if fresh {
            content.window_start = Some(now);
            content.window_calls = 0;
        }
        content.window_calls += 1;
        if limit > 0 && content.window_calls > limit {
            content.report.refused += 1;
            return Err(Status::resource_exhausted("too many calls"));
        }
        Ok(())
    }

    /// Loses the answer to a write that took effect, if the lab wants so.
    async fn maybe_lose_answer(&self) -> Result<(), Status> {
        let lose = {
            let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
            let lose = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            lose
        };
        if lose {
            tokio::time::sleep(OUTAGE_HANG).await;
            return Err(Status::unavailable("answer lost"));
        }
        Ok(())
    }
}

async fn set_faults(State(platform): State<Arc<Platform>>, Json(faults): Json<PlatformFaults>) {
    *platform.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
}

async fn report(State(platform): State<Arc<Platform>>) -> Json<PlatformReport> {
    let content = platform.content();
    Json(PlatformReport {
        revision: content.revision,
        ..content.report.clone()
    })
}

impl Content {
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
        let gone: Vec<Vec<u8>> = self
            .keys
            .keys()
            .filter(|key| in_range(key, &request.key, &request.range_end))
            .cloned()
            .collect();
        for key in &gone {
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
        gone.len() as i64
    }

    fn holds(&self, compare: &Compare) -> bool {
        let held = self.keys.get(&compare.key);
        let number = |of: fn(&KeyValue) -> i64| held.map_or(0, of);
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

    fn run(&mut self, operation: RequestOp, revision: i64) -> ResponseOp {
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

fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == start,
        [0] => key >= start,
        end => key >= start && key < end,
    }
}

impl KeyValueService for Platform {
    async fn range(&self, request: RangeRequest) -> Result<RangeResponse, Status> {
        self.suffer().await?;
        Ok(self.content().range(&request))
    }

    async fn put(&self, request: PutRequest) -> Result<PutResponse, Status> {
        self.suffer().await?;
        let (header, revision) = {
            let mut content = self.content();
            content.revision += 1;
            let revision = content.revision;
            content.put(request, revision);
            (content.header(), revision)
        };
        self.changed.send_replace(revision);
        self.maybe_lose_answer().await?;
        Ok(PutResponse { header })
    }

    async fn delete_range(&self, request: DeleteRangeRequest) -> Result<DeleteRangeResponse, Status> {
        self.suffer().await?;
        let (response, revision) = {
            let mut content = self.content();
            content.revision += 1;
            let revision = content.revision;
            let deleted = content.delete(&request, revision);
            let header = content.header();
            (DeleteRangeResponse { header, deleted }, revision)
        };
        self.changed.send_replace(revision);
        Ok(response)
    }

    async fn txn(&self, request: TxnRequest) -> Result<TxnResponse, Status> {
        self.suffer().await?;
        let (response, revision) = {
            let mut content = self.content();
            let succeeded = request.compare.iter().all(|compare| content.holds(compare));
            let operations = if succeeded {
                request.success
            } else {
                request.failure
            };
            let writes = operations
                .iter()
                .any(|operation| !matches!(operation.request, Some(RequestOpKind::Range(_))));
            if writes {
                content.revision += 1;
            }
            let revision = content.revision;
            let responses = operations
                .into_iter()
                .map(|operation| content.run(operation, revision))
                .collect();
            let header = content.header();
            let response = TxnResponse {
                header,
                succeeded,
                responses,
            };
            (response, revision)
        };
        self.changed.send_replace(revision);
        if response.succeeded {
            self.maybe_lose_answer().await?;
        }
        Ok(response)
    }

    async fn watch(&self, mut requests: Streaming<WatchRequest>) -> Result<WatchStream, Status> {
        self.suffer().await?;
        let first = requests
            .next()
            .await
            .ok_or_else(|| Status::invalid_argument("no request"))??;
        let Some(WatchRequestKind::Create(create)) = first.request else {
            return Err(Status::invalid_argument("first request must create a watch"));
        };
        self.content().report.watches += 1;
        let (sender, receiver) = mpsc::channel(64);
        tokio::spawn(feed(self.clone(), create, requests, sender));
        Ok(Box::pin(ReceiverStream::new(receiver)))
    }
}

/// Feeds one watch until its client goes.
async fn feed(
    platform: Platform,
    create: WatchCreateRequest,
    mut requests: Streaming<WatchRequest>,
    sender: mpsc::Sender<Result<WatchResponse, Status>>,
) {
    let mut changed = platform.changed.subscribe();
    let created = WatchResponse {
        header: platform.content().header(),
        created: true,
        ..WatchResponse::default()
    };
    if sender.send(Ok(created)).await.is_err() {
        return;
    }
    let mut sent = create.start_revision - 1;
    loop {
        let progress = tokio::select! {
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
            tokio::time::sleep(OUTAGE_CHECK).await;
        }
        let (header, events) = {
            let content = platform.content();
            let events = content.events_after(sent, &create);
            sent = content.revision;
            (content.header(), events)
        };
        let response = |events| WatchResponse {
            header: header.clone(),
            events,
            ..WatchResponse::default()
        };
        if !events.is_empty() && sender.send(Ok(response(events))).await.is_err() {
            return;
        }
        if progress && sender.send(Ok(response(Vec::new()))).await.is_err() {
            return;
        }
    }
}
