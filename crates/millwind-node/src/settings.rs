//! Settings of one node: read from a TOML file, overridden by flags, checked
//! before anything starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest accepted node name in bytes.
const MAXIMUM_NAME_BYTES: usize = 64;
const DRAIN_MS_RANGE: std::ops::RangeInclusive<u64> = 100..=600_000;
const CLIENTS_RANGE: std::ops::RangeInclusive<u32> = 1..=1_000_000;

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique over the deployment.
    pub name: String,
    /// Zone the node runs in.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// Listener for callers (PostgreSQL protocol).
    pub client_address: SocketAddr,
    /// Listener for other nodes.
    pub peer_address: SocketAddr,
    /// Listener for operators (HTTP).
    pub admin_address: SocketAddr,
    /// Endpoints of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// Prefix of all keys in the platform's store.
    #[serde(default = "default_prefix")]
    pub platform_prefix: String,
    /// Peer addresses of nodes to ask first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Addresses to dial in place of advertised ones.
    #[serde(default)]
    pub dial: BTreeMap<SocketAddr, SocketAddr>,
    /// Callers accepted at the same time.
    #[serde(default = "default_clients")]
    pub maximum_clients: u32,
    /// Longest time a planned stop may take, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Least severe level that is logged.
    #[serde(default = "default_level")]
    pub log_level: LevelFilter,
}

fn default_prefix() -> String {
    "/millwind/".to_owned()
}

fn default_clients() -> u32 {
    20_000
}

fn default_drain_ms() -> u64 {
    30_000
}

fn default_level() -> LevelFilter {
    LevelFilter::Info
}

/// Why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is unknown, missing or of the
    /// wrong type.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: String,
        /// What is wrong and where.
        source: Box<toml::de::Error>,
    },
    /// A value is outside its range.
    #[error("{field} must be {allowed}")]
    Range {
        /// The field.
        field: &'static str,
        /// What is allowed.
        allowed: String,
    },
}

impl NodeSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.display().to_string(),
            source,
        })?;
        let settings: NodeSettings = toml::from_str(&text).map_err(|source| SettingsError::Parse {
            path: path.display().to_string(),
            source: Box::new(source),
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks every value against its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_name("name", &self.name)?;
        check_name("zone", &self.zone)?;
        check_name("region", &self.region)?;
        if self.platform.is_empty() {
            return range("platform", "one address or more".to_owned());
        }
        if !self.platform_prefix.starts_with('/') || !self.platform_prefix.ends_with('/') {
            return range(
                "platform_prefix",
                "a text that starts and ends with '/'".to_owned(),
            );
        }
        if !CLIENTS_RANGE.contains(&self.maximum_clients) {
            return range("maximum_clients", format!("{CLIENTS_RANGE:?}"));
        }
        if !DRAIN_MS_RANGE.contains(&self.drain_ms) {
            return range("drain_ms", format!("{DRAIN_MS_RANGE:?}"));
        }
        Ok(())
    }

    /// The address to dial for an advertised one.
    pub fn dial_address(&self, advertised: SocketAddr) -> SocketAddr {
        self.dial.get(&advertised).copied().unwrap_or(advertised)
    }
}

fn range<T>(field: &'static str, allowed: String) -> Result<T, SettingsError> {
    Err(SettingsError::Range { field, allowed })
}

fn check_name(field: &'static str, name: &str) -> Result<(), SettingsError> {
    let legal = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if name.is_empty() || name.len() > MAXIMUM_NAME_BYTES || !name.chars().all(legal) {
        return range(
            field,
            format!("1 to {MAXIMUM_NAME_BYTES} letters, digits, '-', '_' or '.'"),
        );
    }
    Ok(())
}
