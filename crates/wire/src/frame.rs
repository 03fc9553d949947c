//! The closed set of frames.

use std::net::SocketAddr;

use base::{Code, Incarnation, Name, Revision, RunId};
use serde::{Deserialize, Serialize};

use crate::{Part, Priority, Work};

/// What an agent stands beside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
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
    pub server: Option<Engine>,
}

/// Load of a backend server, as last read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in the batch.
    pub running: u32,
    /// Runs that wait for a place.
    pub waiting: u32,
    /// Prompt tokens still to compute.
    pub prefill: u64,
    /// Weight version held.
    pub version: Name,
}

/// A heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Highest configuration revision that the sender applied.
    pub revision: Revision,
    /// Whether the sender takes no new work.
    pub leaving: bool,
    /// Load of the sender's backend server.
    pub load: Option<Load>,
    /// Runs of the receiver that the sender holds.
    pub held: u32,
}

/// A run for an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The dispatch.
    pub run: RunId,
    /// The one life of the agent that may take it.
    pub to: Incarnation,
    /// Workspace that asks.
    pub workspace: Name,
    /// Priority class.
    pub priority: Priority,
    /// Time left until the deadline, milliseconds.
    pub left_ms: u64,
    /// Whether the run may be done again.
    pub idempotent: bool,
    /// The work.
    pub work: Work,
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
    Beat(Beat),
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
    Refused {
        /// The dispatch.
        run: RunId,
        /// Why.
        code: Code,
        /// When a slot is likely free, milliseconds.
        retry_ms: u64,
    },
    /// Agent to entry: nothing is known of the run.
    Gone {
        /// The dispatch.
        run: RunId,
    },
    /// The sender closes the link on purpose.
    Bye,
}
