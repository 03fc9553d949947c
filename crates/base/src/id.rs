//! Identifiers that are exchanged between processes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of one run of a process from start to exit; greater than that of every earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A position in the log, such as that of the latest accepted configuration change. A restore from a
/// backup increases the epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Epoch of the log.
    pub epoch: u64,
    /// Index in the log.
    pub index: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.index)
    }
}

/// Identifies one attempt of one request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunId {
    /// Incarnation of the entry that admitted the request.
    pub entry: Incarnation,
    /// Number of the request within that incarnation.
    pub number: u64,
    /// Number of the attempt, which distinguishes its frames from those of earlier attempts.
    pub attempt: u32,
}

impl RunId {
    /// The ID of the next attempt of the same request.
    #[must_use]
    pub fn next_attempt(self) -> Self {
        Self { attempt: self.attempt + 1, ..self }
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.entry.0, self.number)
    }
}
