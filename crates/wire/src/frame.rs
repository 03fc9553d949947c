//! The closed set of frames.

use std::net::SocketAddr;

use base::{Code, Incarnation, Name, Revision, RunId, Time};
use quorum::{Member, Message};
use record::{Change, Record};
use serde::{Deserialize, Serialize};

use crate::{
    Answer, CacheDelta, Contact, Digest, Inventory, List, Part, Piece, Priority, Request,
    ServerLoad, VersionAges, Work, limit,
};

/// What an agent stands beside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Model or plain service.
    pub serves: Name,
    /// Whether it is a plain service.
    pub plain: bool,
    /// Most runs at once.
    pub slots: u32,
}

/// Who a process is; the first frame on each link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process.
    pub name: Name,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Name,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Whether it is an entry.
    pub entry: bool,
    /// Whether it is a keeper.
    pub keeper: bool,
    /// The backend server beside it, if it is an agent.
    pub server: Option<ServerInfo>,
}

impl Hello {
    /// Seed of what this life of the process draws at random: processes that start in the same moment draw differently.
    pub fn seed(&self) -> u64 {
        let mut digest = Digest::default();
        digest.bytes(&self.incarnation.0.to_le_bytes());
        digest.bytes(self.name.as_bytes());
        digest.0
    }
}

/// Load of a backend server, as last read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in the batch.
    pub running: u32,
    /// Runs that wait for a place.
    pub waiting: u32,
    /// Prompt tokens still to compute: of workspaces within their share, and of others.
    pub prefill: [u64; 2],
    /// Weight version held.
    pub version: Name,
    /// Runs that the agent holds, of all entries.
    pub held_runs: u32,
    /// Time to compute one prompt token, nanoseconds; 0 while unknown.
    pub prefill_ns_per_token: u64,
    /// Bytes per second of the agent's cache links.
    pub link_bytes_per_s: u64,
    /// Bytes that wait on them.
    pub link_queued_bytes: u64,
    /// Stores that the agent leaves alone at present.
    pub avoided_stores: Vec<Name>,
    /// Runs that the server takes in a thousand seconds; none where it names no limit.
    pub limit: Option<u64>,
    /// Runs that the agent may give it now, where it names one.
    pub permits: Option<u32>,
}

/// What a keeper that knows no leader says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoQuorum {
    /// Voters among the keepers.
    pub voters: u32,
    /// The newest revision that its log may lead to, agreed or not.
    pub newest: Revision,
}

/// A heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Highest configuration revision that the sender applied.
    pub revision: Revision,
    /// Whether the sender takes no new work.
    pub leaving: bool,
    /// Load of the sender's backend server.
    pub load: Option<Load>,
    /// Runs of the receiver that the sender holds.
    pub held_runs: u32,
    /// Prompt tokens still to compute for those, as in [`Load::prefill`].
    pub held_prefill: [u64; 2],
    /// Time since the sender's configuration was last known to be the latest, milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Keepers only: that no leader is known.
    pub no_quorum: Option<NoQuorum>,
    /// Whether the sender may serve.
    pub ready: bool,
    /// The sender's clock at sending.
    pub sent: Time,
    /// The receiver's clock in the last heartbeat that the sender had from it.
    pub echo: Time,
}

/// A run for an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The dispatch.
    pub run: RunId,
    /// The one life of the agent that may take it.
    pub incarnation: Incarnation,
    /// Workspace that asks.
    pub workspace: Name,
    /// Priority class.
    pub priority: Priority,
    /// Whether the workspace is over its share; others go first within the class.
    pub over_share: bool,
    /// Time left until the deadline, milliseconds.
    pub left_ms: u64,
    /// Whether the run may be done again.
    pub idempotent: bool,
    /// The caller's key, for a run that may be done only once.
    pub idempotency_key: Option<Name>,
    /// The work.
    pub work: Work,
    /// Prompt tokens to compute for it, as the entry estimates.
    pub prefill: u64,
    /// Prompt tokens that the entry believes to be computed before it; far more make the agent
    /// refuse.
    pub queued_tokens: u64,
    /// Pieces to fetch from stores before the start.
    pub fetch: Vec<Piece>,
    /// Pieces to write back to a store afterwards.
    pub save: Vec<[u8; 16]>,
    /// Pieces to write back only while the store has plenty of room.
    pub save_if_free: Vec<[u8; 16]>,
}

/// A numbered part of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// The dispatch.
    pub run: RunId,
    /// Number of the part, from zero.
    pub seq: u64,
    /// The part.
    pub part: Part,
}

/// A frame between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame on a link.
    Hello(Hello),
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// Entry to agent: start a run.
    Start(Box<Start>),
    /// Agent to entry: a part of an answer.
    Output(Output),
    /// Entry to agent: all parts below `seq` have arrived.
    Ack {
        /// The dispatch.
        run: RunId,
        /// First part not yet seen.
        seq: u64,
    },
    /// Entry to agent: send again from `seq` on.
    Resume {
        /// The dispatch.
        run: RunId,
        /// First part not yet seen.
        seq: u64,
    },
    /// Entry to agent: end the run, or never start it.
    Cancel {
        /// The dispatch.
        run: RunId,
    },
    /// Agent to entry: the run has not started and never will.
    Rejected {
        /// The dispatch.
        run: RunId,
        /// Why.
        code: Code,
        /// When a slot is likely free, milliseconds.
        retry_ms: u64,
    },
    /// Agent to entry: nothing is known of the run.
    UnknownRun {
        /// The dispatch.
        run: RunId,
    },
    /// Keeper to keeper: agreement on the log.
    Quorum {
        /// The sender.
        from: Member,
        /// The receiver; none for every keeper.
        to: Option<Member>,
        /// The message.
        message: Message,
    },
    /// To a keeper: a request for the agreed state.
    Request {
        /// Number given by the sender.
        id: u64,
        /// The request.
        request: Request,
    },
    /// From a keeper: the answer to [`Frame::Request`].
    Answer {
        /// Number of the request.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// Send the records after a revision, and from a keeper all later changes too.
    Watch {
        /// What the sender has.
        revision: Revision,
    },
    /// Changes of records.
    Changes {
        /// The revision that they follow without a gap.
        after: Revision,
        /// The changes, in their order.
        changes: Vec<Change>,
    },
    /// All records.
    Records {
        /// Their revision.
        revision: Revision,
        /// The records.
        records: Vec<Record>,
    },
    /// Keeper to entry: the processes that are there.
    Members(Vec<Hello>),
    /// Keeper to agent: load a weight version.
    Order {
        /// Fencing token.
        token: Revision,
        /// The one life of the agent that may obey.
        incarnation: Incarnation,
        /// The weight version.
        version: Name,
    },
    /// Agent to entry: what its caches hold.
    Cache(CacheDelta),
    /// Keeper to entry: what lies on the stores.
    Inventory(Inventory),
    /// Entry to keeper: what the entry has at servers without an agent.
    Loads(Vec<ServerLoad>),
    /// Keeper to entry: what all entries have there.
    LoadTotals(Vec<ServerLoad>),
    /// Keeper to entry: a reading of the list of servers.
    List(List),
    /// Nothing to say; the link is alive.
    Idle,
    /// Keeper to entry: how long ago weight versions were named.
    VersionAges(Vec<VersionAges>),
    /// Keepers that the sender knows.
    Contacts(Vec<Contact>),
    /// Entry to keeper: what answers said of servers' limits.
    LimitsObserved(Vec<limit::Observed>),
    /// Keeper to entry: the limits in force.
    Limits(limit::Limits),
    /// Entry to keeper: may a request be sent to a server with a limit?
    PermitRequest(limit::PermitRequest),
    /// Keeper to entry: the answer to [`Frame::PermitRequest`].
    Permit(limit::PermitReply),
}
