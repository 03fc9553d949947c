//! A running checksum over the parts of an answer.

use serde::{Deserialize, Serialize};

use crate::Part;

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// A 64-bit FNV-1a checksum, such as of an answer's parts in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Default for Digest {
    fn default() -> Self {
        Self(OFFSET)
    }
}

impl Digest {
    /// Takes in the next part.
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

    /// Takes in bytes.
    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
}
