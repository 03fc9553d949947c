//! Work for backend servers.

use std::sync::Arc;

use base::Name;
use serde::{Deserialize, Serialize};

/// Priority class of a request. Lower classes are shed first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Priority {
    /// Work that can wait.
    Low,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that a person waits for.
    High,
}

/// A prompt for a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prompt {
    /// Model.
    pub model: Name,
    /// Weight version to which the run is bound.
    pub version: Name,
    /// The complete prompt.
    pub text: Arc<str>,
    /// Maximum number of tokens to generate, including those before `resume_from`.
    pub max_tokens: u32,
    /// Number of tokens that the caller has already received.
    pub resume_from: u32,
    /// Keys of the prompt's prefix blocks, in order.
    pub keys: Vec<[u8; 16]>,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Name of the service.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query after the service's name.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Work for a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A prompt for a model engine.
    Prompt(Prompt),
    /// A call to a plain service.
    Call(Call),
}

impl Work {
    /// The model or plain service that the work is for.
    pub fn target(&self) -> &Name {
        match self {
            Self::Prompt(prompt) => &prompt.model,
            Self::Call(call) => &call.service,
        }
    }
}
