//! Keys by which callers show who they are. A key itself is never kept: all that
//! is needed is to look up whose it is.

use std::fmt;

use sha2::{Digest, Sha256};
use thiserror::Error;

/// Longest key in bytes; a startup message with a longer one is refused before it
/// is looked up.
pub const MAXIMUM_KEY_BYTES: usize = 256;

/// Digest of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

/// Why a text is no key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// It is empty.
    #[error("key is empty")]
    Empty,
    /// It is longer than the limit.
    #[error("key is longer than {MAXIMUM_KEY_BYTES} bytes")]
    TooLong,
}

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &str) -> Result<KeyDigest, KeyError> {
        if key.is_empty() {
            return Err(KeyError::Empty);
        }
        if key.len() > MAXIMUM_KEY_BYTES {
            return Err(KeyError::TooLong);
        }
        Ok(KeyDigest(Sha256::digest(key.as_bytes()).into()))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
