//! Encoding of a block on a store.

use std::fmt;

use crate::Key;

/// First bytes of every block.
const MAGIC: [u8; 4] = *b"TBK1";
/// Magic, key, generation, length, checksum.
const HEADER_BYTES: usize = 4 + 16 + 8 + 8 + 4;

/// Why a block is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockError {
    /// Its length differs from the header, or it has no valid header.
    Torn,
    /// It has another key.
    WrongKey,
    /// It has another generation.
    WrongGeneration,
    /// The checksum does not match.
    ChecksumMismatch,
}

impl fmt::Display for BlockError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Torn => "torn",
            Self::WrongKey => "foreign",
            Self::WrongGeneration => "replaced",
            Self::ChecksumMismatch => "changed",
        })
    }
}

impl std::error::Error for BlockError {}

/// Encodes a block with its header: magic, key, generation, length, checksum.
pub fn encode_block(key: &Key, generation: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(key);
    bytes.extend_from_slice(&generation.to_be_bytes());
    bytes.extend_from_slice(&(body.len() as u64).to_be_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes);
    sum.update(body);
    bytes.extend_from_slice(&sum.finalize().to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Decodes the body of a block if it is complete and has the expected key and generation; 0 accepts any generation.
///
/// # Errors
/// See [`BlockError`]; to the reader each one is a miss.
pub fn decode_block<'a>(
    key: &Key,
    generation: u64,
    bytes: &'a [u8],
) -> Result<&'a [u8], BlockError> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(BlockError::Torn);
    };
    let (checked, sum) = header.split_at(HEADER_BYTES - 4);
    let number = |at: usize| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&checked[at..at + 8]);
        u64::from_be_bytes(bytes)
    };
    if checked[..4] != MAGIC || number(28) != body.len() as u64 {
        return Err(BlockError::Torn);
    }
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(checked);
    hasher.update(body);
    if hasher.finalize().to_be_bytes() != *sum {
        return Err(BlockError::ChecksumMismatch);
    }
    if checked[4..20] != *key {
        return Err(BlockError::WrongKey);
    }
    if generation != 0 && number(20) != generation {
        return Err(BlockError::WrongGeneration);
    }
    Ok(body)
}
