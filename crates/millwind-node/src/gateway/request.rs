//! What a batch asks for, as the tenant's settings and the caller's own see it.

use millwind_core::classify::{Classified, StatementKind};
use millwind_core::outcome::RequestTraits;
use millwind_core::tenant::{RequestClass, TenantSettings};

use super::caller_settings::{CallerSettingError, CallerSettings, checked_request_id, checked_staleness};
use crate::clock;
use millwind_core::Instant;

/// What is to be done with a batch outside a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Changes nothing.
    Read,
    /// Changes something, in a transaction of its own.
    Write,
    /// Opens a transaction.
    Begin,
    /// The proxy answers it itself.
    Local,
    /// The proxy does not carry it.
    Unsupported(String),
}

/// Decides what to do with a batch outside a transaction.
pub fn action(classified: &Classified, executes: bool) -> Action {
    let kinds = &classified.kinds;
    if let Some(detail) = unsupported(classified) {
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
    let begins = kinds
        .iter()
        .position(|kind| matches!(kind, StatementKind::Begin { .. }));
    let ends = |kind: &StatementKind| matches!(kind, StatementKind::Commit | StatementKind::Rollback);
    match begins {
        Some(0) if kinds.last().is_some_and(ends) => Action::Write,
        Some(0) => Action::Begin,
        Some(_) => Action::Unsupported("BEGIN behind other statements".to_owned()),
        None => Action::Write,
    }
}

/// Why a batch cannot be carried, inside a transaction or outside.
pub fn unsupported(classified: &Classified) -> Option<String> {
    let kinds = &classified.kinds;
    if let Some(StatementKind::SetSession { name }) = kinds.iter().find(|kind| needs_session(kind)) {
        return Some(format!("session setting {name}; use SET LOCAL in a transaction"));
    }
    kinds
        .contains(&StatementKind::Unsupported)
        .then(|| "statement needs a session of its own".to_owned())
}

/// Whether every statement is about settings the proxy answers for itself.
pub fn sets_only(classified: &Classified) -> bool {
    classified.kinds.iter().all(|kind| {
        matches!(
            kind,
            StatementKind::SetProxy { .. }
                | StatementKind::ShowProxy { .. }
                | StatementKind::SetSession { .. }
        )
    })
}

/// Session settings whose only value the proxy offers; accepted as they are.
const FIXED_SETTINGS: &[&str] = &[
    "application_name",
    "client_encoding",
    "extra_float_digits",
    "datestyle",
    "timezone",
];

fn needs_session(kind: &StatementKind) -> bool {
    matches!(kind, StatementKind::SetSession { name } if !FIXED_SETTINGS.contains(&name.as_str()))
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

/// A batch's terms of service.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Name of its class, empty for none.
    pub class: String,
    /// When its answer must be there.
    pub deadline: Instant,
    /// When holding for a primary ends.
    pub hold_until: Instant,
    /// What it counts for.
    pub value: u32,
    /// Staleness bound, in milliseconds.
    pub staleness_ms: u64,
    /// The caller's request id, empty for none.
    pub request_key: String,
    /// Facts that decide its fate.
    pub traits: RequestTraits,
}

/// The terms of a batch that arrives now.
pub fn terms(
    classified: &Classified,
    read: bool,
    tenant: &TenantSettings,
    caller: &mut CallerSettings,
) -> Result<Terms, CallerSettingError> {
    let named = classified.tag("class").or(caller.class.as_deref());
    let class = tenant.class(named, read, &classified.tables);
    let request_key = match classified.tag("request_id") {
        Some(text) => checked_request_id(text)?,
        None if read => None,
        None => caller.request_id.take(),
    };
    let narrowed = match classified.tag("staleness_ms") {
        Some(text) => checked_staleness(text)?,
        None => caller.staleness_ms,
    };
    let now = clock::now();
    let window_ms = class.map_or(tenant.default_window_ms, |class| class.window_ms);
    let request_key = request_key.map(String::from).unwrap_or_default();
    Ok(Terms {
        class: class.map(|class| class.name.clone()).unwrap_or_default(),
        deadline: now.plus_millis(window_ms),
        hold_until: now.plus_millis(window_ms.min(tenant.hold_ms)),
        value: class.map_or(1, |class| class.value),
        staleness_ms: narrowed.map_or(tenant.staleness_ms, |narrow| narrow.min(tenant.staleness_ms)),
        traits: request_traits(class, read, &request_key),
        request_key,
    })
}

fn request_traits(class: Option<&RequestClass>, read: bool, request_key: &str) -> RequestTraits {
    RequestTraits {
        read_only: read,
        may_repeat: class.is_some_and(|class| class.may_repeat),
        has_request_id: !request_key.is_empty(),
    }
}
