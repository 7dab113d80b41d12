//! Records metrics of finished requests and publishes routing decisions.

use bytes::BytesMut;
use millwind_wire::Intent;
use pgwire::messages::response::TransactionStatus;

use super::Gateway;
use super::dispatch::{BatchResponse, Dispatch, RequestError};
use crate::clock;
use crate::decisions::{CandidateReason, Decision};
use crate::metrics::RequestLabels;

/// A response ready to be sent to the client.
pub(super) struct ClientResponse {
    /// Encoded backend messages without the final `ReadyForQuery`.
    pub(super) messages: BytesMut,
    /// Transaction status for `ReadyForQuery`.
    pub(super) transaction_status: TransactionStatus,
    /// Whether a replica served the request; `None` if no back end did.
    pub(super) replica: Option<bool>,
}

pub(super) fn record_request(
    gateway: &Gateway,
    kind: &'static str,
    result: &Result<ClientResponse, RequestError>,
    elapsed_micros: u64,
) {
    let labels = RequestLabels {
        kind,
        result: match result {
            Ok(_) => "answered",
            Err(error) => error.kind.name(),
        },
        role: match result {
            Ok(ClientResponse {
                replica: Some(true), ..
            }) => "replica",
            Ok(ClientResponse {
                replica: Some(false), ..
            }) => "primary",
            _ => "none",
        },
    };
    gateway.metrics.requests.get_or_create(&labels).inc();
    gateway.metrics.latency.observe(elapsed_micros as f64 / 1e6);
}

pub(super) fn publish_decision(
    dispatch: &Dispatch<'_>,
    intent: Intent,
    result: &Result<BatchResponse, RequestError>,
    started: millwind_core::Instant,
) {
    if !dispatch.gateway.decisions.is_watched() {
        return;
    }
    let kind = match intent {
        Intent::Read | Intent::Describe | Intent::Floor => "read",
        Intent::Write => "write",
        Intent::Begin => "begin",
        Intent::Continue => "continue",
        Intent::Commit => "commit",
    };
    let candidates = dispatch
        .candidates
        .iter()
        .map(|choice| CandidateReason {
            instance: choice.instance.0.clone(),
            reason: choice.reason.to_string(),
        })
        .collect();
    dispatch.gateway.decisions.publish(Decision {
        tenant: dispatch.tenant.name.0.clone(),
        class: dispatch.options.class.clone(),
        kind,
        candidates,
        chosen: result
            .as_ref()
            .map(|outcome| outcome.instance.0.clone())
            .unwrap_or_default(),
        result: match result {
            Ok(_) => "answered".to_owned(),
            Err(error) => error.kind.name().to_owned(),
        },
        micros: clock::now().0 - started.0,
    });
}
