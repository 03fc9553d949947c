//! Notices that servers send in their responses: a rate limit for all VMs together, a backoff, or that the server is
//! leaving. Also the permits that share a rate limit among the entries.

use base::Name;
use serde::{Deserialize, Serialize};

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// Identity.
    pub id: Name,
    /// Start time, milliseconds since 1970, if the server list contains it.
    pub born: Option<u64>,
}

/// A notice in a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// A rate limit, calls per 1000 seconds.
    Limit(u64),
    /// The server has no rate limit.
    Unlimited,
    /// The server is leaving and accepts no more calls.
    Leaving,
    /// The server accepts no calls for this time from now on, microseconds.
    Backoff(u64),
    /// The server is cold, or may be, for this time from now on, milliseconds.
    Cold(u32),
    /// The server could not be reached, and has not been shown to be warm since.
    Unreachable,
    /// A server that could not be reached responds again.
    Reachable,
}

/// A notice with its server and age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// The server.
    pub server: ServerIncarnation,
    /// The notice.
    pub notice: Notice,
    /// Time since the response was received or, if it contained no limit, since its request was sent; microseconds.
    pub ago_us: u64,
}

/// All notices in force, as known to the leader of the keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Term of the leader.
    pub term: u64,
    /// The notices; never [`Notice::Unlimited`] or [`Notice::Reachable`].
    pub notices: Vec<Observed>,
}

/// An entry's request for a permit to send one request to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the exchange with the caller, assigned by the entry.
    pub call: u64,
    /// Number of this permit request, assigned by the entry; none of its earlier incarnations has used it.
    pub number: u64,
    /// Acceptable servers, in order of preference.
    pub servers: Vec<ServerIncarnation>,
    /// Whether the entry rejects the caller's request if no permit is granted.
    pub last_resort: bool,
    /// Time left until the caller's deadline, milliseconds.
    pub left_ms: u32,
}

/// The response to [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Number of the exchange, copied from the request.
    pub call: u64,
    /// Number of the permit request.
    pub number: u64,
    /// Index in [`PermitRequest::servers`] of the server for which the permit is granted.
    pub granted: Option<u32>,
    /// If no permit is granted: time until the next permit of each requested server, milliseconds.
    pub waits_ms: Vec<u32>,
    /// If no permit is granted and the caller's request is rejected: time after which the caller may retry,
    /// milliseconds.
    pub retry_after_ms: u32,
    /// Permits issued for the first requested server in the last four seconds.
    pub issued: u32,
}
