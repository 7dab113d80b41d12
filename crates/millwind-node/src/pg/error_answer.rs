//! Encodes error kinds as PostgreSQL error responses.

use millwind_core::error_kind::{Effect, ErrorKind, RetryAdvice};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::ErrorResponse;

const SEVERITY: u8 = b'S';
const SEVERITY_UNTRANSLATED: u8 = b'V';
const CODE: u8 = b'C';
const MESSAGE: u8 = b'M';
const DETAIL: u8 = b'D';
const HINT: u8 = b'H';

/// Returns the name of an effect in hints and logs.
pub const fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::NotRun => "not_run",
        Effect::RolledBack => "rolled_back",
        Effect::Unknown => "unknown",
    }
}

/// Returns the name of a repeat advice in hints and logs.
pub const fn repeat_name(repeat: RetryAdvice) -> &'static str {
    match repeat {
        RetryAdvice::Yes => "yes",
        RetryAdvice::No => "no",
        RetryAdvice::WithRequestId => "with_request_id",
    }
}

/// Returns the machine-readable `key=value` hint of an error kind.
pub fn hint(kind: ErrorKind) -> String {
    let answer = kind.answer();
    let mut hint = format!(
        "kind={} effect={} repeat={}",
        kind.name(),
        effect_name(answer.effect),
        repeat_name(answer.repeat)
    );
    if answer.retry_after_ms > 0 {
        hint.push_str(&format!(" retry_after_ms={}", answer.retry_after_ms));
    }
    hint
}

/// Returns the `ErrorResponse` for a client; `fatal` sets the severity to FATAL.
pub fn error_response(kind: ErrorKind, fatal: bool, detail: &str) -> PgWireBackendMessage {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let mut fields = vec![
        (SEVERITY, severity.to_owned()),
        (SEVERITY_UNTRANSLATED, severity.to_owned()),
        (CODE, kind.answer().sqlstate.to_owned()),
        (MESSAGE, kind.answer().text.to_owned()),
        (HINT, hint(kind)),
    ];
    if !detail.is_empty() {
        fields.push((DETAIL, detail.to_owned()));
    }
    PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
}
