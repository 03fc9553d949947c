//! Who takes part.

use base::Name;
use serde::{Deserialize, Serialize};

/// A keeper's identity: its name and the disk that it found at its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the process.
    pub name: Name,
    /// Number written on the disk when it was empty.
    pub disk_id: u64,
}

/// The agreed set of members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Members whose votes count.
    pub voters: Vec<Member>,
    /// Members that only receive the log.
    pub learners: Vec<Member>,
}

impl Config {
    /// Whether the member's vote counts.
    pub fn votes(&self, member: &Member) -> bool {
        self.voters.contains(member)
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Size of a majority of the voters.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the two differ by at most one voter, so that their majorities overlap.
    pub fn follows(&self, before: &Self) -> bool {
        let added = self.voters.iter().filter(|voter| !before.votes(voter)).count();
        let removed = before.voters.iter().filter(|voter| !self.votes(voter)).count();
        added + removed <= 1 && !self.voters.is_empty()
    }
}
