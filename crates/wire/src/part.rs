//! The parts of an answer.

use base::Code;
use serde::{Deserialize, Serialize};

use crate::Digest;

/// One numbered part of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// Generated text.
    Tokens {
        /// The text.
        text: String,
        /// How many tokens it holds.
        count: u32,
    },
    /// Status and content type of a plain service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// Bytes of a plain service's answer.
    Bytes(Vec<u8>),
    /// The end; nothing follows it.
    End {
        /// How the run ended.
        code: Code,
        /// How many parts came before this one in this dispatch.
        parts: u64,
        /// Checksum over them.
        digest: Digest,
        /// Prompt tokens that the server computed.
        computed: u32,
        /// Prompt tokens that it took from its cache.
        cached: u32,
    },
}
