//! Observations of crashed servers and of the requests and prompt segments that may have caused them.

use base::Name;
use serde::{Deserialize, Serialize};

use crate::limit::ServerIncarnation;

/// A lost request that may have caused a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The caller's ID of the request.
    pub request: Name,
    /// Whether the server had begun to answer it.
    pub begun: bool,
    /// Service that runs it.
    pub service: Name,
    /// Digest of its caller, method, path and body.
    pub digest: Option<u128>,
    /// Model of its prompt; empty without one.
    pub model: Name,
    /// IDs of the segments of its prompt, without the last one.
    pub segments: Vec<u64>,
}

/// What may make servers crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// A segment of prompts.
    Segment {
        /// Model.
        model: Name,
        /// ID of the segment.
        id: u64,
    },
    /// A whole request.
    Request {
        /// Service that runs it.
        service: Name,
        /// Digest of its caller, method, path and body.
        digest: u128,
    },
}

/// An observation; ages are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// An entry lost runs at a server.
    Loss {
        /// The server.
        server: ServerIncarnation,
        /// The entry.
        entry: Name,
        /// Time since the first run was lost.
        ago_us: u64,
        /// Number of lost runs.
        lost: u32,
        /// Number of runs of this entry that the server continued to answer.
        remaining: u32,
        /// Whether the server refused a connection afterwards.
        refused: bool,
        /// Whether the server answered a request that was sent afterwards.
        answered: bool,
        /// The lost requests that the server had not begun to answer.
        candidates: Vec<Candidate>,
    },
    /// A server began a response to a request with this possible cause and continued.
    Survival {
        /// The possible cause.
        cause: Cause,
        /// Time since the response began.
        ago_us: u64,
    },
    /// The leader permitted a request with a quarantined cause.
    Trial {
        /// The cause.
        cause: Cause,
        /// The entry that may send it.
        entry: Name,
        /// Number of the trial of this cause.
        number: u32,
        /// Time since it was permitted.
        ago_us: u64,
    },
}

/// Observations from an entry or the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Whether these are all observations of the sender: the receiver then sends those that are missing.
    pub complete: bool,
    /// The observations.
    pub observations: Vec<Observation>,
}
