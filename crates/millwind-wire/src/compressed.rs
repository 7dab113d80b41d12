//! DEFLATE compression for large, repetitive documents such as configurations.

use std::io::{Read, Write};

use binrw::binrw;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use thiserror::Error;

use crate::text;

/// Why compressed data cannot be decompressed.
#[derive(Debug, Error)]
pub enum DecompressError {
    /// The compressed data is corrupt.
    #[error("corrupt compressed data: {0}")]
    Corrupt(#[from] std::io::Error),
    /// The decompressed length differs from the declared length.
    #[error("decompressed length is not the declared {declared} bytes")]
    WrongLength {
        /// Declared decompressed length in bytes.
        declared: u32,
    },
    /// The declared length exceeds the maximum frame size.
    #[error("declared length of {declared} bytes exceeds the limit")]
    TooLong {
        /// Declared decompressed length in bytes.
        declared: u32,
    },
}

/// Compressed data with its decompressed length.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compressed {
    uncompressed_len: u32,
    #[br(parse_with = text::read_bytes)]
    #[bw(write_with = text::write_bytes)]
    compressed: Vec<u8>,
}

impl Compressed {
    /// Compresses `uncompressed` at the fast level, which limits CPU use.
    pub fn compress(uncompressed: &[u8]) -> Result<Self, std::io::Error> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(uncompressed)?;
        Ok(Compressed {
            uncompressed_len: u32::try_from(uncompressed.len()).map_err(std::io::Error::other)?,
            compressed: encoder.finish()?,
        })
    }

    /// Decompresses the data. At most one byte more than the declared length is read, so
    /// corrupt data cannot exhaust memory.
    pub fn decompress(&self) -> Result<Vec<u8>, DecompressError> {
        let declared = self.uncompressed_len;
        if declared as usize > crate::MAX_FRAME_BYTES {
            return Err(DecompressError::TooLong { declared });
        }
        let mut uncompressed = Vec::new();
        let decoder = DeflateDecoder::new(self.compressed.as_slice());
        decoder
            .take(u64::from(declared) + 1)
            .read_to_end(&mut uncompressed)?;
        match uncompressed.len() == declared as usize {
            true => Ok(uncompressed),
            false => Err(DecompressError::WrongLength { declared }),
        }
    }

    /// Returns the length of the compressed data in bytes.
    pub fn compressed_bytes(&self) -> usize {
        self.compressed.len()
    }
}
