//! Permits to save prompt segments on stores, which the leader issues and keeps until the saves can't begin any more.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A prompt segment that is to be saved on a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Save {
    /// Address of the store.
    pub store: SocketAddr,
    /// Number of the salt under which the segment is shared.
    pub salt: u64,
    /// ID of the segment.
    pub id: u64,
}

/// An entry's request for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of this request, assigned by the entry; none of its earlier incarnations has used it.
    pub number: u64,
    /// The saves, which one attempt is to carry out.
    pub saves: Vec<Save>,
    /// Time left until the deadline of their request, milliseconds.
    pub left_ms: u32,
}

/// The response to [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the request.
    pub number: u64,
    /// The saves that are permitted.
    pub permitted: Vec<Save>,
}

/// All permits of an entry, for a leader that it is linked to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outstanding {
    /// First number of this incarnation of the entry.
    pub first_number: u64,
    /// A number above those of all its requests so far.
    pub next_number: u64,
    /// The requests whose saves may still begin.
    pub requests: Vec<Request>,
}
