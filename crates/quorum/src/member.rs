//! Members and the cluster configuration.

use base::Name;
use serde::{Deserialize, Serialize};

/// A keeper's identity: the process name and the ID of the disk that it opened at startup.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the process.
    pub name: Name,
    /// Number written to the disk when it was empty.
    pub disk_id: u64,
}

/// The set of members agreed through the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Members that vote and count towards a majority.
    pub voters: Vec<Member>,
    /// Members that receive the log but do not vote.
    pub learners: Vec<Member>,
}

impl Config {
    /// Whether the member is a voter.
    pub fn is_voter(&self, member: &Member) -> bool {
        self.voters.contains(member)
    }

    /// Iterates over voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether this configuration has voters and differs from `before` by at most one voter, so that any
    /// two majorities overlap.
    pub fn is_single_change_from(&self, before: &Self) -> bool {
        let added = self.voters.iter().filter(|voter| !before.is_voter(voter)).count();
        let removed = before.voters.iter().filter(|voter| !self.is_voter(voter)).count();
        added + removed <= 1 && !self.voters.is_empty()
    }
}
