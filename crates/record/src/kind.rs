//! The kinds of records.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// What a record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A model.
    Model,
    /// A weight version of a model.
    Version,
    /// An adapter of a model.
    Adapter,
    /// A workspace.
    Workspace,
    /// A named priority.
    Priority,
    /// A role of backend servers.
    Role,
    /// A plain service.
    Service,
    /// A backend server.
    Server,
    /// The target weight version of a model's replicas.
    Rollout,
    /// Services for the requests to a host and path prefix.
    Route,
    /// An availability zone that is evacuated, or was.
    Evacuation,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 11] = [
        Self::Model,
        Self::Version,
        Self::Adapter,
        Self::Workspace,
        Self::Priority,
        Self::Role,
        Self::Service,
        Self::Server,
        Self::Rollout,
        Self::Route,
        Self::Evacuation,
    ];

    /// The kind's name in URL paths and on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Version => "version",
            Self::Adapter => "adapter",
            Self::Workspace => "workspace",
            Self::Priority => "priority",
            Self::Role => "role",
            Self::Service => "service",
            Self::Server => "server",
            Self::Rollout => "rollout",
            Self::Route => "route",
            Self::Evacuation => "evacuation",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| {
            let words: Vec<&str> = Self::ALL.iter().map(|kind| kind.as_str()).collect();
            format!("'{text}' is no kind; allowed: {}", words.join(", "))
        })
    }
}
