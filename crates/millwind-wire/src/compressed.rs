//! Bytes that travel compressed (DEFLATE): large documents of text with many
//! repetitions, such as a configuration.

use std::io::{Read, Write};

use binrw::binrw;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use thiserror::Error;

use crate::text;

/// Why compressed bytes cannot be read.
#[derive(Debug, Error)]
pub enum DecompressError {
    /// They are damaged.
    #[error("damaged: {0}")]
    Damaged(#[from] std::io::Error),
    /// They are fewer or more than announced.
    #[error("not the {announced} bytes that were announced")]
    WrongLength {
        /// Bytes that were announced.
        announced: u32,
    },
    /// More is announced than any message holds.
    #[error("{announced} bytes are over the limit")]
    TooLong {
        /// Bytes that were announced.
        announced: u32,
    },
}

/// Compressed bytes, and how many they are whole.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compressed {
    whole_bytes: u32,
    #[br(parse_with = text::read_bytes)]
    #[bw(write_with = text::write_bytes)]
    deflated: Vec<u8>,
}

impl Compressed {
    /// Compresses `whole`; the fast level, since a node compresses a version once
    /// and has a small part of a core.
    pub fn pack(whole: &[u8]) -> Result<Self, std::io::Error> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(whole)?;
        Ok(Compressed {
            whole_bytes: u32::try_from(whole.len()).map_err(std::io::Error::other)?,
            deflated: encoder.finish()?,
        })
    }

    /// The bytes; never more than were announced are held.
    pub fn unpack(&self) -> Result<Vec<u8>, DecompressError> {
        let announced = self.whole_bytes;
        if announced as usize > crate::MAXIMUM_FRAME_BYTES {
            return Err(DecompressError::TooLong { announced });
        }
        let mut whole = Vec::new();
        let decoder = DeflateDecoder::new(self.deflated.as_slice());
        decoder.take(u64::from(announced) + 1).read_to_end(&mut whole)?;
        match whole.len() == announced as usize {
            true => Ok(whole),
            false => Err(DecompressError::WrongLength { announced }),
        }
    }

    /// Bytes that travel.
    pub fn travelling_bytes(&self) -> usize {
        self.deflated.len()
    }
}
