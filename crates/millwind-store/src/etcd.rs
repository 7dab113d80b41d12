//! Implementation of [`Store`] as an etcd v3 client.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::time::{timeout, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tonic::client::Grpc;
use tonic::codegen::http::uri::PathAndQuery;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, IntoRequest, Status, Streaming};
use tonic_prost::ProstCodec;

use crate::messages::{
    Compare, CompareOperand, CompareResult, CompareTarget, Event, EventType, KeyValue, PutRequest,
    RangeRequest, RangeResponse, RequestOp, RequestOpKind, ResponseHeader, ResponseOp, ResponseOpKind,
    TxnRequest, TxnResponse, WatchCreateRequest, WatchProgressRequest, WatchRequest, WatchRequestKind,
    WatchResponse, prefix_end,
};
use crate::{
    Condition, Entry, Listing, Store, StoreError, StoreRevision, Swap, Watch, WatchReport, Write, service,
};

/// Longest wait for the response to one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without data after which a connection is checked with an HTTP/2 ping. Without pings, a
/// connection that goes silent while its peer still acknowledges at TCP level would be used for
/// all later calls.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection is closed if a ping gets no response within this time.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest interval between progress requests on a watch.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// A watch ends if a progress request gets no response within this time.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(4);

/// A client of one or more etcd endpoints.
#[derive(Debug, Clone)]
pub struct EtcdStore {
    channel: Channel,
}

impl EtcdStore {
    /// Creates a client of `endpoints`, which connects on first use.
    pub fn new(endpoints: &[std::net::SocketAddr]) -> Result<Self, StoreError> {
        let mut endpoint_list = Vec::new();
        for address in endpoints {
            let endpoint = Endpoint::from_shared(format!("http://{address}"))
                .map_err(|error| StoreError::Refused(error.to_string()))?
                .connect_timeout(CALL_TIMEOUT)
                .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
                .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
                .keep_alive_while_idle(true);
            endpoint_list.push(endpoint);
        }
        let channel = match endpoint_list.len() {
            1 => endpoint_list.remove(0).connect_lazy(),
            _ => Channel::balance_list(endpoint_list.into_iter()),
        };
        Ok(EtcdStore { channel })
    }

    /// Returns a client that is ready to send. Nothing has been sent if this fails.
    async fn ready_client(&self) -> Result<Grpc<Channel>, StoreError> {
        let mut client = Grpc::new(self.channel.clone());
        client
            .ready()
            .await
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        Ok(client)
    }

    async fn unary<Q, R>(&self, path: &'static str, request: Q, limit: Duration) -> Result<R, StoreError>
    where
        Q: prost::Message + Send + Sync + 'static,
        R: prost::Message + Default + Send + Sync + 'static,
    {
        let call = async {
            let mut client = self.ready_client().await?;
            client
                .unary(
                    request.into_request(),
                    PathAndQuery::from_static(path),
                    ProstCodec::<Q, R>::default(),
                )
                .await
                .map(|response| response.into_inner())
                .map_err(status_error)
        };
        match timeout(limit, call).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::NoAnswer("timed out".into())),
        }
    }

    /// Lists the keys under `prefix`. The gRPC client does not report partial responses, so
    /// the timeout covers the whole response.
    async fn range(
        &self,
        prefix: &str,
        serializable: bool,
        idle_timeout: Duration,
    ) -> Result<Listing, StoreError> {
        let request = RangeRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: prefix_end(prefix.as_bytes()),
            serializable,
            ..RangeRequest::default()
        };
        let response: RangeResponse = self
            .unary(service::RANGE, request, idle_timeout.max(CALL_TIMEOUT))
            .await?;
        Ok(Listing {
            revision: header_revision(response.header),
            entries: response.kvs.into_iter().map(to_entry).collect(),
        })
    }
}

/// Converts a gRPC status to an error. The listed codes mean that the call had no effect;
/// after any other the outcome is unknown.
fn status_error(status: Status) -> StoreError {
    let text = format!("{:?}: {}", status.code(), status.message());
    match status.code() {
        Code::ResourceExhausted | Code::InvalidArgument | Code::Unauthenticated | Code::PermissionDenied => {
            StoreError::Refused(text)
        }
        _ => StoreError::NoAnswer(text),
    }
}

/// Converts an etcd revision. etcd does not report restores, so the era is always zero.
fn etcd_revision(revision: i64) -> StoreRevision {
    StoreRevision::new(0, revision as u64)
}

fn header_revision(header: Option<ResponseHeader>) -> StoreRevision {
    etcd_revision(header.unwrap_or_default().revision)
}

fn to_entry(kv: KeyValue) -> Entry {
    Entry {
        key: String::from_utf8_lossy(&kv.key).into_owned(),
        value: Some(kv.value),
        revision: etcd_revision(kv.mod_revision),
    }
}

impl Store for EtcdStore {
    type Watch = EtcdWatch;

    async fn list(&self, prefix: &str, idle_timeout: Duration) -> Result<Listing, StoreError> {
        self.range(prefix, false, idle_timeout).await
    }

    async fn list_serializable(&self, prefix: &str, idle_timeout: Duration) -> Result<Listing, StoreError> {
        self.range(prefix, true, idle_timeout).await
    }

    async fn watch(&self, prefix: &str, revision: StoreRevision) -> Result<EtcdWatch, StoreError> {
        let (requests, receiver) = mpsc::channel(16);
        let create = WatchCreateRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: prefix_end(prefix.as_bytes()),
            start_revision: revision.number as i64 + 1,
            progress_notify: true,
        };
        send(&requests, WatchRequestKind::Create(create)).await?;
        let call = async {
            let mut client = self.ready_client().await?;
            client
                .streaming(
                    ReceiverStream::new(receiver).into_request(),
                    PathAndQuery::from_static(service::WATCH),
                    ProstCodec::<WatchRequest, WatchResponse>::default(),
                )
                .await
                .map_err(status_error)
        };
        let response = timeout(CALL_TIMEOUT, call)
            .await
            .map_err(|_| StoreError::NoAnswer("timed out".into()))??;
        Ok(EtcdWatch {
            requests,
            responses: response.into_inner(),
            progress_requested_at: None,
            next_progress_request: Instant::now(),
            progress_interval: PROGRESS_INTERVAL,
        })
    }

    async fn swap(&self, conditions: &[Condition], writes: &[Write]) -> Result<Swap, StoreError> {
        let request = TxnRequest {
            compare: conditions.iter().map(revision_equals).collect(),
            success: writes.iter().map(put_op).collect(),
            failure: conditions.iter().map(get_op).collect(),
        };
        let response: TxnResponse = self.unary(service::TXN, request, CALL_TIMEOUT).await?;
        if response.succeeded {
            let revision = header_revision(response.header);
            return Ok(Swap::Done { revision });
        }
        let current = response.responses.into_iter().flat_map(range_entries).collect();
        Ok(Swap::Conflict { current })
    }
}

fn revision_equals(condition: &Condition) -> Compare {
    Compare {
        result: CompareResult::Equal as i32,
        target: CompareTarget::Mod as i32,
        key: condition.key.as_bytes().to_vec(),
        operand: Some(CompareOperand::ModRevision(condition.revision.number as i64)),
    }
}

fn put_op(write: &Write) -> RequestOp {
    RequestOp {
        request: Some(RequestOpKind::Put(PutRequest {
            key: write.key.as_bytes().to_vec(),
            value: write.value.clone(),
            lease: 0,
        })),
    }
}

fn get_op(condition: &Condition) -> RequestOp {
    RequestOp {
        request: Some(RequestOpKind::Range(RangeRequest {
            key: condition.key.as_bytes().to_vec(),
            ..RangeRequest::default()
        })),
    }
}

fn range_entries(response: ResponseOp) -> Vec<Entry> {
    match response.response {
        Some(ResponseOpKind::Range(range)) => range.kvs.into_iter().map(to_entry).collect(),
        _ => Vec::new(),
    }
}

async fn send(requests: &mpsc::Sender<WatchRequest>, kind: WatchRequestKind) -> Result<(), StoreError> {
    let request = WatchRequest { request: Some(kind) };
    requests
        .send(request)
        .await
        .map_err(|_| StoreError::WatchEnded("request stream closed".into()))
}

/// A running watch on an etcd endpoint.
#[derive(Debug)]
pub struct EtcdWatch {
    requests: mpsc::Sender<WatchRequest>,
    responses: Streaming<WatchResponse>,
    /// When the outstanding progress request was sent; none if there is none.
    progress_requested_at: Option<Instant>,
    next_progress_request: Instant,
    progress_interval: Duration,
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<WatchReport, StoreError> {
        loop {
            let deadline = match self.progress_requested_at {
                Some(requested_at) => requested_at + PROGRESS_TIMEOUT,
                None => self.next_progress_request,
            };
            match timeout_at(deadline.into(), self.responses.message()).await {
                // The creation notice is not a progress report: older events may follow it.
                Ok(Ok(Some(response))) if response.created && response.events.is_empty() => {}
                Ok(Ok(Some(response))) => return self.build_report(response),
                Ok(Ok(None)) => return Err(StoreError::WatchEnded("stream closed".into())),
                Ok(Err(status)) => return Err(status_error(status)),
                Err(_) if self.progress_requested_at.is_some() => {
                    return Err(StoreError::WatchEnded("no response to a progress request".into()));
                }
                Err(_) => self.request_progress().await?,
            }
        }
    }

    fn limit_wait(&mut self, wait: Duration) {
        self.progress_interval = wait.min(PROGRESS_INTERVAL);
    }
}

impl EtcdWatch {
    async fn request_progress(&mut self) -> Result<(), StoreError> {
        let now = Instant::now();
        self.progress_requested_at = Some(now);
        self.next_progress_request = now + self.progress_interval;
        send(
            &self.requests,
            WatchRequestKind::Progress(WatchProgressRequest {}),
        )
        .await
    }

    fn build_report(&mut self, response: WatchResponse) -> Result<WatchReport, StoreError> {
        if response.canceled {
            return Err(StoreError::WatchEnded(response.cancel_reason));
        }
        let header = response.header.unwrap_or_default();
        let changes: Vec<Entry> = response.events.into_iter().filter_map(event_entry).collect();
        // A response with events confirms only the changes up to its newest event. An empty
        // one answers the progress request and confirms all changes up to its revision.
        let newest = changes.iter().map(|entry| entry.revision).max();
        Ok(WatchReport {
            revision: newest.unwrap_or(etcd_revision(header.revision)),
            asked: if newest.is_none() {
                self.progress_requested_at.take()
            } else {
                None
            },
            changes,
        })
    }
}

fn event_entry(event: Event) -> Option<Entry> {
    let deleted = event.r#type == EventType::Delete as i32;
    let mut entry = to_entry(event.kv?);
    if deleted {
        entry.value = None;
    }
    Some(entry)
}
