//! Watches the platform's key-value store while this node is a relay and forwards
//! configuration documents to the control actor. Failures are retried with backoff.

use log::{info, warn};
use millwind_core::config_state::DocumentKind;
use millwind_store::pacing::Backoff;
use millwind_store::{DEFAULT_IDLE_TIMEOUT, Entry, Store, StoreError, Watch};
use millwind_wire::control::WireDocument;
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::clock;
use crate::control::{ControlHandle, PlatformUpdate};

const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A configuration document as stored, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Identifier of the change that wrote the document.
    pub change_id: String,
    /// Whether the document is deleted.
    #[serde(default)]
    pub deleted: bool,
    /// TOML text of the document.
    pub body: String,
}

/// Key layout of the store.
#[derive(Debug, Clone)]
pub struct KeySpace {
    prefix: String,
}

impl KeySpace {
    /// Creates a layout whose keys start with `prefix`.
    pub fn new(prefix: &str) -> Self {
        KeySpace {
            prefix: prefix.to_owned(),
        }
    }

    /// Returns the prefix of all keys.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns the store key of a document.
    pub fn document(&self, key: &str) -> String {
        format!("{}config/{key}", self.prefix)
    }

    /// Returns the store key that every change writes, so that two changes validated
    /// against the same state cannot both succeed.
    pub fn change_guard(&self) -> String {
        format!("{}head", self.prefix)
    }

    /// Returns the store key of a machine list entry.
    pub fn machine(&self, name: &str) -> String {
        format!("{}machines/{name}", self.prefix)
    }

    /// Returns the document of a store entry, or `None` if the key is not a document's.
    /// A configuration entry that cannot be parsed yields a deleted document.
    pub fn parse(&self, entry: &Entry) -> Option<WireDocument> {
        let rest = entry.key.strip_prefix(&self.prefix)?;
        if let Some(name) = rest.strip_prefix("machines/") {
            return Some(machine_document(name, entry));
        }
        let key = rest.strip_prefix("config/")?;
        let stored: Option<StoredDocument> = entry
            .value
            .as_deref()
            .and_then(|value| serde_json::from_slice(value).ok());
        let deleted = stored.as_ref().is_none_or(|stored| stored.deleted);
        Some(WireDocument {
            key: key.to_owned(),
            revision: entry.revision.number,
            deleted: u8::from(deleted),
            change_id: stored
                .as_ref()
                .map(|stored| stored.change_id.clone())
                .unwrap_or_default(),
            body: stored.map(|stored| stored.body).unwrap_or_default(),
        })
    }
}

fn machine_document(name: &str, entry: &Entry) -> WireDocument {
    WireDocument {
        key: DocumentKind::Machine.key(name),
        revision: entry.revision.number,
        deleted: u8::from(entry.value.is_none()),
        change_id: String::new(),
        body: entry
            .value
            .as_deref()
            .map(|value| String::from_utf8_lossy(value).into_owned())
            .unwrap_or_default(),
    }
}

/// Watches the store whenever this node is a relay. Never returns.
pub async fn run<S: Store>(store: S, keys: KeySpace, control: ControlHandle) {
    let mut backoff = Backoff::default();
    loop {
        if !control.view().is_relay() {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let result = watch_while_relay(&store, &keys, &control, &mut backoff).await;
        if let Err(error) = result {
            let delay = backoff.next_delay();
            warn!(
                "event=platform_lost error={:?} retry_ms={}",
                error.to_string(),
                delay.as_millis()
            );
            tokio::time::sleep(delay).await;
        }
    }
}

async fn watch_while_relay<S: Store>(
    store: &S,
    keys: &KeySpace,
    control: &ControlHandle,
    backoff: &mut Backoff,
) -> Result<(), StoreError> {
    let asked = clock::now();
    let listing = store.list(keys.prefix(), DEFAULT_IDLE_TIMEOUT).await?;
    let documents = documents(keys, &listing.entries);
    info!(
        "event=platform_listed revision={} documents={}",
        listing.revision,
        documents.len()
    );
    let mut watch = store.watch(keys.prefix(), listing.revision).await?;
    let snapshot = PlatformUpdate::Snapshot {
        asked,
        revision: listing.revision.number,
        documents,
    };
    let _ = control.actor.send(snapshot).await;
    backoff.reset();
    while control.view().is_relay() {
        let report = watch.next().await?;
        let changes = PlatformUpdate::Changes {
            asked: report.asked.map(clock::from_std),
            revision: report.revision.number,
            documents: self::documents(keys, &report.changes),
        };
        let _ = control.actor.send(changes).await;
    }
    Ok(())
}

fn documents(keys: &KeySpace, entries: &[Entry]) -> Vec<WireDocument> {
    entries.iter().filter_map(|entry| keys.parse(entry)).collect()
}
