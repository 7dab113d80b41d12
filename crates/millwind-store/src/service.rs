//! Paths of the etcd gRPC methods, and a gRPC server for test implementations of them.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio_stream::Stream;
use tonic::body::Body;
use tonic::codegen::{BoxFuture, Service, http};
use tonic::server::{Grpc, NamedService, StreamingService, UnaryService};
use tonic::{Request, Response, Status, Streaming};
use tonic_prost::ProstCodec;

use crate::messages::{
    DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse, WatchRequest, WatchResponse,
};

/// Path of `KV.Range`.
pub const RANGE: &str = "/etcdserverpb.KV/Range";
/// Path of `KV.Put`.
pub const PUT: &str = "/etcdserverpb.KV/Put";
/// Path of `KV.DeleteRange`.
pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
/// Path of `KV.Txn`.
pub const TXN: &str = "/etcdserverpb.KV/Txn";
/// Path of `Watch.Watch`.
pub const WATCH: &str = "/etcdserverpb.Watch/Watch";

/// A stream of watch responses.
pub type WatchStream = Pin<Box<dyn Stream<Item = Result<WatchResponse, Status>> + Send>>;

/// The etcd methods that a test server implements.
pub trait KeyValueService: Send + Sync + 'static {
    /// Answers `Range`.
    fn range(&self, request: RangeRequest) -> impl Future<Output = Result<RangeResponse, Status>> + Send;
    /// Answers `Put`.
    fn put(&self, request: PutRequest) -> impl Future<Output = Result<PutResponse, Status>> + Send;
    /// Answers `DeleteRange`.
    fn delete_range(
        &self,
        request: DeleteRangeRequest,
    ) -> impl Future<Output = Result<DeleteRangeResponse, Status>> + Send;
    /// Answers `Txn`.
    fn txn(&self, request: TxnRequest) -> impl Future<Output = Result<TxnResponse, Status>> + Send;
    /// Answers `Watch`.
    fn watch(
        &self,
        requests: Streaming<WatchRequest>,
    ) -> impl Future<Output = Result<WatchStream, Status>> + Send;
}

/// Serves a [`KeyValueService`] over gRPC.
#[derive(Debug)]
pub struct KeyValueServer<T> {
    inner: Arc<T>,
}

impl<T> KeyValueServer<T> {
    /// Creates a server that calls `inner`.
    pub fn new(inner: Arc<T>) -> Self {
        KeyValueServer { inner }
    }
}

impl<T> Clone for KeyValueServer<T> {
    fn clone(&self) -> Self {
        KeyValueServer {
            inner: self.inner.clone(),
        }
    }
}

/// Serves the methods of a [`KeyValueServer`] under the name of the `Watch` service.
#[derive(Debug)]
pub struct WatchServer<T>(pub KeyValueServer<T>);

impl<T> Clone for WatchServer<T> {
    fn clone(&self) -> Self {
        WatchServer(self.0.clone())
    }
}

impl<T> NamedService for KeyValueServer<T> {
    const NAME: &'static str = "etcdserverpb.KV";
}

impl<T> NamedService for WatchServer<T> {
    const NAME: &'static str = "etcdserverpb.Watch";
}

struct RangeMethod<T>(Arc<T>);
struct PutMethod<T>(Arc<T>);
struct DeleteRangeMethod<T>(Arc<T>);
struct TxnMethod<T>(Arc<T>);
struct WatchMethod<T>(Arc<T>);

macro_rules! unary_method {
    ($method:ident, $request:ty, $response:ty, $call:ident) => {
        impl<T: KeyValueService> UnaryService<$request> for $method<T> {
            type Response = $response;
            type Future = BoxFuture<Response<$response>, Status>;

            fn call(&mut self, request: Request<$request>) -> Self::Future {
                let service = self.0.clone();
                Box::pin(async move {
                    let response = service.$call(request.into_inner()).await?;
                    Ok(Response::new(response))
                })
            }
        }
    };
}

unary_method!(RangeMethod, RangeRequest, RangeResponse, range);
unary_method!(PutMethod, PutRequest, PutResponse, put);
unary_method!(
    DeleteRangeMethod,
    DeleteRangeRequest,
    DeleteRangeResponse,
    delete_range
);
unary_method!(TxnMethod, TxnRequest, TxnResponse, txn);

impl<T: KeyValueService> StreamingService<WatchRequest> for WatchMethod<T> {
    type Response = WatchResponse;
    type ResponseStream = WatchStream;
    type Future = BoxFuture<Response<WatchStream>, Status>;

    fn call(&mut self, request: Request<Streaming<WatchRequest>>) -> Self::Future {
        let service = self.0.clone();
        Box::pin(async move {
            let stream = service.watch(request.into_inner()).await?;
            Ok(Response::new(stream))
        })
    }
}

impl<T: KeyValueService> Service<http::Request<Body>> for KeyValueServer<T> {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Self::Error>;

    fn poll_ready(&mut self, _context: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let inner = self.inner.clone();
        Box::pin(async move {
            let response = match request.uri().path() {
                RANGE => {
                    Grpc::new(ProstCodec::default())
                        .unary(RangeMethod(inner), request)
                        .await
                }
                PUT => {
                    Grpc::new(ProstCodec::default())
                        .unary(PutMethod(inner), request)
                        .await
                }
                TXN => {
                    Grpc::new(ProstCodec::default())
                        .unary(TxnMethod(inner), request)
                        .await
                }
                DELETE_RANGE => {
                    Grpc::new(ProstCodec::default())
                        .unary(DeleteRangeMethod(inner), request)
                        .await
                }
                WATCH => {
                    Grpc::new(ProstCodec::default())
                        .streaming(WatchMethod(inner), request)
                        .await
                }
                path => Status::unimplemented(format!("unknown method {path}")).into_http(),
            };
            Ok(response)
        })
    }
}

impl<T: KeyValueService> Service<http::Request<Body>> for WatchServer<T> {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Self::Error>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        self.0.call(request)
    }
}
