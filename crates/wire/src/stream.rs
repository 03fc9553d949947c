//! Origins of streams, which entries record at keepers and look up there.

use base::Name;
use serde::{Deserialize, Serialize};

/// What is recorded about a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Its first attempt is sent to this origin.
    First(Origin),
    /// It is sent to this origin instead, before the client has an event.
    Moved(Origin),
    /// Its origin is not certain any more.
    Uncertain,
}

/// The service and software version that begin a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Service.
    pub service: Name,
    /// Software version of the server.
    pub software: Name,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key of the stream.
    pub key: [u8; 16],
    /// What is recorded.
    pub write: Write,
}

/// Records of streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// The number that the keeper acknowledges once the records are on its disk; none if nobody waits for that. No earlier
    /// incarnation of the entry has used it.
    pub ack: Option<u64>,
    /// The records.
    pub records: Vec<Record>,
}

/// What a keeper knows about a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lookup {
    /// Its origin.
    Known(Origin),
    /// Its records contradict each other, or its origin is not certain.
    Uncertain,
    /// Nothing.
    Unknown,
}
