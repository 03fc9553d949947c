//! The list of servers, as the keeper that reads it tells it.

use std::net::SocketAddr;

use base::Name;
use serde::{Deserialize, Serialize};

/// A server on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Identity of this life of the server.
    pub id: Name,
    /// Start of this life, milliseconds since 1970, where the list tells it.
    pub born: Option<u64>,
    /// Service.
    pub service: Name,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Most runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// How much longer it is slow after its start, milliseconds.
    pub cold_ms: u32,
    /// Models that it holds, and their weight versions.
    pub models: Vec<(Name, u64)>,
}

/// One reading of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Checksum of the servers: equal lists have equal ones.
    pub checksum: u64,
    /// The servers; none where they are the same as told before.
    pub servers: Option<Vec<Listed>>,
}
