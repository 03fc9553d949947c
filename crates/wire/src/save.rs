//! Permits to save prompt segments on stores, which the leader issues to one request at a time for each segment.

use serde::{Deserialize, Serialize};

/// A prompt segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Number of the salt under which it is shared.
    pub salt: u64,
    /// ID of the segment.
    pub id: u64,
}

/// An entry's request for permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of this request, assigned by the entry; none of its earlier incarnations has used it.
    pub number: u64,
    /// The segments to save.
    pub segments: Vec<Segment>,
}

/// The response to [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the request.
    pub number: u64,
    /// The segments that may be saved.
    pub permitted: Vec<Segment>,
}

/// Permits that an entry returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The segments.
    pub segments: Vec<Segment>,
    /// Whether the saves have begun; otherwise they never will.
    pub begun: bool,
}
