//! What an adapter implements: the protocols towards callers and back ends,
//! and the service that promotes replicas. The store is a port of its own, in
//! `millwind-store`.

use std::time::Duration;

use bytes::BytesMut;
use futures::future::BoxFuture;
use millwind_core::ids::{GroupName, InstanceName, ZoneName};
use thiserror::Error;

use crate::answer::Answer;
use crate::backend::ConnectionUser;
use crate::catalog::{ConfigSnapshot, InstanceRecord};
use crate::statement::{BackEndMessage, CallerMessage, Envelope, InstanceStatus, Reply, TransactionState};

/// Bytes that are no message of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CodecError {
    /// A message over the protocol's limit.
    #[error("message is longer than {limit} bytes")]
    TooLong {
        /// Limit in bytes.
        limit: usize,
    },
    /// Anything else.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
}

/// The protocol spoken with callers.
pub trait CallerCodec: Send + Sync + 'static {
    /// Takes the next whole message out of `input`, if there is one.
    fn decode(&self, input: &mut BytesMut) -> Result<Option<CallerMessage>, CodecError>;
    /// Appends the answer to a startup that succeeded.
    fn encode_welcome(&self, output: &mut BytesMut);
    /// Appends a whole answer to a statement.
    fn encode_answer(&self, output: &mut BytesMut, answer: &Answer, state: TransactionState);
    /// Appends an error after which the connection is closed.
    fn encode_farewell(&self, output: &mut BytesMut, answer: &Answer);
}

/// The protocol spoken with back ends.
pub trait BackEndCodec: Send + Sync + 'static {
    /// Appends the opening of a connection to `instance` of `group` on behalf of
    /// `user`.
    fn encode_startup(
        &self,
        output: &mut BytesMut,
        group: &GroupName,
        instance: &InstanceName,
        user: &ConnectionUser,
    );
    /// Appends a command.
    fn encode(&self, output: &mut BytesMut, envelope: &Envelope<'_>);
    /// Takes the next whole message out of `input`, if there is one.
    fn decode(&self, input: &mut BytesMut) -> Result<Option<BackEndMessage>, CodecError>;
    /// Reads the answer to [`crate::statement::Command::Status`].
    fn read_status(&self, reply: &Reply) -> Option<InstanceStatus>;
}

/// What the promotion service answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The order was taken, or the instance leads already.
    Accepted,
    /// The fencing token is old, or the instance is not running.
    Rejected,
    /// Too many calls; nothing was done.
    Throttled,
    /// No answer: the order may still be carried out.
    Unknown,
}

impl PromotionAnswer {
    /// The name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            PromotionAnswer::Accepted => "ok",
            PromotionAnswer::Rejected => "rejected",
            PromotionAnswer::Throttled => "refused",
            PromotionAnswer::Unknown => "no_answer",
        }
    }
}

/// An order to promote a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The group.
    pub group: GroupName,
    /// The replica that takes over.
    pub instance: InstanceName,
    /// Name of the node that holds the duty.
    pub holder: String,
    /// Fencing token; rises when the holder changes.
    pub fencing_token: u64,
}

/// The service that promotes replicas.
pub trait Promoter: Send + Sync + 'static {
    /// Orders a promotion, and waits for the answer at most `limit`.
    fn promote(&self, order: PromotionOrder, limit: Duration) -> BoxFuture<'_, PromotionAnswer>;
}

/// Where the operators' configuration and the instances' own records lie in
/// the store, and how they are read.
pub trait CatalogCodec: Send + Sync + 'static {
    /// Prefix of all that operators write: the configuration and the requests to
    /// evacuate zones, which are watched together.
    fn operators_prefix(&self) -> &str;
    /// Key of the operators' configuration.
    fn config_key(&self) -> &str;
    /// Prefix of the instances' records.
    fn instances_prefix(&self) -> &str;
    /// Prefix of the operators' requests to evacuate a zone.
    fn evacuations_prefix(&self) -> &str;
    /// The zone that the request under `key` asks to evacuate, whatever its value; none for a key
    /// that names no zone.
    fn read_evacuation(&self, key: &str) -> Option<ZoneName>;
    /// Prefix under which the system keeps its own keys.
    fn own_prefix(&self) -> &str;
    /// Reads a configuration.
    fn read_config(&self, value: &[u8]) -> Result<ConfigSnapshot, CatalogError>;
    /// The instance that `key` stands for; none where it names none.
    fn instance_name(&self, key: &str) -> Option<InstanceName>;
    /// Reads the record of the instance named by `key`. Anybody may have written it: what
    /// is not wholly of the expected form is an error.
    fn read_instance(&self, key: &str, value: &[u8]) -> Result<InstanceRecord, CatalogError>;
}

/// A stored document that cannot be read.
#[derive(Debug, Error)]
pub enum CatalogError {
    /// It is no document of the expected form.
    #[error("{what}: {detail}")]
    Malformed {
        /// Which document.
        what: &'static str,
        /// What is wrong.
        detail: String,
    },
    /// A tenant that follows from it is out of range.
    #[error("tenant: {0}")]
    Tenant(#[from] millwind_core::tenant::TenantError),
}
