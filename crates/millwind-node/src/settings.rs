//! Settings of a node: read from a TOML file, overridden by command-line flags and
//! validated before startup.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a node, zone or region name in bytes.
const MAXIMUM_NAME_BYTES: usize = 64;
const DRAIN_MS_RANGE: std::ops::RangeInclusive<u64> = 100..=600_000;
const MAXIMUM_CLIENTS_RANGE: std::ops::RangeInclusive<u32> = 1..=1_000_000;

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Node name, unique in the deployment.
    pub name: String,
    /// Zone the node runs in.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Listen address for clients (PostgreSQL protocol).
    pub client_address: SocketAddr,
    /// Listen address for other nodes.
    pub peer_address: SocketAddr,
    /// Listen address for the admin interface (HTTP).
    pub admin_address: SocketAddr,
    /// Endpoints of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// Prefix of all keys in the platform's store.
    #[serde(default = "default_prefix")]
    pub platform_prefix: String,
    /// Peer addresses of the nodes to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Maps advertised addresses to the addresses to connect to instead.
    #[serde(default)]
    pub dial: BTreeMap<SocketAddr, SocketAddr>,
    /// Maximum number of concurrent client connections.
    #[serde(default = "default_clients")]
    pub maximum_clients: u32,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Least severe level to log.
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

/// Why settings were rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is unknown, missing or of the
    /// wrong type.
    #[error("{path}: {source}")]
    Parse {
        /// Path of the file.
        path: String,
        /// The parse error with its location.
        source: Box<toml::de::Error>,
    },
    /// A value is outside its range.
    #[error("{field} must be {allowed}")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// Description of the allowed values.
        allowed: String,
    },
}

impl NodeSettings {
    /// Reads and validates a settings file. Fails if the file cannot be read or parsed,
    /// or if a value is out of range.
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

    /// Validates all values; fails on the first one out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_name("name", &self.name)?;
        check_name("zone", &self.zone)?;
        check_name("region", &self.region)?;
        if self.platform.is_empty() {
            return range_error("platform", "one address or more".to_owned());
        }
        if !self.platform_prefix.starts_with('/') || !self.platform_prefix.ends_with('/') {
            return range_error(
                "platform_prefix",
                "a text that starts and ends with '/'".to_owned(),
            );
        }
        if !MAXIMUM_CLIENTS_RANGE.contains(&self.maximum_clients) {
            return range_error("maximum_clients", format!("{MAXIMUM_CLIENTS_RANGE:?}"));
        }
        if !DRAIN_MS_RANGE.contains(&self.drain_ms) {
            return range_error("drain_ms", format!("{DRAIN_MS_RANGE:?}"));
        }
        Ok(())
    }

    /// Returns the address to connect to for an advertised address.
    pub fn connect_address(&self, advertised: SocketAddr) -> SocketAddr {
        self.dial.get(&advertised).copied().unwrap_or(advertised)
    }
}

fn range_error<T>(field: &'static str, allowed: String) -> Result<T, SettingsError> {
    Err(SettingsError::Range { field, allowed })
}

fn check_name(field: &'static str, name: &str) -> Result<(), SettingsError> {
    let is_allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if name.is_empty() || name.len() > MAXIMUM_NAME_BYTES || !name.chars().all(is_allowed) {
        return range_error(
            field,
            format!("1 to {MAXIMUM_NAME_BYTES} letters, digits, '-', '_' or '.'"),
        );
    }
    Ok(())
}
