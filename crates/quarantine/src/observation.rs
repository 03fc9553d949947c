//! What entries observe of crashes.

use base::prelude::*;

/// What may make servers crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// A segment of prompts.
    Segment {
        /// Model: a segment may be harmless to another one.
        model: Name,
        /// ID of the segment.
        id: u64,
    },
    /// A whole request, whose caller sends it again under other IDs.
    Request {
        /// Service that runs it.
        service: Name,
        /// Digest of its caller, method, path and body.
        digest: u128,
    },
}

impl Cause {
    /// Whether it is a whole request.
    pub const fn is_request(&self) -> bool {
        matches!(self, Self::Request { .. })
    }

    /// The model that it is for, if it is a segment.
    pub const fn model(&self) -> Option<&Name> {
        match self {
            Self::Segment { model, .. } => Some(model),
            Self::Request { .. } => None,
        }
    }
}

/// The possible causes that a request carries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// Service that runs it.
    pub service: Name,
    /// Digest of its caller, method, path and body; none if it can't be recognised.
    pub digest: Option<u128>,
    /// Model of its prompt.
    pub model: Name,
    /// IDs of the segments of its prompt, without the last one, which no other request has. Empty without a prompt.
    pub segments: Vec<u64>,
}

impl Content {
    /// The possible causes.
    pub fn causes(&self) -> impl Iterator<Item = Cause> {
        let segment = |id: &u64| Cause::Segment { model: self.model.clone(), id: *id };
        let request = |digest| Cause::Request { service: self.service.clone(), digest };
        self.segments.iter().map(segment).chain(self.digest.map(request))
    }

    /// Whether it has a prompt.
    pub fn has_prompt(&self) -> bool {
        !self.model.is_empty()
    }

    /// Whether it carries this cause.
    pub fn has(&self, cause: &Cause) -> bool {
        match cause {
            Cause::Segment { model, id } => self.model == *model && self.segments.contains(id),
            Cause::Request { service, digest } => {
                self.digest == Some(*digest) && self.service == *service
            }
        }
    }
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
    /// What may have caused the crash.
    pub content: Content,
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
    /// Whether the server answered a request that was sent afterwards.
    pub answered: bool,
    /// The lost requests that the server had not begun to answer.
    pub candidates: Vec<Candidate>,
}

/// A server began a response to a request with this possible cause and continued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Survival {
    /// The possible cause.
    pub cause: Cause,
    /// When the response began.
    pub at: Time,
}

/// A permit for one request with a quarantined cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The cause.
    pub cause: Cause,
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
    /// A possible cause that a server survived.
    Survival(Survival),
    /// A permitted trial.
    Trial(Trial),
}
