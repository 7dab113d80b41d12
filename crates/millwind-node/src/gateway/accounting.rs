//! What is counted of finished requests, and told to watchers.

use bytes::BytesMut;
use millwind_wire::Intent;
use pgwire::messages::response::TransactionStatus;

use super::Gateway;
use super::dispatch::{Dispatch, Outcome, Refusal};
use crate::clock;
use crate::decisions::{CandidateReason, Decision};
use crate::metrics::RequestLabels;

/// An answer as the caller gets it.
pub(super) struct CallerAnswer {
    /// Encoded messages.
    pub(super) messages: BytesMut,
    /// Status for the ready message.
    pub(super) transaction_status: TransactionStatus,
    /// Whether a replica answered; none when no back end did.
    pub(super) replica: Option<bool>,
}

pub(super) fn record(
    gateway: &Gateway,
    kind: &'static str,
    result: &Result<CallerAnswer, Refusal>,
    micros: u64,
) {
    let labels = RequestLabels {
        kind,
        result: match result {
            Ok(_) => "answered",
            Err(refusal) => refusal.kind.name(),
        },
        role: match result {
            Ok(CallerAnswer {
                replica: Some(true), ..
            }) => "replica",
            Ok(CallerAnswer {
                replica: Some(false), ..
            }) => "primary",
            _ => "none",
        },
    };
    gateway.metrics.requests.get_or_create(&labels).inc();
    gateway.metrics.latency.observe(micros as f64 / 1e6);
}

pub(super) fn publish_decision(
    dispatch: &Dispatch<'_>,
    intent: Intent,
    result: &Result<Outcome, Refusal>,
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
        .weighed
        .iter()
        .map(|choice| CandidateReason {
            instance: choice.instance.0.clone(),
            reason: choice.reason.to_string(),
        })
        .collect();
    dispatch.gateway.decisions.publish(Decision {
        tenant: dispatch.tenant.name.0.clone(),
        class: dispatch.terms.class.clone(),
        kind,
        candidates,
        chosen: result
            .as_ref()
            .map(|outcome| outcome.instance.0.clone())
            .unwrap_or_default(),
        result: match result {
            Ok(_) => "answered".to_owned(),
            Err(refusal) => refusal.kind.name().to_owned(),
        },
        micros: clock::now().0 - started.0,
    });
}
