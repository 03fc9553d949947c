//! What an agent tells of its caches.

use base::Name;
use serde::{Deserialize, Serialize};

/// A piece on a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Key.
    pub key: [u8; 16],
    /// Store that has it.
    pub store: Name,
}

/// A change of what is held; a wrong one costs time and never a wrong answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheDelta {
    /// The store, or none for the engine's own cache.
    pub store: Option<Name>,
    /// Whether all earlier news of this agent and place are void.
    pub reset: bool,
    /// Blocks now held.
    pub added: Vec<[u8; 16]>,
    /// Blocks held no more.
    pub removed: Vec<[u8; 16]>,
}
