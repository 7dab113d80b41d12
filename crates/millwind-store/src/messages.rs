//! The messages of the etcd v3 API that the client uses, with the field numbers of the
//! published protocol definition.

#![allow(missing_docs, reason = "fields carry the names of the published interface")]

use prost::{Enumeration, Message, Oneof};

/// `ResponseHeader`.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseHeader {
    #[prost(uint64, tag = "1")]
    pub cluster_id: u64,
    #[prost(uint64, tag = "2")]
    pub member_id: u64,
    #[prost(int64, tag = "3")]
    pub revision: i64,
    #[prost(uint64, tag = "4")]
    pub raft_term: u64,
}

/// `KeyValue`.
#[derive(Clone, PartialEq, Message)]
pub struct KeyValue {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(int64, tag = "2")]
    pub create_revision: i64,
    #[prost(int64, tag = "3")]
    pub mod_revision: i64,
    #[prost(int64, tag = "4")]
    pub version: i64,
    #[prost(bytes = "vec", tag = "5")]
    pub value: Vec<u8>,
    #[prost(int64, tag = "6")]
    pub lease: i64,
}

/// `Event.EventType`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EventType {
    Put = 0,
    Delete = 1,
}

/// `Event`.
#[derive(Clone, PartialEq, Message)]
pub struct Event {
    #[prost(enumeration = "EventType", tag = "1")]
    pub r#type: i32,
    #[prost(message, optional, tag = "2")]
    pub kv: Option<KeyValue>,
}

/// `RangeRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct RangeRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub limit: i64,
    #[prost(int64, tag = "4")]
    pub revision: i64,
    #[prost(bool, tag = "7")]
    pub serializable: bool,
}

/// `RangeResponse`.
#[derive(Clone, PartialEq, Message)]
pub struct RangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(message, repeated, tag = "2")]
    pub kvs: Vec<KeyValue>,
    #[prost(bool, tag = "3")]
    pub more: bool,
    #[prost(int64, tag = "4")]
    pub count: i64,
}

/// `PutRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct PutRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub lease: i64,
}

/// `PutResponse`.
#[derive(Clone, PartialEq, Message)]
pub struct PutResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
}

/// `DeleteRangeRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
}

/// `DeleteRangeResponse`.
#[derive(Clone, PartialEq, Message)]
pub struct DeleteRangeResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub deleted: i64,
}

/// `RequestOp`.
#[derive(Clone, PartialEq, Message)]
pub struct RequestOp {
    #[prost(oneof = "RequestOpKind", tags = "1, 2, 3")]
    pub request: Option<RequestOpKind>,
}

/// The request inside a `RequestOp`.
#[derive(Clone, PartialEq, Oneof)]
pub enum RequestOpKind {
    #[prost(message, tag = "1")]
    Range(RangeRequest),
    #[prost(message, tag = "2")]
    Put(PutRequest),
    #[prost(message, tag = "3")]
    DeleteRange(DeleteRangeRequest),
}

/// `ResponseOp`.
#[derive(Clone, PartialEq, Message)]
pub struct ResponseOp {
    #[prost(oneof = "ResponseOpKind", tags = "1, 2, 3")]
    pub response: Option<ResponseOpKind>,
}

/// The response inside a `ResponseOp`.
#[derive(Clone, PartialEq, Oneof)]
pub enum ResponseOpKind {
    #[prost(message, tag = "1")]
    Range(RangeResponse),
    #[prost(message, tag = "2")]
    Put(PutResponse),
    #[prost(message, tag = "3")]
    DeleteRange(DeleteRangeResponse),
}

/// `Compare.CompareResult`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum CompareResult {
    Equal = 0,
    Greater = 1,
    Less = 2,
    NotEqual = 3,
}

/// `Compare.CompareTarget`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum CompareTarget {
    Version = 0,
    Create = 1,
    Mod = 2,
    Value = 3,
    Lease = 4,
}

/// `Compare`.
#[derive(Clone, PartialEq, Message)]
pub struct Compare {
    #[prost(enumeration = "CompareResult", tag = "1")]
    pub result: i32,
    #[prost(enumeration = "CompareTarget", tag = "2")]
    pub target: i32,
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    #[prost(oneof = "CompareOperand", tags = "4, 5, 6, 7")]
    pub operand: Option<CompareOperand>,
}

/// The value that a `Compare` is compared with.
#[derive(Clone, PartialEq, Oneof)]
pub enum CompareOperand {
    #[prost(int64, tag = "4")]
    Version(i64),
    #[prost(int64, tag = "5")]
    CreateRevision(i64),
    #[prost(int64, tag = "6")]
    ModRevision(i64),
    #[prost(bytes, tag = "7")]
    Value(Vec<u8>),
}

/// `TxnRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct TxnRequest {
    #[prost(message, repeated, tag = "1")]
    pub compare: Vec<Compare>,
    #[prost(message, repeated, tag = "2")]
    pub success: Vec<RequestOp>,
    #[prost(message, repeated, tag = "3")]
    pub failure: Vec<RequestOp>,
}

/// `TxnResponse`.
#[derive(Clone, PartialEq, Message)]
pub struct TxnResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(bool, tag = "2")]
    pub succeeded: bool,
    #[prost(message, repeated, tag = "3")]
    pub responses: Vec<ResponseOp>,
}

/// `WatchRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct WatchRequest {
    #[prost(oneof = "WatchRequestKind", tags = "1, 2, 3")]
    pub request: Option<WatchRequestKind>,
}

/// The request inside a `WatchRequest`.
#[derive(Clone, PartialEq, Oneof)]
pub enum WatchRequestKind {
    #[prost(message, tag = "1")]
    Create(WatchCreateRequest),
    #[prost(message, tag = "2")]
    Cancel(WatchCancelRequest),
    #[prost(message, tag = "3")]
    Progress(WatchProgressRequest),
}

/// `WatchCreateRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCreateRequest {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
}

/// `WatchCancelRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCancelRequest {
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// `WatchProgressRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct WatchProgressRequest {}

/// `WatchResponse`.
#[derive(Clone, PartialEq, Message)]
pub struct WatchResponse {
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    #[prost(bool, tag = "3")]
    pub created: bool,
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

/// Returns the end of the key range that holds all keys with `prefix`; a single zero byte
/// if the range has no upper bound.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
