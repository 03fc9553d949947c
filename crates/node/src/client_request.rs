//! A caller's request, parsed.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use wire::{Call, Priority};

/// Who asks and how; from the headers.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    /// Bearer key.
    pub key: String,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Name>,
    /// Whether the caller marks the request as not to be repeated.
    pub idempotent: Option<bool>,
    /// Priority class.
    pub priority: Priority,
    /// Longest wait for the whole answer.
    pub deadline: Option<Duration>,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A model's answer to a prompt.
    Prompt {
        /// Model named by the caller.
        model: Name,
        /// The whole prompt.
        text: Arc<str>,
        /// Most tokens to generate.
        max_tokens: u32,
        /// Whether to send tokens as they come.
        stream: bool,
        /// Whether the answer has the shape of a chat.
        chat: bool,
    },
    /// A plain service's answer.
    Call(Call),
    /// The list of models.
    Models,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Who asks and how.
    pub caller: Caller,
    /// What is asked for.
    pub kind: RequestKind,
    /// Checksum of the body, to tell a resend from another request.
    pub digest: [u8; 16],
}
