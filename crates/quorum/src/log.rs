//! The replicated log in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Config, Member};

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Nothing; a new leader's first entry.
    Empty,
    /// A set of members.
    Config(Config),
    /// A command for the state machine.
    Data(Arc<[u8]>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Place in the log, from 1.
    pub index: u64,
    /// Term of the leader that made it.
    pub term: u64,
    /// What it holds.
    pub body: Body,
}

/// What a member must remember besides its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<Member>,
}

/// The state machine up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index it holds.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Raised by each restore from a backup.
    pub epoch: u64,
    /// Members as of that index.
    pub config: Config,
    /// The state machine's bytes.
    pub data: Arc<[u8]>,
}

/// One request to the disk.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Term and vote, when they changed.
    pub hard_state: Option<HardState>,
    /// Entries; one at an index written before replaces all from there on.
    pub entries: Vec<Entry>,
    /// A snapshot that, with the entries beside it, replaces all before.
    pub snapshot: Option<Snapshot>,
}

/// The entries after the last snapshot.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub base_index: u64,
    pub base_term: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    pub fn new(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        Self { base_index, base_term, entries: entries.into() }
    }

    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.base_index + 1)?;
        self.entries.get(place as usize)
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entries from this index on.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Drops the entries up to this index, which a snapshot now holds.
    pub fn compact(&mut self, index: u64, term: u64) {
        if index <= self.base_index {
            return;
        }
        if self.term(index) == Some(term) {
            self.entries.drain(..(index - self.base_index) as usize);
        } else {
            self.entries.clear();
        }
        self.base_index = index;
        self.base_term = term;
    }

    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Entries from an index on, at most this many bytes of commands.
    pub fn slice(&self, from: u64, most: usize) -> Vec<Entry> {
        let Some(skip) = from.checked_sub(self.base_index + 1) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut out = Vec::new();
        for entry in self.entries.iter().skip(skip as usize) {
            if let Body::Data(data) = &entry.body {
                bytes += data.len();
            }
            if !out.is_empty() && bytes > most {
                break;
            }
            out.push(entry.clone());
        }
        out
    }
}
