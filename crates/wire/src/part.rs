//! The parts of a response.

use base::Code;
use serde::{Deserialize, Serialize};

use crate::Digest;

/// One part of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// Generated text.
    Tokens {
        /// The text.
        text: String,
        /// Number of tokens in the text.
        count: u32,
    },
    /// Status and content type of a plain service's response.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// Bytes of a plain service's response body.
    Bytes(Vec<u8>),
    /// The end of the response; always the last part.
    End {
        /// Result of the run.
        code: Code,
        /// Number of parts before this one in this attempt.
        parts: u64,
        /// Checksum over these parts.
        digest: Digest,
        /// Prompt tokens that the server computed.
        computed: u32,
        /// Prompt tokens that the server found in its cache.
        cached: u32,
    },
}
