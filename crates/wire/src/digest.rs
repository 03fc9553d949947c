//! An incremental checksum over the parts of a response.

use serde::{Deserialize, Serialize};

use crate::Part;

/// Offset basis of 64-bit FNV-1a.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0100_0000_01b3;

/// A 64-bit FNV-1a checksum, for instance over the parts of a response in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Default for Digest {
    fn default() -> Self {
        Self(OFFSET_BASIS)
    }
}

impl Digest {
    /// Adds the next part.
    pub fn add(&mut self, part: &Part) {
        match part {
            Part::Tokens { text, .. } => self.bytes(text.as_bytes()),
            Part::Head { status, content_type: kind } => {
                self.bytes(&status.to_be_bytes());
                self.bytes(kind.as_bytes());
            }
            Part::Bytes(bytes) => self.bytes(bytes),
            Part::End { .. } => {}
        }
    }

    /// Adds bytes.
    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
}
