//! What a backend server is asked to do.

use std::sync::Arc;

use base::Name;
use serde::{Deserialize, Serialize};

/// Priority class of a request; a lower one is shed first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Priority {
    /// Work that can wait.
    Low,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that someone waits on.
    High,
}

/// A prompt for a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prompt {
    /// Model that answers.
    pub model: Name,
    /// Weight version that the run is bound to.
    pub version: Name,
    /// The whole prompt.
    pub text: Arc<str>,
    /// Most tokens to generate, those before `resume_from` included.
    pub max_tokens: u32,
    /// Tokens that the caller already has.
    pub resume_from: u32,
    /// Keys of the prompt's pieces, first piece first.
    pub keys: Vec<[u8; 16]>,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Name of the service.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query behind the service's name.
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
