//! Interfaces implemented by an adapter: the protocols spoken with callers and back ends,
//! the catalog documents, and the promotion service. The store interface is in
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

/// Error for input that violates the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CodecError {
    /// The message exceeds the protocol's limit.
    #[error("message is longer than {limit} bytes")]
    TooLong {
        /// Limit in bytes.
        limit: usize,
    },
    /// The message is invalid for another reason.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
}

/// The protocol spoken with callers.
pub trait CallerCodec: Send + Sync + 'static {
    /// Removes the next complete message from `input`. Returns `None` if more input is
    /// needed, and fails if the input is invalid.
    fn decode(&self, input: &mut BytesMut) -> Result<Option<CallerMessage>, CodecError>;
    /// Appends the answer to a successful startup.
    fn encode_startup_complete(&self, output: &mut BytesMut);
    /// Appends the complete answer to a statement.
    fn encode_answer(&self, output: &mut BytesMut, answer: &Answer, state: TransactionState);
    /// Appends an error after which the connection is closed.
    fn encode_final_error(&self, output: &mut BytesMut, answer: &Answer);
}

/// The protocol spoken with back ends.
pub trait BackEndCodec: Send + Sync + 'static {
    /// Appends the startup message of a connection to `instance` of `group` on behalf of
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
    /// Removes the next complete message from `input`. Returns `None` if more input is
    /// needed, and fails if the input is invalid.
    fn decode(&self, input: &mut BytesMut) -> Result<Option<BackEndMessage>, CodecError>;
    /// Parses the answer to [`crate::statement::Command::Status`], or returns `None` if
    /// it is not a status.
    fn read_status(&self, reply: &Reply) -> Option<InstanceStatus>;
}

/// Answer of the promotion service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionAnswer {
    /// The order was accepted, or the instance is already the leader.
    Accepted,
    /// The fencing token is outdated, or the instance is not running.
    Rejected,
    /// The service rejected the call because of its rate limit; nothing was done.
    Throttled,
    /// No answer was received; the order may still be carried out.
    Unknown,
}

impl PromotionAnswer {
    /// Returns the name used in metrics.
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
    /// Group whose leader is replaced.
    pub group: GroupName,
    /// Replica that becomes the leader.
    pub instance: InstanceName,
    /// Name of the node that holds failover ownership.
    pub holder: String,
    /// Fencing token; increases with each new holder and each promotion.
    pub fencing_token: u64,
}

/// Client of the service that promotes replicas.
pub trait Promoter: Send + Sync + 'static {
    /// Orders a promotion and waits up to `limit` for the answer.
    fn promote(&self, order: PromotionOrder, limit: Duration) -> BoxFuture<'_, PromotionAnswer>;
}

/// Key layout of the store, and decoders for the operators' configuration and the
/// instances' records.
pub trait CatalogCodec: Send + Sync + 'static {
    /// Returns the prefix of all keys that operators write: the configuration and the
    /// zone evacuation requests, which are watched together.
    fn operators_prefix(&self) -> &str;
    /// Returns the key of the operators' configuration.
    fn config_key(&self) -> &str;
    /// Returns the prefix of the instances' records.
    fn instances_prefix(&self) -> &str;
    /// Returns the prefix of the operators' zone evacuation requests.
    fn evacuations_prefix(&self) -> &str;
    /// Returns the zone that the request under `key` evacuates, whatever its value, or
    /// `None` if the key names no zone.
    fn read_evacuation(&self, key: &str) -> Option<ZoneName>;
    /// Returns the prefix of the system's own keys.
    fn own_prefix(&self) -> &str;
    /// Decodes a configuration. Fails if the document is invalid.
    fn read_config(&self, value: &[u8]) -> Result<ConfigSnapshot, CatalogError>;
    /// Returns the instance that `key` belongs to, or `None` if the key names no
    /// instance.
    fn instance_name(&self, key: &str) -> Option<InstanceName>;
    /// Decodes the record of the instance named by `key`. Records are untrusted: anything
    /// that deviates from the expected form is an error.
    fn read_instance(&self, key: &str, value: &[u8]) -> Result<InstanceRecord, CatalogError>;
}

/// Error for a stored document that cannot be decoded.
#[derive(Debug, Error)]
pub enum CatalogError {
    /// The document does not have the expected form.
    #[error("{what}: {detail}")]
    Malformed {
        /// Kind of document.
        what: &'static str,
        /// Description of the error.
        detail: String,
    },
    /// A tenant derived from the document is invalid.
    #[error("tenant: {0}")]
    Tenant(#[from] millwind_core::tenant::TenantError),
}
