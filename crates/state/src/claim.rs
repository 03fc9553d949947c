//! Claims of requests that run at most once.

use std::sync::Arc;

use base::{Code, Incarnation, Name, RunId};
use serde::{Deserialize, Serialize};

/// The right to dispatch a request, to one life of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Workspace that asks.
    pub workspace: Name,
    /// The caller's key, or one that the entry made.
    pub key: Name,
    /// Checksum of the body.
    pub digest: [u8; 16],
    /// The dispatch.
    pub run: RunId,
    /// The entry that holds the caller.
    pub entry: Name,
    /// The agent it goes to.
    pub agent: Name,
    /// The one life of the agent that may take it.
    pub incarnation: Incarnation,
    /// When, milliseconds since 1970 by the entry's clock.
    pub at_ms: u64,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and this is the answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Name,
        /// Body.
        body: Arc<[u8]>,
    },
    /// It ended with a code, and no answer is kept.
    Ended(Code),
}

/// Where a claimed request stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The claim was given to the one who asked.
    Granted,
    /// Another dispatch holds it.
    InProgress(Claim),
    /// It has ended.
    Completed(Outcome),
    /// The key was used with another body.
    Mismatch,
}
