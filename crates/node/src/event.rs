//! Everything that can happen to a process.

use base::{Code, Name, RunId};
use wire::{Frame, Hello, Load, Part};

use crate::Ask;

/// News from the backend server beside an agent.
#[derive(Clone, Debug)]
pub enum Server {
    /// A part of an answer.
    Part {
        /// The dispatch.
        run: RunId,
        /// The part.
        part: Part,
    },
    /// The whole answer has come.
    Done {
        /// The dispatch.
        run: RunId,
        /// Prompt tokens computed.
        computed: u32,
        /// Prompt tokens taken from the cache.
        cached: u32,
    },
    /// The run ended without a whole answer.
    Failed {
        /// The dispatch.
        run: RunId,
        /// Whether the request may have reached the server.
        sent: bool,
        /// Code for the caller.
        code: Code,
    },
    /// A load report.
    Load(Load),
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes; comes every few milliseconds.
    Tick,
    /// A caller's request has come whole.
    Ask {
        /// Number that the edge gave the exchange.
        call: u64,
        /// The request.
        ask: Box<Ask>,
    },
    /// A caller went away.
    Hangup {
        /// Number of the exchange.
        call: u64,
    },
    /// A link to a peer is up.
    Linked(Hello),
    /// The last link to a peer is down.
    Unlinked {
        /// Name of the peer.
        peer: Name,
    },
    /// A frame came.
    Frame {
        /// Name of the peer.
        peer: Name,
        /// The frame.
        frame: Frame,
    },
    /// News from the backend server.
    Server(Server),
    /// The process is asked to stop.
    Stop,
}
