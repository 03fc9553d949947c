//! Length-prefixed bincode.

use std::fmt;

use bincode::config::{Configuration, standard};
use bytes::{Buf, BytesMut};

use crate::Frame;

/// Largest frame taken from a peer, bytes.
pub const MAX_FRAME: usize = 32 << 20;
const PREFIX: usize = 4;

const fn config() -> Configuration {
    standard()
}

/// A frame that could not be read; the link must be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The length is over [`MAX_FRAME`].
    TooLarge(usize),
    /// The bytes are not a frame.
    Malformed(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(length) => write!(f, "frame of {length} bytes is too large"),
            Self::Malformed(text) => write!(f, "malformed frame: {text}"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// The bytes of a frame, length first.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = vec![0; PREFIX];
    // Encoding into a vector fails only for types bincode cannot hold, and a frame has none.
    let written = bincode::serde::encode_into_std_write(frame, &mut bytes, config());
    debug_assert!(written.is_ok());
    let length = (bytes.len() - PREFIX) as u32;
    bytes[..PREFIX].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Collects bytes and gives whole frames.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    taken: usize,
}

impl Decoder {
    /// Takes bytes as they came from the link.
    pub fn push(&mut self, bytes: &[u8]) {
        self.taken += bytes.len();
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes taken so far.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// The next whole frame, if one is there.
    ///
    /// # Errors
    /// The bytes are no frame; nothing more can be read from this link.
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
            return Err(DecodeError::Malformed("bytes left over".to_owned()));
        }
        Ok(Some(frame))
    }
}
