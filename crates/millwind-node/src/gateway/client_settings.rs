//! The `millwind.*` settings of a client session.

use millwind_core::token::{SessionToken, TokenError};
use thiserror::Error;

use crate::owner::is_valid_request_key;

const MAXIMUM_CLASS_BYTES: usize = 64;
const MAXIMUM_STALENESS_MS: u64 = 3_600_000;

/// Settings of one client session.
#[derive(Debug, Clone, Default)]
pub struct ClientSettings {
    /// Request class of the session's requests.
    pub class: Option<Box<str>>,
    /// Request id of the next write; cleared when used.
    pub request_id: Option<Box<str>>,
    /// Staleness bound in milliseconds; can only tighten the tenant's bound.
    pub staleness_ms: Option<u64>,
    /// Session token that the client presented.
    pub session: Option<Box<SessionToken>>,
}

/// Why a setting was rejected.
#[derive(Debug, Error)]
pub enum ClientSettingError {
    /// The proxy has no setting of this name.
    #[error("millwind.{0} is not a setting; there are class, request_id, staleness_ms and session")]
    Unknown(String),
    /// The value is outside the allowed range.
    #[error("millwind.{name} must be {allowed}")]
    Range {
        /// Name of the setting.
        name: &'static str,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// The value is not a valid session token.
    #[error("millwind.session: {0}")]
    Token(#[from] TokenError),
}

impl ClientSettings {
    /// Sets a setting; an empty value clears it. Fails if the name is unknown or
    /// the value is invalid.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), ClientSettingError> {
        match name {
            "class" => self.class = parse_class(value)?,
            "request_id" => self.request_id = parse_request_id(value)?,
            "staleness_ms" => self.staleness_ms = parse_staleness_ms(value)?,
            "session" => {
                self.session = match value {
                    "" => None,
                    text => Some(Box::new(text.parse()?)),
                }
            }
            other => return Err(ClientSettingError::Unknown(other.to_owned())),
        }
        Ok(())
    }
}

fn parse_class(value: &str) -> Result<Option<Box<str>>, ClientSettingError> {
    if value.len() > MAXIMUM_CLASS_BYTES {
        return Err(ClientSettingError::Range {
            name: "class",
            allowed: "at most 64 bytes",
        });
    }
    Ok((!value.is_empty()).then(|| value.into()))
}

/// Validates a request id from a setting or a statement comment; an empty value
/// yields `None`.
pub fn parse_request_id(value: &str) -> Result<Option<Box<str>>, ClientSettingError> {
    if value.is_empty() {
        return Ok(None);
    }
    if !is_valid_request_key(value) {
        return Err(ClientSettingError::Range {
            name: "request_id",
            allowed: "1 to 128 letters, digits, '-', '_', '.', ':' or '/'",
        });
    }
    Ok(Some(value.into()))
}

/// Parses a staleness bound from a setting or a statement comment; an empty value
/// yields `None`.
pub fn parse_staleness_ms(value: &str) -> Result<Option<u64>, ClientSettingError> {
    if value.is_empty() {
        return Ok(None);
    }
    match value.parse() {
        Ok(milliseconds) if milliseconds <= MAXIMUM_STALENESS_MS => Ok(Some(milliseconds)),
        _ => Err(ClientSettingError::Range {
            name: "staleness_ms",
            allowed: "0 to 3600000 milliseconds",
        }),
    }
}
