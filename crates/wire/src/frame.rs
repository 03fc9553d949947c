//! The frames of the protocol.

use std::net::SocketAddr;

use base::{Code, Incarnation, Name, Revision, RunId, Time};
use quorum::{Member, Message};
use record::{Change, Record};
use serde::{Deserialize, Serialize};

use crate::{
    Answer, CacheDelta, Contact, Digest, FetchLease, Inventory, List, Part, Piece, Priority,
    Request, ServerLoad, VersionAges, Work, limit, quarantine, save, stream,
};

/// The backend server of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Name of the model or plain service.
    pub serves: Name,
    /// Whether it is a plain service.
    pub plain: bool,
    /// Maximum number of concurrent runs.
    pub slots: u32,
}

/// Description of a process; the first frame on each link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process.
    pub name: Name,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Name,
    /// Address at which other processes reach it.
    pub addr: SocketAddr,
    /// Whether it has the role entry.
    pub entry: bool,
    /// Whether it has the role keeper.
    pub keeper: bool,
    /// Its backend server, if it has the role agent.
    pub server: Option<ServerInfo>,
}

impl Hello {
    /// Seed for the random numbers of this incarnation. It includes the name, so that processes that start
    /// at the same time draw different numbers.
    pub fn seed(&self) -> u64 {
        let mut digest = Digest::default();
        digest.bytes(&self.incarnation.0.to_le_bytes());
        digest.bytes(self.name.as_bytes());
        digest.0
    }
}

/// Load of a backend server, as last read from it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in the current batch.
    pub running: u32,
    /// Runs queued for a slot.
    pub waiting: u32,
    /// Prompt tokens that remain to be computed: of workspaces within their share, and of the others.
    pub prefill: [u64; 2],
    /// Loaded weight version.
    pub version: Name,
    /// Runs that the agent holds, from all entries.
    pub held_runs: u32,
    /// Prefill time per prompt token, nanoseconds; 0 while unknown.
    pub prefill_ns_per_token: u64,
    /// Bandwidth of the agent's cache links, bytes per second.
    pub link_bytes_per_s: u64,
    /// Bytes queued on these links.
    pub link_queued_bytes: u64,
    /// Stores that the agent currently avoids.
    pub avoided_stores: Vec<Name>,
    /// Rate limit of the server, runs per 1000 seconds; `None` if it reports no limit.
    pub limit: Option<u64>,
    /// Runs that the agent may send to it now, if it has a limit.
    pub permits: Option<u32>,
}

/// Status of a keeper that knows no leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoQuorum {
    /// Number of voters in its configuration.
    pub voters: u32,
    /// The newest revision to which its log may lead, whether committed or not.
    pub newest: Revision,
}

/// A heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Latest configuration revision that the sender has applied.
    pub revision: Revision,
    /// Whether the sender is leaving and accepts no new work.
    pub leaving: bool,
    /// Load of the sender's backend server.
    pub load: Option<Load>,
    /// Runs of the receiver that the sender holds.
    pub held_runs: u32,
    /// Prompt tokens that remain to be computed for these runs, as in [`Load::prefill`].
    pub held_prefill: [u64; 2],
    /// Time since the sender's configuration was last confirmed to be current, milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Set by keepers that know no leader.
    pub no_quorum: Option<NoQuorum>,
    /// Whether the sender is ready to serve.
    pub ready: bool,
    /// The sender's clock when it sent the heartbeat.
    pub sent: Time,
    /// The receiver's clock from the last heartbeat that the sender received from it.
    pub echo: Time,
}

/// A run to be started by an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// ID of the run, including the attempt.
    pub run: RunId,
    /// The only incarnation of the agent that may start it.
    pub incarnation: Incarnation,
    /// Workspace of the caller.
    pub workspace: Name,
    /// Priority class.
    pub priority: Priority,
    /// Whether the workspace exceeds its share. Within the priority class, other workspaces are served
    /// first.
    pub over_share: bool,
    /// Time left until the deadline, milliseconds.
    pub left_ms: u64,
    /// Whether the run may be repeated.
    pub idempotent: bool,
    /// The idempotency key, for a run that may run at most once.
    pub idempotency_key: Option<Name>,
    /// The work.
    pub work: Work,
    /// Prompt tokens to compute for it, as estimated by the entry.
    pub prefill: u64,
    /// Prompt tokens queued before it, as estimated by the entry. The agent rejects the run if its own
    /// queue is much longer.
    pub queued_tokens: u64,
    /// Prefix blocks to fetch from stores before the start.
    pub fetch: Vec<Piece>,
    /// Prefix blocks to save to a store afterwards.
    pub save: Vec<[u8; 16]>,
    /// Prefix blocks to save only while the store has ample free space.
    pub save_if_free: Vec<[u8; 16]>,
}

/// A numbered part of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// The run.
    pub run: RunId,
    /// Sequence number of the part, starting at 0.
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
    /// Agent to entry: a part of a response.
    Output(Output),
    /// Entry to agent: all parts before `seq` have been received.
    Ack {
        /// The run.
        run: RunId,
        /// First part not received yet.
        seq: u64,
    },
    /// Entry to agent: send the parts from `seq` on again.
    Resume {
        /// The run.
        run: RunId,
        /// First part not received yet.
        seq: u64,
    },
    /// Entry to agent: abort the run, or do not start it.
    Cancel {
        /// The run.
        run: RunId,
    },
    /// Agent to entry: the run is rejected; it has not started and never will.
    Rejected {
        /// The run.
        run: RunId,
        /// Reason.
        code: Code,
        /// Expected time until a slot is free, milliseconds.
        retry_ms: u64,
    },
    /// Agent to entry: the agent has no such run.
    UnknownRun {
        /// The run.
        run: RunId,
    },
    /// Keeper to keeper: a message of the consensus protocol.
    Quorum {
        /// The sender.
        from: Member,
        /// The receiver; `None` for all keepers.
        to: Option<Member>,
        /// The message.
        message: Message,
    },
    /// To a keeper: a request about the replicated state.
    Request {
        /// ID assigned by the sender, which none of its earlier incarnations has used.
        id: u64,
        /// The request.
        request: Request,
    },
    /// From a keeper: the response to [`Frame::Request`].
    Answer {
        /// ID of the request.
        id: u64,
        /// The response.
        answer: Answer,
    },
    /// Requests the changes after a revision. A keeper also sends all later changes.
    Watch {
        /// Revision that the sender has.
        revision: Revision,
    },
    /// Changes of records.
    Changes {
        /// The revision that they follow without a gap.
        after: Revision,
        /// The changes, in order.
        changes: Vec<Change>,
    },
    /// All records.
    Records {
        /// Their revision.
        revision: Revision,
        /// The records.
        records: Vec<Record>,
    },
    /// Keeper to entry: the processes of the cluster.
    Members(Vec<Hello>),
    /// Keeper to agent: load a weight version.
    Order {
        /// Fencing token.
        token: Revision,
        /// The only incarnation of the agent that may execute the order.
        incarnation: Incarnation,
        /// The weight version.
        version: Name,
    },
    /// Agent to entry: a change of its caches.
    Cache(CacheDelta),
    /// Keeper to entry: changes of the segments on the stores.
    Inventory(Inventory),
    /// Entry to keeper: the load that this entry puts on servers without an agent.
    Loads(Vec<ServerLoad>),
    /// Keeper to entry: the load that all entries together put on these servers.
    LoadTotals(Vec<ServerLoad>),
    /// Keeper to entry: the server list as last read.
    List(List),
    /// Keeps the link alive when there is nothing else to send.
    Idle,
    /// Keeper to entry: how long ago weight versions were set.
    VersionAges(Vec<VersionAges>),
    /// Keepers that the sender knows.
    Contacts(Vec<Contact>),
    /// Entry to keeper: limits that servers reported in their responses.
    LimitsObserved(Vec<limit::Observed>),
    /// Keeper to entry: the limits in force.
    Limits(limit::Limits),
    /// Entry to keeper: a request for a permit to send to a server with a limit.
    PermitRequest(limit::PermitRequest),
    /// Keeper to entry: the response to [`Frame::PermitRequest`].
    Permit(limit::PermitReply),
    /// Entry to keeper and keeper to entry: observations of crashed servers.
    Evidence(quarantine::Evidence),
    /// Entry to keeper: a request with these quarantined causes was rejected.
    HeldBack(Vec<quarantine::Cause>),
    /// Entry to keeper: origins of streams.
    StreamRecords(stream::Records),
    /// Keeper to entry: records with this number are on the disk.
    StreamsRecorded {
        /// The number.
        ack: u64,
    },
    /// Entry to keeper: a lookup of the origin of a stream.
    StreamQuery {
        /// Number of the lookup, which no earlier incarnation of the entry has used.
        call: u64,
        /// Key of the stream.
        key: [u8; 16],
    },
    /// Keeper to entry: the response to [`Frame::StreamQuery`].
    StreamFound {
        /// Number of the lookup.
        call: u64,
        /// What the keeper knows.
        found: stream::Lookup,
    },
    /// Keeper to entry: leases for fetches from stores.
    FetchLeases(Vec<FetchLease>),
    /// Entry to keeper: a request for a permit to save segments on stores.
    SaveRequest(save::Request),
    /// Keeper to entry: the response to [`Frame::SaveRequest`].
    SavePermit(save::Reply),
    /// Entry to keeper: numbers of permits whose saves can't begin any more.
    SavesEnded(Vec<u64>),
    /// Entry to keeper: its permits, by whichever leader.
    SavesOutstanding(save::Outstanding),
}

impl Frame {
    /// Its kind, as a label value of metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Heartbeat(_) => "heartbeat",
            Self::Start(_) => "start",
            Self::Output(_) => "output",
            Self::Ack { .. } => "ack",
            Self::Resume { .. } => "resume",
            Self::Cancel { .. } => "cancel",
            Self::Rejected { .. } => "rejected",
            Self::UnknownRun { .. } => "unknown_run",
            Self::Quorum { .. } => "quorum",
            Self::Request { .. } => "request",
            Self::Answer { .. } => "answer",
            Self::Watch { .. } => "watch",
            Self::Changes { .. } => "changes",
            Self::Records { .. } => "records",
            Self::Members(_) => "members",
            Self::Order { .. } => "order",
            Self::Cache(_) => "cache",
            Self::Inventory(_) => "inventory",
            Self::Loads(_) => "loads",
            Self::LoadTotals(_) => "load_totals",
            Self::List(_) => "list",
            Self::Idle => "idle",
            Self::VersionAges(_) => "version_ages",
            Self::Contacts(_) => "contacts",
            Self::LimitsObserved(_) => "limits_observed",
            Self::Limits(_) => "limits",
            Self::PermitRequest(_) => "permit_request",
            Self::Permit(_) => "permit",
            Self::Evidence(_) => "evidence",
            Self::HeldBack(_) => "held_back",
            Self::StreamRecords(_) => "stream_records",
            Self::StreamsRecorded { .. } => "streams_recorded",
            Self::StreamQuery { .. } => "stream_query",
            Self::StreamFound { .. } => "stream_found",
            Self::FetchLeases(_) => "fetch_leases",
            Self::SaveRequest(_) => "save_request",
            Self::SavePermit(_) => "save_permit",
            Self::SavesEnded(_) => "saves_ended",
            Self::SavesOutstanding(_) => "saves_outstanding",
        }
    }

    /// Number of the request to which this frame is the reply.
    pub fn reply_number(&self) -> Option<u64> {
        match self {
            Self::Answer { id, .. } => Some(*id),
            Self::Permit(reply) => Some(reply.number),
            Self::SavePermit(reply) => Some(reply.number),
            Self::StreamsRecorded { ack } => Some(*ack),
            Self::StreamFound { call, .. } => Some(*call),
            _ => None,
        }
    }
}
