//! Encoding and decoding of length-prefixed frames.

use std::fmt;

use bincode::config::{Configuration, standard};
use bytes::{Buf, BytesMut};

use crate::Frame;

/// Maximum size of a frame accepted from a peer, bytes.
pub const MAX_FRAME: usize = 32 << 20;
/// Size of the length prefix, bytes.
const PREFIX: usize = 4;

const fn config() -> Configuration {
    standard()
}

/// A frame that could not be decoded; the link must be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The length exceeds [`MAX_FRAME`].
    TooLarge(usize),
    /// The bytes are not a valid frame.
    Malformed(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(length) => {
                write!(f, "frame of {length} bytes is larger than {MAX_FRAME} bytes")
            }
            Self::Malformed(text) => write!(f, "malformed frame: {text}"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a frame with its length prefix.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; PREFIX];
    // Encoding into a vector fails only for types that bincode does not support; none are used here.
    let written = bincode::serde::encode_into_std_write(frame, &mut bytes, config());
    debug_assert!(written.is_ok());
    let length = (bytes.len() - PREFIX) as u32;
    bytes[..PREFIX].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Reassembles frames from received bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    received_bytes: usize,
}

impl Decoder {
    /// Appends bytes received from the link.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received_bytes += bytes.len();
        self.buffer.extend_from_slice(bytes);
    }

    /// Total number of bytes appended so far.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Decodes the next frame, if it has been received completely.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a valid frame. No further frames can be read from this link.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, DecodeError> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME {
            return Err(DecodeError::TooLarge(length));
        }
        if self.buffer.len() < PREFIX + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX);
        let body = self.buffer.split_to(length);
        let limited = config().with_limit::<MAX_FRAME>();
        let decoded = bincode::serde::decode_from_slice::<Frame, _>(&body, limited);
        let (frame, used) = decoded.map_err(|error| DecodeError::Malformed(error.to_string()))?;
        if used != length {
            return Err(DecodeError::Malformed("trailing bytes".to_owned()));
        }
        Ok(Some(frame))
    }
}
