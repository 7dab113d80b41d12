//! Decides how a batch is handled and derives its options from the tenant's and the
//! client's settings.

use millwind_core::classify::{Classified, StatementKind};
use millwind_core::outcome::RequestTraits;
use millwind_core::tenant::{RequestClass, TenantSettings};

use super::client_settings::{ClientSettingError, ClientSettings, parse_request_id, parse_staleness_ms};
use crate::clock;
use millwind_core::Instant;

/// How a batch outside a transaction is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Runs a read-only batch on any eligible instance.
    Read,
    /// Runs a write on the primary in its own transaction.
    Write,
    /// Opens a transaction on the primary.
    Begin,
    /// The proxy responds without a back end.
    Local,
    /// The proxy does not support the batch; holds the reason.
    Unsupported(String),
}

/// Decides how a batch outside a transaction is handled.
pub fn choose_action(classified: &Classified, executes: bool) -> Action {
    let kinds = &classified.kinds;
    if let Some(detail) = unsupported_reason(classified) {
        return Action::Unsupported(detail);
    }
    if kinds.iter().all(is_local) {
        return Action::Local;
    }
    if kinds.iter().any(|kind| {
        matches!(
            kind,
            StatementKind::SetProxy { .. } | StatementKind::ShowProxy { .. }
        )
    }) {
        return Action::Unsupported("millwind settings mixed with other statements".to_owned());
    }
    if !executes || classified.is_read() {
        return Action::Read;
    }
    let begin_index = kinds
        .iter()
        .position(|kind| matches!(kind, StatementKind::Begin { .. }));
    let ends_transaction =
        |kind: &StatementKind| matches!(kind, StatementKind::Commit | StatementKind::Rollback);
    match begin_index {
        Some(0) if kinds.last().is_some_and(ends_transaction) => Action::Write,
        Some(0) => Action::Begin,
        Some(_) => Action::Unsupported("BEGIN after other statements".to_owned()),
        None => Action::Write,
    }
}

/// Returns why the proxy does not support a batch, inside or outside a transaction;
/// `None` if the batch is supported.
pub fn unsupported_reason(classified: &Classified) -> Option<String> {
    let kinds = &classified.kinds;
    if let Some(StatementKind::SetSession { name }) = kinds.iter().find(|kind| is_unsupported_setting(kind)) {
        return Some(format!("session setting {name}; use SET LOCAL in a transaction"));
    }
    kinds
        .contains(&StatementKind::Unsupported)
        .then(|| "statement requires a dedicated session".to_owned())
}

/// Returns whether every statement sets or shows a setting that the proxy handles.
pub fn is_settings_only(classified: &Classified) -> bool {
    classified.kinds.iter().all(|kind| {
        matches!(
            kind,
            StatementKind::SetProxy { .. }
                | StatementKind::ShowProxy { .. }
                | StatementKind::SetSession { .. }
        )
    })
}

/// Session settings that the proxy accepts and ignores.
const IGNORED_SETTINGS: &[&str] = &[
    "application_name",
    "client_encoding",
    "extra_float_digits",
    "datestyle",
    "timezone",
];

fn is_unsupported_setting(kind: &StatementKind) -> bool {
    matches!(kind, StatementKind::SetSession { name } if !IGNORED_SETTINGS.contains(&name.as_str()))
}

fn is_local(kind: &StatementKind) -> bool {
    matches!(
        kind,
        StatementKind::SetProxy { .. }
            | StatementKind::ShowProxy { .. }
            | StatementKind::SetSession { .. }
            | StatementKind::Commit
            | StatementKind::Rollback
            | StatementKind::Empty
    )
}

/// Class, time limits and retry properties of a batch.
#[derive(Debug, Clone)]
pub struct RequestOptions {
    /// Name of the request class; empty for none.
    pub class: String,
    /// Time by which the response is due.
    pub deadline: Instant,
    /// Time until which the request waits for a primary.
    pub primary_wait_deadline: Instant,
    /// Value of the request to the owner's scheduler.
    pub value: u32,
    /// Staleness bound in milliseconds.
    pub staleness_ms: u64,
    /// Request id from the client; empty for none.
    pub request_key: String,
    /// Properties that decide whether the request may be retried.
    pub traits: RequestTraits,
}

/// Returns the options of a batch that arrives now. Takes the session's pending request
/// id unless the batch is read-only or has a `request_id` tag. Fails if a tag is invalid.
pub fn request_options(
    classified: &Classified,
    is_read: bool,
    tenant: &TenantSettings,
    client_settings: &mut ClientSettings,
) -> Result<RequestOptions, ClientSettingError> {
    let class_name = classified.tag("class").or(client_settings.class.as_deref());
    let class = tenant.class(class_name, is_read, &classified.tables);
    let request_key = match classified.tag("request_id") {
        Some(text) => parse_request_id(text)?,
        None if is_read => None,
        None => client_settings.request_id.take(),
    };
    let requested_staleness = match classified.tag("staleness_ms") {
        Some(text) => parse_staleness_ms(text)?,
        None => client_settings.staleness_ms,
    };
    let now = clock::now();
    let window_ms = class.map_or(tenant.default_window_ms, |class| class.window_ms);
    let request_key = request_key.map(String::from).unwrap_or_default();
    Ok(RequestOptions {
        class: class.map(|class| class.name.clone()).unwrap_or_default(),
        deadline: now.plus_millis(window_ms),
        primary_wait_deadline: now.plus_millis(window_ms.min(tenant.hold_ms)),
        value: class.map_or(1, |class| class.value),
        staleness_ms: requested_staleness.map_or(tenant.staleness_ms, |requested| {
            requested.min(tenant.staleness_ms)
        }),
        traits: request_traits(class, is_read, &request_key),
        request_key,
    })
}

fn request_traits(class: Option<&RequestClass>, is_read: bool, request_key: &str) -> RequestTraits {
    RequestTraits {
        read_only: is_read,
        may_repeat: class.is_some_and(|class| class.may_repeat),
        has_request_id: !request_key.is_empty(),
    }
}
