//! Decisions and state changes, for the log.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Code, Name, Revision};
use fleet::{Calls, ColdSource, Limit};
use quarantine::{Crash, Hold, Trial};
use resume::Refusal;

use crate::forward;

/// The inputs on which a server was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlacementInputs {
    /// Estimated prefill tokens of the request.
    pub prefill_tokens: u64,
    /// Prompt tokens to transfer from a store or another server.
    pub transfer_tokens: u64,
    /// Prefill tokens queued before the request.
    pub queued_tokens: u64,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Estimated time to the first token, milliseconds.
    pub cost_ms: f64,
    /// Age of the server list.
    pub list_age: Duration,
    /// The server's weight version; 0 if unknown.
    pub version: u64,
    /// The weight versions on which runs of the model could start.
    pub allowed: Allowed,
    /// Its rate limit, if it had one: a permit was needed.
    pub limit: Option<Limit>,
    /// Source of the largest segment that is fetched; the first source if the server should hold them all.
    pub fetch_from: Option<SocketAddr>,
    /// When an unfinished fetch is discarded, on the servers' clock; none if no store is a source.
    pub fetch_until_ms: Option<u64>,
    /// Number of segments that the server is to save on stores.
    pub saves: usize,
    /// Outcome of the request for a permit to save segments.
    pub save_permit: SavePermit,
    /// Why no server was left, if servers that could take the request are in zones that must not receive it.
    pub exclusion: Option<Exclusion>,
    /// Time that the request waited in the queue of this entry; set when it has ended.
    pub queue_wait: Duration,
    /// The connection of its last response.
    pub connection: forward::Connection,
}

/// Why the servers of an availability zone do not receive a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The zone is evacuated.
    Evacuated,
    /// The zone is in no region that the route and the workspace allow.
    Region,
}

impl Exclusion {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Evacuated => "zone evacuated",
            Self::Region => "region not allowed",
        }
    }

    /// Text of the rejection if no other server is left.
    pub const fn rejection(self) -> &'static str {
        match self {
            Self::Evacuated => "all backend servers that can take it are in evacuated zones",
            Self::Region => "no backend server in an allowed region can take it now",
        }
    }
}

/// The weight versions on which runs of a model may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowed {
    /// The oldest one; 0 if any may be used.
    pub oldest: u64,
    /// The newest one; 0 if none was set.
    pub newest: u64,
    /// Time since the newest came into force in this process.
    pub newest_age: Duration,
}

/// The source of a server's rate limit or leaving status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The server's response to the request with this caller's ID.
    Answer(Name),
    /// A keeper or, at the leader, an entry.
    Process(Name),
}

/// A stream goes on after it broke off, or does not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// The caller's ID of the request.
    pub request: Name,
    /// The attempt that received the first event.
    pub first_attempt: Name,
    /// Whether the response that broke off is that of this request.
    pub within_response: bool,
    /// The software version that began it; empty if unknown.
    pub software: Name,
    /// The process that knew that.
    pub source: Name,
    /// Number of servers of that version on the list.
    pub listed: usize,
    /// Number of those that accepted requests.
    pub usable: usize,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Why it does not go on; none if it does.
    pub refusal: Option<Refusal>,
}

/// A call that frees stale segments on a store, with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Free {
    /// The store.
    pub store: SocketAddr,
    /// The model.
    pub model: Name,
    /// The weight versions that the segments were computed with.
    pub versions: Vec<u64>,
    /// Number of segments.
    pub segments: usize,
    /// Oldest version that a server on the list holds.
    pub floor: u64,
    /// A server that holds it; empty if it is the newest version that was set.
    pub held_by: Name,
    /// Number of servers that hold it.
    pub holders: usize,
    /// Clock of the store, milliseconds.
    pub clock_ms: u64,
    /// End of the last lease that this leader issued for one of the versions; 0 if it issued none.
    pub last_lease_ms: u64,
    /// Age of the list of servers.
    pub list_age: Duration,
}

/// Outcome of a permit request for a rate-limited server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The leader granted it.
    Granted,
    /// The leader had no permit available.
    Denied,
    /// The leader did not answer in time.
    Unanswered,
    /// There is no leader, and the request fell into this entry's time slot.
    Standby,
}

impl Permit {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Denied => "denied",
            Self::Unanswered => "unanswered",
            Self::Standby => "standby",
        }
    }
}

/// Outcome of a request for a permit to save prompt segments on stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SavePermit {
    /// All segments are stored, or a permit was requested for them a moment ago.
    #[default]
    NotNeeded,
    /// The leader issued it.
    Issued,
    /// The leader did not issue it: the segments are stored meanwhile, or others have permits.
    Denied,
    /// The leader did not answer in time.
    Unanswered,
    /// There is no leader, or its last answer was late.
    NoLeader,
}

impl SavePermit {
    /// All outcomes.
    pub const ALL: [Self; 5] =
        [Self::NotNeeded, Self::Issued, Self::Denied, Self::Unanswered, Self::NoLeader];

    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotNeeded => "not needed",
            Self::Issued => "issued",
            Self::Denied => "denied",
            Self::Unanswered => "unanswered",
            Self::NoLeader => "no leader",
        }
    }
}

/// How the wait of a request in the queue ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waited {
    /// A server can take it.
    Sent,
    /// The request ended: it was rejected, or its caller disconnected.
    Ended,
}

impl Waited {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Ended => "ended",
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
        /// Server of the last attempt.
        server: Option<Name>,
        /// Software version of that server.
        software: Option<Name>,
        /// The attempt that received the first event of the stream, if the client resumes one and names it.
        resumes: Option<Name>,
        /// Total number of attempts.
        attempts: u32,
        /// The inputs on which the last server was chosen.
        inputs: PlacementInputs,
        /// Final code.
        code: Code,
        /// HTTP status.
        status: u16,
        /// Time from arrival to end.
        took: Duration,
        /// Time from arrival to the first bytes of the response.
        first: Option<Duration>,
    },
    /// A request waits until a server can take it.
    Waits {
        /// The caller's ID of the request.
        request: Name,
        /// The service.
        service: Name,
        /// Rank of the request.
        rank: u8,
        /// Number of requests for the service that wait already.
        queued: usize,
        /// Estimated time until it can go.
        expected: Duration,
        /// Time after which sending it is of no use.
        at_most: Duration,
    },
    /// A request waits no longer.
    WaitEnded {
        /// The caller's ID of the request.
        request: Name,
        /// Rank of the request.
        rank: u8,
        /// Time that it waited.
        waited: Duration,
        /// How its wait ended.
        outcome: Waited,
    },
    /// A stream continues at another server within the same response.
    Resumed {
        /// The caller's ID of the request.
        request: Name,
        /// The server.
        server: Name,
        /// Its software version.
        software: Name,
        /// The server before.
        from_server: Name,
        /// Its software version.
        from_software: Name,
    },
    /// A client resumes a stream, or a stream can't go on.
    Resumption(Resumption),
    /// An attempt failed.
    AttemptFailed {
        /// The caller's ID of the request.
        request: Name,
        /// The server.
        server: Name,
        /// The failure, or the status.
        reason: String,
        /// The action taken.
        action: &'static str,
        /// How far the response had come.
        progress: forward::Progress,
        /// IDs of the segments of its prompt.
        segments: Vec<u64>,
    },
    /// A server advertised a rate limit, or removed it.
    Limited {
        /// The server.
        server: Name,
        /// The limit; none if it was removed.
        limit: Option<Limit>,
        /// The source of this information.
        from: Source,
        /// Time since the server last advertised it.
        age: Duration,
        /// Number of calls of this process to the server so far.
        calls: Calls,
    },
    /// A server has become cold, or is no longer.
    Cold {
        /// The server.
        server: Name,
        /// Why it counts as cold; none if it is no longer cold.
        source: Option<ColdSource>,
        /// For how much longer it was reported to be cold.
        left: Duration,
        /// The rate that it accepts while it is cold.
        limit: Option<Limit>,
        /// Number of calls of this process to the server so far.
        calls: Calls,
    },
    /// A rate-limited server is the best one for a request, which needs a permit.
    Permit {
        /// The caller's ID of the request.
        request: Name,
        /// The best server.
        server: Name,
        /// The outcome.
        outcome: Permit,
        /// The server's rate limit.
        limit: Option<Limit>,
        /// Time since the server last advertised the limit.
        age: Duration,
        /// Time that the request waited for the permit.
        wait: Duration,
        /// Permits issued for that server in the last four seconds, to all entries.
        issued: u32,
        /// Whether no other server could serve the request.
        last_resort: bool,
        /// Retry-After for the caller, if the request was rejected for lack of a permit.
        retry_after: Option<Duration>,
    },
    /// A server announced that it is leaving.
    ServerLeaving {
        /// The server.
        server: Name,
        /// The source of this information.
        from: Source,
        /// Time since the server first announced it.
        age: Duration,
    },
    /// A server requested a backoff.
    BackoffRequested {
        /// The server.
        server: Name,
        /// The request whose response contained it; empty for a report or an order.
        request: Name,
        /// The requested backoff.
        asked: Duration,
        /// The backoff that this process applies.
        time: Duration,
    },
    /// A response contained an invalid backoff.
    BackoffUnreadable {
        /// The server.
        server: Name,
    },
    /// A response contained an invalid rate limit.
    LimitUnreadable {
        /// The server.
        server: Name,
    },
    /// A server ended with the runs of several entries.
    ServerCrashed {
        /// The losses of the entries.
        crash: Crash,
        /// Time since the first run was lost.
        age: Duration,
    },
    /// Quarantined prompt segments, or a quarantined request, explain the crash of a server.
    CrashExplained {
        /// The server.
        server: quarantine::Server,
        /// The causes.
        hold: Hold,
    },
    /// Requests with these causes are rejected from now on, or are not any more.
    Quarantined {
        /// Whether they are.
        held: bool,
        /// The causes and the crashes that they explain.
        hold: Hold,
        /// Time since the last of these crashes.
        age: Duration,
    },
    /// A request was rejected because of quarantined causes.
    HeldBack {
        /// The caller's ID of the request.
        request: Name,
        /// The causes and the crashes that they explain.
        hold: Hold,
        /// Time since the last of these crashes.
        last_crash: Duration,
        /// Number of trials so far.
        trials: u32,
        /// Retry-After for the caller.
        retry_after: Duration,
    },
    /// An entry may send one request with a quarantined cause.
    TrialPermitted(Trial),
    /// The server list has changed.
    Listed {
        /// Number of servers.
        servers: usize,
        /// Number of servers that accept no new work.
        leaving: usize,
    },
    /// The server list could not be read.
    ListUnavailable {
        /// The error.
        error: String,
        /// Age of the list in use, in milliseconds.
        age_ms: u64,
    },
    /// A server was ordered to change its weight version.
    Ordered {
        /// The order.
        change: forward::Change,
        /// The version that it has.
        from: u64,
    },
    /// A newer weight version of a model came into force in this process.
    Weights {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
        /// The newest version before; 0 if unknown.
        from: u64,
    },
    /// At the leader: a server reported a different weight version than the cached one.
    VersionReported {
        /// The server.
        server: Name,
        /// The version.
        version: u64,
        /// The cached version.
        from: u64,
        /// Number of orders that it has accepted in this incarnation.
        orders: u64,
    },
    /// A server was ejected.
    Ejected {
        /// The server.
        server: Name,
        /// The reason.
        reason: String,
    },
    /// A configuration came into force in this process.
    InForce {
        /// Its revision.
        revision: Revision,
        /// Number of its routes.
        routes: usize,
        /// Whether this process serves with it.
        ready: bool,
    },
    /// The evacuation of an availability zone began or ended in this process.
    Evacuation {
        /// The zone.
        zone: Name,
        /// Whether it is evacuated.
        active: bool,
        /// Who changed it.
        by: Name,
    },
    /// At the leader: the complete inventory of a store or server was read.
    InventoryRead {
        /// The store or server.
        location: SocketAddr,
        /// Number of prompt segments there.
        segments: usize,
        /// Duration of the read.
        took: Duration,
    },
    /// At the leader: the weight versions of a model whose segments may be fetched from stores have changed.
    VersionsLeased {
        /// The model.
        model: Name,
        /// The versions.
        versions: Vec<u64>,
        /// Term in which this process leads.
        term: u64,
        /// The servers' clock, milliseconds.
        clock_ms: u64,
    },
    /// At the leader: stale segments on a store are freed.
    Freed(Free),
    /// This process stalled: frozen, suspended, or not scheduled.
    Stalled {
        /// The duration.
        time: Duration,
    },
    /// This process became leader of the keepers, or lost leadership.
    Leadership {
        /// The term; none if leadership was lost.
        term: Option<u64>,
        /// The other voters, each with the time since the message was sent that it answered last.
        voters: Vec<(Name, Option<Duration>)>,
    },
    /// The address of a process was reported by another one.
    PeerLearned {
        /// The process.
        process: Name,
        /// Its address.
        addr: SocketAddr,
        /// The process that reported it.
        from: Name,
    },
    /// The processes tracked by an earlier incarnation were read from the disk.
    PeersLoaded {
        /// Their number.
        processes: usize,
    },
    /// At a keeper: there is no leader.
    Leaderless {
        /// The duration.
        time: Duration,
        /// The keeper's term.
        term: u64,
        /// The other voters, each with whether it is connected; empty if the disk is empty.
        voters: Vec<(Name, bool)>,
    },
    /// A reply to a request of an earlier incarnation of this process was dropped.
    LateReply {
        /// The process that sent it.
        from: Name,
        /// Number of the request.
        number: u64,
        /// First number that this incarnation used.
        first_number: u64,
    },
    /// A keeper was connected or disconnected.
    Keeper {
        /// The keeper.
        keeper: Name,
        /// Whether it is connected.
        up: bool,
    },
}
