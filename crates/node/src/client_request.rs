//! A caller's request, parsed.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use wire::{Call, Priority};

/// The caller and its options, from the headers.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    /// Bearer key.
    pub key: String,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Name>,
    /// Whether the caller allows retries of the request; none if it doesn't say.
    pub idempotent: Option<bool>,
    /// Priority class.
    pub priority: Priority,
    /// Maximum time to the complete response.
    pub deadline: Option<Duration>,
}

/// The kind of a request.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A completion of a prompt by a model.
    Prompt {
        /// The requested model.
        model: Name,
        /// The complete prompt.
        text: Arc<str>,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
        /// Whether to stream the response.
        stream: bool,
        /// Whether the response has the chat format.
        chat: bool,
    },
    /// A call of a plain service.
    Call(Call),
    /// The list of models.
    Models,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The caller and its options.
    pub caller: Caller,
    /// The kind of request, with its contents.
    pub kind: RequestKind,
    /// Checksum of the request, to distinguish a resend from another request with the same key.
    pub digest: [u8; 16],
}
