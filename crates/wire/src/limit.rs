//! What servers take, as their answers say: a limited rate of calls from all VMs together and the permits for them,
//! nothing for a time, nothing any more.

use base::Name;
use serde::{Deserialize, Serialize};

/// One life of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// Identity.
    pub id: Name,
    /// Start, milliseconds since 1970, where the list tells it.
    pub born: Option<u64>,
}

/// What an answer said of what its server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// So many calls in a thousand seconds.
    Limit(u64),
    /// No limit.
    Unlimited,
    /// Nothing, since it leaves.
    Leaving,
    /// Nothing for so long from now on, microseconds.
    Backoff(u64),
}

/// What an answer said, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// The server.
    pub server: ServerIncarnation,
    /// What it said.
    pub notice: Notice,
    /// Time since the answer came or, where it named no limit, since its request was sent; microseconds.
    pub ago_us: u64,
}

/// All that servers said and that still holds, as the leader among the keepers knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Term of the leader.
    pub term: u64,
    /// What servers said; never [`Notice::Unlimited`].
    pub notices: Vec<Observed>,
}

/// An entry asks for a permit to send one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The entry's number of the exchange.
    pub call: u64,
    /// The entry's number of this question.
    pub number: u64,
    /// Servers that would do, the best one first.
    pub servers: Vec<ServerIncarnation>,
    /// Whether the request is refused without a permit.
    pub last: bool,
    /// Time that its caller will still wait, milliseconds.
    pub left_ms: u32,
}

/// The answer to [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The entry's number of the exchange.
    pub call: u64,
    /// The entry's number of the question.
    pub number: u64,
    /// Place among the servers asked for of the one that the permit is for.
    pub granted: Option<u32>,
    /// Where none is granted: time until the next permit of each server asked for, milliseconds.
    pub waits_ms: Vec<u32>,
    /// Where none is granted and the request is refused: when its caller may come back, milliseconds.
    pub retry_after_ms: u32,
    /// Permits issued for the first server asked for in the last four seconds.
    pub issued: u32,
}
