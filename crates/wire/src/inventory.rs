//! Inventory of the stores and load of the servers, as exchanged by entries and keepers.

use std::net::SocketAddr;

use base::Name;
use serde::{Deserialize, Serialize};

/// A prompt segment on a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSegment {
    /// Number of the salt under which it is shared.
    pub salt: u64,
    /// ID of the segment.
    pub id: u64,
    /// Its length in tokens; 0 if it was removed.
    pub tokens: u32,
}

/// A change of the segments that one store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Address of the store.
    pub store: SocketAddr,
    /// Incarnation of the store; `None` while it can't be fetched from.
    pub epoch: Option<u64>,
    /// Whether `segments` lists all segments that the store holds.
    pub complete: bool,
    /// The segments added or removed.
    pub segments: Vec<StoredSegment>,
}

impl Holdings {
    /// The message that a store can't be fetched from.
    pub const fn withdrawn(store: SocketAddr) -> Self {
        Self { store, epoch: None, complete: true, segments: Vec::new() }
    }

    /// Whether the store can't be fetched from.
    pub const fn is_withdrawn(&self) -> bool {
        self.epoch.is_none()
    }
}

/// Changes of the stores' inventories, sent by the keeper that reads them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Term in which the sender leads the keepers; changes of a later term take precedence.
    pub term: u64,
    /// The changes, in order.
    pub holdings: Vec<Holdings>,
}

/// Permission to fetch the segments of a weight version from stores, and to save them there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchLease {
    /// Model.
    pub model: Name,
    /// Weight version.
    pub version: u64,
    /// End on the servers' clock, milliseconds.
    pub until_ms: u64,
    /// Estimated time left until then, milliseconds.
    pub left_ms: u32,
}

/// How long work takes on a server's VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkTime {
    /// Percent of the usual time.
    pub percent: u16,
    /// Time since the server reported it, milliseconds.
    pub age_ms: u16,
}

/// The load that one entry, or all entries together, put on a server or store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Address of the server or store.
    pub server: SocketAddr,
    /// Runs in flight.
    pub in_flight: u32,
    /// Memory that these runs need, tokens.
    pub tokens: u64,
    /// Prompt tokens whose prefill is outstanding.
    pub prefill_tokens: u64,
    /// Duration of the transfers requested from it, milliseconds.
    pub transfer_ms: u32,
    /// Whether no new runs may be sent to it, because it was ordered to load another weight version and has not
    /// reported it yet, or because another server answers at its address.
    pub changing: bool,
    /// Weight version that the server has just reported to the leader; 0 if it has not.
    pub version: u64,
    /// How long work takes on its VM, as last reported.
    pub work_time: Option<WorkTime>,
}
