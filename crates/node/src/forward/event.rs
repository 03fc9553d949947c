//! What the edges tell the reducer of forwarded requests, and what it tells them.

use std::net::SocketAddr;

use base::prelude::*;
use cache::Segment;
use fleet::rollout::Reply;
use fleet::{Listed, Load, Notice, Report, StoreDelta};

/// A prompt whose parts the caller names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model.
    pub model: Name,
    /// Parts, in their order; the last belongs to the request or its session alone.
    pub segments: Vec<Segment>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
}

impl Prompt {
    /// Tokens of memory that it needs in an engine, with its whole answer.
    pub fn needs(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.max_tokens)
    }
}

/// What a request says of itself, without its body.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// The caller's ID of this request, for logs.
    pub id: Name,
    /// Host.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The prompt, if it is one.
    pub prompt: Option<Prompt>,
}

/// One try of a request at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Identity of the server; any other must refuse.
    pub id: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// Time that is left for it.
    pub time_left: Duration,
    /// Workspace of the caller.
    pub workspace: Option<Name>,
    /// Rank among the server's requests, 0 first.
    pub rank: u8,
    /// Weight version that it must run on.
    pub version: Option<u64>,
    /// What its cached prompt parts are shared under.
    pub salt: Option<Name>,
    /// Where each part of the prompt is fetched from, unless the server holds it.
    pub fetch: Vec<Option<SocketAddr>>,
    /// The store that each part is saved to once it is read.
    pub save: Vec<Option<SocketAddr>>,
}

/// What a server answered, before the body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Whether the answer names the request that was sent.
    pub matches_request: bool,
    /// Whether the server says that it has not run the request.
    pub not_run: bool,
    /// Its load.
    pub load: Option<Load>,
    /// Weight version that it holds.
    pub version: Option<u64>,
    /// What it says of what the server takes.
    pub notice: Notice,
}

/// How a try ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent,
    /// The request was sent, and no answer came.
    NoResponse,
    /// The answer broke off.
    Aborted,
}

impl Failure {
    /// The word in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::NoResponse => "no answer",
            Self::Aborted => "answer broken off",
        }
    }
}

/// What happened to forwarded requests and their servers.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has come whole.
    Arrived {
        /// Number of the exchange.
        call: u64,
        /// What it says of itself.
        head: Box<RequestHead>,
    },
    /// The head of an answer came.
    Answered {
        /// Number of the exchange.
        call: u64,
        /// The answer.
        answer: ResponseHead,
    },
    /// The first bytes of the body were passed on.
    BodyStarted {
        /// Number of the exchange.
        call: u64,
    },
    /// A try ended without a whole answer.
    Failed {
        /// Number of the exchange.
        call: u64,
        /// How.
        failure: Failure,
    },
    /// The whole answer was passed on.
    Completed {
        /// Number of the exchange.
        call: u64,
    },
    /// The caller went away.
    ClientDisconnected {
        /// Number of the exchange.
        call: u64,
    },
    /// The list of servers was read, or could not be.
    Listed {
        /// The list, or what went wrong.
        list: Result<Vec<Listed>, String>,
    },
    /// A server told of itself.
    Reported {
        /// Identity of the server.
        id: Name,
        /// What it told.
        report: Report,
        /// What the answer says of what it takes.
        notice: Notice,
    },
    /// A store told what it holds, or could not be read.
    StoreRead {
        /// Address of the store.
        addr: SocketAddr,
        /// The number of the first event asked for; none for all that it holds.
        since: Option<u64>,
        /// What it told, or what went wrong.
        delta: Result<StoreDelta, String>,
    },
    /// An order to a server was answered.
    ChangeAnswered {
        /// Identity of the server.
        id: Name,
        /// How.
        reply: Reply,
        /// What the answer says of what the server takes.
        notice: Notice,
    },
    /// A server did not give the report that it was asked for.
    ReportFailed {
        /// Identity of the server.
        id: Name,
        /// What its answer says of what it takes.
        notice: Notice,
    },
}

/// A final answer of this entry's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub code: Code,
    /// HTTP status.
    pub status: u16,
    /// Why, for people.
    pub text: &'static str,
    /// When to come back.
    pub retry: Option<Duration>,
}

/// What the edge that holds a request shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to a server; a stream that has begun goes on after its last event.
    Send(Box<Attempt>),
    /// Pass the answer on.
    Deliver,
    /// Answer this, or break off if an answer has begun.
    Reject(Rejection),
}

/// A call that this process makes for itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Read the list of servers.
    ReadList,
    /// Ask a server what it holds.
    Report {
        /// Identity of the server.
        id: Name,
        /// Its address.
        addr: SocketAddr,
    },
    /// Ask a store for its events from a number on, or for all that it holds.
    ReadStore {
        /// Its address.
        addr: SocketAddr,
        /// The number.
        since: Option<u64>,
    },
    /// Free parts on a store that lives as stated.
    FreeParts {
        /// Its address.
        addr: SocketAddr,
        /// Its life.
        epoch: u64,
        /// Salt and ID of each part.
        parts: Vec<(Name, u64)>,
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
    /// Orders that the server must have taken before.
    pub after: u64,
}
