//! Servers that take a limited rate of calls from all VMs together, and the permits for them.

use base::Name;
use serde::{Deserialize, Serialize};

/// One life of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// Identity.
    pub id: Name,
    /// Start, milliseconds since 1970, where the list tells it.
    pub born: Option<u64>,
}

/// What an answer said of its server's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// The server.
    pub server: Life,
    /// Calls that it takes in a thousand seconds; none where the answer named no limit.
    pub limit: Option<u64>,
    /// Time since the answer came or, where it named no limit, since its request was sent; microseconds.
    pub ago_us: u64,
}

/// A limit in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The server.
    pub server: Life,
    /// Calls that it takes in a thousand seconds.
    pub limit: u64,
    /// Time since it was named last, microseconds.
    pub ago_us: u64,
}

/// All limits in force, as the leader among the keepers knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Term of the leader.
    pub term: u64,
    /// The limits.
    pub limits: Vec<Limit>,
}

/// An entry asks for a permit to send one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The entry's number of the exchange.
    pub call: u64,
    /// The entry's number of this question.
    pub number: u64,
    /// Servers that would do, the best one first.
    pub servers: Vec<Life>,
    /// Whether the request is refused without a permit.
    pub last: bool,
    /// Time that its caller will still wait, milliseconds.
    pub left_ms: u32,
}

/// The answer to [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The entry's number of the exchange.
    pub call: u64,
    /// The entry's number of the question.
    pub number: u64,
    /// Place among the servers asked for of the one that the permit is for.
    pub granted: Option<u32>,
    /// Where none is granted: time until the next permit of each server asked for, milliseconds.
    pub waits_ms: Vec<u32>,
    /// Where none is granted and the request is refused: when its caller may come back, milliseconds.
    pub back_ms: u32,
    /// Permits issued for the first server asked for in the last four seconds.
    pub issued: u32,
}
