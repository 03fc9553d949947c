//! Identifiers that are exchanged between processes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of one run of a process from start to exit: its start time in microseconds since 1970, greater than that of
/// every earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Numbers reserved for each microsecond between two starts, as a power of two.
const NUMBER_BITS: u32 = 12;

impl Incarnation {
    /// First number of the requests that this incarnation sends to other processes. Earlier incarnations have only
    /// used lower ones, so a late reply to one of them matches no request of this one.
    pub const fn first_number(self) -> u64 {
        self.0 << NUMBER_BITS
    }
}

/// Numbers for the requests that one incarnation of a process sends to others.
#[derive(Debug)]
pub struct Numbers {
    next: u64,
}

impl Numbers {
    /// For this incarnation.
    pub const fn new(incarnation: Incarnation) -> Self {
        Self { next: incarnation.first_number() }
    }

    /// The next number.
    pub const fn take(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        number
    }
}

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
