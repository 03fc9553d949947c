//! Records in a segment: length, checksum, body.

use bincode::config::standard;
use serde::{Serialize, de::DeserializeOwned};

const HEADER: usize = 8;
/// Largest body of one record, bytes.
const MAX_BODY: usize = 256 << 20;

/// Appends a record to a buffer.
pub fn append<T: Serialize>(buffer: &mut Vec<u8>, value: &T) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER]);
    // Encoding into memory fails only for types bincode cannot hold, and records have none.
    let written = bincode::serde::encode_into_std_write(value, buffer, standard());
    debug_assert!(written.is_ok());
    let body = &buffer[start + HEADER..];
    let length = (body.len() as u32).to_be_bytes();
    let sum = crc32fast::hash(body).to_be_bytes();
    buffer[start..start + 4].copy_from_slice(&length);
    buffer[start + 4..start + HEADER].copy_from_slice(&sum);
}

/// What a segment holds.
pub struct Read<T> {
    /// The good records from the start on.
    pub records: Vec<T>,
    /// Where the good records end, bytes.
    pub end: usize,
    /// Whether a good record follows after a bad one.
    pub corrupt: bool,
}

/// Reads the records of a segment.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Read<T> {
    let mut records = Vec::new();
    let mut end = 0;
    while let Some((record, next)) = one(bytes, end) {
        records.push(record);
        end = next;
    }
    let corrupt = (end + 1..bytes.len()).any(|at| one::<T>(bytes, at).is_some());
    Read { records, end, corrupt }
}

fn one<T: DeserializeOwned>(bytes: &[u8], at: usize) -> Option<(T, usize)> {
    let header = bytes.get(at..at + HEADER)?;
    let length = u32::from_be_bytes(header[..4].try_into().ok()?) as usize;
    if length == 0 || length > MAX_BODY {
        return None;
    }
    let sum = u32::from_be_bytes(header[4..].try_into().ok()?);
    let body = bytes.get(at + HEADER..at + HEADER + length)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    let (record, used) = bincode::serde::decode_from_slice(body, standard()).ok()?;
    (used == length).then_some((record, at + HEADER + length))
}
