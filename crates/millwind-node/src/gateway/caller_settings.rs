//! What a caller may set about its own session and its next request.

use millwind_core::token::{SessionToken, TokenError};
use thiserror::Error;

use crate::owner::is_valid_key;

const MAXIMUM_CLASS_BYTES: usize = 64;
const MAXIMUM_STALENESS_MS: u64 = 3_600_000;

/// Settings of one caller.
#[derive(Debug, Clone, Default)]
pub struct CallerSettings {
    /// Class of its requests.
    pub class: Option<Box<str>>,
    /// Request id of its next write; used once.
    pub request_id: Option<Box<str>>,
    /// Narrower staleness bound, in milliseconds.
    pub staleness_ms: Option<u64>,
    /// Token it presented.
    pub session: Option<Box<SessionToken>>,
}

/// Why a setting was refused.
#[derive(Debug, Error)]
pub enum CallerSettingError {
    /// Not a setting of the proxy.
    #[error("millwind.{0} is not a setting; there are class, request_id, staleness_ms and session")]
    Unknown(String),
    /// A value outside its range.
    #[error("millwind.{name} must be {allowed}")]
    Range {
        /// The setting.
        name: &'static str,
        /// What is allowed.
        allowed: &'static str,
    },
    /// Not a session token.
    #[error("millwind.session: {0}")]
    Token(#[from] TokenError),
}

impl CallerSettings {
    /// Sets one setting; an empty text clears it.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), CallerSettingError> {
        match name {
            "class" => self.class = checked_class(value)?,
            "request_id" => self.request_id = checked_request_id(value)?,
            "staleness_ms" => self.staleness_ms = checked_staleness(value)?,
            "session" => {
                self.session = match value {
                    "" => None,
                    text => Some(Box::new(text.parse()?)),
                }
            }
            other => return Err(CallerSettingError::Unknown(other.to_owned())),
        }
        Ok(())
    }
}

fn checked_class(value: &str) -> Result<Option<Box<str>>, CallerSettingError> {
    if value.len() > MAXIMUM_CLASS_BYTES {
        return Err(CallerSettingError::Range {
            name: "class",
            allowed: "at most 64 bytes",
        });
    }
    Ok((!value.is_empty()).then(|| value.into()))
}

/// A request id as it may be used, from a setting or a comment.
pub fn checked_request_id(value: &str) -> Result<Option<Box<str>>, CallerSettingError> {
    if value.is_empty() {
        return Ok(None);
    }
    if !is_valid_key(value) {
        return Err(CallerSettingError::Range {
            name: "request_id",
            allowed: "1 to 128 letters, digits, '-', '_', '.', ':' or '/'",
        });
    }
    Ok(Some(value.into()))
}

/// A staleness bound as it may be used, from a setting or a comment.
pub fn checked_staleness(value: &str) -> Result<Option<u64>, CallerSettingError> {
    if value.is_empty() {
        return Ok(None);
    }
    match value.parse() {
        Ok(milliseconds) if milliseconds <= MAXIMUM_STALENESS_MS => Ok(Some(milliseconds)),
        _ => Err(CallerSettingError::Range {
            name: "staleness_ms",
            allowed: "0 to 3600000 milliseconds",
        }),
    }
}
