//! Everything a process does.

use base::{Code, Name, RunId};
use wire::{Frame, Work};

/// The head of an answer to a caller.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub kind: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
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
    /// Begin an answer to a caller.
    Begin {
        /// Number of the exchange.
        call: u64,
        /// The head.
        reply: Reply,
    },
    /// Send bytes of an answer.
    Body {
        /// Number of the exchange.
        call: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// End an answer; `whole` false cuts the connection so that nobody takes it for whole.
    Finish {
        /// Number of the exchange.
        call: u64,
        /// Whether the answer is whole.
        whole: bool,
    },
    /// Give work to the backend server.
    Serve {
        /// The dispatch.
        run: RunId,
        /// The work.
        work: Work,
    },
    /// Tell the backend server to stop a run.
    Abort {
        /// The dispatch.
        run: RunId,
    },
    /// Write one line at the end of a request's life.
    Log {
        /// The request.
        run: RunId,
        /// Workspace that asked.
        workspace: Name,
        /// How it ended.
        code: Code,
        /// Milliseconds from arrival to end.
        took_ms: u64,
    },
    /// Leave the process; `cut` requests were not finished.
    Exit {
        /// Requests cut.
        cut: usize,
    },
}

/// Effects in the order they must happen.
pub type Effects = Vec<Effect>;
