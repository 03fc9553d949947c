//! Encoding of the records in a segment: length, checksum and body.

use bincode::config::standard;
use serde::{Serialize, de::DeserializeOwned};

/// Size of the length and the checksum before each body, bytes.
const HEADER_BYTES: usize = 8;
/// Maximum size of a record's body, bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Appends a record to a buffer.
pub fn append<T: Serialize>(buffer: &mut Vec<u8>, value: &T) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    // Encoding into memory fails only for types that bincode does not support; none are used here.
    let written = bincode::serde::encode_into_std_write(value, buffer, standard());
    debug_assert!(written.is_ok());
    let body = &buffer[start + HEADER_BYTES..];
    let length = (body.len() as u32).to_be_bytes();
    let sum = crc32fast::hash(body).to_be_bytes();
    buffer[start..start + 4].copy_from_slice(&length);
    buffer[start + 4..start + HEADER_BYTES].copy_from_slice(&sum);
}

/// The records read from a segment.
pub struct Read<T> {
    /// The valid records from the start of the segment.
    pub records: Vec<T>,
    /// Offset of the end of these records, bytes.
    pub end: usize,
    /// Whether a valid record follows an invalid one.
    pub corrupt: bool,
}

/// Reads the records of a segment.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Read<T> {
    let mut records = Vec::new();
    let mut end = 0;
    while let Some((record, next)) = read_record(bytes, end) {
        records.push(record);
        end = next;
    }
    let corrupt = (end + 1..bytes.len()).any(|at| read_record::<T>(bytes, at).is_some());
    Read { records, end, corrupt }
}

/// Reads the record at an offset, and returns it with the offset of its end.
fn read_record<T: DeserializeOwned>(bytes: &[u8], at: usize) -> Option<(T, usize)> {
    let header = bytes.get(at..at + HEADER_BYTES)?;
    let length = u32::from_be_bytes(header[..4].try_into().ok()?) as usize;
    if length == 0 || length > MAX_BODY_BYTES {
        return None;
    }
    let sum = u32::from_be_bytes(header[4..].try_into().ok()?);
    let body = bytes.get(at + HEADER_BYTES..at + HEADER_BYTES + length)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    let (record, used) = bincode::serde::decode_from_slice(body, standard()).ok()?;
    (used == length).then_some((record, at + HEADER_BYTES + length))
}
