//! API keys of callers. Only a digest of each key is stored, which suffices to look up the
//! owner of the key.

use std::fmt;

use sha2::{Digest, Sha256};
use thiserror::Error;

/// Maximum length of a key in bytes; a longer key is rejected before it is looked up.
pub const MAX_KEY_BYTES: usize = 256;

/// SHA-256 digest of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

/// Error returned when a text is not a valid key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key is empty.
    #[error("key is empty")]
    Empty,
    /// The key is longer than [`MAX_KEY_BYTES`].
    #[error("key is longer than {MAX_KEY_BYTES} bytes")]
    TooLong,
}

impl KeyDigest {
    /// Returns the digest of `key`; fails if `key` is empty or too long.
    pub fn of(key: &str) -> Result<KeyDigest, KeyError> {
        if key.is_empty() {
            return Err(KeyError::Empty);
        }
        if key.len() > MAX_KEY_BYTES {
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
