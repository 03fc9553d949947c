//! Everything a process does.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Code, Name, Revision, RunId};
use cache::Key;
use wire::{Contact, Frame, Work};

use crate::decision::Decision;
use crate::forward;

/// The head of an answer to a caller.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
}

/// When an address is dialled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dial {
    /// Whenever the link that was dialled here is down.
    Always,
    /// While no link to it is up, whoever dialled.
    WhileDisconnected,
}

/// Something for an edge to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a frame to a peer.
    Send {
        /// Name of the peer.
        to: Name,
        /// The frame.
        frame: Frame,
    },
    /// Keep a link to an address.
    Dial {
        /// The address.
        addr: SocketAddr,
        /// When to dial it.
        when: Dial,
    },
    /// Keep a link to an address no longer.
    StopDialing {
        /// The address.
        addr: SocketAddr,
    },
    /// Begin an answer to a caller or an operator.
    Begin {
        /// Number of the exchange.
        call: u64,
        /// The head.
        head: ResponseHead,
    },
    /// Send bytes of an answer.
    Body {
        /// Number of the exchange.
        call: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// End an answer; `complete` false cuts the connection so that nobody takes it for whole.
    Finish {
        /// Number of the exchange.
        call: u64,
        /// Whether the answer is whole.
        complete: bool,
    },
    /// Give work to the backend server.
    Serve {
        /// The dispatch.
        run: RunId,
        /// Priority for the server's queue, larger first.
        priority: u8,
        /// The work.
        work: Work,
    },
    /// Tell the backend server to stop a run.
    Abort {
        /// The dispatch.
        run: RunId,
    },
    /// Fetch a block from a store into the engine.
    Fetch {
        /// Key of the block.
        key: Key,
        /// The store.
        store: Name,
    },
    /// Write a block back from the engine to a store.
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
    /// Ask the engine for cache events from a number on.
    PollCache {
        /// The number.
        from: u64,
    },
    /// Ask the engine for the whole list of its cache.
    ListCache,
    /// Order the backend server to load a weight version.
    Order {
        /// Fencing token.
        token: Revision,
        /// The weight version.
        load: Name,
    },
    /// Write and sync.
    Persist {
        /// Number of the request.
        seq: u64,
        /// What to write.
        write: quorum::Write,
    },
    /// Keep these processes on the disk, in the place of those before.
    SaveContacts(Vec<Contact>),
    /// Write one line at the end of a request's life.
    Log {
        /// The request.
        run: RunId,
        /// Workspace that asked.
        workspace: Name,
        /// How it ended.
        code: Code,
        /// Time from arrival to end.
        took: Duration,
        /// Time from arrival to the first token.
        first: Option<Duration>,
    },
    /// Count what a whole answer took.
    Usage {
        /// Workspace that asked.
        workspace: Name,
        /// Prompt tokens computed.
        computed: u32,
        /// Prompt tokens taken from a cache.
        cached: u32,
        /// Tokens generated.
        generated: u32,
        /// Pieces fetched from stores.
        fetched: u32,
    },
    /// Tell the edge that holds a forwarded request what to do.
    Forward {
        /// Number of the exchange.
        call: u64,
        /// What to do.
        action: forward::Action,
    },
    /// Call a backend server that has no agent, a store or the list of servers.
    Call(forward::ControlCall),
    /// Write a decision to the log.
    Decision(Box<Decision>),
    /// Leave the process; `cut` requests were not finished.
    Exit {
        /// Requests cut.
        cut: usize,
    },
    /// Leave the process at once, since it cannot keep its promises.
    Fail {
        /// Why.
        text: String,
    },
}

/// Effects in the order they must happen.
pub type Effects = Vec<Effect>;

/// Gives a caller or operator a whole answer at once.
pub(crate) fn answer(call: u64, head: ResponseHead, bytes: Vec<u8>, out: &mut Effects) {
    out.push(Effect::Begin { call, head });
    out.push(Effect::Body { call, bytes });
    out.push(Effect::Finish { call, complete: true });
}
