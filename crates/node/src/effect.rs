//! The effects of a process, performed by an edge.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Code, Name, Revision, RunId};
use cache::Key;
use wire::{Contact, Frame, Work};

use crate::decision::Decision;
use crate::forward;

/// The head of a response.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
}

/// When to dial an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dial {
    /// Whenever the connection dialled by this process is down.
    Always,
    /// While there is no connection to it, whichever side dialled.
    WhileDisconnected,
}

/// An action for the edge.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a frame to a peer.
    Send {
        /// Name of the peer.
        to: Name,
        /// The frame.
        frame: Frame,
    },
    /// Dial an address, and again whenever necessary.
    Dial {
        /// The address.
        addr: SocketAddr,
        /// When to dial it.
        when: Dial,
    },
    /// Stop dialling an address.
    StopDialing {
        /// The address.
        addr: SocketAddr,
    },
    /// Start the response to a caller or an operator.
    Begin {
        /// Number of the exchange.
        call: u64,
        /// The head.
        head: ResponseHead,
    },
    /// Send a part of the body.
    Body {
        /// Number of the exchange.
        call: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// End the response. If `complete` is false, the connection is closed, so that the response isn't taken as complete.
    Finish {
        /// Number of the exchange.
        call: u64,
        /// Whether the response is complete.
        complete: bool,
    },
    /// Submit a run to the backend server.
    Serve {
        /// The attempt.
        run: RunId,
        /// Priority in the server's queue; higher values first.
        priority: u8,
        /// Time until the deadline; none for a run that must execute at most once, whose outcome is wanted also later.
        time: Option<Duration>,
        /// The work.
        work: Work,
    },
    /// Abort a run at the backend server.
    Abort {
        /// The attempt.
        run: RunId,
    },
    /// The parts of a run's response before a number have been received: further ones may be read from the server.
    Acked {
        /// The attempt.
        run: RunId,
        /// Number of the first part that has not been received.
        seq: u64,
    },
    /// Fetch a block from a store into the engine.
    Fetch {
        /// Key of the block.
        key: Key,
        /// The store.
        store: Name,
    },
    /// Save a block from the engine to a store.
    Save {
        /// Key of the block.
        key: Key,
        /// The store.
        store: Name,
        /// Generation of the block.
        generation: u64,
    },
    /// Delete a block from a store.
    Free {
        /// Key of the block.
        key: Key,
        /// The store.
        store: Name,
    },
    /// Request the engine's cache events from a sequence number on.
    PollCache {
        /// The sequence number.
        from: u64,
    },
    /// Request the complete list of the engine's cache.
    ListCache,
    /// Order the backend server to load a weight version.
    Order {
        /// Fencing token.
        token: Revision,
        /// The weight version.
        load: Name,
    },
    /// Write to the disk and sync.
    Persist {
        /// Number of the request.
        seq: u64,
        /// What to write.
        write: quorum::Write,
    },
    /// Replace the processes saved on the disk.
    SaveContacts(Vec<Contact>),
    /// Write records of streams to the disk and sync.
    SaveStreams {
        /// Number of the write.
        number: u64,
        /// The records.
        records: Vec<wire::stream::Record>,
        /// Whether the records before the last such write are not needed any more.
        new_generation: bool,
    },
    /// Replace the observations of crashes saved on the disk.
    SaveEvidence(Vec<wire::quarantine::Observation>),
    /// Log a line when a request has ended.
    Log {
        /// The request.
        run: RunId,
        /// Workspace of the caller.
        workspace: Name,
        /// Final code.
        code: Code,
        /// Time from arrival to end.
        duration: Duration,
        /// Time from arrival to the first token.
        first_token: Option<Duration>,
    },
    /// Count the usage of a complete response.
    Usage {
        /// Workspace of the caller.
        workspace: Name,
        /// Prompt tokens computed.
        computed: u32,
        /// Prompt tokens served from a cache.
        cached: u32,
        /// Tokens generated.
        generated: u32,
        /// Pieces (prefix blocks) fetched from stores.
        fetched_pieces: u32,
    },
    /// An action for one forwarded request.
    Forward {
        /// Number of the exchange.
        call: u64,
        /// The action.
        action: forward::Action,
    },
    /// Call a backend server without an agent, a store, or the source of the server list.
    Call(forward::ControlCall),
    /// Write a decision to the log.
    Decision(Box<Decision>),
    /// Exit the process; `cut` requests were not completed.
    Exit {
        /// Number of requests that were not completed.
        cut: usize,
    },
    /// Terminate the process immediately, since it can no longer meet its guarantees.
    Fail {
        /// The reason.
        text: String,
    },
}

/// Effects in the order in which they must be performed.
pub type Effects = Vec<Effect>;

/// Sends a complete response to a caller or operator.
pub(crate) fn answer(call: u64, head: ResponseHead, bytes: Vec<u8>, out: &mut Effects) {
    out.push(Effect::Begin { call, head });
    out.push(Effect::Body { call, bytes });
    out.push(Effect::Finish { call, complete: true });
}
