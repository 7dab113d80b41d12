//! The store as an etcd v3 client.

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

/// Longest wait for the answer to one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A watch is asked for a sign of life this often.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// A watch that gives no sign of life this long after it was asked is dropped.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// A client of one etcd endpoint or several.
#[derive(Debug, Clone)]
pub struct EtcdStore {
    channel: Channel,
}

impl EtcdStore {
    /// A client that connects when first used to `endpoints` (IP number and
    /// port each).
    pub fn new(endpoints: &[std::net::SocketAddr]) -> Result<Self, StoreError> {
        let mut list = Vec::new();
        for address in endpoints {
            let endpoint = Endpoint::from_shared(format!("http://{address}"))
                .map_err(|error| StoreError::Refused(error.to_string()))?
                .connect_timeout(CALL_TIMEOUT);
            list.push(endpoint);
        }
        let channel = match list.len() {
            1 => list.remove(0).connect_lazy(),
            _ => Channel::balance_list(list.into_iter()),
        };
        Ok(EtcdStore { channel })
    }

    /// A client whose channel takes a call; until then nothing was sent.
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

    /// Lists a prefix. This library does not show the parts of an answer, so a
    /// long one has as much time as any call.
    async fn range(
        &self,
        prefix: &str,
        serializable: bool,
        silence: Duration,
    ) -> Result<Listing, StoreError> {
        let request = RangeRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: prefix_end(prefix.as_bytes()),
            serializable,
            ..RangeRequest::default()
        };
        let response: RangeResponse = self
            .unary(service::RANGE, request, silence.max(CALL_TIMEOUT))
            .await?;
        Ok(Listing {
            revision: revision_of(response.header),
            entries: response.kvs.into_iter().map(entry).collect(),
        })
    }
}

/// A call refused with these codes has not taken effect.
fn status_error(status: Status) -> StoreError {
    let text = format!("{:?}: {}", status.code(), status.message());
    match status.code() {
        Code::ResourceExhausted | Code::InvalidArgument | Code::Unauthenticated | Code::PermissionDenied => {
            StoreError::Refused(text)
        }
        _ => StoreError::NoAnswer(text),
    }
}

/// A revision of etcd, which does not tell of restores: all are of one era.
fn plain(revision: i64) -> StoreRevision {
    StoreRevision::new(0, revision as u64)
}

fn revision_of(header: Option<ResponseHeader>) -> StoreRevision {
    plain(header.unwrap_or_default().revision)
}

fn entry(kv: KeyValue) -> Entry {
    Entry {
        key: String::from_utf8_lossy(&kv.key).into_owned(),
        value: Some(kv.value),
        revision: plain(kv.mod_revision),
    }
}

impl Store for EtcdStore {
    type Watch = EtcdWatch;

    async fn list(&self, prefix: &str, silence: Duration) -> Result<Listing, StoreError> {
        self.range(prefix, false, silence).await
    }

    async fn list_serializable(&self, prefix: &str, silence: Duration) -> Result<Listing, StoreError> {
        self.range(prefix, true, silence).await
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
            asked: None,
            next_ask: Instant::now(),
        })
    }

    async fn swap(&self, conditions: &[Condition], writes: &[Write]) -> Result<Swap, StoreError> {
        let request = TxnRequest {
            compare: conditions.iter().map(compare).collect(),
            success: writes.iter().map(put).collect(),
            failure: conditions.iter().map(get).collect(),
        };
        let response: TxnResponse = self.unary(service::TXN, request, CALL_TIMEOUT).await?;
        if response.succeeded {
            let revision = revision_of(response.header);
            return Ok(Swap::Done { revision });
        }
        let current = response.responses.into_iter().flat_map(range_entries).collect();
        Ok(Swap::Conflict { current })
    }
}

fn compare(condition: &Condition) -> Compare {
    Compare {
        result: CompareResult::Equal as i32,
        target: CompareTarget::Mod as i32,
        key: condition.key.as_bytes().to_vec(),
        operand: Some(CompareOperand::ModRevision(condition.revision.number as i64)),
    }
}

fn put(write: &Write) -> RequestOp {
    RequestOp {
        request: Some(RequestOpKind::Put(PutRequest {
            key: write.key.as_bytes().to_vec(),
            value: write.value.clone(),
            lease: 0,
        })),
    }
}

fn get(condition: &Condition) -> RequestOp {
    RequestOp {
        request: Some(RequestOpKind::Range(RangeRequest {
            key: condition.key.as_bytes().to_vec(),
            ..RangeRequest::default()
        })),
    }
}

fn range_entries(response: ResponseOp) -> Vec<Entry> {
    match response.response {
        Some(ResponseOpKind::Range(range)) => range.kvs.into_iter().map(entry).collect(),
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
    /// When the sign of life under way was asked for; at most one is.
    asked: Option<Instant>,
    next_ask: Instant,
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<WatchReport, StoreError> {
        loop {
            let due = match self.asked {
                Some(asked) => asked + SILENCE_LIMIT,
                None => self.next_ask,
            };
            match timeout_at(due.into(), self.responses.message()).await {
                // The creation notice vouches for nothing: events may follow it.
                Ok(Ok(Some(response))) if response.created && response.events.is_empty() => {}
                Ok(Ok(Some(response))) => return self.report(response),
                Ok(Ok(None)) => return Err(StoreError::WatchEnded("stream closed".into())),
                Ok(Err(status)) => return Err(status_error(status)),
                Err(_) if self.asked.is_some() => {
                    return Err(StoreError::WatchEnded("silent for too long".into()));
                }
                Err(_) => self.ask().await?,
            }
        }
    }
}

impl EtcdWatch {
    async fn ask(&mut self) -> Result<(), StoreError> {
        let now = Instant::now();
        self.asked = Some(now);
        self.next_ask = now + PROGRESS_INTERVAL;
        send(
            &self.requests,
            WatchRequestKind::Progress(WatchProgressRequest {}),
        )
        .await
    }

    fn report(&mut self, response: WatchResponse) -> Result<WatchReport, StoreError> {
        if response.canceled {
            return Err(StoreError::WatchEnded(response.cancel_reason));
        }
        let header = response.header.unwrap_or_default();
        let changes: Vec<Entry> = response.events.into_iter().filter_map(change).collect();
        // A response with events vouches for those only; an empty one answers
        // the question under way and vouches for everything up to its revision.
        let newest = changes.iter().map(|entry| entry.revision).max();
        Ok(WatchReport {
            revision: newest.unwrap_or(plain(header.revision)),
            asked: if newest.is_none() { self.asked.take() } else { None },
            changes,
        })
    }
}

fn change(event: Event) -> Option<Entry> {
    let deleted = event.r#type == EventType::Delete as i32;
    let mut entry = entry(event.kv?);
    if deleted {
        entry.value = None;
    }
    Some(entry)
}
