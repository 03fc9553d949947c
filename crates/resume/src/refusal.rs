//! Why a stream doesn't go on.

use base::prelude::*;

/// When a server of the stream's software version may be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// From this time on.
    At(Time),
    /// Not any more: it is leaving.
    Leaving,
}

/// Why a stream doesn't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is not known which service and software version began it.
    UnknownOrigin,
    /// The keepers, which may know, did not answer in time.
    NoAnswer,
    /// The service that began it does not serve this route any more.
    OtherService,
    /// No server of its software version is left, or all are leaving.
    VersionGone,
    /// The servers of its software version can't be used now, but after this time.
    VersionUnavailable(Duration),
}

impl Refusal {
    /// Text in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UnknownOrigin => "unknown",
            Self::NoAnswer => "no answer",
            Self::OtherService => "other service",
            Self::VersionGone => "version gone",
            Self::VersionUnavailable(_) => "version unavailable",
        }
    }

    /// The refusal where none of the servers of a software version can be used now.
    pub fn of_version(now: Time, servers: impl Iterator<Item = Availability>) -> Self {
        let returns = servers.filter_map(|server| match server {
            Availability::At(time) => Some(time),
            Availability::Leaving => None,
        });
        match returns.min() {
            Some(time) => Self::VersionUnavailable(time.since(now)),
            None => Self::VersionGone,
        }
    }
}
