//! Prefix blocks and changes of an agent's caches.
//!
//! A piece is a prefix block of a prompt.

use base::Name;
use serde::{Deserialize, Serialize};

/// A prefix block on a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Key of the block.
    pub key: [u8; 16],
    /// Store that holds it.
    pub store: Name,
}

/// A change of the blocks in one of an agent's caches. An incorrect change costs time, but never leads
/// to an incorrect answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheDelta {
    /// The store; `None` for the engine's own cache.
    pub store: Option<Name>,
    /// Whether all earlier changes of this agent and store are invalid.
    pub reset: bool,
    /// Keys of the blocks added.
    pub added: Vec<[u8; 16]>,
    /// Keys of the blocks removed.
    pub removed: Vec<[u8; 16]>,
}
