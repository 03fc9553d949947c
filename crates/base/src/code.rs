//! Numbered result codes.
//!
//! One enum with every result that a caller or an operator can receive. docs/CODES.md documents the
//! same table, and a test checks that the two agree.

use serde::{Deserialize, Serialize};

/// Whether a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It ran.
    Ran,
    /// It has not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Fate {
    /// The text of the `x-tamarack-fate` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal, $status:literal, $fate:ident;)*) => {
        /// A numbered result code. docs/CODES.md lists all codes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// Every code, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The short text of the code.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The HTTP status that carries the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Whether the request that ended with this code was executed.
            pub const fn fate(self) -> Fate {
                match self { $(Self::$name => Fate::$fate,)* }
            }
        }
    };
}

codes! {
    /// Success.
    Ok = 0, "ok", 200, Ran;
    /// The body is not the JSON that the path expects.
    BadBody = 1001, "bad body", 400, NotRun;
    /// The body exceeds the configured maximum size.
    BodyTooLarge = 1002, "body too large", 413, NotRun;
    /// A header has a value that is not allowed.
    BadHeader = 1003, "bad header", 400, NotRun;
    /// No such path.
    NoSuchPath = 1004, "no such path", 404, NotRun;
    /// The bearer key belongs to no workspace.
    BadKey = 1005, "bad key", 401, NotRun;
    /// The workspace has no such model.
    NoSuchModel = 1006, "no such model", 404, NotRun;
    /// The idempotency key was used with another body.
    KeyReused = 1007, "idempotency key reused with another body", 409, NotRun;
    /// The request was not received completely in time.
    SlowCaller = 1008, "request did not arrive in time", 408, NotRun;
    /// Every suitable backend server is at capacity.
    Overloaded = 2001, "overloaded", 503, NotRun;
    /// There is no suitable backend server.
    NoServer = 2002, "no backend server", 503, NotRun;
    /// The deadline cannot be met, or passed before the start.
    Late = 2003, "deadline passed before the start", 504, NotRun;
    /// The workspace exceeds its limit.
    WorkspaceLimit = 2004, "workspace over its limit", 429, NotRun;
    /// This process is stopping.
    Draining = 2005, "draining", 503, NotRun;
    /// This process has not read the configuration yet, or cannot confirm that it is current.
    NotReady = 2006, "not ready", 503, NotRun;
    /// The claim could not be committed, and nothing was sent.
    NoClaim = 2007, "claim not agreed", 503, NotRun;
    /// The client disconnected before the start.
    Cancelled = 2008, "cancelled before the start", 499, NotRun;
    /// Servers crashed as they ran this request, or began to answer prompts with the same segment.
    Quarantined = 2009, "crashes servers", 503, NotRun;
    /// It is not known which service and software version began the stream that the client resumes.
    StreamUnknown = 2010, "origin of the stream unknown", 503, NotRun;
    /// No server of the software version that began the stream is left.
    StreamGone = 2011, "software of the stream gone", 503, NotRun;
    /// The run was sent, but its result is not known.
    Unknown = 3001, "may have run", 502, Unknown;
    /// The run was interrupted before its end and could not be resumed.
    Cut = 3002, "answer cut", 502, Ran;
    /// The deadline passed while the request ran.
    DeadlineRunning = 3003, "deadline passed while running", 504, Ran;
    /// The backend server returned an error.
    ServerError = 3004, "backend server error", 502, Ran;
    /// Another change was accepted first; the response contains the current record.
    Conflict = 4001, "conflict", 409, NotRun;
    /// The record is not valid.
    BadRecord = 4002, "bad record", 400, NotRun;
    /// Other records still refer to the record.
    Referenced = 4003, "still referenced", 409, NotRun;
    /// No such record.
    NoSuchRecord = 4004, "no such record", 404, NotRun;
    /// No leader is known, or a majority is unreachable.
    NoQuorum = 4005, "no quorum", 503, Unknown;
    /// The order has an outdated fencing token.
    Fenced = 4006, "fenced", 409, NotRun;
    /// A defect in this process.
    Internal = 5001, "internal error", 500, Unknown;
}

impl Code {
    /// The number of the code.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Whether the caller may retry the same request later.
    pub const fn retryable(self) -> bool {
        matches!(
            self,
            Self::Overloaded
                | Self::NoServer
                | Self::WorkspaceLimit
                | Self::Draining
                | Self::NotReady
                | Self::NoClaim
                | Self::Quarantined
                | Self::NoQuorum
        )
    }
}
