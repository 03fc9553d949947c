//! Decisions and changes of belief, for the log.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Code, Name, Revision};
use fleet::{Calls, Limit};

use crate::forward;

/// What a server was chosen on, as believed then.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementInputs {
    /// Prompt tokens that it would read.
    pub prefill_tokens: u64,
    /// Prompt tokens that it would fetch.
    pub transfer_tokens: u64,
    /// Prompt tokens of earlier requests that it still read.
    pub queued_tokens: u64,
    /// Runs there.
    pub in_flight: u32,
    /// Estimated time to the first token, milliseconds.
    pub cost_ms: f64,
    /// Age of the list of servers.
    pub list_age: Duration,
    /// Its weight version; 0 where none is known.
    pub version: u64,
    /// The weight versions that the model's runs could begin on.
    pub allowed: Allowed,
    /// Its limit, if it had one: a permit was needed.
    pub limit: Option<Limit>,
}

/// The weight versions that runs of a model may begin on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowed {
    /// The oldest one; 0 where any may be used.
    pub least: u64,
    /// The newest one; 0 where none was named.
    pub newest: u64,
    /// Time since the newest came into force here.
    pub newest_age: Duration,
}

/// How a process learnt of what a server takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// In the server's answer to a request, by the caller's ID.
    Answer(Name),
    /// From a keeper or, as the leader, from an entry.
    Process(Name),
}

/// Outcome of asking for a permit for a rate-limited server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The leader granted it.
    Granted,
    /// The leader has no permit left.
    Denied,
    /// No answer came in time.
    Unanswered,
    /// There is no leader, and the request fell into this entry's time slot.
    Standby,
}

impl Permit {
    /// The word in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Denied => "denied",
            Self::Unanswered => "unanswered",
            Self::Standby => "standby",
        }
    }
}

/// A decision for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A request has ended.
    Ended {
        /// The caller's ID of the request.
        request: Name,
        /// Route.
        route: Name,
        /// Server of the last try.
        server: Option<Name>,
        /// Tries in all.
        tries: u32,
        /// What the last server was chosen on.
        basis: PlacementInputs,
        /// How it ended.
        code: Code,
        /// HTTP status.
        status: u16,
        /// Time from arrival to end.
        took: Duration,
        /// Time from arrival to the first bytes of the answer.
        first: Option<Duration>,
    },
    /// A try failed.
    AttemptFailed {
        /// The caller's ID of the request.
        request: Name,
        /// The server.
        server: Name,
        /// How, or which status.
        why: String,
        /// What was done then.
        then: &'static str,
    },
    /// A server named a limit, or named none any more.
    Limited {
        /// The server.
        server: Name,
        /// The limit; none when it names none any more.
        limit: Option<Limit>,
        /// How this process learnt of it.
        from: Source,
        /// Time since it was named last.
        age: Duration,
        /// Calls of this process to it so far.
        calls: Calls,
    },
    /// A rate-limited server suits a request best, which takes a permit.
    Permit {
        /// The caller's ID of the request.
        request: Name,
        /// The best server.
        server: Name,
        /// What came of it.
        outcome: Permit,
        /// The server's limit.
        limit: Option<Limit>,
        /// Time since that was named last.
        age: Duration,
        /// Time for which the request waited for it.
        wait: Duration,
        /// Permits issued for that server in the last four seconds, to all entries.
        issued: u32,
        /// Whether no other server could take the request.
        last: bool,
        /// Time after which the caller may come back, where the request is refused for it.
        back: Option<Duration>,
    },
    /// A server said that it leaves.
    ServerLeaving {
        /// The server.
        server: Name,
        /// How this process learnt of it.
        from: Source,
        /// Time since it was said first.
        age: Duration,
    },
    /// A server asked this process to leave it alone for a time.
    BackoffRequested {
        /// The server.
        server: Name,
        /// The request whose answer asked; empty for a report or an order.
        request: Name,
        /// For how long it asked.
        asked: Duration,
        /// For how long this process will.
        time: Duration,
    },
    /// An answer asked for a pause that cannot be read.
    BackoffUnreadable {
        /// The server.
        server: Name,
    },
    /// An answer named a limit that cannot be read.
    LimitUnreadable {
        /// The server.
        server: Name,
    },
    /// The set of servers has changed.
    Listed {
        /// Servers.
        servers: usize,
        /// Those that take no new work.
        leaving: usize,
    },
    /// The list could not be read.
    ListUnavailable {
        /// What went wrong.
        error: String,
        /// Age of the list in use, milliseconds.
        age_ms: u64,
    },
    /// A server was ordered to another weight version.
    Ordered {
        /// The order.
        change: forward::Change,
        /// Version that it holds.
        from: u64,
    },
    /// A newer weight version of a model came into force here.
    Weights {
        /// Model.
        model: Name,
        /// The version.
        version: u64,
        /// The newest one before; 0 where none was known.
        from: u64,
    },
    /// As the leader: a server reported another weight version than was believed.
    VersionReported {
        /// The server.
        server: Name,
        /// The version.
        version: u64,
        /// Version that it was believed to hold.
        from: u64,
        /// Orders that it has taken in this life.
        orders: u64,
    },
    /// A server is left alone.
    Ejected {
        /// The server.
        server: Name,
        /// Why.
        why: String,
    },
    /// A configuration came into force here.
    InForce {
        /// Where it stands in the log.
        revision: Revision,
        /// Its routes.
        routes: usize,
        /// Whether this process serves by it.
        ready: bool,
    },
    /// As the leader: all that lies at a store or server was read.
    InventoryRead {
        /// Where.
        place: SocketAddr,
        /// Prompt parts there.
        parts: usize,
        /// Time that the read took.
        took: Duration,
    },
    /// This process stood still: frozen, suspended, or without its processor.
    Stalled {
        /// For how long.
        time: Duration,
    },
    /// This process began to lead the keepers, or no longer does.
    Leadership {
        /// Term; none when it no longer leads.
        term: Option<u64>,
        /// The other voters, each with the time since it was sent what it answered last.
        voters: Vec<(Name, Option<Duration>)>,
    },
    /// The address of a process was learnt from another one.
    PeerLearned {
        /// The process.
        process: Name,
        /// Its address.
        addr: SocketAddr,
        /// Who told.
        from: Name,
    },
    /// Processes that this one knew in an earlier life were read from its disk.
    PeersLoaded {
        /// How many.
        processes: usize,
    },
    /// As a keeper: no leader is known.
    Leaderless {
        /// For how long.
        time: Duration,
        /// Term that this keeper is in.
        term: u64,
        /// The other voters, each with whether a link to it is up; none for an empty disk.
        voters: Vec<(Name, bool)>,
    },
    /// A keeper can be reached, or no longer.
    Keeper {
        /// The keeper.
        keeper: Name,
        /// Whether it can be reached.
        up: bool,
    },
}
