//! The server list, as sent by the keeper that reads it.
//!
//! [`Listed`] and the types in it must keep their names, because a checksum is computed over their `Debug` text.

use std::net::SocketAddr;

use base::Name;
use serde::{Deserialize, Serialize};

/// A server on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Identity of this incarnation of the server.
    pub id: Name,
    /// Start time of this incarnation, milliseconds since 1970, if the list contains it.
    pub born: Option<u64>,
    /// Service.
    pub service: Name,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// Remaining warm-up time after its start, during which it is slow, milliseconds.
    pub cold_ms: u32,
    /// Loaded models and their weight versions.
    pub models: Vec<(Name, u64)>,
    /// Version of its software.
    pub software: Name,
}

/// The server list as read at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Checksum of the servers; equal lists have equal checksums.
    pub checksum: u64,
    /// The servers; `None` if they are unchanged since the last transmission.
    pub servers: Option<Vec<Listed>>,
}
