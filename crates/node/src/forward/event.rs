//! Events for the reducer of forwarded requests, and the actions and calls it asks the edges for.

use std::net::SocketAddr;

use base::prelude::*;
use cache::Segment;
use fleet::rollout::Reply;
use fleet::{Listed, Load, Notice, Report, StoreDelta};
use record::{Route, View};

/// A prompt whose segments the caller names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model.
    pub model: Name,
    /// Segments in order; the last one belongs to this request or its session only.
    pub segments: Vec<Segment>,
    /// Tokens of the complete prompt.
    pub tokens: u32,
    /// Maximum number of tokens of the response.
    pub max_tokens: u32,
}

impl Prompt {
    /// Engine memory that it needs with its complete response, tokens.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.max_tokens)
    }
}

/// A client's request to go on with a stream that broke off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resumption {
    /// ID of the client attempt that received the first event; none if the client names none, or none that can be an ID.
    pub first_attempt: Option<Name>,
}

/// The head of a request, as the reducer needs it.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The caller's ID of this request, for logs.
    pub id: Name,
    /// Host that the request was sent to.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The prompt, for requests that name one.
    pub prompt: Option<Prompt>,
    /// Digest of its method, path, query and body: equal in all requests by which a caller sends it again. None if unknown.
    pub digest: Option<u128>,
    /// The stream to go on with, if it names the last event that the client has.
    pub resumption: Option<Resumption>,
}

impl RequestHead {
    /// The route for its host and path.
    pub(super) fn route<'a>(&self, view: &'a View) -> Option<&'a Route> {
        let path = self.path.split('?').next().unwrap_or_default();
        view.route_table().find(&self.host, path)
    }

    /// The attempt that it names as the one that received the first event of its stream.
    pub(super) fn resumed_attempt(&self) -> Option<&Name> {
        self.resumption.as_ref()?.first_attempt.as_ref()
    }
}

/// One attempt: a request as it is sent to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Identity of the server; any other server must reject the request.
    pub id: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Workspace of the caller.
    pub workspace: Option<Name>,
    /// Rank among the server's requests; 0 goes first.
    pub rank: u8,
    /// Weight version that it must run on.
    pub version: Option<u64>,
    /// Salt under which its cached prompt segments are shared.
    pub salt: Option<Name>,
    /// Where each segment of the prompt is fetched from, unless the server holds it.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Time on the servers' clock at which an unfinished fetch is discarded, milliseconds.
    pub fetch_until_ms: Option<u64>,
    /// The store that each segment is saved to after its prefill.
    pub save: Vec<Option<SocketAddr>>,
}

/// The connection of an attempt, before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connection {
    /// Number of the connection in this process; 0 if there was none.
    pub number: u64,
    /// Number of requests that it had carried; 0 for a new one.
    pub carried: u32,
    /// Number of these that the server refused.
    pub refused: u32,
}

/// The head of a server's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Whether the response carries the ID of the request that was sent.
    pub matches_request: bool,
    /// Whether the server states that it has not run the request.
    pub not_run: bool,
    /// Whether it is a server's event stream, which can continue another one.
    pub is_event_stream: bool,
    /// Load of the server.
    pub load: Option<Load>,
    /// Weight version that the server holds.
    pub version: Option<u64>,
    /// Rate limit, leaving and backoff notices of the server.
    pub notice: Notice,
    /// The connection that it came on.
    pub connection: Connection,
}

/// How an attempt failed without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent,
    /// The request was sent, and no response came.
    NoResponse,
    /// The response was aborted.
    Aborted,
}

impl Failure {
    /// The text in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::NoResponse => "no answer",
            Self::Aborted => "answer broken off",
        }
    }
}

/// How far an attempt had come when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No response was received.
    Sent,
    /// The head of the response was received.
    Head,
    /// The body was being received for this long.
    Body(Duration),
}

impl Progress {
    /// The text in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Head => "head",
            Self::Body(_) => "body",
        }
    }
}

/// An event that concerns forwarded requests or their servers.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was received completely.
    Arrived {
        /// Number of the exchange.
        call: u64,
        /// Head of the request.
        head: Box<RequestHead>,
    },
    /// The head of a response was received.
    ResponseReceived {
        /// Number of the exchange.
        call: u64,
        /// Head of the response.
        response: ResponseHead,
    },
    /// The first bytes of the body were delivered to the caller.
    BodyStarted {
        /// Number of the exchange.
        call: u64,
    },
    /// An attempt ended without a complete response.
    Failed {
        /// Number of the exchange.
        call: u64,
        /// How it failed.
        failure: Failure,
    },
    /// The complete response was delivered.
    Completed {
        /// Number of the exchange.
        call: u64,
    },
    /// The caller disconnected.
    ClientDisconnected {
        /// Number of the exchange.
        call: u64,
    },
    /// The list of servers was read, or the read failed.
    Listed {
        /// The list, or the error.
        list: Result<Vec<Listed>, String>,
    },
    /// A server answered a request for its report.
    Reported {
        /// Identity of the server.
        id: Name,
        /// The report.
        report: Report,
        /// Notices in the response.
        notice: Notice,
    },
    /// The inventory or events of a store or server were read, or the read failed.
    StoreRead {
        /// Address of the store or server.
        addr: SocketAddr,
        /// Number of the first event that was requested; none for the complete inventory.
        since: Option<u64>,
        /// The segments and events read, or the error.
        delta: Result<StoreDelta, String>,
    },
    /// The incarnation of a store was read, or the read failed.
    StoreChecked {
        /// Address of the store.
        addr: SocketAddr,
        /// When the read began.
        began: Time,
        /// The incarnation, or the error.
        epoch: Result<u64, String>,
    },
    /// A server answered a weight version order.
    ChangeAnswered {
        /// Identity of the server.
        id: Name,
        /// The answer.
        reply: Reply,
        /// Notices in the response.
        notice: Notice,
    },
    /// A server was asked for a report and responded without one.
    ReportFailed {
        /// Identity of the server.
        id: Name,
        /// Notices in the response.
        notice: Notice,
    },
}

/// A final response that this entry generates itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Reason code.
    pub code: Code,
    /// HTTP status.
    pub status: u16,
    /// Reason as text.
    pub text: &'static str,
    /// Retry-After.
    pub retry_after: Option<Duration>,
}

/// An action for the edge that holds a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to a server; a stream that has begun continues after its last event.
    Send(Box<Attempt>),
    /// Deliver the response to the caller.
    Deliver,
    /// Send this response, or abort if a response has begun.
    Reject(Rejection),
}

/// A call of this process's own, not on behalf of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Read the list of servers.
    ReadList,
    /// Request the report of a server.
    Report {
        /// Identity of the server.
        id: Name,
        /// Its address.
        addr: SocketAddr,
    },
    /// Read the events of a store or server from a number on, or the complete inventory.
    ReadStore {
        /// Its address.
        addr: SocketAddr,
        /// Number of the first event; none for the complete inventory.
        since: Option<u64>,
        /// Whether the response must be known to be from after the start of the call. Otherwise it may be a copy of an
        /// earlier response without events.
        fresh: bool,
    },
    /// Read the incarnation of a store; the response must be known to be from after the start of the call.
    CheckStore {
        /// Its address.
        addr: SocketAddr,
        /// Number of its next event.
        since: u64,
        /// The current time.
        began: Time,
    },
    /// Free segments on a store, if its incarnation is the given one.
    FreeSegments {
        /// Its address.
        addr: SocketAddr,
        /// Incarnation of the store.
        epoch: u64,
        /// Time on the store's clock from which it must not be carried out any more, milliseconds.
        until_ms: Option<u64>,
        /// Salt and ID of each segment.
        segments: Vec<(Name, u64)>,
    },
    /// Order a server to a weight version.
    Change(Box<Change>),
}

/// An order to a server to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Identity of the server.
    pub id: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// Model.
    pub model: Name,
    /// Weight version to load.
    pub version: u64,
    /// Fencing token.
    pub token: u64,
    /// Number of orders that the server must have received before this one.
    pub orders_before: u64,
}
