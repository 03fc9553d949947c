//! Observations of crashed servers and of the prompt segments that may have caused them.

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
    /// Model.
    pub model: Name,
    /// IDs of the segments of its prompt, without the last one.
    pub segments: Vec<u64>,
}

/// A segment of prompts for a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Model.
    pub model: Name,
    /// ID of the segment.
    pub id: u64,
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
        /// The lost requests that the server had not begun to answer.
        candidates: Vec<Candidate>,
    },
    /// A server began a response to a prompt with this segment and continued.
    Survival {
        /// The segment.
        segment: Segment,
        /// Time since the response began.
        ago_us: u64,
    },
    /// The leader permitted a request with a quarantined segment.
    Trial {
        /// The segment.
        segment: Segment,
        /// The entry that may send it.
        entry: Name,
        /// Number of the trial of this segment.
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
