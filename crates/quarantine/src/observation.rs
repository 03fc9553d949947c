//! What entries observe of crashes.

use base::prelude::*;

/// A segment of prompts for one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Segment {
    /// Model: a segment may be harmless to another one.
    pub model: Name,
    /// ID of the segment.
    pub id: u64,
}

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Server {
    /// Identity.
    pub id: Name,
    /// Start time in milliseconds since 1970, if known: an identity may be reused.
    pub born: Option<u64>,
}

/// How far a server had come with a request when the request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The request had been sent.
    Sent,
    /// The head of the response had been received, or the body had only just begun.
    Begun,
}

/// A lost request that may have caused a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The caller's ID of the request.
    pub request: Name,
    /// How far the server had come with it.
    pub stage: Stage,
    /// Model.
    pub model: Name,
    /// IDs of the segments of its prompt, without the last one, which no other request has.
    pub segments: Vec<u64>,
}

/// The runs that one entry lost at one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The server.
    pub server: Server,
    /// The entry.
    pub entry: Name,
    /// When the first run was lost.
    pub at: Time,
    /// Number of lost runs.
    pub lost: u32,
    /// Number of runs of this entry that the server continued to answer.
    pub remaining: u32,
    /// Whether the server refused a connection afterwards.
    pub refused: bool,
    /// The lost requests that the server had not begun to answer.
    pub candidates: Vec<Candidate>,
}

/// A server began a response to a prompt with this segment and continued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Survival {
    /// The segment.
    pub segment: Segment,
    /// When the response began.
    pub at: Time,
}

/// A permit for one request with a quarantined segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The segment.
    pub segment: Segment,
    /// The entry that may send the request.
    pub entry: Name,
    /// Number of the trial, from 1.
    pub number: u32,
    /// When it was permitted.
    pub at: Time,
}

/// An observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Lost runs.
    Loss(Loss),
    /// A segment that a server survived.
    Survival(Survival),
    /// A permitted trial.
    Trial(Trial),
}
