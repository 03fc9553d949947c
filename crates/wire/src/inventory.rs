//! What lies on the stores and what is under way at the servers, as entries and keepers tell it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A prompt part on a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSegment {
    /// Number of the salt that it is shared under.
    pub salt: u64,
    /// ID of the part.
    pub id: u64,
    /// Its length in tokens; 0 when it is gone.
    pub tokens: u32,
}

/// A change of what one store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Address of the store.
    pub store: SocketAddr,
    /// Life of the store; none while it cannot be reached.
    pub epoch: Option<u64>,
    /// Whether these are all parts that it holds.
    pub complete: bool,
    /// The parts that came and went.
    pub segments: Vec<StoredSegment>,
}

/// Changes told by one reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Term in which the reader leads the keepers; a later one's word goes first.
    pub term: u64,
    /// The changes, in their order.
    pub holdings: Vec<Holdings>,
}

/// What an entry has at a server or store, or what all entries have there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Address of the server or store.
    pub server: SocketAddr,
    /// Runs.
    pub in_flight: u32,
    /// Tokens of memory that they need.
    pub tokens: u64,
    /// Prompt tokens that are still to be read.
    pub prefill_tokens: u64,
    /// Time of the transfers that were asked of it, milliseconds.
    pub transfer_ms: u32,
    /// Whether no new runs may go there: it was ordered to other weights and has not shown them, or another
    /// server answers at its address.
    pub changing: bool,
    /// Weight version that the server reported to the leader just now; 0 where it did not.
    pub version: u64,
}
